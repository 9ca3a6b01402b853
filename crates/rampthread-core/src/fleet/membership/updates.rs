//! Updates of members: which are still told, how often, and what a message
//! carries of them.

use super::{KNOWN_UPDATE_COST, Membership};
use crate::fleet::action::Outbox;
use crate::fleet::member::{MemberRecord, Status};
use crate::fleet::message::{Message, ProbeBody};
use crate::fleet::settings::FleetSettings;
use crate::ids::{NodeId, Version};
use crate::time::Moment;
use rand::Rng;
use rand::seq::IteratorRandom;

/// Members above which a fleet is large: news go round by rumour, and many
/// nodes tell each update.
const LARGE_FLEET: usize = 40;
/// Part of the transmissions that suffices in a large fleet.
const LARGE_FLEET_SHARE: f64 = 0.7;

impl Membership {
    /// Tells `fanout` random peers what they may not know yet, without waiting
    /// for the next probe.
    pub fn tell_news(
        &mut self,
        fanout: usize,
        now: Moment,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        if fanout == 0 || self.updates.is_empty() {
            return;
        }
        self.next_news = now + settings.news_interval;
        let targets: Vec<NodeId> = self
            .reachable_peers()
            .map(|peer| peer.id.clone())
            .choose_multiple(rng, fanout);
        for target in targets {
            let body = self.body_for(&target, 0, held, settings);
            outbox.send(&target, Message::Ack(body));
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
        if let Some(member) = self.members.get_mut(target) {
            if !member.introduced {
                member.introduced = true;
                updates.push(self.me.clone());
            }
            // The target must learn what is said of it, to refute it.
            if member.record.status != Status::Alive {
                updates.push(member.record.clone());
            }
        }
        updates.extend(self.take_updates(settings.updates_per_message - updates.len().min(2)));
        ProbeBody {
            sequence,
            held,
            digest: self.digest,
            updates,
        }
    }

    fn take_updates(&mut self, count: usize) -> Vec<MemberRecord> {
        let mut queue: Vec<(u32, NodeId)> = self
            .updates
            .iter()
            .map(|(id, left)| (*left, id.clone()))
            .collect();
        queue.sort_by(|left, right| right.cmp(left));
        let mut taken = Vec::new();
        for (left, id) in queue.into_iter().take(count) {
            if let Some(record) = self.record(&id) {
                taken.push(record.clone());
            }
            if left <= 1 {
                self.updates.remove(&id);
            } else {
                self.updates.insert(id, left - 1);
            }
        }
        taken
    }

    /// Somebody told what this node is telling as well: the news has spread.
    pub(super) fn lose_interest(&mut self, id: &NodeId) {
        if let Some(left) = self.updates.get_mut(id) {
            *left = left.saturating_sub(KNOWN_UPDATE_COST);
            if *left == 0 {
                self.updates.remove(id);
            }
        }
    }

    /// Transmissions that reach everyone with high probability.
    pub(super) fn transmissions(&self) -> u32 {
        let size = self.members.len() + 2;
        let factor = if size > LARGE_FLEET {
            self.transmission_factor * LARGE_FLEET_SHARE
        } else {
            self.transmission_factor
        };
        (factor * (size as f64).log10()).ceil() as u32
    }
}
