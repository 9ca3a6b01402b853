//! The slots of a full backend are shared fairly, by service time, among tenants with
//! waiting calls.

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

/// Call rate and service time of one tenant.
#[derive(Debug, Clone, Copy)]
struct TenantLoad {
    calls_per_second: u64,
    service_time: Duration,
}

/// A call that may wait for up to a second.
fn arrival(call: u64, tenant: &str, service_time: Duration, now: Moment) -> Arrival {
    Arrival {
        call,
        caller: tenant.to_string(),
        deadline: now + SECOND,
        rank: 1,
        precedence: Precedence::FirstAttempt,
        max_wait: SECOND,
        expected_service_time: Some(service_time),
    }
}

/// Service time that each tenant gets at one gate node in `seconds`; a call that waits is
/// abandoned after 200 ms.
fn served(
    loads: &BTreeMap<String, TenantLoad>,
    seconds: u64,
    seed: u64,
) -> BTreeMap<String, Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut gate = AdmissionController::new(AdmissionLimits {
        slots: SLOTS,
        queue: 16,
    });
    let mut arrivals: Vec<(Moment, String, Duration)> = Vec::new();
    for (tenant, load) in loads {
        for _ in 0..load.calls_per_second * seconds {
            let at = Moment(1 + rng.random_range(0..seconds * 1_000_000));
            arrivals.push((at, tenant.clone(), load.service_time));
        }
    }
    arrivals.sort();
    let mut served = BTreeMap::new();
    let mut waiting: HashMap<u64, Moment> = HashMap::new();
    let mut running: Vec<(Moment, u64)> = Vec::new();
    for (call, (now, tenant, service_time)) in arrivals.iter().enumerate() {
        let call = call as u64;
        running.sort_by(|one, other| other.cmp(one));
        while let Some((ends, ended)) = running.last().copied()
            && ends <= *now
        {
            running.pop();
            let (_, tenant, service_time) = &arrivals[ended as usize];
            *served.entry(tenant.clone()).or_insert(Duration::ZERO) += *service_time;
            let overdue = |since: &Moment| ends.since(*since) > Duration::from_millis(200);
            waiting.retain(|call, since| !overdue(since) || !gate.cancel(*call));
            if let Some(next) = gate.release(Some(*service_time), ends).run {
                waiting.remove(&next);
                running.push((ends + arrivals[next as usize].2, next));
                running.sort_by(|one, other| other.cmp(one));
            }
        }
        match gate.arrive(arrival(call, tenant, *service_time, *now), *now) {
            AdmissionDecision::Run => running.push((*now + *service_time, call)),
            AdmissionDecision::Wait => {
                waiting.insert(call, *now);
            }
            AdmissionDecision::Refused { .. } => {}
        }
    }
    served
}

fn load(calls_per_second: u64, service_time_ms: u64) -> TenantLoad {
    TenantLoad {
        calls_per_second,
        service_time: Duration::from_millis(service_time_ms),
    }
}

/// A tenant that asks for ten times as much service time as each other tenant gets only
/// what the others leave.
#[test]
fn a_tenant_that_floods_gets_what_others_leave() {
    let mut loads: BTreeMap<String, TenantLoad> = (0..8)
        .map(|tenant| (format!("tenant-{tenant}"), load(8, 50)))
        .collect();
    loads.insert("flood".to_string(), load(80, 50));
    for seed in 0..5 {
        let served = served(&loads, 30, seed);
        let share = |tenant: &str| {
            let asked = loads[tenant].service_time * (loads[tenant].calls_per_second * 30) as u32;
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

/// Many short calls and few long calls of the same total service time get about the same
/// share.
#[test]
fn short_and_long_calls_count_by_service_time() {
    let loads: BTreeMap<String, TenantLoad> = [
        ("small".to_string(), load(160, 25)),
        ("large".to_string(), load(40, 100)),
    ]
    .into();
    for seed in 0..5 {
        let served = served(&loads, 30, seed);
        let ratio = served["small"].as_secs_f64() / served["large"].as_secs_f64();
        println!("seed {seed}: small over large {ratio:.2}");
        assert!((0.5..2.0).contains(&ratio), "{ratio}");
    }
}

proptest! {
    /// Owners (tenants or calling services) that always have waiting calls get the same
    /// service time, up to a difference of two calls.
    #[test]
    fn owners_with_waiting_calls_get_equal_service(service_times in prop::collection::vec(1_u64..50, 2..12)) {
        let mut queue = FairQueue::default();
        let owners: Vec<String> = (0..service_times.len()).map(|owner| format!("owner-{owner}")).collect();
        let mut served = vec![0_u64; service_times.len()];
        for _ in 0..2_000 {
            let next = (0..service_times.len()).min_by_key(|owner| queue.start_tag(&owners[*owner])).unwrap();
            queue.served(&owners[next], Some(Duration::from_millis(service_times[next])));
            served[next] += service_times[next];
        }
        let most = *service_times.iter().max().unwrap();
        let spread = served.iter().max().unwrap() - served.iter().min().unwrap();
        prop_assert!(spread <= 2 * most, "{served:?}");
    }
}

/// The number of stored finish tags stays bounded with ten thousand tenants, and start tags
/// keep growing.
#[test]
fn ten_thousand_tenants_keep_bounded_state() {
    let mut queue = FairQueue::default();
    for round in 0..3 {
        for tenant in 0..10_000 {
            let owner = format!("tenant-{tenant}");
            let before = queue.start_tag(&owner);
            queue.served(&owner, Some(Duration::from_millis(5)));
            assert!(queue.start_tag(&owner) >= before, "round {round}");
        }
    }
    assert!(queue.owner_count() <= 1_024);
}
