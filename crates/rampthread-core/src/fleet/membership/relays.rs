//! Forwarding of backend departures in zones with more members than one node notifies directly.
//! The members notified first forward a departure, each to its share of the remaining members.
//! Since messages get lost, each also sends it to the next forwarding member and that member's
//! share. Departures are urgent because work sent to a departed backend is lost; other updates
//! are left to gossip. The assignment follows from the sender's id and the member table, so
//! that no message has to contain it. Where tables differ, gossip delivers the departure.

use super::Membership;
use crate::fleet::action::Outbox;
use crate::fleet::member::{MemberRecord, Status};
use crate::fleet::message::ProbeBody;
use crate::ids::{NodeId, Version};
use crate::rendezvous;

/// Departures to forward, and the receivers.
#[derive(Debug)]
pub(super) struct Relayed {
    leaves: Vec<NodeId>,
    targets: Vec<NodeId>,
}

impl Membership {
    /// Returns the at most `direct` members that this node sends a batch to first. `None` if
    /// any members will do, since the batch contains no departure or all of the zone get it
    /// directly.
    pub(super) fn relays_for(&self, batch: &[MemberRecord], direct: usize) -> Option<Vec<NodeId>> {
        let large = self.near_peers().count() > direct;
        if !large || !batch.iter().any(is_leave) {
            return None;
        }
        let me = &self.me.id;
        let mut relays = rendezvous::order(me.as_str(), self.near_peers().cloned());
        relays.truncate(direct);
        Some(relays)
    }

    /// Returns the departures in a message from `teller` that are new to this node, if the
    /// sender is in this zone.
    pub(super) fn new_leaves(&self, teller: &NodeId, body: &ProbeBody) -> Vec<NodeId> {
        let near = self.record(teller).map(|record| &record.zone) == Some(&self.me.zone);
        let is_new = |record: &&MemberRecord| {
            let known = self.record(&record.id);
            is_leave(record) && known.is_none_or(|known| record.outranks(known))
        };
        match near {
            true => body.updates.iter().filter(is_new),
            false => [].iter().filter(is_new),
        }
        .map(|record| record.id.clone())
        .collect()
    }

    /// Queues departures received from `teller` for forwarding, if this node is one of the
    /// first receivers.
    pub(super) fn queue_relay(&mut self, teller: &NodeId, leaves: Vec<NodeId>, direct: usize) {
        let others = self.near_peers().filter(|peer| *peer != teller);
        if leaves.is_empty() || others.count() < direct {
            return;
        }
        let me = self.me.id.clone();
        let zone = self.near_peers().filter(|peer| *peer != teller).cloned();
        let order = rendezvous::order(teller.as_str(), zone.chain([me.clone()]));
        let place = order.iter().take(direct).position(|node| *node == me);
        let Some(place) = place else {
            return;
        };
        let next = (place + 1) % direct;
        let share = |place: usize| order.iter().skip(direct + place).step_by(direct);
        let targets: Vec<NodeId> = share(place)
            .chain(order.get(next))
            .chain(share(next))
            .cloned()
            .collect();
        if !targets.is_empty() {
            self.relayed.push(Relayed { leaves, targets });
        }
    }

    /// Sends the queued departures.
    pub fn relay_leaves(&mut self, held: Version, outbox: &mut Outbox) {
        for relayed in std::mem::take(&mut self.relayed) {
            let leaves = relayed.leaves.iter();
            let updates: Vec<MemberRecord> =
                leaves.filter_map(|id| self.record(id).cloned()).collect();
            self.tell(&relayed.targets, updates, held, outbox);
        }
    }
}

/// Returns true if the member or its backend departs.
fn is_leave(record: &MemberRecord) -> bool {
    let draining = record.endpoint.as_ref().is_some_and(|it| it.draining);
    draining || record.status == Status::Left
}
