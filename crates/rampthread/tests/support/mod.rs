//! Nodes as real processes; the platform and the back ends run in the test.
#![allow(dead_code)]

use async_std::task::block_on;
use rampthread_lab::fleet::{Fleet, FleetSpec, ServiceSpec};
use rampthread_node::api::StatusView;
use rustix::process::{Pid, Signal, kill_process};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_rampthread");
/// Waits are bounded by this and never decide a verdict by themselves.
pub const LIMIT: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(50);

pub struct ProcessFleet {
    pub fleet: Fleet,
    nodes: Vec<Option<Child>>,
    folder: PathBuf,
}

/// `count` back ends of one service, a node beside each, over `zones` zones.
pub fn one_service(count: usize, zones: usize) -> FleetSpec {
    FleetSpec {
        services: vec![ServiceSpec {
            name: "shop".to_string(),
            backends: count,
            slots: 10,
            connections: 100,
            mean_service: Duration::from_millis(2),
        }],
        zones_per_region: zones,
        extra_settings: "[fleet]\nclaim_life = \"1s\"\n[drain]\nnotice = \"300ms\"\n".to_string(),
        ..FleetSpec::bluebonnet()
    }
}

impl ProcessFleet {
    pub fn start(spec: FleetSpec) -> Self {
        let fleet = block_on(Fleet::prepare(spec)).unwrap();
        let folder = std::env::temp_dir().join(format!("rampthread-{:x}", rand_number()));
        std::fs::create_dir_all(&folder).unwrap();
        let nodes = fleet.members.iter().map(|_| None).collect();
        let mut processes = Self {
            fleet,
            nodes,
            folder,
        };
        for index in 0..processes.fleet.members.len() {
            processes.start_node(index);
        }
        processes
    }

    /// Starts all nodes and applies the services, routes and back ends.
    pub fn start_configured(spec: FleetSpec) -> Self {
        let processes = Self::start(spec);
        let text = processes.fleet.resource_file();
        processes.apply_until_accepted(0, &text, "first");
        processes.wait_until_everywhere(1);
        processes
    }

    pub fn start_node(&mut self, index: usize) {
        let settings = self.folder.join(format!("node-{index}.toml"));
        std::fs::write(&settings, &self.fleet.members[index].settings_text).unwrap();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("node-{index}.log")))
            .unwrap();
        let child = Command::new(PROGRAM)
            .args([
                "node",
                "--log-level",
                "debug",
                "--log-format",
                "json",
                "--settings",
            ])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.nodes[index] = Some(child);
    }

    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("node-{index}.log"))).unwrap_or_default()
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.nodes[index].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        let child = self.nodes[index].as_ref().unwrap();
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Waits for the planned end of a node and returns its exit code.
    pub fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        let mut child = self.nodes[index].take().unwrap();
        let begun = Instant::now();
        while begun.elapsed() < LIMIT {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(STEP);
        }
        child.kill().unwrap();
        child.wait().unwrap();
        None
    }

    pub fn api(&self, index: usize) -> SocketAddr {
        self.fleet.members[index].settings.listen.api
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        self.fleet.members[index].settings.listen.callers
    }

    /// Runs the command line against the API of a node.
    pub fn run(&self, index: usize, arguments: &[&str]) -> Output {
        let api = self.api(index).to_string();
        run(&[arguments, &["--api", &api]].concat())
    }

    pub fn write(&self, file: &str, text: &str) -> String {
        let path = self.folder.join(file);
        let mut out = std::fs::File::create(&path).unwrap();
        out.write_all(text.as_bytes()).unwrap();
        path.display().to_string()
    }

    pub fn apply(&self, index: usize, text: &str, operation: &str) -> Output {
        let file = self.write(&format!("{operation}.toml"), text);
        self.run(index, &["apply", "-f", &file, "--operation-id", operation])
    }

    /// Sends the same operation again until it is accepted.
    pub fn apply_until_accepted(&self, index: usize, text: &str, operation: &str) {
        wait(&format!("{operation} accepted"), || {
            self.apply(index, text, operation).status.code() == Some(0)
        });
    }

    pub fn status(&self, index: usize) -> Option<StatusView> {
        let output = self.run(index, &["status", "--json"]);
        serde_json::from_slice(&output.stdout).ok()
    }

    pub fn is_ready_at(&self, index: usize, version: u64) -> bool {
        self.status(index)
            .is_some_and(|status| status.ready && status.version.0 >= version)
    }

    /// Waits until every running node serves at least `version`.
    pub fn wait_until_everywhere(&self, version: u64) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_some() {
                wait(&format!("version {version} on node-{index}"), || {
                    self.is_ready_at(index, version)
                });
            }
        }
    }

    /// A running node that holds a reader's lease, by its own word.
    pub fn find_reader(&self) -> usize {
        let mut found = None;
        wait("a reader", || {
            found = (0..self.nodes.len()).find(|index| {
                self.nodes[*index].is_some()
                    && self.status(*index).is_some_and(|status| {
                        status
                            .members
                            .first()
                            .is_some_and(|me| me.conditions.reader)
                    })
            });
            found.is_some()
        });
        found.unwrap()
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for child in self.nodes.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

pub fn text(output: &Output) -> String {
    let both = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&both).to_string()
}

/// Waits until `test` holds; panics after a limit that is far above any need.
pub fn wait(what: &str, mut test: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !test() {
        assert!(begun.elapsed() < LIMIT, "not within {LIMIT:?}: {what}");
        std::thread::sleep(STEP);
    }
}

fn rand_number() -> u64 {
    uuid::Uuid::new_v4().as_u64_pair().0
}
