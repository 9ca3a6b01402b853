//! Demand of this node's callers, as reported to the node's zone.

use super::Entry;
use rampthread_core::call::zone_spill::{is_loaded, to_milli_slots};
use rampthread_core::fleet::{ServiceLoad, TenantLoad};
use rampthread_core::ids::ResourceName;

impl Entry {
    /// Backend slots that this node's calls need, by service. Empty while the services are idle
    /// here, or if no other zone has backends of them.
    pub fn service_demand(&self) -> Vec<ServiceLoad> {
        let now = self.now();
        let local_zone = &self.options.zone;
        let endpoints = self.control().endpoints();
        let reports = self.control().zone_loads().at(now);
        let mut state = self.state();
        let zones = &mut state.zones;
        let in_other_zones = |service: &&ResourceName| {
            let known = endpoints.service(service);
            known.is_some_and(|known| known.is_beyond(local_zone))
        };
        let services: Vec<ResourceName> = zones
            .demand
            .services()
            .filter(in_other_zones)
            .cloned()
            .collect();
        let mut loads = Vec::new();
        for service in services {
            let window = zones
                .publication_windows
                .entry(service.clone())
                .or_default();
            if is_loaded(&service, local_zone, &reports) {
                window.extend(now);
            }
            if window.is_reporting(now) {
                loads.push(ServiceLoad {
                    demand: to_milli_slots(zones.demand.slots(&service, now)),
                    ..ServiceLoad::zero(service)
                });
            }
        }
        loads
    }

    /// Request rates of tenants at this node; `None` where no tenant has a limit.
    pub fn tenant_loads(&self) -> Option<Vec<TenantLoad>> {
        self.options.tenant_limits.load_reports()
    }
}
