//! Rendezvous hashing (highest random weight, Thaler and Ravishankar 1998). All nodes order
//! the candidates for a key in the same way, and the loss of a candidate affects only its
//! own keys.

use crate::ids::{NodeId, Zone};
use std::collections::BTreeSet;

/// Hash of `key` and `candidate`, by which all nodes order the candidates of a key. The
/// highest weight comes first.
pub fn weight(key: &str, candidate: &NodeId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(candidate.as_str().as_bytes());
    let mut first = [0_u8; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Sorts the candidates by descending [`weight`] for `key`.
pub fn order(key: &str, candidates: impl IntoIterator<Item = NodeId>) -> Vec<NodeId> {
    let mut weighted: Vec<(u64, NodeId)> = candidates
        .into_iter()
        .map(|candidate| (weight(key, &candidate), candidate))
        .collect();
    weighted.sort_by(|left, right| right.cmp(left));
    weighted
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}

/// Number of `others` that precede `candidate` in the rendezvous order for `key`.
pub fn rank<'a>(
    key: &str,
    candidate: &NodeId,
    others: impl IntoIterator<Item = &'a NodeId>,
) -> usize {
    let mine = weight(key, candidate);
    let before = |other: &&NodeId| (weight(key, other), *other) > (mine, candidate);
    others.into_iter().filter(before).count()
}

/// Selects up to `count` candidates in rendezvous order. No zone gets a second candidate
/// before each zone has one, and so on.
pub fn select_across_zones(
    key: &str,
    candidates: impl IntoIterator<Item = (NodeId, Zone)>,
    count: usize,
) -> Vec<NodeId> {
    let mut weighted: Vec<(u64, NodeId, Zone)> = candidates
        .into_iter()
        .map(|(candidate, zone)| (weight(key, &candidate), candidate, zone))
        .collect();
    weighted.sort_by(|left, right| right.cmp(left));
    let mut chosen = Vec::with_capacity(count);
    while chosen.len() < count && !weighted.is_empty() {
        let mut zones_of_round = BTreeSet::new();
        let mut left_over = Vec::new();
        for (score, candidate, zone) in weighted {
            if chosen.len() < count && zones_of_round.insert(zone.clone()) {
                chosen.push(candidate);
            } else {
                left_over.push((score, candidate, zone));
            }
        }
        weighted = left_over;
    }
    chosen
}
