//! What an entry node concludes from rejections, and what a gate node replies to a query
//! for a free slot.

use proptest::prelude::*;
use rampthread_core::call::acceptance::AcceptanceEstimator;
use rampthread_core::call::admission::{
    AdmissionController, AdmissionDecision, AdmissionLimits, Arrival,
};
use rampthread_core::call::balance::{BalanceMode, Balancer, Endpoint};
use rampthread_core::call::precedence::Precedence;
use rampthread_core::ids::{NodeId, Zone};
use rampthread_core::time::Moment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;

const START: Moment = Moment(1_000_000);

fn zone(name: &str) -> Zone {
    Zone::new(name).unwrap()
}

/// An acceptance estimator after 200 attempts in the zone `zone_name`, of which `percent`
/// percent were rejected.
fn after_rejections(percent: u32, zone_name: &str) -> AcceptanceEstimator {
    let mut estimator = AcceptanceEstimator::new(zone("near"));
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..200 {
        estimator.record(&zone(zone_name), rng.random_range(0..100) < percent, START);
    }
    estimator
}

#[rstest]
fn gates_are_asked_only_where_some_accept(#[values("near", "far")] at: &str) {
    let asked = |percent| after_rejections(percent, at).should_ask(&zone(at), START);
    assert!(AcceptanceEstimator::new(zone("near")).should_ask(&zone(at), START));
    assert!(asked(0) && asked(2));
    assert!(!asked(95) && !asked(100));
}

/// Another gate node is expected to run a call at once only while most attempts are
/// accepted.
#[rstest]
fn a_call_waits_where_many_are_rejected(#[values("near", "far")] at: &str) {
    let likely = |percent| after_rejections(percent, at).is_acceptance_likely(&zone(at), START);
    assert!(AcceptanceEstimator::new(zone("near")).is_acceptance_likely(&zone(at), START));
    assert!(likely(0) && likely(2));
    assert!(!likely(95) && !likely(100));
}

/// A nested call asks every gate node of its own zone, but other zones only as other calls
/// do.
#[test]
fn a_nested_call_asks_all_gates_of_its_zone() {
    let near = after_rejections(100, "near");
    assert!(!near.should_ask(&zone("near"), START));
    assert!(near.should_ask_nested(&zone("near"), START));
    let far = after_rejections(100, "far");
    assert!(!far.should_ask_nested(&zone("far"), START));
}

#[test]
fn rejections_in_one_zone_say_nothing_of_another() {
    let near = after_rejections(100, "near");
    assert!(near.should_ask(&zone("far"), START));
    let far = after_rejections(100, "far");
    assert!(far.should_ask(&zone("near"), START));
    assert!(far.should_ask(&zone("third"), START));
}

#[test]
fn rejections_fade() {
    let estimator = after_rejections(100, "far");
    let later = START + Duration::from_secs(4);
    assert!(estimator.should_ask(&zone("far"), later));
}

#[test]
fn a_query_precedes_a_body_that_is_likely_wasted() {
    let asks = |percent, bytes| {
        after_rejections(percent, "near").should_ask_before_body(&zone("near"), bytes, START)
    };
    assert!(!asks(0, 100_000), "no gate rejects");
    assert!(!asks(100, 0), "there is no body");
    assert!(!asks(100, 200), "the query costs more");
    assert!(asks(100, 4_000));
}

fn endpoint(index: usize, zone: &str) -> Endpoint {
    Endpoint {
        node: NodeId::new(&format!("node-{index}")).unwrap(),
        zone: Zone::new(zone).unwrap(),
        slots: 4,
        slow_start: Duration::ZERO,
        speed_percent: 100,
    }
}

proptest! {
    /// A call leaves a zone whose backends are full only if that is allowed. If the service
    /// has no backend in the zone, the call goes to another zone. There are at most four
    /// backends, so that the random sample contains all of them.
    #[test]
    fn the_zone_is_left_only_where_that_is_allowed(
        near in 0_usize..3, far in 1_usize..3, may_leave in any::<bool>(), seed: u64,
    ) {
        let mut endpoints: Vec<Endpoint> = (0..near).map(|index| endpoint(index, "near")).collect();
        endpoints.extend((near..near + far).map(|index| endpoint(index, "far")));
        let mut balancer = Balancer::new(BalanceMode::LeastCost, START);
        for endpoint in &endpoints[..near] {
            balancer.record_load(&endpoint.node, 40, START);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let near_zone = zone("near");
        let chosen = balancer.choose(&endpoints, &[], &near_zone, |_| may_leave, START, &mut rng);
        let chosen = chosen.expect("there is a backend");
        prop_assert_eq!(chosen.zone == near_zone, near > 0 && !may_leave);
    }

    /// The reply to a query for a free slot is the same as the decision about the call that
    /// follows.
    #[test]
    fn a_query_gets_the_decision_about_the_call(
        slots in 0_u32..4, queue in 0_u32..4, calls in prop::collection::vec(0_u64..400, 1..20),
    ) {
        let mut admission = AdmissionController::new(AdmissionLimits { slots, queue });
        for (number, patience_ms) in calls.into_iter().enumerate() {
            let arrival = Arrival {
                call: number as u64,
                caller: String::new(),
                deadline: START + Duration::from_secs(1),
                rank: 1,
                precedence: Precedence::FirstAttempt,
                max_wait: Duration::from_millis(patience_ms),
                expected_service_time: Some(Duration::from_millis(100)),
            };
            let before = admission.load();
            let asked = admission.decide(&arrival, START);
            prop_assert_eq!(admission.load(), before, "a query takes no place in the queue");
            prop_assert_eq!(admission.arrive(arrival, START), asked);
            let taken = !matches!(asked, AdmissionDecision::Refused { .. });
            prop_assert_eq!(admission.load(), before + u32::from(taken));
        }
    }
}
