//! Nodes as processes on the stand-ins of the users' platform, each node on a
//! loopback address of its own.

#![allow(dead_code)]

#[path = "../node_processes/mod.rs"]
mod node_processes;

use async_std::task::block_on;
use node_processes::{LIMIT, NodeProcesses, wait};
use rampthread_adapter_standin::backend::Seen;
use rampthread_adapter_standin::{DocumentSpec, StandInBackend, StandInStore};
use rampthread_core::compression::decompress;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// The one service of these tests.
pub const SERVICE: &str = "shop";

/// Third byte of the next fleet's loopback addresses.
static NEXT_BLOCK: AtomicU8 = AtomicU8::new(1);

/// Time in which a node binds its ports, or ends.
const START_TIME: Duration = Duration::from_millis(200);

#[derive(Clone, Copy)]
struct Addresses {
    ip: IpAddr,
    callers: SocketAddr,
    peers: SocketAddr,
    api: SocketAddr,
    ready: SocketAddr,
    reports: SocketAddr,
}

pub struct PlatformFleet {
    pub store: StandInStore,
    pub backends: Vec<StandInBackend>,
    /// Where each node reaches the store, if not at its own address.
    store_proxies: Vec<SocketAddr>,
    /// Sections added to the settings of each node.
    more_settings: String,
    addresses: Vec<Addresses>,
    nodes: NodeProcesses,
}

/// Free ports of one address. They are held until the nodes start: a port that
/// was let go may be given to somebody else in between.
struct HeldPorts {
    ip: IpAddr,
    listeners: [TcpListener; 5],
}

impl HeldPorts {
    fn new(ip: IpAddr) -> Self {
        let listeners = std::array::from_fn(|_| TcpListener::bind(SocketAddr::new(ip, 0)).unwrap());
        Self { ip, listeners }
    }

    fn addresses(&self) -> Addresses {
        let [callers, peers, api, ready, reports] = self
            .listeners
            .each_ref()
            .map(|listener| listener.local_addr().unwrap());
        Addresses {
            ip: self.ip,
            callers,
            peers,
            api,
            ready,
            reports,
        }
    }
}

impl PlatformFleet {
    /// `count` nodes, each beside a back end of [`SERVICE`], all in service.
    pub fn start(count: usize, document: &DocumentSpec) -> Self {
        Self::start_between(count, document, |_, _| {})
    }

    /// Starts a fleet; `between` may put proxies in front of its parts before
    /// any node runs.
    pub fn start_between(
        count: usize,
        document: &DocumentSpec,
        between: impl FnOnce(&mut Self, &[IpAddr]),
    ) -> Self {
        let fleet = Self::start_unacquainted(count, document, between);
        fleet.wait("every back end known everywhere", Self::all_known);
        fleet
    }

    /// Starts a fleet and returns as soon as every node serves, though they may not know each
    /// other yet.
    pub fn start_unacquainted(
        count: usize,
        document: &DocumentSpec,
        between: impl FnOnce(&mut Self, &[IpAddr]),
    ) -> Self {
        let store = StandInStore::start(IpAddr::V4(Ipv4Addr::LOCALHOST)).unwrap();
        // Fleets of other tests choose free ports at the same time, in this process and
        // in others: each fleet has loopback addresses of its own.
        let block = NEXT_BLOCK.fetch_add(1, Ordering::Relaxed);
        let process = (1 + std::process::id() % 250) as u8;
        let held: Vec<HeldPorts> = (0..count)
            .map(|index| {
                let ip = IpAddr::V4(Ipv4Addr::new(127, process, block, 2 + index as u8));
                HeldPorts::new(ip)
            })
            .collect();
        let addresses: Vec<Addresses> = held.iter().map(HeldPorts::addresses).collect();
        let backends = addresses
            .iter()
            .enumerate()
            .map(|(index, node)| {
                StandInBackend::start(node.ip, SERVICE, &format!("i-{index}")).unwrap()
            })
            .collect();
        let mut fleet = Self {
            store,
            backends,
            store_proxies: Vec::new(),
            more_settings: String::new(),
            addresses,
            nodes: NodeProcesses::new(count),
        };
        let ips: Vec<IpAddr> = fleet.addresses.iter().map(|node| node.ip).collect();
        between(&mut fleet, &ips);
        fleet.write(document);
        drop(held);
        for index in 0..count {
            fleet.start_node(index);
        }
        fleet.start_again_without_port();
        fleet.wait_until_ready();
        for index in 0..count {
            assert!(fleet.heartbeat(index, "ready", 1));
        }
        fleet
    }

    /// Waits until every node serves.
    pub fn wait_until_ready(&self) {
        self.wait("every node ready", |fleet| {
            (0..fleet.nodes.count()).all(|index| fleet.readiness(index) == 200)
        });
    }

    /// Node `index` reaches the store at `address`; for the next node in order.
    pub fn reach_store_at(&mut self, address: SocketAddr) {
        self.store_proxies.push(address);
    }

    /// Adds sections to the settings of the nodes that start from now on.
    pub fn add_settings(&mut self, sections: &str) {
        self.more_settings.push_str(sections);
    }

    /// Starts those nodes again, once, that lost their port to a passing holder.
    fn start_again_without_port(&mut self) {
        std::thread::sleep(START_TIME);
        for index in 0..self.nodes.count() {
            if self.nodes.lost_its_port(index) {
                self.start_node(index);
            }
        }
    }

    /// Every node offers work to every back end.
    fn all_known(&self) -> bool {
        let question = "GET /metrics HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
        let wanted = format!("rampthread_endpoints {}\n", self.nodes.count());
        self.addresses
            .iter()
            .all(|node| exchange(node.api, question).is_some_and(|answer| answer.contains(&wanted)))
    }

    pub fn start_node(&mut self, index: usize) {
        let settings = self.settings(index);
        self.nodes.start(index, &settings);
    }

    /// Starts a node whose logs nobody reads.
    pub fn start_node_unread(&mut self, index: usize) {
        let settings = self.settings(index);
        self.nodes.start_unread(index, &settings);
    }

    fn settings(&self, index: usize) -> String {
        let node = &self.addresses[index];
        let proxy = self.store_proxies.get(index);
        let store = proxy.copied().unwrap_or(self.store.address);
        format!(
            r#"
[node]
id = "node-{index}"
zone = "zone"
region = "region"
service = "{SERVICE}"
[listen]
callers = "{}"
peers = "{}"
api = "{}"
ready = "{}"
reports = "{}"
[platform]
configuration = "document"
store = "{}"
wait = "1s"
[retries]
ratio = 0.2
slack = 60
window = "10s"
[drain]
notice = "2200ms"
last_work = "1300ms"
total = "6s"
{}
"#,
            node.callers, node.peers, node.api, node.ready, node.reports, store, self.more_settings
        )
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes.kill(index);
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        self.nodes.signal(index, signal);
    }

    /// Stops a node's process; returns once no thread of it runs any more.
    pub fn hold_up(&self, index: usize) {
        self.nodes.hold_up(index);
    }

    /// What a node has written to its log so far.
    pub fn log(&self, index: usize) -> String {
        self.nodes.log(index)
    }

    /// True when the process of a node has ended by itself.
    pub fn has_ended(&mut self, index: usize) -> bool {
        self.nodes.has_ended(index)
    }

    /// The exit code of a node whose process has ended by itself.
    pub fn exit_code(&mut self, index: usize) -> Option<Option<i32>> {
        self.nodes.exit_code(index)
    }

    /// Waits for the planned end of a node and returns its exit code.
    pub fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        self.nodes.wait_for_exit(index)
    }

    pub fn write(&self, document: &DocumentSpec) {
        self.store.write("op/config", &document.to_json());
    }

    /// Where callers reach each node.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|node| node.callers).collect()
    }

    /// Where other nodes reach a node.
    pub fn peers(&self, index: usize) -> SocketAddr {
        self.addresses[index].peers
    }

    /// Where the back end beside a node sends its reports.
    pub fn reports(&self, index: usize) -> SocketAddr {
        self.addresses[index].reports
    }

    /// Where the platform asks whether a node is ready.
    pub fn ready_address(&self, index: usize) -> SocketAddr {
        self.addresses[index].ready
    }

    pub fn ip(&self, index: usize) -> IpAddr {
        self.addresses[index].ip
    }

    pub fn heartbeat(&self, index: usize, state: &str, sequence: u64) -> bool {
        let reports = self.addresses[index].reports;
        block_on(self.backends[index].heartbeat(reports, state, sequence))
    }

    pub fn deregister(&self, index: usize) -> bool {
        block_on(self.backends[index].deregister(self.addresses[index].reports))
    }

    /// A leave that names the start of its sender, which may be an earlier one.
    pub fn deregister_as(&self, index: usize, born_ms: u64) -> bool {
        let reports = self.addresses[index].reports;
        block_on(self.backends[index].deregister_as(reports, born_ms))
    }

    /// What reached any back end under this id.
    pub fn seen(&self, request_id: &str) -> Vec<Seen> {
        self.backends
            .iter()
            .flat_map(StandInBackend::seen)
            .filter(|seen| seen.request_id == request_id)
            .collect()
    }

    /// What the listener for other nodes answers.
    pub fn ask_gate(&self, node: usize, question: &str) -> String {
        exchange(self.addresses[node].peers, question).unwrap_or_default()
    }

    /// Asks the operator API of a node and returns the whole answer.
    pub fn api(&self, index: usize, method: &str, path: &str) -> String {
        let question = format!("{method} {path} HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n");
        exchange(self.addresses[index].api, &question).unwrap_or_default()
    }

    /// Where the operator API of a node listens.
    pub fn api_address(&self, index: usize) -> SocketAddr {
        self.addresses[index].api
    }

    /// Sends a request on a new connection and reads the whole answer.
    pub fn call(&self, index: usize, request: &str) -> String {
        exchange(self.addresses[index].callers, request).unwrap_or_default()
    }

    /// Sends a request and leaves before the answer.
    pub fn call_and_leave(&self, index: usize, request: &str) {
        let mut stream = TcpStream::connect(self.addresses[index].callers).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(300));
    }

    /// True when the snapshot of some zone in the directory contains `text`.
    pub fn directory_tells(&self, text: &str) -> bool {
        let keys = self.store.keys("rampthread/members/~zone/").into_iter();
        keys.filter_map(|key| self.store.value(&key)).any(|value| {
            let content = decompress(&value).expect("a snapshot is compressed");
            String::from_utf8_lossy(&content).contains(text)
        })
    }

    /// Status that the platform's question gets; 0 when there is no answer.
    pub fn readiness(&self, index: usize) -> u16 {
        let question = "GET /v1/ready HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
        exchange(self.addresses[index].ready, question).map_or(0, |answer| status_of(&answer))
    }

    /// One number of a node's metrics; 0 when it is not there.
    pub fn metric(&self, index: usize, name: &str) -> u64 {
        let question = "GET /metrics HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
        let answer = exchange(self.addresses[index].api, question).unwrap_or_default();
        let line = answer.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|number| number.trim().parse().ok())
            .unwrap_or(0)
    }

    /// Waits until `test` holds; panics after a limit far above any need.
    pub fn wait(&self, what: &str, mut test: impl FnMut(&Self) -> bool) {
        wait(what, || test(self));
    }
}

/// A request of a client of the platform.
pub fn request(
    method: &str,
    path: &str,
    request_id: &str,
    deadline_ms: Option<u64>,
    body: &str,
) -> String {
    let deadline = deadline_ms.map_or(String::new(), |left| {
        format!("x-rampthread-deadline: {left}\r\n")
    });
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\n\
         x-rampthread-request-id: {request_id}\r\n{deadline}content-length: {length}\r\n\
         connection: close\r\n\r\n{body}"
    )
}

/// Status code of an answer; 0 when there is none.
pub fn status_of(answer: &str) -> u16 {
    let status = answer.split(' ').nth(1);
    status.and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Sends bytes and reads until the other side closes.
pub fn exchange(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(LIMIT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    Some(String::from_utf8_lossy(&answer).to_string())
}

/// Seconds in the `Retry-After` header of an answer; 0 when there is none.
pub fn retry_after(answer: &str) -> f64 {
    let line = answer
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    line.and_then(|wait| wait.trim().parse().ok())
        .unwrap_or(0.0)
}

/// Calls `send` with 0, 1, ... at a steady rate, on several threads, and returns the results.
pub fn send_steadily<T: Send>(
    rate: f64,
    time: Duration,
    send: impl Fn(usize) -> T + Sync,
) -> Vec<T> {
    const SENDERS: usize = 6;
    let begin = Instant::now();
    let count = (rate * time.as_secs_f64()) as usize;
    std::thread::scope(|scope| {
        let start = |sender: usize| {
            let send = &send;
            scope.spawn(move || {
                let due = |number: usize| begin + Duration::from_secs_f64(number as f64 / rate);
                let numbers = (sender..count).step_by(SENDERS);
                let results = numbers.map(|number| {
                    std::thread::sleep(due(number).saturating_duration_since(Instant::now()));
                    send(number)
                });
                results.collect::<Vec<T>>()
            })
        };
        let senders: Vec<_> = (0..SENDERS).map(start).collect();
        let joined = senders
            .into_iter()
            .flat_map(|sender| sender.join().unwrap());
        joined.collect()
    })
}
