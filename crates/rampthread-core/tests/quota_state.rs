//! What many tenants cost a node: bounded state, and none of a tenant that is gone.

use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue};
use rampthread_core::call::quota::{
    FleetLoadSnapshot, QuotaBasis, QuotaPolicy, TenantQuotas, ZoneMemberCounts,
};
use rampthread_core::call::tenant_table::TenantTable;
use rampthread_core::config::{ConfigState, KeyDigest, RequestCount, Resource, StateDelta, Tenant};
use rampthread_core::fleet::{TenantHash, TenantLoad, ZoneLoad};
use rampthread_core::ids::{ResourceName, Version, Zone};
use rampthread_core::time::Moment;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::{Duration, Instant};

const TENANTS: usize = 10_000;
/// Tenants that a zone tells.
const TOLD: usize = 256;

fn tenant(number: usize) -> Tenant {
    let key = |key: usize| KeyDigest::of(&format!("key-{number}-{key}"));
    Tenant {
        name: ResourceName::new(&format!("tenant-{number}")).unwrap(),
        keys: vec![key(0), key(1)],
        priority: Some(1),
        rate: RequestCount::try_from(40.0).unwrap(),
        burst: RequestCount::try_from(40.0).unwrap(),
    }
}

fn version(number: u64, tenants: usize) -> ConfigState {
    let resources = (0..tenants).map(|number| Resource::Tenant(tenant(number)));
    ConfigState::from_document(Version(number), resources.collect(), None).unwrap()
}

fn with_key(number: usize) -> HeaderMap {
    let value = format!("Bearer key-{number}-1");
    let value = HeaderValue::from_str(&value).unwrap();
    HeaderMap::from_iter([(AUTHORIZATION, value)])
}

fn zone() -> Zone {
    Zone::new("zone").unwrap()
}

fn told() -> Vec<ZoneLoad> {
    let loads = (0..TOLD).map(|number| TenantLoad {
        tenant: TenantHash::of(&tenant(number).name),
        requested_millirps: 1_000,
        admitted_millirps: 1_000,
    });
    vec![ZoneLoad {
        zone: zone(),
        age: Duration::from_millis(300),
        nodes: 1,
        services: Vec::new(),
        tenants: loads.collect(),
    }]
}

fn learn(quotas: &mut TenantQuotas, zones: &[ZoneLoad], table: &TenantTable, now: Moment) {
    let news = FleetLoadSnapshot {
        zones,
        own_zone: &zone(),
        members: &ZoneMemberCounts::from([(zone(), 1)]),
    };
    quotas.update(&news, table, now);
}

#[test]
fn ten_thousand_tenants_are_bounded_and_leave_nothing_behind() {
    let policy = QuotaPolicy {
        window: Duration::from_secs(5),
        overage_ratio: 0.1,
        slack_requests: 20.0,
    };
    let state = version(2, TENANTS);
    let delta = StateDelta::between(&version(1, 0), &state).encode();
    let begun = Instant::now();
    let table = TenantTable::new(&state);
    let built = begun.elapsed();
    let known: Vec<HeaderMap> = (0..TENANTS).map(with_key).collect();
    let begun = Instant::now();
    for headers in &known {
        assert!(table.identify(headers, false).unwrap().is_some());
    }
    let looked_up = begun.elapsed();
    let mut now = Moment(1_000_000);
    let mut quotas = TenantQuotas::new(policy, now);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for number in 0..TENANTS {
        quotas.try_admit(&tenant(number), now, &mut rng).unwrap();
    }
    let begun = Instant::now();
    let zones = told();
    for _ in 0..20 {
        now = now + Duration::from_millis(100);
        learn(&mut quotas, &zones, &table, now);
        assert!(quotas.load_reports(now).len() <= TENANTS);
    }
    let learnt = begun.elapsed() / 20;
    println!(
        "{TENANTS} tenants: delta {} bytes, table built in {built:?}, {:?} a look-up, \
         a look at the news {learnt:?}",
        delta.len(),
        looked_up / TENANTS as u32,
    );
    assert_eq!(quotas.len(), TENANTS);
    now = now + Duration::from_secs(61);
    learn(&mut quotas, &zones, &table, now);
    assert_eq!(quotas.len(), TOLD);
    let fewer = TenantTable::new(&version(3, TOLD / 2));
    learn(&mut quotas, &zones, &fewer, now);
    assert_eq!(quotas.len(), TOLD / 2);
    learn(&mut quotas, &[], &TenantTable::default(), now);
    assert!(quotas.is_empty());
}

/// What a node goes by that has heard its own zone and another one of `members` each, so
/// long ago.
fn basis_after(members: u32, own_age: Duration, far_age: Duration) -> QuotaBasis {
    let policy = QuotaPolicy {
        window: Duration::from_secs(5),
        overage_ratio: 0.1,
        slack_requests: 20.0,
    };
    let far = Zone::new("far").unwrap();
    let told = |zone: Zone, age: Duration| ZoneLoad {
        zone,
        age,
        nodes: members,
        services: Vec::new(),
        tenants: Vec::new(),
    };
    let zones = [told(zone(), own_age), told(far.clone(), far_age)];
    let news = FleetLoadSnapshot {
        zones: &zones,
        own_zone: &zone(),
        members: &ZoneMemberCounts::from([(zone(), members), (far, members)]),
    };
    let now = Moment(10_000_000);
    let mut quotas = TenantQuotas::new(policy, Moment(1_000_000));
    let table = TenantTable::new(&version(1, 1));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    quotas.update(&news, &table, now);
    quotas.try_admit(&tenant(0), now, &mut rng).ok();
    quotas.update(&news, &table, now);
    let tag = TenantHash::of(&tenant(0).name);
    quotas.view(tag, now).unwrap().basis
}

/// A large zone tells more seldom; its members are not cut off between two messages.
#[test]
fn news_counts_for_two_intervals_of_its_zone() {
    let part_of = |basis| match basis {
        QuotaBasis::FleetDemand { limit_fraction, .. } => Some(limit_fraction),
        QuotaBasis::LocalOnly { .. } => None,
    };
    let seconds = Duration::from_secs_f64;
    let (small, large) = (20, 120);
    assert_eq!(
        part_of(basis_after(small, seconds(1.5), seconds(1.5))),
        None
    );
    let far_lost = part_of(basis_after(small, seconds(0.5), seconds(2.5)));
    assert!(far_lost.is_some_and(|part| part < 1.0), "{far_lost:?}");
    let whole = part_of(basis_after(large, seconds(1.9), seconds(3.8)));
    assert_eq!(whole, Some(1.0));
    assert_eq!(
        part_of(basis_after(large, seconds(2.3), seconds(2.3))),
        None
    );
    let far_lost = part_of(basis_after(large, seconds(0.5), seconds(4.3)));
    assert!(far_lost.is_some_and(|part| part < 1.0), "{far_lost:?}");
}

/// An entry that has just started and hears that nobody asks for a tenant admits its first
/// requests; one that hears nothing yet does not.
#[rstest]
#[case::nobody_asks(true, 2)]
#[case::nothing_heard(false, 0)]
fn the_first_requests_after_a_start(#[case] heard: bool, #[case] admitted: usize) {
    let policy = QuotaPolicy {
        window: Duration::from_secs(5),
        overage_ratio: 0.1,
        slack_requests: 20.0,
    };
    let quiet = [ZoneLoad {
        nodes: 71,
        tenants: Vec::new(),
        ..told().swap_remove(0)
    }];
    let zones: &[ZoneLoad] = if heard { &quiet } else { &[] };
    let news = FleetLoadSnapshot {
        zones,
        own_zone: &zone(),
        members: &ZoneMemberCounts::from([(zone(), 71)]),
    };
    let mut now = Moment(1_000_000);
    let table = TenantTable::new(&version(1, 1));
    let mut quotas = TenantQuotas::new(policy, now);
    for _ in 0..5 {
        now = now + Duration::from_millis(100);
        quotas.update(&news, &table, now);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let asked = (0..2).map(|_| quotas.try_admit(&tenant(0), now, &mut rng));
    assert_eq!(asked.filter(Result::is_ok).count(), admitted);
}
