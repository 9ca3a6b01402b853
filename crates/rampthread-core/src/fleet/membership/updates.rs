//! Member updates: which ones are sent, to whom and how often.

use super::{DUPLICATE_UPDATE_COST, Membership, UpdateOrigin};
use crate::fleet::action::Outbox;
use crate::fleet::member::{MemberRecord, Status};
use crate::fleet::message::{Message, ProbeBody};
use crate::fleet::settings::FleetSettings;
use crate::ids::{NodeId, Version, Zone};
use crate::time::Moment;
use rand::Rng;
use std::collections::BTreeMap;

/// Rounds in which the node that first saw a change sends it to other zones. At a message loss
/// of 30 %, 1 of 1,000 zones misses all of them and learns of the change from the next probe
/// between zones.
const OTHER_ZONE_ROUNDS: u32 = 3;
/// Maximum number of messages with member updates that one receiver gets per gossip round, if
/// many members change at once.
const BATCHES_PER_ROUND: usize = 4;
/// Number of members per other zone that get an update in a round.
const OTHER_ZONE_FANOUT: usize = 2;

impl Membership {
    /// Sends updates to random peers without waiting for the next probe: all pending updates
    /// within this zone, and the changes first seen by this node to other zones.
    pub fn gossip_updates(
        &mut self,
        now: Moment,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        if self.updates.is_empty() && self.other_zone_updates.is_empty() {
            return;
        }
        self.next_gossip = now + settings.gossip_interval;
        self.send_to_zone(held, settings, rng, outbox);
        self.send_to_other_zones(held, settings, rng, outbox);
    }

    /// Sends urgent updates directly to the members of this zone. If there are none, sends the
    /// others to a few random members.
    fn send_to_zone(
        &mut self,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        if !self.urgent.is_empty() {
            let targets = self.random_same_zone_peers(settings.direct_update_fanout, rng);
            if targets.is_empty() {
                // No other member is known yet. The updates stay pending.
                return;
            }
            for _ in 0..BATCHES_PER_ROUND {
                let urgent = self.take_urgent(settings.updates_per_message);
                let forwarders = self.forwarders_for(&urgent, settings.direct_update_fanout);
                self.send_updates(
                    forwarders.as_ref().unwrap_or(&targets),
                    urgent,
                    held,
                    outbox,
                );
            }
            return;
        }
        if self.updates.is_empty() {
            return;
        }
        for target in self.random_same_zone_peers(settings.gossip_fanout, rng) {
            let body = self.body_for(&target, 0, held, settings);
            outbox.send(&target, Message::Ack(body));
        }
    }

    /// Removes and returns up to `count` of the updates that this node sends directly to its zone.
    /// They are still gossiped, one transmission less.
    fn take_urgent(&mut self, count: usize) -> Vec<MemberRecord> {
        let taken: Vec<NodeId> = self.urgent.iter().take(count).cloned().collect();
        for id in &taken {
            self.urgent.remove(id);
            count_down(&mut self.updates, id, 1);
        }
        taken
            .iter()
            .filter_map(|id| self.record(id).cloned())
            .collect()
    }

    /// Returns true if this node has updates that all of its zone must get, and the last gossip
    /// round is long enough ago.
    pub fn has_urgent_updates(&self, now: Moment) -> bool {
        !self.urgent.is_empty() && now >= self.next_gossip
    }

    /// Sends the same member updates to all `targets`.
    pub(super) fn send_updates(
        &mut self,
        targets: &[NodeId],
        updates: Vec<MemberRecord>,
        held: Version,
        outbox: &mut Outbox,
    ) {
        if updates.is_empty() {
            return;
        }
        let includes_me = updates.iter().any(|record| record.id == self.me.id);
        for target in targets {
            if let Some(member) = self.members.get_mut(target) {
                member.sent_own_record |= includes_me;
            }
            let body = ProbeBody {
                sequence: 0,
                held,
                digest: self.digest,
                updates: updates.clone(),
                ..ProbeBody::default()
            };
            outbox.send(target, Message::Ack(body));
        }
    }

    /// Sends changes first seen by this node to a few members of each other zone.
    fn send_to_other_zones(
        &mut self,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        if self.other_zone_updates.is_empty() {
            return;
        }
        let targets = self.random_other_zone_peers(OTHER_ZONE_FANOUT, rng);
        if targets.is_empty() {
            // No other zone is known yet. The rounds are not used up.
            return;
        }
        let taken = self.take_other_zone_updates(BATCHES_PER_ROUND * settings.updates_per_message);
        for updates in taken.chunks(settings.updates_per_message) {
            self.send_updates(&targets, updates.to_vec(), held, outbox);
        }
    }

    /// Takes the updates for one round to other zones, those sent least often first.
    fn take_other_zone_updates(&mut self, count: usize) -> Vec<MemberRecord> {
        let taken = most_remaining(&self.other_zone_updates, count);
        for id in &taken {
            count_down(&mut self.other_zone_updates, id, 1);
        }
        taken
            .iter()
            .filter_map(|id| self.record(id).cloned())
            .collect()
    }

    /// Queues the changed record of the member `id` for the receivers that depend on its
    /// origin.
    pub(super) fn queue_update(&mut self, id: NodeId, origin: UpdateOrigin) {
        match origin {
            UpdateOrigin::Local => {
                self.other_zone_updates
                    .insert(id.clone(), OTHER_ZONE_ROUNDS);
                self.urgent.insert(id.clone());
            }
            UpdateOrigin::OtherZone => {
                self.other_zone_updates.remove(&id);
                self.urgent.insert(id.clone());
            }
            // An older update of this member that this node was still sending is outdated.
            UpdateOrigin::SameZone => {
                self.other_zone_updates.remove(&id);
                self.urgent.remove(&id);
            }
        }
        let transmissions = self.transmissions();
        self.updates.insert(id, transmissions);
    }

    /// Queues this node's own record for a zone that is new to it. If all nodes start with an
    /// empty store, zones are discovered one by one.
    pub(super) fn discover_zone(&mut self, zone: &Zone) {
        if *zone != self.me.zone && !self.known_zones.contains(zone) {
            self.known_zones.insert(zone.clone());
            self.other_zone_updates
                .insert(self.me.id.clone(), OTHER_ZONE_ROUNDS);
        }
    }

    /// Builds the body of a probe or ack for the member `target`, with pending updates.
    pub(super) fn body_for(
        &mut self,
        target: &NodeId,
        sequence: u64,
        held: Version,
        settings: &FleetSettings,
    ) -> ProbeBody {
        let mut updates = Vec::with_capacity(settings.updates_per_message);
        let mut same_zone = false;
        if let Some(member) = self.members.get_mut(target) {
            same_zone = member.record.zone == self.me.zone;
            if !member.sent_own_record {
                member.sent_own_record = true;
                updates.push(self.me.clone());
            }
            // The target must know its reported status to be able to refute it.
            if member.record.status != Status::Alive {
                updates.push(member.record.clone());
            }
        }
        if same_zone {
            updates.extend(self.take_updates(settings.updates_per_message - updates.len()));
        }
        ProbeBody {
            sequence,
            held,
            digest: self.digest,
            updates,
            ..ProbeBody::default()
        }
    }

    fn take_updates(&mut self, count: usize) -> Vec<MemberRecord> {
        let taken = most_remaining(&self.updates, count);
        for id in &taken {
            count_down(&mut self.updates, id, 1);
        }
        taken
            .iter()
            .filter_map(|id| self.record(id).cloned())
            .collect()
    }

    /// Reduces the remaining transmissions of an update that a peer has sent back, since it has
    /// already spread.
    pub(super) fn reduce_transmissions(&mut self, id: &NodeId) {
        count_down(&mut self.updates, id, DUPLICATE_UPDATE_COST);
    }

    /// Returns the number of times that this node sends an update, so that it reaches the whole
    /// zone with high probability.
    pub(super) fn transmissions(&self) -> u32 {
        let size = self.zone_size + 1;
        (self.retransmit_multiplier * (size as f64).log10()).ceil() as u32
    }
}

/// Returns the `count` updates with the most remaining transmissions.
fn most_remaining(updates: &BTreeMap<NodeId, u32>, count: usize) -> Vec<NodeId> {
    let mut queue: Vec<(u32, &NodeId)> = updates.iter().map(|(id, left)| (*left, id)).collect();
    if queue.len() > count {
        queue.select_nth_unstable_by(count, |left, right| right.cmp(left));
        queue.truncate(count);
    }
    queue.into_iter().map(|(_, id)| id.clone()).collect()
}

/// Reduces the remaining transmissions of an update, and removes it at zero.
fn count_down(updates: &mut BTreeMap<NodeId, u32>, id: &NodeId, by: u32) {
    if let Some(left) = updates.get_mut(id) {
        *left = left.saturating_sub(by);
        if *left == 0 {
            updates.remove(id);
        }
    }
}
