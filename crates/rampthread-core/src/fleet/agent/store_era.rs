//! Reaction to a restored store. The store era is a number that the store raises by one
//! each time it is restored from an older copy.
//!
//! A store era announced by a peer only makes this node read the era from the store. It is
//! not trusted otherwise: a false era must not make a node ignore the store.

use super::Agent;
use crate::fleet::action::{Action, Outbox};
use crate::fleet::message::Message;
use crate::ids::NodeId;
use crate::rendezvous;
use crate::time::Moment;
use rand::seq::IteratorRandom;

/// Number of document watchers that a node notifies of a new store era. Each of them
/// notifies as many once it has read the era from the store.
const WATCHER_FANOUT: usize = 3;

impl Agent {
    /// Handles a store response with a newer store era, which shows that the store was
    /// restored from an older copy. Invalidates earlier leases and notifies a few peers.
    pub fn on_store_restored(&mut self, era: u64, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.newest_known_era = self.newest_known_era.max(era);
        self.invalidate_decision_lease(now);
        for peer in self.restore_notification_targets() {
            outbox.send(&peer, Message::StoreEra { era });
        }
        self.collect_actions(outbox)
    }

    /// Peers to notify of a restore: some document watchers, and the node that writes the
    /// directory snapshot of this zone.
    fn restore_notification_targets(&mut self) -> Vec<NodeId> {
        let me = &self.identity.id;
        let watchers = self.store_watch.selected_watchers().iter();
        let others = watchers.filter(|id| *id != me);
        let mut targets: Vec<NodeId> = others
            .choose_multiple(&mut self.watch_rng, WATCHER_FANOUT)
            .into_iter()
            .cloned()
            .collect();
        let zone = self.identity.zone.as_str();
        let members = self.membership.same_zone_peers().chain([me]).cloned();
        let writer = rendezvous::order(zone, members).into_iter().next();
        targets.extend(writer.filter(|id| id != me && !targets.contains(id)));
        targets
    }

    /// Handles a peer's announcement of `era`, i.e. of a restore of the store: if
    /// `era` is newer than any known to this node, the node reads the era from the store.
    pub(super) fn on_store_era(&mut self, era: u64, outbox: &mut Outbox) {
        if era > self.newest_known_era {
            self.newest_known_era = era;
            outbox.actions.push(Action::VerifyStoreEra(era));
        }
    }
}
