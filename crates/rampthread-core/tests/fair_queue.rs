//! The slots of a full back end are shared by work among the tenants that want them.

use proptest::prelude::*;
use rampthread_core::call::admission::{
    AdmissionController, AdmissionDecision, AdmissionLimits, Arrival,
};
use rampthread_core::call::fair_queue::FairQueue;
use rampthread_core::call::precedence::Precedence;
use rampthread_core::time::Moment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const SLOTS: u32 = 4;

/// One tenant's demand.
#[derive(Debug, Clone, Copy)]
struct Demand {
    calls_a_second: u64,
    work: Duration,
}

fn arrival(call: u64, tenant: &str, work: Duration, now: Moment) -> Arrival {
    Arrival {
        call,
        caller: tenant.to_string(),
        deadline: now + SECOND,
        rank: 1,
        precedence: Precedence::FirstAttempt,
        max_wait: SECOND,
        expected_service_time: Some(work),
    }
}

/// Work served by tenant in `seconds` at one gate; a call that waits leaves after 200 ms.
fn served(
    demands: &BTreeMap<String, Demand>,
    seconds: u64,
    seed: u64,
) -> BTreeMap<String, Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut gate = AdmissionController::new(AdmissionLimits {
        slots: SLOTS,
        queue: 16,
    });
    let mut arrivals: Vec<(Moment, String, Duration)> = Vec::new();
    for (tenant, demand) in demands {
        for _ in 0..demand.calls_a_second * seconds {
            let at = Moment(1 + rng.random_range(0..seconds * 1_000_000));
            arrivals.push((at, tenant.clone(), demand.work));
        }
    }
    arrivals.sort();
    let mut served = BTreeMap::new();
    let mut waiting: HashMap<u64, Moment> = HashMap::new();
    let mut running: Vec<(Moment, u64)> = Vec::new();
    for (call, (now, tenant, work)) in arrivals.iter().enumerate() {
        let call = call as u64;
        running.sort_by(|one, other| other.cmp(one));
        while let Some((ends, ended)) = running.last().copied()
            && ends <= *now
        {
            running.pop();
            let (_, tenant, work) = &arrivals[ended as usize];
            *served.entry(tenant.clone()).or_insert(Duration::ZERO) += *work;
            let overdue = |since: &Moment| ends.since(*since) > Duration::from_millis(200);
            waiting.retain(|call, since| !overdue(since) || !gate.cancel(*call));
            if let Some(next) = gate.release(Some(*work), ends).run {
                waiting.remove(&next);
                running.push((ends + arrivals[next as usize].2, next));
                running.sort_by(|one, other| other.cmp(one));
            }
        }
        match gate.arrive(arrival(call, tenant, *work, *now), *now) {
            AdmissionDecision::Run => running.push((*now + *work, call)),
            AdmissionDecision::Wait => {
                waiting.insert(call, *now);
            }
            AdmissionDecision::Refused { .. } => {}
        }
    }
    served
}

fn demand(calls_a_second: u64, work_ms: u64) -> Demand {
    Demand {
        calls_a_second,
        work: Duration::from_millis(work_ms),
    }
}

/// One tenant asks ten times what each other asks: it gets what they leave.
#[test]
fn a_tenant_that_floods_takes_what_others_leave() {
    let mut demands: BTreeMap<String, Demand> = (0..8)
        .map(|tenant| (format!("tenant-{tenant}"), demand(8, 50)))
        .collect();
    demands.insert("flood".to_string(), demand(80, 50));
    for seed in 0..5 {
        let served = served(&demands, 30, seed);
        let share = |tenant: &str| {
            let asked = demands[tenant].work * (demands[tenant].calls_a_second * 30) as u32;
            served[tenant].as_secs_f64() / asked.as_secs_f64()
        };
        let others: Vec<f64> = (0..8)
            .map(|tenant| share(&format!("tenant-{tenant}")))
            .collect();
        let mean = others.iter().sum::<f64>() / 8.0;
        println!("seed {seed}: others {mean:.3}, flood {:.3}", share("flood"));
        assert!(others.iter().all(|one| *one >= mean / 2.0));
        assert!(mean > 0.85, "{mean}");
        assert!(share("flood") < mean);
    }
}

/// Many small calls and few large ones of the same work get about the same.
#[test]
fn small_and_large_calls_count_by_work() {
    let demands: BTreeMap<String, Demand> = [
        ("small".to_string(), demand(160, 25)),
        ("large".to_string(), demand(40, 100)),
    ]
    .into();
    for seed in 0..5 {
        let served = served(&demands, 30, seed);
        let ratio = served["small"].as_secs_f64() / served["large"].as_secs_f64();
        println!("seed {seed}: small over large {ratio:.2}");
        assert!((0.5..2.0).contains(&ratio), "{ratio}");
    }
}

proptest! {
    /// Owners who always want more are served the same work, within two calls each.
    #[test]
    fn owners_with_demand_get_the_same(works in prop::collection::vec(1_u64..50, 2..12)) {
        let mut turns = FairQueue::default();
        let owners: Vec<String> = (0..works.len()).map(|owner| format!("owner-{owner}")).collect();
        let mut served = vec![0_u64; works.len()];
        for _ in 0..2_000 {
            let next = (0..works.len()).min_by_key(|owner| turns.start_tag(&owners[*owner])).unwrap();
            turns.served(&owners[next], Some(Duration::from_millis(works[next])));
            served[next] += works[next];
        }
        let most = *works.iter().max().unwrap();
        let spread = served.iter().max().unwrap() - served.iter().min().unwrap();
        prop_assert!(spread <= 2 * most, "{served:?}");
    }
}

/// State stays bounded with ten thousand tenants, and the gate goes on serving all.
#[test]
fn ten_thousand_tenants() {
    let mut turns = FairQueue::default();
    for round in 0..3 {
        for tenant in 0..10_000 {
            let owner = format!("tenant-{tenant}");
            let before = turns.start_tag(&owner);
            turns.served(&owner, Some(Duration::from_millis(5)));
            assert!(turns.start_tag(&owner) >= before, "round {round}");
        }
    }
    assert!(turns.owner_count() <= 1_024);
}
