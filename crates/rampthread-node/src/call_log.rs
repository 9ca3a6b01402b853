//! Log lines about calls, and the metrics updated with them. Field names are stable;
//! `docs/OPERATIONS.md` lists them.

use crate::calls::response::CallError;
use crate::clock::Clock;
use crate::metrics::{CallLabel, CauseLabel, FenceLabel, Metrics};
use rampthread_core::call::backend_load::BackendLoadError;
use rampthread_core::call::cause::Cause;
use rampthread_core::call::fence::FenceAnswer;
use rampthread_core::call::fence_outcome::{FenceOutcome, FenceReply};
use rampthread_core::call::headers::QueueingLimit;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::log_rate_limit::{LogRateLimiter, is_sampled};
use rampthread_core::call::precedence::Precedence;
use rampthread_core::call::rate_limit::RateLimitError;
use rampthread_core::fleet::CrashReport;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Cause of log lines about responses slower than the latency target.
const LATE_RESPONSE_CAUSE: &str = "late";
/// Cause of log lines about error responses of backends.
const BACKEND_ERROR_CAUSE: &str = "back-end-error";
/// Cause of log lines about fences: orders to a gate not to start a call any more. Used at
/// the entry and at the gate.
const FENCE_CAUSE: &str = "fence";
/// Cause of log lines about crashes of the local backend.
const CRASH_CAUSE: &str = "crash";
/// Cause of log lines about invalid load reports in backend responses.
const INVALID_LOAD_CAUSE: &str = "unusable-backend-load";
/// Cause of log lines about invalid rate limits in backend responses.
const INVALID_RATE_LIMIT_CAUSE: &str = "unusable-rate-limit";
/// Cause of log lines about invalid values by which backends say that they leave.
const INVALID_LEAVING_CAUSE: &str = "unusable-leaving";
/// Lowest status that counts as an error of the backend.
const MIN_SERVER_ERROR_STATUS: u16 = 500;
/// Metric label for calls whose service is not known.
const UNKNOWN_SERVICE_LABEL: &str = "none";

/// Priority of a call relative to other calls to the same backend.
#[derive(Debug, Clone, Copy)]
pub struct CallPriorityFields<'a> {
    /// Tenant of the call, if it was identified by a key.
    pub tenant: Option<&'a str>,
    /// Priority of the tenant, or else of the route; 0 is the highest.
    pub rank: u32,
    /// Order among calls of the same rank.
    pub precedence: Precedence,
    /// Time since the caller's first attempt, as far as known.
    pub age: Duration,
}

/// Result of a call at its entry, the node that received it from the caller.
pub struct CompletedCall<'a> {
    /// Request id that the caller sent.
    pub request_id: &'a str,
    /// Route of the call, once matched.
    pub route: Option<&'a str>,
    /// Service of the call, once selected.
    pub service: Option<&'a str>,
    /// Priority of the call, once determined.
    pub priority: Option<CallPriorityFields<'a>>,
    /// Version of the configuration under which the call started.
    pub version: u64,
    /// Number of attempts made.
    pub tries: u32,
    /// Zone of the last attempt.
    pub zone: Option<&'a str>,
    /// True if the zone plan sent the last attempt to another zone.
    pub sent_away: bool,
    /// Time from the request head to the response head.
    pub took: Duration,
    /// Time limit of the call, if it has a deadline.
    pub allowed: Option<Duration>,
    /// Latency target of the route.
    pub target: Option<Duration>,
    /// Fingerprint of the request, if a response was lost.
    pub identity: Option<RequestIdentity>,
}

/// A failed attempt of a call at its entry.
pub struct FailedAttempt<'a> {
    /// Request id that the caller sent.
    pub request_id: &'a str,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Node to which the attempt was sent.
    pub node: &'a str,
    /// Backend selected for the attempt.
    pub backend: &'a str,
    /// Load of the backend as seen by the balancer when it was selected.
    pub seen_load: u32,
    /// Percentage of recent attempts in that zone that were accepted.
    pub room_percent: u32,
    /// How long the call was allowed to wait for a slot.
    pub waiting: QueueingLimit,
    /// Duration of the attempt.
    pub took: Duration,
    /// Error that ended the attempt.
    pub call_error: &'a CallError,
    /// Fingerprint of the request, if the response was lost.
    pub identity: Option<RequestIdentity>,
}

/// A hop (request to a gate) without a response, for which the entry sent a fence to the
/// gate.
pub struct FencedHop<'a> {
    /// Request id that the caller sent.
    pub request_id: &'a str,
    /// Node to which the hop was sent.
    pub node: &'a str,
    /// Address to which the hop and the fence were sent.
    pub address: SocketAddr,
    /// Time from the start of the hop to the fence reply or its timeout.
    pub hop_age: Duration,
    /// Fence reply of the gate; `None` after a timeout.
    pub reply: Option<&'a FenceReply>,
    /// What the entry concludes about the call from the reply.
    pub finding: FenceOutcome,
}

/// A hop that a gate has rejected.
pub struct RejectedHop<'a> {
    /// Request id that the caller sent.
    pub request_id: &'a str,
    /// Calls that the backend was processing.
    pub running: u32,
    /// Calls in the queue for the backend.
    pub queued: u32,
    /// Tenant of the call, if it was identified by a key.
    pub tenant: Option<&'a str>,
    /// Priority of the call; 0 is the highest.
    pub rank: u32,
    /// How long the call was allowed to wait, as determined by its latency target.
    pub waiting: QueueingLimit,
    /// Time left until the deadline of the call.
    pub left: Duration,
    /// Local backend of the gate.
    pub backend: &'a str,
    /// Fingerprint of the request, if a response was lost.
    pub identity: Option<RequestIdentity>,
    /// Error returned to the entry.
    pub call_error: &'a CallError,
}

/// Writes log lines about calls within a rate limit, and updates the metrics of calls.
pub struct CallLog {
    clock: Clock,
    metrics: Arc<Metrics>,
    budget: Mutex<LogRateLimiter>,
}

impl CallLog {
    /// Creates a call log that updates `metrics`.
    pub fn new(clock: Clock, metrics: Arc<Metrics>) -> Self {
        Self {
            clock,
            metrics,
            budget: Mutex::default(),
        }
    }

    /// Rate limiter for log lines about calls, by cause.
    fn budget(&self) -> MutexGuard<'_, LogRateLimiter> {
        self.budget
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// True if the rate limit for `cause` allows another log line now. Also logs a due
    /// summary of suppressed lines.
    fn may_write(&self, cause: &'static str) -> bool {
        let now = self.clock.now();
        let (allowed, left_out) = {
            let mut budget = self.budget();
            (budget.allow(cause, now), budget.summary(now))
        };
        // Report how many lines of each cause the rate limit has suppressed.
        for one in left_out {
            tracing::info!(cause = one.cause, lines = one.lines, "lines left out");
        }
        if !allowed {
            self.metrics.log_lines_left_out.inc();
        }
        allowed
    }

    /// Updates the metrics of completed calls.
    fn count(&self, call: &CompletedCall<'_>, outcome: &'static str, cause: &'static str) {
        let label = CallLabel {
            service: call.service.unwrap_or(UNKNOWN_SERVICE_LABEL).to_string(),
            outcome,
            cause,
        };
        self.metrics.calls.get_or_create(&label).inc();
        self.metrics.call_seconds.observe(call.took.as_secs_f64());
    }

    /// Records a call that got a response from a backend.
    pub fn answered(&self, call: &CompletedCall<'_>, status: u16) {
        self.count(call, "completed", "none");
        let late = call.target.is_some_and(|target| call.took > target);
        let failed = status >= MIN_SERVER_ERROR_STATUS;
        let wanted = is_sampled(call.request_id)
            || (failed && self.may_write(BACKEND_ERROR_CAUSE))
            || (late && self.may_write(LATE_RESPONSE_CAUSE));
        if wanted {
            let priority = call.priority;
            tracing::info!(
                request_id = call.request_id,
                route = call.route,
                service = call.service,
                version = call.version,
                tenant = priority.and_then(|priority| priority.tenant),
                rank = priority.map(|priority| priority.rank),
                precedence = priority.map(|priority| priority.precedence.as_str()),
                age_ms = priority.map(|priority| priority.age.as_millis() as u64),
                tries = call.tries,
                zone = call.zone,
                sent_away = call.sent_away,
                took_ms = call.took.as_millis() as u64,
                target_ms = call.target.map(|target| target.as_millis() as u64),
                allowed_ms = call.allowed.map(|allowed| allowed.as_millis() as u64),
                outcome = "completed",
                status,
                late,
                "call ended"
            );
        }
    }

    /// Logs a request that was rejected because of its head. Its request id is not trusted
    /// and not logged.
    pub fn rejected(&self, peer: SocketAddr, call_error: &CallError) {
        if self.may_write(call_error.cause.as_str()) {
            tracing::info!(
                %peer,
                outcome = call_error.outcome.as_str(),
                status = call_error.status.as_u16(),
                cause = call_error.cause.as_str(),
                reason = call_error.reason.as_str(),
                "request rejected"
            );
        }
    }

    /// Records a call that this node answered with an error.
    pub fn refused(&self, call: &CompletedCall<'_>, call_error: &CallError) {
        self.count(call, call_error.outcome.as_str(), call_error.cause.as_str());
        if !self.may_write(call_error.cause.as_str()) {
            return;
        }
        let priority = call.priority;
        tracing::info!(
            request_id = call.request_id,
            route = call.route,
            service = call.service,
            version = call.version,
            tenant = priority.and_then(|priority| priority.tenant),
            rank = priority.map(|priority| priority.rank),
            precedence = priority.map(|priority| priority.precedence.as_str()),
            age_ms = priority.map(|priority| priority.age.as_millis() as u64),
            tries = call.tries,
            zone = call.zone,
            sent_away = call.sent_away,
            took_ms = call.took.as_millis() as u64,
            allowed_ms = call.allowed.map(|allowed| allowed.as_millis() as u64),
            identity = call.identity.map(tracing::field::display),
            outcome = call_error.outcome.as_str(),
            status = call_error.status.as_u16(),
            cause = call_error.cause.as_str(),
            reason = call_error.reason.as_str(),
            retry_after_ms = call_error.retry_after.map(|wait| wait.as_millis() as u64),
            "call ended"
        );
    }

    /// Logs a failed attempt; the call may be retried.
    pub fn attempt_failed(&self, line: &FailedAttempt<'_>) {
        if !self.may_write(line.call_error.cause.as_str()) {
            return;
        }
        tracing::info!(
            request_id = line.request_id,
            number = line.number,
            node = line.node,
            backend = line.backend,
            seen_load = line.seen_load,
            room_percent = line.room_percent,
            waiting = %line.waiting,
            took_ms = line.took.as_millis() as u64,
            identity = line.identity.map(tracing::field::display),
            outcome = line.call_error.outcome.as_str(),
            reach = line.call_error.reach.as_str(),
            cause = line.call_error.cause.as_str(),
            reason = line.call_error.reason.as_str(),
            "try failed"
        );
    }

    /// Records a hop without a response, for which the entry sent a fence (order to the gate
    /// not to start the call any more).
    pub fn hop_fenced(&self, line: &FencedHop<'_>) {
        let finding = line.finding.as_str();
        let label = FenceLabel { answer: finding };
        self.metrics.fences.get_or_create(&label).inc();
        if !self.may_write(FENCE_CAUSE) {
            return;
        }
        let answer = line.reply.map(|reply| reply.answer);
        let by = line.reply.and_then(|reply| reply.by.as_ref());
        tracing::info!(
            request_id = line.request_id,
            node = line.node,
            address = %line.address,
            hop_age_ms = line.hop_age.as_millis() as u64,
            by = by.map(tracing::field::display),
            memory_ms = answer.map(|answer| answer.retention.as_millis() as u64),
            answer = answer.map(|answer| answer.fenced.as_str()),
            finding,
            "hop fenced"
        );
    }

    /// Logs the reply of this node's gate (which forwards calls to the local backend) to a
    /// fence. The field `memory_ms` shows how far back the gate's records of calls reach.
    pub fn fence_answered(&self, request_id: &str, answer: FenceAnswer) {
        if !self.may_write(FENCE_CAUSE) {
            return;
        }
        tracing::info!(
            request_id,
            memory_ms = answer.retention.as_millis() as u64,
            answer = answer.fenced.as_str(),
            "fence answered"
        );
    }

    /// Logs a hedged attempt at `node`, started because the current attempt is slow.
    pub fn hedged(&self, request_id: &str, node: &str) {
        let cause = Cause::Overdue.as_str();
        if self.may_write(cause) {
            tracing::info!(request_id, node, cause, "hedged attempt started");
        }
    }

    /// Logs that a load report of the local backend is invalid and ignored.
    pub fn unusable_backend_load(&self, error: &BackendLoadError) {
        if self.may_write(INVALID_LOAD_CAUSE) {
            tracing::warn!(cause = INVALID_LOAD_CAUSE, %error, "load of the back end ignored");
        }
    }

    /// Logs that a rate limit in a response of the local backend is invalid and ignored.
    pub fn unusable_rate_limit(&self, error: &RateLimitError) {
        if self.may_write(INVALID_RATE_LIMIT_CAUSE) {
            let cause = INVALID_RATE_LIMIT_CAUSE;
            tracing::warn!(cause, %error, "rate limit of the backend ignored");
        }
    }

    /// Logs that the value by which the local backend says that it leaves is invalid and
    /// ignored.
    pub fn unusable_leaving(&self) {
        if self.may_write(INVALID_LEAVING_CAUSE) {
            let cause = INVALID_LEAVING_CAUSE;
            tracing::warn!(cause, "leaving of the backend ignored");
        }
    }

    /// Records a hop that this node's gate rejected. [`RejectedHop`] describes the fields.
    pub fn hop_rejected(&self, hop: &RejectedHop<'_>) {
        self.metrics.gate_refusals.inc();
        let cause = hop.call_error.cause.as_str();
        let label = CauseLabel { cause };
        self.metrics
            .gate_refusals_by_cause
            .get_or_create(&label)
            .inc();
        if !self.may_write(hop.call_error.cause.as_str()) {
            return;
        }
        tracing::info!(
            request_id = hop.request_id,
            running = hop.running,
            queued = hop.queued,
            tenant = hop.tenant,
            rank = hop.rank,
            waiting = %hop.waiting,
            left_ms = hop.left.as_millis() as u64,
            backend = hop.backend,
            identity = hop.identity.map(tracing::field::display),
            outcome = hop.call_error.outcome.as_str(),
            reach = hop.call_error.reach.as_str(),
            cause = hop.call_error.cause.as_str(),
            reason = hop.call_error.reason.as_str(),
            retry_after_ms = hop.call_error.retry_after.map(|wait| wait.as_millis() as u64),
            "hop refused"
        );
    }

    /// Logs a crash of the local backend while it processed a request, or the withdrawal of
    /// such a report.
    pub fn crash_reported(&self, report: &CrashReport) {
        if !self.may_write(CRASH_CAUSE) {
            return;
        }
        tracing::warn!(
            identity = %report.identity,
            instance = %report.instance,
            age_ms = report.age.as_millis() as u64,
            withdrawn = report.cleared,
            "backend crashed while processing a request"
        );
    }

    /// Logs the response of the local backend to a hop, for sampled requests.
    pub fn hop_answered(&self, request_id: &str, backend: &str, status: u16, waited: Duration) {
        if !is_sampled(request_id) {
            return;
        }
        tracing::info!(
            request_id,
            backend,
            status,
            waited_ms = waited.as_millis() as u64,
            "hop answered"
        );
    }
}
