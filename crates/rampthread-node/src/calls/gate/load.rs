//! Load of the local backend, as reported to the node's zone.

use super::Gate;
use rampthread_core::call::zone_spill::{is_loaded, to_milli_slots};
use rampthread_core::fleet::ServiceLoad;

impl Gate {
    /// Load of the local backend. `None` while the backend and its service in this zone are
    /// idle, or if no other zone has backends of the service.
    pub fn service_load(&self) -> Option<ServiceLoad> {
        let backend = self.control.local_backend()?;
        let endpoints = self.control.endpoints();
        let service = endpoints.service(&backend.service)?;
        let own = service
            .endpoints
            .iter()
            .find(|endpoint| endpoint.node == self.control.id)?;
        if !service.is_beyond(&own.zone) {
            return None;
        }
        let now = self.control.clock.now();
        let slots = f64::from(backend.slots.min(backend.connections));
        let loads = self.control.zone_loads();
        let zone_is_loaded = is_loaded(&backend.service, &own.zone, &loads.at(now));
        let mut state = self.state();
        let slots = state.admission.usable_slots(slots);
        let (running, queued) = (state.admission.running(), state.admission.queued());
        let load_average = &mut state.load_average;
        load_average.record(running, queued, slots, now);
        if zone_is_loaded {
            load_average.zone_is_loaded(now);
        }
        load_average.is_reporting(now).then(|| ServiceLoad {
            capacity: to_milli_slots(slots),
            busy: to_milli_slots(load_average.busy),
            waiting: to_milli_slots(load_average.waiting),
            ..ServiceLoad::zero(backend.service.clone())
        })
    }
}
