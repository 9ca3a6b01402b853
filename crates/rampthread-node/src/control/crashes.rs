//! Crash reports between the call path and the agent.

use super::Control;
use rampthread_core::call::crash_detector::CrashSuspect;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::quarantine::QuarantineState;
use rampthread_core::call::recent_responses::RecentResponses;
use rampthread_core::fleet::{CrashReport, CrashTable};
use rampthread_core::time::Moment;
use std::sync::{Arc, MutexGuard};

impl Control {
    /// Returns the crashes known to this node. The call path reads the table without the
    /// agent's lock; usually it is empty.
    pub fn crash_table(&self) -> Arc<CrashTable> {
        self.crash_table.load_full()
    }

    /// Returns whether a request may run, given earlier crashes of backends that ran it.
    /// `identity` is computed only if any request is suspected.
    pub fn quarantine_state(&self, identity: impl FnOnce() -> RequestIdentity) -> QuarantineState {
        let table = self.crash_table.load();
        if table.is_empty() {
            return QuarantineState::Unsuspected;
        }
        table.standing(&identity(), self.clock.now())
    }

    /// Reports that backends crashed while running requests, as observed by this node. With
    /// `withdrawn`, the backends turned out to be alive and earlier reports are withdrawn.
    pub fn report_suspicions(self: &Arc<Self>, suspects: &[CrashSuspect], withdrawn: bool) {
        let now = self.clock.now();
        let reports: Vec<CrashReport> = suspects
            .iter()
            .map(|suspect| CrashReport {
                identity: suspect.identity,
                instance: suspect.instance.clone(),
                age: now.since(suspect.at),
                on_trial: suspect.on_trial,
                cleared: withdrawn,
            })
            .collect();
        for report in &reports {
            self.call_log.crash_reported(report);
        }
        self.report_crashes(&reports);
    }

    /// Sends crash reports observed by this node, or their withdrawal, to the other nodes.
    fn report_crashes(self: &Arc<Self>, reports: &[CrashReport]) {
        if reports.is_empty() {
            return;
        }
        let now = self.clock.now();
        let actions = self.agent().report_crashes(reports, now);
        self.perform(actions);
        self.refresh_crash_table();
    }

    /// Merges the crash report that a gate (the node of the crashed backend) sent with its
    /// response. The gate informs the other nodes itself.
    pub fn record_crash(self: &Arc<Self>, report: &CrashReport) {
        let now = self.clock.now();
        let actions = self
            .agent()
            .merge_crash_reports(std::slice::from_ref(report), now);
        self.perform(actions);
        self.refresh_crash_table();
    }

    /// Records that a backend has completed the request, which clears the request of
    /// earlier crashes.
    pub fn record_response(self: &Arc<Self>, identity: RequestIdentity) {
        let now = self.clock.now();
        self.recent_responses().note(identity, now);
        let suspected = {
            let table = self.crash_table.load();
            !table.is_empty() && table.standing(&identity, now) != QuarantineState::Unsuspected
        };
        if suspected {
            self.clear_request(&identity, now, "answered");
        }
    }

    /// Clears a request of crashes up to `until`; `origin` names the person or cause for
    /// operators.
    pub fn clear_request(
        self: &Arc<Self>,
        identity: &RequestIdentity,
        until: Moment,
        origin: &str,
    ) {
        let now = self.clock.now();
        let actions = self.agent().clear_request(identity, until, origin, now);
        self.perform(actions);
        self.publish_crash_table();
    }

    /// Publishes a changed crash table to the call path, and clears requests that were
    /// completed here after the crashes that the table has for them.
    pub(super) fn refresh_crash_table(self: &Arc<Self>) {
        if !self.publish_crash_table() {
            return;
        }
        let table = self.crash_table();
        let completed: Vec<(RequestIdentity, Moment)> = {
            let responses = self.recent_responses();
            table
                .suspects()
                .filter_map(|(identity, crashed)| {
                    let last = responses.last(identity)?;
                    (last >= crashed).then_some((*identity, last))
                })
                .collect()
        };
        for (identity, at) in completed {
            self.clear_request(&identity, at, "answered since");
        }
    }

    /// Locks the list of recently completed requests.
    fn recent_responses(&self) -> MutexGuard<'_, RecentResponses> {
        self.recent_responses
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Publishes the crash table and returns whether it has changed. Holds the agent's lock
    /// to the end, so that an older copy can't replace a newer one.
    fn publish_crash_table(&self) -> bool {
        self.with_agent(|agent| {
            let table = agent.crash_table();
            if table.revision() == self.crash_table.load().revision() {
                return false;
            }
            let poison_requests = table.poison_requests().count();
            self.metrics.suspected_requests.set(table.len() as i64);
            self.metrics
                .quarantined_requests
                .set(poison_requests as i64);
            self.crash_table.store(Arc::new(table.clone()));
            true
        })
    }
}
