//! A service at its gates under generated load: calls come, ask gates in turn, wait, run
//! or are refused, and come back. Time is simulated; all decisions are the product's own.

use rampthread_core::call::acceptance::AcceptanceEstimator;
use rampthread_core::call::admission::{
    AdmissionController, AdmissionDecision, AdmissionLimits, Arrival,
};
use rampthread_core::call::precedence::Precedence;
use rampthread_core::call::service_times::ServiceTimes;
use rampthread_core::ids::{ResourceName, Zone};
use rampthread_core::time::Moment;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

const GATES: usize = 12;
const SLOTS: u32 = 6;
const QUEUE: u32 = 6;
/// Mean work of a call.
const WORK: Duration = Duration::from_millis(130);
/// Time within which an answer is worth most.
const TARGET: Duration = Duration::from_millis(500);
/// Time that a caller has for all its attempts.
const DEADLINE: Duration = Duration::from_secs(3);
/// After a refusal, a caller comes back so much later, at most so often.
const RETURN: Duration = Duration::from_secs(1);
const RETURNS: u32 = 2;
const MAX_TRIES: usize = 8;
/// A call in a queue gives up after so many times its patience.
const OVERTAKEN: f64 = 1.5;

/// While an entry takes it that another gate runs the call at once.
pub type ExpectsRoom = fn(&AcceptanceEstimator, &Zone, Moment) -> bool;

/// What callers got.
#[derive(Debug, Default, Clone)]
pub struct Served {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Questions that gates refused.
    pub refused_tries: u32,
    /// Answers by second.
    pub answers: Vec<u32>,
    /// Attempts refused by second, of callers that come back, too.
    pub refusals: Vec<u32>,
}

impl Served {
    /// Adds one in the second of `now`.
    fn count(seconds: &mut Vec<u32>, now: Moment) {
        let second = (now.0 / 1_000_000) as usize;
        if seconds.len() <= second {
            seconds.resize(second + 1, 0);
        }
        seconds[second] += 1;
    }
}

/// Calls a second that the slots serve.
pub fn room_a_second() -> f64 {
    (GATES as u32 * SLOTS) as f64 / WORK.as_secs_f64()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { call: u64 },
    Ends { call: u64, gate: usize },
    GivesUp { call: u64, gate: usize },
}

#[derive(Debug, Clone, Copy)]
struct Caller {
    first: Moment,
    returns: u32,
    work: Duration,
    waits: bool,
}

/// Gates, callers and what is to happen.
pub struct Overload {
    gates: Vec<AdmissionController>,
    room: AcceptanceEstimator,
    zone: Zone,
    work_times: ServiceTimes,
    route: ResourceName,
    callers: HashMap<u64, Caller>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    sequence: u64,
    rng: StdRng,
    expects_room: ExpectsRoom,
    served: Served,
}

impl Overload {
    pub fn new(seed: u64, expects_room: ExpectsRoom) -> Self {
        let zone = Zone::new("zone").unwrap();
        let route = ResourceName::new("route").unwrap();
        let mut work_times = ServiceTimes::default();
        work_times.record(&route, WORK);
        let limits = AdmissionLimits {
            slots: SLOTS,
            queue: QUEUE,
        };
        Self {
            gates: (0..GATES)
                .map(|_| AdmissionController::new(limits))
                .collect(),
            room: AcceptanceEstimator::new(zone.clone()),
            zone,
            work_times,
            route,
            callers: HashMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            expects_room,
            served: Served::default(),
        }
    }

    /// Plays `seconds` with the demand that `load` gives for each, in parts of what the
    /// slots serve.
    pub fn play(mut self, seconds: u64, load: impl Fn(u64) -> f64) -> Served {
        self.plan_arrivals(seconds, load);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrives { call } => self.arrives(call, now),
                Event::Ends { call, gate } => self.ends(call, gate, now),
                Event::GivesUp { call, gate } => self.gives_up(call, gate, now),
            }
        }
        self.served
    }

    fn plan_arrivals(&mut self, seconds: u64, load: impl Fn(u64) -> f64) {
        for second in 0..seconds {
            let calls = (room_a_second() * load(second)) as u64;
            for _ in 0..calls {
                let within = self.rng.random_range(0..1_000_000);
                let first = Moment(1 + second * 1_000_000 + within);
                let work = WORK.mul_f64(self.rng.random_range(0.5..1.5));
                let call = self.callers.len() as u64;
                let caller = Caller {
                    first,
                    returns: 0,
                    work,
                    waits: false,
                };
                self.callers.insert(call, caller);
                self.served.asked += 1;
                self.at(first, Event::Arrives { call });
            }
        }
    }

    fn at(&mut self, moment: Moment, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((moment, self.sequence, event)));
    }

    fn arrives(&mut self, call: u64, now: Moment) {
        let mut tried: Vec<usize> = Vec::new();
        while tried.len() < MAX_TRIES {
            let untried = (0..GATES).filter(|gate| !tried.contains(gate));
            let Some(gate) = untried.choose(&mut self.rng) else {
                break;
            };
            tried.push(gate);
            let others =
                tried.len() < MAX_TRIES && (self.expects_room)(&self.room, &self.zone, now);
            let max_wait = self.max_wait(call, others, now);
            let arrival = self.arrival(call, max_wait, now);
            let admitted = self.gates[gate].arrive(arrival, now);
            let refused = matches!(admitted, AdmissionDecision::Refused { .. });
            self.room.record(&self.zone.clone(), refused, now);
            match admitted {
                AdmissionDecision::Run => return self.begins(call, gate, now),
                AdmissionDecision::Wait => {
                    self.callers.get_mut(&call).unwrap().waits = true;
                    let at = now + max_wait.mul_f64(OVERTAKEN);
                    return self.at(at, Event::GivesUp { call, gate });
                }
                AdmissionDecision::Refused { .. } => self.served.refused_tries += 1,
            }
            if !others {
                break;
            }
        }
        self.refused(call, now);
    }

    fn precedence(&self, call: u64) -> Precedence {
        match self.callers[&call].returns {
            0 => Precedence::FirstAttempt,
            _ => Precedence::Retry,
        }
    }

    fn max_wait(&self, call: u64, others: bool, now: Moment) -> Duration {
        if others {
            return Duration::ZERO;
        }
        let left = (self.callers[&call].first + DEADLINE).since(now);
        let precedence = self.precedence(call);
        self.work_times
            .max_wait(&self.route, TARGET, precedence, left)
    }

    fn arrival(&self, call: u64, max_wait: Duration, now: Moment) -> Arrival {
        Arrival {
            call,
            caller: String::new(),
            deadline: (self.callers[&call].first + DEADLINE).max(now),
            rank: 1,
            precedence: self.precedence(call),
            max_wait,
            expected_service_time: Some(WORK),
        }
    }

    fn begins(&mut self, call: u64, gate: usize, now: Moment) {
        let caller = self.callers.get_mut(&call).unwrap();
        caller.waits = false;
        let end = now + caller.work;
        self.at(end, Event::Ends { call, gate });
    }

    fn ends(&mut self, call: u64, gate: usize, now: Moment) {
        let caller = self.callers[&call];
        Served::count(&mut self.served.answers, now);
        match now.since(caller.first) <= TARGET {
            true => self.served.in_time += 1,
            false => self.served.late += 1,
        }
        let released = self.gates[gate].release(Some(caller.work), now);
        for expired in released.expired {
            self.refused(expired, now);
        }
        if let Some(next) = released.run {
            self.begins(next, gate, now);
        }
    }

    fn gives_up(&mut self, call: u64, gate: usize, now: Moment) {
        if self.callers[&call].waits && self.gates[gate].cancel(call) {
            self.served.refused_tries += 1;
            self.refused(call, now);
        }
    }

    fn refused(&mut self, call: u64, now: Moment) {
        let caller = self.callers.get_mut(&call).unwrap();
        caller.waits = false;
        Served::count(&mut self.served.refusals, now);
        let back = now + RETURN;
        if caller.returns == RETURNS || back >= caller.first + DEADLINE {
            self.served.refused += 1;
            return;
        }
        caller.returns += 1;
        self.at(back, Event::Arrives { call });
    }
}
