//! Deterministic simulation of a fleet: agents, a network and a store, each with fault
//! injection.
#![allow(dead_code)]

#[path = "../resources/mod.rs"]
mod resources;
pub mod store;
pub mod world;

pub use resources::{name, service};

use rampthread_core::config::{
    Backend, ChangeSet, Destination, LogEntry, Operation, PathMatch, Repeatability, Resource,
    ResourceKey, ResourceKind, Route, SealedValue, Secret,
};
use rampthread_core::ids::{NodeId, OperationId, Region, Zone};

pub fn node_id(index: usize) -> NodeId {
    NodeId::new(&format!("node-{index}")).unwrap()
}

pub fn zone_of(index: usize, zones: usize) -> Zone {
    Zone::new(&format!("zone-{}", index % zones)).unwrap()
}

pub fn region() -> Region {
    Region::new("region").unwrap()
}

pub fn route(text: &str, to: &str, secret: Option<&str>) -> Resource {
    Resource::Route(Route {
        name: name(text),
        host: None,
        path: PathMatch::Prefix(format!("/{text}")),
        methods: Vec::new(),
        headers: Vec::new(),
        destinations: vec![Destination {
            service: name(to),
            weight: 1,
        }],
        timeout_ms: 1_000,
        repeatability: Repeatability::SafeMethods,
        secret: secret.map(name),
        secret_header: "authorization".to_string(),
        max_attempts: 3,
        priority: 1,
        target_latency_ms: None,
        public: false,
    })
}

pub fn secret(text: &str) -> Resource {
    Resource::Secret(Secret {
        name: name(text),
        sealed: SealedValue {
            key_id: "k".to_string(),
            ciphertext: "c".to_string(),
        },
    })
}

/// Returns a configured backend on the node `index`, for the service `to`.
pub fn backend(index: usize, to: &str, zones: usize) -> Resource {
    Resource::Backend(Backend {
        name: name(&format!("backend-{index}")),
        service: name(to),
        node: node_id(index),
        address: "127.0.0.1:8000".parse().unwrap(),
        zone: zone_of(index, zones),
        region: region(),
        slots: 10,
        connections: 100,
    })
}

/// Returns the operation that creates or replaces a resource.
pub fn put(resource: Resource) -> Operation {
    Operation::Put {
        resource: Box::new(resource),
        if_generation: None,
    }
}

pub fn delete(kind: ResourceKind, text: &str) -> Operation {
    Operation::Delete {
        key: ResourceKey {
            kind,
            name: name(text),
        },
        if_generation: None,
    }
}

/// Returns a log entry with the changes of one operator request.
pub fn entry(operation: &str, operations: Vec<Operation>) -> LogEntry {
    LogEntry {
        author: node_id(0),
        change: ChangeSet {
            operation_id: OperationId::new(operation).unwrap(),
            operations,
        },
    }
}
