//! What is asked of a fleet by its size, and to whom the store says nothing in the
//! worst draw.

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// Share of the nodes to which the store says nothing, in the worst draw.
const SILENT_PERCENT: usize = 85;

/// Time within which a leave must be known and a version in force on every node
/// in touch: what the users ask of their deployments of about this size.
pub fn limit(size: usize) -> Duration {
    Duration::from_millis(match size {
        0..50 => 2_000,
        50..150 => 2_500,
        _ => 3_000,
    })
}

/// So many of `size` nodes, drawn, as the store is silent to in the worst draw.
pub fn most_nodes(size: usize, rng: &mut ChaCha8Rng) -> BTreeSet<usize> {
    let count = size * SILENT_PERCENT / 100;
    (0..size).choose_multiple(rng, count).into_iter().collect()
}
