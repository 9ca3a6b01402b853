//! Checks at the gate node (the node that forwards calls to its local backend) before a call
//! starts: the node has the named backend, the deadline has not passed, a slot is free, and the
//! call is not fenced, that is, its entry node has not forbidden the start.

use super::slot::Slot;
use super::{CONFIG_RETRY_AFTER, Gate, GateState, Hop};
use crate::calls::response::CallError;
use crate::control::LocalBackend;
use crate::metrics::NO_RATE_LIMIT;
use rampthread_core::call::admission::{
    AdmissionDecision, AdmissionLimits, Arrival, CallNumber, Refusal,
};
use rampthread_core::call::cause::Cause;
use rampthread_core::call::fence::StartError;
use rampthread_core::call::headers::{Outcome, QueueingLimit};
use rampthread_core::call::nested_call_detector::NestedCallDetector;
use rampthread_core::call::precedence::Precedence;
use rampthread_core::call::rate_limit::RateLimit;
use rampthread_core::call::speed_meter::SpeedMeter;
use rampthread_core::time::Moment;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum queueing time of a call that later calls overtake, as a multiple of its useful
/// queueing time. After that, the slot is worth more to a call that can still meet its latency
/// target.
pub(super) const OVERTAKEN_WAIT_RATIO: f64 = 1.5;

impl Gate {
    /// Checks that this node has the backend that the hop names and that the backend is in
    /// service. Applies the backend's configured limits to admission.
    pub(super) fn check_backend(&self, hop: &Hop) -> Result<LocalBackend, CallError> {
        let unavailable = |cause: Cause, reason: &str| {
            CallError::not_run(cause, reason).retry_after(CONFIG_RETRY_AFTER)
        };
        if !self.control.is_ready() {
            return Err(unavailable(Cause::NotReady, "this node is not ready"));
        }
        let Some(backend) = self.control.local_backend() else {
            return Err(unavailable(
                Cause::WrongBackend,
                "no back end stands beside this node",
            ));
        };
        if backend.name != hop.backend {
            return Err(unavailable(
                Cause::WrongBackend,
                "another back end stands beside this node",
            ));
        }
        let draining = self.is_draining(&backend);
        let mut state = self.state();
        if state.measured_backend.as_ref() != Some(&backend.name) {
            state.measured_backend = Some(backend.name.clone());
            state.service_times.clear();
            state.nested_calls.clear();
            state.admission.rate_limiter().reset();
            self.control.metrics.backend_rate_limit.set(NO_RATE_LIMIT);
            state.leaving = false;
            state.speed = SpeedMeter::starting(backend.cold, self.control.clock.now());
        }
        state.admission.set_draining(draining);
        if draining {
            return Err(unavailable(Cause::Draining, "this back end is draining"));
        }
        state.admission.set_limits(AdmissionLimits {
            slots: backend.slots.min(backend.connections),
            queue: (backend.slots * self.live.get().queue_percent).div_ceil(100),
        });
        drop(state);
        self.adopt_rate_limit(hop, &backend);
        Ok(backend)
    }

    /// Rejects a hop whose deadline has passed, for example in a congested network link.
    pub(super) fn check_deadline(&self, hop: &Hop) -> Result<(), CallError> {
        if hop.deadline <= self.control.clock.now() {
            let reason = "the deadline passed before the call started";
            return Err(CallError::not_run(Cause::QueueDeadline, reason));
        }
        Ok(())
    }

    /// Waits for a slot of the backend, if the call may be queued.
    pub(super) async fn admit(self: &Arc<Self>, hop: &Hop) -> Result<Slot, CallError> {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let now = self.control.clock.now();
        let waiting = {
            let mut state = self.state();
            let precedence = precedence(&mut state.nested_calls, hop);
            let arrival = self.arrival(&state, hop, number, precedence, now);
            let (max_wait, left) = (arrival.max_wait, hop.deadline.since(now));
            match state.admission.arrive(arrival, now) {
                AdmissionDecision::Run => None,
                AdmissionDecision::Refused(refusal) => {
                    return Err(refusal_error(&mut state, refusal));
                }
                AdmissionDecision::Wait => {
                    let (sender, receiver) = async_channel::bounded(1);
                    state.queued_calls.insert(number, sender);
                    let longest = max_wait.mul_f64(OVERTAKEN_WAIT_RATIO);
                    Some((receiver, longest.min(left)))
                }
            }
        };
        if let Some((signal, longest)) = waiting {
            self.schedule_start();
            if let Err(call_error) = self.wait_in_queue(number, signal, longest).await {
                // The backend may have started to drain meanwhile, which is the better reason.
                self.check_backend(hop)?;
                return Err(call_error);
            }
        }
        let waited = self.control.clock.now().since(now);
        self.count_late_start(hop, waited);
        Ok(Slot::new(self, waited))
    }

    /// Counts a call that starts although its response is expected after the latency target.
    fn count_late_start(&self, hop: &Hop, waited: Duration) {
        let QueueingLimit::ForTarget(target) = hop.queueing_limit else {
            return;
        };
        let service_time = self.state().service_times.expected(&hop.route);
        if waited + service_time.unwrap_or_default() > target {
            self.control.metrics.gate_late_calls.inc();
        }
    }

    /// Admission request for the call of `hop`.
    pub(super) fn arrival(
        &self,
        state: &GateState,
        hop: &Hop,
        number: CallNumber,
        precedence: Precedence,
        now: Moment,
    ) -> Arrival {
        let left = hop.deadline.since(now);
        let max_wait = match hop.queueing_limit {
            QueueingLimit::Never => Duration::ZERO,
            QueueingLimit::ForTarget(target) => state
                .service_times
                .max_wait(&hop.route, target, precedence, left),
            QueueingLimit::UntilDeadline => left,
        };
        Arrival {
            call: number,
            caller: self.fair_queue_key(hop),
            deadline: hop.deadline,
            rank: hop.rank,
            precedence,
            max_wait,
            expected_service_time: state.service_times.expected(&hop.route),
        }
    }

    /// Key for fair queueing among callers: the tenant, or else the calling service; empty if
    /// the caller header names machines rather than services.
    fn fair_queue_key(&self, hop: &Hop) -> String {
        if let Some(tenant) = &hop.tenant {
            return tenant.to_string();
        }
        if self.dialect.caller_is_machine {
            return String::new();
        }
        hop.caller.clone()
    }

    /// Records the start of the call in the call fence table. From here on, a fence no longer
    /// stops the call.
    pub(super) fn start(&self, hop: &Hop) -> Result<(), CallError> {
        let now = self.control.clock.now();
        self.check_deadline(hop)?;
        if hop.repeatable {
            return Ok(());
        }
        let started = self.state().fences.start(&hop.call_id, now);
        started.map_err(|start_error| {
            let outcome = match start_error {
                StartError::Duplicate => Outcome::Unknown,
                _ => Outcome::NotRun,
            };
            CallError {
                outcome,
                ..CallError::not_run(Cause::Fenced, start_error.to_string())
            }
        })
    }
}

/// Error for a call that can neither run nor be queued; names the number of running and queued
/// calls.
fn queue_full_error(state: &GateState, retry_after: Duration) -> CallError {
    let load = state.admission.load();
    let reason = format!("the back end is full: {load} running and waiting");
    CallError::not_run(Cause::QueueFull, reason).retry_after(retry_after)
}

/// Error for a call that the rate limit of the backend does not allow in time.
fn rate_limited_error(state: &mut GateState, retry_after: Duration) -> CallError {
    let limit = state.admission.rate_limiter().limit();
    let limit = limit.map_or(0.0, RateLimit::per_second);
    let queued = state.admission.queued();
    let reason = format!("the back end takes {limit} calls a second: {queued} waiting");
    CallError::not_run(Cause::RateLimited, reason).retry_after(retry_after)
}

/// Error for a call that admission control has refused.
pub(super) fn refusal_error(state: &mut GateState, refusal: Refusal) -> CallError {
    match refusal.by_rate_limit {
        true => rate_limited_error(state, refusal.retry_after),
        false => queue_full_error(state, refusal.retry_after),
    }
}

/// Precedence of a hop at this gate node. A nested call, made by a backend that serves another
/// call, takes precedence over others. Only the gate node can detect it, since it sees which
/// services call a route.
fn precedence(nested_calls: &mut NestedCallDetector, hop: &Hop) -> Precedence {
    if nested_calls.observe(&hop.route, &hop.caller) {
        return Precedence::Nested;
    }
    hop.precedence
}

/// Like [`precedence`], for a reservation, which does not count among the calls of the route.
pub(super) fn precedence_for_query(nested_calls: &NestedCallDetector, hop: &Hop) -> Precedence {
    match nested_calls.is_nested(&hop.route) {
        true => Precedence::Nested,
        false => hop.precedence,
    }
}
