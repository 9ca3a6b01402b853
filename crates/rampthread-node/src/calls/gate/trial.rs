//! Quarantine at the gate node. Requests in whose handling backends crashed are rejected
//! (quarantined) or run on trial: one at a time, so that a crash is attributed to the right
//! request.

use super::Gate;
use crate::calls::request_content::CallContent;
use crate::calls::response::CallError;
use crate::control::LocalBackend;
use rampthread_core::call::cause::Cause;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::quarantine::QuarantineState;
use std::sync::Arc;
use std::time::Duration;

/// Retry delay advised for a suspected request while no quarantine trial can start at this
/// backend. About one service time; shorter than the restart of a backend.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Guard of a quarantine trial, that is, of a suspected request that runs alone to see whether
/// it crashes the backend. The trial ends on drop.
pub(super) struct Trial {
    gate: Arc<Gate>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.gate.state().trial = None;
    }
}

impl Gate {
    /// Rejects a quarantined request before it is queued.
    pub(super) fn check_quarantine(&self, content: &CallContent) -> Result<(), CallError> {
        let identity = || content.identity(&self.control.identity_key);
        match self.control.quarantine_state(identity) {
            QuarantineState::Quarantined { crashes, left } => Err(quarantine_error(crashes, left)),
            _ => Ok(()),
        }
    }

    /// Starts the quarantine trial of a request that must run on trial; `None` for any other
    /// request. Rejects a quarantined request.
    pub(super) fn begin_trial(
        self: &Arc<Self>,
        content: &CallContent,
        backend: &LocalBackend,
    ) -> Result<Option<Trial>, CallError> {
        let identity = || content.identity(&self.control.identity_key);
        match self.control.quarantine_state(identity) {
            QuarantineState::Quarantined { crashes, left } => Err(quarantine_error(crashes, left)),
            QuarantineState::OnTrial { .. } => self.start_trial(identity(), backend).map(Some),
            QuarantineState::Unsuspected | QuarantineState::Suspected => Ok(None),
        }
    }

    /// Starts a quarantine trial, unless another request is on trial or the backend may already
    /// be down, having lost responses and sent none since. A quarantine trial at such a backend
    /// would fail whatever the request does, and would count against the request: in a soak, a
    /// popular request was rejected for ten minutes because of it in 3 of 50 runs.
    fn start_trial(
        self: &Arc<Self>,
        identity: RequestIdentity,
        backend: &LocalBackend,
    ) -> Result<Trial, CallError> {
        let (instance, now) = (self.incarnation(backend), self.control.clock.now());
        let mut state = self.state();
        if state.crash_detector.may_have_ended(&instance, now) {
            let reason = "no trial: the back end has lost answers and given none since";
            return Err(
                CallError::not_run(Cause::Quarantined, reason).retry_after(TRIAL_RETRY_AFTER)
            );
        }
        if let Some(other) = state.trial {
            let reason = format!("request {other} is on trial at this back end");
            return Err(
                CallError::not_run(Cause::Quarantined, reason).retry_after(TRIAL_RETRY_AFTER)
            );
        }
        state.trial = Some(identity);
        drop(state);
        tracing::info!(%identity, "trial started");
        Ok(Trial { gate: self.clone() })
    }
}

/// Error for a quarantined request, which has not run. `left` is the remaining time of the
/// quarantine.
pub fn quarantine_error(crashes: usize, left: Duration) -> CallError {
    let reason = format!("{crashes} back ends have crashed under this request");
    CallError::not_run(Cause::Quarantined, reason).retry_after(left)
}
