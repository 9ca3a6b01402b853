//! Carries out what the agent has decided. The agent's lock is not held meanwhile, and
//! several threads may do so at once: what must not go back is taken from the agent
//! under its lock, or compared with what is there.

use super::Control;
use rampthread_core::fleet::{Action, Decision, RequestId, StoreRequest};
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl Control {
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
                } => self.ask_store(request_id, request),
                Action::RecordDeparture(endpoint) => {
                    if let Some(directory) = &self.directory {
                        directory.record_leave(endpoint);
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
                Action::VerifyStoreEra(era) => self.ask_for_era(era),
                Action::ReadDocument => {
                    // Full: a wake-up waits already.
                    let _ = self.document_wake.try_send(());
                }
                Action::Adopt(state) => {
                    let version = state.version().0 as i64;
                    if self.active_config.adopt(state) {
                        self.metrics.version.set(version);
                    }
                    self.refresh_endpoints();
                }
                Action::Ready(_) => self.show_ready(),
                Action::AnswerProposal { ticket, answer } => {
                    self.pending_requests.answer_proposal(ticket, answer);
                }
                Action::AnswerPropagation { ticket, status } => {
                    self.pending_requests.answer_spread(ticket, status);
                }
                Action::StartDrain => self.draining.store(true, Ordering::Release),
                Action::AskDeciderStore(call) => self.ask_decider_store(call),
                Action::RolloutsChanged => self.refresh_version_rules(),
                Action::LogDecision(decision) => self.explain(decision),
            }
        }
    }

    /// Notes a decision for operators.
    pub(super) fn explain(&self, decision: Decision) {
        if matches!(decision, Decision::VersionRefused { .. }) {
            self.metrics.documents_refused.inc();
        }
        if let Decision::Rollout { phase, .. } = &decision {
            self.metrics.count_rollout_decision(*phase);
        }
        self.decision_log.record(decision);
    }

    fn ask_store(self: &Arc<Self>, request_id: RequestId, request: StoreRequest) {
        self.metrics.count_store_request("change-log");
        // A watch may take long; it must not keep a stopped node alive.
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

    /// Takes readiness from the agent under its lock: another thread may carry out an
    /// earlier decision after a later one.
    fn show_ready(&self) {
        self.with_agent(|agent| {
            let ready = agent.is_ready();
            self.metrics.ready.set(i64::from(ready));
            self.ready.store(ready, Ordering::Release);
        });
    }
}
