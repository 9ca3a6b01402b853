//! A back end that starts again under the id that it had.
//!
//! What users saw: a route that had been added was not served. The only back end of
//! its service reported every second, each report was answered 2xx, and it got no work.
//!
//! Order of events: the back end says that it drains, takes its leave, ends, and starts
//! again under the same id; or it crashes and starts again. Its reports count from 1.
//!
//! Cause: the node beside it told starts apart by id alone. After the leave the id was
//! retired for good; after the crash every report below the last number was taken for a
//! late one, a `draining` among them, although it was acknowledged.
//! Evidence: `rampthread_endpoints` lacks the back end for good, and calls are answered
//! 503 with `cause=no-back-end`; after the crash the node goes on sending it work.

mod platform_support;

use platform_support::{PlatformFleet, SERVICE, request, status_of};
use rampthread_adapter_standin::backend::{CrashRule, NextId};
use rampthread_adapter_standin::{DocumentSpec, RouteSpec};
use std::time::Duration;

/// Where calls enter, and the node beside the back end that starts again.
const ENTRY: usize = 0;
const GATE: usize = 1;
/// Time until the next start listens.
const DOWN: Duration = Duration::from_millis(50);

/// Two nodes; only the back end beside [`GATE`] takes work.
fn fleet_with_one_back_end() -> PlatformFleet {
    let route = RouteSpec::safe("look", "/look/", SERVICE);
    let fleet = PlatformFleet::start(2, &DocumentSpec::new(1, SERVICE, vec![route]));
    assert!(fleet.heartbeat(ENTRY, "draining", 2));
    fleet.wait("only one back end is known", |fleet| endpoints(fleet) == 1);
    fleet.backends[GATE].name_starts(NextId::Same);
    fleet.backends[GATE].report_when_told();
    fleet
}

/// Back ends that the entry offers work to.
fn endpoints(fleet: &PlatformFleet) -> u64 {
    fleet.metric(ENTRY, "rampthread_endpoints ")
}

fn status(fleet: &PlatformFleet, path: &str, id: &str) -> u16 {
    status_of(&fleet.call(ENTRY, &request("GET", path, id, Some(2_000), "")))
}

/// The back end beside [`GATE`] ends and starts again under its id.
fn start_again(fleet: &PlatformFleet) {
    let born = fleet.backends[GATE].born_ms();
    let id = fleet.backends[GATE].instance();
    fleet.backends[GATE].report_when_told();
    fleet.backends[GATE].crash(DOWN);
    fleet.wait("the next start listens", |fleet| {
        fleet.backends[GATE].born_ms() != born && !fleet.backends[GATE].is_down()
    });
    assert_eq!(fleet.backends[GATE].instance(), id);
}

#[test]
fn a_back_end_that_left_and_started_again_under_its_id_gets_work() {
    let fleet = fleet_with_one_back_end();
    assert!(fleet.heartbeat(GATE, "draining", 2));
    assert!(fleet.deregister(GATE));
    fleet.wait("no back end is known", |fleet| endpoints(fleet) == 0);
    start_again(&fleet);
    assert!(fleet.heartbeat(GATE, "ready", 1));
    // Another route is added meanwhile: its service has this one back end.
    let routes = vec![
        RouteSpec::safe("look", "/look/", SERVICE),
        RouteSpec::safe("added", "/added/", SERVICE),
    ];
    fleet.write(&DocumentSpec::new(2, SERVICE, routes));
    fleet.wait("its next start is known", |fleet| endpoints(fleet) == 1);
    fleet.wait("the added route is served", |fleet| {
        status(fleet, "/added/1", "id-added") == 200
    });
    assert_eq!(status(&fleet, "/look/1", "id-look"), 200);
}

#[test]
fn a_back_end_that_crashed_and_started_again_under_its_id_is_drained() {
    let fleet = fleet_with_one_back_end();
    assert!(fleet.heartbeat(GATE, "ready", 50));
    assert_eq!(status(&fleet, "/look/1", "id-before"), 200);
    start_again(&fleet);
    assert!(fleet.heartbeat(GATE, "ready", 1));
    fleet.wait("the entry knows the next start", |fleet| {
        status(fleet, "/look/2", "id-after") == 200
    });
    assert!(fleet.heartbeat(GATE, "draining", 2));
    // The acknowledgement binds the gate at once, whatever the entry knows.
    assert_eq!(status(&fleet, "/look/3", "id-draining"), 503);
    assert!(fleet.seen("id-draining").is_empty());
    fleet.wait("the entry knows it as well", |fleet| endpoints(fleet) == 0);
}

#[test]
fn a_late_leave_of_the_start_before_does_not_end_the_present_one() {
    let fleet = fleet_with_one_back_end();
    let late = fleet.backends[GATE].born_ms();
    start_again(&fleet);
    assert!(fleet.heartbeat(GATE, "ready", 1));
    assert!(fleet.deregister_as(GATE, late));
    fleet.wait("the entry knows the next start", |fleet| {
        status(fleet, "/look/1", "id-present") == 200
    });
    assert_eq!(endpoints(&fleet), 1);
}

/// The port never refuses a connection, and the next start answers before it reports:
/// nothing but the start in its report says that the last one has ended.
#[test]
fn a_request_that_crashes_starts_of_one_id_is_stopped() {
    let fleet = fleet_with_one_back_end();
    fleet.backends[GATE].keep_port_open();
    fleet.backends[GATE].crash_on(Some(CrashRule {
        id_prefix: "id-crash".to_string(),
        after: Duration::ZERO,
        down: DOWN,
    }));
    for round in 1..=2 {
        let crash = format!("id-crash-{round}");
        fleet.wait("the back end is offered work", |fleet| {
            status(fleet, "/look/1", "id-calm") == 200
        });
        assert_eq!(status(&fleet, "/look/crash", &crash), 502);
        fleet.wait("the next start answers", |fleet| {
            !fleet.backends[GATE].is_down() && status(fleet, "/look/1", "id-calm") == 200
        });
        assert_eq!(fleet.backends[GATE].crashes(), round);
        assert!(fleet.heartbeat(GATE, "ready", 1));
        fleet.backends[GATE].report_when_told();
    }
    fleet.wait("the request is in quarantine", |fleet| {
        fleet.metric(GATE, "rampthread_quarantined_requests ") == 1
    });
    assert_eq!(status(&fleet, "/look/crash", "id-crash-3"), 503);
    assert_eq!(fleet.backends[GATE].crashes(), 2);
}
