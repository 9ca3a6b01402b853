//! Admission control of a gate: which calls run, wait or are rejected at its backend.
//!
//! Invariant: running calls never exceed the slots. A call waits only while its deadline
//! can be met, and is rejected at once otherwise. Waiting calls are served by the rank of
//! their tenant, else of their route; for the order within a rank see [`RankQueue`].

pub use super::arrival::{Arrival, CallNumber, Rank};
use super::rank_queue::{Backlog, RankQueue};
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest service time in the running mean.
const MEAN_WEIGHT: f64 = 0.1;
/// Mean service time before the first measurement.
const INITIAL_MEAN: Duration = Duration::from_millis(5);
/// Minimum retry advice: a caller that returns while the slots are still taken is rejected
/// again.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits of one backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Calls that may run at a time.
    pub slots: u32,
    /// Calls that may wait.
    pub queue: u32,
}

/// What becomes of an arriving call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run,
    /// It waits; a later `release` returns it.
    Wait,
    /// It was not run and never will be.
    Refused {
        /// When to retry.
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

/// Slots and queue of one backend.
#[derive(Debug)]
pub struct AdmissionController {
    limits: AdmissionLimits,
    running: u32,
    ranks: BTreeMap<Rank, RankQueue>,
    mean: Duration,
    draining: bool,
}

impl AdmissionController {
    /// An idle backend.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            running: 0,
            ranks: BTreeMap::new(),
            mean: INITIAL_MEAN,
            draining: false,
        }
    }

    /// Sets new limits; running calls are not aborted.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Starts or stops rejecting all new calls.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Number of running calls.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting calls.
    pub fn queued(&self) -> u32 {
        self.ranks.values().map(RankQueue::len).sum()
    }

    /// Number of running and waiting calls.
    pub fn load(&self) -> u32 {
        self.running + self.queued()
    }

    /// Admits, queues or rejects a call.
    pub fn arrive(&mut self, arrival: Arrival, now: Moment) -> AdmissionDecision {
        let admitted = self.decide(&arrival, now);
        match admitted {
            AdmissionDecision::Run => self.running += 1,
            AdmissionDecision::Wait => self.ranks.entry(arrival.rank).or_default().push(arrival),
            AdmissionDecision::Refused { .. } => {}
        }
        admitted
    }

    /// What `arrive` would return for this call, without side effects.
    pub fn decide(&self, arrival: &Arrival, now: Moment) -> AdmissionDecision {
        if self.draining || arrival.deadline <= now {
            return self.rejection(arrival);
        }
        if self.running < self.limits.slots && self.queued() == 0 {
            return AdmissionDecision::Run;
        }
        if !self.may_wait(arrival, now) {
            return self.rejection(arrival);
        }
        AdmissionDecision::Wait
    }

    fn rejection(&self, arrival: &Arrival) -> AdmissionDecision {
        AdmissionDecision::Refused {
            retry_after: self.expected_wait(arrival).max(MIN_RETRY_AFTER),
        }
    }

    fn may_wait(&self, arrival: &Arrival, now: Moment) -> bool {
        let wait = self.expected_wait(arrival);
        let answer_expected = now + wait + self.mean;
        wait <= arrival.max_wait
            && self.fits_in_queue(arrival)
            && answer_expected <= arrival.deadline
    }

    /// A caller without calls in the queue may use it up to twice its limit, even when
    /// others have filled it. Calls that would wait behind this one do not count, but all
    /// together stay within twice the limit.
    fn fits_in_queue(&self, arrival: &Arrival) -> bool {
        let limit = self.limits.queue;
        let ahead = self.ahead_of(arrival).calls;
        let Some(rank) = self.ranks.get(&arrival.rank) else {
            return ahead < limit * 2;
        };
        let own = rank.of_caller(&arrival.caller);
        if own == 0 {
            return ahead < limit * 2;
        }
        let own_ahead = rank.own_ahead_of(arrival).calls;
        let share = limit.div_ceil(rank.callers().max(1));
        ahead < limit && own_ahead < share && own < share * 2
    }

    /// Waiting calls that go before `arrival`.
    fn ahead_of(&self, arrival: &Arrival) -> Backlog {
        let mut ahead = Backlog::default();
        for (_, queue) in self.ranks.range(..arrival.rank) {
            ahead += queue.backlog(self.mean);
        }
        if let Some(own) = self.ranks.get(&arrival.rank) {
            ahead += own.ahead_of(arrival, self.mean);
        }
        ahead
    }

    /// Time until a slot is free for `arrival`, if it waits: the work ahead of it, shared
    /// by the slots, after the first running call has ended.
    fn expected_wait(&self, arrival: &Arrival) -> Duration {
        let ahead = self.ahead_of(arrival).service_time + self.mean;
        ahead / self.limits.slots.max(1)
    }

    /// Ends a running call and picks the next. `service_time` is `None` if it says nothing
    /// of the backend.
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
        let rank = *self.ranks.iter().find(|(_, queue)| !queue.is_empty())?.0;
        self.ranks.get_mut(&rank)?.pop()
    }

    /// Removes a waiting call that its caller has abandoned. False if it no longer waits:
    /// it runs or has ended.
    pub fn cancel(&mut self, call: CallNumber) -> bool {
        self.ranks
            .values_mut()
            .any(|rank| rank.remove(call).is_some())
    }
}
