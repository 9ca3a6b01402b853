//! The waiting calls of one rank.
//!
//! Calls of higher precedence go first. Among those of one precedence their owners,
//! tenants or calling services, take turns by work (see [`FairQueue`]), so that none can
//! starve the rest. Of one owner's calls the shorter one goes first (shortest job
//! first): where slots are scarce, that answers the most callers, and a short call is
//! often one that a longer call elsewhere holds its slot for. Among calls of about the
//! same length the earlier deadline goes first.
//! Every few turns the longer call that has waited longest goes before shorter
//! ones, so that none is starved.

use super::arrival::{Arrival, CallNumber};
use super::fair_queue::FairQueue;
use super::precedence::Precedence;
use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::ops::AddAssign;
use std::time::Duration;

/// One turn in so many goes to a longer call, if one waits.
const TURNS_PER_LONGER: u32 = 4;

/// Waiting calls, summed up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// How many.
    pub calls: u32,
    /// Work expected for all of them.
    pub work: Duration,
}

impl Backlog {
    fn add(&mut self, arrival: &Arrival, mean: Duration) {
        self.calls += 1;
        self.work += arrival.expected_service_time.unwrap_or(mean);
    }
}

impl AddAssign for Backlog {
    fn add_assign(&mut self, other: Self) {
        self.calls += other.calls;
        self.work += other.work;
    }
}

/// Length of a call in steps of a factor of two: calls of one step count as
/// equally long, so that small errors of the expected work reorder nothing.
fn length_step(work: Option<Duration>) -> u32 {
    work.map_or(0, |work| (work.as_millis() as u32).max(1).ilog2())
}

/// Place of a call among those of its caller; less goes first.
fn place_of(arrival: &Arrival) -> (Precedence, u32, Moment) {
    let length = length_step(arrival.expected_service_time);
    (arrival.precedence, length, arrival.deadline)
}

/// Waiting calls of one rank.
#[derive(Debug, Default)]
pub struct RankQueue {
    /// By caller, next first.
    waiting: HashMap<String, VecDeque<Arrival>>,
    turns: FairQueue,
    length: u32,
    /// Turns since a longer call went before shorter ones.
    turns_taken: u32,
}

impl RankQueue {
    /// Calls waiting.
    pub fn len(&self) -> u32 {
        self.length
    }

    /// True when no call waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Callers with waiting calls.
    pub fn callers(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Puts `arrival` in its place.
    pub fn push(&mut self, arrival: Arrival) {
        if self.is_empty() {
            self.turns.reset();
        }
        let queue = self.waiting.entry(arrival.caller.clone()).or_default();
        let place = queue.partition_point(|waiting| place_of(waiting) <= place_of(&arrival));
        queue.insert(place, arrival);
        self.length += 1;
    }

    /// Takes the next call.
    pub fn pop(&mut self) -> Option<Arrival> {
        self.turns_taken += 1;
        if self.turns_taken >= TURNS_PER_LONGER {
            self.turns_taken = 0;
            if let Some(longer) = self.oldest_longer() {
                return self.take(longer);
            }
        }
        let next = self.next_in_turn()?;
        self.take(next)
    }

    /// The call of the highest precedence whose owner's turn it is.
    fn next_in_turn(&self) -> Option<CallNumber> {
        let heads = self.waiting.iter().filter_map(|(owner, queue)| {
            let head = queue.front()?;
            Some((head.precedence, self.turns.start_tag(owner), head.call))
        });
        heads.min().map(|(_, _, call)| call)
    }

    /// Takes `call`, which is served now.
    fn take(&mut self, call: CallNumber) -> Option<Arrival> {
        let taken = self.remove(call)?;
        self.turns
            .served(&taken.caller, taken.expected_service_time);
        Some(taken)
    }

    /// The oldest of the calls that are longer than the shortest one, among
    /// those of the highest precedence that wait.
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

    /// Removes `call`; none when it does not wait here.
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

    /// All waiting calls; those of unknown length count as `mean`.
    pub fn backlog(&self, mean: Duration) -> Backlog {
        sum(self.waiting.values().flatten(), mean)
    }

    /// Waiting calls that go before `arrival`.
    pub fn ahead_of(&self, arrival: &Arrival, mean: Duration) -> Backlog {
        let ahead = |waiting: &&Arrival| place_of(waiting) <= place_of(arrival);
        sum(self.waiting.values().flatten().filter(ahead), mean)
    }

    /// Waiting calls of the same caller that go before `arrival`.
    pub fn own_ahead_of(&self, arrival: &Arrival) -> Backlog {
        let own = self.waiting.get(&arrival.caller);
        let ahead = |waiting: &&Arrival| place_of(waiting) <= place_of(arrival);
        sum(own.into_iter().flatten().filter(ahead), Duration::ZERO)
    }

    /// Waiting calls of `caller`.
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
