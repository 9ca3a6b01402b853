//! Chooses the backend of a call: the one of least expected cost. The cost is made of the
//! backend's load per slot, its slowness, the wait for its rate limit, and whether it stands in
//! another zone than the entry node, the node that received the call. A backend that has just become ready gets a
//! growing share of the calls (slow start). Backends that keep failing are ejected, but
//! never more than half of a service.
//!
//! An *endpoint* is a backend together with its gate node, the node that forwards calls to
//! it.

use super::backend_speed::{BackendSpeed, USUAL_PERCENT};
use super::rate_limit::LimitReport;
use crate::ids::{NodeId, ResourceName, Zone};
use crate::time::Moment;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::time::Duration;

/// Load, in calls per slot, up to which a backend in the entry node's zone is chosen
/// without considering other zones. The value is above 1, since load reports are out of
/// date and a query to a full node of the same zone costs little.
const MAX_SAME_ZONE_LOAD: f64 = 1.2;
/// Load, in calls per slot, above which a call is expected to wait in the queue of the
/// backend's gate node.
const QUEUEING_LOAD: f64 = 0.95;
/// Slowness, the ratio of a backend's service time to the usual one, up to which a backend
/// in the entry node's zone is chosen without considering other zones.
const MAX_SAME_ZONE_SLOWNESS: f64 = 2.0;
/// Rate at which expected queueing raises the cost of an endpoint. The cost contains
/// `slowness * (1 + QUEUEING_COST * excess)`, where `excess` is the load above
/// [`QUEUEING_LOAD`].
const QUEUEING_COST: f64 = 5.0;
/// Additional cost of an endpoint in another zone, since traffic between zones is
/// expensive. Unit: service time of a healthy, idle backend.
const OTHER_ZONE_COST: f64 = 0.3;
/// Number of backends whose costs are compared for one call. From a larger service this
/// many backends are sampled at random, so that entry nodes with the same outdated reports
/// do not all choose the same backend.
const SAMPLE_COUNT: usize = 4;
/// Upper limit of the random ratio by which each cost is raised, so that nodes with the
/// same outdated reports do not all choose the same backend.
const COST_JITTER_RATIO: f64 = 0.15;
/// Share of a backend's slots that are counted for balancing when the backend has just
/// become ready (start of the slow start).
const MIN_SLOW_START_SHARE: f64 = 0.1;
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
/// Weight of the newest response in a route's mean response time.
const ROUTE_MEAN_WEIGHT: f64 = 0.05;
/// Weight of the newest response in a backend's slowness, the mean ratio of its response
/// times to the means of their routes.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// Upper limit of the slowness (response time over the mean of the route) that is taken
/// from a single response.
const MAX_SLOWNESS: f64 = 20.0;
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
/// Lowest probability of acceptance that is assumed of a backend.
const MIN_ACCEPTANCE: f64 = 0.05;
/// Probability of a refusal from which a backend is not expected to start a call at once.
const LIKELY_REFUSAL: f64 = 0.5;
/// Lowest rate, in calls per second, that is assumed of a backend with a rate limit.
const MIN_RATE_LIMIT: f64 = 0.25;
/// Mean response time that is assumed before the first response, in seconds.
const INITIAL_RESPONSE_MEAN: f64 = 0.05;

/// Delay of a hedged attempt, a second one beside a slow one, in mean response times of the
/// route.
const HEDGE_DELAY_MEANS: f64 = 3.0;
/// Minimum delay of a hedged attempt, for routes with a short mean response time.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(150);

/// Load that a backend's gate node reports while it accepts no calls. Entry nodes choose
/// other backends until the membership shows the reason.
pub const UNAVAILABLE_LOAD: u32 = u32::MAX;

/// How the backend of a call is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BalanceMode {
    /// Choose the endpoint of least expected cost.
    LeastCost,
    /// Choose endpoints in turn, without regard to load and failures. A baseline for
    /// experiments only.
    RoundRobin,
}

/// A backend that may get calls now, and the node that forwards them to it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Node that forwards calls to the backend.
    pub node: NodeId,
    /// Zone of the node; backends in other zones cost more.
    pub zone: Zone,
    /// Maximum number of calls that the backend runs at a time.
    pub slots: u32,
    /// Time from becoming ready until the backend gets its full share of calls; zero: no
    /// slow start.
    pub slow_start: Duration,
    /// Long-term speed of the backend according to its member record, in percent of the
    /// service's usual speed.
    pub speed_percent: u16,
}

/// Share of the latest calls that a backend has refused to run.
#[derive(Debug, Default)]
struct RefusalShare {
    share: f64,
    recorded_at: Moment,
}

impl RefusalShare {
    /// Adds a call to the share: 1 if it was refused, 0 if it was answered.
    fn record(&mut self, refused: f64, now: Moment) {
        let share = self.probability(now);
        self.share = share + (refused - share) * REFUSAL_WEIGHT;
        self.recorded_at = now;
    }

    /// Probability that the backend refuses the next call. It decays with time, so that a
    /// backend that has refused calls is tried again.
    fn probability(&self, now: Moment) -> f64 {
        let age = now.since(self.recorded_at).as_secs_f64() / REFUSAL_DECAY.as_secs_f64();
        self.share * (-age).exp()
    }
}

/// Rate limit of a backend, as its gate node reported it last.
#[derive(Debug)]
struct KnownLimit {
    report: LimitReport,
    reported_at: Moment,
    /// Calls that this node has sent to the endpoint since the report.
    sent_since: u32,
}

impl KnownLimit {
    /// Estimated time until the gate node can send one more call to the backend.
    fn wait(&self, now: Moment) -> Duration {
        let interval = 1.0 / self.report.limit.per_second().max(MIN_RATE_LIMIT);
        let wait = self.report.wait + Duration::from_secs_f64(interval) * self.sent_since;
        wait.saturating_sub(now.since(self.reported_at))
    }
}

/// Load, failures and speed of one endpoint, as far as this node knows them.
#[derive(Debug, Default)]
struct EndpointStats {
    in_flight: u32,
    /// Load of the backend that its gate node reported last.
    reported: u32,
    /// How many of this node's calls were in flight to the endpoint at that report.
    in_flight_at_report: u32,
    reported_at: Moment,
    /// When the endpoint became ready, from which its slow start counts.
    became_ready_at: Moment,
    /// Number of consecutive calls to the endpoint that got no response.
    failures: u32,
    /// Number of ejections since the endpoint became ready, at most [`MAX_EJECTIONS`].
    ejections: u32,
    /// Number of consecutive attempts that could not reach the endpoint's node.
    unreachable: u32,
    ejected_until: Moment,
    /// Mean ratio of the backend's response times to the mean response time of their
    /// routes.
    slowness: Option<f64>,
    /// When the measured slowness was last updated.
    slowness_at: Moment,
    /// Time of the backend's last response to this node.
    answered_at: Moment,
    /// Speed of the backend that its gate node reported last; `None` before the first
    /// report.
    reported_speed: Option<BackendSpeed>,
    speed_reported_at: Moment,
    /// Rate limit of the backend; `None` if it names none.
    limit: Option<KnownLimit>,
    refusals: RefusalShare,
}

impl EndpointStats {
    /// Estimated time until the backend's rate limit allows one more call.
    fn limit_wait(&self, now: Moment) -> Duration {
        let limit = self.limit.as_ref();
        limit.map_or(Duration::ZERO, |limit| limit.wait(now))
    }

    /// Estimate of the backend's slowness, the ratio of its service time to the usual one.
    /// The weight of this node's own measurements decays with time, and the reported speed
    /// of the backend takes their place, so that a backend that has recovered gets calls
    /// again.
    fn slowness(&self, speed_percent: u16, now: Moment) -> f64 {
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
    fn busy(&self, now: Moment) -> u32 {
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
fn speed_slowness(speed_percent: u16) -> f64 {
    f64::from(USUAL_PERCENT) / f64::from(speed_percent.max(1))
}

/// Samples the endpoints to compare. Where speeds differ, the sampling weight is the square
/// of the speed: the slots of fast backends fill first, but no single fast backend is
/// overloaded by all entry nodes together.
fn sample_endpoints<'a>(endpoints: &[&'a Endpoint], rng: &mut impl Rng) -> Vec<&'a Endpoint> {
    let first = endpoints.first().map(|endpoint| endpoint.speed_percent);
    let even = endpoints
        .iter()
        .all(|endpoint| Some(endpoint.speed_percent) == first);
    if !even {
        let weight = |endpoint: &&Endpoint| speed_slowness(endpoint.speed_percent).powi(-2);
        if let Ok(sampled) = endpoints.choose_multiple_weighted(rng, SAMPLE_COUNT, weight) {
            return sampled.copied().collect();
        }
    }
    endpoints
        .choose_multiple(rng, SAMPLE_COUNT)
        .copied()
        .collect()
}

/// Chooses endpoints for the calls of one node, from what this node knows of each.
#[derive(Debug)]
pub struct Balancer {
    mode: BalanceMode,
    started: Moment,
    endpoints: HashMap<NodeId, EndpointStats>,
    /// Mean response time of each route, in seconds.
    route_means: HashMap<ResourceName, f64>,
    /// Mean response time of all routes, in seconds; `None` before the first response.
    response_mean: Option<f64>,
    /// Number of endpoints chosen so far in [`BalanceMode::RoundRobin`]; gives the next
    /// one.
    round_robin_count: usize,
}

impl Balancer {
    /// Creates a balancer without measurements. Endpoints that are first seen right after
    /// `now` get no slow start, since most likely only this process has just started.
    pub fn new(mode: BalanceMode, now: Moment) -> Self {
        Self {
            mode,
            started: now,
            endpoints: HashMap::new(),
            route_means: HashMap::new(),
            response_mean: None,
            round_robin_count: 0,
        }
    }

    /// Records that an endpoint became ready: its slow start begins, and the measurements
    /// of the backend that the node had before are dropped.
    pub fn became_ready(&mut self, node: &NodeId, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        *stats = EndpointStats {
            in_flight: stats.in_flight,
            became_ready_at: now,
            ..EndpointStats::default()
        };
    }

    /// Chooses among `candidates`, leaving out the nodes in `tried`. If the node's own zone
    /// has candidates, another zone is considered only if `may_go_to` allows it.
    pub fn choose<'a>(
        &mut self,
        candidates: &'a [Endpoint],
        tried: &[NodeId],
        own_zone: &Zone,
        may_go_to: impl Fn(&Zone) -> bool,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<&'a Endpoint> {
        let untried: Vec<&Endpoint> = candidates
            .iter()
            .filter(|endpoint| !tried.contains(&endpoint.node))
            .collect();
        if self.mode == BalanceMode::RoundRobin {
            self.round_robin_count += 1;
            return untried
                .get(self.round_robin_count % untried.len().max(1))
                .copied();
        }
        let usable = self.without_ejected(&untried, now);
        let same_zone: Vec<&Endpoint> = usable
            .iter()
            .copied()
            .filter(|endpoint| endpoint.zone == *own_zone)
            .collect();
        let best_in_zone = self.cheapest(&same_zone, own_zone, now, rng);
        match best_in_zone {
            None => self.cheapest(&usable, own_zone, now, rng),
            Some(endpoint) if self.is_good_enough(endpoint, now) => Some(endpoint),
            Some(_) => {
                let open: Vec<&Endpoint> = usable
                    .into_iter()
                    .filter(|endpoint| endpoint.zone == *own_zone || may_go_to(&endpoint.zone))
                    .collect();
                self.cheapest(&open, own_zone, now, rng)
            }
        }
    }

    /// Chooses a backend of `zone` that is expected to have a free slot, leaving out the
    /// nodes in `tried`.
    pub fn choose_in<'a>(
        &self,
        candidates: &'a [Endpoint],
        tried: &[NodeId],
        zone: &Zone,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<&'a Endpoint> {
        if self.mode == BalanceMode::RoundRobin {
            return None;
        }
        let in_zone: Vec<&Endpoint> = candidates
            .iter()
            .filter(|endpoint| endpoint.zone == *zone && !tried.contains(&endpoint.node))
            .collect();
        let usable = self.without_ejected(&in_zone, now);
        let chosen = self.cheapest(&usable, zone, now, rng);
        chosen.filter(|endpoint| self.is_good_enough(endpoint, now))
    }

    /// True when the endpoint's load and slowness are low enough to choose it without
    /// considering other zones.
    fn is_good_enough(&self, endpoint: &Endpoint, now: Moment) -> bool {
        let slowness = self.slowness(endpoint, now);
        self.load(endpoint, now) < MAX_SAME_ZONE_LOAD
            && slowness < MAX_SAME_ZONE_SLOWNESS
            && self.limit_wait(&endpoint.node, now).is_zero()
            && self.refusal_probability(endpoint, now) < LIKELY_REFUSAL
    }

    /// Returns the endpoints that are not ejected; all endpoints if more than half are
    /// ejected.
    fn without_ejected<'a>(&self, endpoints: &[&'a Endpoint], now: Moment) -> Vec<&'a Endpoint> {
        let sound: Vec<&Endpoint> = endpoints
            .iter()
            .copied()
            .filter(|endpoint| !self.is_ejected(&endpoint.node, now))
            .collect();
        if sound.len() * 2 >= endpoints.len() {
            return sound;
        }
        let mut all = endpoints.to_vec();
        all.sort_by_key(|endpoint| self.ejected_until(&endpoint.node));
        all.truncate(endpoints.len().div_ceil(2));
        all
    }

    /// End of the endpoint's ejection; in the past if it is not ejected.
    fn ejected_until(&self, node: &NodeId) -> Moment {
        self.endpoints
            .get(node)
            .map_or(Moment::default(), |stats| stats.ejected_until)
    }

    /// True while the endpoint of `node` is ejected because of failures, so that calls go
    /// to other endpoints.
    pub fn is_ejected(&self, node: &NodeId, now: Moment) -> bool {
        self.ejected_until(node) > now
    }

    /// Returns the endpoint of least expected cost in a random sample of `endpoints`.
    fn cheapest<'a>(
        &self,
        endpoints: &[&'a Endpoint],
        own_zone: &Zone,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<&'a Endpoint> {
        let sampled = sample_endpoints(endpoints, rng);
        let mut best: Option<(f64, &'a Endpoint)> = None;
        for endpoint in sampled {
            let jitter = rng.random_range(1.0..1.0 + COST_JITTER_RATIO);
            let expected_cost = self.expected_cost(endpoint, own_zone, now) * jitter;
            if best.is_none_or(|(least, _)| expected_cost < least) {
                best = Some((expected_cost, endpoint));
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    /// Expected response time at the endpoint. The unit is the service time of a healthy,
    /// idle backend in this zone.
    fn expected_cost(&self, endpoint: &Endpoint, own_zone: &Zone, now: Moment) -> f64 {
        let load = self.load(endpoint, now);
        let overload = (load - QUEUEING_LOAD).max(0.0) * QUEUEING_COST;
        let distance = if endpoint.zone == *own_zone {
            0.0
        } else {
            OTHER_ZONE_COST
        };
        let slowness = self.slowness(endpoint, now);
        let cost = slowness * (1.0 + overload) + load + distance + self.limit_cost(endpoint, now);
        // A refused call is sent again, to another backend.
        cost / (1.0 - self.refusal_probability(endpoint, now)).max(MIN_ACCEPTANCE)
    }

    /// Probability that the endpoint's backend refuses the next call.
    fn refusal_probability(&self, endpoint: &Endpoint, now: Moment) -> f64 {
        let stats = self.endpoints.get(&endpoint.node);
        stats.map_or(0.0, |stats| stats.refusals.probability(now))
    }

    /// Cost of the wait for the backend's rate limit, in mean response times.
    fn limit_cost(&self, endpoint: &Endpoint, now: Moment) -> f64 {
        let wait = self.limit_wait(&endpoint.node, now).as_secs_f64();
        wait / self.response_mean.unwrap_or(INITIAL_RESPONSE_MEAN)
    }

    /// Estimated time until the rate limit of the backend at `node` allows one more call; zero
    /// if it names none.
    pub fn limit_wait(&self, node: &NodeId, now: Moment) -> Duration {
        let stats = self.endpoints.get(node);
        stats.map_or(Duration::ZERO, |stats| stats.limit_wait(now))
    }

    /// True if the backend at `node` names a rate limit.
    pub fn has_limit(&self, node: &NodeId) -> bool {
        let stats = self.endpoints.get(node);
        stats.is_some_and(|stats| stats.limit.is_some())
    }

    /// Stores the rate limit that the gate node of `node` reported with a response; `None` if
    /// the backend names none.
    pub fn record_limit(&mut self, node: &NodeId, report: Option<LimitReport>, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        stats.limit = report.map(|report| KnownLimit {
            report,
            reported_at: now,
            sent_since: 0,
        });
    }

    /// Expected slowness of the endpoint's backend, the ratio of its service time to the
    /// usual one.
    fn slowness(&self, endpoint: &Endpoint, now: Moment) -> f64 {
        let speed = endpoint.speed_percent;
        match self.endpoints.get(&endpoint.node) {
            Some(stats) => stats.slowness(speed, now),
            None => speed_slowness(speed),
        }
    }

    /// Expected load of the endpoint in calls per slot, including the call that is being
    /// placed. During slow start only a share of the slots is counted.
    fn load(&self, endpoint: &Endpoint, now: Moment) -> f64 {
        let slots = f64::from(endpoint.slots.max(1));
        let Some(stats) = self.endpoints.get(&endpoint.node) else {
            return 1.0 / slots;
        };
        let busy = f64::from(stats.busy(now)) + 1.0;
        busy / (slots * self.effective_slot_share(stats, endpoint.slow_start, now))
    }

    /// Share of the endpoint's slots that are counted for balancing: it grows during slow
    /// start, and is 1 afterwards.
    fn effective_slot_share(
        &self,
        stats: &EndpointStats,
        slow_start: Duration,
        now: Moment,
    ) -> f64 {
        if stats.became_ready_at <= self.started || slow_start.is_zero() {
            return 1.0;
        }
        let age = now.since(stats.became_ready_at).as_secs_f64();
        (age / slow_start.as_secs_f64()).clamp(MIN_SLOW_START_SHARE, 1.0)
    }

    /// True when the backend is expected to start one more call at once.
    pub fn has_free_slot(&self, endpoint: &Endpoint, now: Moment) -> bool {
        self.load(endpoint, now) <= 1.0
            && !self.is_ejected(&endpoint.node, now)
            && self.limit_wait(&endpoint.node, now).is_zero()
            && self.refusal_probability(endpoint, now) < LIKELY_REFUSAL
    }

    /// Counts a call as in flight that this node sends to `node`.
    pub fn record_sent(&mut self, node: &NodeId) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        stats.in_flight += 1;
        if let Some(limit) = &mut stats.limit {
            limit.sent_since += 1;
        }
    }

    /// Ends the count of a call as in flight that this node sent to `node`, whatever its
    /// outcome.
    pub fn record_end(&mut self, node: &NodeId) {
        if let Some(stats) = self.endpoints.get_mut(node) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
        }
    }

    /// Stores the load that `node` reported with a response, and resets its counts of
    /// failures, since the node responds.
    pub fn record_load(&mut self, node: &NodeId, load: u32, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        stats.reported = load;
        // The call whose response carried the report still counts as in flight.
        stats.in_flight_at_report = stats.in_flight.saturating_sub(1);
        stats.reported_at = now;
        stats.failures = 0;
        stats.unreachable = 0;
    }

    /// Stores the speed that `node` reported with a response.
    pub fn record_speed(&mut self, node: &NodeId, reported_speed: BackendSpeed, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        stats.reported_speed = Some(reported_speed);
        stats.speed_reported_at = now;
    }

    /// Updates the mean response time of `route` and the slowness of the backend at `node`,
    /// which responded `time` after the call was sent.
    pub fn record_response(
        &mut self,
        node: &NodeId,
        route: &ResourceName,
        time: Duration,
        now: Moment,
    ) {
        let seconds = time.as_secs_f64();
        let mean = self.route_means.entry(route.clone()).or_insert(seconds);
        let ratio = (seconds / mean.max(f64::EPSILON)).min(MAX_SLOWNESS);
        *mean += (seconds - *mean) * ROUTE_MEAN_WEIGHT;
        let response_mean = self.response_mean.get_or_insert(seconds);
        *response_mean += (seconds - *response_mean) * ROUTE_MEAN_WEIGHT;
        let stats = self.endpoints.entry(node.clone()).or_default();
        // Response times vary, so even the first one is averaged with 1, the usual
        // slowness.
        let previous = stats.slowness.map_or(1.0, |learnt| {
            let age = now.since(stats.slowness_at).as_secs_f64() / SLOWNESS_DECAY.as_secs_f64();
            1.0 + (learnt - 1.0) * (-age).exp()
        });
        stats.slowness = Some(previous + (ratio - previous) * SLOWNESS_WEIGHT);
        stats.slowness_at = now;
        stats.answered_at = now;
        stats.refusals.record(0.0, now);
    }

    /// Records that the backend at `node` refused a call, which it did not run.
    pub fn record_refusal(&mut self, node: &NodeId, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        stats.refusals.record(1.0, now);
    }

    /// Mean response time of `route` over all backends; `None` before the first response.
    pub fn mean_time(&self, route: &ResourceName) -> Option<Duration> {
        self.route_means
            .get(route)
            .map(|mean| Duration::from_secs_f64(*mean))
    }

    /// Time after which a hedged attempt of `route` may start, since another backend would
    /// most likely have responded by then. `None` before the first response of the route.
    pub fn hedge_delay(&self, route: &ResourceName) -> Option<Duration> {
        let mean = self.route_means.get(route)?;
        let overdue = Duration::from_secs_f64(mean * HEDGE_DELAY_MEANS);
        Some(overdue.max(MIN_HEDGE_DELAY))
    }

    /// True when `node` has responded to other calls since `begun`. A call that began then
    /// and still waits for its response may just be a long one.
    pub fn answered_since(&self, node: &NodeId, begun: Moment) -> bool {
        let stats = self.endpoints.get(node);
        stats.is_some_and(|stats| stats.answered_at >= begun)
    }

    /// Records that a call to `node` got no response, and ejects the endpoint after several
    /// failures in a row.
    pub fn record_failure(&mut self, node: &NodeId, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        stats.failures += 1;
        if stats.failures >= EJECT_AFTER_FAILURES {
            stats.failures = 0;
            stats.ejections = (stats.ejections + 1).min(MAX_EJECTIONS);
            stats.ejected_until = now + EJECTION_STEP * stats.ejections;
        }
    }

    /// Ejects the endpoint of `node`, which cannot be reached: each attempt there costs its
    /// caller time.
    pub fn record_unreachable(&mut self, node: &NodeId, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        let doublings = stats.unreachable.min(MAX_UNREACHABLE_DOUBLINGS);
        stats.unreachable = doublings + 1;
        let until = now + UNREACHABLE_EJECTION * (1 << doublings);
        stats.ejected_until = stats.ejected_until.max(until);
    }

    /// Estimate of the calls at the backend of `node`, from its last load report and from
    /// this node's own calls.
    pub fn seen_load(&self, node: &NodeId, now: Moment) -> u32 {
        self.endpoints.get(node).map_or(0, |stats| stats.busy(now))
    }

    /// How many calls of this node wait for a response of `node`.
    pub fn in_flight(&self, node: &NodeId) -> u32 {
        self.endpoints.get(node).map_or(0, |stats| stats.in_flight)
    }
}
