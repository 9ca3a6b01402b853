//! Forwarding of operators' changes, submitted at any node, to a log reader, a node that may
//! append to the log in the store.
//!
//! A proposal ends as `NotRun` only if it was sent to exactly one run of one log reader and
//! that run rejects it. In any other case an unanswered proposal ends as `Unknown`.

use super::action::{Action, Outbox, Ticket};
use super::membership::Membership;
use super::message::{Message, ProcessEpoch, ProposalReply, SharedBytes};
use super::settings::FleetSettings;
use crate::ids::NodeId;
use crate::time::Moment;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which an unanswered proposal is sent to a log reader again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a proposal waits until this node knows a log reader.
const READER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after which an operator is told to submit the proposal again if this node knows no log
/// reader.
const NO_READER_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Proposal submitted at this node that has no outcome yet.
#[derive(Debug)]
struct PendingProposal {
    ticket: Ticket,
    /// Sequence number that identifies the proposal at this node.
    submission: u64,
    /// Encoded log entry.
    entry: SharedBytes,
    submitted_at: Moment,
    /// Log reader to which the proposal was last sent, and the run of that node.
    target: Option<(NodeId, ProcessEpoch)>,
    /// Time at which the proposal was last sent to a log reader.
    sent: Moment,
    /// True if the proposal was sent to more than one log reader or to several runs of one.
    sent_to_several: bool,
}

/// Proposals submitted by operators at this node that have no outcome yet.
#[derive(Debug)]
pub struct ProposalForwarder {
    /// Proposals without an outcome.
    open: Vec<PendingProposal>,
    /// Sequence number of the next proposal.
    next_submission: u64,
}

/// Proposal that this node handles itself because it is a log reader.
#[derive(Debug)]
pub struct LocalProposal {
    /// Sequence number that identifies the proposal at this node.
    pub submission: u64,
    /// The change as encoded by `LogEntry::encode`.
    pub entry: SharedBytes,
}

impl ProposalForwarder {
    /// Submissions are numbered from the process epoch on, so that replies to an earlier run of
    /// this node do not match those of the current one.
    pub fn new(process_epoch: ProcessEpoch) -> Self {
        Self {
            open: Vec::new(),
            next_submission: process_epoch,
        }
    }

    /// Adds a proposal, which is sent to a reader with the next tick.
    pub fn submit(&mut self, ticket: Ticket, entry: SharedBytes, now: Moment) {
        self.next_submission += 1;
        self.open.push(PendingProposal {
            ticket,
            submission: self.next_submission,
            entry,
            submitted_at: now,
            target: None,
            sent: Moment::default(),
            sent_to_several: false,
        });
    }

    /// Sends new and unanswered proposals to a log reader. Returns those that this node handles
    /// itself.
    #[allow(clippy::too_many_arguments)]
    pub fn tick(
        &mut self,
        now: Moment,
        my_epoch: ProcessEpoch,
        epochs: &BTreeMap<NodeId, ProcessEpoch>,
        membership: &Membership,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) -> Vec<LocalProposal> {
        let mut own = Vec::new();
        let mut ended = Vec::new();
        for open in &mut self.open {
            if let Some(answer) = timed_out(open, now, settings) {
                ended.push((open.ticket, answer));
                continue;
            }
            if open.target.is_some() && now.since(open.sent) < RESEND_INTERVAL {
                continue;
            }
            let me = &membership.me().id;
            let Some(reader) = choose_reader(open, membership, rng) else {
                continue;
            };
            let process_epoch = if reader == *me {
                my_epoch
            } else {
                epochs.get(&reader).copied().unwrap_or_default()
            };
            open.set_target(reader.clone(), process_epoch, now);
            let submission = open.submission;
            let entry = open.entry.clone();
            if reader == *me {
                own.push(LocalProposal { submission, entry });
            } else {
                let message = Message::Propose {
                    submission,
                    reader_epoch: process_epoch,
                    entry,
                };
                outbox.send(&reader, message);
            }
        }
        for (ticket, answer) in ended {
            self.end_proposal(ticket, answer, outbox);
        }
        own
    }

    /// Handles the reply of a log reader. Ends the proposal if the reply makes its outcome
    /// certain.
    pub fn on_answer(
        &mut self,
        from: &NodeId,
        process_epoch: ProcessEpoch,
        submission: u64,
        answer: ProposalReply,
        outbox: &mut Outbox,
    ) {
        let found = self
            .open
            .iter_mut()
            .find(|open| open.submission == submission);
        let Some(open) = found else { return };
        let answer = match answer {
            ProposalReply::Decided { .. } => answer,
            ProposalReply::NotRun { .. } if open.is_only_target(from, process_epoch) => answer,
            ProposalReply::NotRun { .. } => return,
            ProposalReply::Unknown => ProposalReply::Unknown,
            ProposalReply::EpochMismatch => {
                open.sent = Moment::default();
                return;
            }
        };
        let ticket = open.ticket;
        self.end_proposal(ticket, answer, outbox);
    }

    /// Removes a proposal and answers the operator who submitted it.
    fn end_proposal(&mut self, ticket: Ticket, answer: ProposalReply, outbox: &mut Outbox) {
        self.open.retain(|open| open.ticket != ticket);
        outbox
            .actions
            .push(Action::AnswerProposal { ticket, answer });
    }
}

impl PendingProposal {
    /// Records to which log reader, and to which run of its process, the proposal is sent.
    fn set_target(&mut self, reader: NodeId, process_epoch: ProcessEpoch, now: Moment) {
        let next = (reader, process_epoch);
        // Epoch 0 means that the log reader's process epoch is not known. A proposal sent with
        // it has no effect.
        let changed = self.target.as_ref().is_some_and(|(_, process_epoch)| {
            *process_epoch != 0 && self.target.as_ref() != Some(&next)
        });
        self.sent_to_several |= changed;
        self.target = Some(next);
        self.sent = now;
    }

    /// Returns true if the proposal was only sent to this run of this log reader.
    fn is_only_target(&self, from: &NodeId, process_epoch: ProcessEpoch) -> bool {
        let target = self.target.as_ref();
        !self.sent_to_several
            && target.is_some_and(|(id, target)| id == from && *target == process_epoch)
    }
}

/// Returns the outcome of a proposal that has waited too long, if it has.
fn timed_out(
    open: &PendingProposal,
    now: Moment,
    settings: &FleetSettings,
) -> Option<ProposalReply> {
    let waited = now.since(open.submitted_at);
    let never_sent = open.target.is_none();
    if never_sent && waited >= READER_TIMEOUT {
        return Some(ProposalReply::NotRun {
            retry_after: NO_READER_RETRY_DELAY,
        });
    }
    (waited >= settings.proposal_timeout).then_some(ProposalReply::Unknown)
}

/// Returns the log reader that the proposal was sent to if it still is one, otherwise any,
/// preferably of the same zone.
fn choose_reader(
    open: &PendingProposal,
    membership: &Membership,
    rng: &mut impl Rng,
) -> Option<NodeId> {
    let target = open.target.as_ref().map(|(id, _)| id);
    if let Some(same) = membership
        .readers()
        .find(|reader| Some(&reader.id) == target)
    {
        return Some(same.id.clone());
    }
    let me = membership.me();
    if me.conditions.reader {
        return Some(me.id.clone());
    }
    let same_zone = membership
        .readers()
        .filter(|reader| reader.zone == me.zone)
        .choose(rng);
    same_zone
        .or_else(|| membership.readers().choose(rng))
        .map(|reader| reader.id.clone())
}
