//! Selection of peers in this node's zone and in other zones.

use super::Membership;
use super::member_entry::MemberEntry;
use crate::fleet::member::Status;
use crate::ids::{NodeId, Zone};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;

/// Share of this node's queries that go to a peer in another zone, since all members of its own
/// zone may have outdated data.
const OTHER_ZONE_QUERY_RATIO: f64 = 0.25;

impl Membership {
    /// Returns the reachable peers in this node's zone.
    pub fn same_zone_peers(&self) -> impl Iterator<Item = &NodeId> {
        self.reachable_peers()
            .filter(|peer| peer.zone == self.me.zone)
            .map(|peer| &peer.id)
    }

    /// Returns the reachable peers in each other zone.
    pub fn other_zone_peers(&self) -> BTreeMap<&Zone, Vec<&NodeId>> {
        let mut zones: BTreeMap<&Zone, Vec<&NodeId>> = BTreeMap::new();
        for peer in self.reachable_peers() {
            if peer.zone != self.me.zone {
                zones.entry(&peer.zone).or_default().push(&peer.id);
            }
        }
        zones
    }

    /// Returns up to `count` random peers in this node's zone.
    pub fn random_same_zone_peers(&self, count: usize, rng: &mut impl Rng) -> Vec<NodeId> {
        let peers = self.same_zone_peers();
        peers
            .choose_multiple(rng, count)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Returns up to `per_zone` random peers in each other zone.
    pub fn random_other_zone_peers(&self, per_zone: usize, rng: &mut impl Rng) -> Vec<NodeId> {
        let mut targets = Vec::new();
        for peers in self.other_zone_peers().into_values() {
            let chosen = peers.into_iter().choose_multiple(rng, per_zone);
            targets.extend(chosen.into_iter().cloned());
        }
        targets
    }

    /// Returns a random peer for a query that most members can answer, mostly one in this node's
    /// zone.
    pub fn random_peer_preferring_zone(&self, rng: &mut impl Rng) -> Option<NodeId> {
        let same_zone = self.same_zone_peers().cloned().choose(rng);
        if same_zone.is_none() || rng.random_bool(OTHER_ZONE_QUERY_RATIO) {
            return self.random_other_zone_peer(rng).or(same_zone);
        }
        same_zone
    }

    /// Returns a random peer of another zone. All zones are equally likely, whatever their
    /// sizes.
    pub fn random_other_zone_peer(&self, rng: &mut impl Rng) -> Option<NodeId> {
        let zone = self.other_zone_peers().into_values().choose(rng)?;
        zone.into_iter().choose(rng).cloned()
    }

    /// Returns a random alive peer in another zone that has a suspect member. A probe of this peer
    /// shows whether the whole zone is unreachable.
    pub(super) fn peer_of_suspect_zone(&self, rng: &mut impl Rng) -> Option<NodeId> {
        let suspect_zone = self
            .reachable_peers()
            .filter(|peer| peer.status == Status::Suspect && peer.zone != self.me.zone)
            .map(|peer| &peer.zone)
            .choose(rng)?;
        let alive = |peer: &&crate::fleet::member::MemberRecord| {
            peer.status == Status::Alive && peer.zone == *suspect_zone
        };
        let peers = self.reachable_peers().filter(alive);
        peers.map(|peer| peer.id.clone()).choose(rng)
    }

    /// Updates the number of known members in this node's zone.
    pub(super) fn recount_zone(&mut self) {
        let in_zone = |member: &&MemberEntry| member.record.zone == self.me.zone;
        self.zone_size = 1 + self.members.values().filter(in_zone).count();
    }
}
