//! Bounds on the cost of many tenants at one node, and removal of the state of deleted
//! ones.

use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue};
use rampthread_core::call::quota::{
    Admission, FleetLoadSnapshot, QuotaBasis, QuotaPolicy, TenantQuotas, TokenPools,
    ZoneMemberCounts,
};
use rampthread_core::call::tenant_table::TenantTable;
use rampthread_core::config::{ConfigState, KeyDigest, RequestCount, Resource, StateDelta, Tenant};
use rampthread_core::fleet::{
    GrantedTokens, RefillTransfer, TenantHash, TenantLoad, TokenDemand, TokenGrant, TokenRequest,
    ZoneLoad,
};
use rampthread_core::ids::{NodeId, ResourceName, Version, Zone};
use rampthread_core::time::Moment;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::{Duration, Instant};

const POLICY: QuotaPolicy = QuotaPolicy {
    window: Duration::from_secs(5),
    overage_ratio: 0.1,
    slack_requests: 20.0,
};
const TENANTS: usize = 10_000;
/// Tenants in a zone's report.
const REPORTED_TENANTS: usize = 256;

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

fn zone_report() -> Vec<ZoneLoad> {
    let loads = (0..REPORTED_TENANTS).map(|number| TenantLoad {
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

fn update(quotas: &mut TenantQuotas, zones: &[ZoneLoad], table: &TenantTable, now: Moment) {
    let snapshot = FleetLoadSnapshot {
        zones,
        own_zone: &zone(),
        members: &ZoneMemberCounts::from([(zone(), 1)]),
    };
    quotas.update(&snapshot, table, now);
}

#[test]
fn state_is_bounded_and_removed_with_its_tenants() {
    let state = version(2, TENANTS);
    let delta = StateDelta::between(&version(1, 0), &state).encode();
    let begun = Instant::now();
    let table = TenantTable::new(&state);
    let build_time = begun.elapsed();
    let known: Vec<HeaderMap> = (0..TENANTS).map(with_key).collect();
    let begun = Instant::now();
    for headers in &known {
        assert!(table.identify(headers, false).unwrap().is_some());
    }
    let lookup_time = begun.elapsed();
    let mut now = Moment(1_000_000);
    let mut quotas = TenantQuotas::new(POLICY, now);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for number in 0..TENANTS {
        quotas.try_admit(&tenant(number), now, &mut rng).unwrap();
    }
    let begun = Instant::now();
    let zones = zone_report();
    for _ in 0..20 {
        now = now + Duration::from_millis(100);
        update(&mut quotas, &zones, &table, now);
        assert!(quotas.load_reports(now).len() <= TENANTS);
    }
    let update_time = begun.elapsed() / 20;
    println!(
        "{TENANTS} tenants: delta {} bytes, table built in {build_time:?}, {:?} per lookup, \
         update in {update_time:?}",
        delta.len(),
        lookup_time / TENANTS as u32,
    );
    assert_eq!(quotas.len(), TENANTS);
    now = now + Duration::from_secs(61);
    update(&mut quotas, &zones, &table, now);
    assert_eq!(quotas.len(), REPORTED_TENANTS);
    let fewer = TenantTable::new(&version(3, REPORTED_TENANTS / 2));
    update(&mut quotas, &zones, &fewer, now);
    assert_eq!(quotas.len(), REPORTED_TENANTS / 2);
    update(&mut quotas, &[], &TenantTable::default(), now);
    assert!(quotas.is_empty());
}

/// Basis of a decision of a node with reports of its own zone and another one, of `members`
/// nodes each, with the given ages.
fn basis_after(members: u32, own_age: Duration, far_age: Duration) -> QuotaBasis {
    let far = Zone::new("far").unwrap();
    let report = |zone: Zone, age: Duration| ZoneLoad {
        zone,
        age,
        nodes: members,
        services: Vec::new(),
        tenants: Vec::new(),
    };
    let zones = [report(zone(), own_age), report(far.clone(), far_age)];
    let snapshot = FleetLoadSnapshot {
        zones: &zones,
        own_zone: &zone(),
        members: &ZoneMemberCounts::from([(zone(), members), (far, members)]),
    };
    let now = Moment(10_000_000);
    let mut quotas = TenantQuotas::new(POLICY, Moment(1_000_000));
    let table = TenantTable::new(&version(1, 1));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    quotas.update(&snapshot, &table, now);
    quotas.try_admit(&tenant(0), now, &mut rng).ok();
    quotas.update(&snapshot, &table, now);
    let tag = TenantHash::of(&tenant(0).name);
    quotas.view(tag, now).unwrap().basis
}

/// Larger zones report less often; their members must not count as unreachable between two
/// reports.
#[test]
fn reports_count_for_two_intervals_of_their_zone() {
    let fraction_of = |basis| match basis {
        QuotaBasis::FleetDemand { limit_fraction, .. } => Some(limit_fraction),
        QuotaBasis::LocalOnly { .. } => None,
    };
    let seconds = Duration::from_secs_f64;
    let (small, large) = (20, 120);
    assert_eq!(
        fraction_of(basis_after(small, seconds(1.5), seconds(1.5))),
        None
    );
    let unreachable = fraction_of(basis_after(small, seconds(0.5), seconds(2.5)));
    assert!(
        unreachable.is_some_and(|fraction| fraction < 1.0),
        "{unreachable:?}"
    );
    let complete = fraction_of(basis_after(large, seconds(1.9), seconds(3.8)));
    assert_eq!(complete, Some(1.0));
    assert_eq!(
        fraction_of(basis_after(large, seconds(2.3), seconds(2.3))),
        None
    );
    let unreachable = fraction_of(basis_after(large, seconds(0.5), seconds(4.3)));
    assert!(
        unreachable.is_some_and(|fraction| fraction < 1.0),
        "{unreachable:?}"
    );
}

/// Pools of a zone whose other nodes have handed over refill time for some seconds.
fn filled_pools(table: &TenantTable, now: Moment) -> TokenPools {
    let mut pools = TokenPools::new(POLICY);
    let handover = TokenRequest {
        sequence: 1,
        refill: RefillTransfer {
            limit_time: Duration::from_secs(5) / 71,
            period: Duration::from_millis(400),
        },
        demands: Vec::new(),
    };
    for number in 0..70 {
        let node = NodeId::new(&format!("node-{number}")).unwrap();
        let handed_over_at = now - Duration::from_millis(500);
        pools.serve(&node, 1, &handover, table, handed_over_at);
    }
    let members = ZoneMemberCounts::from([(zone(), 71)]);
    pools.update(&members, &zone(), table, now);
    pools
}

/// After its start, a node whose reports don't name the tenant gets tokens for its first requests
/// from the pool; one without reports gets no answer and admits nothing.
#[rstest]
#[case::tenant_without_load(true, 2)]
#[case::no_report(false, 0)]
fn first_requests_after_start(#[case] has_report: bool, #[case] admitted: usize) {
    let idle_zone = [ZoneLoad {
        nodes: 71,
        tenants: Vec::new(),
        ..zone_report().swap_remove(0)
    }];
    let zones: &[ZoneLoad] = if has_report { &idle_zone } else { &[] };
    let snapshot = FleetLoadSnapshot {
        zones,
        own_zone: &zone(),
        members: &ZoneMemberCounts::from([(zone(), 71)]),
    };
    let mut now = Moment(10_000_000);
    let table = TenantTable::new(&version(1, 1));
    let mut quotas = TenantQuotas::new(POLICY, now);
    for _ in 0..5 {
        now = now + Duration::from_millis(100);
        quotas.update(&snapshot, &table, now);
    }
    let mut pools = filled_pools(&table, now);
    let node = NodeId::new("starting").unwrap();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let results = (0..2).map(|_| {
        let result = quotas.try_admit(&tenant(0), now, &mut rng);
        if let Some(request) = quotas.take_request(now) {
            match has_report {
                true => {
                    let grant = pools.serve(&node, 1, &request, &table, now);
                    quotas.on_grant(&request, &grant, now);
                }
                false => quotas.on_unanswered(&request, now),
            }
        }
        match result {
            Ok(Admission::AwaitsToken) => quotas.resume(&tenant(0), now, &mut rng),
            decided => decided,
        }
    });
    let is_admitted = |result: &Result<Admission, _>| *result == Ok(Admission::Admitted);
    assert_eq!(results.filter(is_admitted).count(), admitted);
}

/// A request that arrives twice gets the same tokens again, and its refill time counts once.
#[test]
fn repeated_requests_get_the_first_reply() {
    let table = TenantTable::new(&version(1, 1));
    let mut pools = TokenPools::new(POLICY);
    let mut now = Moment(10_000_000);
    pools.update(&ZoneMemberCounts::from([(zone(), 1)]), &zone(), &table, now);
    let node = NodeId::new("node").unwrap();
    let request = |sequence, tokens| TokenRequest {
        sequence,
        refill: RefillTransfer {
            limit_time: Duration::from_millis(100),
            period: Duration::from_millis(1),
        },
        demands: vec![TokenDemand {
            tenant: TenantHash::of(&tenant(0).name),
            tokens,
            is_urgent: true,
        }],
    };
    pools.serve(&node, 1, &request(1, 0), &table, now);
    now = now + Duration::from_millis(2);
    let first = pools.serve(&node, 1, &request(2, 3), &table, now);
    assert_eq!(first.grants[0].tokens, 3);
    now = now + Duration::from_millis(20);
    assert_eq!(pools.serve(&node, 1, &request(2, 3), &table, now), first);
    // 4 tokens arose from each of the two handovers, of which 3 are taken.
    let rest = pools.serve(&node, 1, &request(3, 9), &table, now);
    assert_eq!(rest.grants[0].tokens, 5);
    // Another process of the node counts its requests anew.
    let of_new_process = pools.serve(&node, 2, &request(2, 3), &table, now);
    assert_eq!(of_new_process.grants[0].tokens, 0);
}

/// A loan that arrives twice, or that was not asked for, adds no tokens.
#[test]
fn loans_count_once() {
    let table = TenantTable::new(&version(1, 1));
    let mut pools = TokenPools::new(POLICY);
    let now = Moment(10_000_000);
    let far = Zone::new("far").unwrap();
    let members = ZoneMemberCounts::from([(zone(), 1), (far, 1)]);
    pools.update(&members, &zone(), &table, now);
    let tag = TenantHash::of(&tenant(0).name);
    let (node, lender) = (NodeId::new("node").unwrap(), NodeId::new("lender").unwrap());
    let granted = |pools: &mut TokenPools, sequence| {
        let demand = TokenDemand {
            tenant: tag,
            tokens: 1,
            is_urgent: true,
        };
        let request = TokenRequest {
            sequence,
            refill: RefillTransfer {
                limit_time: Duration::from_nanos(1),
                period: Duration::from_millis(1),
            },
            demands: vec![demand],
        };
        let later = now + Duration::from_millis(2);
        pools.serve(&node, 1, &request, &table, later).grants[0].tokens
    };
    assert_eq!(granted(&mut pools, 1), 0);
    let loan = pools.take_loan_request(now).unwrap();
    let lent = GrantedTokens {
        tenant: tag,
        tokens: 1,
        retry_after: Duration::ZERO,
    };
    let grant = TokenGrant {
        sequence: loan.sequence,
        is_filling: false,
        grants: vec![lent],
    };
    let unasked = TokenGrant {
        sequence: loan.sequence + 1,
        ..grant.clone()
    };
    let later = now + Duration::from_millis(2);
    for reply in [&grant, &grant, &unasked] {
        pools.on_loan(&lender, reply, &table, later);
    }
    assert_eq!(granted(&mut pools, 2), 1);
    assert_eq!(granted(&mut pools, 3), 0);
}
