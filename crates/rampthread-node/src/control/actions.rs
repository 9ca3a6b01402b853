//! Executes the agent's actions.
//!
//! The agent's lock is not held meanwhile, and several threads may execute actions at once.
//! State that must not be overwritten by an older value is therefore read from the agent
//! under its lock, or compared with the current value.

use super::Control;
use super::token_messages::TokenMessage;
use rampthread_core::fleet::{Action, Decision, RequestId, StoreRequest};
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl Control {
    /// Executes the agent's actions in order; does nothing after the control side has stopped.
    pub(super) fn perform(self: &Arc<Self>, actions: Vec<Action>) {
        if self.socket.load().is_none() {
            return;
        }
        for action in actions {
            match action {
                Action::Send {
                    to,
                    address,
                    crosses_zones,
                    envelope,
                } => self.send(&to, address, crosses_zones, &envelope),
                Action::Store {
                    request_id,
                    request,
                } => self.execute_log_request(request_id, request),
                Action::RecordDeparture(endpoint) => {
                    if let Some(directory) = &self.directory {
                        directory.record_departure(endpoint);
                    }
                }
                Action::RecordCrashes(reports) => {
                    if let Some(recorder) = &self.crash_recorder {
                        recorder.record(&reports);
                    }
                }
                Action::ForgetCrashes(reports) => {
                    if let Some(recorder) = &self.crash_recorder {
                        recorder.forget(&reports);
                    }
                }
                Action::VerifyStoreEra(era) => self.verify_store_era(era),
                Action::ReadDocument => {
                    // If the channel is full, a wake-up is pending already.
                    let _ = self.document_wake.try_send(());
                }
                Action::Adopt(state) => {
                    let version = state.version().0 as i64;
                    if self.active_config.adopt(state) {
                        self.metrics.version.set(version);
                    }
                    self.refresh_endpoints();
                }
                Action::Ready(_) => self.publish_readiness(),
                Action::AnswerProposal { ticket, answer } => {
                    self.pending_requests.reply_to_proposal(ticket, answer);
                }
                Action::AnswerPropagation { ticket, status } => {
                    self.pending_requests
                        .reply_to_propagation_query(ticket, status);
                }
                Action::StartDrain => self.draining.store(true, Ordering::Release),
                Action::AskDeciderStore(call) => self.execute_decider_request(call),
                Action::ServeTokens {
                    from,
                    process_epoch,
                    same_zone,
                    request,
                } => self.queue_token_message(TokenMessage::Request {
                    from,
                    process_epoch,
                    same_zone,
                    request,
                }),
                Action::TokensGranted {
                    from,
                    same_zone,
                    grant,
                } => self.queue_token_message(TokenMessage::Grant {
                    from,
                    same_zone,
                    grant,
                }),
                Action::RolloutsChanged => self.refresh_version_rules(),
                Action::LogDecision(decision) => self.log_decision(decision),
            }
        }
    }

    /// Logs a decision for operators and counts it in the metrics.
    pub(super) fn log_decision(&self, decision: Decision) {
        if matches!(decision, Decision::VersionRefused { .. }) {
            self.metrics.documents_refused.inc();
        }
        if let Decision::Rollout { phase, .. } = &decision {
            self.metrics.count_rollout_decision(*phase);
        }
        self.decision_log.record(decision);
    }

    /// Sends a request to the change log's store, and passes the result to the agent.
    fn execute_log_request(self: &Arc<Self>, request_id: RequestId, request: StoreRequest) {
        self.metrics.count_store_request("change-log");
        // A watch may take long, so the task holds only a weak reference to the control
        // side.
        let Some(log_store) = self.log_store.clone() else {
            return;
        };
        let control = Arc::downgrade(self);
        async_std::task::spawn(async move {
            let result = log_store.execute(request).await;
            let Some(control) = control.upgrade() else {
                return;
            };
            let now = control.clock.now();
            let actions = control.agent().on_store(request_id, result, now);
            control.perform(actions);
        });
    }

    /// Publishes the agent's current readiness. Reads and stores it under the agent's lock, so
    /// that threads that perform actions out of order never publish an outdated value.
    fn publish_readiness(&self) {
        self.with_agent(|agent| {
            let ready = agent.is_ready();
            self.metrics.ready.set(i64::from(ready));
            self.ready.store(ready, Ordering::Release);
        });
    }
}
