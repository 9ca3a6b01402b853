//! The last look at a request before it runs: one in quarantine does not, and of
//! those on trial one at a time does, so that a crash leaves no doubt whose it is.

use super::Gate;
use crate::calls::answer::Refusal;
use crate::calls::content::KeptContent;
use rampthread_core::call::cause::Cause;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::quarantine::Standing;
use std::sync::Arc;
use std::time::Duration;

/// Advice while another request is on trial: about the time of its run.
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
    ) -> Result<Option<Trial>, Refusal> {
        let identity = || content.identity(&self.control.identity_key);
        match self.control.standing(identity) {
            Standing::Quarantined { crashes, left } => Err(quarantined(crashes, left)),
            Standing::OnTrial { .. } => self.take_trial(identity()).map(Some),
            Standing::Unsuspected | Standing::Suspected => Ok(None),
        }
    }

    fn take_trial(self: &Arc<Self>, identity: RequestIdentity) -> Result<Trial, Refusal> {
        let mut state = self.state();
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
