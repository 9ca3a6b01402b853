//! Queueing under overload: calls that wait at a gate node are answered in time as often as
//! calls that ask full gate nodes in turn, with far fewer queries.

mod overload;

use overload::{AcceptanceRule, OverloadSimulation, Results};
use rampthread_core::call::acceptance::AcceptanceEstimator;
use rampthread_core::ids::Zone;
use rampthread_core::time::Moment;
use rstest::rstest;

/// Rule that asks another gate node while its probability of acceptance is worth the query.
fn while_worth_asking(estimator: &AcceptanceEstimator, zone: &Zone, now: Moment) -> bool {
    estimator.should_ask(zone, now)
}

/// Rule that asks another gate node only while it most likely runs the call at once.
fn while_likely(estimator: &AcceptanceEstimator, zone: &Zone, now: Moment) -> bool {
    estimator.is_acceptance_likely(zone, now)
}

fn run(seed: u64, acceptance_rule: AcceptanceRule, load: fn(u64) -> f64) -> Results {
    OverloadSimulation::new(seed, acceptance_rule).run(40, load)
}

fn constant(_second: u64) -> f64 {
    1.3
}

/// Load as a ratio of capacity: above capacity for eight seconds, then below it for eight.
fn wave(second: u64) -> f64 {
    match second % 16 < 8 {
        true => 1.5,
        false => 0.6,
    }
}

#[rstest]
#[case::constant_overload(constant)]
#[case::waves(wave)]
fn waiting_calls_are_in_time_as_often_with_half_the_queries(#[case] load: fn(u64) -> f64) {
    for seed in 0..5 {
        let asking = run(seed, while_worth_asking, load);
        let waiting = run(seed, while_likely, load);
        print(seed, "asking in turn", &asking);
        print(seed, "waiting in order", &waiting);
        // The slots serve the same number of calls; the bound allows for one percent of
        // random variation.
        assert!(waiting.in_time * 100 >= asking.in_time * 99);
        assert!(waiting.rejected_attempts * 2 < asking.rejected_attempts);
    }
}

fn print(seed: u64, strategy: &str, results: &Results) {
    println!(
        "seed {seed}, {strategy}: of {} calls {} in time, {} late, {} rejected; {} attempts rejected",
        results.calls, results.in_time, results.late, results.rejected, results.rejected_attempts
    );
}

/// Minimum responses per second at this load, which is a ratio of capacity. The bound is
/// below full capacity, since a call that waits at one gate node does not get a slot that
/// becomes free at another.
fn min_responses(load: f64) -> f64 {
    0.9 * load.min(1.0) * overload::capacity_per_second()
}

/// After a step of demand the slots stay busy in every second, and once demand has fallen
/// no call is rejected.
#[rstest]
fn a_step_of_demand_starts_no_oscillation(#[values(1.3, 2.0, 3.0)] step: f64) {
    let load = |second: u64| match second {
        5..25 => step,
        _ => 0.6,
    };
    let results = OverloadSimulation::new(1, while_likely).run(40, load);
    for second in 6..25 {
        let responses = f64::from(results.responses[second]);
        assert!(
            responses >= min_responses(step),
            "second {second}: {responses}"
        );
    }
    // Rejected callers retry for two seconds.
    let after: u32 = results.rejections.iter().skip(29).sum();
    assert_eq!(after, 0, "rejected after the step");
}

/// However fast demand swings, in each second the calls that arrive are answered, up to
/// capacity.
#[rstest]
fn waves_of_demand_start_no_oscillation(#[values(5, 10, 17, 30, 60)] period: u64) {
    let load = move |second: u64| {
        let phase = second as f64 / period as f64 * std::f64::consts::TAU;
        1.0 + 0.55 * phase.sin()
    };
    let results = OverloadSimulation::new(1, while_likely).run(120, load);
    for second in 2..119 {
        let responses = f64::from(results.responses[second]);
        // A call may arrive in one second and be answered in the next.
        let calls = load(second as u64).min(load(second as u64 - 1));
        assert!(
            responses >= min_responses(calls),
            "second {second}: {responses}"
        );
    }
}

/// Without overload every call is answered in time.
#[test]
fn without_overload_every_call_is_in_time() {
    let results = run(1, while_likely, |_| 0.3);
    assert_eq!(results.in_time, results.calls);
}
