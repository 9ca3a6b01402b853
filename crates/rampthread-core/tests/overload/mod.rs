//! Simulation of a service under load: calls arrive, ask gate nodes in turn, wait, run or
//! are rejected, and are retried. Time is simulated; all decisions are made by the code of
//! rampthread.

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
/// Mean service time of a call.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(130);
/// Target latency of callers.
const TARGET_LATENCY: Duration = Duration::from_millis(500);
/// Time that a caller has for all its attempts.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time after which the caller of a rejected attempt retries.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of retries of one call.
const MAX_RETRIES: u32 = 2;
const MAX_ATTEMPTS: usize = 8;
/// Multiple of its maximum queueing time after which a waiting call is abandoned.
const ABANDON_FACTOR: f64 = 1.5;

/// Rule by which an entry node decides whether to ask another gate node instead of letting
/// the call wait.
pub type AcceptanceRule = fn(&AcceptanceEstimator, &Zone, Moment) -> bool;

/// Numbers of calls and attempts by result, over one simulation.
#[derive(Debug, Default, Clone)]
pub struct Results {
    pub calls: u32,
    pub in_time: u32,
    pub late: u32,
    pub rejected: u32,
    /// Number of attempts that gate nodes rejected.
    pub rejected_attempts: u32,
    /// Number of responses in each second.
    pub responses: Vec<u32>,
    /// Number of rejected attempts in each second, including those that are retried.
    pub rejections: Vec<u32>,
}

impl Results {
    /// Adds one to the count of the second that contains `now`.
    fn count(seconds: &mut Vec<u32>, now: Moment) {
        let second = (now.0 / 1_000_000) as usize;
        if seconds.len() <= second {
            seconds.resize(second + 1, 0);
        }
        seconds[second] += 1;
    }
}

/// Calls per second that the slots of all gate nodes can serve.
pub fn capacity_per_second() -> f64 {
    (GATES as u32 * SLOTS) as f64 / MEAN_SERVICE_TIME.as_secs_f64()
}

/// An event of a call: arrival, end or abandonment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { call: u64 },
    Ends { call: u64, gate: usize },
    Abandons { call: u64, gate: usize },
}

/// A caller's call, with its retries so far.
#[derive(Debug, Clone, Copy)]
struct Caller {
    first: Moment,
    retries: u32,
    service_time: Duration,
    waiting: bool,
}

/// Gate nodes, callers and pending events of a simulation.
pub struct OverloadSimulation {
    gates: Vec<AdmissionController>,
    estimator: AcceptanceEstimator,
    zone: Zone,
    service_times: ServiceTimes,
    route: ResourceName,
    callers: HashMap<u64, Caller>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    sequence: u64,
    rng: StdRng,
    acceptance_rule: AcceptanceRule,
    results: Results,
}

impl OverloadSimulation {
    pub fn new(seed: u64, acceptance_rule: AcceptanceRule) -> Self {
        let zone = Zone::new("zone").unwrap();
        let route = ResourceName::new("route").unwrap();
        let mut service_times = ServiceTimes::default();
        service_times.record(&route, MEAN_SERVICE_TIME);
        let limits = AdmissionLimits {
            slots: SLOTS,
            queue: QUEUE,
        };
        Self {
            gates: (0..GATES)
                .map(|_| AdmissionController::new(limits))
                .collect(),
            estimator: AcceptanceEstimator::new(zone.clone()),
            zone,
            service_times,
            route,
            callers: HashMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            acceptance_rule,
            results: Results::default(),
        }
    }

    /// Simulates `seconds`, with the load that `load` returns for each second as a ratio of
    /// capacity.
    pub fn run(mut self, seconds: u64, load: impl Fn(u64) -> f64) -> Results {
        self.plan_arrivals(seconds, load);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrives { call } => self.handle_arrival(call, now),
                Event::Ends { call, gate } => self.end_call(call, gate, now),
                Event::Abandons { call, gate } => self.handle_abandonment(call, gate, now),
            }
        }
        self.results
    }

    /// Schedules first attempts at random times within each second.
    fn plan_arrivals(&mut self, seconds: u64, load: impl Fn(u64) -> f64) {
        for second in 0..seconds {
            let calls = (capacity_per_second() * load(second)) as u64;
            for _ in 0..calls {
                let within = self.rng.random_range(0..1_000_000);
                let first = Moment(1 + second * 1_000_000 + within);
                let service_time = MEAN_SERVICE_TIME.mul_f64(self.rng.random_range(0.5..1.5));
                let call = self.callers.len() as u64;
                let caller = Caller {
                    first,
                    retries: 0,
                    service_time,
                    waiting: false,
                };
                self.callers.insert(call, caller);
                self.results.calls += 1;
                self.schedule(first, Event::Arrives { call });
            }
        }
    }

    /// Schedules `event` at the simulated time `moment`.
    fn schedule(&mut self, moment: Moment, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((moment, self.sequence, event)));
    }

    /// An attempt asks gate nodes in turn until one runs or queues it.
    fn handle_arrival(&mut self, call: u64, now: Moment) {
        let mut tried: Vec<usize> = Vec::new();
        while tried.len() < MAX_ATTEMPTS {
            let untried = (0..GATES).filter(|gate| !tried.contains(gate));
            let Some(gate) = untried.choose(&mut self.rng) else {
                break;
            };
            tried.push(gate);
            let others_likely = tried.len() < MAX_ATTEMPTS
                && (self.acceptance_rule)(&self.estimator, &self.zone, now);
            let max_wait = self.max_wait(call, others_likely, now);
            let arrival = self.arrival(call, max_wait, now);
            let admitted = self.gates[gate].arrive(arrival, now);
            let rejected = matches!(admitted, AdmissionDecision::Refused { .. });
            self.estimator.record(&self.zone.clone(), rejected, now);
            match admitted {
                AdmissionDecision::Run => return self.start_call(call, gate, now),
                AdmissionDecision::Wait => {
                    self.callers.get_mut(&call).unwrap().waiting = true;
                    let at = now + max_wait.mul_f64(ABANDON_FACTOR);
                    return self.schedule(at, Event::Abandons { call, gate });
                }
                AdmissionDecision::Refused { .. } => self.results.rejected_attempts += 1,
            }
            if !others_likely {
                break;
            }
        }
        self.handle_rejection(call, now);
    }

    /// Precedence of the call's present attempt.
    fn precedence(&self, call: u64) -> Precedence {
        match self.callers[&call].retries {
            0 => Precedence::FirstAttempt,
            _ => Precedence::Retry,
        }
    }

    /// Maximum queueing time of the call at a gate node; zero while another gate node is
    /// expected to accept it.
    fn max_wait(&self, call: u64, others_likely: bool, now: Moment) -> Duration {
        if others_likely {
            return Duration::ZERO;
        }
        let left = (self.callers[&call].first + DEADLINE).since(now);
        let precedence = self.precedence(call);
        self.service_times
            .max_wait(&self.route, TARGET_LATENCY, precedence, left)
    }

    fn arrival(&self, call: u64, max_wait: Duration, now: Moment) -> Arrival {
        Arrival {
            call,
            caller: String::new(),
            deadline: (self.callers[&call].first + DEADLINE).max(now),
            rank: 1,
            precedence: self.precedence(call),
            max_wait,
            expected_service_time: Some(MEAN_SERVICE_TIME),
        }
    }

    /// A call gets a slot; its end is scheduled.
    fn start_call(&mut self, call: u64, gate: usize, now: Moment) {
        let caller = self.callers.get_mut(&call).unwrap();
        caller.waiting = false;
        let end = now + caller.service_time;
        self.schedule(end, Event::Ends { call, gate });
    }

    /// A call ends and its caller gets the response.
    fn end_call(&mut self, call: u64, gate: usize, now: Moment) {
        let caller = self.callers[&call];
        Results::count(&mut self.results.responses, now);
        match now.since(caller.first) <= TARGET_LATENCY {
            true => self.results.in_time += 1,
            false => self.results.late += 1,
        }
        let released = self.gates[gate].release(Some(caller.service_time), now);
        for expired in released.expired {
            self.handle_rejection(expired, now);
        }
        if let Some(next) = released.run {
            self.start_call(next, gate, now);
        }
    }

    /// A call that has waited until its abandonment leaves the queue of its gate node.
    fn handle_abandonment(&mut self, call: u64, gate: usize, now: Moment) {
        if self.callers[&call].waiting && self.gates[gate].cancel(call) {
            self.results.rejected_attempts += 1;
            self.handle_rejection(call, now);
        }
    }

    /// An attempt was rejected; the caller retries later or gives up.
    fn handle_rejection(&mut self, call: u64, now: Moment) {
        let caller = self.callers.get_mut(&call).unwrap();
        caller.waiting = false;
        Results::count(&mut self.results.rejections, now);
        let back = now + RETRY_DELAY;
        if caller.retries == MAX_RETRIES || back >= caller.first + DEADLINE {
            self.results.rejected += 1;
            return;
        }
        caller.retries += 1;
        self.schedule(back, Event::Arrives { call });
    }
}
