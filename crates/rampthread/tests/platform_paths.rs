//! Callers may use any path that their routes allow, those of nodes among themselves too.
//!
//! What users would see: a request that may run once and whose path is that of a question
//! between nodes is answered 502, or by a node instead of the back end.
//!
//! Order of events: the entry sends it to the gate with its own path; the gate's listener
//! tells questions from hops by the path alone and takes it for a fence, a claim, an
//! announcement of a body or a control message of the fleet.
//!
//! Cause: a hop is known by its head, which only nodes can write, and nobody looked there.

mod platform_support;

use platform_support::{PlatformFleet, SERVICE, request, status_of};
use rampthread_adapter_standin::{DocumentSpec, RouteSpec};
use rstest::rstest;

/// The entry of the call, and the node beside the back end that runs it.
const ENTRY: usize = 0;
const GATE: usize = 1;

#[rstest]
#[case::fence("/rampthread/fence")]
#[case::reserve("/rampthread/reserve")]
#[case::claim("/rampthread/claim")]
#[case::control("/rampthread/control")]
fn a_path_of_nodes_among_themselves_reaches_the_back_end(#[case] path: &str) {
    let route = RouteSpec::once("any", "/rampthread/", SERVICE);
    let fleet = PlatformFleet::start(2, &DocumentSpec::new(1, SERVICE, vec![route]));
    assert!(fleet.heartbeat(ENTRY, "draining", 2));
    let answer = fleet.call(ENTRY, &request("POST", path, "id-path", None, "x"));
    assert_eq!(status_of(&answer), 200, "{answer}");
    let seen = fleet.seen("id-path");
    assert_eq!(seen.len(), 1, "ran {} times", seen.len());
    assert!(fleet.backends[GATE].seen().contains(&seen[0]));
}
