//! Appends operators' proposals to the log in the store.
//!
//! The log alone decides. The writer does not validate a change: it writes the entry to the
//! next empty slot, and `ConfigState::apply` determines the outcome identically on every node.
//! So a rejection is as durable as an acceptance, and a rejected operation cannot take effect
//! later.
//!
//! If the answer to a write is lost, its outcome is unknown. An empty slot proves nothing,
//! since the write may still arrive. The same entry is therefore written to the same slot again
//! until the slot holds some entry.

use super::action::{Action, Outbox, RequestId, StoreAnswer, StoreFailure, StoreRequest};
use super::message::SharedBytes;
use super::reader::StoreReader;
use super::replica::LogReplica;
use super::settings::FleetSettings;
use crate::config::LogEntry;
use crate::ids::{NodeId, OperationId, Version};
use crate::time::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of queued proposals. Further proposals are rejected, and the operator is told
/// after which delay to submit them again.
const MAX_QUEUED: usize = 256;
/// Delay before a write is repeated after a lost answer.
const REWRITE_DELAY: Duration = Duration::from_millis(50);
/// Time after which a queued proposal is dropped, unless a write of it is in progress.
const ABANDON_AFTER: Duration = Duration::from_secs(30);

/// Node that forwarded a proposal and awaits its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requester {
    /// Id of the node. It is this node's own id if the operator submitted the proposal here.
    pub node: NodeId,
    /// Sequence number that identifies the proposal at that node.
    pub submission: u64,
}

/// Operator's proposal whose outcome is not in the log yet.
#[derive(Debug)]
struct QueuedProposal {
    operation_id: OperationId,
    entry: SharedBytes,
    /// Nodes that await the outcome of the proposal.
    requesters: Vec<Requester>,
    accepted_at: Moment,
    /// True if a write of this entry got no answer and may have taken effect.
    maybe_written: bool,
}

/// Request to append an entry to the log that the store has not answered yet.
#[derive(Debug)]
struct PendingWrite {
    request: RequestId,
    /// Version under which the entry is appended.
    slot: Version,
    operation_id: OperationId,
    entry: SharedBytes,
    sent: Moment,
}

/// Proposal that was dropped before any write of it was attempted.
#[derive(Debug)]
pub struct UnattemptedProposal {
    /// Id of the proposed operation.
    pub operation_id: OperationId,
    /// Nodes that await the outcome of the proposal.
    pub requesters: Vec<Requester>,
}

/// Proposal whose outcome is in the log.
#[derive(Debug)]
pub struct DecidedProposal {
    /// Id of the proposed operation.
    pub operation_id: OperationId,
    /// Nodes that await the outcome of the proposal.
    pub requesters: Vec<Requester>,
    /// Log slot of the entry that decided the operation.
    pub decided_at: Version,
}

/// Proposals that this node, as a log reader, has to append to the log.
#[derive(Debug, Default)]
pub struct LogWriter {
    queue: VecDeque<QueuedProposal>,
    pending: Option<PendingWrite>,
    not_before: Moment,
}

impl LogWriter {
    /// Adds a requester to the queued proposal of an operation. Returns false if the operation
    /// is not queued.
    pub fn add_requester(&mut self, operation_id: &OperationId, requester: &Requester) -> bool {
        let known = self
            .queue
            .iter_mut()
            .find(|proposal| proposal.operation_id == *operation_id);
        let Some(proposal) = known else { return false };
        proposal
            .requesters
            .retain(|other| other.node != requester.node);
        proposal.requesters.push(requester.clone());
        true
    }

    /// Queues a proposal. Returns false if the queue is full.
    pub fn propose(
        &mut self,
        entry: SharedBytes,
        decoded: &LogEntry,
        requester: Requester,
        now: Moment,
    ) -> bool {
        let operation_id = &decoded.change.operation_id;
        if self.queue.len() >= MAX_QUEUED {
            return false;
        }
        self.queue.push_back(QueuedProposal {
            operation_id: operation_id.clone(),
            entry,
            requesters: vec![requester],
            accepted_at: now,
            maybe_written: false,
        });
        true
    }

    /// Removes and returns the proposals for which no write was attempted. Their requesters are
    /// told that the proposal was not run.
    pub fn take_unattempted(&mut self) -> Vec<UnattemptedProposal> {
        let pending = self
            .pending
            .as_ref()
            .map(|pending| pending.operation_id.clone());
        let mut unattempted = Vec::new();
        self.queue.retain_mut(|proposal| {
            if proposal.maybe_written || pending.as_ref() == Some(&proposal.operation_id) {
                return true;
            }
            unattempted.push(UnattemptedProposal {
                operation_id: proposal.operation_id.clone(),
                requesters: std::mem::take(&mut proposal.requesters),
            });
            false
        });
        unattempted
    }

    /// Writes the first queued proposal to the next empty slot.
    pub fn tick(
        &mut self,
        now: Moment,
        replica: &LogReplica,
        reader: &mut StoreReader,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) {
        let overdue = self
            .pending
            .as_ref()
            .is_some_and(|pending| now.since(pending.sent) >= settings.lease_ttl);
        if overdue && let Some(pending) = self.pending.take() {
            self.mark_maybe_written(&pending.operation_id);
        }
        let pending = self
            .pending
            .as_ref()
            .map(|pending| pending.operation_id.clone());
        self.queue.retain(|proposal| {
            pending.as_ref() == Some(&proposal.operation_id)
                || now.since(proposal.accepted_at) < ABANDON_AFTER
        });
        if self.pending.is_some() || now < self.not_before {
            return;
        }
        let Some(proposal) = self.queue.front() else {
            return;
        };
        let slot = replica.version().next();
        let request = reader.next_request_id();
        self.pending = Some(PendingWrite {
            request,
            slot,
            operation_id: proposal.operation_id.clone(),
            entry: proposal.entry.clone(),
            sent: now,
        });
        outbox.actions.push(Action::Store {
            request_id: request,
            request: StoreRequest::Append {
                version: slot,
                entry: proposal.entry.clone(),
            },
        });
    }

    /// Marks the proposal of an operation as one that may have been written.
    fn mark_maybe_written(&mut self, operation_id: &OperationId) {
        for proposal in &mut self.queue {
            if proposal.operation_id == *operation_id {
                proposal.maybe_written = true;
            }
        }
    }

    /// Returns true if `request` is the pending write of the writer.
    pub fn owns_request(&self, request: RequestId) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|pending| pending.request == request)
    }

    /// Handles the answer to the pending write. Returns the version and entry if this writer's
    /// entry took the slot.
    pub fn on_store(
        &mut self,
        result: &Result<StoreAnswer, StoreFailure>,
        now: Moment,
    ) -> Option<(Version, SharedBytes)> {
        let pending = self.pending.take()?;
        if let Ok(StoreAnswer::Appended) = result {
            return Some((pending.slot, pending.entry));
        }
        if let Err(StoreFailure::Unknown) = result {
            self.mark_maybe_written(&pending.operation_id);
        }
        // If another entry took the log slot, the log reader's watch on the store delivers that
        // entry.
        self.not_before = now + REWRITE_DELAY;
        None
    }

    /// Discards the pending write as if it was never sent. This is a deliberate defect for
    /// tests, since the write may still take effect.
    #[doc(hidden)]
    pub fn discard_pending_write(&mut self) {
        self.pending = None;
    }

    /// Removes and returns the queued proposals that the log has decided.
    pub fn take_decided(&mut self, replica: &LogReplica) -> Vec<DecidedProposal> {
        let state = replica.staged();
        let mut decided = Vec::new();
        self.queue.retain_mut(|proposal| {
            let Some(recorded) = state.operation(&proposal.operation_id) else {
                return true;
            };
            decided.push(DecidedProposal {
                operation_id: proposal.operation_id.clone(),
                requesters: std::mem::take(&mut proposal.requesters),
                decided_at: recorded.version,
            });
            false
        });
        decided
    }
}
