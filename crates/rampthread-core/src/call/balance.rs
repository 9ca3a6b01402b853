//! Chooses the backend of a call: the one of least expected cost, which is made of its load
//! per slot, its slowness and whether it stands in another zone. A backend that has just
//! become ready gets a growing share of the calls. Ejection always spares half of a
//! service.

use super::backend_speed::{BackendSpeed, USUAL_PERCENT};
use crate::ids::{NodeId, ResourceName, Zone};
use crate::time::Moment;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::time::Duration;

/// Load from which backends of other zones are considered too. Above 1, since what is known
/// of a gate is out of date, and asking one of the same zone that seems full costs little.
const MAX_SAME_ZONE_LOAD: f64 = 1.2;
/// Load from which a call is expected to wait.
const QUEUEING_LOAD: f64 = 0.95;
/// Slowness from which backends of other zones are considered too.
const MAX_SAME_ZONE_SLOWNESS: f64 = 2.0;
/// Cost of one slot's worth of load above [`OVERLOAD`].
const QUEUEING_COST: f64 = 5.0;
/// Cost of sending a call to another zone, where traffic is expensive.
const OTHER_ZONE_COST: f64 = 0.3;
/// Backends compared for one call. If there are more, this many are sampled at random, so
/// that entries with the same outdated information do not all choose the same one.
const SAMPLE_COUNT: usize = 4;
/// Costs are randomized by up to this ratio, for the same reason.
const COST_JITTER_RATIO: f64 = 0.15;
/// Share of calls that a backend gets when it has just become ready.
const MIN_SLOW_START_SHARE: f64 = 0.1;
/// Consecutive failures after which an endpoint is ejected.
const EJECT_AFTER_FAILURES: u32 = 5;
/// Duration of the first ejection; each further one is longer by the same amount.
const EJECTION_STEP: Duration = Duration::from_secs(3);
/// Duration of the first ejection of an endpoint whose node is unreachable; doubles with
/// each further one.
const UNREACHABLE_EJECTION: Duration = Duration::from_secs(1);
/// Number of ejections after which their duration no longer grows.
const MAX_EJECTIONS: u32 = 10;
/// Number of doublings after which the ejection of an unreachable node no longer grows.
const MAX_UNREACHABLE_DOUBLINGS: u32 = 2;
/// Maximum age of a reported load; older ones are ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Weight of the newest response in a route's mean time.
const ROUTE_MEAN_WEIGHT: f64 = 0.05;
/// Weight of the newest response in a backend's slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// Upper bound of the slowness that a single response counts for.
const MAX_SLOWNESS: f64 = 20.0;
/// Time for which the speed reported with a response takes precedence over that of the
/// member record, which may lag by some seconds.
const MAX_REPORTED_SPEED_AGE: Duration = Duration::from_secs(5);
/// Decay time of a backend's reported momentary speed, which changes several times a
/// second.
const MOMENTARY_SPEED_DECAY: Duration = Duration::from_millis(400);
/// Decay time of the slowness learnt from responses.
const SLOWNESS_DECAY: Duration = Duration::from_secs(5);

/// A hedged attempt may start after this many mean times of the route.
const HEDGE_DELAY_MEANS: f64 = 3.0;
/// Minimum delay of a hedged attempt.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(150);

/// Load that a gate reports while it accepts no calls, so that others are chosen until the
/// membership reports the reason.
pub const UNAVAILABLE_LOAD: u32 = u32::MAX;

/// How endpoints are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BalanceMode {
    /// The endpoint of least expected cost.
    LeastCost,
    /// Round robin without regard to load and failures; a baseline for experiments only.
    RoundRobin,
}

/// An endpoint that may get calls now.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The node that runs the backend's gate.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: Zone,
    /// Calls that the backend runs at a time.
    pub slots: u32,
    /// Time from becoming ready to its full share of calls; zero: no slow start.
    pub slow_start: Duration,
    /// Long-term speed from the member record, in percent of the service's usual speed.
    pub speed_percent: u16,
}

#[derive(Debug, Default)]
struct Stats {
    in_flight: u32,
    /// Load that the gate reported, and this node's calls in flight there at that time.
    reported: u32,
    in_flight_at_report: u32,
    reported_at: Moment,
    first_seen: Moment,
    failures: u32,
    ejections: u32,
    unreachable: u32,
    ejected_until: Moment,
    /// Response time over the mean of the route, averaged.
    slowness: Option<f64>,
    slowness_at: Moment,
    /// Time of its last response to a call.
    answered_at: Moment,
    /// Speed that its gate reported last.
    reported_speed: Option<BackendSpeed>,
    speed_reported_at: Moment,
}

impl Stats {
    /// Slowness learnt from this node's own responses decays, so that a recovered backend
    /// gets calls again. What remains is the reported slowness, or that of `speed_percent`.
    fn slowness(&self, speed_percent: u16, now: Moment) -> f64 {
        let age = now.since(self.slowness_at).as_secs_f64() / SLOWNESS_DECAY.as_secs_f64();
        let reported = self.reported_slowness(speed_percent, now);
        match self.slowness {
            Some(learnt) => reported + (learnt - reported) * (-age).exp(),
            None => reported,
        }
    }

    /// Service time over its usual value, as the gate measured it.
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

    /// Calls at the backend, as far as this node knows: the reported load and what this
    /// node has sent since.
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

/// Service time at a backend of this speed over its usual value.
fn speed_slowness(speed_percent: u16) -> f64 {
    f64::from(USUAL_PERCENT) / f64::from(speed_percent.max(1))
}

/// Samples the endpoints to compare. Where speeds differ, the sampling weight is the square
/// of the speed: fast backends fill first, and all entries together do not overload one of
/// them.
fn sample<'a>(endpoints: &[&'a Endpoint], rng: &mut impl Rng) -> Vec<&'a Endpoint> {
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

/// Chooses endpoints, and records what this node knows of each.
#[derive(Debug)]
pub struct Balancer {
    mode: BalanceMode,
    started: Moment,
    endpoints: HashMap<NodeId, Stats>,
    /// Mean response time of each route, in seconds.
    route_means: HashMap<ResourceName, f64>,
    turn: usize,
}

impl Balancer {
    /// A balancer without records. Endpoints first seen right after the start count as
    /// warm, since it is this process that is new.
    pub fn new(mode: BalanceMode, now: Moment) -> Self {
        Self {
            mode,
            started: now,
            endpoints: HashMap::new(),
            route_means: HashMap::new(),
            turn: 0,
        }
    }

    /// Records that an endpoint became ready: its slow start begins, and what was learnt of
    /// its predecessor is dropped.
    pub fn became_ready(&mut self, node: &NodeId, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        *stats = Stats {
            in_flight: stats.in_flight,
            first_seen: now,
            ..Stats::default()
        };
    }

    /// Chooses among `candidates`, leaving out those in `tried`. Where the zone of this
    /// node has candidates, another zone is considered only if `may_go_to` allows it.
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
            self.turn += 1;
            return untried.get(self.turn % untried.len().max(1)).copied();
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

    /// Chooses a backend of `zone` that is expected to have a free slot, leaving out those
    /// in `tried`.
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

    /// True when the endpoint is good enough that other zones need not be considered.
    fn is_good_enough(&self, endpoint: &Endpoint, now: Moment) -> bool {
        let slowness = self.slowness(endpoint, now);
        self.load(endpoint, now) < MAX_SAME_ZONE_LOAD && slowness < MAX_SAME_ZONE_SLOWNESS
    }

    /// Leaves out ejected endpoints, but never more than half.
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

    fn ejected_until(&self, node: &NodeId) -> Moment {
        self.endpoints
            .get(node)
            .map_or(Moment::default(), |stats| stats.ejected_until)
    }

    /// True while the endpoint is ejected.
    pub fn is_ejected(&self, node: &NodeId, now: Moment) -> bool {
        self.ejected_until(node) > now
    }

    /// The endpoint of least cost in a random sample.
    fn cheapest<'a>(
        &self,
        endpoints: &[&'a Endpoint],
        own_zone: &Zone,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<&'a Endpoint> {
        let sampled = sample(endpoints, rng);
        let mut best: Option<(f64, &'a Endpoint)> = None;
        for endpoint in sampled {
            let jitter = rng.random_range(1.0..1.0 + COST_JITTER_RATIO);
            let cost = self.cost(endpoint, own_zone, now) * jitter;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, endpoint));
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    /// Expected response time, in units of a call at a healthy, idle backend of this zone.
    fn cost(&self, endpoint: &Endpoint, own_zone: &Zone, now: Moment) -> f64 {
        let load = self.load(endpoint, now);
        let overload = (load - QUEUEING_LOAD).max(0.0) * QUEUEING_COST;
        let distance = if endpoint.zone == *own_zone {
            0.0
        } else {
            OTHER_ZONE_COST
        };
        let slowness = self.slowness(endpoint, now);
        slowness * (1.0 + overload) + load + distance
    }

    /// Expected service time over its usual value.
    fn slowness(&self, endpoint: &Endpoint, now: Moment) -> f64 {
        let speed = endpoint.speed_percent;
        match self.endpoints.get(&endpoint.node) {
            Some(stats) => stats.slowness(speed, now),
            None => speed_slowness(speed),
        }
    }

    /// Load per effective slot, the call to be placed included.
    fn load(&self, endpoint: &Endpoint, now: Moment) -> f64 {
        let slots = f64::from(endpoint.slots.max(1));
        let Some(stats) = self.endpoints.get(&endpoint.node) else {
            return 1.0 / slots;
        };
        let busy = f64::from(stats.busy(now)) + 1.0;
        busy / (slots * self.share(stats, endpoint.slow_start, now))
    }

    fn share(&self, stats: &Stats, slow_start: Duration, now: Moment) -> f64 {
        if stats.first_seen <= self.started || slow_start.is_zero() {
            return 1.0;
        }
        let age = now.since(stats.first_seen).as_secs_f64();
        (age / slow_start.as_secs_f64()).clamp(MIN_SLOW_START_SHARE, 1.0)
    }

    /// True when `endpoint` is expected to have a free slot for one more call.
    pub fn has_free_slot(&self, endpoint: &Endpoint, now: Moment) -> bool {
        self.load(endpoint, now) <= 1.0 && !self.is_ejected(&endpoint.node, now)
    }

    /// Records that a call was sent to `node`.
    pub fn record_sent(&mut self, node: &NodeId) {
        self.endpoints.entry(node.clone()).or_default().in_flight += 1;
    }

    /// Records that a call to `node` ended.
    pub fn record_end(&mut self, node: &NodeId) {
        if let Some(stats) = self.endpoints.get_mut(node) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
        }
    }

    /// Records the load that the gate at `node` reported with a response.
    pub fn record_load(&mut self, node: &NodeId, load: u32, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        stats.reported = load;
        // The call whose response carried the report still counts as in flight.
        stats.in_flight_at_report = stats.in_flight.saturating_sub(1);
        stats.reported_at = now;
        stats.failures = 0;
        stats.unreachable = 0;
    }

    /// Records the speed that the gate at `node` reported.
    pub fn record_speed(&mut self, node: &NodeId, reported_speed: BackendSpeed, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        stats.reported_speed = Some(reported_speed);
        stats.speed_reported_at = now;
    }

    /// Records the time of a response of `node` to a call of `route`.
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
        let stats = self.endpoints.entry(node.clone()).or_default();
        // A single response is weak evidence, so the first one is averaged with the usual
        // slowness.
        let previous = stats.slowness.map_or(1.0, |learnt| {
            let age = now.since(stats.slowness_at).as_secs_f64() / SLOWNESS_DECAY.as_secs_f64();
            1.0 + (learnt - 1.0) * (-age).exp()
        });
        stats.slowness = Some(previous + (ratio - previous) * SLOWNESS_WEIGHT);
        stats.slowness_at = now;
        stats.answered_at = now;
    }

    /// Mean response time of `route`; `None` before the first response.
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

    /// True when the backend has responded to other calls since `begun`: a call that still
    /// waits there may just be a long one.
    pub fn answered_since(&self, node: &NodeId, begun: Moment) -> bool {
        let stats = self.endpoints.get(node);
        stats.is_some_and(|stats| stats.answered_at >= begun)
    }

    /// Records a call to `node` that got no response; ejects the endpoint after
    /// [`EJECT_AFTER`] in a row.
    pub fn record_failure(&mut self, node: &NodeId, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        stats.failures += 1;
        if stats.failures >= EJECT_AFTER_FAILURES {
            stats.failures = 0;
            stats.ejections = (stats.ejections + 1).min(MAX_EJECTIONS);
            stats.ejected_until = now + EJECTION_STEP * stats.ejections;
        }
    }

    /// Ejects `node`, which cannot be reached: each attempt there costs its caller time.
    pub fn record_unreachable(&mut self, node: &NodeId, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        let doublings = stats.unreachable.min(MAX_UNREACHABLE_DOUBLINGS);
        stats.unreachable = doublings + 1;
        let until = now + UNREACHABLE_EJECTION * (1 << doublings);
        stats.ejected_until = stats.ejected_until.max(until);
    }

    /// Calls at `node`, as far as this node knows.
    pub fn seen_load(&self, node: &NodeId, now: Moment) -> u32 {
        self.endpoints.get(node).map_or(0, |stats| stats.busy(now))
    }

    /// Calls of this node in flight to `node`.
    pub fn in_flight(&self, node: &NodeId) -> u32 {
        self.endpoints.get(node).map_or(0, |stats| stats.in_flight)
    }
}
