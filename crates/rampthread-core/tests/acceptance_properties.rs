//! What an entry concludes from refusals, and what a gate says when it is only
//! asked.

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

/// What is known after 200 tries in `zone_name` of which `percent` in 100 were
/// refused.
fn after_refusals(percent: u32, zone_name: &str) -> AcceptanceEstimator {
    let mut room = AcceptanceEstimator::new(zone("near"));
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..200 {
        room.record(&zone(zone_name), rng.random_range(0..100) < percent, START);
    }
    room
}

#[rstest]
fn gates_are_asked_in_turn_only_where_some_have_room(#[values("near", "far")] at: &str) {
    let asked = |percent| after_refusals(percent, at).should_ask(&zone(at), START);
    assert!(AcceptanceEstimator::new(zone("near")).should_ask(&zone(at), START));
    assert!(asked(0) && asked(2));
    assert!(!asked(95) && !asked(100));
}

/// Another gate is expected to run a call at once only while most tries find room.
#[rstest]
fn a_call_waits_in_order_where_many_are_refused(#[values("near", "far")] at: &str) {
    let likely = |percent| after_refusals(percent, at).is_acceptance_likely(&zone(at), START);
    assert!(AcceptanceEstimator::new(zone("near")).is_acceptance_likely(&zone(at), START));
    assert!(likely(0) && likely(2));
    assert!(!likely(95) && !likely(100));
}

/// A nested call asks every gate of its own zone, and goes no further than others do.
#[test]
fn a_nested_call_asks_all_gates_of_its_zone() {
    let near = after_refusals(100, "near");
    assert!(!near.should_ask(&zone("near"), START));
    assert!(near.should_ask_nested(&zone("near"), START));
    let far = after_refusals(100, "far");
    assert!(!far.should_ask_nested(&zone("far"), START));
}

#[test]
fn refusals_of_one_zone_say_nothing_of_another() {
    let near = after_refusals(100, "near");
    assert!(near.should_ask(&zone("far"), START));
    let far = after_refusals(100, "far");
    assert!(far.should_ask(&zone("near"), START));
    assert!(far.should_ask(&zone("third"), START));
}

#[test]
fn what_was_learnt_fades() {
    let room = after_refusals(100, "far");
    let later = START + Duration::from_secs(4);
    assert!(room.should_ask(&zone("far"), later));
}

#[test]
fn a_question_goes_before_a_body_that_is_likely_wasted() {
    let asks = |percent, bytes| {
        after_refusals(percent, "near").should_ask_before_body(&zone("near"), bytes, START)
    };
    assert!(!asks(0, 100_000), "nobody refuses");
    assert!(!asks(100, 0), "there is no body");
    assert!(!asks(100, 200), "the question costs more");
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
    /// A full zone is left only where that is worth it, and a service that has no
    /// back end in the own zone is reached all the same. Four back ends at most: so
    /// many are compared, so that none is left out by chance.
    #[test]
    fn the_zone_is_left_only_where_it_is_worth_it(
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
        let chosen = chosen.expect("there is a back end");
        prop_assert_eq!(chosen.zone == near_zone, near > 0 && !may_leave);
    }

    /// What a gate says when it is asked is what becomes of the call.
    #[test]
    fn a_question_gets_the_answer_that_the_call_would_get(
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
            prop_assert_eq!(admission.load(), before, "a question takes no place");
            prop_assert_eq!(admission.arrive(arrival, START), asked);
            let taken = !matches!(asked, AdmissionDecision::Refused { .. });
            prop_assert_eq!(admission.load(), before + u32::from(taken));
        }
    }
}
