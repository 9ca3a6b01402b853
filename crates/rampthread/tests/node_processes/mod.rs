//! Nodes as child processes: started from a settings text, ended by signals,
//! their logs kept in a folder of their own until a test passes.

#![allow(dead_code)]

use rustix::process::{Pid, Signal, kill_process};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_rampthread");
/// Waits are bounded by this and never decide a verdict by themselves.
pub const LIMIT: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(50);

pub struct NodeProcesses {
    children: Vec<Option<Child>>,
    pub folder: PathBuf,
}

impl NodeProcesses {
    /// Room for `count` nodes, none of them started.
    pub fn new(count: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("rampthread-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder).unwrap();
        Self {
            children: (0..count).map(|_| None).collect(),
            folder,
        }
    }

    pub fn count(&self) -> usize {
        self.children.len()
    }

    pub fn is_running(&self, index: usize) -> bool {
        self.children[index].is_some()
    }

    pub fn start(&mut self, index: usize, settings: &str) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path(index))
            .unwrap();
        let output = Stdio::from(log.try_clone().unwrap());
        self.spawn(index, settings, "debug", output, Stdio::from(log));
    }

    /// Starts a node that logs everything to a pipe that nobody reads.
    pub fn start_unread(&mut self, index: usize, settings: &str) {
        self.spawn(index, settings, "trace", Stdio::piped(), Stdio::null());
    }

    fn spawn(&mut self, index: usize, settings: &str, level: &str, output: Stdio, errors: Stdio) {
        let path = self.folder.join(format!("node-{index}.toml"));
        std::fs::write(&path, settings).unwrap();
        let child = Command::new(PROGRAM)
            .args(["node", "--log-level", level, "--log-format", "json"])
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap();
        self.children[index] = Some(child);
    }

    fn log_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("node-{index}.log"))
    }

    /// True when the process ended by itself since its port was taken. Another
    /// test that starts a process at the same moment holds our listeners for as
    /// long as its child has not begun its program.
    pub fn lost_its_port(&mut self, index: usize) -> bool {
        let child = self.children[index].as_mut();
        let ended = child.is_some_and(|child| child.try_wait().unwrap().is_some());
        ended && self.log(index).contains("Address already in use")
    }

    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(self.log_path(index)).unwrap_or_default()
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        let child = self.children[index].as_ref().unwrap();
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Stops a node's process; returns once no thread of it runs any more. The signal
    /// alone returns while they still do.
    pub fn hold_up(&self, index: usize) {
        self.signal(index, Signal::STOP);
        let process = self.children[index].as_ref().unwrap().id();
        let threads = format!("/proc/{process}/task");
        wait("every thread stopped", || {
            let threads = std::fs::read_dir(&threads).unwrap();
            threads.flatten().all(|thread| {
                let state = std::fs::read_to_string(thread.path().join("stat"));
                // The state follows the name, which is in brackets.
                state.is_ok_and(|text| text.contains(") T "))
            })
        });
    }

    /// True when the process of a node has ended by itself; it is forgotten then.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let child = self.children[index].as_mut();
        let ended = child.is_none_or(|child| child.try_wait().unwrap().is_some());
        if ended {
            self.children[index] = None;
        }
        ended
    }

    /// The exit code of a process that has ended by itself, none for one that a signal
    /// ended; it is forgotten then.
    pub fn exit_code(&mut self, index: usize) -> Option<Option<i32>> {
        let child = self.children[index].as_mut()?;
        let status = child.try_wait().unwrap()?;
        self.children[index] = None;
        Some(status.code())
    }

    /// Waits for the planned end of a node and returns its exit code.
    pub fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        let mut child = self.children[index].take().unwrap();
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
}

impl Drop for NodeProcesses {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until `test` holds; panics after a limit that is far above any need.
pub fn wait(what: &str, mut test: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !test() {
        assert!(begun.elapsed() < LIMIT, "not within {LIMIT:?}: {what}");
        std::thread::sleep(STEP);
    }
}
