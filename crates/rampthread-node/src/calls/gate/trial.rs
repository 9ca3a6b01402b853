//! The last look at a request before it runs: one in quarantine does not, and of
//! those on trial one at a time does, so that a crash leaves no doubt whose it is.

use super::Gate;
use crate::calls::answer::Refusal;
use crate::calls::content::KeptContent;
use crate::control::LocalBackend;
use rampthread_core::call::cause::Cause;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::quarantine::Standing;
use std::sync::Arc;
use std::time::Duration;

/// Advice while no trial can begin: about the time of a run, and a part of the seconds
/// in which a back end that has ended is back.
const TRIAL_RETRY: Duration = Duration::from_millis(500);

/// A trial under way; it ends with the drop.
pub(super) struct Trial {
    gate: Arc<Gate>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.gate.state().trial = None;
    }
}

impl Gate {
    /// Refuses a request in quarantine.
    pub(super) fn check_quarantine(&self, content: &KeptContent) -> Result<(), Refusal> {
        let identity = || content.identity(&self.control.identity_key);
        match self.control.standing(identity) {
            Standing::Quarantined { crashes, left } => Err(quarantined(crashes, left)),
            _ => Ok(()),
        }
    }

    /// Begins the trial of a request that needs one.
    pub(super) fn begin_trial(
        self: &Arc<Self>,
        content: &KeptContent,
        backend: &LocalBackend,
    ) -> Result<Option<Trial>, Refusal> {
        let identity = || content.identity(&self.control.identity_key);
        match self.control.standing(identity) {
            Standing::Quarantined { crashes, left } => Err(quarantined(crashes, left)),
            Standing::OnTrial { .. } => self.take_trial(identity(), backend).map(Some),
            Standing::Unsuspected | Standing::Suspected => Ok(None),
        }
    }

    /// A back end that has lost answers and given none since may have ended: a trial
    /// there would be lost whatever the request does, and count against it once the
    /// crash is known (soak behind proxies: in 3 of 50 runs a popular request was
    /// refused for ten minutes so).
    fn take_trial(
        self: &Arc<Self>,
        identity: RequestIdentity,
        backend: &LocalBackend,
    ) -> Result<Trial, Refusal> {
        let (instance, now) = (self.incarnation(backend), self.control.clock.now());
        let mut state = self.state();
        if state.crash_watch.may_have_ended(&instance, now) {
            let reason = "no trial: the back end has lost answers and given none since";
            return Err(Refusal::not_run(Cause::Quarantined, reason).retry_after(TRIAL_RETRY));
        }
        if let Some(other) = state.trial {
            let reason = format!("request {other} is on trial at this back end");
            return Err(Refusal::not_run(Cause::Quarantined, reason).retry_after(TRIAL_RETRY));
        }
        state.trial = Some(identity);
        drop(state);
        tracing::info!(%identity, "trial begun");
        Ok(Trial { gate: self.clone() })
    }
}

/// The answer to a request in quarantine: at once, and true, since it has not run.
pub fn quarantined(crashes: usize, left: Duration) -> Refusal {
    let reason = format!("{crashes} back ends have crashed under this request");
    Refusal::not_run(Cause::Quarantined, reason).retry_after(left)
}
