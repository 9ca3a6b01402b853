//! A version is in force in time also where the store says nothing to the nodes that
//! watch it.
//!
//! What users saw: a version that the store had acknowledged was not in force in time
//! at nodes that reached the store and each other.
//!
//! Order of events: the connections of all nodes that watch the document fall silent;
//! 0.3 s later a version is acknowledged. The watchers wait for an answer that never
//! comes; everybody else waits for the watchers.
//!
//! Cause: silence of a watcher was taken for "there is nothing new". Evidence: with
//! the same connections reset in place of silenced, or with the watchers stopped, the
//! version is in force within the bound; silenced, it takes as long as a watch waits.

mod fault_proxy;
mod platform_support;

use fault_proxy::{Fault, FaultProxy};
use platform_support::{PlatformFleet, SERVICE, request, status_of};
use rampthread_adapter_standin::{DocumentSpec, RouteSpec};
use std::time::{Duration, Instant};

/// More nodes than watch the document.
const NODES: usize = 14;
/// Longer than one watch at the store lasts.
const SEVERAL_WATCHES: Duration = Duration::from_secs(9);
/// Calls to the store in that time that only a watcher makes.
const CALLS_OF_A_WATCHER: u64 = 2;
/// Time from the silence to the acknowledgement of the version.
const BEFORE_THE_VERSION: Duration = Duration::from_millis(300);
/// Time within which a version must be in force.
const BOUND: Duration = Duration::from_millis(2_000);

fn document(version: u32, paths: &[&str]) -> DocumentSpec {
    let routes = paths
        .iter()
        .map(|path| RouteSpec::safe(path, &format!("/{path}/"), SERVICE));
    DocumentSpec::new(version, SERVICE, routes.collect())
}

/// A watch among the calls to the store, as the metrics name it.
const WATCH_CALLS: &str = "rampthread_store_requests_by_kind_total{kind=\"document-watch\"}";

/// Nodes that have watched the document again and again while nothing happened.
fn watchers(fleet: &PlatformFleet) -> Vec<usize> {
    let calls = |node| fleet.metric(node, WATCH_CALLS);
    let before: Vec<u64> = (0..NODES).map(calls).collect();
    std::thread::sleep(SEVERAL_WATCHES);
    (0..NODES)
        .filter(|node| calls(*node) - before[*node] >= CALLS_OF_A_WATCHER)
        .collect()
}

fn serves(fleet: &PlatformFleet, node: usize, path: &str) -> bool {
    let answer = fleet.call(node, &request("GET", &format!("/{path}/1"), "id", None, ""));
    status_of(&answer) == 200
}

/// Time from a version's acknowledgement until it is in force at all nodes that do not
/// watch, while `fault` strikes the store's connections of all that do.
fn in_force_after(fault: Fault) -> Duration {
    let mut proxies = Vec::new();
    let fleet = PlatformFleet::start_between(NODES, &document(1, &["look"]), |fleet, ips| {
        for ip in ips {
            let proxy = FaultProxy::start(*ip, fleet.store.address);
            fleet.reach_store_at(proxy.address);
            proxies.push(proxy);
        }
    });
    let watchers = watchers(&fleet);
    assert!((1..NODES).contains(&watchers.len()), "{watchers:?}");
    let others: Vec<usize> = (0..NODES).filter(|node| !watchers.contains(node)).collect();
    for watcher in &watchers {
        proxies[*watcher].set(fault);
    }
    std::thread::sleep(BEFORE_THE_VERSION);
    let acknowledged = Instant::now();
    fleet.write(&document(2, &["look", "more"]));
    fleet.wait("the new route at the others", |fleet| {
        others.iter().all(|node| serves(fleet, *node, "more"))
    });
    let took = acknowledged.elapsed();
    eprintln!("{fault:?} to {watchers:?}: in force after {took:?}");
    took
}

#[test]
fn a_version_is_in_force_in_time_though_the_store_is_silent_to_all_watchers() {
    let took = in_force_after(Fault::Silent);
    assert!(took <= BOUND, "in force after {took:?}");
}

#[test]
fn a_version_is_in_force_in_time_though_the_store_resets_all_watchers() {
    let took = in_force_after(Fault::Reset);
    assert!(took <= BOUND, "in force after {took:?}");
}
