//! Which node has which version of the configuration active. Nodes report their active version
//! to the log readers, which are the nodes that hold a lease to read the log in the store.

use super::action::Outbox;
use super::membership::Membership;
use super::message::{LaggingNode, Message, PropagationStatus};
use super::settings::FleetSettings;
use crate::ids::{NodeId, Version};
use crate::time::Moment;
use std::collections::BTreeMap;

/// Maximum number of lagging nodes listed in a [`PropagationStatus`].
const MAX_LAGGING: usize = 8;

/// Active versions reported by other nodes, kept by a log reader to count how many nodes hold a
/// version.
#[derive(Debug, Default)]
pub struct VersionHolders {
    held: BTreeMap<NodeId, Version>,
}

impl VersionHolders {
    /// Records the active version that node `id` reported. After a restart a node may report a
    /// lower version than before.
    pub fn note(&mut self, id: &NodeId, version: Version) {
        self.held.insert(id.clone(), version);
    }

    /// Counts the reachable members that hold `version`. `own` is the version of this node.
    pub fn propagation_status(
        &self,
        version: Version,
        own: Version,
        membership: &Membership,
    ) -> PropagationStatus {
        let mut status = PropagationStatus {
            version,
            ..PropagationStatus::default()
        };
        let me = &membership.me().id;
        for record in membership.records().filter(|record| record.reachable()) {
            let reported = self.held.get(&record.id).copied().unwrap_or_default();
            let held = if record.id == *me { own } else { reported };
            status.nodes += 1;
            if held >= version {
                status.held_by += 1;
            } else if status.lagging.len() < MAX_LAGGING {
                status.lagging.push(LaggingNode {
                    id: record.id.clone(),
                    held,
                });
            }
        }
        status
    }

    /// Counts the nodes other than this log reader that have `version` or a newer one active,
    /// in total and in other zones.
    pub fn others(&self, version: Version, membership: &Membership) -> OtherHolders {
        let me = membership.me();
        let mut others = OtherHolders::default();
        for peer in membership.reachable_peers() {
            let outside = peer.zone != me.zone;
            others.other_zones_exist |= outside;
            if self.held.get(&peer.id) >= Some(&version) {
                others.count += 1;
                others.in_other_zones += usize::from(outside);
            }
        }
        others
    }
}

/// How many nodes other than the counting log reader have a given version active.
#[derive(Debug, Default, Clone, Copy)]
pub struct OtherHolders {
    /// Number of other nodes with the version active, in all zones.
    pub count: usize,
    /// Number of other nodes with the version active outside the log reader's zone.
    pub in_other_zones: usize,
    /// True if any reachable peer is in another zone.
    pub other_zones_exist: bool,
}

impl OtherHolders {
    /// Returns true if the version survives the loss of the log reader and of its zone, assuming
    /// that `wanted` other nodes with the version are enough.
    pub fn suffice(&self, wanted: usize) -> bool {
        if self.other_zones_exist {
            self.in_other_zones >= wanted
        } else {
            self.count >= wanted
        }
    }
}

/// Reports of this node's active version to the log readers, repeated until each of them
/// acknowledges.
#[derive(Debug, Default)]
pub struct HeldVersionReports {
    noted: BTreeMap<NodeId, Version>,
    next_repeat: Moment,
}

impl HeldVersionReports {
    /// Reports the active version `held` to each log reader that has not acknowledged it.
    pub fn report(&mut self, held: Version, membership: &Membership, outbox: &mut Outbox) {
        let me = &membership.me().id;
        for reader in membership.readers().filter(|reader| reader.id != *me) {
            if self.noted.get(&reader.id) < Some(&held) {
                outbox.send(&reader.id, Message::Held { version: held });
            }
        }
    }

    /// Repeats unacknowledged reports. Forgets the acknowledgements of members that are no
    /// longer log readers.
    pub fn tick(
        &mut self,
        now: Moment,
        held: Version,
        membership: &Membership,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) {
        if now < self.next_repeat || held == Version::ZERO {
            return;
        }
        self.next_repeat = now + settings.query_retry_interval;
        self.noted.retain(|id, _| {
            membership
                .record(id)
                .is_some_and(|record| record.reachable() && record.conditions.reader)
        });
        self.report(held, membership, outbox);
    }

    /// Records that the log reader `from` knows that this node has `version` active.
    pub fn on_ack(&mut self, from: &NodeId, version: Version) {
        self.noted.insert(from.clone(), version);
    }
}
