//! Properties of single decisions: routing by host and path prefix, admission at the gate,
//! choice of backends by cost, backend reports, log rate limits, and agents whose configuration
//! is a document.

mod mesh;

use mesh::{Mesh, agent, document, endpoint_record, machine, name, route, service};
use proptest::prelude::*;
use rampthread_core::backend_incarnation::BackendIncarnation;
use rampthread_core::call::admission::{
    AdmissionController, AdmissionDecision, AdmissionLimits, Arrival,
};
use rampthread_core::call::attempts::{RetryBudget, RetryClass, RetryLimit};
use rampthread_core::call::balance::{BalanceMode, Balancer, Endpoint};
use rampthread_core::call::cause::Cause;
use rampthread_core::call::headers::QueueingLimit;
use rampthread_core::call::log_rate_limit::{LogRateLimiter, is_sampled};
use rampthread_core::call::precedence::Precedence;
use rampthread_core::call::route_table::{CallHead, RouteTable};
use rampthread_core::call::service_times::ServiceTimes;
use rampthread_core::config::ConfigState;
use rampthread_core::fleet::{BackendReport, BackendTracker, Machine, ReportStatus};
use rampthread_core::ids::{NodeId, Version, Zone};
use rampthread_core::time::Moment;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Returns a call with this id, rank, deadline and maximum queueing time that arrives for
/// admission.
fn arrival(call: u64, rank: u32, deadline: Moment, max_wait: Duration) -> Arrival {
    Arrival {
        call,
        caller: "caller".to_string(),
        deadline,
        rank,
        precedence: Precedence::FirstAttempt,
        max_wait,
        expected_service_time: None,
    }
}

fn arrival_with_work(call: u64, work_ms: u64) -> Arrival {
    Arrival {
        expected_service_time: Some(Duration::from_millis(work_ms)),
        ..arrival(call, 1, Moment(1) + HOUR, HOUR)
    }
}

const HOUR: Duration = Duration::from_secs(3_600);

proptest! {
    /// The route table returns the same route as a linear search.
    #[test]
    fn longest_prefix_of_the_host_matches(
        routes in prop::collection::btree_set((0_u8..3, "(/[ab]){0,3}/"), 1..12),
        host in 0_u8..4,
        path in "(/[ab]){0,4}/",
    ) {
        let routes: Vec<(String, String)> = routes
            .into_iter()
            .map(|(host, prefix)| (format!("host-{host}"), prefix))
            .collect();
        let mut resources = vec![service("shop")];
        for (index, (host, prefix)) in routes.iter().enumerate() {
            resources.push(route(&format!("r-{index}"), host, prefix));
        }
        let state = ConfigState::from_document(Version(1), resources, None).unwrap();
        let table = RouteTable::new(&state);
        let host = format!("host-{host}");
        let head = CallHead {
            host: Some(&host),
            path: &path,
            method: &http::Method::GET,
            headers: &http::HeaderMap::new(),
        };
        let expected = routes
            .iter()
            .filter(|(other, prefix)| *other == host && path.starts_with(prefix.as_str()))
            .map(|(_, prefix)| prefix.clone())
            .max_by_key(String::len);
        let found = table.find(&head).map(|route| route.path.text().to_string());
        prop_assert_eq!(found, expected);
    }

    /// A document with dangling references is rejected as a whole, with a finding for each.
    #[test]
    fn every_dangling_reference_of_a_document_is_found(missing in 1_usize..5) {
        let mut resources = Vec::new();
        for index in 0..missing {
            resources.push(route(&format!("r-{index}"), &format!("host-{index}"), "/"));
        }
        let findings = ConfigState::from_document(Version(1), resources, None).unwrap_err();
        prop_assert_eq!(findings.to_string().matches("no service/shop").count(), missing);
    }

    /// With a maximum queueing time of zero a call is admitted or rejected at once.
    #[test]
    fn call_without_queueing_time_never_waits(slots in 1_u32..10, calls in 1_u64..40) {
        let mut admission = AdmissionController::new(AdmissionLimits { slots, queue: 100 });
        let now = Moment(1);
        for call in 0..calls {
            let answer = admission.arrive(arrival(call, 1, now + HOUR, Duration::ZERO), now);
            prop_assert!(answer != AdmissionDecision::Wait);
        }
        prop_assert_eq!(admission.queued(), 0);
    }

    /// The maximum queueing time stays within a fraction of the target latency and does not
    /// grow with the service time.
    #[test]
    fn max_wait_does_not_grow_with_service_time(target in 1_u64..10_000, works in prop::collection::vec(0_u64..20_000, 1..20)) {
        let target = Duration::from_millis(target);
        let mut works = works;
        works.sort_unstable();
        let mut last = target;
        for work in works {
            let mut times = ServiceTimes::default();
            times.record(&name("r"), Duration::from_millis(work));
            let max_wait = times.max_wait(&name("r"), target, Precedence::FirstAttempt, HOUR);
            prop_assert!(max_wait <= last && max_wait <= target.mul_f64(0.4));
            prop_assert!(max_wait >= target.mul_f64(0.15));
            last = max_wait;
        }
    }

    /// A queueing limit survives the round trip through its header.
    #[test]
    fn queueing_limit_survives_the_header_round_trip(target in 0_u64..1_000_000) {
        let all = [
            QueueingLimit::Never,
            QueueingLimit::UntilDeadline,
            QueueingLimit::ForTarget(Duration::from_millis(target)),
        ];
        for waiting in all {
            prop_assert_eq!(QueueingLimit::parse(Some(&waiting.to_string())), waiting);
        }
    }

    /// Among the queued calls of one caller, the one with the earliest deadline runs first.
    #[test]
    fn earliest_deadline_runs_first(
        deadlines in prop::collection::btree_set(1_u64..1_000, 2..20),
        seed in any::<u64>(),
    ) {
        use rand::seq::SliceRandom;
        let mut order: Vec<u64> = deadlines.iter().copied().collect();
        order.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
        let mut admission = AdmissionController::new(AdmissionLimits { slots: 1, queue: 100 });
        let now = Moment(1);
        admission.arrive(arrival(0, 1, now + HOUR, HOUR), now);
        for deadline in &order {
            let ends = now + HOUR + Duration::from_millis(*deadline);
            admission.arrive(arrival(*deadline, 1, ends, HOUR), now);
        }
        let mut ran = Vec::new();
        while let Some(call) = admission.release(None, now).run {
            ran.push(call);
        }
        prop_assert_eq!(ran, deadlines.into_iter().collect::<Vec<_>>());
    }

    /// Short calls overtake long ones in the queue, but long ones are not starved.
    #[test]
    fn short_calls_overtake_long_ones_without_starving_them(long in 1_u64..10, short in 8_u64..40) {
        let mut admission = AdmissionController::new(AdmissionLimits { slots: 1, queue: 100 });
        let now = Moment(1);
        admission.arrive(arrival(0, 1, now + HOUR, HOUR), now);
        for call in 0..long {
            admission.arrive(arrival_with_work(1 + call, 200), now);
        }
        for call in 0..short {
            admission.arrive(arrival_with_work(1_000 + call, 20), now);
        }
        let mut ran = Vec::new();
        while let Some(call) = admission.release(None, now).run {
            ran.push(call);
        }
        prop_assert_eq!(ran.len() as u64, long + short);
        prop_assert!(ran[..3].iter().all(|call| *call >= 1_000));
        prop_assert!(ran[..4].contains(&1), "the first long call must run after at most three short ones");
    }

    /// In every window, retries stay within the ratio to first attempts plus the slack.
    #[test]
    fn retry_budget_holds_in_every_window(
        steps in prop::collection::vec((0_u64..700, 0_u32..30, 0_u32..30), 1..60),
        ratio in 0.0_f64..0.5,
        slack in 0.0_f64..20.0,
    ) {
        let window = Duration::from_secs(10);
        let mut budget = RetryBudget::new(RetryLimit { ratio, slack, window });
        let mut now = Moment(1);
        let mut made: Vec<(Moment, u32, u32)> = Vec::new();
        for (pause, calls, tries) in steps {
            now = now + Duration::from_millis(pause);
            (0..calls).for_each(|_| budget.call_made(now));
            let taken = (0..tries).filter(|_| budget.take(RetryClass::Nested, now)).count() as u32;
            made.push((now, calls, taken));
            if taken == 0 {
                continue;
            }
            let inside = |moment: Moment, reach: Duration| now.since(moment) <= reach;
            let retries: u32 = made.iter().filter(|(at, ..)| inside(*at, window)).map(|one| one.2).sum();
            // The window is divided into parts, so it may cover one part more.
            let reach = window + window / 10;
            let calls: u32 = made.iter().filter(|(at, ..)| inside(*at, reach)).map(|one| one.1).sum();
            prop_assert!(f64::from(retries) <= ratio * f64::from(calls) + slack + 1e-6);
        }
    }

    /// Whatever the order of reports, a departed backend is not announced again, and an earlier
    /// incarnation does not come back.
    #[test]
    fn departed_backend_does_not_come_back(
        reports in prop::collection::vec((0_u8..3, 0_u64..20, any::<bool>(), any::<bool>()), 1..60),
    ) {
        let mut reported = BackendTracker::default();
        let mut departed = std::collections::BTreeSet::new();
        for (instance, sequence, draining, departs) in reports {
            let instance = format!("i-{instance}");
            let report = if departs {
                departed.insert(instance.clone());
                BackendReport::Departure(BackendIncarnation::new(&instance, None).unwrap())
            } else {
                BackendReport::Heartbeat(endpoint_record(&instance, sequence, draining))
            };
            if let ReportStatus::Changed(endpoint) = reported.apply_report(report, Moment(1)) {
                let again = departed.contains(endpoint.instance.as_str()) && !endpoint.draining;
                prop_assert!(!again, "{:?} came back", endpoint.instance);
                if endpoint.draining {
                    departed.insert(endpoint.instance.as_str().to_string());
                }
            }
        }
    }

    /// Log lines of one cause stay within burst and rate, and all others are counted as
    /// suppressed.
    #[test]
    fn log_lines_are_bounded_and_counted(pauses in prop::collection::vec(0_u64..50, 1..2_000)) {
        let mut budget = LogRateLimiter::default();
        let mut now = Moment(1);
        let (mut written, mut told) = (0_u64, 0_u64);
        for pause in &pauses {
            now = now + Duration::from_millis(*pause);
            written += u64::from(budget.allow("full", now));
            told += budget.summary(now).iter().map(|one| one.lines).sum::<u64>();
        }
        let seconds = now.since(Moment(1)).as_secs_f64();
        prop_assert!(written as f64 <= 21.0 + 5.0 * seconds);
        let later = now + Duration::from_secs(60);
        told += budget.summary(later).iter().map(|one| one.lines).sum::<u64>();
        prop_assert_eq!(written + told, pauses.len() as u64);
    }

    /// The text of a cause parses to the same cause.
    #[test]
    fn cause_text_round_trips(index in 0_usize..Cause::ALL.len()) {
        let cause = Cause::ALL[index];
        prop_assert_eq!(Cause::parse(cause.as_str()), Some(cause));
    }

    /// A node with a document does not go back to an older one.
    #[test]
    fn older_documents_are_ignored(versions in prop::collection::vec(1_u64..50, 1..40)) {
        let mut agent = agent("node-0", 1);
        let mut highest = 0;
        for (step, version) in versions.into_iter().enumerate() {
            let now = Moment(1_000 * (step as u64 + 1));
            agent.on_document(Arc::new(document(version)), now);
            highest = highest.max(version);
            prop_assert_eq!(agent.active().version(), Version(highest));
            prop_assert!(agent.is_ready());
        }
    }
}

#[test]
fn short_call_is_queued_behind_long_calls() {
    let mut admission = AdmissionController::new(AdmissionLimits { slots: 2, queue: 4 });
    let now = Moment(1);
    let max_wait = Duration::from_millis(300);
    let long = |call| Arrival {
        max_wait,
        ..arrival_with_work(call, 200)
    };
    let waiting: Vec<AdmissionDecision> = (0..20)
        .map(|call| admission.arrive(long(call), now))
        .collect();
    assert!(matches!(waiting[19], AdmissionDecision::Refused { .. }));
    let short = Arrival {
        max_wait: Duration::from_millis(30),
        ..arrival_with_work(100, 20)
    };
    assert_eq!(admission.arrive(short, now), AdmissionDecision::Wait);
}

#[test]
fn about_one_call_in_sixty_four_is_sampled() {
    let sampled = (0..64_000)
        .filter(|number| is_sampled(&format!("id-{number}")))
        .count();
    assert!((700..1_300).contains(&sampled), "{sampled}");
}

fn endpoint(node: &str, zone: &str) -> Endpoint {
    Endpoint {
        node: NodeId::new(node).unwrap(),
        zone: Zone::new(zone).unwrap(),
        slots: 10,
        slow_start: Duration::ZERO,
        speed_percent: 100,
    }
}

/// Returns how often the balancer selects each node for 200 calls.
fn selection_counts(
    balancer: &mut Balancer,
    endpoints: &[Endpoint],
    now: Moment,
) -> BTreeMap<String, u32> {
    let zone = Zone::new("near").unwrap();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut counts = BTreeMap::new();
    for _ in 0..200 {
        let endpoint = balancer
            .choose(endpoints, &[], &zone, |_| true, now, &mut rng)
            .unwrap();
        *counts.entry(endpoint.node.to_string()).or_insert(0) += 1;
    }
    counts
}

#[test]
fn same_zone_is_preferred_until_full_or_slow() {
    let endpoints = [
        endpoint("a", "near"),
        endpoint("b", "far"),
        endpoint("c", "far"),
    ];
    let now = Moment(5_000_000);
    let near = &endpoints[0].node;
    let mut balancer = Balancer::new(BalanceMode::LeastCost, now);
    assert_eq!(selection_counts(&mut balancer, &endpoints, now)["a"], 200);
    balancer.record_load(near, 12, now);
    assert!(!selection_counts(&mut balancer, &endpoints, now).contains_key("a"));
    balancer.record_load(near, 0, now);
    for _ in 0..50 {
        for endpoint in &endpoints[1..] {
            balancer.record_response(&endpoint.node, &name("r"), Duration::from_millis(100), now);
        }
        balancer.record_response(near, &name("r"), Duration::from_millis(900), now);
    }
    assert!(!selection_counts(&mut balancer, &endpoints, now).contains_key("a"));
    // Old measurements lose their weight, so the backend is tried again.
    let later = now + Duration::from_secs(60);
    assert_eq!(selection_counts(&mut balancer, &endpoints, later)["a"], 200);
}

/// The known load of a gate may be outdated. A backend of the same zone that seems just full is
/// therefore tried before a call leaves the zone.
#[test]
fn just_full_gate_of_the_same_zone_is_tried_first() {
    let endpoints = [endpoint("a", "near"), endpoint("b", "far")];
    let now = Moment(5_000_000);
    let mut balancer = Balancer::new(BalanceMode::LeastCost, now);
    balancer.record_load(&endpoints[0].node, endpoints[0].slots, now);
    assert_eq!(selection_counts(&mut balancer, &endpoints, now)["a"], 200);
}

#[test]
fn response_to_another_call_shows_that_a_backend_works() {
    let mut balancer = Balancer::new(BalanceMode::LeastCost, Moment(1));
    let node = NodeId::new("a").unwrap();
    let begun = Moment(1_000_000);
    let later = begun + Duration::from_millis(100);
    assert!(!balancer.answered_since(&node, begun));
    balancer.record_response(
        &node,
        &name("r"),
        Duration::from_millis(50),
        begun + Duration::from_millis(50),
    );
    assert!(balancer.answered_since(&node, begun));
    assert!(!balancer.answered_since(&node, later));
}

#[test]
fn unreachable_node_is_not_selected_for_a_while() {
    let endpoints = [endpoint("a", "near"), endpoint("b", "far")];
    let now = Moment(5_000_000);
    let mut balancer = Balancer::new(BalanceMode::LeastCost, now);
    balancer.record_unreachable(&endpoints[0].node, now);
    assert_eq!(selection_counts(&mut balancer, &endpoints, now)["b"], 200);
    let later = now + Duration::from_secs(2);
    assert_eq!(selection_counts(&mut balancer, &endpoints, later)["a"], 200);
}

#[test]
fn document_read_by_one_node_reaches_all_peers() {
    let mut mesh = Mesh::new(8);
    mesh.run(Duration::from_secs(2));
    let now = mesh.now;
    let actions = mesh.agents[0].on_document(Arc::new(document(7)), now);
    mesh.deliver(actions);
    mesh.run(Duration::from_secs(2));
    for agent in &mesh.agents {
        assert_eq!(agent.active().version(), Version(7));
    }
}

#[test]
fn backend_report_reaches_all_nodes_within_a_second() {
    let mut mesh = Mesh::new(12);
    mesh.run(Duration::from_secs(3));
    for draining in [false, true] {
        let sequence = 1 + u64::from(draining);
        let record = endpoint_record("i-1", sequence, draining);
        let now = mesh.now;
        let actions = mesh.agents[3]
            .on_backend_report(BackendReport::Heartbeat(record), now)
            .actions;
        mesh.deliver(actions);
        mesh.run(Duration::from_secs(1));
        for at in 0..12 {
            let known = mesh
                .known_backend(at, 3)
                .expect("the report must have arrived");
            assert_eq!(known.draining, draining, "node-{at}");
        }
    }
}

#[test]
fn node_restarted_with_an_earlier_clock_is_accepted() {
    let mut mesh = Mesh::new(4);
    mesh.run(Duration::from_secs(2));
    let record = BackendReport::Heartbeat(endpoint_record("i-1", 1, false));
    let now = mesh.now;
    let actions = mesh.agents[1].on_backend_report(record, now).actions;
    mesh.deliver(actions);
    mesh.run(Duration::from_secs(1));
    // The wall clock went back, so the incarnation of this run is lower than that of the
    // previous one.
    mesh.agents[1] = agent("node-1", 10);
    let machines: Vec<Machine> = (0..4)
        .map(|index| machine(&format!("node-{index}")))
        .collect();
    let now = mesh.now;
    let actions = mesh.agents[1].set_machines(&machines, now);
    mesh.deliver(actions);
    let record = BackendReport::Heartbeat(endpoint_record("i-2", 1, false));
    let actions = mesh.agents[1].on_backend_report(record, now).actions;
    mesh.deliver(actions);
    mesh.run(Duration::from_secs(2));
    for at in 0..4 {
        let known = mesh
            .known_backend(at, 1)
            .expect("the backend must be known");
        assert_eq!(known.instance.as_str(), "i-2", "node-{at}");
    }
}

#[test]
fn restored_backend_without_heartbeat_is_dropped() {
    let restored = endpoint_record("i-1", 7, false);
    for confirmed in [false, true] {
        let mut agent = agent("node-0", 1);
        let mut now = Moment(1_000_000);
        agent.restore_backend(restored.clone(), now);
        assert!(agent.endpoint().is_some());
        if confirmed {
            let heartbeat = BackendReport::Heartbeat(endpoint_record("i-1", 8, false));
            agent.on_backend_report(heartbeat, now);
        }
        for _ in 0..20 {
            now = now + Duration::from_millis(100);
            agent.tick(now);
        }
        assert_eq!(agent.endpoint().is_some(), confirmed);
    }
}
