//! What zones tell each other of their load: known to all in time, also after the end of
//! a speaker, and no message where nobody has anything to tell.

mod fleet;

use fleet::Fleet;
use rampthread_core::fleet::{LoadReport, ServiceLoad, TenantHash, TenantLoad, ZoneLoad};
use rampthread_core::ids::ResourceName;
use rampthread_core::rendezvous;
use rstest::rstest;
use std::time::Duration;

const ZONES: usize = 3;
/// Slots in use at each node, in thousandths.
const BUSY: u32 = 2_500;
/// Tenants that one report names.
const MAX_TENANTS: u32 = 256;
/// Requests of the tenant at each node, in thousandths a second.
const ASKED: u32 = 400;

fn service() -> ResourceName {
    ResourceName::new("ledger").unwrap()
}

fn tenant() -> TenantHash {
    TenantHash::of(&ResourceName::new("large").unwrap())
}

fn report() -> LoadReport {
    LoadReport {
        nodes: 1,
        period: Duration::from_millis(250),
        services: vec![ServiceLoad {
            busy: BUSY,
            capacity: 8_000,
            ..ServiceLoad::zero(service())
        }],
        tenants: vec![TenantLoad {
            tenant: tenant(),
            requested_millirps: ASKED,
            admitted_millirps: ASKED,
        }],
    }
}

/// Every running node reports for `time`.
fn report_for(fleet: &mut Fleet, time: Duration) {
    let step = Duration::from_millis(100);
    for _ in 0..time.as_millis() / step.as_millis() {
        for index in fleet.running() {
            fleet.record_load(index, report());
        }
        fleet.run(step);
    }
}

/// Busy slots of all zones together as `index` knows them, no older than `age`.
fn busy(fleet: &Fleet, index: usize, age: Duration) -> u32 {
    let zones = fleet.agent(index).zone_loads(fleet.now);
    let fresh = zones.iter().filter(|zone| zone.age <= age);
    let loads = fresh.flat_map(|zone: &ZoneLoad| &zone.services);
    loads.map(|load| load.busy).sum()
}

fn asked(fleet: &Fleet, index: usize) -> u32 {
    let zones = fleet.agent(index).zone_loads(fleet.now);
    let loads = zones.iter().flat_map(|zone| &zone.tenants);
    let of_tenant = loads.filter(|load| load.tenant == tenant());
    of_tenant.map(|load| load.requested_millirps).sum()
}

#[rstest]
fn all_know_the_load_of_all_zones(
    #[values(13, 71, 194)] size: usize,
    #[values(0, 3)] loss_percent: u32,
) {
    let mut fleet = Fleet::settled(size, ZONES, 7);
    fleet.loss_percent = loss_percent;
    report_for(&mut fleet, Duration::from_secs(4));
    let all = size as u32 * BUSY;
    for index in 0..size {
        let known = busy(&fleet, index, Duration::from_millis(2_500));
        assert!(known >= all / 10 * 9, "{index} knows {known} of {all}");
        assert!(known <= all, "{index} knows {known} of {all}");
        assert!(asked(&fleet, index) <= size as u32 * ASKED);
        let zones = fleet.agent(index).zone_loads(fleet.now);
        let nodes: u32 = zones.iter().map(|zone| zone.nodes).sum();
        assert!(nodes >= size as u32 / 10 * 9, "{index} knows of {nodes}");
        assert!(nodes <= size as u32, "{index} knows of {nodes}");
    }
}

#[rstest]
fn a_speaker_that_ends_is_passed_over(#[values(13, 71)] size: usize) {
    let mut fleet = Fleet::settled(size, ZONES, 9);
    report_for(&mut fleet, Duration::from_secs(2));
    let zone = 1;
    let members: Vec<usize> = (0..size)
        .filter(|index| fleet.zone_of(*index) == zone)
        .collect();
    let zone_name = fleet.zone_name(zone);
    let ids = members.iter().map(|index| fleet.id(*index));
    let first = rendezvous::order(zone_name.as_str(), ids).swap_remove(0);
    let speaker = members.iter().find(|index| fleet.id(**index) == first);
    let speaker = *speaker.expect("it is a member");
    fleet.kill(speaker);
    report_for(&mut fleet, Duration::from_secs(2));
    let left = fleet
        .running()
        .into_iter()
        .filter(|index| fleet.zone_of(*index) == zone);
    for index in left.collect::<Vec<_>>() {
        let known = busy(&fleet, index, Duration::from_millis(800));
        let all = (size as u32 - 1) * BUSY;
        assert!(known >= all / 10 * 9, "{index} knows {known} of {all}");
    }
}

/// A report names the tenants that ask for most, however many there are.
#[test]
fn a_report_of_many_tenants_is_no_larger_than_the_longest_allowed() {
    let sent = |tenants: u32| {
        let mut fleet = Fleet::settled(3, 1, 7);
        let loads = (1..=tenants).map(|number| TenantLoad {
            tenant: TenantHash(1_000 + number),
            requested_millirps: 1_000_000 + number,
            admitted_millirps: 1_000_000,
        });
        let report = LoadReport {
            tenants: loads.collect(),
            ..report()
        };
        for _ in 0..20 {
            for index in fleet.running() {
                fleet.record_load(index, report.clone());
            }
            fleet.run(Duration::from_millis(100));
        }
        let zones = fleet.agent(0).zone_loads(fleet.now);
        let least = zones[0].tenants.iter().map(|load| load.tenant.0).min();
        (fleet.traffic.inside["load-report"].bytes, least)
    };
    let (longest, _) = sent(MAX_TENANTS);
    let (many, least) = sent(3 * MAX_TENANTS);
    // Other numbers are packed into a few bytes more or less.
    assert!(
        many <= longest + longest / 50,
        "{many} bytes beside {longest}"
    );
    assert_eq!(least, Some(1_000 + 2 * MAX_TENANTS + 1));
}

/// What a zone told is forgotten when it has no members any more.
#[test]
fn a_zone_without_members_is_forgotten() {
    let mut fleet = Fleet::settled(13, ZONES, 7);
    report_for(&mut fleet, Duration::from_secs(2));
    let gone = fleet.zone_name(1);
    let knows = |fleet: &Fleet| {
        let zones = fleet.agent(0).zone_loads(fleet.now);
        zones.iter().any(|zone| zone.zone == gone)
    };
    assert!(knows(&fleet));
    let members = (0..13).filter(|index| fleet.zone_of(*index) == 1);
    for index in members.collect::<Vec<_>>() {
        fleet.leave(index);
    }
    report_for(&mut fleet, Duration::from_secs(3));
    assert!(!knows(&fleet));
}

#[test]
fn nothing_to_tell_costs_no_message() {
    let mut fleet = Fleet::settled(71, ZONES, 7);
    fleet.run(Duration::from_secs(3));
    let kinds: Vec<_> = fleet
        .traffic
        .inside
        .keys()
        .chain(fleet.traffic.across.keys())
        .collect();
    assert!(!kinds.iter().any(|kind| kind.contains("load")), "{kinds:?}");
}
