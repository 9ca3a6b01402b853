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

/// Backend departures that this node has to forward to other members.
#[derive(Debug)]
pub(super) struct PendingForward {
    /// Members whose backends departed.
    departures: Vec<NodeId>,
    /// Members to which the departures are forwarded.
    targets: Vec<NodeId>,
}

impl Membership {
    /// Returns the members that get a batch of updates first, at most `direct` of them. They
    /// forward the departures in it to the rest of the zone. Returns `None` if nothing has to be
    /// forwarded: the batch contains no departure, or this node sends it to the whole zone.
    pub(super) fn forwarders_for(
        &self,
        batch: &[MemberRecord],
        direct: usize,
    ) -> Option<Vec<NodeId>> {
        let large = self.same_zone_peers().count() > direct;
        if !large || !batch.iter().any(is_departure) {
            return None;
        }
        let me = &self.me.id;
        let mut forwarders = rendezvous::order(me.as_str(), self.same_zone_peers().cloned());
        forwarders.truncate(direct);
        Some(forwarders)
    }

    /// Returns the departures in a message from `sender` that are new to this node, if the
    /// sender is in this zone.
    pub(super) fn new_departures(&self, sender: &NodeId, body: &ProbeBody) -> Vec<NodeId> {
        let same_zone = self.record(sender).map(|record| &record.zone) == Some(&self.me.zone);
        let is_new = |record: &&MemberRecord| {
            let known = self.record(&record.id);
            is_departure(record) && known.is_none_or(|known| record.outranks(known))
        };
        match same_zone {
            true => body.updates.iter().filter(is_new),
            false => [].iter().filter(is_new),
        }
        .map(|record| record.id.clone())
        .collect()
    }

    /// Queues departures received from `sender` for forwarding, if this node is one of the
    /// first receivers.
    pub(super) fn queue_forward(
        &mut self,
        sender: &NodeId,
        departures: Vec<NodeId>,
        direct: usize,
    ) {
        let others = self.same_zone_peers().filter(|peer| *peer != sender);
        if departures.is_empty() || others.count() < direct {
            return;
        }
        let me = self.me.id.clone();
        let zone = self
            .same_zone_peers()
            .filter(|peer| *peer != sender)
            .cloned();
        let order = rendezvous::order(sender.as_str(), zone.chain([me.clone()]));
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
            self.pending_forwards.push(PendingForward {
                departures,
                targets,
            });
        }
    }

    /// Sends the backend departures queued for forwarding.
    pub fn forward_departures(&mut self, held: Version, outbox: &mut Outbox) {
        for forward in std::mem::take(&mut self.pending_forwards) {
            let departures = forward.departures.iter();
            let updates: Vec<MemberRecord> = departures
                .filter_map(|id| self.record(id).cloned())
                .collect();
            self.send_updates(&forward.targets, updates, held, outbox);
        }
    }
}

/// Returns true if the member or its backend departs.
fn is_departure(record: &MemberRecord) -> bool {
    let draining = record.endpoint.as_ref().is_some_and(|it| it.draining);
    draining || record.status == Status::Left
}
