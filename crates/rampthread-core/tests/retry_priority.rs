//! Which calls get retries while the backends of a service shed many calls: simulated load
//! in which a parent's work is lost if its nested call fails, and limits of the retry
//! budget that hold for any callers.

use proptest::prelude::*;
use rampthread_core::call::attempts::{Attempts, NextStep, RetryBudget, RetryClass, RetryLimit};
use rampthread_core::call::headers::{Outcome, Reach};
use rampthread_core::call::nested_routes::NestedRoutes;
use rampthread_core::call::retry_after;
use rampthread_core::ids::ResourceName;
use rampthread_core::time::Moment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);
/// Retries per call that the budget allows.
const RATIO: f64 = 0.2;
/// Ratio of arriving calls that the backends shed.
const SHED_RATIO: f64 = 0.55;
/// Calls of one entry node per second: from callers outside, and from parents with two
/// nested calls each.
const CALLERS_PER_SECOND: u64 = 6;
const PARENTS_PER_SECOND: u64 = 20;
/// Duration of the shedding: most of one window.
const SHED_SECONDS: u64 = 8;

/// Limit of the retries in these tests.
fn limit() -> RetryLimit {
    RetryLimit {
        ratio: RATIO,
        slack: 2.0,
        window: WINDOW,
    }
}

/// Returns whether a call is answered, with retries taken from the budget under this class.
fn is_answered(budget: &mut RetryBudget, class: RetryClass, now: Moment, rng: &mut StdRng) -> bool {
    budget.call_made(now);
    let mut attempts = Attempts::new(true, now + Duration::from_secs(1), 3);
    attempts.class = class;
    loop {
        if !rng.random_bool(SHED_RATIO) {
            return true;
        }
        let next = attempts.record_outcome(Outcome::NotRun, Reach::Backend, now, budget);
        if next != NextStep::Retry {
            return false;
        }
    }
}

/// Number of parents whose nested calls are answered while the service sheds, and number of
/// all parents. Nested calls take retries under the class `nested`.
fn parents_answered(nested: RetryClass, seed: u64) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new(limit());
    let (mut answered, mut parents) = (0, 0);
    let each_second = CALLERS_PER_SECOND + PARENTS_PER_SECOND;
    for call in 0..each_second * SHED_SECONDS {
        let now = Moment(1) + Duration::from_micros(call * 1_000_000 / each_second);
        if call % each_second < CALLERS_PER_SECOND {
            is_answered(&mut budget, RetryClass::Caller, now, &mut rng);
            continue;
        }
        parents += 1;
        let first = is_answered(&mut budget, nested, now, &mut rng);
        let second = is_answered(&mut budget, nested, now, &mut rng);
        answered += u64::from(first && second);
    }
    (answered, parents)
}

/// While more than half of the calls are shed and retries are scarce, more parents keep
/// their work if nested calls get retries first.
#[test]
fn nested_calls_first_loses_fewer_parents() {
    let (mut first_come, mut nested_first) = (0, 0);
    for seed in 0..100 {
        first_come += parents_answered(RetryClass::Caller, seed).0;
        nested_first += parents_answered(RetryClass::Nested, seed).0;
    }
    println!("parents answered: {first_come} first come, {nested_first} nested first");
    assert!(nested_first > first_come, "{nested_first} of {first_come}");
}

/// Calls from outside get a share of the retries, however many nested calls ask for
/// retries.
#[test]
fn callers_are_not_starved_of_retries() {
    let mut budget = RetryBudget::new(limit());
    let now = Moment(1);
    (0..1_000).for_each(|_| budget.call_made(now));
    let mut of_callers = 0;
    for _ in 0..1_000 {
        budget.take(RetryClass::Nested, now);
        of_callers += u32::from(budget.take(RetryClass::Caller, now));
    }
    assert!(of_callers >= 40, "{of_callers} of about 200");
}

/// If no nested call asks for a retry, calls from outside may use the whole retry budget.
#[test]
fn without_nested_calls_callers_may_use_the_whole_budget() {
    let mut budget = RetryBudget::new(limit());
    let now = Moment(1);
    (0..1_000).for_each(|_| budget.call_made(now));
    let taken = (0..1_000)
        .filter(|_| budget.take(RetryClass::Caller, now))
        .count();
    assert_eq!(taken, 201);
}

/// A retry that was rejected by a full gate node is returned to the budget.
#[test]
fn a_retry_that_reached_no_backend_is_returned() {
    let now = Moment(1);
    let mut budget = RetryBudget::new(RetryLimit {
        ratio: 0.0,
        slack: 1.0,
        window: WINDOW,
    });
    let mut attempts = Attempts::new(true, now + WINDOW, 3);
    let shed = attempts.record_outcome(Outcome::NotRun, Reach::Backend, now, &mut budget);
    assert_eq!(shed, NextStep::Retry);
    assert!(!budget.take(RetryClass::Nested, now), "it is taken");
    let full = attempts.record_outcome(Outcome::NotRun, Reach::Gate, now, &mut budget);
    assert_eq!(full, NextStep::Retry);
    attempts.end(&mut budget);
    assert!(budget.take(RetryClass::Nested, now), "it is free again");
}

proptest! {
    /// In every window the retries that reach backends stay within the ratio and slack of
    /// the budget, for calls of any class and any retries returned to the budget.
    #[test]
    fn retries_stay_within_the_limit_in_every_window(
        steps in prop::collection::vec(
            (0_u64..700, 0_u32..30, any::<bool>(), 0_u32..30, 0_u32..6), 1..60),
        ratio in 0.0_f64..0.5,
        slack in 0.0_f64..20.0,
    ) {
        let mut budget = RetryBudget::new(RetryLimit { ratio, slack, window: WINDOW });
        let mut now = Moment(1);
        let mut held: Vec<(RetryClass, Moment)> = Vec::new();
        let mut made: Vec<(Moment, u32, u32)> = Vec::new();
        for (pause, calls, nested, attempts_asked, kept) in steps {
            now = now + Duration::from_millis(pause);
            for (class, taken_at) in held.drain(..) {
                budget.refund(class, taken_at);
            }
            (0..calls).for_each(|_| budget.call_made(now));
            let class = if nested { RetryClass::Nested } else { RetryClass::Caller };
            let taken = (0..attempts_asked).filter(|_| budget.take(class, now)).count() as u32;
            let kept = kept.min(taken);
            held.extend((0..kept).map(|_| (class, now)));
            made.push((now, calls, taken - kept));
            let inside = |moment: Moment, reach: Duration| now.since(moment) <= reach;
            let arrivals: u32 = made.iter().filter(|(at, ..)| inside(*at, WINDOW)).map(|one| one.2).sum();
            if taken == 0 {
                continue;
            }
            // The window is counted in ten parts, so the calls of one more part may count
            // towards the budget.
            let reach = WINDOW + WINDOW / 10;
            let calls: u32 = made.iter().filter(|(at, ..)| inside(*at, reach)).map(|one| one.1).sum();
            prop_assert!(f64::from(arrivals) <= ratio * f64::from(calls) + slack + 1e-6);
        }
    }

    /// A caller that follows the retry advice after a shed call has enough time left for a
    /// response.
    #[test]
    fn an_advised_retry_can_be_in_time(
        target_ms in 0_u64..10_000,
        answer_ms in 0_u64..10_000,
        chance in 0.0_f64..1.0,
    ) {
        let (target, answer) = (Duration::from_millis(target_ms), Duration::from_millis(answer_ms));
        match retry_after::after_shed(target, answer, chance) {
            Some(wait) => prop_assert!(wait + answer < target),
            None => prop_assert!(target_ms < answer_ms + 20),
        }
    }
}

#[test]
fn the_report_of_a_gate_expires() {
    let mut nested = NestedRoutes::default();
    let (route, other) = (
        ResourceName::new("lookup").unwrap(),
        ResourceName::new("view").unwrap(),
    );
    let now = Moment(1);
    nested.record_report(&route, now);
    assert!(nested.is_nested(&route, now + Duration::from_secs(10)));
    assert!(!nested.is_nested(&other, now));
    assert!(!nested.is_nested(&route, now + Duration::from_secs(60)));
}
