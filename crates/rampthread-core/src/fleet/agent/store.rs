//! The agent as a reader: lease, watch, writes, snapshots.

use super::{Agent, Defect, ENTRIES_BEHIND_SNAPSHOT};
use crate::fleet::action::{Action, Decision, Outbox, StoreAnswer, StoreFailure, StoreRequest};
use crate::fleet::message::{Message, ProposalReply};
use crate::fleet::reader::ReaderNews;
use crate::ids::Version;
use crate::time::Moment;

impl Agent {
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
            self.refuse_untried(now, outbox);
        }
        if may_write && !self.reader.store_down() {
            self.writer
                .tick(now, &self.replica, &mut self.reader, &self.settings, outbox);
            self.write_snapshot(outbox);
        }
    }

    /// While nothing can be written, what was never tried is refused at once.
    pub(super) fn refuse_untried(&mut self, now: Moment, outbox: &mut Outbox) {
        let retry_after = self.reader.retry_after(now);
        for untried in self.writer.take_untried() {
            for asker in untried.askers {
                let answer = ProposalReply::NotRun { retry_after };
                self.answer_asker(asker, untried.operation_id.clone(), answer, outbox);
            }
        }
    }

    pub(super) fn write_snapshot(&mut self, outbox: &mut Outbox) {
        let version = self.replica.version();
        let due = version.0 >= self.last_snapshot.0 + self.settings.versions_per_snapshot;
        if !due || self.snapshot_request.is_some() {
            return;
        }
        self.last_snapshot = version;
        let request_id = self.reader.fresh_request();
        self.snapshot_request = Some(request_id);
        let request = StoreRequest::WriteSnapshot {
            version,
            snapshot: self.replica.staged().encode_snapshot().into(),
            truncate_to: Version(version.0.saturating_sub(ENTRIES_BEHIND_SNAPSHOT)),
        };
        outbox.actions.push(Action::Store {
            request_id,
            request,
        });
    }

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
                    .note_failure(*failure, now, &self.settings, &mut self.rng, outbox)
            }
        }
        if self.defect == Some(Defect::LostAnswerIsRefusal) && result == Err(StoreFailure::Unknown)
        {
            self.writer.forget_open();
            self.refuse_untried(now, outbox);
            return;
        }
        if let Some((version, entry)) = self.writer.on_store(&result, now) {
            self.learn(version, entry, now, outbox);
        }
    }

    pub(super) fn on_reader_news(&mut self, news: ReaderNews, now: Moment, outbox: &mut Outbox) {
        match news {
            ReaderNews::Entries { first, entries } => {
                self.learn_all(first, entries, now, outbox);
            }
            ReaderNews::Snapshot(snapshot) => self.restore(&snapshot, now, outbox),
            ReaderNews::Heads { head, askers } => {
                let held = self.adoption.version();
                if head < held {
                    outbox.explain(Decision::StoreBehind { head, held });
                }
                for (asker, nonce) in askers {
                    if asker == self.identity.id {
                        self.on_head(nonce, head, now, outbox);
                    } else {
                        outbox.send(&asker, Message::HeadReply { nonce, head });
                    }
                }
            }
        }
    }
}
