//! Distributes the calls of this node over zones by the free slots that zones publish. A call
//! that leaves the node's zone is spilled.

use super::{Call, Entry, SelectedBackend};
use crate::metrics::SpillLabel;
use rampthread_core::call::demand::DemandMeter;
use rampthread_core::call::demand_trend::ZoneTrends;
use rampthread_core::call::load_average::ReportingHold;
use rampthread_core::call::zone_spill::{SpillPlan, ZoneDemand, plan_spill, zone_demands};
use rampthread_core::ids::{ResourceName, Zone};
use rampthread_core::time::Moment;
use rand::Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Smallest change of the spilled fraction that is logged.
const MIN_LOGGED_CHANGE: f64 = 0.05;
/// Minimum interval between log lines about one service.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// How the calls to one service are distributed over zones at present.
pub(super) struct ZonePlan {
    pub(super) spill_plan: SpillPlan,
    /// Probability that a call is spilled to another zone, by route.
    spill_probabilities: HashMap<ResourceName, f64>,
}

/// Zone routing of this node: the measured demand of its calls, and a zone plan per service.
#[derive(Default)]
pub(super) struct ZoneRouting {
    pub(super) demand: DemandMeter,
    /// Services whose demand this node publishes at present.
    pub(super) publication_windows: HashMap<ResourceName, ReportingHold>,
    trends: ZoneTrends,
    plans: HashMap<ResourceName, Arc<ZonePlan>>,
    /// Spilled fraction of the calls that was logged last, and when, by service.
    logged: HashMap<ResourceName, (f64, Moment)>,
}

impl ZoneRouting {
    /// Zone plan of `service`; `None` if its calls are not distributed over zones.
    pub(super) fn plan(&self, service: &ResourceName) -> Option<&Arc<ZonePlan>> {
        self.plans.get(service)
    }

    /// Keeps publishing the demand for `service` after a gate node has rejected a call for lack
    /// of capacity.
    pub(super) fn record_rejection(&mut self, service: &ResourceName, now: Moment) {
        let window = self.publication_windows.entry(service.clone()).or_default();
        window.extend(now);
    }
}

impl ZonePlan {
    /// Selects at random the zone that a call of `route` is spilled to; `None` keeps the call
    /// in this node's zone.
    pub(super) fn draw(&self, route: &ResourceName, rng: &mut impl Rng) -> Option<&Zone> {
        let spill_probability = *self.spill_probabilities.get(route)?;
        let spills = rng.random_bool(spill_probability.clamp(0.0, 1.0));
        spills.then(|| self.spill_plan.pick_zone(rng)).flatten()
    }
}

impl Entry {
    /// Counts a call in the demand for its service; `bytes` is the size of the request body.
    pub(super) fn record_demand(&self, call: &Call, bytes: usize) {
        let now = self.now();
        let demand = &mut self.state().zones.demand;
        demand.record_request(&call.service, &call.route.name, bytes, now);
    }

    /// Records a response to a call that held a backend slot for `service_time`.
    pub(super) fn record_service_time(
        &self,
        call: &Call,
        selected: &SelectedBackend,
        service_time: Duration,
        bytes: usize,
    ) {
        let mut state = self.state();
        let demand = &mut state.zones.demand;
        demand.record_response(&call.service, &call.route.name, service_time, bytes);
        drop(state);
        if selected.zone != self.options.zone {
            let label = SpillLabel {
                service: call.service.to_string(),
                zone: selected.zone.to_string(),
            };
            self.control()
                .metrics
                .spilled_calls
                .get_or_create(&label)
                .inc();
        }
    }

    /// Mean time for which a call of each route to `service` holds a slot, over all backends of
    /// the service.
    pub fn mean_service_times(&self, service: &ResourceName) -> HashMap<ResourceName, Duration> {
        self.state().zones.demand.service_times(service)
    }

    /// Recomputes the zone plans from the load that the zones have published.
    pub(super) fn plan_zones(&self) {
        let now = self.now();
        let local_zone = &self.options.zone;
        let endpoints = self.control().endpoints();
        let reports = self.control().zone_loads().at(now);
        let mut state = self.state();
        let zones = &mut state.zones;
        zones.demand.forget_idle(now);
        let services: Vec<ResourceName> = zones.demand.services().cloned().collect();
        zones.plans.retain(|service, _| services.contains(service));
        zones.trends.retain_services(&services);
        for service in services {
            let known = endpoints.service(&service);
            let slots = known.map(|known| known.slots_by_zone()).unwrap_or_default();
            let Some(mut zone_demands) = zone_demands(&service, local_zone, &slots, &reports)
            else {
                zones.plans.remove(&service);
                continue;
            };
            zones.trends.forecast(&service, &mut zone_demands, now);
            let spill_plan = plan_spill(local_zone, &zone_demands);
            zones.log_plan_change(&service, local_zone, &spill_plan, &zone_demands, now);
            let spill_probabilities =
                zones
                    .demand
                    .spill_probabilities(&service, spill_plan.spill_fraction, now);
            let plan = Arc::new(ZonePlan {
                spill_plan,
                spill_probabilities,
            });
            zones.plans.insert(service, plan);
        }
    }
}

impl ZoneRouting {
    /// Logs the spilled fraction of a service's calls, with demand and capacity, if the fraction
    /// has changed.
    fn log_plan_change(
        &mut self,
        service: &ResourceName,
        local_zone: &Zone,
        spill_plan: &SpillPlan,
        zone_demands: &[ZoneDemand],
        now: Moment,
    ) {
        let (logged_fraction, at) = self.logged.get(service).copied().unwrap_or_default();
        let changed = (spill_plan.spill_fraction - logged_fraction).abs() >= MIN_LOGGED_CHANGE;
        if !changed || now.since(at) < MIN_LOG_INTERVAL {
            return;
        }
        self.logged
            .insert(service.clone(), (spill_plan.spill_fraction, now));
        let own = zone_demands
            .iter()
            .find(|demand| demand.zone == *local_zone);
        tracing::info!(
            %service,
            away_percent = (spill_plan.spill_fraction * 100.0).round(),
            demand = own.map(|own| own.demand.round()),
            capacity = own.map(|own| own.capacity.round()),
            rooms = ?spill_plan.spare_slots,
            "share of spilled calls changed"
        );
    }
}
