//! Three services that call each other in a ring under overload, each call holding its slot
//! while its nested call runs. No deadlock occurs, and fewer parents lose their work if
//! nested calls go first.

use rampthread_core::call::admission::{
    AdmissionController, AdmissionDecision, AdmissionLimits, Arrival,
};
use rampthread_core::call::precedence::Precedence;
use rampthread_core::call::service_times::ServiceTimes;
use rampthread_core::ids::ResourceName;
use rampthread_core::time::Moment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

const SERVICES: usize = 3;
const SLOTS: u32 = 12;
const SERVICE_TIME: Duration = Duration::from_millis(30);
const TARGET_LATENCY: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(1_000);
/// Probability that a call makes a nested one, up to the depth [`MAX_DEPTH`]: twice round
/// the ring.
const NESTED_CHANCE: f64 = 0.6;
const MAX_DEPTH: u32 = 6;
const LOAD_SECONDS: u64 = 10;
/// Calls from outside per service and second; with their nested calls they exceed the
/// capacity of the slots.
const CALLS_PER_SECOND: u64 = 100;

/// An event of the call with this number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(u64),
    /// The call's own work is done; a nested call may follow.
    Worked(u64),
    Abandons(u64),
}

/// Whether a call waits for a slot, holds one, or has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallState {
    Waits,
    Runs,
    Ended,
}

/// A call in the ring, and the call that it is nested in.
#[derive(Debug, Clone, Copy)]
struct Call {
    service: usize,
    parent: Option<u64>,
    depth: u32,
    deadline: Moment,
    state: CallState,
}

/// Numbers of calls from outside by outcome, and of calls whose work was lost.
#[derive(Debug, Default)]
struct Outcome {
    answered: u32,
    rejected: u32,
    /// Number of calls whose own work was lost when their nested call was rejected.
    work_lost: u32,
}

/// State of the simulated ring of services; `nested` is the precedence that nested calls
/// get.
struct Ring {
    gates: Vec<AdmissionController>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    times: ServiceTimes,
    route: ResourceName,
    nested: Precedence,
    rng: StdRng,
    outcome: Outcome,
    sequence: u64,
}

impl Ring {
    fn new(nested: Precedence, seed: u64) -> Self {
        let limits = AdmissionLimits {
            slots: SLOTS,
            queue: SLOTS,
        };
        let route = ResourceName::new("route").unwrap();
        let mut times = ServiceTimes::default();
        times.record(&route, SERVICE_TIME);
        Self {
            gates: (0..SERVICES)
                .map(|_| AdmissionController::new(limits))
                .collect(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            times,
            route,
            nested,
            rng: StdRng::seed_from_u64(seed),
            outcome: Outcome::default(),
            sequence: 0,
        }
    }

    /// Runs the simulation to its end; returns the final state and the time of the last event.
    fn run(mut self) -> (Self, Moment) {
        for number in 0..LOAD_SECONDS * CALLS_PER_SECOND * SERVICES as u64 {
            let at = Moment(1 + number * 1_000_000 / (CALLS_PER_SECOND * SERVICES as u64));
            let service = number as usize % SERVICES;
            self.call(service, None, 1, at + DEADLINE, at);
        }
        let mut last = Moment::default();
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            last = now;
            match event {
                Event::Arrives(call) => self.handle_arrival(call, now),
                Event::Worked(call) => self.handle_work_done(call, now),
                Event::Abandons(call) => self.handle_abandonment(call, now),
            }
        }
        (self, last)
    }

    /// Schedules `event` at the simulated time `moment`.
    fn schedule(&mut self, moment: Moment, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((moment, self.sequence, event)));
    }

    /// Adds a call that arrives at the time `at`.
    fn call(
        &mut self,
        service: usize,
        parent: Option<u64>,
        depth: u32,
        deadline: Moment,
        at: Moment,
    ) {
        let number = self.calls.len() as u64;
        self.calls.push(Call {
            service,
            parent,
            depth,
            deadline,
            state: CallState::Waits,
        });
        self.schedule(at, Event::Arrives(number));
    }

    /// Admits, queues or rejects an arriving call.
    fn handle_arrival(&mut self, number: u64, now: Moment) {
        let call = self.calls[number as usize];
        let precedence = match call.parent {
            Some(_) => self.nested,
            None => Precedence::FirstAttempt,
        };
        let left = call.deadline.since(now);
        let max_wait = self
            .times
            .max_wait(&self.route, TARGET_LATENCY, precedence, left);
        let arrival = Arrival {
            call: number,
            caller: String::new(),
            deadline: call.deadline,
            rank: 1,
            precedence,
            max_wait,
            expected_service_time: Some(SERVICE_TIME),
        };
        match self.gates[call.service].arrive(arrival, now) {
            AdmissionDecision::Run => self.start_call(number, now),
            AdmissionDecision::Wait => self.schedule(now + max_wait, Event::Abandons(number)),
            AdmissionDecision::Refused { .. } => self.handle_rejection(number, now),
        }
    }

    /// A call gets a slot and starts its own work.
    fn start_call(&mut self, number: u64, now: Moment) {
        self.calls[number as usize].state = CallState::Runs;
        self.schedule(now + SERVICE_TIME, Event::Worked(number));
    }

    /// A call has done its own work: it makes a nested call or ends.
    fn handle_work_done(&mut self, number: u64, now: Moment) {
        let call = self.calls[number as usize];
        if call.depth < MAX_DEPTH && self.rng.random_bool(NESTED_CHANCE) {
            let next = (call.service + 1) % SERVICES;
            return self.call(next, Some(number), call.depth + 1, call.deadline, now);
        }
        self.end_call(number, true, now);
    }

    /// Releases the slot of the call, and ends the parent, which waits for this call only.
    fn end_call(&mut self, number: u64, answered: bool, now: Moment) {
        let call = self.calls[number as usize];
        self.calls[number as usize].state = CallState::Ended;
        let released = self.gates[call.service].release(Some(SERVICE_TIME), now);
        for expired in released.expired {
            self.handle_rejection(expired, now);
        }
        if let Some(next) = released.run {
            self.start_call(next, now);
        }
        match call.parent {
            Some(parent) => self.end_call(parent, answered, now),
            None => self.outcome.answered += u32::from(answered),
        }
    }

    /// A call that has waited for its maximum queueing time leaves the queue.
    fn handle_abandonment(&mut self, number: u64, now: Moment) {
        let call = self.calls[number as usize];
        if call.state == CallState::Waits && self.gates[call.service].cancel(number) {
            self.handle_rejection(number, now);
        }
    }

    /// A call is rejected; the calls that it is nested in fail with it.
    fn handle_rejection(&mut self, number: u64, now: Moment) {
        let call = &mut self.calls[number as usize];
        call.state = CallState::Ended;
        match call.parent {
            Some(parent) => {
                self.outcome.work_lost += 1;
                self.end_call(parent, false, now);
            }
            None => self.outcome.rejected += 1,
        }
    }
}

#[test]
fn a_ring_of_services_never_deadlocks() {
    for seed in 0..5 {
        let (ring, last) = Ring::new(Precedence::Nested, seed).run();
        let end_of_load = Moment(1) + Duration::from_secs(LOAD_SECONDS);
        assert!(last <= end_of_load + DEADLINE + SERVICE_TIME * MAX_DEPTH);
        assert!(
            ring.gates.iter().all(|gate| gate.load() == 0),
            "a slot is held"
        );
        let states: HashMap<_, _> = ring
            .calls
            .iter()
            .map(|call| (call.state == CallState::Ended, ()))
            .collect();
        assert!(!states.contains_key(&false), "a call never ended");
    }
}

#[test]
fn fewer_parents_lose_their_work_where_nested_calls_go_first() {
    for seed in 0..5 {
        let (equal, _) = Ring::new(Precedence::FirstAttempt, seed).run();
        let (first, _) = Ring::new(Precedence::Nested, seed).run();
        println!("seed {seed}: as others {:?}", equal.outcome);
        println!("seed {seed}: nested first {:?}", first.outcome);
        assert!(first.outcome.work_lost < equal.outcome.work_lost);
        assert!(first.outcome.answered >= equal.outcome.answered);
    }
}
