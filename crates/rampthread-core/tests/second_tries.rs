//! Who gets the second tries while a service turns much away: generated load in which
//! parents lose their work with a nested call, and bounds that hold whoever asks.

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
/// Second arrivals for each call, as a service of the users has it.
const RATIO: f64 = 0.2;
/// Part of what arrives that the back ends turn away while they shed.
const SHED: f64 = 0.55;
/// Calls of one entry in a second: callers' own, and parents with two nested calls each.
const CALLERS_PER_SECOND: u64 = 6;
const PARENTS_PER_SECOND: u64 = 20;
/// For how long the back ends shed: most of one window.
const SHED_SECONDS: u64 = 8;

fn share() -> RetryLimit {
    RetryLimit {
        ratio: RATIO,
        slack: 2.0,
        window: WINDOW,
    }
}

/// True when one call is answered, with second tries as `claim` may have them.
fn is_answered(budget: &mut RetryBudget, claim: RetryClass, now: Moment, rng: &mut StdRng) -> bool {
    budget.call_made(now);
    let mut attempts = Attempts::new(true, now + Duration::from_secs(1), 3);
    attempts.class = claim;
    loop {
        if !rng.random_bool(SHED) {
            return true;
        }
        let next = attempts.record_outcome(Outcome::NotRun, Reach::Backend, now, budget);
        if next != NextStep::Retry {
            return false;
        }
    }
}

/// Parents answered while the service sheds, of how many, with nested calls that claim
/// second tries as `nested`.
fn parents_answered(nested: RetryClass, seed: u64) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new(share());
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

/// While half is shed and second tries are scarce, more parents keep their work when
/// nested calls go first among those who ask for one.
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

/// Calls that lost nothing get a part of the second tries, however many nested ones ask.
#[test]
fn callers_are_not_starved_of_second_tries() {
    let mut budget = RetryBudget::new(share());
    let now = Moment(1);
    (0..1_000).for_each(|_| budget.call_made(now));
    let mut of_callers = 0;
    for _ in 0..1_000 {
        budget.take(RetryClass::Nested, now);
        of_callers += u32::from(budget.take(RetryClass::Caller, now));
    }
    assert!(of_callers >= 40, "{of_callers} of about 200");
}

/// Where no nested call asks, callers may use the whole allowance.
#[test]
fn without_nested_calls_all_is_the_callers() {
    let mut budget = RetryBudget::new(share());
    let now = Moment(1);
    (0..1_000).for_each(|_| budget.call_made(now));
    let taken = (0..1_000)
        .filter(|_| budget.take(RetryClass::Caller, now))
        .count();
    assert_eq!(taken, 201);
}

/// A second try that ended at a full gate is another call's.
#[test]
fn a_second_try_that_no_back_end_got_is_given_back() {
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
    /// Whoever asks and whatever is given back, arrivals stay within ratio and slack in
    /// every window.
    #[test]
    fn arrivals_stay_within_the_bound_in_every_window(
        steps in prop::collection::vec(
            (0_u64..700, 0_u32..30, any::<bool>(), 0_u32..30, 0_u32..6), 1..60),
        ratio in 0.0_f64..0.5,
        slack in 0.0_f64..20.0,
    ) {
        let mut budget = RetryBudget::new(RetryLimit { ratio, slack, window: WINDOW });
        let mut now = Moment(1);
        let mut held: Vec<(RetryClass, Moment)> = Vec::new();
        let mut made: Vec<(Moment, u32, u32)> = Vec::new();
        for (pause, calls, nested, tries, kept) in steps {
            now = now + Duration::from_millis(pause);
            for (claim, taken_at) in held.drain(..) {
                budget.refund(claim, taken_at);
            }
            (0..calls).for_each(|_| budget.call_made(now));
            let claim = if nested { RetryClass::Nested } else { RetryClass::Caller };
            let taken = (0..tries).filter(|_| budget.take(claim, now)).count() as u32;
            let kept = kept.min(taken);
            held.extend((0..kept).map(|_| (claim, now)));
            made.push((now, calls, taken - kept));
            let inside = |moment: Moment, reach: Duration| now.since(moment) <= reach;
            let arrivals: u32 = made.iter().filter(|(at, ..)| inside(*at, WINDOW)).map(|one| one.2).sum();
            if taken == 0 {
                continue;
            }
            // The parts of the window may reach one part further back.
            let reach = WINDOW + WINDOW / 10;
            let calls: u32 = made.iter().filter(|(at, ..)| inside(*at, reach)).map(|one| one.1).sum();
            prop_assert!(f64::from(arrivals) <= ratio * f64::from(calls) + slack + 1e-6);
        }
    }

    /// Who returns after a shed call finds the time that an answer takes, and callers
    /// spread.
    #[test]
    fn an_early_return_can_be_in_time(
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
fn the_word_of_a_gate_fades() {
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
