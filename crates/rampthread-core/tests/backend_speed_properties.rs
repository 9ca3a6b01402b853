//! Speed of a backend: parsing of its load header, and measurement by its gate node.

use proptest::prelude::*;
use rampthread_core::call::backend_load::{BackendLoad, BackendLoadError};
use rampthread_core::call::backend_speed::{BackendSpeed, USUAL_PERCENT};
use rampthread_core::call::speed_meter::SpeedMeter;
use rampthread_core::time::Moment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;

const START: Moment = Moment(1_000_000);

#[test]
fn a_load_of_three_or_four_fields_is_parsed() {
    let load = BackendLoad::parse("3,0,8").unwrap();
    assert_eq!((load.running, load.waiting, load.slots), (3, 0, 8));
    assert_eq!(load.service_time_percent, None);
    let load = BackendLoad::parse(" 6, 2,6 ,250").unwrap();
    assert_eq!(load.service_time_percent, Some(250));
}

#[rstest]
#[case::empty("", BackendLoadError::FieldCount(1))]
#[case::two("1,2", BackendLoadError::FieldCount(2))]
#[case::five("1,2,3,4,5", BackendLoadError::FieldCount(5))]
#[case::text("many,0,8", BackendLoadError::Field(1))]
#[case::negative("1,-2,8,100", BackendLoadError::Field(2))]
#[case::huge("1,0,99999999999999999999,100", BackendLoadError::Field(3))]
#[case::beyond_its_range("1,0,8,10001", BackendLoadError::Field(4))]
#[case::no_time_at_all("1,0,8,0", BackendLoadError::Field(4))]
#[case::fraction("1,0,8,1.5", BackendLoadError::Field(4))]
fn an_invalid_load_is_an_error(#[case] text: &str, #[case] error: BackendLoadError) {
    assert_eq!(BackendLoad::parse(text), Err(error));
}

proptest! {
    #[test]
    fn no_text_parses_to_an_impossible_load(text in "[0-9,. \\-a-z]{0,24}") {
        if let Ok(load) = BackendLoad::parse(&text) {
            prop_assert!(load.service_time_percent.is_none_or(|percent| percent > 0));
        }
    }

    #[test]
    fn a_speed_round_trips(
        speed_percent in 1_u16.., service_time_percent in 1_u16.., warm_up_ms in 0_u64..1_000_000,
    ) {
        let backend_speed = BackendSpeed {
            speed_percent,
            service_time_percent,
            warm_up_left: Duration::from_millis(warm_up_ms),
        };
        prop_assert_eq!(BackendSpeed::parse(&backend_speed.to_string()), Some(backend_speed));
    }
}

/// A speed meter after `calls` calls of two routes in turn at a backend of this `speed`,
/// whose times vary by half. `service_time_percent_of` is the current service time in
/// percent at each call.
fn measured(
    speed: f64,
    calls: u32,
    service_time_percent_of: impl Fn(u32) -> u16,
) -> (SpeedMeter, Moment) {
    let mut meter = SpeedMeter::default();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut now = START;
    for number in 0..calls {
        now = now + Duration::from_millis(50);
        let usual = Duration::from_millis(if number % 2 == 0 { 110 } else { 30 });
        let percent = service_time_percent_of(number);
        let slowed = f64::from(percent) / f64::from(USUAL_PERCENT);
        if percent != USUAL_PERCENT {
            meter.record_report(percent, now);
        }
        let taken = usual.mul_f64(rng.random_range(0.5..1.5) / speed * slowed);
        meter.record_response(usual, taken, now);
        if percent != USUAL_PERCENT {
            meter.record_report(USUAL_PERCENT, now);
        }
    }
    (meter, now)
}

#[rstest]
fn the_long_term_speed_is_measured_whatever_the_routes(
    #[values(0.5, 0.7, 1.0, 1.7, 2.4)] speed: f64,
    #[values(false, true)] shares_its_machine: bool,
) {
    let service_time_percent_of = |number: u32| match shares_its_machine && number.is_multiple_of(7)
    {
        true => 250,
        false => USUAL_PERCENT,
    };
    let (meter, _) = measured(speed, 400, service_time_percent_of);
    let measured_speed = f64::from(meter.speed_percent()) / f64::from(USUAL_PERCENT);
    assert!(
        (0.83..1.2).contains(&(measured_speed / speed)),
        "{measured_speed} of {speed}"
    );
}

#[test]
fn few_calls_report_no_speed() {
    let (meter, now) = measured(0.5, 20, |_| USUAL_PERCENT);
    assert_eq!(meter.speed(now), BackendSpeed::default());
}

/// Random variation seldom changes the reported speed, since each change is sent to all
/// nodes.
#[test]
fn the_reported_speed_is_steady() {
    let mut meter = SpeedMeter::default();
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut now = START;
    let mut changes = 0;
    for _ in 0..4_000 {
        now = now + Duration::from_millis(50);
        let before = meter.speed_percent();
        let usual = Duration::from_millis(100);
        meter.record_response(usual, usual.mul_f64(rng.random_range(0.3..1.7) / 1.35), now);
        changes += u32::from(meter.speed_percent() != before);
    }
    assert!(changes <= 4, "{changes} changes in 200 s");
}

#[test]
fn a_backend_that_becomes_slow_is_reported_and_recovers() {
    let (mut meter, mut now) = measured(1.0, 300, |_| USUAL_PERCENT);
    assert_eq!(meter.speed_percent(), USUAL_PERCENT);
    let usual = Duration::from_millis(100);
    for (slowed, expected) in [(3.0, 0..45), (1.0, 80..120)] {
        for _ in 0..600 {
            now = now + Duration::from_millis(20);
            meter.record_response(usual, usual.mul_f64(slowed), now);
        }
        assert!(expected.contains(&meter.speed_percent()), "{expected:?}");
    }
}

#[test]
fn a_warming_backend_is_not_taken_for_a_slow_one() {
    let warm_up = Duration::from_secs(3);
    let mut meter = SpeedMeter::starting(warm_up, START);
    let usual = Duration::from_millis(100);
    let mut now = START;
    for _ in 0..100 {
        now = now + Duration::from_millis(20);
        meter.record_response(usual, usual * 2, now);
    }
    assert_eq!(meter.speed_percent(), USUAL_PERCENT);
    assert_eq!(meter.speed(now).warm_up_left, Duration::from_secs(1));
}

#[test]
fn the_current_service_time_is_reported_while_recent() {
    let mut meter = SpeedMeter::default();
    meter.record_report(250, START);
    assert_eq!(meter.speed(START).service_time_percent, 250);
    let later = START + Duration::from_secs(1);
    assert_eq!(meter.speed(later).service_time_percent, USUAL_PERCENT);
}
