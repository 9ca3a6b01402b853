//! Chooses the backend of a call: the one of least expected cost. The cost is made of the
//! backend's load per slot, its slowness, the wait for its rate limit, and whether it stands in
//! another zone than the entry node, the node that received the call. A backend that has just become ready gets a
//! growing share of the calls (slow start). Backends that keep failing are ejected, but
//! never more than half of a service.
//!
//! An *endpoint* is a backend together with its gate node, the node that forwards calls to
//! it.

mod endpoint_stats;

use super::backend_speed::BackendSpeed;
use super::rate_limit::LimitReport;
use crate::ids::{NodeId, ResourceName, Zone};
use crate::time::Moment;
use endpoint_stats::{EndpointStats, speed_slowness};
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
/// Weight of the newest response in a route's mean response time.
const ROUTE_MEAN_WEIGHT: f64 = 0.05;
/// Upper limit of the slowness (response time over the mean of the route) that is taken
/// from a single response.
const MAX_SLOWNESS: f64 = 20.0;

/// Lowest probability of acceptance that is assumed of a backend.
const MIN_ACCEPTANCE: f64 = 0.05;
/// Probability of a refusal from which a backend is not expected to start a call at once.
const LIKELY_REFUSAL: f64 = 0.5;
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

    /// Statistics of the endpoint of `node`, added if there are none.
    fn stats(&mut self, node: &NodeId) -> &mut EndpointStats {
        self.endpoints.entry(node.clone()).or_default()
    }

    /// Records that an endpoint became ready: its slow start begins, and the measurements
    /// of the backend that the node had before are dropped.
    pub fn became_ready(&mut self, node: &NodeId, now: Moment) {
        self.stats(node).reset(now);
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
        let usable = self.without_exhausted(usable, now);
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
        let usable = self.without_exhausted(usable, now);
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

    /// Returns the endpoints whose rate limit allows a call within about one response time; if
    /// there are none, those whose limit allows a call first.
    fn without_exhausted<'a>(
        &self,
        mut endpoints: Vec<&'a Endpoint>,
        now: Moment,
    ) -> Vec<&'a Endpoint> {
        let has_room = |endpoint: &&Endpoint| self.limit_cost(endpoint, now) <= 1.0;
        if endpoints.iter().any(has_room) {
            endpoints.retain(has_room);
            return endpoints;
        }
        endpoints.sort_by_key(|endpoint| self.limit_wait(&endpoint.node, now));
        endpoints.truncate(SAMPLE_COUNT);
        endpoints
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

    /// Stores the rate limit that the gate node of `node` reported with a response; `None` if
    /// the backend names none.
    pub fn record_limit(&mut self, node: &NodeId, report: Option<LimitReport>, now: Moment) {
        self.stats(node).record_limit(report, now);
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
        self.stats(node).record_sent();
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
        self.stats(node).record_load(load, now);
    }

    /// Stores the speed that `node` reported with a response.
    pub fn record_speed(&mut self, node: &NodeId, reported_speed: BackendSpeed, now: Moment) {
        self.stats(node).record_speed(reported_speed, now);
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
        self.stats(node).record_response(ratio, now);
    }

    /// Records that the backend at `node` refused a call, which it did not run.
    pub fn record_refusal(&mut self, node: &NodeId, now: Moment) {
        self.stats(node).refusals.record(1.0, now);
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
        self.stats(node).record_failure(now);
    }

    /// Ejects the endpoint of `node`, which cannot be reached: each attempt there costs its
    /// caller time.
    pub fn record_unreachable(&mut self, node: &NodeId, now: Moment) {
        self.stats(node).record_unreachable(now);
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
