//! The agent as a log reader: one of the few nodes that hold a lease in the store, watch
//! the change log for the fleet, and write accepted proposals and snapshots to the store.

use super::{Agent, Defect, RETAINED_LOG_ENTRIES};
use crate::fleet::action::{Action, Decision, Outbox, StoreAnswer, StoreFailure, StoreRequest};
use crate::fleet::message::{Message, ProposalReply};
use crate::fleet::reader::ReaderEvent;
use crate::ids::Version;
use crate::time::Moment;

impl Agent {
    /// Advances the log reader: renews its lease, watches the change log, writes pending
    /// proposals and due snapshots.
    pub(super) fn tick_reader(&mut self, now: Moment, outbox: &mut Outbox) {
        let known = self.replica.version();
        self.reader.tick(
            now,
            known,
            &self.membership,
            &self.settings,
            &mut self.rng,
            outbox,
        );
        let may_write = self.reader.holds_lease(now);
        if !may_write || self.reader.store_down() {
            self.reject_unstarted_writes(now, outbox);
        }
        if may_write && !self.reader.store_down() {
            self.writer
                .tick(now, &self.replica, &mut self.reader, &self.settings, outbox);
            self.write_snapshot(outbox);
        }
    }

    /// Rejects proposals whose write was not attempted, while this node cannot write to the
    /// change log.
    pub(super) fn reject_unstarted_writes(&mut self, now: Moment, outbox: &mut Outbox) {
        let retry_after = self.reader.retry_after(now);
        for unattempted in self.writer.take_unattempted() {
            for requester in unattempted.requesters {
                let answer = ProposalReply::NotRun { retry_after };
                self.answer_proposer(requester, unattempted.operation_id.clone(), answer, outbox);
            }
        }
    }

    /// Writes a snapshot to the store when enough versions have passed since the last one,
    /// and truncates the change log behind it.
    pub(super) fn write_snapshot(&mut self, outbox: &mut Outbox) {
        let version = self.replica.version();
        let due = version.0 >= self.last_snapshot.0 + self.settings.versions_per_snapshot;
        if !due || self.snapshot_request.is_some() {
            return;
        }
        self.last_snapshot = version;
        let request_id = self.reader.next_request_id();
        self.snapshot_request = Some(request_id);
        let request = StoreRequest::WriteSnapshot {
            version,
            snapshot: self.replica.staged().encode_snapshot().into(),
            truncate_to: Version(version.0.saturating_sub(RETAINED_LOG_ENTRIES)),
        };
        outbox.actions.push(Action::Store {
            request_id,
            request,
        });
    }

    /// Handles the response of the store to a write to the change log.
    pub(super) fn on_write_answer(
        &mut self,
        result: Result<StoreAnswer, StoreFailure>,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        match &result {
            Ok(_) => self.reader.store_answered(outbox),
            Err(failure) => {
                self.reader
                    .on_store_failure(*failure, now, &self.settings, &mut self.rng, outbox)
            }
        }
        if self.defect == Some(Defect::LostAnswerIsRefusal) && result == Err(StoreFailure::Unknown)
        {
            self.writer.discard_pending_write();
            self.reject_unstarted_writes(now, outbox);
            return;
        }
        if let Some((version, entry)) = self.writer.on_store(&result, now) {
            self.ingest_entry(version, entry, now, outbox);
        }
    }

    /// Handles what the log reader has read from the store: log entries, a snapshot or the
    /// head of the log.
    pub(super) fn on_reader_news(&mut self, news: ReaderEvent, now: Moment, outbox: &mut Outbox) {
        match news {
            ReaderEvent::Entries { first, entries } => {
                self.ingest_entries(first, entries, now, outbox);
            }
            ReaderEvent::Snapshot(snapshot) => self.restore_snapshot(&snapshot, now, outbox),
            ReaderEvent::Heads { head, requesters } => {
                let held = self.adoption.version();
                if head < held {
                    outbox.log_decision(Decision::StoreBehind { head, held });
                }
                for (requester, nonce) in requesters {
                    if requester == self.identity.id {
                        self.on_head(nonce, head, now, outbox);
                    } else {
                        outbox.send(&requester, Message::HeadReply { nonce, head });
                    }
                }
            }
        }
    }
}
