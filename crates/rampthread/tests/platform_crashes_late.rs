//! Crashes that are known late: behind proxies no port refuses, so that only the
//! next incarnation's report tells of a crash.

mod crash_fleet;
mod fault_proxy;
mod platform_support;

use crash_fleet::{
    CONTACT, NODES, crash_once, crash_rule, crashing_runs, document, quarantined_everywhere,
};
use fault_proxy::FaultProxy;
use platform_support::{PlatformFleet, exchange, request, status_of};
use std::time::Duration;

/// The quarantine after two crashes lasts 2 s.
const LONGER_THAN_THE_QUARANTINE: Duration = Duration::from_secs(4);

/// A fleet whose back ends are reached through proxies, which live as long.
fn fleet_behind_proxies() -> (PlatformFleet, Vec<FaultProxy>) {
    let mut proxies = Vec::new();
    let fleet = PlatformFleet::start_between(NODES, &document(), |fleet, ips| {
        for (ip, backend) in ips.iter().zip(&fleet.backends) {
            let proxy = FaultProxy::start(*ip, backend.address);
            backend.reached_at(proxy.address);
            proxies.push(proxy);
        }
    });
    (fleet, proxies)
}

/// By the time of the report the requests that were lost have been answered.
#[test]
fn crashes_that_are_known_late_put_no_popular_request_into_quarantine() {
    let (fleet, _proxies) = fleet_behind_proxies();
    for backend in &fleet.backends {
        backend.set_work(Duration::from_millis(250));
    }
    let mut crashed = Vec::new();
    for round in 0..2 {
        crashed.push(crash_under_a_popular_request(&fleet, round));
    }
    // The late reports: each next incarnation says that it is there.
    fleet.wait("both crashes are known at every node", |fleet| {
        let back = crashed
            .iter()
            .all(|index| !fleet.backends[*index].is_down());
        let known = (0..NODES).all(|node| fleet.metric(node, "rampthread_suspected_requests ") > 0);
        back && known
    });
    std::thread::sleep(CONTACT);
    for node in 0..NODES {
        let quarantined = fleet.metric(node, "rampthread_quarantined_requests ");
        assert_eq!(quarantined, 0, "node {node}");
    }
}

/// Sends one and the same request, ends the back end that runs it, and sends it
/// again until it is answered; returns the back end that ended.
fn crash_under_a_popular_request(fleet: &PlatformFleet, round: u32) -> usize {
    let send = |attempt: u32| {
        let id = format!("popular-{round}-{attempt}");
        let text = request("GET", "/look/popular", &id, Some(2_000), "");
        status_of(&exchange(fleet.callers()[0], &text).unwrap_or_default())
    };
    let first = format!("popular-{round}-0");
    let runs_first = |index: &usize| {
        let seen = fleet.backends[*index].seen();
        seen.iter().any(|seen| seen.request_id == first)
    };
    std::thread::scope(|scope| {
        let sending = scope.spawn(|| send(0));
        let mut running = None;
        fleet.wait("the request runs", |_| {
            running = (0..NODES).find(runs_first);
            running.is_some()
        });
        let index = running.unwrap();
        fleet.backends[index].crash(Duration::from_secs(4));
        let mut status = sending.join().unwrap();
        for attempt in 1..20 {
            if status == 200 {
                break;
            }
            status = send(attempt);
        }
        assert_eq!(status, 200, "it is answered by another back end");
        index
    })
}

/// The gates that saw the crashes end, with all that they had seen, before the next
/// incarnations report: the node that sent the request to them still knows it.
#[test]
fn crashes_whose_gates_end_before_they_are_known_are_told_by_the_entry() {
    const ENTRY: usize = 0;
    let (mut fleet, _proxies) = fleet_behind_proxies();
    assert!(fleet.deregister(ENTRY));
    fleet.wait("no node sends work to the entry's back end", |fleet| {
        (0..NODES).all(|node| fleet.metric(node, "rampthread_endpoints ") == (NODES - 1) as u64)
    });
    for backend in &fleet.backends {
        backend.crash_on(Some(crash_rule()));
    }
    crash_once(&fleet, ENTRY, 1);
    let crashed: Vec<usize> = (0..NODES)
        .filter(|node| fleet.backends[*node].is_down())
        .collect();
    assert_eq!(crashed.len(), 2, "both tries ended a back end");
    for node in &crashed {
        fleet.kill(*node);
        fleet.start_node(*node);
    }
    for node in &crashed {
        fleet.wait("the next incarnation", |fleet| {
            !fleet.backends[*node].is_down()
        });
        fleet.wait("its report is taken", |fleet| {
            fleet.heartbeat(*node, "ready", 2)
        });
    }
    quarantined_everywhere(&fleet);
    assert_eq!(crashing_runs(&fleet).len(), 2);
}

/// A back end gets work from its first report on; by then the crash of the one before
/// must be known, or the request that ended it may end this one too.
#[test]
fn a_crash_is_known_when_the_next_incarnation_is_acknowledged() {
    const ENTRY: usize = 0;
    let (fleet, _proxies) = fleet_behind_proxies();
    for backend in &fleet.backends {
        backend.crash_on(Some(crash_rule()));
        backend.report_when_told();
    }
    crash_once(&fleet, ENTRY, 1);
    let crashed: Vec<usize> = (0..NODES)
        .filter(|node| fleet.backends[*node].is_down())
        .collect();
    assert_eq!(crashed.len(), 2, "both tries ended a back end");
    let gauges = [
        "rampthread_suspected_requests ",
        "rampthread_quarantined_requests ",
    ];
    for (node, gauge) in crashed.into_iter().zip(gauges) {
        fleet.wait("the next incarnation", |fleet| {
            !fleet.backends[node].is_down()
        });
        assert!(fleet.heartbeat(node, "ready", 1));
        assert_eq!(fleet.metric(node, gauge), 1, "{gauge}");
        fleet.wait("all nodes know", |fleet| {
            (0..NODES).all(|node| fleet.metric(node, gauge) == 1)
        });
    }
}

/// A trial at a back end that has ended already says nothing about the request: here
/// it has been mended, and all back ends end for another reason just before its trial.
#[test]
fn a_trial_at_a_back_end_that_has_ended_counts_against_nobody() {
    let (fleet, _proxies) = fleet_behind_proxies();
    for backend in &fleet.backends {
        backend.crash_on(Some(crash_rule()));
    }
    crash_once(&fleet, 0, 1);
    quarantined_everywhere(&fleet);
    for backend in &fleet.backends {
        backend.crash_on(None);
    }
    let any_down = |fleet: &PlatformFleet| fleet.backends.iter().any(|backend| backend.is_down());
    fleet.wait("all back ends", |fleet| !any_down(fleet));
    for backend in &fleet.backends {
        backend.crash(LONGER_THAN_THE_QUARANTINE);
    }
    let mut number = 1;
    while any_down(&fleet) {
        number += 1;
        let id = format!("ordinary-{number}");
        let node = number as usize % NODES;
        fleet.call(node, &request("GET", "/look/ordinary", &id, Some(500), ""));
        crash_once(&fleet, node, number);
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.wait("the request is answered", |fleet| {
        number += 1;
        std::thread::sleep(Duration::from_millis(100));
        status_of(&crash_once(fleet, number as usize % NODES, number)) == 200
    });
}
