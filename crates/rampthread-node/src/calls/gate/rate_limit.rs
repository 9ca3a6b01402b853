//! Signals that the local backend puts into its responses: the rate limit that it names, and
//! that it leaves. The gate node applies both, and reports them to entry nodes.

use super::slot::Slot;
use super::{Gate, Hop};
use crate::calls::header_filter;
use crate::control::LocalBackend;
use crate::metrics::NO_RATE_LIMIT;
use http::{HeaderMap, HeaderName};
use rampthread_core::backend_incarnation::BackendIncarnation;
use rampthread_core::call::headers;
use rampthread_core::call::rate_limit::{LimitReport, LimitSource, RateLimit};
use rampthread_core::call::rate_limiter::LimitChange;
use rampthread_core::fleet::{BackendReport, Decision};
use rampthread_core::time::Moment;
use std::sync::Arc;
use std::time::Duration;

/// Value of the header by which a backend says that it leaves.
const LEAVING_VALUE: &str = "1";

/// Added to the time until the next token, since a timer that ends too early finds none.
const TIMER_MARGIN: Duration = Duration::from_millis(1);

impl Gate {
    /// Applies the signals in a response of `backend` to a call that started at `started_at`.
    pub(super) fn apply_backend_signals(
        self: &Arc<Self>,
        backend: &LocalBackend,
        response_headers: &HeaderMap,
        started_at: Moment,
    ) {
        self.apply_rate_limit(backend, response_headers, started_at);
        let leaving = self.dialect.leaving.as_ref();
        match leaving.and_then(|name| signal_text(response_headers, name)) {
            None => {}
            Some(LEAVING_VALUE) => self.apply_leaving(backend),
            Some(_) => self.control.call_log.unusable_leaving(),
        }
    }

    /// Applies the rate limit that a response names. A value that cannot be read changes
    /// nothing.
    fn apply_rate_limit(
        self: &Arc<Self>,
        backend: &LocalBackend,
        response_headers: &HeaderMap,
        started_at: Moment,
    ) {
        let Some(name) = &self.dialect.rate_limit else {
            return;
        };
        let text = signal_text(response_headers, name);
        let limit = match text.map(RateLimit::parse).transpose() {
            Ok(limit) => limit,
            Err(error) => {
                self.control.call_log.unusable_rate_limit(&error);
                return;
            }
        };
        let now = self.control.clock.now();
        let change = {
            let mut state = self.state();
            if state.measured_backend.as_ref() != Some(&backend.name) {
                return;
            }
            let limiter = state.admission.rate_limiter();
            limiter.record_response(limit, started_at, now)
        };
        self.log_limit_change(backend, change, LimitSource::Response);
        if change != LimitChange::Unchanged {
            self.start_queued_calls();
        }
    }

    /// Takes over the rate limit that the entry node of a hop has seen, if this node has not
    /// received a response of the backend yet.
    pub(super) fn adopt_rate_limit(&self, hop: &Hop, backend: &LocalBackend) {
        let Some(limit) = hop.rate_limit else {
            return;
        };
        let now = self.control.clock.now();
        let change = self.state().admission.rate_limiter().adopt(limit, now);
        self.log_limit_change(backend, change, LimitSource::EntryNode);
    }

    /// Logs a change of the rate limit.
    fn log_limit_change(&self, backend: &LocalBackend, change: LimitChange, source: LimitSource) {
        let limit = match change {
            LimitChange::Unchanged => return,
            LimitChange::Named(limit) => Some(limit),
            LimitChange::Ended => None,
        };
        let gauge = &self.control.metrics.backend_rate_limit;
        gauge.set(limit.map_or(NO_RATE_LIMIT, RateLimit::per_second));
        self.control
            .decision_log
            .record(Decision::RateLimitChanged {
                backend: backend.name.clone(),
                limit,
                source,
            });
    }

    /// Takes the backend out of service for good, as if it had deregistered.
    fn apply_leaving(self: &Arc<Self>, backend: &LocalBackend) {
        let is_new = {
            let mut state = self.state();
            let is_present = state.measured_backend.as_ref() == Some(&backend.name);
            let is_new = is_present && !state.leaving;
            state.leaving |= is_present;
            if is_new {
                let dropped = state.admission.empty_queue();
                state.signal_released(dropped);
            }
            is_new
        };
        if !is_new {
            return;
        }
        self.control.decision_log.record(Decision::BackendLeaves {
            backend: backend.name.clone(),
        });
        if let Some(instance) = &backend.instance {
            let incarnation = BackendIncarnation::from_name(instance);
            self.control
                .on_backend_report(BackendReport::Departure(incarnation));
        }
    }

    /// True if `backend` has said in a response that it leaves.
    pub(super) fn has_said_it_leaves(&self, backend: &LocalBackend) -> bool {
        let state = self.state();
        state.leaving && state.measured_backend.as_ref() == Some(&backend.name)
    }

    /// Adds what the backend of `hop` has said about itself to a response for the entry node.
    pub(super) fn add_backend_signals(&self, hop: &Hop, response_headers: &mut HeaderMap) {
        let now = self.control.clock.now();
        let mut state = self.state();
        if state.measured_backend.as_ref() != Some(&hop.backend) {
            return;
        }
        if let Some(limit) = state.admission.rate_limiter().limit() {
            let report = LimitReport {
                limit,
                wait: state.admission.rate_limit_wait(now),
            };
            header_filter::set_internal(response_headers, headers::RATE_LIMIT, &report.to_string());
        }
        if state.leaving {
            header_filter::set_internal(response_headers, headers::LEAVING, "true");
        }
    }

    /// Starts as many queued calls as slots and the rate limit allow.
    fn start_queued_calls(self: &Arc<Self>) {
        let now = self.control.clock.now();
        loop {
            let mut state = self.state();
            let released = state.admission.start_next(now);
            let started = released.run.is_some();
            state.signal_released(released);
            if !started {
                break;
            }
        }
        self.schedule_start();
    }

    /// Schedules the start of the next queued call, if it waits for the rate limit and no
    /// earlier start is scheduled.
    pub(super) fn schedule_start(self: &Arc<Self>) {
        let (wait, due) = {
            let now = self.control.clock.now();
            let mut state = self.state();
            let Some(wait) = state.admission.next_start(now) else {
                return;
            };
            let wait = wait + TIMER_MARGIN;
            let due = now + wait;
            if state.scheduled_start.is_some_and(|earlier| earlier <= due) {
                return;
            }
            state.scheduled_start = Some(due);
            (wait, due)
        };
        let gate = self.clone();
        async_std::task::spawn(async move {
            async_std::task::sleep(wait).await;
            gate.end_scheduled_start(due);
            gate.start_queued_calls();
        });
    }

    /// Notes that the start scheduled for `due` happens now, unless an earlier one has taken its
    /// place.
    fn end_scheduled_start(&self, due: Moment) {
        let mut state = self.state();
        if state.scheduled_start == Some(due) {
            state.scheduled_start = None;
        }
    }

    /// Returns the token of a call that has ended before it was sent to the backend.
    pub(super) fn refund_unsent(&self, slot: &Slot) {
        if !slot.sent {
            let now = self.control.clock.now();
            self.state().admission.refund_token(now);
        }
    }
}

/// Value of a header by which a backend signals something; `None` if it is absent. A value that
/// is repeated or not visible ASCII is empty, which no signal allows.
fn signal_text<'a>(response_headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = response_headers.get_all(name).iter();
    let value = values.next()?;
    match values.next() {
        Some(_) => Some(""),
        None => Some(value.to_str().unwrap_or_default().trim()),
    }
}
