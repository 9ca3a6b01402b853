//! Plays the steps of a schedule at their times and takes down what it did.

use super::links::Links;
use super::operator::Operator;
use super::reports::Reporters;
use super::store_faults::StoreFaults;
use crate::platform_support::PlatformFleet;
use crate::soak_history::recorder::Recorder;
use crate::soak_history::{BackEndStart, ProcessChange, Side, What};
use crate::soak_schedule::{BackEndFault, Fault, Nodes, Schedule, Step};
use rampthread_adapter_standin::BackendBehaviour;
use rustix::process::Signal;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Pause between two looks whether a process has ended.
const LOOK: Duration = Duration::from_millis(5);
/// Time until the next start of a back end that has said that it leaves listens.
const NEXT_START: Duration = Duration::from_millis(300);
/// Wait for the last planned stops, far above what they may take.
const LAST_STOPS: Duration = Duration::from_secs(30);

/// One node's process.
#[derive(Default)]
struct Process {
    running: bool,
    /// Steps that hold it up.
    held_by: Vec<usize>,
    /// Steps that keep it down.
    down_by: Vec<usize>,
    terminated: bool,
}

pub struct Injector<'a> {
    fleet: &'a mut PlatformFleet,
    links: &'a mut Links,
    recorder: &'a Recorder,
    operator: &'a Operator,
    reporters: &'a Reporters,
    processes: Vec<Process>,
    store: StoreFaults,
    /// Nodes that a step found and struck.
    struck: HashMap<usize, Vec<usize>>,
}

/// One moment of a step.
#[derive(Clone, Copy)]
enum Moment {
    Begin(usize),
    End(usize),
}

impl<'a> Injector<'a> {
    pub fn new(
        fleet: &'a mut PlatformFleet,
        links: &'a mut Links,
        recorder: &'a Recorder,
        operator: &'a Operator,
        reporters: &'a Reporters,
    ) -> Self {
        let process = || Process {
            running: true,
            ..Process::default()
        };
        let processes = fleet.backends.iter().map(|_| process()).collect();
        Self {
            fleet,
            links,
            recorder,
            operator,
            reporters,
            processes,
            store: StoreFaults::default(),
            struck: HashMap::new(),
        }
    }

    /// Plays all steps, then leaves the fleet alone for a time.
    pub fn play(mut self, schedule: &Schedule, calm: Duration) {
        let begun = Instant::now();
        for (at, moment) in moments(&schedule.steps) {
            self.wait_until(begun + at);
            match moment {
                Moment::Begin(index) => self.begin(index, &schedule.steps[index]),
                Moment::End(index) => self.end(index, &schedule.steps[index]),
            }
        }
        self.wait_for_stops();
        self.wait_until(Instant::now() + calm);
    }

    fn wait_until(&mut self, when: Instant) {
        loop {
            self.look_for_ends();
            let left = when.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left.min(LOOK));
        }
    }

    fn wait_for_stops(&mut self) {
        let limit = Instant::now() + LAST_STOPS;
        while self.processes.iter().any(|process| process.terminated) && Instant::now() < limit {
            self.wait_until(Instant::now() + LOOK);
        }
    }

    fn note(&self, node: usize, change: ProcessChange) {
        self.recorder.note(What::Process { node, change });
    }

    fn look_for_ends(&mut self) {
        for node in 0..self.processes.len() {
            if !self.processes[node].running {
                continue;
            }
            let Some(code) = self.fleet.exit_code(node) else {
                continue;
            };
            self.note(node, ProcessChange::Ended { code });
            self.processes[node] = Process {
                down_by: std::mem::take(&mut self.processes[node].down_by),
                ..Process::default()
            };
            self.start(node);
        }
    }

    fn start(&mut self, node: usize) {
        let process = &mut self.processes[node];
        if process.running || !process.down_by.is_empty() {
            return;
        }
        process.running = true;
        self.fleet.start_node(node);
        self.note(node, ProcessChange::Started);
    }

    fn begin(&mut self, index: usize, step: &Step) {
        match &step.fault {
            Fault::Hold { node } => self.hold(index, *node),
            Fault::Kill { nodes } => self.kill(index, nodes),
            Fault::Terminate { node } => self.terminate(*node),
            Fault::Reload { node } => self.reload(*node),
            Fault::StoreLink { nodes, link } => {
                for node in self.strike(index, nodes) {
                    let side = (Side::Store, node);
                    self.links.disturb(self.recorder, side, index, *link);
                }
            }
            Fault::BackEndLink { nodes, link } => {
                for node in self.strike(index, nodes) {
                    let side = (Side::BackEnd, node);
                    self.links.disturb(self.recorder, side, index, *link);
                }
            }
            Fault::Store(fault) => self.store.begin(self.fleet, self.recorder, index, fault),
            Fault::Version(kind) => self.operator.write(self.fleet, self.recorder, *kind),
            Fault::BackEnd { node, fault } => self.strike_back_end(*node, *fault, step.lasts),
        }
    }

    fn end(&mut self, index: usize, step: &Step) {
        match &step.fault {
            Fault::Hold { node } => self.go_on(index, *node),
            Fault::Kill { nodes } => {
                for node in nodes {
                    self.processes[*node].down_by.retain(|own| *own != index);
                    self.start(*node);
                }
            }
            Fault::StoreLink { .. } => self.end_links(index, Side::Store),
            Fault::BackEndLink { .. } => self.end_links(index, Side::BackEnd),
            Fault::Store(_) => self.store.end(self.fleet, self.recorder, index),
            Fault::BackEnd { node, fault } => match fault {
                BackEndFault::Crash | BackEndFault::Leave => {}
                BackEndFault::NamesLimit(_) => self.name_limit(*node, None),
                BackEndFault::SaysLeaving => self.fleet.backends[*node].crash(NEXT_START),
                _ => self.fleet.backends[*node].behave(BackendBehaviour::Sound),
            },
            Fault::Terminate { .. } | Fault::Reload { .. } | Fault::Version(_) => {}
        }
    }

    fn hold(&mut self, index: usize, node: usize) {
        let process = &mut self.processes[node];
        if !process.running {
            return;
        }
        process.held_by.push(index);
        if process.held_by.len() == 1 {
            self.note(node, ProcessChange::Held);
            self.fleet.signal(node, Signal::STOP);
        }
    }

    fn go_on(&mut self, index: usize, node: usize) {
        let held_by = &mut self.processes[node].held_by;
        let before = held_by.len();
        held_by.retain(|own| *own != index);
        if before > 0 && held_by.is_empty() {
            self.fleet.signal(node, Signal::CONT);
            self.note(node, ProcessChange::Continued);
        }
    }

    fn kill(&mut self, index: usize, nodes: &[usize]) {
        for node in nodes {
            let process = &mut self.processes[*node];
            process.down_by.push(index);
            if !process.running {
                continue;
            }
            process.running = false;
            process.terminated = false;
            process.held_by.clear();
            self.note(*node, ProcessChange::Killed);
            self.fleet.kill(*node);
        }
    }

    fn terminate(&mut self, node: usize) {
        if !self.processes[node].running {
            return;
        }
        self.processes[node].terminated = true;
        self.note(node, ProcessChange::Terminated);
        self.fleet.signal(node, Signal::TERM);
    }

    fn reload(&mut self, node: usize) {
        if self.processes[node].running {
            self.note(node, ProcessChange::Reloaded);
            self.fleet.signal(node, Signal::HUP);
        }
    }

    fn strike(&mut self, index: usize, nodes: &Nodes) -> Vec<usize> {
        let struck = match nodes {
            Nodes::These(nodes) => nodes.clone(),
            Nodes::Watchers => self.links.watchers(),
        };
        self.struck.insert(index, struck.clone());
        struck
    }

    fn end_links(&mut self, index: usize, side: Side) {
        for node in self.struck.remove(&index).unwrap_or_default() {
            self.links.end(self.recorder, (side, node), index);
        }
    }

    fn strike_back_end(&self, node: usize, fault: BackEndFault, lasts: Duration) {
        let backend = &self.fleet.backends[node];
        match fault {
            BackEndFault::Crash => backend.crash(lasts),
            BackEndFault::Sheds => backend.behave(BackendBehaviour::Sheds),
            BackEndFault::NamesAnother => backend.behave(BackendBehaviour::WrongId),
            BackEndFault::Unsigned => backend.behave(BackendBehaviour::Unsigned),
            BackEndFault::Leave => self.reporters.leave(node),
            BackEndFault::NamesLimit(limit) => self.name_limit(node, Some(limit)),
            BackEndFault::SaysLeaving => backend.say_leaving(true),
        }
    }

    fn name_limit(&self, node: usize, milli_per_second: Option<u32>) {
        let backend = &self.fleet.backends[node];
        let start = BackEndStart {
            id: backend.instance(),
            born_ms: backend.born_ms(),
        };
        self.recorder.note(What::LimitNamed {
            start,
            milli_per_second,
        });
        let limit = milli_per_second.map(|limit| (f64::from(limit) / 1e3).to_string());
        backend.name_limit(limit.as_deref());
    }
}

/// Begins and ends of all steps, in the order of time; a step ends after it began.
fn moments(steps: &[Step]) -> Vec<(Duration, Moment)> {
    let mut moments: Vec<(Duration, Moment)> = Vec::new();
    for (index, step) in steps.iter().enumerate() {
        moments.push((step.at, Moment::Begin(index)));
        moments.push((step.at + step.lasts, Moment::End(index)));
    }
    moments.sort_by_key(|(at, _)| *at);
    moments
}
