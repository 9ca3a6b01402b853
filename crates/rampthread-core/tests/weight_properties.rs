//! Distribution of calls among the destinations of a route by weight.

use proptest::prelude::*;
use rampthread_core::call::route_table::choose_destination;
use rampthread_core::config::Destination;
use rampthread_core::ids::ResourceName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// Number of consecutive calls over which shares are measured.
const WINDOW: usize = 200;
/// Maximum difference between a service's share of the calls and its share of the weights.
const TOLERANCE: f64 = 0.2;

proptest! {
    /// In any [`WINDOW`] consecutive calls each service gets about its share of the
    /// weights.
    #[test]
    fn every_span_of_calls_is_shared_by_weight(
        weights in prop::collection::vec(0_u32..100, 2..5),
        seed in any::<u64>(),
    ) {
        let total: u32 = weights.iter().sum();
        prop_assume!(total > 0);
        let destinations: Vec<Destination> = weights
            .iter()
            .enumerate()
            .map(|(index, weight)| Destination { service: ResourceName::new(&format!("part-{index}")).unwrap(), weight: *weight })
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut span = VecDeque::new();
        for _ in 0..5 * WINDOW {
            span.push_back(choose_destination(&destinations, &mut rng).cloned().unwrap());
            if span.len() < WINDOW {
                continue;
            }
            for destination in &destinations {
                let calls = span.iter().filter(|service| **service == destination.service).count();
                let share = calls as f64 / span.len() as f64;
                let wanted = f64::from(destination.weight) / f64::from(total);
                prop_assert!((share - wanted).abs() <= TOLERANCE, "{share} for {wanted}");
            }
            span.pop_front();
        }
    }
}
