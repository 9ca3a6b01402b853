//! Measures what the callers of one node need: the slots of each service, and which routes
//! have calls that are cheap to send to another zone (to spill).

use crate::ids::ResourceName;
use crate::time::Moment;
use std::collections::HashMap;
use std::time::Duration;

/// Time constant of the average call rate. It is shorter than typical swings of demand, and
/// long enough that the sum of the rates of a zone's nodes is steady.
pub const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// Weight of the newest call in a route's mean service time and mean size.
const MEAN_WEIGHT: f64 = 0.05;
/// Time after a route's last call until its measurements are dropped.
const ROUTE_TTL: Duration = Duration::from_secs(60);

/// Measured calls of one route: rate, service time and size.
#[derive(Debug, Clone)]
struct RouteDemand {
    /// Calls of the route per second, as of the time `at`.
    rate: f64,
    /// Time of the route's last call, when `rate` was updated.
    at: Moment,
    /// Mean seconds for which a call of the route holds a slot; 0 before the first
    /// response.
    service_time: f64,
    /// Mean bytes of a call of the route, request and response together.
    bytes: f64,
}

/// Measured calls to one service.
#[derive(Debug, Clone, Default)]
struct ServiceDemand {
    routes: HashMap<ResourceName, RouteDemand>,
    /// Mean seconds for which a call of any route holds a slot. Used as an estimate for
    /// routes without a response yet.
    service_time: f64,
}

impl ServiceDemand {
    /// Mean service time of the route's calls; the mean of the service before the route's
    /// first response.
    fn service_time(&self, route: &RouteDemand) -> f64 {
        match route.service_time > 0.0 {
            true => route.service_time,
            false => self.service_time,
        }
    }

    /// Slots that the route's calls need: their rate times their service time.
    fn slots(&self, route: &RouteDemand, now: Moment) -> f64 {
        route.rate(now) * self.service_time(route)
    }

    /// Bytes sent between zones if a call of the route goes to another zone, divided by the
    /// seconds for which that call would hold a slot in this zone. Routes with the least
    /// value are the cheapest to spill.
    fn bytes_per_slot_second(&self, route: &RouteDemand) -> f64 {
        route.bytes / self.service_time(route).max(f64::MIN_POSITIVE)
    }
}

impl RouteDemand {
    /// Calls of the route per second at the time `now`. The rate decays exponentially with
    /// the time since the last call.
    fn rate(&self, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.rate * (-age).exp()
    }
}

/// Exponential moving average: `known` moved towards `newest` by [`MEAN_WEIGHT`].
fn moving_average(known: f64, newest: f64) -> f64 {
    known + (newest - known) * MEAN_WEIGHT
}

/// Measures how many slots the callers of one node need, by service and route.
#[derive(Debug, Default)]
pub struct DemandMeter {
    services: HashMap<ResourceName, ServiceDemand>,
}

impl DemandMeter {
    /// Counts a call that a caller sends to the node; its request has this many bytes.
    pub fn record_request(
        &mut self,
        service: &ResourceName,
        route: &ResourceName,
        bytes: usize,
        now: Moment,
    ) {
        let routes = &mut self.services.entry(service.clone()).or_default().routes;
        let demand = routes.entry(route.clone()).or_insert(RouteDemand {
            rate: 0.0,
            at: now,
            service_time: 0.0,
            bytes: bytes as f64,
        });
        demand.rate = demand.rate(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        demand.at = now;
    }

    /// Updates the means of a route after a call that held a slot for `service_time` and
    /// had this many bytes in request and response.
    pub fn record_response(
        &mut self,
        service: &ResourceName,
        route: &ResourceName,
        service_time: Duration,
        bytes: usize,
    ) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        let service_time = service_time.as_secs_f64();
        service.service_time = match service.service_time > 0.0 {
            true => moving_average(service.service_time, service_time),
            false => service_time,
        };
        let Some(demand) = service.routes.get_mut(route) else {
            return;
        };
        if demand.service_time == 0.0 {
            demand.service_time = service_time;
            demand.bytes = bytes as f64;
        }
        demand.service_time = moving_average(demand.service_time, service_time);
        demand.bytes = moving_average(demand.bytes, bytes as f64);
    }

    /// Mean service time of each route of `service`; routes without a response are missing.
    pub fn service_times(&self, service: &ResourceName) -> HashMap<ResourceName, Duration> {
        let service = self.services.get(service).into_iter();
        let routes = service.flat_map(|service| &service.routes);
        let known = routes.filter(|(_, demand)| demand.service_time > 0.0);
        known
            .map(|(route, demand)| (route.clone(), Duration::from_secs_f64(demand.service_time)))
            .collect()
    }

    /// Services that callers of this node have called within about the last minute.
    pub fn services(&self) -> impl Iterator<Item = &ResourceName> {
        self.services.keys()
    }

    /// Slots that calls to `service` need: rate times service time, summed over routes.
    pub fn slots(&self, service: &ResourceName, now: Moment) -> f64 {
        let Some(service) = self.services.get(service) else {
            return 0.0;
        };
        let routes = service.routes.values();
        routes.map(|route| service.slots(route, now)).sum()
    }

    /// Probability, by route, that a call to `service` is spilled (sent to another zone),
    /// so that the fraction `spill_fraction` of the demand is spilled in total. Routes
    /// whose calls have the fewest bytes for each second of slot time are spilled first.
    /// Calls of a route that is missing from the result are not spilled.
    pub fn spill_probabilities(
        &self,
        service: &ResourceName,
        spill_fraction: f64,
        now: Moment,
    ) -> HashMap<ResourceName, f64> {
        if spill_fraction <= 0.0 {
            return HashMap::new();
        }
        let mut left = self.slots(service, now) * spill_fraction;
        let Some(service) = self.services.get(service) else {
            return HashMap::new();
        };
        let mut routes: Vec<(&ResourceName, &RouteDemand)> = service.routes.iter().collect();
        let cost = |route: &RouteDemand| service.bytes_per_slot_second(route);
        routes.sort_by(|(_, one), (_, other)| cost(one).total_cmp(&cost(other)));
        let mut probabilities = HashMap::new();
        for (route, demand) in routes {
            let slots = service.slots(demand, now);
            if left <= 0.0 {
                break;
            }
            let leaving = left.min(slots);
            left -= leaving;
            if slots > 0.0 {
                probabilities.insert(route.clone(), leaving / slots);
            }
        }
        probabilities
    }

    /// Drops the measurements of routes that had no call in the last minute.
    pub fn forget_idle(&mut self, now: Moment) {
        let called = |route: &RouteDemand| now.since(route.at) < ROUTE_TTL;
        for service in self.services.values_mut() {
            service.routes.retain(|_, route| called(route));
        }
        self.services
            .retain(|_, service| !service.routes.is_empty());
    }
}
