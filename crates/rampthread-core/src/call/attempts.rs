//! Decides whether a call is retried: whether a retry is safe and within the retry budget.
//!
//! Only the entry node, the node that received the call, retries. A call that may not run
//! twice is retried only if no attempt can have run at a backend ([`Outcome::NotRun`]). Any
//! other call is also retried if an attempt may have run ([`Outcome::Unknown`]). The retry
//! budget bounds the attempts that reach a backend beyond the first of each call, as a
//! share of the service's calls over all nodes. An attempt that a backend's gate node
//! rejected did not reach the backend and does not count.

use super::headers::{Outcome, Reach};
pub use super::retry_budget::{RetryBudget, RetryClass, RetryLimit};
use crate::time::Moment;
use std::time::Duration;

/// Maximum number of attempts of one call, including the first and those that reach no
/// backend.
pub const MAX_ATTEMPTS: u32 = 8;
/// Minimum time before the deadline that a retry needs.
const MIN_RETRY_TIME: Duration = Duration::from_millis(1);

/// What an entry node does with a call after an attempt ended without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the call to another backend.
    Retry,
    /// Wait for the other attempt that is still in progress.
    AwaitOther,
    /// Send the caller an error response with this outcome.
    GiveUp(Outcome),
}

/// Attempts of one call so far, and what is allowed for further ones.
#[derive(Debug, Clone, Copy)]
pub struct Attempts {
    /// True if the call may run more than once at backends, as its route says.
    pub repeatable: bool,
    /// Time after which the call's response is useless.
    pub deadline: Moment,
    /// Class under which the call takes retries from the budget.
    pub class: RetryClass,
    /// Maximum number of backends that may get the call.
    max_arrivals: u32,
    /// How many ended attempts reached a backend, or may have reached one.
    arrivals: u32,
    /// How many attempts of the call have ended; compared with [`MAX_ATTEMPTS`].
    attempts: u32,
    /// When the call took a retry from the budget, while that retry has not reached a
    /// backend; else `None`.
    unsent_retry_at: Option<Moment>,
    /// How many attempts of the call wait for a response: two with a hedged attempt.
    in_progress: u32,
    /// True if some ended attempt may have run at a backend, though no response came.
    may_have_run: bool,
}

impl Attempts {
    /// Starts the record of a call that has not been attempted yet. Attempts may reach at
    /// most `max_arrivals` backends.
    pub fn new(repeatable: bool, deadline: Moment, max_arrivals: u32) -> Self {
        Self {
            repeatable,
            deadline,
            class: RetryClass::default(),
            max_arrivals,
            arrivals: 0,
            attempts: 0,
            unsent_retry_at: None,
            in_progress: 0,
            may_have_run: false,
        }
    }

    /// Counts an attempt as in progress; to be called when the attempt starts.
    pub fn begin(&mut self) {
        self.in_progress += 1;
    }

    /// Starts a hedged attempt beside a slow one (hedged request, Dean and Barroso 2013),
    /// if that is safe and within the budget. Returns whether the hedged attempt may start.
    pub fn begin_hedge(&mut self, now: Moment, budget: &mut RetryBudget) -> bool {
        let allowed = self.may_hedge() && self.take_retry(now, budget);
        if allowed {
            self.begin();
        }
        allowed
    }

    /// Records the end of an attempt without a response, and decides what to do next.
    pub fn record_outcome(
        &mut self,
        outcome: Outcome,
        reach: Reach,
        now: Moment,
        budget: &mut RetryBudget,
    ) -> NextStep {
        self.attempts += 1;
        self.in_progress = self.in_progress.saturating_sub(1);
        if reach == Reach::Backend {
            self.arrivals += 1;
            self.unsent_retry_at = None;
        }
        self.may_have_run |= outcome != Outcome::NotRun;
        if self.in_progress > 0 {
            if reach == Reach::Gate {
                self.end(budget);
            }
            return NextStep::AwaitOther;
        }
        let safe = self.repeatable || !self.may_have_run;
        let in_time = now + MIN_RETRY_TIME < self.deadline;
        let below_limits = self.attempts < MAX_ATTEMPTS && self.arrivals < self.max_arrivals;
        let free = self.arrivals == 0 || reach == Reach::Gate;
        if safe && in_time && below_limits && (free || self.take_retry(now, budget)) {
            return NextStep::Retry;
        }
        NextStep::GiveUp(self.outcome())
    }

    /// Takes a retry from the budget, and remembers when, until an attempt reaches a
    /// backend. Returns false if the budget does not allow a retry.
    fn take_retry(&mut self, now: Moment, budget: &mut RetryBudget) -> bool {
        let taken = budget.take(self.class, now);
        if taken {
            self.unsent_retry_at = Some(now);
        }
        taken
    }

    /// Ends the call, or one of two concurrent attempts: a retry that has reached no
    /// backend is returned to the budget.
    pub fn end(&mut self, budget: &mut RetryBudget) {
        if let Some(taken_at) = self.unsent_retry_at.take() {
            budget.refund(self.class, taken_at);
        }
    }

    /// Outcome that the caller must be told if the call ends without a response.
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// True if a hedged attempt may run beside the one in progress: the call may run twice,
    /// and one more backend may get it.
    pub fn may_hedge(&self) -> bool {
        let after_this = self.arrivals + self.in_progress;
        self.repeatable
            && self.in_progress == 1
            && self.attempts + 1 < MAX_ATTEMPTS
            && after_this < self.max_arrivals
    }

    /// How many backends got the call, or may have got it.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }
}
