//! What the entry does with requests under which back ends have crashed: refuses
//! those in quarantine, places those on trial, and clears those that are answered.

use super::progress::Progress;
use super::{Call, Entry};
use crate::calls::answer::Refusal;
use crate::calls::gate::quarantined;
use rampthread_core::call::balance::Endpoint;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::quarantine::Standing;
use rampthread_core::fleet::CrashReport;
use rampthread_core::rendezvous;
use std::time::Duration;

impl Entry {
    pub(super) fn identity(&self, call: &Call) -> RequestIdentity {
        call.content.identity(&self.control().identity_key)
    }

    pub(super) fn standing(&self, call: &Call) -> Standing {
        self.control().standing(|| self.identity(call))
    }

    /// A request in quarantine is refused before anything is spent on it.
    pub(super) fn check_quarantine(
        &self,
        call: &Call,
        progress: &mut Progress,
    ) -> Result<(), Refusal> {
        let Standing::Quarantined { crashes, left } = self.standing(call) else {
            return Ok(());
        };
        progress.identity = Some(self.identity(call));
        Err(quarantined(crashes, left))
    }

    /// A try ended with its back end; the gate tells the other nodes.
    pub(super) fn note_crash(&self, call: &Call, refusal: &Refusal) {
        let Some(instance) = &refusal.crashed else {
            return;
        };
        self.control().note_crash(&CrashReport {
            identity: self.identity(call),
            instance: instance.clone(),
            age: Duration::ZERO,
            // The gate's own report says whether it was.
            on_trial: false,
            cleared: false,
        });
    }

    /// A back end has answered the call whole: what is held against the request, or
    /// will be for an earlier crash, is held against an innocent one.
    pub(super) fn note_whole_answer(&self, call: &Call) {
        self.control().note_answer(self.identity(call));
    }

    /// The one back end at which a request on trial may run: all nodes agree on it,
    /// so that copies that come at once end one back end, not several.
    pub(super) fn trial_endpoints(&self, call: &Call, endpoints: &[Endpoint]) -> Vec<Endpoint> {
        let key = self.identity(call).to_string();
        let chosen = endpoints
            .iter()
            .max_by_key(|endpoint| rendezvous::weight(&key, &endpoint.node));
        chosen.cloned().into_iter().collect()
    }
}
