//! An entry that gave up on a hop asks the gate whether the call can still start.
//!
//! What users saw: a request that may run once was answered 503 with the promise
//! that it had not run, and it ran.
//!
//! Order of events: the call begins at the back end beside node 1. Its entry, node 0,
//! is held up; meanwhile the process of node 1 is killed and another one starts at the
//! same address. Node 0 goes on, finds the connection of the hop lost, and asks
//! whether the call had started. The new process has never heard of it.
//!
//! Cause: the answer came from a memory that is younger than what it was asked about.
//! Evidence: without the restart the same loss is answered as unknown; with it, 503
//! each time, `cause=fenced` in the entry's log, while the back end works on.

mod platform_support;

use platform_support::{PlatformFleet, SERVICE, request, status_of};
use rampthread_adapter_standin::{DocumentSpec, RouteSpec};
use rustix::process::Signal;
use std::time::Duration;

/// The entry of the call, and the node beside the back end that runs it.
const ENTRY: usize = 0;
const GATE: usize = 1;
/// Work of the call: longer than everything that happens meanwhile.
const WORK: Duration = Duration::from_secs(4);
/// Time for which the entry is still held up once the gate's next process runs.
const HELD_UP: Duration = Duration::from_millis(800);

/// Three nodes; only the back end beside [`GATE`] takes work.
fn fleet_with_one_back_end() -> PlatformFleet {
    let mut document =
        DocumentSpec::new(1, SERVICE, vec![RouteSpec::once("buy", "/buy/", SERVICE)]);
    document.routes[0].timeout_ms = 8_000;
    let fleet = PlatformFleet::start(3, &document);
    for other in [ENTRY, 2] {
        assert!(fleet.heartbeat(other, "draining", 2));
    }
    fleet.backends[GATE].set_work(WORK);
    fleet
}

fn buy(id: &str) -> String {
    request("POST", "/buy/1", id, Some(8_000), "x")
}

/// The answer to a call that began at the back end and whose entry was held up while
/// `meanwhile` happened.
fn answer_of_a_held_up_entry(id: &str, meanwhile: impl FnOnce(&mut PlatformFleet)) -> String {
    let mut fleet = fleet_with_one_back_end();
    let entry = fleet.callers()[ENTRY];
    let call = buy(id);
    let caller = std::thread::spawn(move || platform_support::exchange(entry, &call));
    fleet.wait("the call begins", |fleet| !fleet.seen(id).is_empty());
    fleet.signal(ENTRY, Signal::STOP);
    meanwhile(&mut fleet);
    std::thread::sleep(HELD_UP);
    fleet.signal(ENTRY, Signal::CONT);
    let answer = caller.join().unwrap().unwrap_or_default();
    let seen = fleet.seen(id);
    assert_eq!(seen.len(), 1, "{id} ran {} times", seen.len());
    assert!(seen[0].ran);
    answer
}

#[test]
fn a_call_that_began_at_a_gate_that_was_replaced_is_not_refused_as_not_run() {
    let answer = answer_of_a_held_up_entry("id-replaced", |fleet| {
        fleet.kill(GATE);
        fleet.start_node(GATE);
        fleet.wait("the gate's next process answers", |fleet| {
            fleet.readiness(GATE) != 0
        });
    });
    assert_eq!(status_of(&answer), 502, "{answer}");
}

#[test]
fn a_call_that_began_at_a_gate_that_has_ended_is_not_refused_as_not_run() {
    let answer = answer_of_a_held_up_entry("id-ended", |fleet| fleet.kill(GATE));
    assert_eq!(status_of(&answer), 502, "{answer}");
}
