//! Simulation of balancing under load: many entry nodes choose backends at the same time,
//! each entry node knows only the loads that gate nodes reported with its own responses,
//! and the backends of the service differ in speed.

use rampthread_core::call::backend_speed::{BackendSpeed, USUAL_PERCENT};
use rampthread_core::call::balance::{BalanceMode, Balancer, Endpoint};
use rampthread_core::ids::{NodeId, ResourceName, Zone};
use rampthread_core::time::Moment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// Mean service time of a call at a backend of usual speed, in seconds.
const MEAN_SERVICE_TIME: f64 = 0.11;
/// Target latency of callers, in seconds.
const TARGET_LATENCY: f64 = 0.5;
/// One-way delay between entry node and gate node, in seconds.
const ONE_WAY_DELAY: f64 = 0.001;
/// Slots of each backend.
const SLOTS: u32 = 6;
/// Number of gate nodes that a call asks; at the last one it waits in the queue.
const MAX_ATTEMPTS: usize = 4;
/// Speeds of the backends, assigned in turn.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
/// Fraction of the time in which another process slows a backend down, and the factor by
/// which service times grow then.
const SLOWDOWN: (f64, f64) = (0.15, 2.5);
/// Seconds for which a backend's slowdown stays the same.
const SLOWDOWN_SECONDS: f64 = 0.2;

/// Parameters of a simulation.
#[derive(Clone, Copy)]
struct Load {
    backends: usize,
    entries: usize,
    /// Load as a ratio of the capacity of all backends.
    of_capacity: f64,
    seconds: f64,
    /// Gate nodes report speed and slowdown, and member records contain the speeds.
    reported: bool,
    /// Index of a backend whose gate node reports a wrong speed, and that speed in percent.
    wrong_speed: Option<(usize, u16)>,
}

/// What callers and backends experienced in a simulation.
#[derive(Debug, Default)]
struct Results {
    calls: u32,
    /// Number of calls that failed or took longer than [`TARGET_LATENCY`].
    late: u32,
    rejected_attempts: u32,
    /// Sum of response times, in seconds.
    time: f64,
    /// Seconds for which slots were in use, by backend.
    used: Vec<f64>,
}

impl Results {
    /// Share of calls whose response missed the target latency or never came.
    fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from(self.calls)
    }

    fn rejections_per_call(&self) -> f64 {
        f64::from(self.rejected_attempts) / f64::from(self.calls)
    }

    fn mean_time(&self) -> f64 {
        self.time / f64::from(self.calls)
    }
}

/// A call, the entry node that received it, and the gate nodes that it was sent to.
struct Call {
    entry: usize,
    began: f64,
    tried: Vec<NodeId>,
}

/// A backend with its speed, running calls and queue.
struct Backend {
    speed: f64,
    running: u32,
    waiting: VecDeque<usize>,
}

/// An event of a call at the backend with the index `at`.
enum Event {
    Arrives,
    AtGate {
        call: usize,
        at: usize,
    },
    Rejected {
        call: usize,
        at: usize,
        load: u32,
    },
    Done {
        call: usize,
        at: usize,
        took: f64,
    },
    Responded {
        call: usize,
        at: usize,
        load: u32,
        took: f64,
    },
}

/// State of a simulation: backends, the balancer of each entry node, and pending events.
struct Simulation {
    load: Load,
    rng: ChaCha8Rng,
    endpoints: Vec<Endpoint>,
    backends: Vec<Backend>,
    balancers: Vec<Balancer>,
    calls: Vec<Call>,
    events: Vec<Option<Event>>,
    due: BinaryHeap<Reverse<(u64, usize)>>,
    results: Results,
}

/// Long-term speed that is reported for a backend, in percent.
fn reported_speed(index: usize, load: Load) -> u16 {
    let wrong = load
        .wrong_speed
        .filter(|(wrong_index, _)| *wrong_index == index);
    let speed = (SPEEDS[index % SPEEDS.len()] * 100.0) as u16;
    wrong.map_or(speed, |(_, reported)| reported)
}

/// Converts seconds of the simulation to the time of the balancers.
fn moment(at: f64) -> Moment {
    Moment(((at + 60.0) * 1e6) as u64)
}

impl Simulation {
    fn run(load: Load) -> Results {
        let endpoint = |index| Endpoint {
            node: NodeId::new(&format!("node-{index}")).unwrap(),
            zone: Zone::new("z").unwrap(),
            slots: SLOTS,
            slow_start: Duration::ZERO,
            speed_percent: match load.reported {
                true => reported_speed(index, load),
                false => USUAL_PERCENT,
            },
        };
        let backend = |index: usize| Backend {
            speed: SPEEDS[index % SPEEDS.len()],
            running: 0,
            waiting: VecDeque::new(),
        };
        let balancer = |_| Balancer::new(BalanceMode::LeastCost, moment(0.0));
        let mut simulation = Simulation {
            load,
            rng: ChaCha8Rng::seed_from_u64(11),
            endpoints: (0..load.backends).map(endpoint).collect(),
            backends: (0..load.backends).map(backend).collect(),
            balancers: (0..load.entries).map(balancer).collect(),
            calls: Vec::new(),
            events: Vec::new(),
            due: BinaryHeap::new(),
            results: Results {
                used: vec![0.0; load.backends],
                ..Results::default()
            },
        };
        simulation.schedule(0.0, Event::Arrives);
        while let Some(Reverse((at, event))) = simulation.due.pop() {
            let event = simulation.events[event]
                .take()
                .expect("each event happens once");
            simulation.handle(at as f64 / 1e9, event);
        }
        simulation.results
    }

    /// Schedules an event at the time `at`, in seconds.
    fn schedule(&mut self, at: f64, event: Event) {
        self.due
            .push(Reverse(((at * 1e9) as u64, self.events.len())));
        self.events.push(Some(event));
    }

    /// Calls per second over all entry nodes.
    fn rate(&self) -> f64 {
        let slowed = 1.0 + SLOWDOWN.0 * (SLOWDOWN.1 - 1.0);
        let speeds: f64 = self.backends.iter().map(|backend| backend.speed).sum();
        self.load.of_capacity * speeds * f64::from(SLOTS) / (MEAN_SERVICE_TIME * slowed)
    }

    /// Ratio of the current service time at a backend to its usual one.
    fn slowdown(&self, backend: usize, at: f64) -> f64 {
        let turn = (at / SLOWDOWN_SECONDS) as u64 + 1;
        let seed = turn.wrapping_mul(0x9e37_79b9).wrapping_add(backend as u64);
        let drawn = ChaCha8Rng::seed_from_u64(seed).random_range(0.0..1.0);
        if drawn < SLOWDOWN.0 { SLOWDOWN.1 } else { 1.0 }
    }

    fn handle(&mut self, now: f64, event: Event) {
        match event {
            Event::Arrives => {
                if now < self.load.seconds {
                    let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / self.rate();
                    self.schedule(now + gap, Event::Arrives);
                }
                let entry = self.rng.random_range(0..self.load.entries);
                self.results.calls += 1;
                self.calls.push(Call {
                    entry,
                    began: now,
                    tried: Vec::new(),
                });
                self.send(self.calls.len() - 1, now);
            }
            Event::AtGate { call, at } => self.at_gate(call, at, now),
            Event::Rejected { call, at, load } => {
                let entry = self.calls[call].entry;
                let node = self.endpoints[at].node.clone();
                self.balancers[entry].record_load(&node, load, moment(now));
                self.balancers[entry].record_end(&node);
                self.report_speed(entry, at, now);
                self.send(call, now);
            }
            Event::Done { call, at, took } => {
                let backend = &mut self.backends[at];
                backend.running -= 1;
                let next = backend.waiting.pop_front();
                let load = backend.running + backend.waiting.len() as u32;
                self.schedule(
                    now + ONE_WAY_DELAY,
                    Event::Responded {
                        call,
                        at,
                        load,
                        took,
                    },
                );
                if let Some(next) = next {
                    self.start_call(next, at, now);
                }
            }
            Event::Responded {
                call,
                at,
                load,
                took,
            } => {
                let Call { entry, began, .. } = self.calls[call];
                let node = self.endpoints[at].node.clone();
                let balancer = &mut self.balancers[entry];
                balancer.record_load(&node, load, moment(now));
                let route = ResourceName::new("r").unwrap();
                let took = Duration::from_secs_f64(took);
                balancer.record_response(&node, &route, took, moment(now));
                balancer.record_end(&node);
                self.report_speed(entry, at, now);
                self.results.time += now - began;
                self.results.late += u32::from(now - began > TARGET_LATENCY);
            }
        }
    }

    /// Passes the reported speed of a backend to the balancer of an entry node.
    fn report_speed(&mut self, entry: usize, at: usize, now: f64) {
        if !self.load.reported {
            return;
        }
        let speed = BackendSpeed {
            speed_percent: reported_speed(at, self.load),
            service_time_percent: (self.slowdown(at, now) * 100.0) as u16,
            ..BackendSpeed::default()
        };
        let node = &self.endpoints[at].node;
        self.balancers[entry].record_speed(node, speed, moment(now));
    }

    /// Sends a call to the next backend that its entry node's balancer chooses.
    fn send(&mut self, call: usize, now: f64) {
        let Call { entry, tried, .. } = &mut self.calls[call];
        let zone = self.endpoints[0].zone.clone();
        let balancer = &mut self.balancers[*entry];
        let chosen = balancer.choose(
            &self.endpoints,
            tried,
            &zone,
            |_| true,
            moment(now),
            &mut self.rng,
        );
        let Some(chosen) = chosen else {
            self.results.late += 1;
            return;
        };
        tried.push(chosen.node.clone());
        balancer.record_sent(&chosen.node);
        let at = self
            .endpoints
            .iter()
            .position(|known| known.node == chosen.node);
        let at = at.expect("it is one of them");
        self.schedule(now + ONE_WAY_DELAY, Event::AtGate { call, at });
    }

    /// Runs, queues or rejects a call at a backend's gate node.
    fn at_gate(&mut self, call: usize, at: usize, now: f64) {
        let backend = &mut self.backends[at];
        if backend.running < SLOTS {
            return self.start_call(call, at, now);
        }
        let last = self.calls[call].tried.len() >= MAX_ATTEMPTS.min(self.load.backends);
        let load = backend.running + backend.waiting.len() as u32;
        if last && backend.waiting.len() < SLOTS as usize {
            backend.waiting.push_back(call);
        } else if last {
            // Rejected by the last gate node: the call has failed, which counts as late.
            self.results.late += 1;
            let node = self.endpoints[at].node.clone();
            self.balancers[self.calls[call].entry].record_end(&node);
        } else {
            self.results.rejected_attempts += 1;
            self.schedule(now + ONE_WAY_DELAY, Event::Rejected { call, at, load });
        }
    }

    /// Starts a call at a backend and schedules its end.
    fn start_call(&mut self, call: usize, at: usize, now: f64) {
        let slowdown = self.slowdown(at, now);
        let backend = &mut self.backends[at];
        backend.running += 1;
        let took = MEAN_SERVICE_TIME * self.rng.random_range(0.4..1.6) / backend.speed * slowdown;
        self.results.used[at] += took;
        self.schedule(now + took, Event::Done { call, at, took });
    }
}

/// Parameters of a simulation in which no speeds are reported.
fn load(backends: usize, of_capacity: f64) -> Load {
    let seconds = if backends > 100 { 2.0 } else { 8.0 };
    Load {
        backends,
        entries: 88,
        of_capacity,
        seconds,
        reported: false,
        wrong_speed: None,
    }
}

/// Reported speeds shorten response times where fast backends have free slots, and lengthen
/// them only a little where all backends are busy.
#[rstest]
fn fast_backends_fill_first_and_none_is_overloaded(
    #[values(12, 44, 264)] backends: usize,
    #[values(0.1, 0.5, 0.8, 1.0, 1.2)] of_capacity: f64,
) {
    let unreported = Simulation::run(load(backends, of_capacity));
    let reported = Simulation::run(Load {
        reported: true,
        ..load(backends, of_capacity)
    });
    let (before, after) = (unreported.mean_time(), reported.mean_time());
    let line = format!(
        "late {:.3} -> {:.3}, time {before:.3} -> {after:.3}, rejections per call {:.2} -> {:.2}",
        unreported.late_share(),
        reported.late_share(),
        unreported.rejections_per_call(),
        reported.rejections_per_call(),
    );
    println!("{backends} at {of_capacity}: {line}");
    if of_capacity <= 0.5 {
        assert!(after < before * 0.95, "{line}");
    }
    if of_capacity <= 0.1 {
        assert!(
            reported.late_share() < unreported.late_share() * 0.5,
            "{line}"
        );
    }
    // The bounds allow for random variation over some thousand calls.
    assert!(after < before * 1.05, "{line}");
    assert!(
        reported.late_share() < unreported.late_share() + 0.02,
        "{line}"
    );
    assert!(
        reported.rejections_per_call() < unreported.rejections_per_call() + 0.3,
        "{line}"
    );
}

/// Of two slow backends and a fast one, the fast one does most work.
#[test]
fn the_fast_one_of_three_backends_does_most() {
    let results = Simulation::run(Load {
        reported: true,
        ..load(3, 0.5)
    });
    let [slow, other, fast] = results.used[..] else {
        panic!("three backends");
    };
    let work_done = |used: f64, index: usize| used * SPEEDS[index];
    assert!(
        work_done(fast, 2) > 1.5 * work_done(slow, 0),
        "{:?}",
        results.used
    );
    assert!(
        work_done(fast, 2) > 1.5 * work_done(other, 1),
        "{:?}",
        results.used
    );
}

/// A slow backend whose reported speed is too high gets more calls than it should. Measured
/// response times and rejections correct that, so that callers lose little.
#[rstest]
fn a_wrong_speed_costs_little(#[values(0.5, 0.8, 1.0)] of_capacity: f64) {
    let reported = Load {
        reported: true,
        ..load(12, of_capacity)
    };
    let correct = Simulation::run(reported);
    let wrong = Simulation::run(Load {
        wrong_speed: Some((0, 400)),
        ..reported
    });
    let line = format!(
        "late {:.3} -> {:.3}, time {:.3} -> {:.3}",
        correct.late_share(),
        wrong.late_share(),
        correct.mean_time(),
        wrong.mean_time()
    );
    println!("{of_capacity}: {line}");
    assert!(wrong.late_share() < correct.late_share() + 0.03, "{line}");
    assert!(wrong.mean_time() < correct.mean_time() * 1.2, "{line}");
}
