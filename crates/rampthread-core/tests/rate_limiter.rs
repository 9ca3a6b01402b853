//! The rate limit that a backend names: how many calls it gets, and when a limit starts,
//! changes and ends.

use proptest::prelude::*;
use rampthread_core::call::rate_limit::{LimitReport, RateLimit, RateLimitError};
use rampthread_core::call::rate_limiter::{LimitChange, RateLimiter};
use rampthread_core::time::Moment;
use rstest::rstest;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(4);

fn at(milliseconds: u64) -> Moment {
    Moment::default() + Duration::from_millis(1_000_000 + milliseconds)
}

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).unwrap()
}

/// A limiter of a backend that has named `per_second` at the start.
fn limited(per_second: f64) -> RateLimiter {
    let mut limiter = RateLimiter::default();
    limiter.record_response(Some(limit(per_second)), at(0), at(0));
    limiter
}

/// Start times of calls, each tried as often as `tries` says, in milliseconds.
fn starts(limiter: &mut RateLimiter, tries: impl Iterator<Item = u64>) -> Vec<u64> {
    tries.filter(|time| limiter.try_take(at(*time))).collect()
}

fn most_in_a_window(starts: &[u64]) -> usize {
    let window = WINDOW.as_millis() as u64;
    let until = |end: &u64| {
        let within = starts
            .iter()
            .filter(|start| *start <= end && *start + window > *end);
        within.count()
    };
    starts.iter().map(until).max().unwrap_or(0)
}

#[rstest]
#[case("10.4", Ok(10.4))]
#[case(" 0 ", Ok(0.0))]
#[case("-3", Err(RateLimitError::OutOfRange))]
#[case("1e400", Err(RateLimitError::OutOfRange))]
#[case("nan", Err(RateLimitError::OutOfRange))]
#[case("many", Err(RateLimitError::NotANumber))]
#[case("", Err(RateLimitError::NotANumber))]
fn a_limit_is_a_finite_number(#[case] text: &str, #[case] expected: Result<f64, RateLimitError>) {
    assert_eq!(RateLimit::parse(text).map(RateLimit::per_second), expected);
}

#[test]
fn a_report_of_a_limit_keeps_its_values() {
    let report = LimitReport {
        limit: limit(0.5),
        wait: Duration::from_millis(1_250),
    };
    assert_eq!(LimitReport::parse(&report.to_string()), Some(report));
}

// Calls before the limit was named count against it, so that a window that includes some of
// them keeps to the bound.
#[rstest]
#[case::three_times_the_limit(30, 10.0)]
#[case::four_times_the_limit(40, 10.0)]
#[case::at_the_limit(10, 10.0)]
fn calls_of_the_second_before_a_limit_count_against_it(#[case] before: u64, #[case] rate: f64) {
    let mut limiter = RateLimiter::default();
    let early = (0..before).map(|call| call * 1_000 / before);
    let mut all = starts(&mut limiter, early);
    limiter.record_response(Some(limit(rate)), at(900), at(1_000));
    all.extend(starts(&mut limiter, 1_000..9_000));
    let bound = rate * WINDOW.as_secs_f64() * 1.5 + 5.0;
    let most = most_in_a_window(&all);
    assert!(most as f64 <= bound, "{most} of {bound}");
}

#[test]
fn a_lower_limit_holds_at_once_and_a_higher_one_from_a_later_call() {
    let mut limiter = limited(10.0);
    let lower = limiter.record_response(Some(limit(4.0)), at(10), at(300));
    assert_eq!(lower, LimitChange::Named(limit(4.0)));
    let overlapping = limiter.record_response(Some(limit(10.0)), at(200), at(310));
    assert_eq!(overlapping, LimitChange::Unchanged);
    let later = limiter.record_response(Some(limit(10.0)), at(320), at(400));
    assert_eq!(later, LimitChange::Named(limit(10.0)));
}

#[test]
fn a_limit_ends_with_a_response_to_a_later_call() {
    let mut limiter = limited(10.0);
    limiter.record_response(Some(limit(10.0)), at(5), at(200));
    let overlapping = limiter.record_response(None, at(100), at(210));
    assert_eq!(overlapping, LimitChange::Unchanged);
    assert_eq!(
        limiter.record_response(None, at(250), at(300)),
        LimitChange::Ended
    );
    let free = starts(&mut limiter, (400..500).cycle().take(1_000));
    assert_eq!(free.len(), 1_000);
}

// After a restart the gate node learns the limit from an entry node, until the backend answers.
#[test]
fn a_limit_that_an_entry_has_seen_holds_until_a_response_arrives() {
    let mut limiter = RateLimiter::default();
    assert_eq!(
        limiter.adopt(limit(5.0), at(0)),
        LimitChange::Named(limit(5.0))
    );
    assert_eq!(limiter.adopt(limit(8.0), at(10)), LimitChange::Unchanged);
    limiter.record_response(Some(limit(8.0)), at(20), at(50));
    assert_eq!(limiter.limit(), Some(limit(8.0)));
    assert_eq!(limiter.adopt(limit(5.0), at(60)), LimitChange::Unchanged);
}

#[test]
fn a_backend_that_names_zero_gets_a_call_now_and_then() {
    let mut limiter = limited(0.0);
    let all = starts(&mut limiter, 0..60_000);
    assert!(most_in_a_window(&all) <= 5, "{all:?}");
    let late = all.iter().filter(|start| **start > 40_000).count();
    assert!(late >= 4, "{all:?}");
}

#[test]
fn a_call_that_was_not_sent_gives_its_token_back() {
    let mut limiter = limited(0.5);
    assert!(limiter.try_take(at(0)) && limiter.try_take(at(0)));
    assert!(!limiter.try_take(at(0)));
    limiter.refund(at(1));
    assert!(limiter.try_take(at(1)));
}

#[test]
fn refused_calls_are_advised_different_times() {
    let mut limiter = limited(10.0);
    while limiter.try_take(at(0)) {}
    let advice: Vec<Duration> = (0..20).map(|_| limiter.advise_retry(0, at(0))).collect();
    for (first, second) in advice.iter().zip(&advice[1..]) {
        let apart = second.saturating_sub(*first);
        assert!(apart >= Duration::from_millis(99), "{advice:?}");
    }
    assert!(advice[0] <= Duration::from_millis(101), "{advice:?}");
}

// At these rates each token is a whole part of the longest advice after the one before.
#[rstest]
fn refused_calls_are_advised_different_times_at_low_rates(
    #[values(0.0, 0.25, 0.5, 1.0, 2.0)] rate: f64,
) {
    let mut limiter = limited(rate);
    while limiter.try_take(at(0)) {}
    let mut advice: Vec<Duration> = (0..12).map(|_| limiter.advise_retry(0, at(0))).collect();
    advice.sort();
    assert!(advice[11] <= Duration::from_secs(4), "{advice:?}");
    assert!(
        advice[11] - advice[0] > Duration::from_secs(1),
        "{advice:?}"
    );
    // The bucket takes two calls at once.
    for (first, third) in advice.iter().zip(&advice[2..]) {
        assert!(*third - *first > Duration::from_millis(100), "{advice:?}");
    }
}

proptest! {
    // Named limits change, calls come in bursts and the process is suspended: in no window do
    // more calls start than the highest limit in force allows.
    #[test]
    fn no_window_exceeds_the_limit(
        limits in prop::collection::vec(0.0f64..40.0, 1..6),
        pauses in prop::collection::vec(0u64..6_000, 1..30),
        burst in 1usize..60,
    ) {
        let highest = limits.iter().copied().fold(0.0, f64::max);
        let mut limiter = limited(limits[0]);
        let mut now = 0;
        let mut all = Vec::new();
        for (round, pause) in pauses.iter().enumerate() {
            for _ in 0..burst {
                if limiter.try_take(at(now)) {
                    all.push(now);
                }
                now += 3;
            }
            let named = limit(limits[round % limits.len()]);
            limiter.record_response(Some(named), at(now), at(now));
            now += pause;
        }
        let bound = highest.max(0.25) * WINDOW.as_secs_f64() + 3.0;
        prop_assert!(most_in_a_window(&all) as f64 <= bound);
    }
}
