//! Which back ends may get calls now: what the configuration or the back ends'
//! own reports name, less what the membership knows to be dead, draining or
//! not ready.

use rampthread_core::call::backend_speed::USUAL_PERCENT;
use rampthread_core::call::balance::Endpoint;
use rampthread_core::config::{ConfigState, default_connections};
use rampthread_core::fleet::{Agent, EndpointRecord, MemberRecord};
use rampthread_core::ids::{InstanceId, NodeId, ResourceName, SoftwareVersion, Version, Zone};
use rampthread_core::rollout::exposure::presumed_version;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// An endpoint and where its node is reached.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address of the node beside the back end.
    pub address: SocketAddr,
    /// The back end's name, or its incarnation where it names itself.
    pub backend: ResourceName,
    /// The version of its software, where it names it.
    pub version: Option<SoftwareVersion>,
    /// Time for which it stays slow after it came into service.
    pub cold: Duration,
}

/// The back end beside this node, as its gate sees it.
#[derive(Debug, Clone)]
pub struct LocalBackend {
    /// The back end's name, or its incarnation where it names itself.
    pub name: ResourceName,
    /// Its incarnation, where it names itself.
    pub instance: Option<InstanceId>,
    /// The service that it answers for.
    pub service: ResourceName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Calls that it can run at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Time for which it stays slow after its start.
    pub cold: Duration,
    /// It takes no new work.
    pub draining: bool,
}

/// The endpoints of one service.
#[derive(Debug, Default)]
pub struct ServiceEndpoints {
    /// For the balancer.
    pub endpoints: Vec<Endpoint>,
    /// For the call, by node.
    pub targets: HashMap<NodeId, Target>,
    /// The present one of several versions; none where all are of one.
    presumed_version: Option<SoftwareVersion>,
}

impl ServiceEndpoints {
    /// The version of the back end beside `node`.
    pub fn version(&self, node: &NodeId) -> Option<&SoftwareVersion> {
        self.targets.get(node)?.version.as_ref()
    }

    /// The one that counts as the present one where there are several versions.
    pub fn presumed_version(&self) -> Option<&SoftwareVersion> {
        self.presumed_version.as_ref()
    }

    fn compare_versions(&mut self) {
        let versions = self
            .targets
            .values()
            .filter_map(|target| target.version.as_ref());
        self.presumed_version = presumed_version(versions).cloned();
    }
}

impl ServiceEndpoints {
    /// Slots by zone.
    pub fn slots_by_zone(&self) -> Vec<(Zone, f64)> {
        let mut slots: Vec<(Zone, f64)> = Vec::new();
        for endpoint in &self.endpoints {
            let more = f64::from(endpoint.slots);
            match slots.iter_mut().find(|(zone, _)| *zone == endpoint.zone) {
                Some((_, sum)) => *sum += more,
                None => slots.push((endpoint.zone.clone(), more)),
            }
        }
        slots
    }

    /// True where another zone than `zone` could take calls.
    pub fn is_beyond(&self, zone: &Zone) -> bool {
        self.endpoints.iter().any(|endpoint| endpoint.zone != *zone)
    }
}

/// What an endpoint map was made from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointSource {
    version: Version,
    membership_revision: u64,
}

impl EndpointSource {
    /// The present configuration and membership.
    pub fn of(state: &ConfigState, agent: &Agent) -> Self {
        Self {
            version: state.version(),
            membership_revision: agent.membership().revision(),
        }
    }
}

/// The endpoints of every service.
#[derive(Debug, Default)]
pub struct EndpointMap {
    /// What it was made from.
    pub source: EndpointSource,
    services: HashMap<ResourceName, ServiceEndpoints>,
    /// Addresses of all nodes that are reachable, in service or not.
    pub nodes: HashMap<NodeId, SocketAddr>,
    /// The back end beside this node.
    pub local: Option<LocalBackend>,
    /// Nodes that are alive, this one included.
    pub alive: usize,
}

impl EndpointMap {
    /// Joins the configuration with the membership.
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
            service.compare_versions();
        }
        map.local = local_backend(state, agent);
        map
    }

    /// Back ends that the configuration names.
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
            self.add(&backend.service, endpoint, record, &backend.name);
        }
    }

    /// A back end that names itself.
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
        self.add(&reported.service, endpoint, record, &name);
    }

    fn add(
        &mut self,
        service: &ResourceName,
        endpoint: Endpoint,
        record: &MemberRecord,
        backend: &ResourceName,
    ) {
        let reported = record.endpoint.as_ref();
        let entry = self.services.entry(service.clone()).or_default();
        let target = Target {
            address: record.address,
            backend: backend.clone(),
            version: reported.and_then(|reported| reported.version.clone()),
            cold: Duration::from_millis(reported.map_or(0, |reported| reported.cold_ms)),
        };
        entry.targets.insert(endpoint.node.clone(), target);
        entry.endpoints.push(endpoint);
    }

    /// The endpoints of `service`, if any may get calls.
    pub fn service(&self, service: &ResourceName) -> Option<&ServiceEndpoints> {
        self.services.get(service)
    }

    /// Back ends that may get calls.
    pub fn count(&self) -> usize {
        self.services
            .values()
            .map(|service| service.endpoints.len())
            .sum()
    }

    /// Every node that may get calls, with the back end beside it.
    pub fn serving(&self) -> HashMap<NodeId, ResourceName> {
        self.services
            .values()
            .flat_map(|service| &service.targets)
            .map(|(node, target)| (node.clone(), target.backend.clone()))
            .collect()
    }
}

fn name_of(reported: &EndpointRecord) -> Option<ResourceName> {
    ResourceName::new(reported.instance.as_str()).ok()
}

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
