//! Large versions over links that carry 0.6 MB a second, as most nodes of one
//! deployment have: a document of 3,000 routes takes two seconds of one.

mod fleet;

use fleet::Fleet;
use rstest::rstest;
use std::time::Duration;

const ZONES: usize = 4;
const ROUTES: u32 = 3_000;
/// 5 Mbit/s.
const NARROW: u64 = 625_000;
/// 100 Mbit/s.
const WIDE: u64 = 12_500_000;
/// Time within which a version must be in force where the store is calm.
const IN_FORCE: Duration = Duration::from_millis(2_500);
/// Time from the start of all processes until every one holds the document.
const START: Duration = Duration::from_secs(3);

/// One node in ten has a wide link, spread over the zones.
fn some_are_wide(index: usize) -> u64 {
    match index / ZONES % 10 {
        0 => WIDE,
        _ => NARROW,
    }
}

fn all_are_narrow(_: usize) -> u64 {
    NARROW
}

fn started(size: usize, rates: fn(usize) -> u64) -> (Fleet, Option<Duration>) {
    let mut fleet = Fleet::new(size, ZONES, 5);
    fleet.set_link_rates(rates);
    fleet.write_routes(1, ROUTES / 2);
    let begun = fleet.now;
    fleet.start_all();
    let held = fleet.run_until(START * 3, |fleet| fleet.all_have(1));
    let took = held.map(|_| fleet.now.since(begun));
    (fleet, took)
}

#[rstest]
fn all_hold_the_document_soon_after_all_were_killed(
    #[values(13, 80, 194)] size: usize,
    #[values(some_are_wide, all_are_narrow)] rates: fn(usize) -> u64,
) {
    let mut fleet = Fleet::new(size, ZONES, 5);
    fleet.set_link_rates(rates);
    fleet.write_routes(1, ROUTES);
    for index in 0..size {
        fleet.start(index);
    }
    let held = fleet.run_until(START * 3, |fleet| fleet.all_have(1));
    assert!(held.is_some_and(|held| held <= START), "{held:?}");
}

#[rstest]
fn a_large_version_is_in_force_in_time(#[values(13, 80, 194)] size: usize) {
    let (mut fleet, started) = started(size, some_are_wide);
    assert!(started.is_some(), "the fleet has not started");
    fleet.run(Duration::from_secs(5));
    fleet.reads = 0;
    fleet.write_routes(2, ROUTES);
    let took = fleet.run_until(IN_FORCE * 3, |fleet| fleet.all_have(2));
    assert!(took.is_some_and(|took| took <= IN_FORCE), "{took:?}");
    assert!(fleet.reads <= 8, "{} reads of the store", fleet.reads);
}

#[rstest]
fn a_storm_of_versions_is_in_force_in_time(#[values(13, 80, 194)] size: usize) {
    let (mut fleet, _) = started(size, some_are_wide);
    fleet.run(Duration::from_secs(5));
    for version in 2..18 {
        fleet.write_routes(version, ROUTES - 20 + version as u32);
        fleet.run(Duration::from_millis(250));
    }
    let took = fleet.run_until(IN_FORCE * 3, |fleet| fleet.all_have(17));
    assert!(took.is_some_and(|took| took <= IN_FORCE), "{took:?}");
    assert!(fleet.all_agree(), "news of members was lost in the storm");
}
