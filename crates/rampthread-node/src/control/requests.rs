//! Operators' requests that wait for the agent.

use rampthread_core::fleet::{PropagationStatus, ProposalReply, Ticket};
use rampthread_core::ids::OperationId;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// What became of a change that was proposed here.
#[derive(Debug, Clone)]
pub struct ChangeResult {
    /// Names the change; to be looked up later if the outcome is unknown.
    pub operation_id: OperationId,
    /// What became of it.
    pub answer: ProposalReply,
}

/// Requests by ticket.
#[derive(Debug, Default)]
pub struct PendingRequests {
    next: AtomicU64,
    proposals: Mutex<HashMap<Ticket, async_channel::Sender<ProposalReply>>>,
    spreads: Mutex<HashMap<Ticket, async_channel::Sender<Option<PropagationStatus>>>>,
}

fn register<T>(
    map: &Mutex<HashMap<Ticket, async_channel::Sender<T>>>,
    ticket: Ticket,
) -> async_channel::Receiver<T> {
    let (sender, receiver) = async_channel::bounded(1);
    let mut map = map.lock().unwrap_or_else(|broken| broken.into_inner());
    map.insert(ticket, sender);
    receiver
}

fn resolve<T>(map: &Mutex<HashMap<Ticket, async_channel::Sender<T>>>, ticket: Ticket, value: T) {
    let mut map = map.lock().unwrap_or_else(|broken| broken.into_inner());
    if let Some(sender) = map.remove(&ticket) {
        let _ = sender.try_send(value);
    }
}

impl PendingRequests {
    fn ticket(&self) -> Ticket {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Registers a proposal.
    pub fn proposal(&self) -> (Ticket, async_channel::Receiver<ProposalReply>) {
        let ticket = self.ticket();
        (ticket, register(&self.proposals, ticket))
    }

    /// Registers a question for the spread.
    pub fn spread(&self) -> (Ticket, async_channel::Receiver<Option<PropagationStatus>>) {
        let ticket = self.ticket();
        (ticket, register(&self.spreads, ticket))
    }

    /// The agent answered a proposal.
    pub fn answer_proposal(&self, ticket: Ticket, answer: ProposalReply) {
        resolve(&self.proposals, ticket, answer);
    }

    /// The agent answered a question for the spread.
    pub fn answer_spread(&self, ticket: Ticket, spread: Option<PropagationStatus>) {
        resolve(&self.spreads, ticket, spread);
    }
}
