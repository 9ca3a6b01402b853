//! Reports of crashes, between the call path and the agent.

use super::Control;
use rampthread_core::call::crash_detector::CrashSuspect;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::quarantine::QuarantineState;
use rampthread_core::call::recent_responses::RecentResponses;
use rampthread_core::fleet::{CrashReport, CrashTable};
use rampthread_core::time::Moment;
use std::sync::{Arc, MutexGuard};

impl Control {
    /// What this node knows of crashes. The call path reads it without the
    /// agent's lock; mostly it is empty.
    pub fn crash_table(&self) -> Arc<CrashTable> {
        self.crash_table.load_full()
    }

    /// What becomes of a request now. `identity` is made only where some request
    /// is suspected.
    pub fn standing(&self, identity: impl FnOnce() -> RequestIdentity) -> QuarantineState {
        let table = self.crash_table.load();
        if table.is_empty() {
            return QuarantineState::Unsuspected;
        }
        table.standing(&identity(), self.clock.now())
    }

    /// Back ends have crashed under requests, as this node has seen; or they live, and
    /// what was reported of them is withdrawn.
    pub fn report_suspicions(self: &Arc<Self>, suspicions: &[CrashSuspect], withdrawn: bool) {
        let now = self.clock.now();
        let reports: Vec<CrashReport> = suspicions
            .iter()
            .map(|suspicion| CrashReport {
                identity: suspicion.identity,
                instance: suspicion.instance.clone(),
                age: now.since(suspicion.at),
                on_trial: suspicion.on_trial,
                cleared: withdrawn,
            })
            .collect();
        for report in &reports {
            self.call_log.crash_reported(report);
        }
        self.report_crashes(&reports);
    }

    /// This node has seen crashes, or that they were none: tells the others.
    fn report_crashes(self: &Arc<Self>, reports: &[CrashReport]) {
        if reports.is_empty() {
            return;
        }
        let now = self.clock.now();
        let actions = self.agent().report_crashes(reports, now);
        self.perform(actions);
        self.refresh_crash_table();
    }

    /// A gate told of a crash with its answer, and tells the others itself.
    pub fn note_crash(self: &Arc<Self>, report: &CrashReport) {
        let now = self.clock.now();
        let actions = self
            .agent()
            .merge_crash_reports(std::slice::from_ref(report), now);
        self.perform(actions);
        self.refresh_crash_table();
    }

    /// A back end has answered a request whole: it is innocent of crashes so far.
    pub fn note_answer(self: &Arc<Self>, identity: RequestIdentity) {
        let now = self.clock.now();
        self.answers().note(identity, now);
        let suspected = {
            let table = self.crash_table.load();
            !table.is_empty() && table.standing(&identity, now) != QuarantineState::Unsuspected
        };
        if suspected {
            self.clear_request(&identity, now, "answered");
        }
    }

    /// Clears a request of crashes up to `until`; `origin` says who or what did.
    pub fn clear_request(
        self: &Arc<Self>,
        identity: &RequestIdentity,
        until: Moment,
        origin: &str,
    ) {
        let now = self.clock.now();
        let actions = self.agent().clear_request(identity, until, origin, now);
        self.perform(actions);
        self.store_crash_table();
    }

    /// Hands a changed table to the call path, and clears requests that were
    /// answered here after the crashes that the table now holds against them.
    pub(super) fn refresh_crash_table(self: &Arc<Self>) {
        if !self.store_crash_table() {
            return;
        }
        let table = self.crash_table();
        let answered: Vec<(RequestIdentity, Moment)> = {
            let answers = self.answers();
            table
                .suspects()
                .filter_map(|(identity, crashed)| {
                    let last = answers.last(identity)?;
                    (last >= crashed).then_some((*identity, last))
                })
                .collect()
        };
        for (identity, at) in answered {
            self.clear_request(&identity, at, "answered since");
        }
    }

    fn answers(&self) -> MutexGuard<'_, RecentResponses> {
        self.answers
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// True when the table had changed. Under the agent's lock to the end: an earlier
    /// copy must not take the place of a later one.
    fn store_crash_table(&self) -> bool {
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
