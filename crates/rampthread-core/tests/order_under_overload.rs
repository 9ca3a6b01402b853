//! Demand above the room: calls that wait at a gate are answered as often in time as calls
//! that ask full gates in turn, and ask much less.

mod overload;

use overload::{ExpectsRoom, Overload, Served};
use rampthread_core::call::acceptance::AcceptanceEstimator;
use rampthread_core::ids::Zone;
use rampthread_core::time::Moment;
use rstest::rstest;

/// As long as it is worth asking another gate at all.
fn while_worth_asking(room: &AcceptanceEstimator, zone: &Zone, now: Moment) -> bool {
    room.should_ask(zone, now)
}

/// As long as another gate most likely runs the call at once.
fn while_likely(room: &AcceptanceEstimator, zone: &Zone, now: Moment) -> bool {
    room.is_acceptance_likely(zone, now)
}

fn play(seed: u64, expects_room: ExpectsRoom, load: fn(u64) -> f64) -> Served {
    Overload::new(seed, expects_room).play(40, load)
}

fn constant(_second: u64) -> f64 {
    1.3
}

/// Eight seconds above the room, eight below it.
fn wave(second: u64) -> f64 {
    match second % 16 < 8 {
        true => 1.5,
        false => 0.6,
    }
}

#[rstest]
#[case::demand_above_the_room(constant)]
#[case::waves(wave)]
fn as_many_in_time_for_half_the_questions_where_calls_wait(#[case] load: fn(u64) -> f64) {
    for seed in 0..5 {
        let asking = play(seed, while_worth_asking, load);
        let waiting = play(seed, while_likely, load);
        print(seed, "asking in turn", &asking);
        print(seed, "waiting in order", &waiting);
        // The slots serve the same number; a hundredth is chance.
        assert!(waiting.in_time * 100 >= asking.in_time * 99);
        assert!(waiting.refused_tries * 2 < asking.refused_tries);
    }
}

fn print(seed: u64, way: &str, served: &Served) {
    println!(
        "seed {seed}, {way}: of {} asked {} in time, {} late, {} refused; {} questions refused",
        served.asked, served.in_time, served.late, served.refused, served.refused_tries
    );
}

/// Part of the room that a demand of `load` keeps busy at least: a caller that waits at one
/// gate does not see another's slot come free.
fn least_answers(load: f64) -> f64 {
    0.9 * load.min(1.0) * overload::room_a_second()
}

/// After a step of demand the slots stay busy in every second, and once the demand has
/// fallen nobody is refused.
#[rstest]
fn a_step_of_demand_starts_no_oscillation(#[values(1.3, 2.0, 3.0)] step: f64) {
    let load = |second: u64| match second {
        5..25 => step,
        _ => 0.6,
    };
    let served = Overload::new(1, while_likely).play(40, load);
    for second in 6..25 {
        let answers = f64::from(served.answers[second]);
        assert!(answers >= least_answers(step), "second {second}: {answers}");
    }
    // Callers come back for two seconds.
    let after: u32 = served.refusals.iter().skip(29).sum();
    assert_eq!(after, 0, "refused after the step");
}

/// However fast demand swings, each second serves what it asks or what there is room for.
#[rstest]
fn waves_of_demand_start_no_oscillation(#[values(5, 10, 17, 30, 60)] period: u64) {
    let load = move |second: u64| {
        let phase = second as f64 / period as f64 * std::f64::consts::TAU;
        1.0 + 0.55 * phase.sin()
    };
    let served = Overload::new(1, while_likely).play(120, load);
    for second in 2..119 {
        let answers = f64::from(served.answers[second]);
        // A call of the second before may be answered in this one, and the other way.
        let asked = load(second as u64).min(load(second as u64 - 1));
        assert!(
            answers >= least_answers(asked),
            "second {second}: {answers}"
        );
    }
}

/// Without demand above the room nothing changes.
#[test]
fn at_rest_nobody_waits_or_is_refused() {
    let served = play(1, while_likely, |_| 0.3);
    assert_eq!(served.in_time, served.asked);
}
