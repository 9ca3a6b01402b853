//! What the node beside a back end lets in.
//!
//! Invariant: calls running never exceed the slots. A call waits only while its
//! deadline can be met, and is refused at once otherwise. Waiting calls go by
//! the rank of their route; within a rank, callers take turns, so that one
//! caller cannot starve the rest; a caller's own calls go by their deadlines.

use crate::time::Moment;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Weight of the newest service time in the running mean.
const MEAN_WEIGHT: f64 = 0.1;
/// Mean service time before the first measurement.
const FIRST_MEAN: Duration = Duration::from_millis(5);
/// Shortest advice when to come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Names one call at one gate.
pub type CallNumber = u64;

/// Rank of a route's calls; 0 goes first.
pub type Rank = u32;

/// Limits of one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Calls that may run at once.
    pub slots: u32,
    /// Calls that may wait.
    pub queue: u32,
}

/// A call at the door.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Which call.
    pub call: CallNumber,
    /// The service that makes it.
    pub caller: String,
    /// When its answer is worthless.
    pub deadline: Moment,
    /// Rank of its route.
    pub rank: Rank,
    /// Longest wait that is worth it; zero: the call runs now or not at all,
    /// since another back end may be free.
    pub patience: Duration,
}

/// What becomes of an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admitted {
    /// It runs now.
    Run,
    /// It waits; `release` will name it.
    Wait,
    /// It was not run and never will be.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// What a released slot leads to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Released {
    /// The call that runs next.
    pub run: Option<CallNumber>,
    /// Waiting calls whose deadline has passed.
    pub expired: Vec<CallNumber>,
}

/// Waiting calls of one rank.
#[derive(Debug, Default)]
struct RankQueue {
    waiting: HashMap<String, VecDeque<Arrival>>,
    /// Callers with waiting calls, next in turn first.
    turns: VecDeque<String>,
    length: u32,
}

impl RankQueue {
    fn push(&mut self, arrival: Arrival) {
        let queue = self.waiting.entry(arrival.caller.clone()).or_default();
        if queue.is_empty() {
            self.turns.push_back(arrival.caller.clone());
        }
        // The earliest deadline goes first: a call that another call waits for
        // has less time left than that one, and holds its slot.
        let place = queue.partition_point(|waiting| waiting.deadline <= arrival.deadline);
        queue.insert(place, arrival);
        self.length += 1;
    }

    fn pop(&mut self) -> Option<Arrival> {
        let caller = self.turns.pop_front()?;
        let queue = self.waiting.get_mut(&caller)?;
        let arrival = queue.pop_front();
        if queue.is_empty() {
            self.waiting.remove(&caller);
        } else {
            self.turns.push_back(caller);
        }
        self.length -= 1;
        arrival
    }

    fn withdraw(&mut self, call: CallNumber) -> bool {
        let holder = self
            .waiting
            .iter()
            .find(|(_, queue)| queue.iter().any(|arrival| arrival.call == call))
            .map(|(caller, _)| caller.clone());
        let Some(caller) = holder else { return false };
        if let Some(queue) = self.waiting.get_mut(&caller) {
            queue.retain(|arrival| arrival.call != call);
            if queue.is_empty() {
                self.waiting.remove(&caller);
                self.turns.retain(|turn| *turn != caller);
            }
        }
        self.length -= 1;
        true
    }

    /// Calls that go before one with this deadline.
    fn due_by(&self, deadline: Moment) -> u32 {
        self.waiting
            .values()
            .map(|queue| queue.partition_point(|waiting| waiting.deadline <= deadline) as u32)
            .sum()
    }

    fn of_caller(&self, caller: &str) -> u32 {
        self.waiting.get(caller).map_or(0, VecDeque::len) as u32
    }
}

/// The door of one back end.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    running: u32,
    ranks: BTreeMap<Rank, RankQueue>,
    mean: Duration,
    draining: bool,
}

impl Admission {
    /// An idle back end.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            running: 0,
            ranks: BTreeMap::new(),
            mean: FIRST_MEAN,
            draining: false,
        }
    }

    /// Takes over new limits; running calls are not cut.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Refuses all new work from now on, or takes it again.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Calls running now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Calls waiting now.
    pub fn queued(&self) -> u32 {
        self.ranks.values().map(|rank| rank.length).sum()
    }

    /// Calls running and waiting.
    pub fn load(&self) -> u32 {
        self.running + self.queued()
    }

    /// A call arrives.
    pub fn arrive(&mut self, arrival: Arrival, now: Moment) -> Admitted {
        if self.draining || arrival.deadline <= now {
            return self.refuse(&arrival);
        }
        if self.running < self.limits.slots && self.queued() == 0 {
            self.running += 1;
            return Admitted::Run;
        }
        if !self.may_wait(&arrival, now) {
            return self.refuse(&arrival);
        }
        self.ranks.entry(arrival.rank).or_default().push(arrival);
        Admitted::Wait
    }

    fn refuse(&self, arrival: &Arrival) -> Admitted {
        Admitted::Refused {
            retry_after: self.expected_wait(arrival).max(LEAST_RETRY_AFTER),
        }
    }

    fn may_wait(&self, arrival: &Arrival, now: Moment) -> bool {
        let wait = self.expected_wait(arrival);
        let answer_expected = now + wait + self.mean;
        wait <= arrival.patience && self.has_room(arrival) && answer_expected <= arrival.deadline
    }

    /// A caller with nothing in the queue finds room even when others have
    /// filled it, within twice the queue. Calls of a lower rank do not count:
    /// they wait behind.
    fn has_room(&self, arrival: &Arrival) -> bool {
        let ahead = self.ahead_of(arrival);
        let rank = self.ranks.get(&arrival.rank);
        let own = rank.map_or(0, |rank| rank.of_caller(&arrival.caller));
        if own == 0 {
            return ahead < self.limits.queue * 2;
        }
        let callers = rank.map_or(1, |rank| rank.turns.len().max(1)) as u32;
        ahead < self.limits.queue && own < self.limits.queue.div_ceil(callers)
    }

    /// Waiting calls that go before `arrival`.
    fn ahead_of(&self, arrival: &Arrival) -> u32 {
        let higher: u32 = self
            .ranks
            .range(..arrival.rank)
            .map(|(_, queue)| queue.length)
            .sum();
        let own = self.ranks.get(&arrival.rank);
        higher + own.map_or(0, |queue| queue.due_by(arrival.deadline))
    }

    /// Time until a slot is free for `arrival`, if it waits.
    fn expected_wait(&self, arrival: &Arrival) -> Duration {
        let slots = self.limits.slots.max(1);
        let ahead = self.ahead_of(arrival) + 1;
        self.mean.mul_f64(f64::from(ahead) / f64::from(slots))
    }

    /// A running call ended after `service_time`; none when its time says
    /// nothing of the back end.
    pub fn release(&mut self, service_time: Option<Duration>, now: Moment) -> Released {
        if let Some(service_time) = service_time {
            let newest = service_time.as_secs_f64() * MEAN_WEIGHT;
            let older = self.mean.as_secs_f64() * (1.0 - MEAN_WEIGHT);
            self.mean = Duration::from_secs_f64(newest + older);
        }
        self.running = self.running.saturating_sub(1);
        self.next(now)
    }

    fn next(&mut self, now: Moment) -> Released {
        let mut released = Released::default();
        while self.running < self.limits.slots {
            let Some(arrival) = self.take_next() else {
                break;
            };
            if arrival.deadline <= now {
                released.expired.push(arrival.call);
                continue;
            }
            self.running += 1;
            released.run = Some(arrival.call);
            break;
        }
        released
    }

    fn take_next(&mut self) -> Option<Arrival> {
        let rank = *self.ranks.iter().find(|(_, queue)| queue.length > 0)?.0;
        self.ranks.get_mut(&rank)?.pop()
    }

    /// A waiting call was given up by its caller. False when it does not wait
    /// any more: it runs or has ended.
    pub fn withdraw(&mut self, call: CallNumber) -> bool {
        self.ranks.values_mut().any(|rank| rank.withdraw(call))
    }
}
