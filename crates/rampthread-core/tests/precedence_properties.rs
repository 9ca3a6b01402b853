//! Precedence of calls: first attempts go before retries, which are detected by their
//! timeouts, and nested calls go before both.

use proptest::prelude::*;
use rampthread_core::call::admission::{
    AdmissionController, AdmissionDecision, AdmissionLimits, Arrival,
};
use rampthread_core::call::attempt_age::AttemptAges;
use rampthread_core::call::nested_call_detector::NestedCallDetector;
use rampthread_core::call::precedence::Precedence;
use rampthread_core::call::service_times::ServiceTimes;
use rampthread_core::ids::ResourceName;
use rampthread_core::time::Moment;
use std::time::Duration;

const HOUR: Duration = Duration::from_secs(3_600);

fn name(text: &str) -> ResourceName {
    ResourceName::new(text).unwrap()
}

/// A call that may wait for up to an hour.
fn arrival(call: u64, precedence: Precedence, service_time_ms: u64) -> Arrival {
    Arrival {
        call,
        caller: String::new(),
        deadline: Moment(1) + HOUR,
        rank: 1,
        precedence,
        max_wait: HOUR,
        expected_service_time: Some(Duration::from_millis(service_time_ms)),
    }
}

/// A controller whose only slot is taken, with the calls `waiting` in its queue.
fn full_controller(waiting: impl IntoIterator<Item = Arrival>) -> AdmissionController {
    let mut admission = AdmissionController::new(AdmissionLimits {
        slots: 1,
        queue: 1_000,
    });
    let now = Moment(1);
    admission.arrive(arrival(10_000, Precedence::FirstAttempt, 1), now);
    for one in waiting {
        assert_eq!(admission.arrive(one, now), AdmissionDecision::Wait);
    }
    admission
}

/// Numbers of the waiting calls, in the order in which they are served.
fn order(mut admission: AdmissionController) -> Vec<u64> {
    let release = || admission.release(None, Moment(1)).run;
    std::iter::from_fn(release).collect()
}

proptest! {
    /// No retry is served before a waiting first attempt, in any order of arrival and with
    /// any service times, and each waiting call is served.
    #[test]
    fn first_attempts_go_before_retries(
        calls in prop::collection::vec((any::<bool>(), 1_u64..2_000), 1..40),
    ) {
        let precedence_of = |call: u64| match calls[call as usize].0 {
            true => Precedence::Retry,
            false => Precedence::FirstAttempt,
        };
        let waiting = (0..calls.len() as u64)
            .map(|call| arrival(call, precedence_of(call), calls[call as usize].1));
        let order = order(full_controller(waiting));
        prop_assert_eq!(order.len(), calls.len());
        prop_assert!(order.iter().map(|call| precedence_of(*call)).is_sorted());
    }

    /// The age of a retry (time since its caller's first attempt) is derived from its
    /// timeout, for any timeout of first attempts, and with a short delay before a node
    /// reads the call.
    #[test]
    fn the_age_of_a_call_is_learnt(
        first_ms in 500_u64..60_000,
        read_delay_ms in 0_u64..5,
        used_share in 0.05_f64..0.9,
        retries in 0_usize..40,
    ) {
        let mut ages = AttemptAges::default();
        let route = name("route");
        let first = Duration::from_millis(first_ms);
        for _ in 0..60 {
            ages.age(&route, first - Duration::from_millis(read_delay_ms));
            ages.age(&route, first);
        }
        for retry in 0..retries {
            ages.age(&route, first.mul_f64(0.9 - 0.02 * retry as f64));
        }
        prop_assert_eq!(ages.age(&route, first), Duration::ZERO);
        let age = ages.age(&route, first.mul_f64(1.0 - used_share));
        let error = age.abs_diff(first.mul_f64(used_share));
        prop_assert!(error <= Duration::from_millis(1), "{error:?}");
    }

    /// A few callers with much longer timeouts do not make other calls count as retries.
    #[test]
    fn a_few_longer_timeouts_do_not_count(longer in 2_u32..20) {
        let mut ages = AttemptAges::default();
        let (route, usual) = (name("route"), Duration::from_secs(1));
        for call in 0..300 {
            let time = if call % 12 == 0 { usual * longer } else { usual };
            ages.age(&route, time);
        }
        prop_assert_eq!(ages.age(&route, usual), Duration::ZERO);
    }

    /// Where every caller uses another timeout, no call counts as a retry.
    #[test]
    fn varied_timeouts_show_no_retries(times in prop::collection::vec(0_u32..40, 50..200)) {
        let mut ages = AttemptAges::default();
        let route = name("route");
        for (index, jitter) in times.iter().enumerate() {
            // Thirteen timeouts, each 30 percent longer than the one before.
            let time = Duration::from_millis(100).mul_f64(1.3_f64.powi(index as i32 % 13));
            let age = ages.age(&route, time + Duration::from_micros(u64::from(*jitter)));
            prop_assert!(age.is_zero(), "{age:?}");
        }
    }

    /// The maximum queueing time of a retry never exceeds that of a first attempt.
    #[test]
    fn retries_wait_no_longer_than_first_attempts(target_ms in 1_u64..10_000, service_time_ms in 0_u64..10_000) {
        let mut times = ServiceTimes::default();
        let (route, target) = (name("route"), Duration::from_millis(target_ms));
        times.record(&route, Duration::from_millis(service_time_ms));
        let wait = |precedence| times.max_wait(&route, target, precedence, HOUR);
        prop_assert!(wait(Precedence::Retry) <= wait(Precedence::FirstAttempt));
    }
}

#[test]
fn nothing_is_concluded_from_a_few_calls() {
    let mut ages = AttemptAges::default();
    let route = name("route");
    ages.age(&route, Duration::from_secs(3));
    assert!(ages.age(&route, Duration::from_secs(1)).is_zero());
}

/// Records calls of a nested route and of a route that callers from outside use,
/// alternating.
fn record_calls(detector: &mut NestedCallDetector, calls: u32) -> bool {
    let (inner, outer) = (name("inner"), name("outer"));
    let mut last = false;
    for call in 0..calls {
        let caller = ["shop", "orders", "images"][call as usize % 3];
        assert!(!detector.observe(&outer, caller));
        last = detector.observe(&inner, "shop");
    }
    last
}

#[test]
fn a_route_that_only_one_of_several_services_calls_is_nested() {
    let mut detector = NestedCallDetector::default();
    assert!(!record_calls(&mut detector, 5), "too few calls");
    assert!(record_calls(&mut detector, 100));
    detector.clear();
    assert!(!record_calls(&mut detector, 5), "the records were dropped");
}

#[test]
fn a_gate_that_only_one_service_calls_has_no_nested_routes() {
    let mut detector = NestedCallDetector::default();
    for _ in 0..500 {
        assert!(!detector.observe(&name("inner"), "shop"));
        assert!(!detector.observe(&name("other"), "shop"));
    }
}

/// Nested calls leave the queue first, and their maximum queueing time depends on the time left
/// until their deadline.
#[test]
fn nested_calls_leave_the_queue_first_and_wait_longer_with_a_later_deadline() {
    let calls = [
        arrival(1, Precedence::Retry, 10),
        arrival(2, Precedence::FirstAttempt, 10),
        arrival(3, Precedence::Nested, 500),
    ];
    assert_eq!(order(full_controller(calls)), [3, 2, 1]);
    let (times, target) = (ServiceTimes::default(), Duration::from_millis(100));
    for (left_ms, wait_ms) in [(600, 90), (2_000, 300)] {
        let left = Duration::from_millis(left_ms);
        let wait = times.max_wait(&name("r"), target, Precedence::Nested, left);
        assert_eq!(wait, Duration::from_millis(wait_ms));
    }
}
