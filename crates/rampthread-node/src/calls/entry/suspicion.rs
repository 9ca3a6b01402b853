//! What the entry does with requests under which back ends have crashed: refuses
//! those in quarantine, places those on trial, and clears those that are answered.

use super::progress::Progress;
use super::{Call, Choice, Entry};
use crate::calls::answer::Refusal;
use crate::calls::gate::quarantined;
use rampthread_core::call::balance::Endpoint;
use rampthread_core::call::crash_watch::Suspicion;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::peer_crash_watch::PresentBackEnd;
use rampthread_core::call::quarantine::Standing;
use rampthread_core::fleet::{CrashReport, MemberRecord};
use rampthread_core::ids::{InstanceId, NodeId};
use rampthread_core::rendezvous;
use rampthread_core::time::Moment;
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

    /// The gate says that it lost the answer of a try. If it knows that the back end
    /// has crashed, it tells the other nodes itself; else the loss is remembered here
    /// as well, since the gate may end before the next incarnation explains it. A
    /// gate that ends with the call tells nothing of its back end: a machine that
    /// loses power would put all that was under way under suspicion.
    pub(super) fn note_lost_answer(&self, call: &Call, choice: &Choice, refusal: &Refusal) {
        if refusal.crashed.is_some() {
            return self.note_crash(call, refusal);
        }
        let Some(instance) = incarnation(choice).filter(|_| refusal.cause.is_lost_answer()) else {
            return;
        };
        let lost = Suspicion {
            identity: self.identity(call),
            instance,
            at: self.now(),
            on_trial: choice.on_trial,
        };
        self.state().losses.lost(&choice.node, &lost);
    }

    fn note_crash(&self, call: &Call, refusal: &Refusal) {
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

    /// A back end has answered the call whole, which began there at `begun`: what is
    /// held against the request, or will be for an earlier crash, is held against an
    /// innocent one; and the back end lives.
    pub(super) fn note_whole_answer(&self, call: &Call, choice: &Choice, begun: Moment) {
        self.control().note_answer(self.identity(call));
        let mut state = self.state();
        if !state.losses.is_empty()
            && let Some(instance) = incarnation(choice)
        {
            state.losses.answered(&choice.node, &instance, begun);
        }
    }

    /// Looks whether other incarnations explain answers that were lost.
    pub(super) fn notice_crashes(&self, now: Moment) {
        let explained = {
            let mut state = self.state();
            if state.losses.is_empty() {
                return;
            }
            self.control().with_agent(|agent| {
                let present = |node: &NodeId| present_back_end(agent.membership().record(node)?);
                state.losses.compare(present, now)
            })
        };
        self.control().report_suspicions(&explained, false);
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

/// The incarnation that was meant. A back end that only the configuration names has
/// no incarnations: a crash of it is known to its gate alone.
fn incarnation(choice: &Choice) -> Option<InstanceId> {
    InstanceId::new(choice.target.backend.as_str()).ok()
}

/// A node that stops as planned leaves its back end running.
fn present_back_end(record: &MemberRecord) -> Option<PresentBackEnd> {
    let endpoint = record.endpoint.as_ref()?;
    Some(PresentBackEnd {
        instance: endpoint.instance.clone(),
        leaving: endpoint.draining,
    })
}
