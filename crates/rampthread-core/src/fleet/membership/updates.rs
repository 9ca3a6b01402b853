//! Selection and transmission of member updates.

use super::{KNOWN_UPDATE_COST, Membership, Origin};
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
const FAR_ROUNDS: u32 = 3;
/// Maximum number of messages per receiver and round when many members change at once.
const BATCHES_PER_ROUND: usize = 4;
/// Number of members per other zone that get an update in a round.
const FAR_TOLD: usize = 2;

impl Membership {
    /// Sends updates to random peers without waiting for the next probe: all pending updates
    /// within this zone, and the changes first seen by this node to other zones.
    pub fn tell_news(
        &mut self,
        now: Moment,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        if self.updates.is_empty() && self.far_updates.is_empty() {
            return;
        }
        self.next_news = now + settings.gossip_interval;
        self.tell_zone(held, settings, rng, outbox);
        self.tell_other_zones(held, settings, rng, outbox);
    }

    /// Sends urgent updates directly to the zone. If there are none, gossips the others to a
    /// few members.
    fn tell_zone(
        &mut self,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        if !self.urgent.is_empty() {
            let targets = self.near_targets(settings.direct_update_fanout, rng);
            if targets.is_empty() {
                // No other member is known yet. The updates stay pending.
                return;
            }
            for _ in 0..BATCHES_PER_ROUND {
                let urgent = self.take_urgent(settings.updates_per_message);
                let relays = self.relays_for(&urgent, settings.direct_update_fanout);
                self.tell(relays.as_ref().unwrap_or(&targets), urgent, held, outbox);
            }
            return;
        }
        if self.updates.is_empty() {
            return;
        }
        for target in self.near_targets(settings.gossip_fanout, rng) {
            let body = self.body_for(&target, 0, held, settings);
            outbox.send(&target, Message::Ack(body));
        }
    }

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

    /// Returns true if urgent updates are pending and the last round is long enough ago.
    pub fn has_first_news(&self, now: Moment) -> bool {
        !self.urgent.is_empty() && now >= self.next_news
    }

    /// Sends the same updates to all `targets`.
    pub(super) fn tell(
        &mut self,
        targets: &[NodeId],
        updates: Vec<MemberRecord>,
        held: Version,
        outbox: &mut Outbox,
    ) {
        if updates.is_empty() {
            return;
        }
        let tells_of_me = updates.iter().any(|record| record.id == self.me.id);
        for target in targets {
            if let Some(member) = self.members.get_mut(target) {
                member.introduced |= tells_of_me;
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

    fn tell_other_zones(
        &mut self,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        if self.far_updates.is_empty() {
            return;
        }
        let targets = self.far_targets(FAR_TOLD, rng);
        if targets.is_empty() {
            // No other zone is known yet. The rounds are not used up.
            return;
        }
        let taken = self.take_far_updates(BATCHES_PER_ROUND * settings.updates_per_message);
        for updates in taken.chunks(settings.updates_per_message) {
            self.tell(&targets, updates.to_vec(), held, outbox);
        }
    }

    /// Takes the updates for one round to other zones, those sent least often first.
    fn take_far_updates(&mut self, count: usize) -> Vec<MemberRecord> {
        let taken = most_left(&self.far_updates, count);
        for id in &taken {
            count_down(&mut self.far_updates, id, 1);
        }
        taken
            .iter()
            .filter_map(|id| self.record(id).cloned())
            .collect()
    }

    /// Queues an update for the receivers that depend on its origin.
    pub(super) fn queue_update(&mut self, id: NodeId, origin: Origin) {
        match origin {
            Origin::Here => {
                self.far_updates.insert(id.clone(), FAR_ROUNDS);
                self.urgent.insert(id.clone());
            }
            Origin::OtherZone => {
                self.far_updates.remove(&id);
                self.urgent.insert(id.clone());
            }
            // The update that this node was sending is outdated.
            Origin::Elsewhere => {
                self.far_updates.remove(&id);
                self.urgent.remove(&id);
            }
        }
        let transmissions = self.transmissions();
        self.updates.insert(id, transmissions);
    }

    /// Queues this node's own record for a zone that is new to it. If all nodes start with an
    /// empty store, zones are discovered one by one.
    pub(super) fn meet_zone(&mut self, zone: &Zone) {
        if *zone != self.me.zone && !self.met_zones.contains(zone) {
            self.met_zones.insert(zone.clone());
            self.far_updates.insert(self.me.id.clone(), FAR_ROUNDS);
        }
    }

    pub(super) fn body_for(
        &mut self,
        target: &NodeId,
        sequence: u64,
        held: Version,
        settings: &FleetSettings,
    ) -> ProbeBody {
        let mut updates = Vec::with_capacity(settings.updates_per_message);
        let mut near = false;
        if let Some(member) = self.members.get_mut(target) {
            near = member.record.zone == self.me.zone;
            if !member.introduced {
                member.introduced = true;
                updates.push(self.me.clone());
            }
            // The target must know its reported status to be able to refute it.
            if member.record.status != Status::Alive {
                updates.push(member.record.clone());
            }
        }
        if near {
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
        let taken = most_left(&self.updates, count);
        for id in &taken {
            count_down(&mut self.updates, id, 1);
        }
        taken
            .iter()
            .filter_map(|id| self.record(id).cloned())
            .collect()
    }

    /// A peer sent an update that this node is sending as well, so it has already spread.
    pub(super) fn lose_interest(&mut self, id: &NodeId) {
        count_down(&mut self.updates, id, KNOWN_UPDATE_COST);
    }

    /// Number of transmissions that reach the whole zone with high probability.
    pub(super) fn transmissions(&self) -> u32 {
        let size = self.zone_size + 1;
        (self.retransmit_multiplier * (size as f64).log10()).ceil() as u32
    }
}

/// Returns the `count` updates with the most remaining transmissions.
fn most_left(updates: &BTreeMap<NodeId, u32>, count: usize) -> Vec<NodeId> {
    let mut queue: Vec<(u32, &NodeId)> = updates.iter().map(|(id, left)| (*left, id)).collect();
    if queue.len() > count {
        queue.select_nth_unstable_by(count, |left, right| right.cmp(left));
        queue.truncate(count);
    }
    queue.into_iter().map(|(_, id)| id.clone()).collect()
}

fn count_down(updates: &mut BTreeMap<NodeId, u32>, id: &NodeId, by: u32) {
    if let Some(left) = updates.get_mut(id) {
        *left = left.saturating_sub(by);
        if *left == 0 {
            updates.remove(id);
        }
    }
}
