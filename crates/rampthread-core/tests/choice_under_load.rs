//! The choice of back ends on generated load: many entries decide at once, each knows what
//! its own answers told it, and back ends of one service differ in speed.

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

/// Mean work of a call at a back end of usual speed, in seconds.
const WORK: f64 = 0.11;
/// Time within which callers want their answer, in seconds.
const TARGET: f64 = 0.5;
/// One way between entry and gate, in seconds.
const WAY: f64 = 0.001;
const SLOTS: u32 = 6;
/// Gates that a call asks before it waits at the last one.
const TRIES: usize = 4;
/// Speeds of back ends in turn.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
/// Part of the time in which another process slows a back end down, and by how much.
const SHARED: (f64, f64) = (0.15, 2.5);
/// Seconds for which a pace lasts.
const PACE_LASTS: f64 = 0.2;

#[derive(Clone, Copy)]
struct Load {
    backends: usize,
    entries: usize,
    /// Part of all that the back ends can do.
    of_capacity: f64,
    seconds: f64,
    /// Gates tell the pace, and the members' records the speeds.
    told: bool,
    /// Back end whose gate tells another speed than it has, in percent.
    lies: Option<(usize, u16)>,
}

#[derive(Debug, Default)]
struct Seen {
    calls: u32,
    late: u32,
    refused_tries: u32,
    /// Sum of times of answers, in seconds.
    time: f64,
    /// Slot-seconds in use, by back end.
    used: Vec<f64>,
}

impl Seen {
    fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from(self.calls)
    }

    fn refused_a_call(&self) -> f64 {
        f64::from(self.refused_tries) / f64::from(self.calls)
    }

    fn mean_time(&self) -> f64 {
        self.time / f64::from(self.calls)
    }
}

struct Call {
    entry: usize,
    began: f64,
    tried: Vec<NodeId>,
}

struct BackEnd {
    speed: f64,
    running: u32,
    waiting: VecDeque<usize>,
}

enum Event {
    Arrives,
    AtGate {
        call: usize,
        at: usize,
    },
    Refused {
        call: usize,
        at: usize,
        load: u32,
    },
    Done {
        call: usize,
        at: usize,
        took: f64,
    },
    Answered {
        call: usize,
        at: usize,
        load: u32,
        took: f64,
    },
}

struct Play {
    load: Load,
    rng: ChaCha8Rng,
    endpoints: Vec<Endpoint>,
    backends: Vec<BackEnd>,
    balancers: Vec<Balancer>,
    calls: Vec<Call>,
    events: Vec<Option<Event>>,
    due: BinaryHeap<Reverse<(u64, usize)>>,
    seen: Seen,
}

/// What is told of the standing speed of a back end.
fn told_speed(index: usize, load: Load) -> u16 {
    let lie = load.lies.filter(|(liar, _)| *liar == index);
    let speed = (SPEEDS[index % SPEEDS.len()] * 100.0) as u16;
    lie.map_or(speed, |(_, told)| told)
}

fn moment(at: f64) -> Moment {
    Moment(((at + 60.0) * 1e6) as u64)
}

impl Play {
    fn run(load: Load) -> Seen {
        let endpoint = |index| Endpoint {
            node: NodeId::new(&format!("node-{index}")).unwrap(),
            zone: Zone::new("z").unwrap(),
            slots: SLOTS,
            slow_start: Duration::ZERO,
            speed_percent: match load.told {
                true => told_speed(index, load),
                false => USUAL_PERCENT,
            },
        };
        let backend = |index: usize| BackEnd {
            speed: SPEEDS[index % SPEEDS.len()],
            running: 0,
            waiting: VecDeque::new(),
        };
        let balancer = |_| Balancer::new(BalanceMode::LeastCost, moment(0.0));
        let mut play = Play {
            load,
            rng: ChaCha8Rng::seed_from_u64(11),
            endpoints: (0..load.backends).map(endpoint).collect(),
            backends: (0..load.backends).map(backend).collect(),
            balancers: (0..load.entries).map(balancer).collect(),
            calls: Vec::new(),
            events: Vec::new(),
            due: BinaryHeap::new(),
            seen: Seen {
                used: vec![0.0; load.backends],
                ..Seen::default()
            },
        };
        play.at(0.0, Event::Arrives);
        while let Some(Reverse((at, event))) = play.due.pop() {
            let event = play.events[event].take().expect("each event happens once");
            play.happen(at as f64 / 1e9, event);
        }
        play.seen
    }

    fn at(&mut self, at: f64, event: Event) {
        self.due
            .push(Reverse(((at * 1e9) as u64, self.events.len())));
        self.events.push(Some(event));
    }

    fn rate(&self) -> f64 {
        let slowed = 1.0 + SHARED.0 * (SHARED.1 - 1.0);
        let speeds: f64 = self.backends.iter().map(|backend| backend.speed).sum();
        self.load.of_capacity * speeds * f64::from(SLOTS) / (WORK * slowed)
    }

    /// How long work takes there now, over its usual time.
    fn present(&self, backend: usize, at: f64) -> f64 {
        let turn = (at / PACE_LASTS) as u64 + 1;
        let seed = turn.wrapping_mul(0x9e37_79b9).wrapping_add(backend as u64);
        let drawn = ChaCha8Rng::seed_from_u64(seed).random_range(0.0..1.0);
        if drawn < SHARED.0 { SHARED.1 } else { 1.0 }
    }

    fn happen(&mut self, now: f64, event: Event) {
        match event {
            Event::Arrives => {
                if now < self.load.seconds {
                    let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / self.rate();
                    self.at(now + gap, Event::Arrives);
                }
                let entry = self.rng.random_range(0..self.load.entries);
                self.seen.calls += 1;
                self.calls.push(Call {
                    entry,
                    began: now,
                    tried: Vec::new(),
                });
                self.send(self.calls.len() - 1, now);
            }
            Event::AtGate { call, at } => self.at_gate(call, at, now),
            Event::Refused { call, at, load } => {
                let entry = self.calls[call].entry;
                let node = self.endpoints[at].node.clone();
                self.balancers[entry].record_load(&node, load, moment(now));
                self.balancers[entry].record_end(&node);
                self.tell_pace(entry, at, now);
                self.send(call, now);
            }
            Event::Done { call, at, took } => {
                let backend = &mut self.backends[at];
                backend.running -= 1;
                let next = backend.waiting.pop_front();
                let load = backend.running + backend.waiting.len() as u32;
                self.at(
                    now + WAY,
                    Event::Answered {
                        call,
                        at,
                        load,
                        took,
                    },
                );
                if let Some(next) = next {
                    self.work(next, at, now);
                }
            }
            Event::Answered {
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
                self.tell_pace(entry, at, now);
                self.seen.time += now - began;
                self.seen.late += u32::from(now - began > TARGET);
            }
        }
    }

    fn tell_pace(&mut self, entry: usize, at: usize, now: f64) {
        if !self.load.told {
            return;
        }
        let pace = BackendSpeed {
            speed_percent: told_speed(at, self.load),
            service_time_percent: (self.present(at, now) * 100.0) as u16,
            ..BackendSpeed::default()
        };
        let node = &self.endpoints[at].node;
        self.balancers[entry].record_speed(node, pace, moment(now));
    }

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
            self.seen.late += 1;
            return;
        };
        tried.push(chosen.node.clone());
        balancer.record_sent(&chosen.node);
        let at = self
            .endpoints
            .iter()
            .position(|known| known.node == chosen.node);
        let at = at.expect("it is one of them");
        self.at(now + WAY, Event::AtGate { call, at });
    }

    fn at_gate(&mut self, call: usize, at: usize, now: f64) {
        let backend = &mut self.backends[at];
        if backend.running < SLOTS {
            return self.work(call, at, now);
        }
        let last = self.calls[call].tried.len() >= TRIES.min(self.load.backends);
        let load = backend.running + backend.waiting.len() as u32;
        if last && backend.waiting.len() < SLOTS as usize {
            backend.waiting.push_back(call);
        } else if last {
            // Refused for good.
            self.seen.late += 1;
            let node = self.endpoints[at].node.clone();
            self.balancers[self.calls[call].entry].record_end(&node);
        } else {
            self.seen.refused_tries += 1;
            self.at(now + WAY, Event::Refused { call, at, load });
        }
    }

    fn work(&mut self, call: usize, at: usize, now: f64) {
        let present = self.present(at, now);
        let backend = &mut self.backends[at];
        backend.running += 1;
        let took = WORK * self.rng.random_range(0.4..1.6) / backend.speed * present;
        self.seen.used[at] += took;
        self.at(now + took, Event::Done { call, at, took });
    }
}

fn load(backends: usize, of_capacity: f64) -> Load {
    let seconds = if backends > 100 { 2.0 } else { 8.0 };
    Load {
        backends,
        entries: 88,
        of_capacity,
        seconds,
        told: false,
        lies: None,
    }
}

/// Speeds that are told shorten answers where fast back ends can take the work, and
/// cost nothing where all must work.
#[rstest]
fn fast_back_ends_fill_first_and_none_is_overrun(
    #[values(12, 44, 264)] backends: usize,
    #[values(0.1, 0.5, 0.8, 1.0, 1.2)] of_capacity: f64,
) {
    let unknown = Play::run(load(backends, of_capacity));
    let told = Play::run(Load {
        told: true,
        ..load(backends, of_capacity)
    });
    let (before, after) = (unknown.mean_time(), told.mean_time());
    let line = format!(
        "late {:.3} -> {:.3}, time {before:.3} -> {after:.3}, refused tries {:.2} -> {:.2}",
        unknown.late_share(),
        told.late_share(),
        unknown.refused_a_call(),
        told.refused_a_call(),
    );
    println!("{backends} at {of_capacity}: {line}");
    if of_capacity <= 0.5 {
        assert!(after < before * 0.95, "{line}");
    }
    if of_capacity <= 0.1 {
        assert!(told.late_share() < unknown.late_share() * 0.5, "{line}");
    }
    // Beyond what chance does to some thousand calls.
    assert!(after < before * 1.05, "{line}");
    assert!(told.late_share() < unknown.late_share() + 0.02, "{line}");
    assert!(
        told.refused_a_call() < unknown.refused_a_call() + 0.3,
        "{line}"
    );
}

/// Two slow back ends and a fast one, which does more work than either.
#[test]
fn the_fast_one_of_three_back_ends_does_most() {
    let seen = Play::run(Load {
        told: true,
        ..load(3, 0.5)
    });
    let [slow, other, fast] = seen.used[..] else {
        panic!("three back ends");
    };
    let work = |used: f64, index: usize| used * SPEEDS[index];
    assert!(work(fast, 2) > 1.5 * work(slow, 0), "{:?}", seen.used);
    assert!(work(fast, 2) > 1.5 * work(other, 1), "{:?}", seen.used);
}

/// A slow back end that is told to be fast draws more than its part; its own answers and
/// refusals correct that, and callers lose little.
#[rstest]
fn a_false_speed_costs_little(#[values(0.5, 0.8, 1.0)] of_capacity: f64) {
    let told = Load {
        told: true,
        ..load(12, of_capacity)
    };
    let honest = Play::run(told);
    let lied = Play::run(Load {
        lies: Some((0, 400)),
        ..told
    });
    let line = format!(
        "late {:.3} -> {:.3}, time {:.3} -> {:.3}",
        honest.late_share(),
        lied.late_share(),
        honest.mean_time(),
        lied.mean_time()
    );
    println!("{of_capacity}: {line}");
    assert!(lied.late_share() < honest.late_share() + 0.03, "{line}");
    assert!(lied.mean_time() < honest.mean_time() * 1.2, "{line}");
}
