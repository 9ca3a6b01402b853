//! Which zone calls go to, on generated demand: what each zone's callers ask for swings by
//! itself, what is known of the others is old, and all entries decide at once.

use proptest::prelude::*;
use rampthread_core::call::demand::DemandMeter;
use rampthread_core::call::demand_trend::DemandTrend;
use rampthread_core::call::load_average::{LoadAverage, ReportingHold};
use rampthread_core::call::zone_spill::{
    QUIET_UTILIZATION, REPORTING_TAIL, SpillPlan, ZoneDemand, is_loaded, plan_spill,
    to_milli_slots, zone_demands,
};
use rampthread_core::fleet::{ServiceLoad, ZoneLoad};
use rampthread_core::ids::{ResourceName, Zone};
use rampthread_core::time::Moment;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::f64::consts::TAU;
use std::time::Duration;

fn zone(index: usize) -> Zone {
    Zone::new(&format!("zone-{index}")).unwrap()
}

fn name(text: &str) -> ResourceName {
    ResourceName::new(text).unwrap()
}

fn standing(index: usize, capacity: f64, demand: f64) -> ZoneDemand {
    ZoneDemand {
        zone: zone(index),
        capacity,
        demand,
        report_age: None,
    }
}

/// What each zone serves when all share out by `known`, and demand is `demand`.
fn served(known: &[ZoneDemand], demand: &[f64]) -> Vec<f64> {
    let mut arriving = vec![0.0; demand.len()];
    for (index, asked) in demand.iter().enumerate() {
        let shares = plan_spill(&zone(index), known);
        arriving[index] += asked * (1.0 - shares.spill_fraction);
        let all: f64 = shares.spare_slots.iter().map(|(_, room)| room).sum();
        for (other, room) in &shares.spare_slots {
            let other = known.iter().position(|known| known.zone == *other).unwrap();
            arriving[other] += asked * shares.spill_fraction * room / all;
        }
    }
    arriving
}

#[test]
fn a_zone_beyond_its_room_beside_one_with_room_serves_as_both() {
    let known = [standing(0, 100.0, 130.0), standing(1, 100.0, 60.0)];
    let demand = [130.0, 60.0];
    let arriving = served(&known, &demand);
    assert!(arriving.iter().all(|load| *load <= 100.0), "{arriving:?}");
    assert!((arriving.iter().sum::<f64>() - 190.0).abs() < 1e-6);
    assert_eq!(plan_spill(&zone(1), &known).spill_fraction, 0.0);
}

#[test]
fn nothing_leaves_a_zone_that_bears_its_load() {
    let known = [standing(0, 100.0, 85.0), standing(1, 100.0, 10.0)];
    assert_eq!(plan_spill(&zone(0), &known).spill_fraction, 0.0);
}

#[test]
fn where_all_zones_are_full_nobody_sends_away() {
    let known = [standing(0, 100.0, 160.0), standing(1, 80.0, 90.0)];
    for index in 0..2 {
        let shares = plan_spill(&zone(index), &known);
        assert_eq!(shares, SpillPlan::default());
    }
}

proptest! {
    /// However zones stand, no zone is given more than it has room for, nothing is sent
    /// where nothing is lacking, and what the zones can bear together is borne.
    #[test]
    fn room_is_given_away_once(
        zones in prop::collection::vec((0.0_f64..500.0, 0.0_f64..800.0), 1..6),
    ) {
        let known: Vec<ZoneDemand> = zones
            .iter()
            .enumerate()
            .map(|(index, (capacity, demand))| standing(index, *capacity, *demand))
            .collect();
        let demand: Vec<f64> = zones.iter().map(|(_, demand)| *demand).collect();
        let arriving = served(&known, &demand);
        let capacity: f64 = zones.iter().map(|(capacity, _)| capacity).sum();
        let asked: f64 = demand.iter().sum();
        let mut borne = 0.0;
        for (index, known) in known.iter().enumerate() {
            let most = known.capacity.max(known.demand) + 1e-6;
            prop_assert!(arriving[index] <= most, "{arriving:?}");
            let shares = plan_spill(&zone(index), std::slice::from_ref(known));
            prop_assert_eq!(shares.spill_fraction, 0.0, "one zone keeps its calls");
            borne += arriving[index].min(known.capacity);
        }
        prop_assert!(borne >= capacity.min(asked) - 1e-6, "{borne} of {capacity} and {asked}");
    }
}

/// Slots of each of two zones.
const CAPACITY: f64 = 120.0;
/// What a swing faster than its news may cost beside each zone for itself.
const LITTLE: f64 = 0.03 * CAPACITY;
/// Slots that zones keep free for chance: so much leaves before a zone is full.
const SPARE: f64 = 11.0;

/// Mean surplus over room, and slots' worth sent across, of two zones whose demand swings
/// with a phase between them; each decides by what was true `news_age` ago.
struct Swing {
    unserved: f64,
    unavoidable: f64,
    crossing: f64,
    needed: f64,
    /// Slots' worth that went both ways at once.
    both_ways: f64,
}

fn swing(period: f64, phase: f64, mean: f64, news_age: f64) -> Swing {
    const STEP: f64 = 0.05;
    const TOLD_EVERY: f64 = 0.3;
    let demand = |index: usize, at: f64| {
        let turn = at / period + phase * index as f64;
        mean * CAPACITY * (1.0 + 0.5 * (turn * TAU).sin())
    };
    let steps = (4.0 * period / STEP) as usize;
    let mut sums = Swing {
        unserved: 0.0,
        unavoidable: 0.0,
        crossing: 0.0,
        needed: 0.0,
        both_ways: 0.0,
    };
    let moment = |at: f64| Moment(((at + 100.0) * 1e6) as u64);
    let mut trends = [0, 1].map(|index| {
        let first = -news_age - TOLD_EVERY;
        DemandTrend::new(demand(index, first), moment(first))
    });
    for step in 0..steps {
        let at = step as f64 * STEP;
        let told = (at / TOLD_EVERY).floor() * TOLD_EVERY - news_age;
        for (index, trend) in trends.iter_mut().enumerate() {
            trend.update(demand(index, told), moment(told));
        }
        let known: Vec<ZoneDemand> = (0..2)
            .map(|index| standing(index, CAPACITY, trends[index].forecast(moment(at))))
            .collect();
        let now = [demand(0, at), demand(1, at)];
        let arriving = served(&known, &now);
        let part = 1.0 / steps as f64;
        let over = |load: f64| (load - CAPACITY).max(0.0) * part;
        sums.unserved += arriving.iter().map(|load| over(*load)).sum::<f64>();
        sums.unavoidable += (now[0] + now[1] - 2.0 * CAPACITY).max(0.0) * part;
        let away = [0, 1].map(|index| plan_spill(&zone(index), &known).spill_fraction * now[index]);
        sums.crossing += (away[0] + away[1]) * part;
        sums.needed += now.iter().map(|load| over(*load)).sum::<f64>();
        sums.both_ways += away[0].min(away[1]) * part;
    }
    sums
}

/// Demand that swings by half in each zone, told a second late.
#[rstest]
fn zones_out_of_phase_help_each_other_and_never_both_at_once(
    #[values(5.0, 11.0, 17.0, 60.0)] period: f64,
    #[values(0.0, 0.125, 0.25, 0.5)] phase: f64,
    #[values(0.5, 0.8, 1.0)] mean: f64,
) {
    let told = swing(period, phase, mean, 1.0);
    assert!(told.both_ways < 1e-9, "ping-pong: {}", told.both_ways);
    let alone = told.needed;
    let avoidable = alone - told.unavoidable;
    let missed = told.unserved - told.unavoidable;
    assert!(missed <= avoidable + LITTLE, "worse than each for itself");
    assert!(
        told.crossing <= told.needed * 2.0 + SPARE,
        "bytes for nothing"
    );
    if period >= 17.0 {
        assert!(
            missed <= avoidable * 0.3 + LITTLE,
            "{missed} of {avoidable}"
        );
    } else if period >= 11.0 {
        assert!(
            missed <= avoidable * 0.5 + LITTLE,
            "{missed} of {avoidable}"
        );
    }
}

fn word(index: usize, age_ms: u64, capacity: f64, demand: f64) -> ZoneLoad {
    ZoneLoad {
        zone: zone(index),
        age: Duration::from_millis(age_ms),
        nodes: 1,
        services: vec![ServiceLoad {
            capacity: to_milli_slots(capacity),
            demand: to_milli_slots(demand),
            ..ServiceLoad::zero(name("s"))
        }],
        tenants: Vec::new(),
    }
}

fn known(news: &[ZoneLoad]) -> Option<Vec<ZoneDemand>> {
    let slots = [(zone(0), 100.0), (zone(1), 100.0)];
    zone_demands(&name("s"), &zone(0), &slots, news)
}

#[test]
fn a_zone_at_rest_plans_nothing() {
    assert_eq!(known(&[]), None);
    assert_eq!(known(&[word(1, 0, 100.0, 90.0)]), None);
    assert_eq!(
        known(&[word(0, 2_500, 100.0, 130.0)]),
        None,
        "its speaker is silent"
    );
}

#[rstest]
#[case::never_heard_of(None, Some(QUIET_UTILIZATION * 100.0))]
#[case::fell_silent_at_rest(Some((4_000, 20.0)), Some(QUIET_UTILIZATION * 100.0))]
#[case::cut_off_at_work(Some((4_000, 90.0)), None)]
#[case::silent_for_long(Some((11_000, 90.0)), Some(QUIET_UTILIZATION * 100.0))]
#[case::heard(Some((900, 20.0)), Some(20.0))]
fn what_silence_of_another_zone_means(
    #[case] heard: Option<(u64, f64)>,
    #[case] demand: Option<f64>,
) {
    let mut news = vec![word(0, 100, 100.0, 130.0)];
    news.extend(heard.map(|(age, demand)| word(1, age, 100.0, demand)));
    let known = known(&news).unwrap();
    let other = known.iter().find(|known| known.zone == zone(1));
    assert_eq!(other.map(|other| other.demand), demand);
    let shares = plan_spill(&zone(0), &known);
    assert_eq!(shares.has_spare_slots(&zone(1)), demand.is_some());
}

#[test]
fn few_reports_of_a_zone_count_beside_its_silent_part() {
    let news = [word(0, 0, 20.0, 30.0)];
    let own = &known(&news).unwrap()[0];
    assert_eq!(own.capacity, 100.0);
    assert_eq!(own.demand, 30.0 + 80.0 * QUIET_UTILIZATION);
}

#[test]
fn a_zone_without_back_ends_shares_all_its_calls_out() {
    let slots = [(zone(1), 100.0), (zone(2), 300.0)];
    let news = [word(0, 0, 0.0, 50.0)];
    let known = zone_demands(&name("s"), &zone(0), &slots, &news).unwrap();
    assert_eq!(plan_spill(&zone(0), &known).spill_fraction, 1.0);
}

#[test]
fn calls_go_to_zones_in_proportion_to_their_room() {
    let shares = SpillPlan {
        spill_fraction: 0.5,
        spare_slots: vec![(zone(1), 30.0), (zone(2), 10.0)],
    };
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let first = (0..4_000).filter(|_| shares.pick_zone(&mut rng) == Some(&zone(1)));
    assert!((2_850..3_150).contains(&first.count()));
    assert_eq!(SpillPlan::default().pick_zone(&mut rng), None);
}

/// A back end at work tells its load, and for a while after it has fallen, so that its
/// last word says that it is at rest.
#[test]
fn load_is_told_while_it_is_high_and_a_while_after() {
    let mut watch = LoadAverage::default();
    let mut now = Moment(1_000_000);
    watch.record(1, 0, 6.0, now);
    assert!(!watch.is_reporting(now), "at rest");
    for _ in 0..20 {
        now = now + Duration::from_millis(100);
        watch.record(6, 2, 6.0, now);
    }
    assert!(watch.is_reporting(now) && watch.busy > 5.0);
    for _ in 0..30 {
        now = now + Duration::from_millis(100);
        watch.record(0, 0, 6.0, now);
    }
    assert!(watch.is_reporting(now) && watch.busy < 0.1);
    now = now + REPORTING_TAIL;
    watch.record(0, 0, 6.0, now);
    assert!(!watch.is_reporting(now));
    assert!(!ReportingHold::default().is_reporting(now));
}

#[test]
fn a_zone_is_at_work_by_its_own_fresh_word() {
    let at_work = |word| is_loaded(&name("s"), &zone(0), &[word]);
    assert!(at_work(word(0, 100, 100.0, 70.0)));
    assert!(!at_work(word(0, 100, 100.0, 40.0)));
    assert!(!at_work(word(0, 3_000, 100.0, 70.0)));
    assert!(!at_work(word(1, 100, 100.0, 70.0)));
}

/// Two routes of 50 calls a second, one with large bodies.
fn metered() -> (DemandMeter, Moment) {
    let mut meter = DemandMeter::default();
    let (service, small, large) = (name("s"), name("small"), name("large"));
    let mut now = Moment(1_000_000);
    for _ in 0..200 {
        now = now + Duration::from_millis(20);
        meter.record_request(&service, &small, 200, now);
        meter.record_request(&service, &large, 60_000, now);
        meter.record_response(&service, &small, Duration::from_millis(200), 1_000);
        meter.record_response(&service, &large, Duration::from_millis(200), 61_000);
    }
    (meter, now)
}

#[test]
fn demand_is_calls_by_the_time_that_they_hold_a_slot() {
    let (mut meter, now) = metered();
    let slots = meter.slots(&name("s"), now);
    assert!((18.0..22.0).contains(&slots), "{slots}");
    let later = now + Duration::from_secs(2);
    assert!(
        meter.slots(&name("s"), later) < 1.0,
        "the calls have stopped"
    );
    meter.forget_idle(now + Duration::from_secs(61));
    assert_eq!(meter.services().count(), 0);
}

/// Most entries seldom meet a route: what the service's calls need in the mean stands for
/// one that was not answered here yet.
#[test]
fn a_route_that_was_not_answered_yet_counts_like_its_service() {
    let (mut meter, now) = metered();
    let before = meter.slots(&name("s"), now);
    for _ in 0..10 {
        meter.record_request(&name("s"), &name("new"), 100, now);
    }
    let more = meter.slots(&name("s"), now) - before;
    assert!(
        (3.5..4.5).contains(&more),
        "20 a second, each for 0.2 s: {more}"
    );
}

/// The bytes of a large body are dear between zones: the small calls leave first.
#[rstest]
#[case(0.0, None, None)]
#[case(0.25, Some(0.5), None)]
#[case(0.75, Some(1.0), Some(0.5))]
#[case(1.0, Some(1.0), Some(1.0))]
fn large_bodies_stay_longer(
    #[case] away: f64,
    #[case] small: Option<f64>,
    #[case] large: Option<f64>,
) {
    let (meter, now) = metered();
    let chances = meter.spill_probabilities(&name("s"), away, now);
    let percent = |chance: Option<f64>| chance.map(|chance| (chance * 100.0).round());
    let found = |route| percent(chances.get(&name(route)).copied());
    assert_eq!(found("small"), percent(small));
    assert_eq!(found("large"), percent(large));
}
