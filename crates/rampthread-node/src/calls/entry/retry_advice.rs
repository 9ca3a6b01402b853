//! Remaining latency target of a call, and the retry delay advised to its caller.

use super::{Call, Entry, NO_BACKEND_RETRY_AFTER};
use crate::calls::response::CallError;
use rampthread_core::call::cause::Cause;
use rampthread_core::call::headers::Outcome;
use rampthread_core::call::retry_after;
use std::time::Duration;

impl Entry {
    /// Time left of the route's latency target, counted from the caller's first attempt where
    /// that is known; `None` if the route has no target.
    pub(super) fn remaining_target(&self, call: &Call) -> Option<Duration> {
        let target = Duration::from_millis(call.route.target_latency_ms?);
        let used = call.age + self.now().since(call.started_at);
        Some(target.saturating_sub(used))
    }

    /// Sets the retry delay advised to the caller if a gate node's error names none. For a call
    /// that a backend has shed it follows from the latency target.
    pub(super) fn add_retry_advice(&self, call: &Call, call_error: CallError) -> CallError {
        if call_error.retry_after.is_some() {
            return call_error;
        }
        let shed = call_error.cause == Cause::Shed && call_error.outcome == Outcome::NotRun;
        if !shed {
            return call_error.retry_after(NO_BACKEND_RETRY_AFTER);
        }
        let response_time = self.state().balancer.mean_time(&call.route.name);
        let advice = self.remaining_target(call).and_then(|left| {
            retry_after::after_shed(left, response_time.unwrap_or_default(), rand::random())
        });
        call_error.retry_after(advice.unwrap_or(NO_BACKEND_RETRY_AFTER))
    }
}
