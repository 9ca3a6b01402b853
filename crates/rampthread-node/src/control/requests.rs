//! Pending requests of operators that the agent will reply to.

use rampthread_core::fleet::{PropagationStatus, ProposalReply, Ticket};
use rampthread_core::ids::OperationId;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Result of a configuration change that was proposed at this node.
#[derive(Debug, Clone)]
pub struct ChangeResult {
    /// Id of the change, to look the change up later if the result is unknown.
    pub operation_id: OperationId,
    /// Whether the change was accepted, rejected, or its result is unknown.
    pub answer: ProposalReply,
}

/// Pending requests to the agent, by ticket (a number that identifies the request).
#[derive(Debug, Default)]
pub struct PendingRequests {
    next: AtomicU64,
    proposals: Mutex<HashMap<Ticket, async_channel::Sender<ProposalReply>>>,
    propagation_queries: Mutex<HashMap<Ticket, async_channel::Sender<Option<PropagationStatus>>>>,
}

/// Adds a pending request and returns the receiver of its reply.
fn register_request<T>(
    map: &Mutex<HashMap<Ticket, async_channel::Sender<T>>>,
    ticket: Ticket,
) -> async_channel::Receiver<T> {
    let (sender, receiver) = async_channel::bounded(1);
    let mut map = map.lock().unwrap_or_else(|broken| broken.into_inner());
    map.insert(ticket, sender);
    receiver
}

/// Passes a reply to the pending request, if the request still waits.
fn send_reply<T>(map: &Mutex<HashMap<Ticket, async_channel::Sender<T>>>, ticket: Ticket, value: T) {
    let mut map = map.lock().unwrap_or_else(|broken| broken.into_inner());
    if let Some(sender) = map.remove(&ticket) {
        let _ = sender.try_send(value);
    }
}

impl PendingRequests {
    /// Returns an unused ticket.
    fn next_ticket(&self) -> Ticket {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Registers a proposal and returns the receiver of the agent's reply.
    pub fn proposal(&self) -> (Ticket, async_channel::Receiver<ProposalReply>) {
        let ticket = self.next_ticket();
        (ticket, register_request(&self.proposals, ticket))
    }

    /// Registers a propagation query and returns the receiver of the agent's reply.
    pub fn propagation_query(
        &self,
    ) -> (Ticket, async_channel::Receiver<Option<PropagationStatus>>) {
        let ticket = self.next_ticket();
        (ticket, register_request(&self.propagation_queries, ticket))
    }

    /// Passes the agent's reply to the proposal with this ticket.
    pub fn reply_to_proposal(&self, ticket: Ticket, reply: ProposalReply) {
        send_reply(&self.proposals, ticket, reply);
    }

    /// Passes the agent's reply to the propagation query with this ticket.
    pub fn reply_to_propagation_query(&self, ticket: Ticket, status: Option<PropagationStatus>) {
        send_reply(&self.propagation_queries, ticket, status);
    }
}
