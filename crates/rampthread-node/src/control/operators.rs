//! Requests of operators, and of the node itself, to the control side.

use super::Control;
use super::requests::ChangeResult;
use rampthread_core::config::{ChangeSet, LogEntry};
use rampthread_core::fleet::{PropagationStatus, ProposalReply};
use std::sync::Arc;

impl Control {
    /// Proposes a configuration change and waits for the result.
    pub async fn propose(self: &Arc<Self>, change: ChangeSet) -> ChangeResult {
        let operation_id = change.operation_id.clone();
        let entry = LogEntry {
            author: self.id.clone(),
            change,
        };
        let (ticket, reply) = self.pending_requests.proposal();
        let now = self.clock.now();
        let actions = self.agent().propose(ticket, entry.encode().into(), now);
        self.perform(actions);
        ChangeResult {
            operation_id,
            answer: reply.recv().await.unwrap_or(ProposalReply::Unknown),
        }
    }

    /// Queries to how many nodes the newest version has propagated; `None` if this node
    /// doesn't know.
    pub async fn propagation_status(self: &Arc<Self>) -> Option<PropagationStatus> {
        let (ticket, reply) = self.pending_requests.propagation_query();
        let now = self.clock.now();
        let actions = self.agent().query_propagation(ticket, now);
        self.perform(actions);
        reply.recv().await.ok().flatten()
    }

    /// Stops new calls to the local backend; `origin` names the cause for operators.
    pub fn drain(self: &Arc<Self>, origin: &str) {
        let actions = self.agent().drain(origin);
        self.perform(actions);
    }

    /// Releases leases and announces the departure of this node to its peers. The directory
    /// keeps its record of this node for the next process.
    pub fn leave(self: &Arc<Self>) {
        let actions = self.agent().leave();
        self.perform(actions);
    }

    /// Records the result of a health probe of the local backend.
    pub fn set_backend_up(&self, up: bool) {
        self.agent().set_backend_up(up);
    }
}
