//! Which back end gets a call: the one with the least expected cost, made of
//! load over slots, slowness learnt from answers, and whether it stands in
//! another zone. A cold back end gets a growing share; ejection always spares
//! half of a service.

use super::backend_speed::{BackendSpeed, USUAL_PERCENT};
use crate::ids::{NodeId, ResourceName, Zone};
use crate::time::Moment;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::time::Duration;

/// Load above which other zones are considered too. Above 1: what is known of a
/// gate is old, and asking one of the own zone that seems full costs little.
const SPILL_LOAD: f64 = 1.2;
/// Load above which a call is expected to wait.
const OVERLOAD: f64 = 0.95;
/// Slowness above which other zones are considered too.
const SPILL_SLOWNESS: f64 = 2.0;
/// Cost of each slot's worth of load above [`OVERLOAD`].
const OVERLOAD_COST: f64 = 5.0;
/// Cost of leaving the zone: bytes between zones are dear.
const OTHER_ZONE_COST: f64 = 0.3;
/// Back ends that are compared; more than these are drawn by chance, so that
/// entries with the same old knowledge do not all choose the same one.
const COMPARED: usize = 4;
/// Costs are blurred by this share, for the same reason.
const COST_BLUR: f64 = 0.15;
/// Smallest share of a back end that has just become ready.
const COLD_SHARE: f64 = 0.1;
/// Failures in a row after which an endpoint is ejected.
const EJECT_AFTER: u32 = 5;
/// First ejection; each further one is longer by this.
const EJECT_TIME: Duration = Duration::from_secs(3);
/// First ejection of an endpoint whose node cannot be reached; it doubles.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);
/// Ejections after which the time stops to grow.
const MAX_EJECTIONS: u32 = 10;
/// Doublings after which the time for an unreachable node stops to grow.
const MAX_UNREACHABLE: u32 = 2;
/// Reported load older than this is not used.
const REPORT_LIFE: Duration = Duration::from_secs(2);
/// Weight of the newest answer in a route's mean time.
const ROUTE_MEAN_WEIGHT: f64 = 0.05;
/// Weight of the newest answer in a back end's slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// One answer counts as at most this slow.
const MAX_SLOWNESS: f64 = 20.0;
/// Time for which the speed told with an answer goes before the one in the member record,
/// which may lag some seconds behind.
const TOLD_SPEED_LIFE: Duration = Duration::from_secs(5);
/// Time after which what was told of a back end's present pace counts for little: it
/// changes several times a second.
const PRESENT_PACE_LIFE: Duration = Duration::from_millis(400);
/// Time after which what was learnt of a back end's speed counts for little.
const SLOWNESS_LIFE: Duration = Duration::from_secs(5);

/// An answer is overdue after so many times the mean of its route.
const OVERDUE_MEANS: f64 = 3.0;
/// No answer is overdue before this.
const LEAST_OVERDUE: Duration = Duration::from_millis(150);

/// Load that a gate reports while it takes no work: others are chosen until
/// the membership tells why.
pub const UNAVAILABLE_LOAD: u32 = u32::MAX;

/// How endpoints are chosen; the baselines are for experiments only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BalanceMode {
    /// By least expected cost.
    LeastCost,
    /// In turn, blind to load and failures: the plain baseline.
    RoundRobin,
}

/// One endpoint that may get calls now.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The node beside the back end.
    pub node: NodeId,
    /// Its zone.
    pub zone: Zone,
    /// Its slots.
    pub slots: u32,
    /// Time to its full share after it became ready.
    pub slow_start: Duration,
    /// Its standing speed as the fleet knows it, in percent of its service's.
    pub speed_percent: u16,
}

#[derive(Debug, Default)]
struct Stats {
    in_flight: u32,
    /// Load that the node reported, and what this node had there then.
    reported: u32,
    in_flight_at_report: u32,
    reported_at: Moment,
    first_seen: Moment,
    failures: u32,
    ejections: u32,
    unreachable: u32,
    ejected_until: Moment,
    /// Time of its answers over the mean of their routes.
    slowness: Option<f64>,
    slowness_at: Moment,
    /// When it last answered a call.
    answered_at: Moment,
    /// What the gate beside it told of its pace.
    pace: Option<BackendSpeed>,
    paced_at: Moment,
}

impl Stats {
    /// What was learnt fades, so that a back end that got well is tried again; what was
    /// told of it, or is known of its `speed_percent` in the fleet, remains.
    fn slowness(&self, speed_percent: u16, now: Moment) -> f64 {
        let age = now.since(self.slowness_at).as_secs_f64() / SLOWNESS_LIFE.as_secs_f64();
        let told = self.told_slowness(speed_percent, now);
        match self.slowness {
            Some(learnt) => told + (learnt - told) * (-age).exp(),
            None => told,
        }
    }

    /// Time of its work over what is usual, as the gate beside it has measured it.
    fn told_slowness(&self, speed_percent: u16, now: Moment) -> f64 {
        let Some(pace) = self.pace else {
            return standing_slowness(speed_percent);
        };
        let age = now.since(self.paced_at);
        let standing = match age < TOLD_SPEED_LIFE {
            true => standing_slowness(pace.speed_percent),
            false => standing_slowness(speed_percent),
        };
        let present = f64::from(pace.service_time_percent) / f64::from(USUAL_PERCENT);
        let age = age.as_secs_f64() / PRESENT_PACE_LIFE.as_secs_f64();
        standing * (1.0 + (present - 1.0) * (-age).exp())
    }

    /// Calls at the back end as far as this node can know.
    fn busy(&self, now: Moment) -> u32 {
        if now.since(self.reported_at) >= REPORT_LIFE {
            return self.in_flight;
        }
        let since_report = self.in_flight.saturating_sub(self.in_flight_at_report);
        self.reported
            .saturating_add(since_report)
            .max(self.in_flight)
    }
}

/// Time of work at a back end of this speed over what is usual.
fn standing_slowness(speed_percent: u16) -> f64 {
    f64::from(USUAL_PERCENT) / f64::from(speed_percent.max(1))
}

/// Draws a few to be compared. Where speeds differ, fast ones are drawn more often, by
/// the square: so they fill first, and all entries together do not overrun one of them.
fn draw<'a>(endpoints: &[&'a Endpoint], rng: &mut impl Rng) -> Vec<&'a Endpoint> {
    let first = endpoints.first().map(|endpoint| endpoint.speed_percent);
    let even = endpoints
        .iter()
        .all(|endpoint| Some(endpoint.speed_percent) == first);
    if !even {
        let weight = |endpoint: &&Endpoint| standing_slowness(endpoint.speed_percent).powi(-2);
        if let Ok(drawn) = endpoints.choose_multiple_weighted(rng, COMPARED, weight) {
            return drawn.copied().collect();
        }
    }
    endpoints.choose_multiple(rng, COMPARED).copied().collect()
}

/// What this node knows of every endpoint.
#[derive(Debug)]
pub struct Balancer {
    mode: BalanceMode,
    started: Moment,
    endpoints: HashMap<NodeId, Stats>,
    /// Mean time of the answers of a route, in seconds.
    route_means: HashMap<ResourceName, f64>,
    turn: usize,
}

impl Balancer {
    /// Knows nothing yet. Endpoints seen right after the start count as warm:
    /// this process is new, not they.
    pub fn new(mode: BalanceMode, now: Moment) -> Self {
        Self {
            mode,
            started: now,
            endpoints: HashMap::new(),
            route_means: HashMap::new(),
            turn: 0,
        }
    }

    /// An endpoint became ready after it was not: it starts cold, and nothing
    /// that was learnt of its predecessor counts.
    pub fn became_ready(&mut self, node: &NodeId, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        *stats = Stats {
            in_flight: stats.in_flight,
            first_seen: now,
            ..Stats::default()
        };
    }

    /// Chooses among `candidates`, leaving out those in `tried`. Where the own zone
    /// has candidates, another is considered only where `may_go_to` says so.
    pub fn choose<'a>(
        &mut self,
        candidates: &'a [Endpoint],
        tried: &[NodeId],
        my_zone: &Zone,
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
        let usable = self.spare_half(&untried, now);
        let near: Vec<&Endpoint> = usable
            .iter()
            .copied()
            .filter(|endpoint| endpoint.zone == *my_zone)
            .collect();
        let nearest = self.cheapest(&near, my_zone, now, rng);
        match nearest {
            None => self.cheapest(&usable, my_zone, now, rng),
            Some(endpoint) if self.suits(endpoint, now) => Some(endpoint),
            Some(_) => {
                let open: Vec<&Endpoint> = usable
                    .into_iter()
                    .filter(|endpoint| endpoint.zone == *my_zone || may_go_to(&endpoint.zone))
                    .collect();
                self.cheapest(&open, my_zone, now, rng)
            }
        }
    }

    /// Chooses a back end of `zone` that is expected to have room, leaving out those in
    /// `tried`.
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
        let there: Vec<&Endpoint> = candidates
            .iter()
            .filter(|endpoint| endpoint.zone == *zone && !tried.contains(&endpoint.node))
            .collect();
        let usable = self.spare_half(&there, now);
        let chosen = self.cheapest(&usable, zone, now, rng);
        chosen.filter(|endpoint| self.suits(endpoint, now))
    }

    /// True when there is no need to look at other zones.
    fn suits(&self, endpoint: &Endpoint, now: Moment) -> bool {
        let slowness = self.slowness(endpoint, now);
        self.load(endpoint, now) < SPILL_LOAD && slowness < SPILL_SLOWNESS
    }

    /// Leaves ejected endpoints out, but never more than half.
    fn spare_half<'a>(&self, endpoints: &[&'a Endpoint], now: Moment) -> Vec<&'a Endpoint> {
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

    /// The endpoint of least cost among a few drawn in random order.
    fn cheapest<'a>(
        &self,
        endpoints: &[&'a Endpoint],
        my_zone: &Zone,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<&'a Endpoint> {
        let drawn = draw(endpoints, rng);
        let mut best: Option<(f64, &'a Endpoint)> = None;
        for endpoint in drawn {
            let blur = rng.random_range(1.0..1.0 + COST_BLUR);
            let cost = self.cost(endpoint, my_zone, now) * blur;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, endpoint));
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    /// Expected time of an answer, in units of a call at a sound, idle back
    /// end of the own zone.
    fn cost(&self, endpoint: &Endpoint, my_zone: &Zone, now: Moment) -> f64 {
        let load = self.load(endpoint, now);
        let overload = (load - OVERLOAD).max(0.0) * OVERLOAD_COST;
        let distance = if endpoint.zone == *my_zone {
            0.0
        } else {
            OTHER_ZONE_COST
        };
        let slowness = self.slowness(endpoint, now);
        slowness * (1.0 + overload) + load + distance
    }

    /// Expected time of the work there over what is usual.
    fn slowness(&self, endpoint: &Endpoint, now: Moment) -> f64 {
        let speed = endpoint.speed_percent;
        match self.endpoints.get(&endpoint.node) {
            Some(stats) => stats.slowness(speed, now),
            None => standing_slowness(speed),
        }
    }

    /// Load over effective slots, counting the call to be placed.
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
        (age / slow_start.as_secs_f64()).clamp(COLD_SHARE, 1.0)
    }

    /// True when `endpoint` is expected to have a slot for one more call.
    pub fn has_free_slot(&self, endpoint: &Endpoint, now: Moment) -> bool {
        self.load(endpoint, now) <= 1.0 && !self.is_ejected(&endpoint.node, now)
    }

    /// A call was sent to `node`.
    pub fn record_sent(&mut self, node: &NodeId) {
        self.endpoints.entry(node.clone()).or_default().in_flight += 1;
    }

    /// A call to `node` ended.
    pub fn record_end(&mut self, node: &NodeId) {
        if let Some(stats) = self.endpoints.get_mut(node) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
        }
    }

    /// The node beside the back end reported its load on an answer.
    pub fn record_load(&mut self, node: &NodeId, load: u32, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        stats.reported = load;
        // The call that brought the report still counts as in flight.
        stats.in_flight_at_report = stats.in_flight.saturating_sub(1);
        stats.reported_at = now;
        stats.failures = 0;
        stats.unreachable = 0;
    }

    /// The gate beside the back end told its pace.
    pub fn record_speed(&mut self, node: &NodeId, pace: BackendSpeed, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        stats.pace = Some(pace);
        stats.paced_at = now;
    }

    /// A back end answered a call of `route` after `time`.
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
        // Before the first answer the time of one call says little of a back end.
        let known = stats.slowness.map_or(1.0, |learnt| {
            let age = now.since(stats.slowness_at).as_secs_f64() / SLOWNESS_LIFE.as_secs_f64();
            1.0 + (learnt - 1.0) * (-age).exp()
        });
        stats.slowness = Some(known + (ratio - known) * SLOWNESS_WEIGHT);
        stats.slowness_at = now;
        stats.answered_at = now;
    }

    /// Mean time of the answers of `route`; none before the first.
    pub fn mean_time(&self, route: &ResourceName) -> Option<Duration> {
        self.route_means
            .get(route)
            .map(|mean| Duration::from_secs_f64(*mean))
    }

    /// Time after which an answer of `route` is overdue: others would most
    /// likely have answered. None while too little is known of the route.
    pub fn hedge_delay(&self, route: &ResourceName) -> Option<Duration> {
        let mean = self.route_means.get(route)?;
        let overdue = Duration::from_secs_f64(mean * OVERDUE_MEANS);
        Some(overdue.max(LEAST_OVERDUE))
    }

    /// True when a back end has answered other calls since `begun`, so that a
    /// call that still waits there may just be a long one.
    pub fn answered_since(&self, node: &NodeId, begun: Moment) -> bool {
        let stats = self.endpoints.get(node);
        stats.is_some_and(|stats| stats.answered_at >= begun)
    }

    /// A call to `node` had no answer.
    pub fn record_failure(&mut self, node: &NodeId, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        stats.failures += 1;
        if stats.failures >= EJECT_AFTER {
            stats.failures = 0;
            stats.ejections = (stats.ejections + 1).min(MAX_EJECTIONS);
            stats.ejected_until = now + EJECT_TIME * stats.ejections;
        }
    }

    /// `node` itself cannot be reached: each try costs its caller time.
    pub fn record_unreachable(&mut self, node: &NodeId, now: Moment) {
        let stats = self.endpoints.entry(node.clone()).or_default();
        let doublings = stats.unreachable.min(MAX_UNREACHABLE);
        stats.unreachable = doublings + 1;
        let until = now + UNREACHABLE_TIME * (1 << doublings);
        stats.ejected_until = stats.ejected_until.max(until);
    }

    /// Calls at `node` as far as this node can know.
    pub fn seen_load(&self, node: &NodeId, now: Moment) -> u32 {
        self.endpoints.get(node).map_or(0, |stats| stats.busy(now))
    }

    /// Calls of this node in flight to `node`.
    pub fn in_flight(&self, node: &NodeId) -> u32 {
        self.endpoints.get(node).map_or(0, |stats| stats.in_flight)
    }
}
