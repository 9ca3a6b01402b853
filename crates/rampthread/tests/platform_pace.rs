//! A fast and a slow back end beside real nodes: their pace is read, measured, told, and
//! acted upon.

mod platform_support;

use platform_support::{PlatformFleet, SERVICE, request, status_of};
use rampthread_adapter_standin::{BackendBehaviour, DocumentSpec, RouteSpec};
use std::time::Duration;

const SLOW: Duration = Duration::from_millis(60);
const FAST: Duration = Duration::from_millis(15);

fn shop() -> DocumentSpec {
    let routes = vec![RouteSpec::safe("look", "/look/", SERVICE)];
    DocumentSpec::new(1, SERVICE, routes)
}

/// One call to each node, one after the other.
fn call_all(fleet: &PlatformFleet, name: &str) {
    for node in 0..2 {
        let id = format!("{name}-{node}");
        let answer = fleet.call(node, &request("GET", "/look/1", &id, None, ""));
        assert_eq!(status_of(&answer), 200, "{answer}");
    }
}

#[test]
fn the_fast_back_end_gets_most_calls_once_its_speed_is_known() {
    let fleet = PlatformFleet::start(2, &shop());
    fleet.backends[0].set_work(SLOW);
    fleet.backends[1].set_work(FAST);
    let mut round = 0;
    // Which gate sees enough calls to tell depends on what the entries choose meanwhile;
    // either word is enough for the choice.
    fleet.wait("a speed is known", |fleet| {
        for _ in 0..10 {
            call_all(fleet, &format!("id-learn-{round}"));
            round += 1;
        }
        (0..2).any(|node| fleet.log(node).contains("speed of the back end"))
    });
    let before = [0, 1].map(|index| fleet.backends[index].seen().len());
    for round in 0..50 {
        call_all(&fleet, &format!("id-known-{round}"));
    }
    let after = [0, 1].map(|index| fleet.backends[index].seen().len() - before[index]);
    assert!(after[1] > 3 * after[0], "{after:?}");
}

#[test]
fn a_load_that_cannot_be_read_changes_nothing() {
    let fleet = PlatformFleet::start(2, &shop());
    for (number, load) in ["1,2", "many,0,8", "1,0,8,-5", "1,0,8,99999"]
        .into_iter()
        .enumerate()
    {
        for backend in &fleet.backends {
            backend.tell_load(Some(load));
        }
        call_all(&fleet, &format!("id-bad-{number}"));
    }
    let told = |fleet: &PlatformFleet| {
        (0..2).any(|node| fleet.log(node).contains("load of the back end ignored"))
    };
    fleet.wait("the line on a load that cannot be read", told);
    for backend in &fleet.backends {
        backend.tell_load(Some("1,0,8,250"));
    }
    call_all(&fleet, "id-good");
}

#[test]
fn the_load_in_a_refusal_is_read() {
    let fleet = PlatformFleet::start(2, &shop());
    for backend in &fleet.backends {
        backend.behave(BackendBehaviour::Sheds);
        backend.tell_load(Some("many"));
    }
    fleet.call(0, &request("GET", "/look/1", "id-refused", None, ""));
    let told = |fleet: &PlatformFleet| {
        (0..2).any(|node| fleet.log(node).contains("load of the back end ignored"))
    };
    fleet.wait("the line on a load that cannot be read", told);
}
