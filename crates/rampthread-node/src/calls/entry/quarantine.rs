//! Quarantine at the entry node. A request in whose handling backends crashed is suspected,
//! later put on trial (runs alone at one backend) or quarantined (rejected). The entry node
//! applies these states and clears requests that get a response.

use super::progress::CallProgress;
use super::{Call, Entry, SelectedBackend};
use crate::calls::gate::quarantine_error;
use crate::calls::response::CallError;
use rampthread_core::call::balance::Endpoint;
use rampthread_core::call::crash_detector::CrashSuspect;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::peer_crash_detector::CurrentBackend;
use rampthread_core::call::quarantine::QuarantineState;
use rampthread_core::fleet::{CrashReport, MemberRecord};
use rampthread_core::ids::{InstanceId, NodeId};
use rampthread_core::rendezvous;
use rampthread_core::time::Moment;
use std::time::Duration;

impl Entry {
    /// Digest of the request that identifies equal requests on all nodes.
    pub(super) fn identity(&self, call: &Call) -> RequestIdentity {
        call.content.identity(&self.control().identity_key)
    }

    /// Returns whether the request is suspected of crashing backends, must run alone (on trial) or
    /// is rejected (quarantined), according to the crash reports that this node has.
    pub(super) fn quarantine_state(&self, call: &Call) -> QuarantineState {
        self.control().quarantine_state(|| self.identity(call))
    }

    /// Rejects a quarantined request before any resources are spent on it.
    pub(super) fn check_quarantine(
        &self,
        call: &Call,
        progress: &mut CallProgress,
    ) -> Result<(), CallError> {
        let QuarantineState::Quarantined { crashes, left } = self.quarantine_state(call) else {
            return Ok(());
        };
        progress.identity = Some(self.identity(call));
        Err(quarantine_error(crashes, left))
    }

    /// Handles a lost response: the gate node (the node of the selected backend) got none. If
    /// the gate node names a crash of the backend, the crash is reported to all nodes. Otherwise
    /// the loss is recorded, because a restart of the backend may still show a crash, and the
    /// gate node may stop before it sees the restart. If the gate node itself does not respond,
    /// nothing is recorded: a power failure would put all calls in progress under suspicion.
    pub(super) fn record_lost_response(
        &self,
        call: &Call,
        selected: &SelectedBackend,
        call_error: &CallError,
    ) {
        if call_error.crashed.is_some() {
            return self.report_crash(call, call_error);
        }
        let Some(instance) = incarnation(selected).filter(|_| call_error.cause.is_lost_answer())
        else {
            return;
        };
        let suspect = CrashSuspect {
            identity: self.identity(call),
            instance,
            at: self.now(),
            on_trial: selected.on_trial,
        };
        self.state()
            .lost_responses
            .record_loss(&selected.node, &suspect);
    }

    /// Reports to all nodes the crash that the gate node's error names.
    fn report_crash(&self, call: &Call, call_error: &CallError) {
        let Some(instance) = &call_error.crashed else {
            return;
        };
        self.control().record_crash(&CrashReport {
            identity: self.identity(call),
            instance: instance.clone(),
            age: Duration::ZERO,
            // Only the gate node's own crash report says whether the request was on trial.
            on_trial: false,
            cleared: false,
        });
    }

    /// Withdraws the suspicion that the request crashes backends, after a backend has completed
    /// the call that started at `started_at`. The response also shows that the backend is
    /// alive.
    pub(super) fn record_complete_response(
        &self,
        call: &Call,
        selected: &SelectedBackend,
        started_at: Moment,
    ) {
        self.control().record_response(self.identity(call));
        let mut state = self.state();
        if !state.lost_responses.is_empty()
            && let Some(instance) = incarnation(selected)
        {
            state
                .lost_responses
                .record_response(&selected.node, &instance, started_at);
        }
    }

    /// Checks whether new incarnations of backends show that lost responses were crashes.
    pub(super) fn check_crashes(&self, now: Moment) {
        let explained = {
            let mut state = self.state();
            if state.lost_responses.is_empty() {
                return;
            }
            self.control().with_agent(|agent| {
                let present = |node: &NodeId| current_backend(agent.membership().record(node)?);
                state.lost_responses.compare(present, now)
            })
        };
        self.control().report_suspicions(&explained, false);
    }

    /// The only backend at which a request on trial may run. All nodes select the same one, so
    /// that concurrent copies of the request crash at most one backend.
    pub(super) fn trial_endpoints(&self, call: &Call, endpoints: &[Endpoint]) -> Vec<Endpoint> {
        let key = self.identity(call).to_string();
        let chosen = endpoints
            .iter()
            .max_by_key(|endpoint| rendezvous::weight(&key, &endpoint.node));
        chosen.cloned().into_iter().collect()
    }
}

/// Incarnation of the backend that the call was sent to. A backend known only from the
/// configuration has no incarnations; its gate node alone detects a crash.
fn incarnation(selected: &SelectedBackend) -> Option<InstanceId> {
    InstanceId::new(selected.target.backend.as_str()).ok()
}

/// The backend that a fleet member reports, with its incarnation. A draining node still has one,
/// since its backend keeps running.
fn current_backend(record: &MemberRecord) -> Option<CurrentBackend> {
    let endpoint = record.endpoint.as_ref()?;
    Some(CurrentBackend {
        instance: endpoint.instance.clone(),
        leaving: endpoint.draining,
    })
}
