//! In-memory agents connected by a lossless network, and small documents for them.

#![allow(dead_code)]

#[path = "../resources/mod.rs"]
mod resources;

pub use resources::{name, service};

use rampthread_core::config::{
    ConfigState, Destination, PathMatch, Repeatability, Resource, Route,
};
use rampthread_core::fleet::{
    Action, Agent, AgentIdentity, EndpointRecord, FleetSettings, Machine,
};
use rampthread_core::ids::{InstanceId, NodeId, Region, Version, Zone};
use rampthread_core::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

pub fn route(text: &str, host: &str, prefix: &str) -> Resource {
    Resource::Route(Route {
        name: name(text),
        host: Some(host.to_string()),
        path: PathMatch::Prefix(prefix.to_string()),
        methods: Vec::new(),
        headers: Vec::new(),
        destinations: vec![Destination {
            service: name("shop"),
            weight: 1,
        }],
        timeout_ms: 1_000,
        repeatability: Repeatability::Always,
        secret: None,
        secret_header: "authorization".to_string(),
        max_attempts: 2,
        priority: 1,
        target_latency_ms: Some(100),
        public: false,
    })
}

/// Returns a small valid document with this version.
pub fn document(version: u64) -> ConfigState {
    let resources = vec![service("shop"), route("r", "host", "/")];
    ConfigState::from_document(Version(version), resources, None).unwrap()
}

pub fn endpoint_record(instance: &str, sequence: u64, draining: bool) -> EndpointRecord {
    EndpointRecord {
        instance: InstanceId::new(instance).unwrap(),
        service: name("shop"),
        address: "127.0.0.1:80".parse().unwrap(),
        slots: 8,
        draining,
        sequence,
        cold_ms: 0,
        version: None,
        speed_percent: None,
    }
}

pub fn agent(id: &str, process_epoch: u64) -> Agent {
    let settings = FleetSettings::for_documents();
    let identity = AgentIdentity {
        id: NodeId::new(id).unwrap(),
        address: address(id),
        zone: Zone::new("zone").unwrap(),
        region: Region::new("region").unwrap(),
        process_epoch,
    };
    Agent::new(identity, settings, &[], 1, Moment(1))
}

pub fn address(id: &str) -> std::net::SocketAddr {
    let number: u8 = id.trim_start_matches("node-").parse().unwrap();
    std::net::SocketAddr::from(([127, 0, 0, 10 + number], 1))
}

pub fn machine(id: &str) -> Machine {
    Machine {
        id: NodeId::new(id).unwrap(),
        address: address(id),
        zone: Zone::new("zone").unwrap(),
        region: Region::new("region").unwrap(),
        leaving: false,
        endpoint: None,
    }
}

/// Returns true if the agent asks its driver to read the document from the store.
pub fn wants_document(actions: &[Action]) -> bool {
    let wants = |action: &Action| matches!(action, Action::ReadDocument);
    actions.iter().any(wants)
}

/// Agents whose messages arrive immediately, in order and without loss.
pub struct Mesh {
    pub agents: Vec<Agent>,
    pub now: Moment,
    /// Number of delivered messages by kind.
    sent: BTreeMap<&'static str, usize>,
}

impl Mesh {
    pub fn new(count: usize) -> Self {
        let ids: Vec<String> = (0..count).map(|index| format!("node-{index}")).collect();
        let machines: Vec<Machine> = ids.iter().map(|id| machine(id)).collect();
        let mut mesh = Self {
            agents: ids.iter().map(|id| agent(id, 1_000_000)).collect(),
            now: Moment(1),
            sent: BTreeMap::new(),
        };
        for index in 0..count {
            let now = mesh.now;
            let actions = mesh.agents[index].set_machines(&machines, now);
            mesh.deliver(actions);
        }
        mesh
    }

    /// Returns the number of delivered messages of a kind.
    pub fn sent(&self, kind: &str) -> usize {
        self.sent.get(kind).copied().unwrap_or(0)
    }

    /// Delivers the messages among `actions` and all messages sent in response. Returns the
    /// agents that ask to read the document from the store.
    pub fn deliver(&mut self, actions: Vec<Action>) -> Vec<usize> {
        let mut readers = Vec::new();
        let mut queue: std::collections::VecDeque<Action> = actions.into();
        while let Some(action) = queue.pop_front() {
            if let Action::Send { to, envelope, .. } = action {
                *self.sent.entry(envelope.message.kind()).or_default() += 1;
                let index: usize = to.as_str()["node-".len()..].parse().unwrap();
                let actions = self.agents[index].on_message(envelope, self.now);
                if wants_document(&actions) {
                    readers.push(index);
                }
                queue.extend(actions);
            }
        }
        readers
    }

    /// Advances the simulated time and ticks all agents.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(100);
            for index in 0..self.agents.len() {
                let now = self.now;
                let actions = self.agents[index].tick(now);
                self.deliver(actions);
            }
        }
    }

    /// Returns the backend of node `of` as known to node `at`.
    pub fn known_backend(&self, at: usize, of: usize) -> Option<EndpointRecord> {
        let id = NodeId::new(&format!("node-{of}")).unwrap();
        let record = self.agents[at].membership().record(&id)?;
        record.endpoint.clone()
    }
}
