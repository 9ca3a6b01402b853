//! A whole fleet on loopback in one process: stand-ins and real nodes.

use crate::standins::backend::{BackendBehaviour, BackendStandIn};
use crate::standins::machines::MachinesStandIn;
use crate::standins::store::StoreStandIn;
use async_std::net::TcpListener;
use async_std::task::JoinHandle;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rampthread_core::fleet::Machine;
use rampthread_core::ids::{InvalidName, NodeId, Region, Zone};
use rampthread_http::{ShutdownHandle, bind};
use rampthread_node::calls::entry::EntryMode;
use rampthread_node::control::Control;
use rampthread_node::settings::load_text;
use rampthread_node::{Node, NodeError, NodeSettings};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Ports on every address of a block.
const CALLERS_PORT: u16 = 7_000;
const PEERS_PORT: u16 = 7_001;
const API_PORT: u16 = 7_002;
const BACKEND_PORT: u16 = 8_000;
const STORE_PORT: u16 = 8_001;
const MACHINES_PORT: u16 = 8_002;
const GUARD_PORT: u16 = 6_999;
/// Nodes for which a block has addresses.
const MAX_NODES: usize = 1_000;
const NODES_PER_OCTET: usize = 250;
const CLAIM_TRIES: usize = 100;

/// Why a fleet did not start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// No block of loopback addresses is free.
    #[error("no free block of loopback addresses")]
    NoBlock,
    /// A listener cannot be bound.
    #[error("cannot bind {0}: {1}")]
    Bind(SocketAddr, std::io::Error),
    /// A node did not start.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// A generated name is none.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// Generated settings do not hold.
    #[error("settings: {0}")]
    Settings(#[from] rampthread_core::findings::Findings),
    /// A change was not accepted.
    #[error("change not accepted: {0}")]
    Change(String),
    /// Something did not happen in time.
    #[error("not within {0:?}: {1}")]
    Timeout(Duration, String),
}

/// Loopback addresses that no other fleet on this machine uses.
#[derive(Debug)]
pub struct LoopbackBlock {
    high: u8,
    middle: u8,
    _guard: std::net::TcpListener,
}

impl LoopbackBlock {
    /// Claims a free block.
    pub fn claim() -> Result<Self, FleetError> {
        for _ in 0..CLAIM_TRIES {
            let high = rand::random_range(10..=250);
            let middle = rand::random_range(0..=250);
            let guard = SocketAddr::from(([127, high, middle, 1], GUARD_PORT));
            if let Ok(listener) = std::net::TcpListener::bind(guard) {
                return Ok(Self {
                    high,
                    middle,
                    _guard: listener,
                });
            }
        }
        Err(FleetError::NoBlock)
    }

    /// Address number `index`; 0 is the platform's.
    pub fn ip(&self, index: usize) -> IpAddr {
        let octet = (index % NODES_PER_OCTET) as u8 + 2;
        let step = (index / NODES_PER_OCTET) as u8;
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.high,
            self.middle.wrapping_add(step),
            octet,
        ))
    }
}

/// One service of a fleet.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Its back ends, each with a node.
    pub backends: usize,
    /// Slots of each.
    pub slots: u32,
    /// Connections of each.
    pub connections: u32,
    /// Mean service time.
    pub mean_service: Duration,
}

/// What a fleet consists of.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// Services with real nodes and back ends.
    pub services: Vec<ServiceSpec>,
    /// Regions.
    pub regions: usize,
    /// Zones of each region.
    pub zones_per_region: usize,
    /// Lines added to each node's settings, such as `[fleet]` and its keys.
    pub extra_settings: String,
    /// How calls are placed.
    pub mode: EntryMode,
}

impl FleetSpec {
    /// Bluebonnet of the brief: three services of four back ends in four halls.
    pub fn bluebonnet() -> Self {
        let service = |name: &str| ServiceSpec {
            name: name.to_string(),
            backends: 4,
            slots: 20,
            connections: 130,
            mean_service: Duration::from_millis(2),
        };
        Self {
            services: ["embed", "ledger", "glyphstore"].map(service).to_vec(),
            regions: 1,
            zones_per_region: 4,
            extra_settings: String::new(),
            mode: EntryMode::default(),
        }
    }
}

/// One node of a fleet.
pub struct Member {
    /// Its settings.
    pub settings: NodeSettings,
    /// The same as a settings file.
    pub settings_text: String,
    /// Its back end.
    pub backend: BackendMember,
    /// Its service.
    pub service: String,
    /// The running node; none while it is down.
    pub running: Option<Arc<Node>>,
}

/// A back end of a fleet.
pub struct BackendMember {
    /// Its name in the configuration.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The stand-in.
    pub standin: BackendStandIn,
    stop: ShutdownHandle,
}

/// A fleet with its platform.
pub struct Fleet {
    /// The store.
    pub store: StoreStandIn,
    /// The machine list.
    pub machines: MachinesStandIn,
    /// The nodes.
    pub members: Vec<Member>,
    spec: FleetSpec,
    block: LoopbackBlock,
    _platform: Vec<JoinHandle<()>>,
}

/// The fleet key of demos and tests; its bytes are public.
pub fn demo_key() -> String {
    STANDARD.encode([7_u8; 32])
}

fn listener(address: SocketAddr) -> Result<TcpListener, FleetError> {
    bind(address).map_err(|error| FleetError::Bind(address, error))
}

impl Fleet {
    /// Starts the platform, the back ends and all nodes.
    pub async fn start(spec: FleetSpec) -> Result<Self, FleetError> {
        let mut fleet = Self::prepare(spec).await?;
        for index in 0..fleet.members.len() {
            fleet.start_member(index).await?;
        }
        Ok(fleet)
    }

    /// Starts the platform and the back ends only; the nodes are somebody
    /// else's, such as processes of a test.
    pub async fn prepare(spec: FleetSpec) -> Result<Self, FleetError> {
        let block = LoopbackBlock::claim()?;
        let store = StoreStandIn::default();
        let machines = MachinesStandIn::default();
        let platform = block.ip(0);
        let store_listener = listener(SocketAddr::new(platform, STORE_PORT))?;
        let machine_listener = listener(SocketAddr::new(platform, MACHINES_PORT))?;
        let tasks = vec![
            async_std::task::spawn(store.clone().serve(store_listener)),
            async_std::task::spawn(machines.clone().serve(machine_listener)),
        ];
        let mut fleet = Self {
            store,
            machines,
            members: Vec::new(),
            spec,
            block,
            _platform: tasks,
        };
        fleet.lay_out()?;
        Ok(fleet)
    }

    fn lay_out(&mut self) -> Result<(), FleetError> {
        let spec = self.spec.clone();
        for service in &spec.services {
            for number in 0..service.backends {
                let backend = self.start_backend(service, number)?;
                self.add_member(&service.name, backend)?;
            }
        }
        assert!(
            self.members.len() <= MAX_NODES,
            "a block has 1,000 addresses"
        );
        Ok(())
    }

    fn start_backend(
        &self,
        service: &ServiceSpec,
        number: usize,
    ) -> Result<BackendMember, FleetError> {
        let address = SocketAddr::new(self.block.ip(self.members.len() + 1), BACKEND_PORT);
        let standin = BackendStandIn::new(BackendBehaviour {
            service: service.name.clone(),
            slots: service.slots,
            mean_service_us: service.mean_service.as_micros() as u64,
            ..BackendBehaviour::default()
        });
        let stop = ShutdownHandle::default();
        let serving = standin.clone().serve(listener(address)?, stop.clone());
        async_std::task::spawn(serving);
        Ok(BackendMember {
            name: format!("{}-{number}", service.name),
            address,
            standin,
            stop,
        })
    }

    fn add_member(&mut self, service: &str, backend: BackendMember) -> Result<(), FleetError> {
        let index = self.members.len();
        let zones = self.spec.regions * self.spec.zones_per_region;
        let zone_number = index % zones;
        let ip = self.block.ip(index + 1);
        let platform = self.block.ip(0);
        let text = format!(
            "[node]\nid = \"node-{index}\"\nzone = \"zone-{zone_number}\"\nregion = \"region-{}\"\n\
             [listen]\ncallers = \"{ip}:{CALLERS_PORT}\"\npeers = \"{ip}:{PEERS_PORT}\"\n\
             api = \"{ip}:{API_PORT}\"\n\
             [platform]\nstore = \"{platform}:{STORE_PORT}\"\n\
             machines = \"{platform}:{MACHINES_PORT}\"\n\
             [keys]\ncurrent = \"{}\"\n{}\n",
            zone_number / self.spec.zones_per_region,
            demo_key(),
            self.spec.extra_settings,
        );
        let settings = load_text("fleet", &text, &Vec::new())?;
        self.machines.put(Machine {
            id: settings.node.id.clone(),
            address: settings.listen.peers,
            zone: settings.node.zone.clone(),
            region: settings.node.region.clone(),
            leaving: false,
            endpoint: None,
        });
        self.members.push(Member {
            settings,
            settings_text: text,
            backend,
            service: service.to_string(),
            running: None,
        });
        Ok(())
    }

    /// Starts a node that is down; it remembers nothing.
    pub async fn start_member(&mut self, index: usize) -> Result<(), FleetError> {
        let member = &self.members[index];
        let settings = member.settings.clone();
        let node = Node::start_with(settings, None, self.spec.mode).await?;
        self.members[index].running = Some(node);
        Ok(())
    }

    /// Ends a node at once, without a farewell.
    pub async fn kill_member(&mut self, index: usize) {
        if let Some(node) = self.members[index].running.take() {
            node.kill().await;
        }
    }

    /// Ends everything.
    pub async fn stop(mut self) {
        for index in 0..self.members.len() {
            self.kill_member(index).await;
        }
        for member in &self.members {
            let backend = &member.backend;
            backend.stop.start();
        }
        for task in std::mem::take(&mut self._platform) {
            task.cancel().await;
        }
    }

    /// Where callers reach the real nodes that run.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.members
            .iter()
            .filter(|member| member.running.is_some())
            .map(|member| member.settings.listen.callers)
            .collect()
    }

    /// The control sides of all nodes that run.
    pub fn controls(&self) -> Vec<Arc<Control>> {
        self.members
            .iter()
            .filter_map(|member| member.running.as_ref())
            .map(|node| node.control.clone())
            .collect()
    }

    /// A resource file for all services, a route each, a secret, all back ends.
    pub fn resource_file(&self) -> String {
        let mut text =
            String::from("[[secret]]\nname = \"token\"\nvalue = \"demo-secret-value\"\n\n");
        for service in &self.spec.services {
            let name = &service.name;
            text.push_str(&format!(
                "[[service]]\nname = \"{name}\"\n\n[[route]]\nname = \"{name}\"\n\
                 path = {{ prefix = \"/{name}\" }}\ndestinations = [{{ service = \"{name}\" }}]\n\
                 timeout_ms = 2000\nsecret = \"token\"\n\n"
            ));
        }
        for member in &self.members {
            text.push_str(&self.backend_text(member));
        }
        text
    }

    fn backend_text(&self, member: &Member) -> String {
        let node = &member.settings.node;
        let spec = self
            .spec
            .services
            .iter()
            .find(|spec| spec.name == member.service);
        let (name, address) = (&member.backend.name, member.backend.address);
        format!(
            "[[backend]]\nname = \"{name}\"\nservice = \"{}\"\nnode = \"{}\"\naddress = \"{address}\"\n\
             zone = \"{}\"\nregion = \"{}\"\nslots = {}\nconnections = {}\n\n",
            member.service,
            node.id,
            node.zone,
            node.region,
            spec.map_or(1, |spec| spec.slots),
            spec.map_or(1, |spec| spec.connections),
        )
    }

    /// Waits until `test` holds for every control side that runs.
    pub async fn wait_for_all(
        &self,
        limit: Duration,
        what: &str,
        test: impl Fn(&Control) -> bool,
    ) -> Result<Duration, FleetError> {
        let begun = Instant::now();
        let controls = self.controls();
        loop {
            if controls.iter().all(|control| test(control)) {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > limit {
                return Err(FleetError::Timeout(limit, what.to_string()));
            }
            async_std::task::sleep(Duration::from_millis(2)).await;
        }
    }

    /// The id of a member.
    pub fn id(&self, index: usize) -> &NodeId {
        &self.members[index].settings.node.id
    }

    /// The zone of a member.
    pub fn zone(&self, index: usize) -> &Zone {
        &self.members[index].settings.node.zone
    }

    /// The region of a member.
    pub fn region(&self, index: usize) -> &Region {
        &self.members[index].settings.node.region
    }
}
