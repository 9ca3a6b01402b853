//! Backends that may get calls: those named by the configuration or by their own reports,
//! without those that the membership knows as failed, draining or not ready.

use rampthread_core::call::backend_speed::USUAL_PERCENT;
use rampthread_core::call::balance::Endpoint;
use rampthread_core::config::{ConfigState, default_connections};
use rampthread_core::fleet::{Agent, EndpointRecord, MemberRecord};
use rampthread_core::ids::{InstanceId, NodeId, ResourceName, SoftwareVersion, Version, Zone};
use rampthread_core::rollout::exposure::presumed_version;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Address, name and version of a backend to which calls may be sent.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address of the backend's node, which forwards calls to the backend.
    pub address: SocketAddr,
    /// The configured name of the backend, or the incarnation of a backend that reports
    /// itself.
    pub backend: ResourceName,
    /// Software version of the backend, if the backend reports one.
    pub version: Option<SoftwareVersion>,
    /// Time for which the backend is slow after its start.
    pub cold: Duration,
}

/// The local backend of this node, as used by its gate (which forwards calls to the
/// backend).
#[derive(Debug, Clone)]
pub struct LocalBackend {
    /// The configured name of the backend, or the incarnation of a backend that reports
    /// itself.
    pub name: ResourceName,
    /// Incarnation of the backend's process, if the backend reports itself.
    pub instance: Option<InstanceId>,
    /// The service that the backend implements.
    pub service: ResourceName,
    /// Address at which the backend serves calls.
    pub address: SocketAddr,
    /// Number of calls that the backend can run at once.
    pub slots: u32,
    /// Maximum number of connections that the backend accepts.
    pub connections: u32,
    /// Time for which the backend is slow after its start.
    pub cold: Duration,
    /// Whether the backend takes no new calls.
    pub draining: bool,
}

/// The backends of one service that may get calls.
#[derive(Debug, Default)]
pub struct ServiceEndpoints {
    /// Backends as the balancer selects among them.
    pub endpoints: Vec<Endpoint>,
    /// Addresses and versions of the same backends, by their nodes.
    pub targets: HashMap<NodeId, Target>,
    /// The version presumed to be in use before any rollout, where no rollout is known; `None`
    /// if all backends have the same version.
    presumed_version: Option<SoftwareVersion>,
}

impl ServiceEndpoints {
    /// Software version of the backend at `node`, if the backend reports one.
    pub fn version(&self, node: &NodeId) -> Option<&SoftwareVersion> {
        self.targets.get(node)?.version.as_ref()
    }

    /// The version presumed to be in use before any rollout, where no rollout is known; `None`
    /// if all backends have the same version.
    pub fn presumed_version(&self) -> Option<&SoftwareVersion> {
        self.presumed_version.as_ref()
    }

    /// Computes the version presumed to be in use before any rollout.
    fn update_presumed_version(&mut self) {
        let versions = self
            .targets
            .values()
            .filter_map(|target| target.version.as_ref());
        self.presumed_version = presumed_version(versions).cloned();
    }
}

impl ServiceEndpoints {
    /// Sums the backends' slots (calls at a time) by zone.
    pub fn slots_by_zone(&self) -> Vec<(Zone, f64)> {
        let mut slots: Vec<(Zone, f64)> = Vec::new();
        for endpoint in &self.endpoints {
            let added = f64::from(endpoint.slots);
            match slots.iter_mut().find(|(zone, _)| *zone == endpoint.zone) {
                Some((_, sum)) => *sum += added,
                None => slots.push((endpoint.zone.clone(), added)),
            }
        }
        slots
    }

    /// Returns whether another zone than `zone` has backends of the service.
    pub fn is_beyond(&self, zone: &Zone) -> bool {
        self.endpoints.iter().any(|endpoint| endpoint.zone != *zone)
    }
}

/// Configuration version and membership revision that an endpoint map was computed from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointSource {
    version: Version,
    membership_revision: u64,
}

impl EndpointSource {
    /// The present configuration version and membership revision.
    pub fn of(state: &ConfigState, agent: &Agent) -> Self {
        Self {
            version: state.version(),
            membership_revision: agent.membership().revision(),
        }
    }
}

/// The backends of all services that may get calls, and the reachable nodes.
#[derive(Debug, Default)]
pub struct EndpointMap {
    /// What this map was computed from, to detect changes.
    pub source: EndpointSource,
    services: HashMap<ResourceName, ServiceEndpoints>,
    /// Addresses of all reachable nodes that have a backend, also while it gets no calls.
    pub nodes: HashMap<NodeId, SocketAddr>,
    /// The local backend of this node, if any.
    pub local: Option<LocalBackend>,
    /// Number of reachable nodes, including this one.
    pub alive: usize,
}

impl EndpointMap {
    /// Combines the configuration with the membership.
    pub fn new(source: EndpointSource, state: &ConfigState, agent: &Agent) -> Self {
        let mut map = EndpointMap {
            source,
            ..EndpointMap::default()
        };
        for record in agent.membership().records() {
            if record.reachable() {
                map.alive += 1;
                map.add_reported(record);
            }
        }
        map.add_configured(state, agent);
        for service in map.services.values_mut() {
            service.update_presumed_version();
        }
        map.local = local_backend(state, agent);
        map
    }

    /// Adds the backends that the configuration names.
    fn add_configured(&mut self, state: &ConfigState, agent: &Agent) {
        for backend in state.backends() {
            let Some(record) = agent.membership().record(&backend.node) else {
                continue;
            };
            if !record.reachable() {
                continue;
            }
            self.nodes.insert(backend.node.clone(), record.address);
            let conditions = record.conditions;
            if !conditions.ready || !conditions.backend_up || conditions.draining {
                continue;
            }
            let service = state.service(&backend.service);
            let slow_start = service.map_or(0, |service| service.slow_start_ms);
            let endpoint = Endpoint {
                node: backend.node.clone(),
                zone: backend.zone.clone(),
                slots: backend.slots,
                slow_start: Duration::from_millis(slow_start),
                speed_percent: USUAL_PERCENT,
            };
            self.add_backend(&backend.service, endpoint, record, &backend.name);
        }
    }

    /// Adds a backend that reports itself.
    fn add_reported(&mut self, record: &MemberRecord) {
        let Some(reported) = &record.endpoint else {
            return;
        };
        self.nodes.insert(record.id.clone(), record.address);
        if reported.draining || record.conditions.draining {
            return;
        }
        let Some(name) = name_of(reported) else {
            return;
        };
        let endpoint = Endpoint {
            node: record.id.clone(),
            zone: record.zone.clone(),
            slots: reported.slots,
            slow_start: Duration::from_millis(reported.cold_ms),
            speed_percent: reported.speed_percent.unwrap_or(USUAL_PERCENT),
        };
        self.add_backend(&reported.service, endpoint, record, &name);
    }

    /// Adds a backend that may get calls.
    fn add_backend(
        &mut self,
        service: &ResourceName,
        endpoint: Endpoint,
        record: &MemberRecord,
        backend: &ResourceName,
    ) {
        let reported = record.endpoint.as_ref();
        let service_endpoints = self.services.entry(service.clone()).or_default();
        let target = Target {
            address: record.address,
            backend: backend.clone(),
            version: reported.and_then(|reported| reported.version.clone()),
            cold: Duration::from_millis(reported.map_or(0, |reported| reported.cold_ms)),
        };
        service_endpoints
            .targets
            .insert(endpoint.node.clone(), target);
        service_endpoints.endpoints.push(endpoint);
    }

    /// The backends of `service`, or `None` if none may get calls.
    pub fn service(&self, service: &ResourceName) -> Option<&ServiceEndpoints> {
        self.services.get(service)
    }

    /// Number of backends that may get calls, over all services.
    pub fn count(&self) -> usize {
        self.services
            .values()
            .map(|service| service.endpoints.len())
            .sum()
    }

    /// Nodes whose backends may get calls, with the names of the backends.
    pub fn serving(&self) -> HashMap<NodeId, ResourceName> {
        self.services
            .values()
            .flat_map(|service| &service.targets)
            .map(|(node, target)| (node.clone(), target.backend.clone()))
            .collect()
    }
}

/// Name of a backend that reports itself: its incarnation.
fn name_of(reported: &EndpointRecord) -> Option<ResourceName> {
    ResourceName::new(reported.instance.as_str()).ok()
}

/// Finds the local backend, in its own report or in the configuration.
fn local_backend(state: &ConfigState, agent: &Agent) -> Option<LocalBackend> {
    let me = agent.membership().me();
    if let Some(reported) = agent.endpoint() {
        let service = state.service(&reported.service);
        let connections = service.and_then(|service| service.connections);
        return Some(LocalBackend {
            name: name_of(reported)?,
            instance: Some(reported.instance.clone()),
            service: reported.service.clone(),
            address: reported.address,
            slots: reported.slots,
            connections: connections.unwrap_or(default_connections()),
            cold: Duration::from_millis(reported.cold_ms),
            draining: reported.draining,
        });
    }
    let backend = state.backends().find(|backend| backend.node == me.id)?;
    Some(LocalBackend {
        name: backend.name.clone(),
        instance: None,
        service: backend.service.clone(),
        address: backend.address,
        slots: backend.slots,
        connections: backend.connections,
        cold: Duration::ZERO,
        draining: false,
    })
}
