//! What operators and the node itself ask of the control side.

use super::Control;
use super::requests::ChangeResult;
use rampthread_core::config::{ChangeSet, LogEntry};
use rampthread_core::fleet::{PropagationStatus, ProposalReply};
use std::sync::Arc;

impl Control {
    /// Proposes a change and waits for what becomes of it.
    pub async fn propose(self: &Arc<Self>, change: ChangeSet) -> ChangeResult {
        let operation_id = change.operation_id.clone();
        let entry = LogEntry {
            author: self.id.clone(),
            change,
        };
        let (ticket, answer) = self.pending_requests.proposal();
        let now = self.clock.now();
        let actions = self.agent().propose(ticket, entry.encode().into(), now);
        self.perform(actions);
        ChangeResult {
            operation_id,
            answer: answer.recv().await.unwrap_or(ProposalReply::Unknown),
        }
    }

    /// Asks how far the newest version has got.
    pub async fn spread(self: &Arc<Self>) -> Option<PropagationStatus> {
        let (ticket, answer) = self.pending_requests.spread();
        let now = self.clock.now();
        let actions = self.agent().query_propagation(ticket, now);
        self.perform(actions);
        answer.recv().await.ok().flatten()
    }

    /// Stops new work for the back end.
    pub fn drain(self: &Arc<Self>, origin: &str) {
        let actions = self.agent().drain(origin);
        self.perform(actions);
    }

    /// Gives leases back and says goodbye. What the directory says of this node stays
    /// there, for its next life.
    pub fn leave(self: &Arc<Self>) {
        let actions = self.agent().leave();
        self.perform(actions);
    }

    /// Notes whether the back end answers.
    pub fn set_backend_up(&self, up: bool) {
        self.agent().set_backend_up(up);
    }
}
