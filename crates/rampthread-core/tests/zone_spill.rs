//! Which zone calls go to, with simulated demand: demand swings in each zone independently,
//! the load reports of other zones are out of date, and all entry nodes decide at the same
//! time.

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

fn zone_demand(index: usize, capacity: f64, demand: f64) -> ZoneDemand {
    ZoneDemand {
        zone: zone(index),
        capacity,
        demand,
        report_age: None,
    }
}

/// Calls that each zone serves, in slots, if all zones make their spill plans from `known`
/// while their real demand is `demand`.
fn served_by_zone(known: &[ZoneDemand], demand: &[f64]) -> Vec<f64> {
    let mut arriving = vec![0.0; demand.len()];
    for (index, asked) in demand.iter().enumerate() {
        let plan = plan_spill(&zone(index), known);
        arriving[index] += asked * (1.0 - plan.spill_fraction);
        let all: f64 = plan.spare_slots.iter().map(|(_, room)| room).sum();
        for (other, room) in &plan.spare_slots {
            let other = known.iter().position(|known| known.zone == *other).unwrap();
            arriving[other] += asked * plan.spill_fraction * room / all;
        }
    }
    arriving
}

#[test]
fn an_overloaded_zone_spills_to_one_with_spare_slots() {
    let known = [zone_demand(0, 100.0, 130.0), zone_demand(1, 100.0, 60.0)];
    let demand = [130.0, 60.0];
    let arriving = served_by_zone(&known, &demand);
    assert!(arriving.iter().all(|load| *load <= 100.0), "{arriving:?}");
    assert!((arriving.iter().sum::<f64>() - 190.0).abs() < 1e-6);
    assert_eq!(plan_spill(&zone(1), &known).spill_fraction, 0.0);
}

#[test]
fn nothing_spills_from_a_zone_that_can_serve_its_load() {
    let known = [zone_demand(0, 100.0, 85.0), zone_demand(1, 100.0, 10.0)];
    assert_eq!(plan_spill(&zone(0), &known).spill_fraction, 0.0);
}

#[test]
fn nothing_spills_where_all_zones_are_full() {
    let known = [zone_demand(0, 100.0, 160.0), zone_demand(1, 80.0, 90.0)];
    for index in 0..2 {
        let plan = plan_spill(&zone(index), &known);
        assert_eq!(plan, SpillPlan::default());
    }
}

proptest! {
    /// With any demand and capacity, no zone gets more than its spare slots, a single zone
    /// keeps its calls, and as many calls are served as the zones have capacity for
    /// together.
    #[test]
    fn spare_slots_are_given_away_once(
        zones in prop::collection::vec((0.0_f64..500.0, 0.0_f64..800.0), 1..6),
    ) {
        let known: Vec<ZoneDemand> = zones
            .iter()
            .enumerate()
            .map(|(index, (capacity, demand))| zone_demand(index, *capacity, *demand))
            .collect();
        let demand: Vec<f64> = zones.iter().map(|(_, demand)| *demand).collect();
        let arriving = served_by_zone(&known, &demand);
        let capacity: f64 = zones.iter().map(|(capacity, _)| capacity).sum();
        let asked: f64 = demand.iter().sum();
        let mut borne = 0.0;
        for (index, known) in known.iter().enumerate() {
            let most = known.capacity.max(known.demand) + 1e-6;
            prop_assert!(arriving[index] <= most, "{arriving:?}");
            let plan = plan_spill(&zone(index), std::slice::from_ref(known));
            prop_assert_eq!(plan.spill_fraction, 0.0, "one zone keeps its calls");
            borne += arriving[index].min(known.capacity);
        }
        prop_assert!(borne >= capacity.min(asked) - 1e-6, "{borne} of {capacity} and {asked}");
    }
}

/// Slots of each of two zones.
const CAPACITY: f64 = 120.0;
/// Tolerated unserved calls, in slots, in addition to those of a simulation without spill.
/// They occur if demand swings faster than it is reported.
const SMALL_COST: f64 = 0.03 * CAPACITY;
/// Slots that zones keep free for random variation: calls are spilled when a zone has only
/// these slots free.
const SPARE_SLOTS: f64 = 11.0;

/// Means over a simulation of two zones, in slots, whose demand swings with a phase between
/// them. Each zone makes its plan from reports of age `report_age`.
struct Swing {
    unserved: f64,
    unavoidable: f64,
    crossing: f64,
    needed: f64,
    /// Calls, in slots, that were spilled in both directions at the same time.
    both_ways: f64,
}

/// Simulates two zones whose demand swings with this period in seconds, around `mean` times
/// their capacity.
fn swing(period: f64, phase: f64, mean: f64, report_age: f64) -> Swing {
    const STEP: f64 = 0.05;
    const REPORT_INTERVAL: f64 = 0.3;
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
        let first = -report_age - REPORT_INTERVAL;
        DemandTrend::new(demand(index, first), moment(first))
    });
    for step in 0..steps {
        let at = step as f64 * STEP;
        let reported = (at / REPORT_INTERVAL).floor() * REPORT_INTERVAL - report_age;
        for (index, trend) in trends.iter_mut().enumerate() {
            trend.update(demand(index, reported), moment(reported));
        }
        let known: Vec<ZoneDemand> = (0..2)
            .map(|index| zone_demand(index, CAPACITY, trends[index].forecast(moment(at))))
            .collect();
        let now = [demand(0, at), demand(1, at)];
        let arriving = served_by_zone(&known, &now);
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

/// Demand swings by half in each zone, and reports are one second old.
#[rstest]
fn zones_out_of_phase_help_each_other_and_never_both_at_once(
    #[values(5.0, 11.0, 17.0, 60.0)] period: f64,
    #[values(0.0, 0.125, 0.25, 0.5)] phase: f64,
    #[values(0.5, 0.8, 1.0)] mean: f64,
) {
    let reported = swing(period, phase, mean, 1.0);
    assert!(
        reported.both_ways < 1e-9,
        "ping-pong: {}",
        reported.both_ways
    );
    let alone = reported.needed;
    let avoidable = alone - reported.unavoidable;
    let missed = reported.unserved - reported.unavoidable;
    assert!(missed <= avoidable + SMALL_COST, "worse than without spill");
    assert!(
        reported.crossing <= reported.needed * 2.0 + SPARE_SLOTS,
        "calls spilled in vain"
    );
    if period >= 17.0 {
        assert!(
            missed <= avoidable * 0.3 + SMALL_COST,
            "{missed} of {avoidable}"
        );
    } else if period >= 11.0 {
        assert!(
            missed <= avoidable * 0.5 + SMALL_COST,
            "{missed} of {avoidable}"
        );
    }
}

/// Load report of a zone for the service `s`.
fn report(index: usize, age_ms: u64, capacity: f64, demand: f64) -> ZoneLoad {
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

/// Capacity and demand of zones 0 and 1, which have 100 slots each, as zone 0 knows them
/// from `reports`.
fn known(reports: &[ZoneLoad]) -> Option<Vec<ZoneDemand>> {
    let slots = [(zone(0), 100.0), (zone(1), 100.0)];
    zone_demands(&name("s"), &zone(0), &slots, reports)
}

#[test]
fn a_quiet_zone_plans_nothing() {
    assert_eq!(known(&[]), None);
    assert_eq!(known(&[report(1, 0, 100.0, 90.0)]), None);
    assert_eq!(
        known(&[report(0, 2_500, 100.0, 130.0)]),
        None,
        "its aggregator is silent"
    );
}

#[rstest]
#[case::never_heard_of(None, Some(QUIET_UTILIZATION * 100.0))]
#[case::fell_silent_while_quiet(Some((4_000, 20.0)), Some(QUIET_UTILIZATION * 100.0))]
#[case::fell_silent_under_load(Some((4_000, 90.0)), None)]
#[case::silent_for_long(Some((11_000, 90.0)), Some(QUIET_UTILIZATION * 100.0))]
#[case::heard(Some((900, 20.0)), Some(20.0))]
fn the_demand_of_a_silent_zone_is_assumed_or_unknown(
    #[case] heard: Option<(u64, f64)>,
    #[case] demand: Option<f64>,
) {
    let mut reports = vec![report(0, 100, 100.0, 130.0)];
    reports.extend(heard.map(|(age, demand)| report(1, age, 100.0, demand)));
    let known = known(&reports).unwrap();
    let other = known.iter().find(|known| known.zone == zone(1));
    assert_eq!(other.map(|other| other.demand), demand);
    let plan = plan_spill(&zone(0), &known);
    assert_eq!(plan.has_spare_slots(&zone(1)), demand.is_some());
}

#[test]
fn few_reports_of_a_zone_count_beside_its_silent_part() {
    let reports = [report(0, 0, 20.0, 30.0)];
    let own = &known(&reports).unwrap()[0];
    assert_eq!(own.capacity, 100.0);
    assert_eq!(own.demand, 30.0 + 80.0 * QUIET_UTILIZATION);
}

#[test]
fn a_zone_without_backends_spills_all_its_calls() {
    let slots = [(zone(1), 100.0), (zone(2), 300.0)];
    let reports = [report(0, 0, 0.0, 50.0)];
    let known = zone_demands(&name("s"), &zone(0), &slots, &reports).unwrap();
    assert_eq!(plan_spill(&zone(0), &known).spill_fraction, 1.0);
}

#[test]
fn calls_go_to_zones_in_proportion_to_their_spare_slots() {
    let plan = SpillPlan {
        spill_fraction: 0.5,
        spare_slots: vec![(zone(1), 30.0), (zone(2), 10.0)],
    };
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let first = (0..4_000).filter(|_| plan.pick_zone(&mut rng) == Some(&zone(1)));
    assert!((2_850..3_150).contains(&first.count()));
    assert_eq!(SpillPlan::default().pick_zone(&mut rng), None);
}

/// A loaded backend reports its load. It continues for a while after the load has fallen,
/// so that its last report shows a low load.
#[test]
fn load_is_reported_while_it_is_high_and_a_while_after() {
    let mut average = LoadAverage::default();
    let mut now = Moment(1_000_000);
    average.record(1, 0, 6.0, now);
    assert!(!average.is_reporting(now), "quiet");
    for _ in 0..20 {
        now = now + Duration::from_millis(100);
        average.record(6, 2, 6.0, now);
    }
    assert!(average.is_reporting(now) && average.busy > 5.0);
    for _ in 0..30 {
        now = now + Duration::from_millis(100);
        average.record(0, 0, 6.0, now);
    }
    assert!(average.is_reporting(now) && average.busy < 0.1);
    now = now + REPORTING_TAIL;
    average.record(0, 0, 6.0, now);
    assert!(!average.is_reporting(now));
    assert!(!ReportingHold::default().is_reporting(now));
}

#[test]
fn a_zone_is_loaded_by_its_own_recent_report() {
    let loaded = |report| is_loaded(&name("s"), &zone(0), &[report]);
    assert!(loaded(report(0, 100, 100.0, 70.0)));
    assert!(!loaded(report(0, 100, 100.0, 40.0)));
    assert!(!loaded(report(0, 3_000, 100.0, 70.0)));
    assert!(!loaded(report(1, 100, 100.0, 70.0)));
}

/// A demand meter that has recorded calls of two routes at 50 calls per second each, one of
/// them with large bodies.
fn metered_demand() -> (DemandMeter, Moment) {
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
    let (mut meter, now) = metered_demand();
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

/// A route without a response yet counts with the mean service time of its service, since
/// most entry nodes call a route seldom.
#[test]
fn a_route_that_was_not_answered_yet_counts_like_its_service() {
    let (mut meter, now) = metered_demand();
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

/// Large bodies are expensive between zones: routes with small bodies spill first.
#[rstest]
#[case(0.0, None, None)]
#[case(0.25, Some(0.5), None)]
#[case(0.75, Some(1.0), Some(0.5))]
#[case(1.0, Some(1.0), Some(1.0))]
fn large_bodies_spill_last(
    #[case] away: f64,
    #[case] small: Option<f64>,
    #[case] large: Option<f64>,
) {
    let (meter, now) = metered_demand();
    let chances = meter.spill_probabilities(&name("s"), away, now);
    let percent = |chance: Option<f64>| chance.map(|chance| (chance * 100.0).round());
    let found = |route| percent(chances.get(&name(route)).copied());
    assert_eq!(found("small"), percent(small));
    assert_eq!(found("large"), percent(large));
}
