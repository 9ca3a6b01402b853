//! The waiting calls of one rank.
//!
//! Calls of higher precedence go first. Within a precedence, callers (tenants or calling
//! services) share slots fairly by service time (see [`FairQueue`]), so that none can
//! starve the others. Of one caller's calls the shorter goes first (shortest job first):
//! where slots are scarce, that answers the most callers, and a short call is often one
//! that a longer call elsewhere holds its slot for. Among calls of about the same length
//! the earlier deadline goes first. At regular turns the longer call that has waited
//! longest goes before shorter ones, so that none starves.

use super::arrival::{Arrival, CallNumber};
use super::fair_queue::FairQueue;
use super::precedence::Precedence;
use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::ops::AddAssign;
use std::time::Duration;

/// Every this many turns, a longer call goes first if one waits.
const TURNS_PER_LONGER_CALL: u32 = 4;

/// Totals over waiting calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Number of calls.
    pub calls: u32,
    /// Sum of their expected service times.
    pub service_time: Duration,
}

impl Backlog {
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

/// Length of a call in powers of two. Calls of one step count as equally long, so that
/// small errors of the expected service time do not change the order.
fn length_step(service_time: Option<Duration>) -> u32 {
    service_time.map_or(0, |time| (time.as_millis() as u32).max(1).ilog2())
}

/// Sort key of a call among those of its caller; the smallest goes first.
fn sort_key(arrival: &Arrival) -> (Precedence, u32, Moment) {
    let length = length_step(arrival.expected_service_time);
    (arrival.precedence, length, arrival.deadline)
}

/// Waiting calls of one rank.
#[derive(Debug, Default)]
pub struct RankQueue {
    /// By caller; the first of each queue goes next.
    waiting: HashMap<String, VecDeque<Arrival>>,
    fair_queue: FairQueue,
    length: u32,
    /// Turns since a longer call went before shorter ones.
    turns_taken: u32,
}

impl RankQueue {
    /// Number of waiting calls.
    pub fn len(&self) -> u32 {
        self.length
    }

    /// True when no call waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Number of callers with waiting calls.
    pub fn callers(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Inserts `arrival` by its sort key.
    pub fn push(&mut self, arrival: Arrival) {
        if self.is_empty() {
            self.fair_queue.reset();
        }
        let queue = self.waiting.entry(arrival.caller.clone()).or_default();
        let index = queue.partition_point(|waiting| sort_key(waiting) <= sort_key(&arrival));
        queue.insert(index, arrival);
        self.length += 1;
    }

    /// Removes the call that goes next.
    pub fn pop(&mut self) -> Option<Arrival> {
        self.turns_taken += 1;
        if self.turns_taken >= TURNS_PER_LONGER_CALL {
            self.turns_taken = 0;
            if let Some(longer) = self.oldest_longer() {
                return self.take(longer);
            }
        }
        let next = self.next_in_turn()?;
        self.take(next)
    }

    /// The call of the highest precedence, from the caller with the smallest start tag.
    fn next_in_turn(&self) -> Option<CallNumber> {
        let heads = self.waiting.iter().filter_map(|(owner, queue)| {
            let head = queue.front()?;
            Some((head.precedence, self.fair_queue.start_tag(owner), head.call))
        });
        heads.min().map(|(_, _, call)| call)
    }

    /// Removes `call` and counts it as served.
    fn take(&mut self, call: CallNumber) -> Option<Arrival> {
        let taken = self.remove(call)?;
        self.fair_queue
            .served(&taken.caller, taken.expected_service_time);
        Some(taken)
    }

    /// Among waiting calls of the highest precedence, the oldest of those longer than the
    /// shortest.
    fn oldest_longer(&self) -> Option<CallNumber> {
        let all = || self.waiting.values().flatten();
        let highest = all().map(|arrival| arrival.precedence).min()?;
        let steps = || {
            all()
                .filter(|arrival| arrival.precedence == highest)
                .map(|arrival| (length_step(arrival.expected_service_time), arrival.call))
        };
        let shortest = steps().map(|(step, _)| step).min()?;
        steps()
            .filter(|(step, _)| *step > shortest)
            .map(|(_, call)| call)
            .min()
    }

    /// Removes `call`; `None` if it does not wait here.
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

    /// Totals over all waiting calls; those of unknown length count as `mean`.
    pub fn backlog(&self, mean: Duration) -> Backlog {
        sum(self.waiting.values().flatten(), mean)
    }

    /// Totals over waiting calls that go before `arrival`.
    pub fn ahead_of(&self, arrival: &Arrival, mean: Duration) -> Backlog {
        let ahead = |waiting: &&Arrival| sort_key(waiting) <= sort_key(arrival);
        sum(self.waiting.values().flatten().filter(ahead), mean)
    }

    /// Totals over waiting calls of the same caller that go before `arrival`.
    pub fn own_ahead_of(&self, arrival: &Arrival) -> Backlog {
        let own = self.waiting.get(&arrival.caller);
        let ahead = |waiting: &&Arrival| sort_key(waiting) <= sort_key(arrival);
        sum(own.into_iter().flatten().filter(ahead), Duration::ZERO)
    }

    /// Number of waiting calls of `caller`.
    pub fn of_caller(&self, caller: &str) -> u32 {
        self.waiting.get(caller).map_or(0, VecDeque::len) as u32
    }
}

fn sum<'a>(arrivals: impl Iterator<Item = &'a Arrival>, mean: Duration) -> Backlog {
    let mut sum = Backlog::default();
    for arrival in arrivals {
        sum.add(arrival, mean);
    }
    sum
}
