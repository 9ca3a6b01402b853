//! What the callers of one node ask for: slots by service, and which routes' calls are
//! cheap to send to another zone.

use crate::ids::ResourceName;
use crate::time::Moment;
use std::collections::HashMap;
use std::time::Duration;

/// Time over which calls are counted: shorter than demand's swings, long enough that a
/// zone's sum does not jump.
pub const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// Weight of the newest call in a route's means.
const MEAN_WEIGHT: f64 = 0.05;
/// Time after its last call until a route is forgotten, with the work that it needs.
const REMEMBERED: Duration = Duration::from_secs(60);

/// The calls of one route.
#[derive(Debug, Clone)]
struct RouteDemand {
    /// Calls a second.
    rate: f64,
    at: Moment,
    /// Seconds for which one call holds a slot.
    work: f64,
    /// Bytes of one call, both ways.
    bytes: f64,
}

/// The calls to one service.
#[derive(Debug, Clone, Default)]
struct ServiceDemand {
    routes: HashMap<ResourceName, RouteDemand>,
    /// Seconds for which one call of any route holds a slot: what a route needs that has
    /// not been answered here yet.
    work: f64,
}

impl ServiceDemand {
    fn work(&self, route: &RouteDemand) -> f64 {
        match route.work > 0.0 {
            true => route.work,
            false => self.work,
        }
    }

    fn slots(&self, route: &RouteDemand, now: Moment) -> f64 {
        route.rate(now) * self.work(route)
    }

    /// What a slot's worth of these calls costs between zones.
    fn bytes_a_slot(&self, route: &RouteDemand) -> f64 {
        route.bytes / self.work(route).max(f64::MIN_POSITIVE)
    }
}

impl RouteDemand {
    fn rate(&self, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.rate * (-age).exp()
    }
}

/// Moves the mean `known` towards `newest`.
fn mean(known: f64, newest: f64) -> f64 {
    known + (newest - known) * MEAN_WEIGHT
}

/// Demand by service and route.
#[derive(Debug, Default)]
pub struct DemandMeter {
    services: HashMap<ResourceName, ServiceDemand>,
}

impl DemandMeter {
    /// A caller asks for a call of `route` at `service`, of so many bytes.
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
            work: 0.0,
            bytes: bytes as f64,
        });
        demand.rate = demand.rate(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        demand.at = now;
    }

    /// A call held a slot for `work`; request and answer had so many bytes.
    pub fn record_response(
        &mut self,
        service: &ResourceName,
        route: &ResourceName,
        work: Duration,
        bytes: usize,
    ) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        let work = work.as_secs_f64();
        service.work = match service.work > 0.0 {
            true => mean(service.work, work),
            false => work,
        };
        let Some(demand) = service.routes.get_mut(route) else {
            return;
        };
        if demand.work == 0.0 {
            demand.work = work;
            demand.bytes = bytes as f64;
        }
        demand.work = mean(demand.work, work);
        demand.bytes = mean(demand.bytes, bytes as f64);
    }

    /// Mean time for which a call of each route to `service` holds a slot.
    pub fn service_times(&self, service: &ResourceName) -> HashMap<ResourceName, Duration> {
        let service = self.services.get(service).into_iter();
        let routes = service.flat_map(|service| &service.routes);
        let known = routes.filter(|(_, demand)| demand.work > 0.0);
        known
            .map(|(route, demand)| (route.clone(), Duration::from_secs_f64(demand.work)))
            .collect()
    }

    /// Services that are called.
    pub fn services(&self) -> impl Iterator<Item = &ResourceName> {
        self.services.keys()
    }

    /// Slots that the calls to `service` ask for.
    pub fn slots(&self, service: &ResourceName, now: Moment) -> f64 {
        let Some(service) = self.services.get(service) else {
            return 0.0;
        };
        let routes = service.routes.values();
        routes.map(|route| service.slots(route, now)).sum()
    }

    /// Chance by route that a call to `service` leaves, so that the part `away` of the
    /// demand leaves in all. Those leave first that carry the fewest bytes for the slots
    /// that they need; a route that is not named stays.
    pub fn spill_probabilities(
        &self,
        service: &ResourceName,
        away: f64,
        now: Moment,
    ) -> HashMap<ResourceName, f64> {
        if away <= 0.0 {
            return HashMap::new();
        }
        let mut left = self.slots(service, now) * away;
        let Some(service) = self.services.get(service) else {
            return HashMap::new();
        };
        let mut routes: Vec<(&ResourceName, &RouteDemand)> = service.routes.iter().collect();
        let cost = |route: &RouteDemand| service.bytes_a_slot(route);
        routes.sort_by(|(_, one), (_, other)| cost(one).total_cmp(&cost(other)));
        let mut chances = HashMap::new();
        for (route, demand) in routes {
            let slots = service.slots(demand, now);
            if left <= 0.0 {
                break;
            }
            let leaving = left.min(slots);
            left -= leaving;
            if slots > 0.0 {
                chances.insert(route.clone(), leaving / slots);
            }
        }
        chances
    }

    /// Forgets routes that are not called any more.
    pub fn forget_idle(&mut self, now: Moment) {
        let called = |route: &RouteDemand| now.since(route.at) < REMEMBERED;
        for service in self.services.values_mut() {
            service.routes.retain(|_, route| called(route));
        }
        self.services
            .retain(|_, service| !service.routes.is_empty());
    }
}
