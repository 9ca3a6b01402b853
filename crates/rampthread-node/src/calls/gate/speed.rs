//! Speed of the local backend: measured from service times, adjusted by the load that the
//! backend reports, and sent to entries.

use super::Gate;
use crate::calls::header_filter;
use http::HeaderMap;
use rampthread_core::call::backend_load::BackendLoad;
use rampthread_core::call::backend_speed::BackendSpeed;
use rampthread_core::call::headers;
use rampthread_core::ids::ResourceName;
use std::collections::HashMap;
use std::time::Duration;

impl Gate {
    /// Sets the mean service time of each route over all backends of the service, as measured
    /// by this node's entry.
    pub fn set_reference_times(&self, times: HashMap<ResourceName, Duration>) {
        self.state().reference_times = times;
    }

    /// Publishes the long-term speed of a backend that reports an instance id. Every change is
    /// sent to all nodes, so the published value changes in coarse steps.
    pub fn publish_speed(&self) {
        let instance = self
            .control
            .local_backend()
            .and_then(|backend| backend.instance);
        let Some(instance) = instance else {
            return;
        };
        let speed = {
            let state = self.state();
            let measured_backend = state.measured_backend.as_ref().map(ResourceName::as_str);
            let known = measured_backend == Some(instance.as_str()) && state.speed.is_known();
            known.then(|| state.speed.speed_percent())
        };
        if let Some(speed) = speed {
            self.control.record_backend_speed(&instance, speed);
        }
    }

    /// Records the load that the backend reports in a response, where the dialect names a
    /// header for it.
    pub(super) fn record_backend_load(&self, response_headers: &HeaderMap) {
        let named = self.dialect.backend_load.as_ref();
        let Some(header) = named.filter(|header| response_headers.contains_key(*header)) else {
            return;
        };
        let text = header_filter::header_str(response_headers, header.as_str()).unwrap_or_default();
        match BackendLoad::parse(text) {
            Ok(load) => {
                let now = self.control.clock.now();
                if let Some(percent) = load.service_time_percent {
                    self.state().speed.record_report(percent, now);
                }
            }
            Err(error) => self.control.call_log.unusable_backend_load(&error),
        }
    }

    /// Records that a call of `route` held a slot for `service_time`.
    pub(super) fn record_service_time(&self, route: &ResourceName, service_time: Duration) {
        let now = self.control.clock.now();
        let mut state = self.state();
        if let Some(reference_time) = state.reference_times.get(route).copied() {
            state
                .speed
                .record_response(reference_time, service_time, now);
        }
    }

    /// Adds the backend's speed to a response for the entry node, unless the speed is normal.
    pub(super) fn add_speed_header(&self, response_headers: &mut HeaderMap) {
        let speed = self.state().speed.speed(self.control.clock.now());
        if speed != BackendSpeed::default() {
            header_filter::set_internal(response_headers, headers::PACE, &speed.to_string());
        }
    }
}
