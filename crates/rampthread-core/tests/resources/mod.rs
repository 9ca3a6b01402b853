//! Resource names and services for tests.

use rampthread_core::config::{Resource, Service};
use rampthread_core::ids::ResourceName;

pub fn name(text: &str) -> ResourceName {
    ResourceName::new(text).unwrap()
}

/// Service without slow start, whose backends define their connections.
pub fn service(text: &str) -> Resource {
    Resource::Service(Service {
        name: name(text),
        retry_percent: 10,
        slow_start_ms: 0,
        connections: None,
    })
}
