//! What one node knows of an endpoint: load, speed, failures, refusals and rate limit of its
//! backend, from its own calls and from the reports of the gate node.

use crate::call::backend_speed::{BackendSpeed, USUAL_PERCENT};
use crate::call::rate_limit::LimitReport;
use crate::time::Moment;
use std::time::Duration;

/// Consecutive failed calls after which an endpoint is ejected.
const EJECT_AFTER_FAILURES: u32 = 5;
/// Duration of an endpoint's first ejection; each further ejection is longer by this.
const EJECTION_STEP: Duration = Duration::from_secs(3);
/// Duration of the first ejection of an endpoint whose node is unreachable; each further
/// ejection lasts twice as long.
const UNREACHABLE_EJECTION: Duration = Duration::from_secs(1);
/// Number of ejections of an endpoint after which the duration of further ejections no
/// longer grows.
const MAX_EJECTIONS: u32 = 10;
/// Maximum number of times that the duration of an unreachable node's ejection doubles.
const MAX_UNREACHABLE_DOUBLINGS: u32 = 2;
/// Age from which the load that a backend's node reported is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Weight of the newest response in a backend's slowness, the mean ratio of its response
/// times to the means of their routes.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// Age up to which the speed that a gate node reported with a response is preferred to that
/// of the member record, which may lag by some seconds.
const MAX_REPORTED_SPEED_AGE: Duration = Duration::from_secs(5);
/// Time constant with which a backend's reported current service time is discounted, since
/// it changes several times a second.
const MOMENTARY_SPEED_DECAY: Duration = Duration::from_millis(400);
/// Time constant with which measurements of a backend's slowness by this node lose weight.
const SLOWNESS_DECAY: Duration = Duration::from_secs(5);
/// Weight of the newest call in the share of calls that a backend refuses.
const REFUSAL_WEIGHT: f64 = 0.2;
/// Time constant with which refusals of a backend lose weight.
const REFUSAL_DECAY: Duration = Duration::from_secs(3);

/// Share of the latest calls that a backend has refused to run.
#[derive(Debug, Default)]
pub(super) struct RefusalShare {
    share: f64,
    recorded_at: Moment,
}

impl RefusalShare {
    /// Adds a call to the share: 1 if it was refused, 0 if it was answered.
    pub(super) fn record(&mut self, refused: f64, now: Moment) {
        let share = self.probability(now);
        self.share = share + (refused - share) * REFUSAL_WEIGHT;
        self.recorded_at = now;
    }

    /// Probability that the backend refuses the next call. It decays with time, so that a
    /// backend that has refused calls is tried again.
    pub(super) fn probability(&self, now: Moment) -> f64 {
        let age = now.since(self.recorded_at).as_secs_f64() / REFUSAL_DECAY.as_secs_f64();
        self.share * (-age).exp()
    }
}

/// Rate limit of a backend, as its gate node reported it last.
#[derive(Debug)]
pub(super) struct KnownLimit {
    report: LimitReport,
    reported_at: Moment,
    /// Calls that this node has sent to the endpoint since the report.
    sent_since: u32,
}

impl KnownLimit {
    /// Estimated time until the gate node can send one more call to the backend.
    fn wait(&self, now: Moment) -> Duration {
        let interval = 1.0 / self.report.limit.applied_rate();
        let wait = self.report.wait + Duration::from_secs_f64(interval) * self.sent_since;
        wait.saturating_sub(now.since(self.reported_at))
    }
}

/// Load, failures and speed of one endpoint, as far as this node knows them.
#[derive(Debug, Default)]
pub(super) struct EndpointStats {
    pub(super) in_flight: u32,
    /// Load of the backend that its gate node reported last.
    pub(super) reported: u32,
    /// How many of this node's calls were in flight to the endpoint at that report.
    pub(super) in_flight_at_report: u32,
    pub(super) reported_at: Moment,
    /// When the endpoint became ready, from which its slow start counts.
    pub(super) became_ready_at: Moment,
    /// Number of consecutive calls to the endpoint that got no response.
    pub(super) failures: u32,
    /// Number of ejections since the endpoint became ready, at most [`MAX_EJECTIONS`].
    pub(super) ejections: u32,
    /// Number of consecutive attempts that could not reach the endpoint's node.
    pub(super) unreachable: u32,
    pub(super) ejected_until: Moment,
    /// Mean ratio of the backend's response times to the mean response time of their
    /// routes.
    pub(super) slowness: Option<f64>,
    /// When the measured slowness was last updated.
    pub(super) slowness_at: Moment,
    /// Time of the backend's last response to this node.
    pub(super) answered_at: Moment,
    /// Speed of the backend that its gate node reported last; `None` before the first
    /// report.
    pub(super) reported_speed: Option<BackendSpeed>,
    pub(super) speed_reported_at: Moment,
    /// Rate limit of the backend; `None` if it names none.
    pub(super) limit: Option<KnownLimit>,
    pub(super) refusals: RefusalShare,
}

impl EndpointStats {
    /// Drops all measurements of the backend that the node had before, at `now`.
    pub(super) fn reset(&mut self, now: Moment) {
        *self = Self {
            in_flight: self.in_flight,
            became_ready_at: now,
            ..Self::default()
        };
    }

    /// Counts a call that is sent to the endpoint.
    pub(super) fn record_sent(&mut self) {
        self.in_flight += 1;
        if let Some(limit) = &mut self.limit {
            limit.sent_since += 1;
        }
    }

    /// Stores the load that the gate node has reported, and resets the counts of failures.
    pub(super) fn record_load(&mut self, load: u32, now: Moment) {
        self.reported = load;
        // The call whose response carried the report still counts as in flight.
        self.in_flight_at_report = self.in_flight.saturating_sub(1);
        self.reported_at = now;
        self.failures = 0;
        self.unreachable = 0;
    }

    /// Stores the speed that the gate node has reported.
    pub(super) fn record_speed(&mut self, reported_speed: BackendSpeed, now: Moment) {
        self.reported_speed = Some(reported_speed);
        self.speed_reported_at = now;
    }

    /// Stores the rate limit that the gate node has reported; `None` if the backend names none.
    pub(super) fn record_limit(&mut self, report: Option<LimitReport>, now: Moment) {
        self.limit = report.map(|report| KnownLimit {
            report,
            reported_at: now,
            sent_since: 0,
        });
    }

    /// Adds a response to the slowness; `ratio` is its time over the mean of its route.
    pub(super) fn record_response(&mut self, ratio: f64, now: Moment) {
        // Response times vary, so even the first one is averaged with 1, the usual
        // slowness.
        let previous = self.slowness.map_or(1.0, |learnt| {
            let age = now.since(self.slowness_at).as_secs_f64() / SLOWNESS_DECAY.as_secs_f64();
            1.0 + (learnt - 1.0) * (-age).exp()
        });
        self.slowness = Some(previous + (ratio - previous) * SLOWNESS_WEIGHT);
        self.slowness_at = now;
        self.answered_at = now;
        self.refusals.record(0.0, now);
    }

    /// Counts a call that got no response; ejects the endpoint after several in a row.
    pub(super) fn record_failure(&mut self, now: Moment) {
        self.failures += 1;
        if self.failures >= EJECT_AFTER_FAILURES {
            self.failures = 0;
            self.ejections = (self.ejections + 1).min(MAX_EJECTIONS);
            self.ejected_until = now + EJECTION_STEP * self.ejections;
        }
    }

    /// Ejects the endpoint, since its node cannot be reached.
    pub(super) fn record_unreachable(&mut self, now: Moment) {
        let doublings = self.unreachable.min(MAX_UNREACHABLE_DOUBLINGS);
        self.unreachable = doublings + 1;
        let until = now + UNREACHABLE_EJECTION * (1 << doublings);
        self.ejected_until = self.ejected_until.max(until);
    }

    /// Estimated time until the backend's rate limit allows one more call.
    pub(super) fn limit_wait(&self, now: Moment) -> Duration {
        let limit = self.limit.as_ref();
        limit.map_or(Duration::ZERO, |limit| limit.wait(now))
    }

    /// Estimate of the backend's slowness, the ratio of its service time to the usual one.
    /// The weight of this node's own measurements decays with time, and the reported speed
    /// of the backend takes their place, so that a backend that has recovered gets calls
    /// again.
    pub(super) fn slowness(&self, speed_percent: u16, now: Moment) -> f64 {
        let age = now.since(self.slowness_at).as_secs_f64() / SLOWNESS_DECAY.as_secs_f64();
        let reported = self.reported_slowness(speed_percent, now);
        match self.slowness {
            Some(learnt) => reported + (learnt - reported) * (-age).exp(),
            None => reported,
        }
    }

    /// The backend's slowness according to its gate node's report or, if that is too old,
    /// to the member record.
    fn reported_slowness(&self, speed_percent: u16, now: Moment) -> f64 {
        let Some(reported_speed) = self.reported_speed else {
            return speed_slowness(speed_percent);
        };
        let age = now.since(self.speed_reported_at);
        let standing = match age < MAX_REPORTED_SPEED_AGE {
            true => speed_slowness(reported_speed.speed_percent),
            false => speed_slowness(speed_percent),
        };
        let present = f64::from(reported_speed.service_time_percent) / f64::from(USUAL_PERCENT);
        let age = age.as_secs_f64() / MOMENTARY_SPEED_DECAY.as_secs_f64();
        standing * (1.0 + (present - 1.0) * (-age).exp())
    }

    /// Estimate of the calls at the backend: those in its last load report, and those that
    /// this node has sent since.
    pub(super) fn busy(&self, now: Moment) -> u32 {
        if now.since(self.reported_at) >= MAX_REPORT_AGE {
            return self.in_flight;
        }
        let since_report = self.in_flight.saturating_sub(self.in_flight_at_report);
        self.reported
            .saturating_add(since_report)
            .max(self.in_flight)
    }
}

/// Slowness of a backend with this speed: at 50 percent its service times are twice the
/// usual.
pub(super) fn speed_slowness(speed_percent: u16) -> f64 {
    f64::from(USUAL_PERCENT) / f64::from(speed_percent.max(1))
}
