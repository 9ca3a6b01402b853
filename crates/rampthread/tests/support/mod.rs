//! Nodes as real processes; the platform and the back ends run in the test.
#![allow(dead_code)]

#[path = "../node_processes/mod.rs"]
mod node_processes;

use async_std::task::block_on;
#[allow(unused_imports)]
pub use node_processes::{LIMIT, wait};
use node_processes::{NodeProcesses, PROGRAM};
use rampthread_lab::fleet::{Fleet, FleetSpec, ServiceSpec};
use rampthread_node::api::StatusView;
use rustix::process::Signal;
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::Duration;

pub struct ProcessFleet {
    pub fleet: Fleet,
    nodes: NodeProcesses,
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
        let nodes = NodeProcesses::new(fleet.members.len());
        let mut processes = Self { fleet, nodes };
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
        let settings = &self.fleet.members[index].settings_text;
        self.nodes.start(index, settings);
    }

    pub fn log(&self, index: usize) -> String {
        self.nodes.log(index)
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes.kill(index);
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        self.nodes.signal(index, signal);
    }

    /// Waits for the planned end of a node and returns its exit code.
    pub fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        self.nodes.wait_for_exit(index)
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
        let path = self.nodes.folder.join(file);
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
        for index in 0..self.nodes.count() {
            if self.nodes.is_running(index) {
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
            found = (0..self.nodes.count()).find(|index| {
                self.nodes.is_running(*index)
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

pub fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

pub fn text(output: &Output) -> String {
    let both = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&both).to_string()
}
