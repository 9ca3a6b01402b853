//! What backends say about themselves in their responses, as the entry node takes it into
//! account: it sends nothing to a backend that leaves, and refuses calls at once that no rate
//! limit allows in time.

use super::versions::Candidates;
use super::{Call, Entry, SelectedBackend};
use crate::calls::header_filter;
use crate::calls::response::CallError;
use crate::control::ServiceEndpoints;
use http::HeaderMap;
use rampthread_core::call::balance::Endpoint;
use rampthread_core::call::cause::Cause;
use rampthread_core::call::headers;
use rampthread_core::call::rate_limit::LimitReport;
use std::borrow::Cow;
use std::time::Duration;

/// Spread of the retry delay that is advised where no rate limit allows a call: the delay is
/// multiplied by a random number from 1 to this, so that callers do not all return at once.
const MAX_ADVICE_FACTOR: f64 = 2.0;

impl Entry {
    /// Leaves out the backends that have said, in responses that this node has passed on, that
    /// they leave.
    pub(super) fn without_leaving<'a>(
        &self,
        service: &ServiceEndpoints,
        candidates: Candidates<'a>,
    ) -> Candidates<'a> {
        let state = self.state();
        let is_leaving = |endpoint: &Endpoint| {
            let target = service.targets.get(&endpoint.node);
            target.is_some_and(|target| state.signals.is_leaving(&target.backend))
        };
        if !candidates.iter().any(is_leaving) {
            return candidates;
        }
        let staying = candidates.iter().filter(|endpoint| !is_leaving(endpoint));
        Cow::Owned(staying.cloned().collect())
    }

    /// Records a response by which the selected backend leaves.
    pub(super) fn record_leaving(&self, selected: &SelectedBackend, from: &HeaderMap) {
        if from.contains_key(headers::LEAVING) {
            let backend = &selected.target.backend;
            self.state().signals.record_leaving(backend);
        }
    }

    /// Records the rate limit that the gate node has reported with a response. If it has
    /// reported none, the limit has ended, provided that `backend_has_answered`: a gate node
    /// that has restarted knows no limit before.
    pub(super) fn record_rate_limit(
        &self,
        selected: &SelectedBackend,
        backend_has_answered: bool,
        from: &HeaderMap,
    ) {
        let report =
            header_filter::header_str(from, headers::RATE_LIMIT).and_then(LimitReport::parse);
        if report.is_none() && !backend_has_answered {
            return;
        }
        let now = self.now();
        let mut state = self.state();
        state.balancer.record_limit(&selected.node, report, now);
        let limit = report.map(|report| report.limit);
        state.signals.record_limit(&selected.target.backend, limit);
    }

    /// Leaves out the endpoints whose rate limits do not allow the call in time.
    pub(super) fn allowed_in_time(
        &self,
        call: &Call,
        mut endpoints: Vec<Endpoint>,
    ) -> Vec<Endpoint> {
        let longest = self.max_limit_wait(call);
        let now = self.now();
        let state = self.state();
        endpoints.retain(|endpoint| state.balancer.limit_wait(&endpoint.node, now) <= longest);
        endpoints
    }

    /// Error for a call that the rate limit of the selected backend, the best one, does not
    /// allow in time; `None` if the call may be sent there.
    pub(super) fn refuse_for_rate_limit(
        &self,
        call: &Call,
        selected: &SelectedBackend,
    ) -> Option<CallError> {
        if selected.limit_wait <= self.max_limit_wait(call) {
            return None;
        }
        let reason = format!(
            "the rate limits of the back ends of service {} allow no call now",
            call.service
        );
        let factor = rand::random_range(1.0..MAX_ADVICE_FACTOR);
        let wait = selected.limit_wait.mul_f64(factor);
        self.control().metrics.rate_limited_calls.inc();
        Some(CallError::not_run(Cause::RateLimited, reason).retry_after(wait))
    }

    /// Maximum time for which a call may wait for a rate limit, so that its response can still
    /// meet the latency target, or else the deadline.
    fn max_limit_wait(&self, call: &Call) -> Duration {
        let left = call.deadline.since(self.now());
        let left = self
            .remaining_target(call)
            .map_or(left, |target| target.min(left));
        let response_time = self.state().balancer.mean_time(&call.route.name);
        left.saturating_sub(response_time.unwrap_or_default())
    }
}
