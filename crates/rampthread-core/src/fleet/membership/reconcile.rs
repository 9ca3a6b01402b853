//! Reconciles two member tables. A node sends the digests of its records; the peer replies with
//! the records that differ and requests those that it lacks.

use super::{Membership, UpdateOrigin, record_digest};
use crate::fleet::action::Outbox;
use crate::fleet::member::MemberRecord;
use crate::fleet::message::Message;
use crate::ids::NodeId;
use crate::time::Moment;
use rand::Rng;
use std::collections::BTreeSet;

/// Maximum number of records per reply. The next comparison continues with the rest.
const MAX_RECORDS: usize = 256;
/// Maximum number of additional peers with which this node compares its member table at once. At
/// a message loss of 30 %, half of the comparisons get a reply. With four peers in total, at
/// least one replies in 93 of 100 cases.
const MAX_ADDITIONAL_PEERS: usize = 3;

impl Membership {
    /// Starts a comparison with the peer whose last message had another table digest. A
    /// comparison with a peer of another zone is delayed while this node has updates to send:
    /// the tables then differ anyway, and the records would be sent twice. If comparisons leave
    /// the tables different, the next one includes more peers.
    pub(super) fn compare_with_differing_peer(&mut self, rng: &mut impl Rng, outbox: &mut Outbox) {
        let Some(peer) = self.differing_peer.clone() else {
            self.ineffective_comparisons = 0;
            return;
        };
        let at_rest = self.updates.is_empty();
        if !at_rest {
            self.ineffective_comparisons = 0;
        }
        if at_rest || self.origin_of(&peer) == UpdateOrigin::SameZone {
            self.compare_tables(&peer, outbox);
        }
        for other in self.random_same_zone_peers(self.ineffective_comparisons, rng) {
            if other != peer {
                self.compare_tables(&other, outbox);
            }
        }
        self.ineffective_comparisons = (self.ineffective_comparisons + 1).min(MAX_ADDITIONAL_PEERS);
    }

    /// Sends the digests of this node's member table to a peer.
    fn compare_tables(&self, peer: &NodeId, outbox: &mut Outbox) {
        let digests = self.records().map(record_digest).collect();
        outbox.send(peer, Message::TableSummary { digests });
    }

    /// Replies to a peer that has sent the digests of its member table.
    pub fn on_table_summary(&self, from: &NodeId, digests: &[u64], outbox: &mut Outbox) {
        let theirs: BTreeSet<u64> = digests.iter().copied().collect();
        let mine: BTreeSet<u64> = self.records().map(record_digest).collect();
        let members: Vec<MemberRecord> = self
            .records()
            .filter(|record| !theirs.contains(&record_digest(record)))
            .take(MAX_RECORDS)
            .cloned()
            .collect();
        let wanted: Vec<u64> = theirs.difference(&mine).copied().collect();
        if !members.is_empty() || !wanted.is_empty() {
            outbox.send(from, Message::TableRecords { members, wanted });
        }
    }

    /// Merges differing records and sends those that the peer requests.
    pub fn on_table_records(
        &mut self,
        from: &NodeId,
        members: Vec<MemberRecord>,
        wanted: &[u64],
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let wanted: BTreeSet<u64> = wanted.iter().copied().collect();
        let requested: Vec<MemberRecord> = self
            .records()
            .filter(|record| wanted.contains(&record_digest(record)))
            .take(MAX_RECORDS)
            .cloned()
            .collect();
        let origin = self.origin_of(from);
        self.differing_peer = None;
        for record in members {
            self.merge_record(record, origin, now, outbox);
        }
        if !requested.is_empty() {
            let answer = Message::TableRecords {
                members: requested,
                wanted: Vec::new(),
            };
            outbox.send(from, answer);
        }
    }
}
