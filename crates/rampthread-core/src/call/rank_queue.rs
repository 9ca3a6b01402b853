//! Queue of the waiting calls of one rank.
//!
//! Calls of higher precedence go first. Within a precedence, callers (tenants or calling
//! services) share slots fairly by service time (see [`FairQueue`]), so that none can
//! starve the others. Among the calls of one caller the one with the shortest expected
//! service time goes first (shortest job first). Where slots are scarce, this answers the
//! most calls. Also, a short call is often nested in a longer call, which holds a slot at
//! another backend until the short one ends. Among calls of about the same service time the
//! one with the earlier deadline goes first. At regular intervals a longer call goes before
//! shorter ones, so that long calls are not starved.

use super::arrival::{Arrival, CallNumber};
use super::fair_queue::FairQueue;
use super::precedence::Precedence;
use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::ops::AddAssign;
use std::time::Duration;

/// One served call in this many is a long call that goes before the shorter ones in the
/// queue, so that it is not starved.
const TURNS_PER_LONGER_CALL: u32 = 4;

/// Number and total service time of a set of waiting calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// How many calls are in the set.
    pub calls: u32,
    /// Sum of the expected service times of the calls in the set.
    pub service_time: Duration,
}

impl Backlog {
    /// Adds a call to the set; a call of unknown service time counts as `mean`.
    fn add(&mut self, arrival: &Arrival, mean: Duration) {
        self.calls += 1;
        self.service_time += arrival.expected_service_time.unwrap_or(mean);
    }
}

impl AddAssign for Backlog {
    fn add_assign(&mut self, other: Self) {
        self.calls += other.calls;
        self.service_time += other.service_time;
    }
}

/// Binary logarithm of a call's service time in milliseconds, rounded down. Calls with the
/// same value count as equally long, so that small errors of the expected service time do
/// not change the order.
fn service_time_step(service_time: Option<Duration>) -> u32 {
    service_time.map_or(0, |time| (time.as_millis() as u32).max(1).ilog2())
}

/// Sort key of a call among those of its caller; the call with the least key goes first.
fn call_sort_key(arrival: &Arrival) -> (Precedence, u32, Moment) {
    let length = service_time_step(arrival.expected_service_time);
    (arrival.precedence, length, arrival.deadline)
}

/// Queue of the waiting calls of one rank. Calls are served by precedence, then by fair
/// queueing among callers, then by expected service time.
#[derive(Debug, Default)]
pub struct RankQueue {
    /// Calls of each caller, in the order in which they are served.
    waiting: HashMap<String, VecDeque<Arrival>>,
    fair_queue: FairQueue,
    /// Number of waiting calls of all callers together.
    length: u32,
    /// Number of calls served since a long call last went before shorter ones.
    turns_taken: u32,
}

impl RankQueue {
    /// How many calls wait in this queue.
    pub fn len(&self) -> u32 {
        self.length
    }

    /// True when no call waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The numbers of all waiting calls, in no particular order.
    pub fn into_calls(self) -> impl Iterator<Item = CallNumber> {
        let queues = self.waiting.into_values();
        queues.flatten().map(|arrival| arrival.call)
    }

    /// How many callers have calls in the queue.
    pub fn callers(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Puts a call into its caller's queue, before the calls with a greater sort key.
    pub fn push(&mut self, arrival: Arrival) {
        if self.is_empty() {
            self.fair_queue.reset();
        }
        let queue = self.waiting.entry(arrival.caller.clone()).or_default();
        let index =
            queue.partition_point(|waiting| call_sort_key(waiting) <= call_sort_key(&arrival));
        queue.insert(index, arrival);
        self.length += 1;
    }

    /// Takes the call that is served next from the queue; `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<Arrival> {
        self.turns_taken += 1;
        if self.turns_taken >= TURNS_PER_LONGER_CALL {
            self.turns_taken = 0;
            if let Some(longer) = self.oldest_longer_call() {
                return self.take(longer);
            }
        }
        let next = self.next_call_in_turn()?;
        self.take(next)
    }

    /// Finds the call to serve next: of the highest precedence, from the caller that has
    /// received least service.
    fn next_call_in_turn(&self) -> Option<CallNumber> {
        let heads = self.waiting.iter().filter_map(|(owner, queue)| {
            let head = queue.front()?;
            Some((head.precedence, self.fair_queue.start_tag(owner), head.call))
        });
        heads.min().map(|(_, _, call)| call)
    }

    /// Removes `call` and counts its service time as received by its caller.
    fn take(&mut self, call: CallNumber) -> Option<Arrival> {
        let taken = self.remove(call)?;
        self.fair_queue
            .served(&taken.caller, taken.expected_service_time);
        Some(taken)
    }

    /// Finds the long call to serve before shorter ones, so that long calls are not
    /// starved. Of the waiting calls of the highest precedence that are longer than the
    /// shortest, it is the one that arrived first.
    fn oldest_longer_call(&self) -> Option<CallNumber> {
        let all = || self.waiting.values().flatten();
        let highest = all().map(|arrival| arrival.precedence).min()?;
        let steps = || {
            all()
                .filter(|arrival| arrival.precedence == highest)
                .map(|arrival| {
                    (
                        service_time_step(arrival.expected_service_time),
                        arrival.call,
                    )
                })
        };
        let shortest = steps().map(|(step, _)| step).min()?;
        steps()
            .filter(|(step, _)| *step > shortest)
            .map(|(_, call)| call)
            .min()
    }

    /// Takes `call` out of the queue without serving it; `None` if the queue does not
    /// contain it.
    pub fn remove(&mut self, call: CallNumber) -> Option<Arrival> {
        let (caller, index) = self.waiting.iter().find_map(|(caller, queue)| {
            let index = queue.iter().position(|arrival| arrival.call == call)?;
            Some((caller.clone(), index))
        })?;
        let queue = self.waiting.get_mut(&caller)?;
        let removed = queue.remove(index);
        if queue.is_empty() {
            self.waiting.remove(&caller);
        }
        self.length -= 1;
        removed
    }

    /// Number and total service time of all calls in the queue; a call of unknown service
    /// time counts as `mean`.
    pub fn backlog(&self, mean: Duration) -> Backlog {
        backlog_of(self.waiting.values().flatten(), mean)
    }

    /// Number and total service time of the waiting calls that are served before `arrival`;
    /// a call of unknown service time counts as `mean`.
    pub fn ahead_of(&self, arrival: &Arrival, mean: Duration) -> Backlog {
        let ahead = |waiting: &&Arrival| call_sort_key(waiting) <= call_sort_key(arrival);
        backlog_of(self.waiting.values().flatten().filter(ahead), mean)
    }

    /// Number and total service time of the waiting calls of the same caller that are
    /// served before `arrival`; a call of unknown service time counts as zero.
    pub fn own_ahead_of(&self, arrival: &Arrival) -> Backlog {
        let own = self.waiting.get(&arrival.caller);
        let ahead = |waiting: &&Arrival| call_sort_key(waiting) <= call_sort_key(arrival);
        backlog_of(own.into_iter().flatten().filter(ahead), Duration::ZERO)
    }

    /// How many calls of `caller` wait in this queue.
    pub fn of_caller(&self, caller: &str) -> u32 {
        self.waiting.get(caller).map_or(0, VecDeque::len) as u32
    }
}

/// Counts a set of calls and adds up their service times; a call of unknown service time
/// counts as `mean`.
fn backlog_of<'a>(arrivals: impl Iterator<Item = &'a Arrival>, mean: Duration) -> Backlog {
    let mut backlog = Backlog::default();
    for arrival in arrivals {
        backlog.add(arrival, mean);
    }
    backlog
}
