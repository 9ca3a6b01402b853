//! The lines about calls, and the counts that go with them. The names of the
//! fields are stable; `docs/OPERATIONS.md` lists them.

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
use rampthread_core::fleet::CrashReport;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Cause under which slow answers are logged.
const LATE: &str = "late";
/// Cause under which errors of back ends are logged.
const BACK_END_ERROR: &str = "back-end-error";
/// Cause under which fences are logged, at the entry and at the gate.
const FENCE: &str = "fence";
/// Cause under which crashes of the back end are logged.
const CRASHED: &str = "crash";
/// Cause under which loads that back ends tell of themselves are logged, if unusable.
const UNUSABLE_LOAD: &str = "unusable-backend-load";
/// Statuses from here on are errors of the back end.
const SERVER_ERROR: u16 = 500;
/// Label where the service is not known yet.
const NO_SERVICE: &str = "none";

/// Where a call stands among others that want the same room.
#[derive(Debug, Clone, Copy)]
pub struct CallStanding<'a> {
    /// Whose call it is.
    pub tenant: Option<&'a str>,
    /// Rank of the tenant, else of the route.
    pub rank: u32,
    /// Precedence within the rank.
    pub precedence: Precedence,
    /// Since the caller's first attempt, as far as that is known.
    pub age: Duration,
}

/// What the entry knows at the end of a call.
pub struct EndedCall<'a> {
    /// The caller's id of the request.
    pub request_id: &'a str,
    /// The route, once it was found.
    pub route: Option<&'a str>,
    /// The service, once it was chosen.
    pub service: Option<&'a str>,
    /// Where it stands among others, once that was found.
    pub standing: Option<CallStanding<'a>>,
    /// Version of the configuration that the call began with.
    pub version: u64,
    /// Tries so far.
    pub tries: u32,
    /// Where the last try went.
    pub zone: Option<&'a str>,
    /// The entry's plan by zones sent it there.
    pub sent_away: bool,
    /// From the request's head to the answer's.
    pub took: Duration,
    /// Time that the call had.
    pub allowed: Option<Duration>,
    /// Time within which an answer is worth most.
    pub target: Option<Duration>,
    /// What the request asks for, where its answer was lost.
    pub identity: Option<RequestIdentity>,
}

/// What is known of one try that failed.
pub struct FailedTryLine<'a> {
    /// The caller's id of the request.
    pub request_id: &'a str,
    /// Number of the try, from 1.
    pub number: u32,
    /// The node beside the chosen back end.
    pub node: &'a str,
    /// The back end.
    pub backend: &'a str,
    /// Load that the balancer saw there when it chose.
    pub seen_load: u32,
    /// Of a hundred recent tries in that zone, those that found room.
    pub room_percent: u32,
    /// Whether the call might wait for a slot.
    pub waiting: QueueingLimit,
    /// How long it took.
    pub took: Duration,
    /// What came of it.
    pub call_error: &'a CallError,
    /// What the request asks for, where its answer was lost.
    pub identity: Option<RequestIdentity>,
}

/// What the entry knows of a hop that it had fenced.
pub struct FencedHopLine<'a> {
    /// The caller's id of the request.
    pub request_id: &'a str,
    /// The node that was sent the hop.
    pub node: &'a str,
    /// Where the hop was sent and the fence asked.
    pub address: SocketAddr,
    /// From the start of the hop to the gate's answer, or to the end of the wait.
    pub hop_age: Duration,
    /// What came back; none when nobody answered.
    pub reply: Option<&'a FenceReply>,
    /// What the entry makes of it.
    pub finding: FenceOutcome,
}

/// What the gate knows when it refuses a hop.
pub struct RefusedHop<'a> {
    /// The caller's id of the request.
    pub request_id: &'a str,
    /// Calls at the back end.
    pub running: u32,
    /// Calls that wait for it.
    pub queued: u32,
    /// Whose call it is.
    pub tenant: Option<&'a str>,
    /// Rank of the call.
    pub rank: u32,
    /// Whether it might wait, and what was left of its route's target.
    pub waiting: QueueingLimit,
    /// Time that was left.
    pub left: Duration,
    /// The back end.
    pub backend: &'a str,
    /// What the request asks for, where its answer was lost.
    pub identity: Option<RequestIdentity>,
    /// What is answered.
    pub call_error: &'a CallError,
}

/// Writes and counts.
pub struct CallLog {
    clock: Clock,
    metrics: Arc<Metrics>,
    budget: Mutex<LogRateLimiter>,
}

impl CallLog {
    /// Counts into `metrics`.
    pub fn new(clock: Clock, metrics: Arc<Metrics>) -> Self {
        Self {
            clock,
            metrics,
            budget: Mutex::default(),
        }
    }

    fn budget(&self) -> MutexGuard<'_, LogRateLimiter> {
        self.budget
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    fn may_write(&self, cause: &'static str) -> bool {
        let now = self.clock.now();
        let (allowed, left_out) = {
            let mut budget = self.budget();
            (budget.allow(cause, now), budget.summary(now))
        };
        for one in left_out {
            tracing::info!(cause = one.cause, lines = one.lines, "lines left out");
        }
        if !allowed {
            self.metrics.log_lines_left_out.inc();
        }
        allowed
    }

    fn count(&self, call: &EndedCall<'_>, outcome: &'static str, cause: &'static str) {
        let label = CallLabel {
            service: call.service.unwrap_or(NO_SERVICE).to_string(),
            outcome,
            cause,
        };
        self.metrics.calls.get_or_create(&label).inc();
        self.metrics.call_seconds.observe(call.took.as_secs_f64());
    }

    /// The back end answered.
    pub fn answered(&self, call: &EndedCall<'_>, status: u16) {
        self.count(call, "completed", "none");
        let late = call.target.is_some_and(|target| call.took > target);
        let failed = status >= SERVER_ERROR;
        let wanted = is_sampled(call.request_id)
            || (failed && self.may_write(BACK_END_ERROR))
            || (late && self.may_write(LATE));
        if wanted {
            let standing = call.standing;
            tracing::info!(
                request_id = call.request_id,
                route = call.route,
                service = call.service,
                version = call.version,
                tenant = standing.and_then(|standing| standing.tenant),
                rank = standing.map(|standing| standing.rank),
                precedence = standing.map(|standing| standing.precedence.as_str()),
                age_ms = standing.map(|standing| standing.age.as_millis() as u64),
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

    /// A request was refused by its head alone; it has no id that can be trusted.
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

    /// This node answered itself.
    pub fn refused(&self, call: &EndedCall<'_>, call_error: &CallError) {
        self.count(call, call_error.outcome.as_str(), call_error.cause.as_str());
        if !self.may_write(call_error.cause.as_str()) {
            return;
        }
        let standing = call.standing;
        tracing::info!(
            request_id = call.request_id,
            route = call.route,
            service = call.service,
            version = call.version,
            tenant = standing.and_then(|standing| standing.tenant),
            rank = standing.map(|standing| standing.rank),
            precedence = standing.map(|standing| standing.precedence.as_str()),
            age_ms = standing.map(|standing| standing.age.as_millis() as u64),
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

    /// One try failed; another may follow.
    pub fn try_failed(&self, line: &FailedTryLine<'_>) {
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

    /// A hop was lost, and its gate was asked to fence the call.
    pub fn hop_fenced(&self, line: &FencedHopLine<'_>) {
        let finding = line.finding.as_str();
        let label = FenceLabel { answer: finding };
        self.metrics.fences.get_or_create(&label).inc();
        if !self.may_write(FENCE) {
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

    /// This gate was asked to fence a call.
    pub fn fence_answered(&self, request_id: &str, answer: FenceAnswer) {
        if !self.may_write(FENCE) {
            return;
        }
        tracing::info!(
            request_id,
            memory_ms = answer.retention.as_millis() as u64,
            answer = answer.fenced.as_str(),
            "fence answered"
        );
    }

    /// A try is overdue: another begins at `node` beside it.
    pub fn hedged(&self, request_id: &str, node: &str) {
        let cause = Cause::Overdue.as_str();
        if self.may_write(cause) {
            tracing::info!(request_id, node, cause, "try hedged");
        }
    }

    /// What the back end beside this node says of its load cannot be read; it is ignored.
    pub fn unusable_backend_load(&self, error: &BackendLoadError) {
        if self.may_write(UNUSABLE_LOAD) {
            tracing::warn!(cause = UNUSABLE_LOAD, %error, "load of the back end ignored");
        }
    }

    /// The gate refused a hop.
    pub fn hop_refused(&self, hop: &RefusedHop<'_>) {
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

    /// The back end beside this node ended while it ran a request, or it did not
    /// after all.
    pub fn crash_reported(&self, report: &CrashReport) {
        if !self.may_write(CRASHED) {
            return;
        }
        tracing::warn!(
            identity = %report.identity,
            instance = %report.instance,
            age_ms = report.age.as_millis() as u64,
            withdrawn = report.cleared,
            "back end crashed under a request"
        );
    }

    /// The back end beside this node answered a hop.
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
