//! Backends that can take no more calls must not draw them: one that refuses calls faster than
//! the others answer them, and those whose rate limits are used up.

use rampthread_core::call::balance::{BalanceMode, Balancer, Endpoint};
use rampthread_core::call::rate_limit::{LimitReport, RateLimit};
use rampthread_core::ids::{NodeId, ResourceName, Zone};
use rampthread_core::time::Moment;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

const BACKENDS: usize = 3;
const SLOTS: u32 = 8;
const SERVICE_TIME_MS: u64 = 100;
/// Time between two calls; 60 calls a second.
const CALL_INTERVAL_MS: u64 = 16;
const REFUSING: usize = 0;

fn at(milliseconds: u64) -> Moment {
    Moment::default() + Duration::from_millis(1_000 + milliseconds)
}

fn endpoints(count: usize) -> Vec<Endpoint> {
    let endpoint = |number: usize| Endpoint {
        node: NodeId::new(&format!("node-{number}")).unwrap(),
        zone: Zone::new("zone").unwrap(),
        slots: SLOTS,
        slow_start: Duration::ZERO,
        speed_percent: 100,
    };
    (0..count).map(endpoint).collect()
}

/// Calls that each backend gets between `from_ms` and `to_ms`; the first one refuses each call
/// at once until `refuses_until_ms`.
fn calls_by_backend(refuses_until_ms: u64, from_ms: u64, to_ms: u64) -> [u32; BACKENDS] {
    let endpoints = endpoints(BACKENDS);
    let zone = Zone::new("zone").unwrap();
    let route = ResourceName::new("route").unwrap();
    let mut rng = StdRng::seed_from_u64(7);
    let mut balancer = Balancer::new(BalanceMode::LeastCost, at(0));
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut calls = [0; BACKENDS];
    for now in (0..to_ms).step_by(CALL_INTERVAL_MS as usize) {
        let (ended, others): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(end, _)| *end <= now);
        running = others;
        for (_, backend) in ended {
            let node = &endpoints[backend].node;
            let load = running
                .iter()
                .filter(|(_, other)| *other == backend)
                .count();
            balancer.record_load(node, load as u32, at(now));
            let time = Duration::from_millis(SERVICE_TIME_MS);
            balancer.record_response(node, &route, time, at(now));
            balancer.record_end(node);
        }
        let chosen = balancer.choose(&endpoints, &[], &zone, |_| true, at(now), &mut rng);
        let node = chosen.unwrap().node.clone();
        let backend = endpoints.iter().position(|one| one.node == node).unwrap();
        if now >= from_ms {
            calls[backend] += 1;
        }
        balancer.record_sent(&node);
        if backend == REFUSING && now < refuses_until_ms {
            balancer.record_load(&node, 0, at(now));
            balancer.record_refusal(&node, at(now));
            balancer.record_end(&node);
        } else {
            running.push((now + SERVICE_TIME_MS, backend));
        }
    }
    calls
}

#[test]
fn a_backend_that_refuses_fast_gets_few_calls() {
    let calls = calls_by_backend(u64::MAX, 1_000, 11_000);
    let total: u32 = calls.iter().sum();
    assert!(calls[REFUSING] * 10 < total, "{calls:?}");
}

#[test]
fn a_backend_that_no_longer_refuses_gets_its_share_again() {
    let calls = calls_by_backend(5_000, 10_000, 20_000);
    let total: u32 = calls.iter().sum();
    assert!(calls[REFUSING] * 5 > total, "{calls:?}");
}

/// Reports to `balancer` that the limit of the backend at `node` allows a call after `wait_ms`.
fn report_limit(balancer: &mut Balancer, node: &NodeId, wait_ms: u64) {
    let report = LimitReport {
        limit: RateLimit::new(2.0).unwrap(),
        wait: Duration::from_millis(wait_ms),
    };
    balancer.record_limit(node, Some(report), at(0));
}

#[test]
fn backends_whose_limits_are_used_up_get_no_calls_while_others_have_room() {
    let endpoints = endpoints(40);
    let zone = Zone::new("zone").unwrap();
    let mut rng = StdRng::seed_from_u64(7);
    let mut balancer = Balancer::new(BalanceMode::LeastCost, at(0));
    for endpoint in &endpoints[..36] {
        report_limit(&mut balancer, &endpoint.node, 1_500);
    }
    for _ in 0..500 {
        let chosen = balancer.choose(&endpoints, &[], &zone, |_| true, at(10), &mut rng);
        let node = &chosen.unwrap().node;
        assert_eq!(balancer.limit_wait(node, at(10)), Duration::ZERO);
    }
}

#[test]
fn where_all_limits_are_used_up_the_first_to_allow_a_call_is_chosen() {
    let endpoints = endpoints(40);
    let zone = Zone::new("zone").unwrap();
    let mut rng = StdRng::seed_from_u64(7);
    let mut balancer = Balancer::new(BalanceMode::LeastCost, at(0));
    for (number, endpoint) in endpoints.iter().enumerate() {
        report_limit(&mut balancer, &endpoint.node, 1_000 + 400 * number as u64);
    }
    let chosen = balancer.choose(&endpoints, &[], &zone, |_| true, at(10), &mut rng);
    assert_eq!(chosen.unwrap().node, endpoints[0].node);
}
