//! What the node beside a back end lets in.
//!
//! Invariant: calls running never exceed the slots. A call waits only while its
//! deadline can be met, and is refused at once otherwise. Waiting calls go by
//! the rank of their tenant, else of their route; within a rank, see [`RankQueue`].

pub use super::arrival::{Arrival, CallNumber, Rank};
use super::rank_queue::{Backlog, RankQueue};
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest service time in the running mean.
const MEAN_WEIGHT: f64 = 0.1;
/// Mean service time before the first measurement.
const FIRST_MEAN: Duration = Duration::from_millis(5);
/// Shortest advice when to come back: a caller that comes back while the slots
/// are still taken is refused again. 1 s measured better than 0.5 s and 0.1 s
/// (docs/LOAD.md).
const LEAST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits of one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Calls that may run at once.
    pub slots: u32,
    /// Calls that may wait.
    pub queue: u32,
}

/// What becomes of an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
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

/// The door of one back end.
#[derive(Debug)]
pub struct AdmissionController {
    limits: AdmissionLimits,
    running: u32,
    ranks: BTreeMap<Rank, RankQueue>,
    mean: Duration,
    draining: bool,
}

impl AdmissionController {
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
        self.ranks.values().map(RankQueue::len).sum()
    }

    /// Calls running and waiting.
    pub fn load(&self) -> u32 {
        self.running + self.queued()
    }

    /// A call arrives.
    pub fn arrive(&mut self, arrival: Arrival, now: Moment) -> AdmissionDecision {
        let admitted = self.decide(&arrival, now);
        match admitted {
            AdmissionDecision::Run => self.running += 1,
            AdmissionDecision::Wait => self.ranks.entry(arrival.rank).or_default().push(arrival),
            AdmissionDecision::Refused { .. } => {}
        }
        admitted
    }

    /// What would become of a call that arrived now.
    pub fn decide(&self, arrival: &Arrival, now: Moment) -> AdmissionDecision {
        if self.draining || arrival.deadline <= now {
            return self.refuse(arrival);
        }
        if self.running < self.limits.slots && self.queued() == 0 {
            return AdmissionDecision::Run;
        }
        if !self.may_wait(arrival, now) {
            return self.refuse(arrival);
        }
        AdmissionDecision::Wait
    }

    fn refuse(&self, arrival: &Arrival) -> AdmissionDecision {
        AdmissionDecision::Refused {
            retry_after: self.expected_wait(arrival).max(LEAST_RETRY_AFTER),
        }
    }

    fn may_wait(&self, arrival: &Arrival, now: Moment) -> bool {
        let wait = self.expected_wait(arrival);
        let answer_expected = now + wait + self.mean;
        wait <= arrival.max_wait && self.has_room(arrival) && answer_expected <= arrival.deadline
    }

    /// A caller with nothing in the queue finds room even when others have
    /// filled it, within twice the queue. Calls that would wait behind do not
    /// count, but all together stay within twice the queue.
    fn has_room(&self, arrival: &Arrival) -> bool {
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

    /// Time until a slot is free for `arrival`, if it waits: the work ahead of
    /// it, shared by the slots, after the first of the running calls has ended.
    fn expected_wait(&self, arrival: &Arrival) -> Duration {
        let ahead = self.ahead_of(arrival).work + self.mean;
        ahead / self.limits.slots.max(1)
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
        let rank = *self.ranks.iter().find(|(_, queue)| !queue.is_empty())?.0;
        self.ranks.get_mut(&rank)?.pop()
    }

    /// A waiting call was given up by its caller. False when it does not wait
    /// any more: it runs or has ended.
    pub fn cancel(&mut self, call: CallNumber) -> bool {
        self.ranks
            .values_mut()
            .any(|rank| rank.remove(call).is_some())
    }
}
