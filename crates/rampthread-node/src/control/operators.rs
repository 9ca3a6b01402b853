//! What operators and the node itself ask of the control side.

use super::Control;
use super::requests::ChangeResult;
use rampthread_core::config::{ChangeSet, LogEntry};
use rampthread_core::fleet::{ProposalAnswer, Spread};
use std::sync::Arc;

impl Control {
    /// Proposes a change and waits for what becomes of it.
    pub async fn propose(self: &Arc<Self>, change: ChangeSet) -> ChangeResult {
        let operation_id = change.operation_id.clone();
        let entry = LogEntry {
            author: self.id.clone(),
            change,
        };
        let (ticket, answer) = self.waiting.proposal();
        let now = self.clock.now();
        let actions = self.agent().propose(ticket, entry.encode().into(), now);
        self.perform(actions);
        ChangeResult {
            operation_id,
            answer: answer.recv().await.unwrap_or(ProposalAnswer::Unknown),
        }
    }

    /// Asks how far the newest version has got.
    pub async fn spread(self: &Arc<Self>) -> Option<Spread> {
        let (ticket, answer) = self.waiting.spread();
        let now = self.clock.now();
        let actions = self.agent().ask_spread(ticket, now);
        self.perform(actions);
        answer.recv().await.ok().flatten()
    }

    /// Stops new work for the back end.
    pub fn drain(self: &Arc<Self>, origin: &str) {
        let actions = self.agent().drain(origin);
        self.perform(actions);
    }

    /// Gives leases back and says goodbye. While the back end goes on running,
    /// the record in the directory stays, for this node's next life.
    pub async fn leave(self: &Arc<Self>) {
        let actions = self.agent().leave();
        self.perform(actions);
        let backend_stays = self
            .local_backend()
            .is_some_and(|backend| !backend.draining);
        if let Some(directory) = &self.directory
            && !backend_stays
        {
            directory.withdraw().await;
        }
    }

    /// Notes whether the back end answers.
    pub fn backend_answers(&self, up: bool) {
        self.agent().backend_answers(up);
    }
}
