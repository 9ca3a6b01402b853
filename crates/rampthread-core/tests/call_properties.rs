//! Property tests of the guarantees to callers: admission, fences, retries, balancing,
//! claims and headers.

use proptest::prelude::*;
use rampthread_core::call::admission::{
    AdmissionController, AdmissionDecision, AdmissionLimits, Arrival,
};
use rampthread_core::call::attempts::{
    Attempts, MAX_ATTEMPTS, NextStep, RetryBudget, RetryClass, RetryLimit,
};
use rampthread_core::call::balance::{BalanceMode, Balancer, Endpoint, UNAVAILABLE_LOAD};
use rampthread_core::call::claims::{ClaimDecision, ClaimReply, ClaimTable, ClaimVote};
use rampthread_core::call::fence::{FENCE_RETENTION, FenceStatus, FenceTable};
use rampthread_core::call::headers::{self, Outcome, Reach};
use rampthread_core::call::precedence::Precedence;
use rampthread_core::ids::{NodeId, Zone};
use rampthread_core::time::Moment;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// One event at the admission controller: a call arrives, a running call ends, a waiting
/// call is cancelled, or milliseconds pass.
#[derive(Debug, Clone)]
enum QueueEvent {
    Arrive { caller: u8, max_wait_ms: u64 },
    End,
    Cancel(usize),
    Advance(u64),
}

fn queue_event() -> impl Strategy<Value = QueueEvent> {
    prop_oneof![
        4 => (0_u8..4, 0_u64..200).prop_map(|(caller, max_wait_ms)| QueueEvent::Arrive { caller, max_wait_ms }),
        3 => Just(QueueEvent::End),
        1 => any::<usize>().prop_map(QueueEvent::Cancel),
        2 => (1_u64..50).prop_map(QueueEvent::Advance),
    ]
}

/// `count` endpoints in one zone, each with 10 slots and without slow start.
fn endpoints(count: usize, zone: &Zone) -> Vec<Endpoint> {
    (0..count)
        .map(|index| Endpoint {
            node: NodeId::new(&format!("node-{index}")).unwrap(),
            zone: zone.clone(),
            slots: 10,
            slow_start: Duration::ZERO,
            speed_percent: 100,
        })
        .collect()
}

proptest! {
    /// Running calls never exceed the slots, each waiting call is released or dropped once,
    /// and the reported load is the number of calls that run or wait.
    #[test]
    fn admission_never_exceeds_the_slots(
        slots in 1_u32..8,
        queue in 0_u32..12,
        steps in prop::collection::vec(queue_event(), 1..200),
    ) {
        let mut admission = AdmissionController::new(AdmissionLimits { slots, queue });
        let mut now = Moment(1);
        let mut running: u32 = 0;
        let mut waiting: Vec<u64> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            let call = number as u64;
            match step {
                QueueEvent::Arrive { caller, max_wait_ms } => {
                    let arrival = Arrival {
                        call,
                        caller: format!("caller-{caller}"),
                        deadline: now + Duration::from_millis(max_wait_ms),
                        rank: u32::from(caller) % 2,
                        precedence: Precedence::FirstAttempt,
                        max_wait: Duration::from_secs(10),
                        expected_service_time: None,
                    };
                    match admission.arrive(arrival, now) {
                        AdmissionDecision::Run => running += 1,
                        AdmissionDecision::Wait => waiting.push(call),
                        AdmissionDecision::Refused(refusal) => prop_assert!(!refusal.retry_after.is_zero()),
                    }
                }
                QueueEvent::End if running > 0 => {
                    running -= 1;
                    let released = admission.release(Some(Duration::from_millis(5)), now);
                    for released_call in released.expired.iter().chain(&released.run) {
                        let index = waiting.iter().position(|call| call == released_call);
                        prop_assert!(index.is_some(), "a call was released twice");
                        waiting.remove(index.unwrap());
                    }
                    running += u32::from(released.run.is_some());
                }
                QueueEvent::End => {}
                QueueEvent::Cancel(pick) if !waiting.is_empty() => {
                    let call = waiting.remove(pick % waiting.len());
                    prop_assert!(admission.cancel(call));
                }
                QueueEvent::Cancel(_) => prop_assert!(!admission.cancel(u64::MAX)),
                QueueEvent::Advance(ms) => now = now + Duration::from_millis(ms),
            }
            prop_assert!(running <= slots);
            prop_assert_eq!(admission.running(), running);
            prop_assert_eq!(admission.load(), running + waiting.len() as u32);
        }
    }

    /// While one caller floods the queue, a call of another caller is among the next two
    /// that are served.
    #[test]
    fn one_caller_cannot_starve_another(flood in 20_usize..200) {
        let mut admission = AdmissionController::new(AdmissionLimits { slots: 1, queue: 4 });
        let now = Moment(1);
        let arrive = |admission: &mut AdmissionController, call: u64, caller: &str| {
            let deadline = now + Duration::from_secs(10);
            let arrival = Arrival {
                call,
                caller: caller.to_string(),
                deadline,
                rank: 1,
                precedence: Precedence::FirstAttempt,
                max_wait: Duration::from_secs(10),
                expected_service_time: None,
            };
            admission.arrive(arrival, now)
        };
        for call in 0..flood as u64 {
            arrive(&mut admission, call, "flood");
        }
        let quiet = arrive(&mut admission, 1_000, "quiet");
        prop_assert_eq!(quiet, AdmissionDecision::Wait);
        let first = admission.release(Some(Duration::from_millis(1)), now).run;
        let second = admission.release(Some(Duration::from_millis(1)), now).run;
        prop_assert!(first == Some(1_000) || second == Some(1_000));
    }

    /// In any order of starts, duplicates and fences, a call starts at most once, and never
    /// after a fence replied that it never will.
    #[test]
    fn a_fenced_call_never_starts(
        steps in prop::collection::vec((0_u8..3, any::<bool>(), 0_u64..2_000), 1..100),
    ) {
        let mut table = FenceTable::new(Moment(1));
        let mut now = Moment(1);
        let mut started = HashSet::new();
        let mut never = HashSet::new();
        for (call, fence, pause_ms) in steps {
            now = now + Duration::from_millis(pause_ms);
            prop_assume!(now.since(Moment(1)) < FENCE_RETENTION);
            let id = format!("call-{call}");
            if fence {
                match table.fence(&id, now).fenced {
                    FenceStatus::NeverStarts => {
                        prop_assert!(!started.contains(&id));
                        never.insert(id);
                    }
                    FenceStatus::Started => prop_assert!(started.contains(&id)),
                    FenceStatus::Unknown => prop_assert!(false, "the table is not full"),
                }
            } else if table.start(&id, now).is_ok() {
                prop_assert!(!never.contains(&id), "a fenced call started");
                prop_assert!(started.insert(id), "a call started twice");
            }
        }
    }

    /// A call that may not run twice is retried only while no attempt can have run. The
    /// outcome of a call that ends without response is `not-run` only if no attempt can
    /// have run.
    #[test]
    fn retries_are_safe_and_bounded(
        repeatable in any::<bool>(),
        outcomes in prop::collection::vec(prop_oneof![
            Just(Outcome::NotRun), Just(Outcome::Unknown)
        ], 1..10),
        percent in 0_u8..=100,
        reach in prop_oneof![Just(Reach::Gate), Just(Reach::Backend)],
        max_arrivals in 1_u32..5,
    ) {
        let mut budget = RetryBudget::new(RetryLimit::percent(percent));
        budget.call_made(Moment(1));
        let mut attempts = Attempts::new(repeatable, Moment(10_000_000), max_arrivals);
        let mut may_have_run = false;
        for (number, outcome) in outcomes.into_iter().enumerate() {
            may_have_run |= outcome == Outcome::Unknown;
            match attempts.record_outcome(outcome, reach, Moment(1), &mut budget) {
                NextStep::Retry => {
                    prop_assert!(repeatable || !may_have_run, "unsafe retry");
                    prop_assert!((number as u32) + 1 < MAX_ATTEMPTS);
                    prop_assert!(attempts.arrivals() < max_arrivals, "too many backends");
                }
                NextStep::AwaitOther => prop_assert!(false, "no other attempt is in progress"),
                NextStep::GiveUp(final_outcome) => {
                    prop_assert_eq!(final_outcome == Outcome::NotRun, !may_have_run);
                    break;
                }
            }
        }
    }

    /// A call with a hedged attempt does not end while one of its two attempts is in
    /// progress. A hedged attempt starts only if the call may run twice, and the call never
    /// reaches more backends than allowed.
    #[test]
    fn hedges_are_safe_and_bounded(
        repeatable in any::<bool>(),
        steps in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 1..20),
        max_arrivals in 1_u32..5,
    ) {
        let now = Moment(1);
        let mut budget = RetryBudget::new(RetryLimit::percent(100));
        for _ in 0..50 {
            budget.call_made(now);
        }
        let mut attempts = Attempts::new(repeatable, Moment(10_000_000), max_arrivals);
        attempts.begin();
        let mut in_progress = 1;
        for (hedge, ran, reached) in steps {
            if hedge && attempts.begin_hedge(now, &mut budget) {
                prop_assert!(repeatable);
                in_progress += 1;
            }
            prop_assert!(in_progress <= 2);
            prop_assert!(attempts.arrivals() + in_progress <= max_arrivals.max(1));
            let outcome = if ran { Outcome::Unknown } else { Outcome::NotRun };
            let reach = if ran || reached { Reach::Backend } else { Reach::Gate };
            in_progress -= 1;
            match attempts.record_outcome(outcome, reach, now, &mut budget) {
                NextStep::AwaitOther => prop_assert_eq!(in_progress, 1),
                NextStep::Retry => {
                    prop_assert_eq!(in_progress, 0);
                    attempts.begin();
                    in_progress = 1;
                }
                NextStep::GiveUp(_) => {
                    prop_assert_eq!(in_progress, 0, "given up with an attempt in progress");
                    break;
                }
            }
        }
    }

    /// The number of retries stays within the budget, in any order of calls and retries.
    #[test]
    fn retries_stay_within_the_budget(percent in 0_u8..=100, calls in 1_usize..2_000) {
        let now = Moment(1);
        let mut budget = RetryBudget::new(RetryLimit::percent(percent));
        let mut retries = 0_usize;
        for _ in 0..calls {
            budget.call_made(now);
            retries += usize::from(budget.take(RetryClass::Nested, now));
            retries += usize::from(budget.take(RetryClass::Nested, now));
        }
        let allowed = calls as f64 * f64::from(percent) / 100.0 + 6.0;
        prop_assert!(retries as f64 <= allowed, "{} retries of {} calls", retries, calls);
    }

    /// However many endpoints fail, at least half of a service's endpoints get calls.
    #[test]
    fn ejection_spares_at_least_half(
        count in 1_usize..20,
        failing in prop::collection::vec(any::<bool>(), 20),
        seed in any::<u64>(),
    ) {
        let zone = Zone::new("zone").unwrap();
        let endpoints = endpoints(count, &zone);
        let now = Moment(5_000_000);
        let mut balancer = Balancer::new(BalanceMode::LeastCost, now);
        for (endpoint, fails) in endpoints.iter().zip(&failing) {
            for _ in 0..5 * usize::from(*fails) {
                balancer.record_failure(&endpoint.node, now);
            }
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut chosen = HashSet::new();
        for _ in 0..400 {
            let endpoint = balancer.choose(&endpoints, &[], &zone, |_| true, now, &mut rng);
            prop_assert!(endpoint.is_some(), "a service with endpoints got no call");
            chosen.insert(endpoint.unwrap().node.clone());
        }
        prop_assert!(chosen.len() * 2 >= count, "{} of {}", chosen.len(), count);
    }

    /// An endpoint that reports that it accepts no calls gets none while other endpoints
    /// accept calls.
    #[test]
    fn an_endpoint_that_accepts_no_calls_gets_none(count in 2_usize..10, seed in any::<u64>()) {
        let zone = Zone::new("zone").unwrap();
        let endpoints = endpoints(count, &zone);
        let now = Moment(5_000_000);
        let mut balancer = Balancer::new(BalanceMode::LeastCost, now);
        balancer.record_load(&endpoints[0].node, UNAVAILABLE_LOAD, now);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..50 {
            let chosen = balancer.choose(&endpoints, &[], &zone, |_| true, now, &mut rng).unwrap();
            prop_assert!(chosen.node != endpoints[0].node);
        }
    }

    /// Two calls with the same idempotency key never both get a majority of claims, in any
    /// order of claims. This also holds if a minority of the claim holders (nodes that
    /// store claims) restarts in between.
    #[test]
    fn one_key_has_at_most_one_claim(
        order in prop::collection::vec((0_usize..5, 0_usize..2), 0..20),
        restarts in prop::collection::vec(0_usize..5, 0..2),
    ) {
        let ttl = Duration::from_secs(60);
        let late = Moment(120_000_000);
        let mut holders: Vec<ClaimTable> = (0..5).map(|_| ClaimTable::new(Moment(1), ttl)).collect();
        let calls = ["one".to_string(), "two".to_string()];
        let mut answers: HashMap<(usize, usize), ClaimReply> = HashMap::new();
        for (step, (holder, call)) in order.into_iter().enumerate() {
            if let Some(restarted) = restarts.get(step) {
                holders[*restarted] = ClaimTable::new(late, ttl);
            }
            let answer = holders[holder].claim("key", &calls[call], late);
            answers.entry((call, holder)).or_insert(answer);
        }
        let decision = |call: usize| {
            let mut vote = ClaimVote::new(5);
            for holder in 0..5 {
                if let Some(answer) = answers.get(&(call, holder)) {
                    vote.add(*answer);
                }
            }
            vote.decision()
        };
        prop_assert!(!(decision(0) == ClaimDecision::Run && decision(1) == ClaimDecision::Run));
    }

    /// Parsing internal headers never panics, whatever a caller sends.
    #[test]
    fn any_header_text_is_parsed_or_rejected(text in ".*") {
        let _ = headers::parse_deadline(Some(&text));
        if let Ok(hops) = headers::next_hop(Some(&text)) {
            prop_assert!(hops <= headers::MAX_HOPS);
        }
    }
}
