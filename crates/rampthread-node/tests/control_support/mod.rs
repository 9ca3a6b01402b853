//! Runs the control side of one node with a simulated store and simulated peers.

#![allow(dead_code)]

use async_trait::async_trait;
use rampthread_core::call::identity::IdentityKey;
use rampthread_core::config::{
    ConfigState, Destination, PathMatch, Repeatability, Resource, Route, default_priority,
    default_secret_header,
};
use rampthread_core::fleet::{
    AgentIdentity, Envelope, FleetSettings, LeaseId, Machine, Message, ZoneSnapshot, ZoneWrite,
};
use rampthread_core::ids::{NodeId, Region, ResourceName, Version, Zone};
use rampthread_node::control::{Control, ControlOptions, SourceOptions};
use rampthread_platform::{
    Directory, DirectoryRead, DocumentNews, DocumentRead, DocumentSource, OrdersRead,
    PlatformError, ReadAge, RecordedCrash, RecordedLeave, Revision, Transfer, ZoneWritten,
};
use rampthread_wire::{Codec, encode};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum time that a test waits for a condition.
pub const TIMEOUT: Duration = Duration::from_secs(10);
const PROCESS_EPOCH: u64 = 1_700_000_000_000_000;

fn name(text: &str) -> ResourceName {
    ResourceName::new(text).unwrap()
}

fn route(number: u32) -> Resource {
    Resource::Route(Route {
        name: name(&format!("route-{number}")),
        host: None,
        path: PathMatch::Prefix(format!("/{:x}/", number.wrapping_mul(2_654_435_761))),
        methods: Vec::new(),
        headers: Vec::new(),
        destinations: vec![Destination {
            service: name("shop"),
            weight: 1,
        }],
        timeout_ms: 1_000,
        repeatability: Repeatability::Never,
        secret: None,
        secret_header: default_secret_header(),
        max_attempts: 1,
        priority: default_priority(),
        target_latency_ms: None,
        public: false,
    })
}

/// A configuration version with the given number of routes.
pub fn document(version: u64, routes: u32) -> ConfigState {
    let shop = Resource::Service(rampthread_core::config::Service {
        name: name("shop"),
        retry_percent: 10,
        slow_start_ms: 0,
        connections: None,
    });
    let mut resources = vec![shop];
    resources.extend((0..routes).map(route));
    ConfigState::from_document(Version(version), resources, None).unwrap()
}

fn revision(document: &ConfigState) -> Revision {
    Revision {
        era: 0,
        count: document.version().0,
    }
}

/// A store whose reads of old data return one version and whose current reads return a
/// newer version.
pub struct Documents {
    pub old: ConfigState,
    pub current: ConfigState,
}

impl Documents {
    fn read_result(document: &ConfigState) -> DocumentRead {
        DocumentRead {
            document: Some(Ok(document.clone())),
            orders: OrdersRead::default(),
            at: revision(document),
            transfer: Transfer::default(),
        }
    }
}

#[async_trait]
impl DocumentSource for Documents {
    async fn read(&self, age: ReadAge, _timeout: Duration) -> Result<DocumentRead, PlatformError> {
        Ok(Self::read_result(match age {
            ReadAge::Current => &self.current,
            ReadAge::MayBeOld => &self.old,
        }))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        _timeout: Duration,
    ) -> Result<DocumentNews, PlatformError> {
        let at = revision(&self.current);
        if after < at {
            return Ok(DocumentNews::Changed {
                document: Ok(self.current.clone()),
                orders: OrdersRead::default(),
                at,
                transfer: Transfer::default(),
            });
        }
        async_std::task::sleep(wait).await;
        Ok(DocumentNews::Unchanged {
            orders: OrdersRead::default(),
            at,
        })
    }
}

/// A directory that always contains the same machines.
struct FixedDirectory {
    zone: Zone,
    snapshot: ZoneSnapshot,
}

#[async_trait]
impl Directory for FixedDirectory {
    async fn read(&self, _age: ReadAge) -> Result<DirectoryRead, PlatformError> {
        Ok(DirectoryRead {
            zones: [(self.zone.clone(), self.snapshot.clone())].into(),
            ..DirectoryRead::default()
        })
    }

    async fn write_zone(
        &self,
        _zone: &Zone,
        _write: &ZoneWrite,
        _ttl: Duration,
    ) -> Result<ZoneWritten, PlatformError> {
        Ok(ZoneWritten::Conflict(Some(self.snapshot.clone())))
    }

    async fn renew(&self, _lease: LeaseId) -> Result<bool, PlatformError> {
        Ok(true)
    }

    async fn record_leave(&self, _leave: &RecordedLeave) -> Result<(), PlatformError> {
        Ok(())
    }

    async fn record_crashes(
        &self,
        _crashes: &[RecordedCrash],
        _ttl: Duration,
    ) -> Result<(), PlatformError> {
        Ok(())
    }

    async fn forget_crashes(&self, _crashes: &[RecordedCrash]) -> Result<(), PlatformError> {
        Ok(())
    }
}

/// A simulated peer, which has an address and sends what the test tells it to.
pub struct Peer {
    id: NodeId,
    socket: UdpSocket,
}

impl Peer {
    pub fn new(number: usize) -> Self {
        Self {
            id: NodeId::new(&format!("peer-{number}")).unwrap(),
            socket: UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap(),
        }
    }

    /// A peer with a listener for connections at its address. The kernel chooses ports of
    /// datagrams and of connections apart, so another process may hold the one of both.
    pub fn with_listener(number: usize) -> (Self, TcpListener) {
        loop {
            let peer = Self::new(number);
            match TcpListener::bind(peer.address()) {
                Err(error) if error.kind() == ErrorKind::AddrInUse => {}
                listener => return (peer, listener.unwrap()),
            }
        }
    }

    /// Where the peer receives datagrams, and HTTP requests if a test listens there.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    fn machine(&self) -> Machine {
        machine(self.id.clone(), self.address())
    }

    /// Sends a message to a node as a datagram.
    pub fn send(&self, node: SocketAddr, message: Message) {
        let envelope = Envelope {
            from: self.id.clone(),
            process_epoch: PROCESS_EPOCH,
            message,
        };
        self.socket.send_to(&encode(&envelope), node).unwrap();
    }
}

fn zone() -> Zone {
    Zone::new("zone-a").unwrap()
}

fn region() -> Region {
    Region::new("region").unwrap()
}

fn machine(id: NodeId, address: SocketAddr) -> Machine {
    Machine {
        id,
        address,
        zone: zone(),
        region: region(),
        leaving: false,
        endpoint: None,
    }
}

/// Starts the control side of a node that finds `peers` in the directory.
pub fn start(documents: Documents, peers: &[Peer]) -> (Arc<Control>, SocketAddr) {
    let free = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let id = NodeId::new("under-test").unwrap();
    let mut machines: Vec<Machine> = peers.iter().map(Peer::machine).collect();
    machines.push(machine(id.clone(), address));
    let by_id = |machine: Machine| (machine.id.clone(), machine);
    let directory = FixedDirectory {
        zone: zone(),
        snapshot: ZoneSnapshot {
            members: machines.into_iter().map(by_id).collect(),
            revision: 1,
            lease: 1,
        },
    };
    let control = Control::start(ControlOptions {
        identity: AgentIdentity {
            id,
            address,
            zone: zone(),
            region: region(),
            process_epoch: PROCESS_EPOCH,
        },
        fleet: FleetSettings::for_documents(),
        seeds: Vec::new(),
        identity_key: IdentityKey::from_secret(b"secret"),
        codec: Codec::Plain,
        source: SourceOptions::Document {
            documents: Arc::new(documents),
            directory: Arc::new(directory),
            roll_outs: None,
            eras: Arc::default(),
        },
        seed: 1,
    });
    (control.unwrap(), address)
}

/// Waits until `holds` returns true, and returns how long that took.
pub fn wait_until(mut holds: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TIMEOUT, "not within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
    started.elapsed()
}
