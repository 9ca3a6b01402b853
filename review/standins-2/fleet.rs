//! Nodes as processes, started with the command of the deploy file and settings filled in as
//! platform/settings.toml.template has them for a small deployment.

use crate::record::Record;
use crate::wire::ask;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;

const PEERS: u16 = 7620;
const API: u16 = 7635;
const APP: u16 = 8301;
const READY: u16 = 8302;
const CALLERS: u16 = 8304;
const REPORTS: u16 = 8306;

/// Bounds of the site bbtf-edge.
const RETRY_SLACK: u32 = 62;

pub struct NodeSpec {
    pub zone: &'static str,
    pub service: String,
}

struct Node {
    ip: IpAddr,
    zone: String,
    service: String,
    child: Option<Child>,
    starts: u32,
}

pub struct Fleet {
    record: Record,
    program: PathBuf,
    folder: PathBuf,
    store: SocketAddr,
    nodes: Vec<Node>,
}

impl Fleet {
    /// A fleet that is not started yet, on loopback addresses whose ports are free.
    pub fn new(record: &Record, store: SocketAddr, specs: Vec<NodeSpec>) -> Fleet {
        let root = repository();
        let folder = std::env::temp_dir().join(format!("rampthread-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let ips = free_addresses(specs.len());
        let nodes = specs.into_iter().zip(ips).map(|(spec, ip)| Node {
            ip,
            zone: spec.zone.to_string(),
            service: spec.service,
            child: None,
            starts: 0,
        });
        Fleet {
            record: record.clone(),
            program: root.join("target/release/rampthread"),
            folder,
            store,
            nodes: nodes.collect(),
        }
    }

    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    fn at(&self, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.nodes[index].ip, port)
    }

    pub fn app(&self, index: usize) -> SocketAddr {
        self.at(index, APP)
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        self.at(index, CALLERS)
    }

    pub fn reports(&self, index: usize) -> SocketAddr {
        self.at(index, REPORTS)
    }

    pub fn zone(&self, index: usize) -> String {
        self.nodes[index].zone.clone()
    }

    pub fn service(&self, index: usize) -> String {
        self.nodes[index].service.clone()
    }

    /// Starts one node. Only the main thread may do so: a node ends with the thread that
    /// started it.
    pub fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.starts += 1;
        let (ip, zone, service, store) = (node.ip, &node.zone, &node.service, self.store);
        let settings = format!(
            "[node]\nid = \"sidecar-{zone}-{index}\"\nzone = \"{zone}\"\nregion = \"tx-central\"\n\
             service = \"{service}\"\n[listen]\ncallers = \"{ip}:{CALLERS}\"\npeers = \"{ip}:{PEERS}\"\n\
             api = \"{ip}:{API}\"\nready = \"{ip}:{READY}\"\nreports = \"{ip}:{REPORTS}\"\n\
             [platform]\nconfiguration = \"document\"\nstore = \"{store}\"\nwait = \"1s\"\n\
             [retries]\nratio = 0.2\nslack = {RETRY_SLACK}\nwindow = \"10s\"\n\
             [backend]\ndrain_limit = \"2000ms\"\nheartbeat = \"1500ms\"\n\
             [drain]\nnotice = \"2200ms\"\nlast_work = \"1700ms\"\ntotal = \"6s\"\n"
        );
        let file = self.folder.join(format!("node-{index}.toml"));
        std::fs::write(&file, settings).expect("a settings file");
        let log = self
            .folder
            .join(format!("node-{index}-start-{}.log", node.starts));
        let log = std::fs::File::create(log).expect("a log file");
        let mut command = Command::new(&self.program);
        command
            .args(["node", "--settings"])
            .arg(&file)
            .args(["--log-format", "json"]);
        command.env_clear().env("RAMPTHREAD_CONFIG", &file);
        command.stdin(Stdio::null());
        command
            .stdout(log.try_clone().expect("a second handle of the log"))
            .stderr(log);
        // The node ends with the case, also if the case is ended from outside.
        unsafe {
            std::os::unix::process::CommandExt::pre_exec(&mut command, || {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
                Ok(())
            });
        }
        node.child = Some(command.spawn().expect("target/release/rampthread starts"));
        self.record
            .note(format!("node {index} started, time {}", node.starts));
    }

    pub fn start_all(&mut self) {
        (0..self.count()).for_each(|index| self.start(index));
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let asked = ask(self.at(index, READY), "GET", "/v1/ready", "");
        asked.is_ok_and(|(status, _)| status == 200)
    }

    /// One number of a node's metrics.
    pub fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let (_, text) = ask(self.at(index, API), "GET", "/metrics", "").ok()?;
        let text = String::from_utf8_lossy(&text).to_string();
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
        value.trim().parse().ok()
    }

    /// Waits until every node is ready and knows all back ends; false after `limit`.
    pub fn wait_until_known(&self, backends: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let known = |index| {
            self.is_ready(index)
                && self.metric(index, "rampthread_endpoints") == Some(backends as f64)
        };
        while !(0..self.count()).all(known) {
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        true
    }

    /// Ends a node's process at once and waits for its end.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.nodes[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.count()).for_each(|index| self.kill(index));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Loopback addresses, one a node, on which all ports of a node are free.
fn free_addresses(count: usize) -> Vec<IpAddr> {
    let process = std::process::id();
    for attempt in 0..200u32 {
        let block = process.wrapping_mul(7).wrapping_add(attempt);
        let (second, third) = (64 + block % 128, (block / 128) % 250);
        let ips: Vec<IpAddr> = (0..count)
            .map(|index| {
                IpAddr::V4(Ipv4Addr::new(
                    127,
                    second as u8,
                    third as u8,
                    10 + index as u8,
                ))
            })
            .collect();
        let free = |ip: &IpAddr| {
            let mut tcp = [PEERS, API, APP, READY, CALLERS, REPORTS].iter();
            tcp.all(|port| TcpListener::bind((*ip, *port)).is_ok())
                && UdpSocket::bind((*ip, PEERS)).is_ok()
        };
        if ips.iter().all(free) {
            return ips;
        }
    }
    panic!("no free loopback addresses");
}

/// The root of the repository: the folder above `target/review-2/`, where the stand-ins are
/// built.
fn repository() -> PathBuf {
    let program = std::env::current_exe().expect("the path of the stand-ins");
    program
        .ancestors()
        .nth(3)
        .expect("target/review-2/ stands in the repository")
        .to_path_buf()
}
