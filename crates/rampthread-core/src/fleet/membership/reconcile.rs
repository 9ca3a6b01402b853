//! Brings two member tables together that differ: a node sends one number for
//! each record that it holds, and the peer answers with the records that it
//! holds otherwise, and asks for those that it does not know.

use super::{Membership, Origin, record_digest};
use crate::fleet::action::Outbox;
use crate::fleet::member::MemberRecord;
use crate::fleet::message::Message;
use crate::ids::NodeId;
use crate::time::Moment;
use rand::Rng;
use std::collections::BTreeSet;

/// Most records that one answer brings; the rest follows with the next
/// comparison.
const MAX_RECORDS: usize = 256;
/// Peers that are asked besides the one that differs, at most. Where 30 of 100 messages are
/// lost one question in two is answered, and of four in 93 of 100 cases one is.
const MOST_ASKED_BESIDES: usize = 3;

impl Membership {
    /// Begins a comparison with the peer whose last message showed another
    /// table. Between zones that waits until there is no news to tell: until
    /// then tables differ without harm, and the records would cross twice. What is
    /// asked in vain while there is no news is asked of more peers the next time.
    pub(super) fn compare_with_differing_peer(&mut self, rng: &mut impl Rng, outbox: &mut Outbox) {
        let Some(peer) = self.differing_peer.clone() else {
            self.vain_comparisons = 0;
            return;
        };
        let at_rest = self.updates.is_empty();
        if !at_rest {
            self.vain_comparisons = 0;
        }
        if at_rest || self.origin_of(&peer) == Origin::Elsewhere {
            self.compare_tables(&peer, outbox);
        }
        for other in self.near_targets(self.vain_comparisons, rng) {
            if other != peer {
                self.compare_tables(&other, outbox);
            }
        }
        self.vain_comparisons = (self.vain_comparisons + 1).min(MOST_ASKED_BESIDES);
    }

    fn compare_tables(&self, peer: &NodeId, outbox: &mut Outbox) {
        let digests = self.records().map(record_digest).collect();
        outbox.send(peer, Message::TableSummary { digests });
    }

    /// Answers a peer that has begun a comparison.
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

    /// Takes in records that differ, and sends those that the peer asks for.
    pub fn on_table_records(
        &mut self,
        from: &NodeId,
        members: Vec<MemberRecord>,
        wanted: &[u64],
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let wanted: BTreeSet<u64> = wanted.iter().copied().collect();
        let asked_for: Vec<MemberRecord> = self
            .records()
            .filter(|record| wanted.contains(&record_digest(record)))
            .take(MAX_RECORDS)
            .cloned()
            .collect();
        let origin = self.origin_of(from);
        self.differing_peer = None;
        for record in members {
            self.merge(record, origin, now, outbox);
        }
        if !asked_for.is_empty() {
            let answer = Message::TableRecords {
                members: asked_for,
                wanted: Vec::new(),
            };
            outbox.send(from, answer);
        }
    }
}
