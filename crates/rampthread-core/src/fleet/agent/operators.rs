//! Operator requests: proposed configuration changes with their results, and queries how
//! far the newest version has propagated in the fleet.

use super::{Agent, MAX_REJECTED_SUBMISSIONS, PendingReplication};
use crate::config::{LogEntry, Outcome};
use crate::fleet::action::{Action, Outbox};
use crate::fleet::message::{Message, ProcessEpoch, PropagationStatus, ProposalReply, SharedBytes};
use crate::fleet::writer::Requester;
use crate::ids::{OperationId, Version};
use crate::time::Moment;

impl Agent {
    /// Sends and repeats open proposals of change sets; those addressed to this node itself
    /// are handled directly.
    pub(super) fn tick_proposals(&mut self, now: Moment, outbox: &mut Outbox) {
        let own = self.proposals.tick(
            now,
            self.identity.process_epoch,
            &self.epochs,
            &self.membership,
            &self.settings,
            &mut self.rng,
            outbox,
        );
        let process_epoch = self.identity.process_epoch;
        for proposal in own {
            let requester = Requester {
                node: self.identity.id.clone(),
                submission: proposal.submission,
            };
            self.on_propose(requester, process_epoch, proposal.entry, now, outbox);
        }
    }

    /// Handles a proposed change set as a log reader: replies if the change set is decided
    /// or cannot be written, else queues its write to the change log.
    pub(super) fn on_propose(
        &mut self,
        requester: Requester,
        reader_epoch: ProcessEpoch,
        entry: SharedBytes,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let Ok(decoded) = LogEntry::decode(&entry) else {
            return;
        };
        let operation_id = decoded.change.operation_id.clone();
        if reader_epoch != self.identity.process_epoch {
            let answer = ProposalReply::EpochMismatch;
            self.answer_proposer(requester, operation_id, answer, outbox);
            return;
        }
        if self.rejected_submissions.contains(&requester) {
            let retry_after = self.reader.retry_after(now);
            let answer = ProposalReply::NotRun { retry_after };
            self.answer_proposer(requester, operation_id, answer, outbox);
            return;
        }
        if let Some(recorded) = self.replica.staged().operation(&operation_id) {
            let (version, outcome) = (recorded.version, recorded.outcome.clone());
            self.await_replication(operation_id, version, outcome, vec![requester], now);
            return;
        }
        // This node may have lost its reader lease while a write of this change set is in
        // flight, so the requester waits for that write in any case.
        if self.writer.add_requester(&operation_id, &requester) {
            return;
        }
        let can_write = self.reader.holds_lease(now);
        let taken = can_write && self.writer.propose(entry, &decoded, requester.clone(), now);
        if !taken {
            let retry_after = self.reader.retry_after(now);
            let answer = ProposalReply::NotRun { retry_after };
            self.answer_proposer(requester, operation_id, answer, outbox);
            return;
        }
        self.tick_reader(now, outbox);
    }

    /// Sends the result of a proposed change set to the node that submitted it, and
    /// remembers rejected submissions.
    pub(super) fn answer_proposer(
        &mut self,
        requester: Requester,
        operation_id: OperationId,
        answer: ProposalReply,
        outbox: &mut Outbox,
    ) {
        if matches!(answer, ProposalReply::NotRun { .. })
            && !self.rejected_submissions.contains(&requester)
        {
            self.rejected_submissions.push_back(requester.clone());
            if self.rejected_submissions.len() > MAX_REJECTED_SUBMISSIONS {
                self.rejected_submissions.pop_front();
            }
        }
        let submission = requester.submission;
        if requester.node == self.identity.id {
            let process_epoch = self.identity.process_epoch;
            self.proposals
                .on_answer(&requester.node, process_epoch, submission, answer, outbox);
            return;
        }
        let message = Message::ProposeReply {
            submission,
            operation_id,
            answer,
        };
        outbox.send(&requester.node, message);
    }

    /// Moves proposals whose log slot is decided to the list of those that wait for
    /// replication.
    pub(super) fn collect_decided_proposals(&mut self, now: Moment) {
        for finished in self.writer.take_decided(&self.replica) {
            let recorded = self.replica.staged().operation(&finished.operation_id);
            let outcome = recorded.map(|recorded| recorded.outcome.clone());
            self.await_replication(
                finished.operation_id,
                finished.decided_at,
                outcome.unwrap_or(Outcome::Accepted),
                finished.requesters,
                now,
            );
        }
    }

    /// Keeps a decided proposal until enough other nodes hold its version.
    pub(super) fn await_replication(
        &mut self,
        operation_id: OperationId,
        version: Version,
        outcome: Outcome,
        requesters: Vec<Requester>,
        now: Moment,
    ) {
        self.pending_replications.push(PendingReplication {
            operation_id,
            version,
            outcome,
            requesters,
            since: now,
        });
    }

    /// Replies to decided proposals once enough other nodes hold the version or the wait is
    /// over. Whether a change set is accepted depends on its log entry alone.
    pub(super) fn answer_replicated_proposals(&mut self, now: Moment, outbox: &mut Outbox) {
        let awaited = std::mem::take(&mut self.pending_replications);
        for hold in awaited {
            let others = self.holders.others(hold.version, &self.membership);
            let waited = now.since(hold.since) >= self.settings.replication_wait;
            let accepted = hold.outcome == Outcome::Accepted;
            if accepted && !waited && !others.suffice(self.settings.replication_count) {
                self.pending_replications.push(hold);
                continue;
            }
            for requester in hold.requesters {
                let answer = ProposalReply::Decided {
                    version: hold.version,
                    outcome: hold.outcome.clone(),
                    held_by: others.count as u32 + 1,
                };
                self.answer_proposer(requester, hold.operation_id.clone(), answer, outbox);
            }
        }
    }

    /// Number of reachable nodes that hold the newest version, and which do not.
    pub(super) fn propagation_status(&self) -> PropagationStatus {
        self.holders.propagation_status(
            self.replica.version(),
            self.adoption.version(),
            &self.membership,
        )
    }

    /// Handles a log reader's reply to a propagation query, and answers the operator's
    /// request.
    pub(super) fn on_propagation_reply(
        &mut self,
        nonce: u64,
        status: PropagationStatus,
        outbox: &mut Outbox,
    ) {
        let index = self
            .propagation_queries
            .iter()
            .position(|request| request.nonce == nonce);
        let Some(index) = index else { return };
        let ticket = self.propagation_queries.swap_remove(index).ticket;
        let status = Some(status);
        outbox
            .actions
            .push(Action::AnswerPropagation { ticket, status });
    }

    /// Answers propagation queries without a result when no log reader replied in time.
    pub(super) fn expire_propagation_queries(&mut self, now: Moment, outbox: &mut Outbox) {
        let wait = self.settings.query_retry_interval;
        self.propagation_queries.retain(|request| {
            let open = now.since(request.sent) < wait;
            if !open {
                let (ticket, status) = (request.ticket, None);
                outbox
                    .actions
                    .push(Action::AnswerPropagation { ticket, status });
            }
            open
        });
    }
}
