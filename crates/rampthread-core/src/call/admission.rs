//! Admission control of a gate node, the node that forwards calls to its local backend:
//! which calls run, wait in the queue or are rejected.
//!
//! Invariants: running calls never exceed the backend's slots, and calls never start faster
//! than the rate limit that the backend names allows. A call waits only while its
//! deadline can be met, and is rejected at once otherwise. Waiting calls are served by the
//! rank of their tenant, else of their route; for the order within a rank see
//! [`RankQueue`].

pub use super::arrival::{Arrival, CallNumber, Rank};
use super::rank_queue::{Backlog, RankQueue};
use super::rate_limiter::RateLimiter;
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest service time in the mean service time.
const MEAN_WEIGHT: f64 = 0.1;
/// Mean service time that is assumed before the first measurement.
const INITIAL_MEAN: Duration = Duration::from_millis(5);
/// Minimum time after which the caller of a rejected call is told to retry. A retry while
/// all slots are still in use would be rejected again.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits for the calls that one backend's gate node accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of calls that run at the backend at a time.
    pub slots: u32,
    /// Maximum number of calls that wait in the queue.
    pub queue: u32,
}

/// What the backend's gate node decides about a call that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call gets a slot of the backend and runs now.
    Run,
    /// The call waits in the queue until [`AdmissionController::release`] or
    /// [`AdmissionController::start_next`] returns it.
    Wait,
    /// The call is rejected: it was not run and never will be.
    Refused(Refusal),
}

/// Why and how long a call cannot run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which the caller should retry the call.
    pub retry_after: Duration,
    /// True if slots are free, and the backend's rate limit is the reason.
    pub by_rate_limit: bool,
}

/// Result of releasing the slot of a call that has ended: calls that leave the queue.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Released {
    /// The waiting call that runs next, if any.
    pub run: Option<CallNumber>,
    /// Waiting calls that are dropped, since their deadline has passed or the backend takes no
    /// more calls.
    pub expired: Vec<CallNumber>,
}

/// Decides which calls run at one backend, and keeps the queue of those that wait.
#[derive(Debug)]
pub struct AdmissionController {
    limits: AdmissionLimits,
    running: u32,
    /// Waiting calls by rank; the lowest rank is served first.
    ranks: BTreeMap<Rank, RankQueue>,
    /// Moving average of the service times of the calls that ran at the backend.
    mean: Duration,
    /// True while the backend shuts down, so that all new calls are rejected.
    draining: bool,
    /// Rate limit that the backend names.
    rate_limiter: RateLimiter,
}

impl AdmissionController {
    /// Creates an admission controller for a backend that has no running or waiting calls.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            running: 0,
            ranks: BTreeMap::new(),
            mean: INITIAL_MEAN,
            draining: false,
            rate_limiter: RateLimiter::default(),
        }
    }

    /// The rate limit that the backend names. Calls in the queue may start when it changes:
    /// see [`Self::start_next`].
    pub fn rate_limiter(&mut self) -> &mut RateLimiter {
        &mut self.rate_limiter
    }

    /// Slots that the backend can use at the rate that it names; all slots if it names none.
    pub fn usable_slots(&self, slots: f64) -> f64 {
        match self.rate_limiter.limit() {
            Some(limit) => slots.min(limit.per_second() * self.mean.as_secs_f64()),
            None => slots,
        }
    }

    /// Time until the backend can be expected to start one more call, as far as its rate limit
    /// decides.
    pub fn rate_limit_wait(&self, now: Moment) -> Duration {
        self.rate_limiter.wait_for_newcomer(self.queued(), now)
    }

    /// Sets new limits; calls that already run or wait are kept.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Starts or stops rejecting all new calls, which the gate node does while its backend
    /// shuts down.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// How many slots of the backend are in use, one for each running call.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// How many calls wait in the queue for a slot of the backend.
    pub fn queued(&self) -> u32 {
        self.ranks.values().map(RankQueue::len).sum()
    }

    /// How many calls run or wait; reported to other nodes as the load of the backend.
    pub fn load(&self) -> u32 {
        self.running + self.queued()
    }

    /// Decides whether an arriving call runs, waits or is rejected. A call that runs is
    /// counted, and a call that waits is put into the queue.
    pub fn arrive(&mut self, arrival: Arrival, now: Moment) -> AdmissionDecision {
        let admitted = self.decide(&arrival, now);
        match admitted {
            AdmissionDecision::Run => {
                self.rate_limiter.try_take(now);
                self.running += 1;
            }
            AdmissionDecision::Wait => self.ranks.entry(arrival.rank).or_default().push(arrival),
            AdmissionDecision::Refused(refusal) if refusal.by_rate_limit => {
                return AdmissionDecision::Refused(self.advise_retry(refusal, now));
            }
            AdmissionDecision::Refused(_) => {}
        }
        admitted
    }

    /// What [`Self::arrive`] would decide about this call. Neither the queue nor the count
    /// of running calls changes.
    pub fn decide(&self, arrival: &Arrival, now: Moment) -> AdmissionDecision {
        if self.draining || arrival.deadline <= now {
            return AdmissionDecision::Refused(self.refusal(arrival, now));
        }
        if self.has_free_slot() && self.queued() == 0 && self.rate_limiter.has_token(now) {
            return AdmissionDecision::Run;
        }
        if !self.may_wait(arrival, now) {
            return AdmissionDecision::Refused(self.refusal(arrival, now));
        }
        AdmissionDecision::Wait
    }

    /// True if a slot of the backend is not in use.
    fn has_free_slot(&self) -> bool {
        self.running < self.limits.slots
    }

    /// Rejects a call, with the time until it is expected that it could run.
    fn refusal(&self, arrival: &Arrival, now: Moment) -> Refusal {
        let by_rate_limit = self.rate_limiter.limit().is_some() && self.has_free_slot();
        let wait = self.expected_wait(arrival, now);
        let shortest = match by_rate_limit {
            true => Duration::ZERO,
            false => MIN_RETRY_AFTER,
        };
        Refusal {
            retry_after: wait.max(shortest),
            by_rate_limit,
        }
    }

    /// Gives a call that the rate limit refuses a retry delay that no other call is given.
    fn advise_retry(&mut self, refusal: Refusal, now: Moment) -> Refusal {
        let queued = self.queued();
        Refusal {
            retry_after: self.rate_limiter.advise_retry(queued, now),
            ..refusal
        }
    }

    /// Retry delay for a call that has left the queue without a slot.
    pub fn retry_after_queueing(&mut self, now: Moment) -> Option<Duration> {
        self.rate_limiter.limit()?;
        let queued = self.queued();
        Some(self.rate_limiter.advise_retry(queued, now))
    }

    /// True if the call may wait: its expected queueing time is within its maximum, the
    /// queue has space, and the response can meet the deadline.
    fn may_wait(&self, arrival: &Arrival, now: Moment) -> bool {
        let wait = self.expected_wait(arrival, now);
        let answer_expected = now + wait + self.mean;
        wait <= arrival.max_wait
            && self.fits_in_queue(arrival)
            && answer_expected <= arrival.deadline
    }

    /// Checks the length of the queue. A caller with calls in the queue gets an equal share
    /// of the queue limit. A caller without waiting calls may exceed the queue limit, up to
    /// twice its value, so that other callers cannot lock it out by filling the queue. Only
    /// waiting calls that would be served before `arrival` count.
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

    /// Totals over the waiting calls that would be served before `arrival`.
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

    /// Expected time until `arrival` can run: until a slot is free and the rate limit of the
    /// backend allows it.
    fn expected_wait(&self, arrival: &Arrival, now: Moment) -> Duration {
        let ahead = self.ahead_of(arrival);
        if self.rate_limiter.limit().is_none() {
            return self.expected_wait_for_slot(ahead);
        }
        let token_wait = self.rate_limiter.wait_for_token(ahead.calls, now);
        if self.running + ahead.calls < self.limits.slots {
            return token_wait;
        }
        token_wait.max(self.expected_wait_for_slot(ahead))
    }

    /// Expected time until a slot is free for a call: the service times of the calls `ahead` of
    /// it and of one running call, divided by the number of slots.
    fn expected_wait_for_slot(&self, ahead: Backlog) -> Duration {
        (ahead.service_time + self.mean) / self.limits.slots.max(1)
    }

    /// Ends a running call and takes the next from the queue. `service_time` is the time
    /// for which the call held its slot. It is `None` if this time does not show the speed
    /// of the backend and must not change the mean.
    pub fn release(&mut self, service_time: Option<Duration>, now: Moment) -> Released {
        if let Some(service_time) = service_time {
            let newest = service_time.as_secs_f64() * MEAN_WEIGHT;
            let older = self.mean.as_secs_f64() * (1.0 - MEAN_WEIGHT);
            self.mean = Duration::from_secs_f64(newest + older);
        }
        self.running = self.running.saturating_sub(1);
        self.start_next(now)
    }

    /// Returns the token of a running call that was not sent to the backend.
    pub fn refund_token(&mut self, now: Moment) {
        self.rate_limiter.refund(now);
    }

    /// Time until the next call in the queue can start, if it waits for the rate limit of the
    /// backend and not for a slot.
    pub fn next_start(&self, now: Moment) -> Option<Duration> {
        let waits_for_token = self.has_free_slot() && self.queued() > 0;
        waits_for_token.then(|| self.rate_limiter.wait_for_token(0, now))
    }

    /// Takes the next call from the queue if a slot is free and the rate limit allows it. Calls
    /// whose deadline has passed are dropped.
    pub fn start_next(&mut self, now: Moment) -> Released {
        let mut released = Released::default();
        while self.has_free_slot() && self.rate_limiter.has_token(now) {
            let Some(arrival) = self.take_next() else {
                break;
            };
            if arrival.deadline <= now {
                released.expired.push(arrival.call);
                continue;
            }
            self.rate_limiter.try_take(now);
            self.running += 1;
            released.run = Some(arrival.call);
            break;
        }
        released
    }

    /// Removes all calls from the queue, since the backend takes no more calls.
    pub fn empty_queue(&mut self) -> Released {
        let ranks = std::mem::take(&mut self.ranks);
        let waiting = ranks.into_values().flat_map(RankQueue::into_calls);
        Released {
            run: None,
            expired: waiting.collect(),
        }
    }

    /// Removes the call that is served next from the queue of the lowest rank with waiting
    /// calls.
    fn take_next(&mut self) -> Option<Arrival> {
        let rank = *self.ranks.iter().find(|(_, queue)| !queue.is_empty())?.0;
        self.ranks.get_mut(&rank)?.pop()
    }

    /// Removes a waiting call that its caller has abandoned. False if the call does not
    /// wait: it already runs or has ended.
    pub fn cancel(&mut self, call: CallNumber) -> bool {
        self.ranks
            .values_mut()
            .any(|rank| rank.remove(call).is_some())
    }
}
