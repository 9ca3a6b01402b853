//! Whether a second try is safe and affordable.
//!
//! Only the entry node tries again. A call that may not run twice is tried
//! again only after `not-run`; any other also after `unknown`. Second arrivals
//! at back ends are a bounded share of a service's calls, over all nodes; a try
//! that a gate refused reached no back end and costs nothing.

use super::headers::{Outcome, Reach};
pub use super::retry_budget::{RetryBudget, RetryClass, RetryLimit};
use crate::time::Moment;
use std::time::Duration;

/// Tries of one call, the first included, whether they reach a back end or not.
pub const MAX_TRIES: u32 = 8;
/// Time that a second try needs at least.
const LEAST_TIME: Duration = Duration::from_millis(1);

/// What to do after a try without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Try another back end.
    Retry,
    /// Another try is still under way.
    AwaitOther,
    /// Answer the caller now, with this outcome.
    GiveUp(Outcome),
}

/// One call's tries so far.
#[derive(Debug, Clone, Copy)]
pub struct Attempts {
    /// The call may run twice.
    pub repeatable: bool,
    /// When its answer is worthless.
    pub deadline: Moment,
    /// On whose behalf second tries are asked for.
    pub class: RetryClass,
    max_arrivals: u32,
    arrivals: u32,
    tries: u32,
    /// When a second try was taken from the allowance that no back end has got yet.
    second_try: Option<Moment>,
    /// Tries under way.
    under_way: u32,
    /// A try may have run.
    tainted: bool,
}

impl Attempts {
    /// No try yet; at most `max_arrivals` back ends may get the call.
    pub fn new(repeatable: bool, deadline: Moment, max_arrivals: u32) -> Self {
        Self {
            repeatable,
            deadline,
            class: RetryClass::default(),
            max_arrivals,
            arrivals: 0,
            tries: 0,
            second_try: None,
            under_way: 0,
            tainted: false,
        }
    }

    /// A try begins.
    pub fn begin(&mut self) {
        self.under_way += 1;
    }

    /// Begins a second try beside one that is overdue (a hedged request, Dean
    /// and Barroso 2013), if that is safe and affordable.
    pub fn begin_hedge(&mut self, now: Moment, budget: &mut RetryBudget) -> bool {
        let allowed = self.may_hedge() && self.take_second_try(now, budget);
        if allowed {
            self.begin();
        }
        allowed
    }

    /// Decides after a try that ended with `outcome`.
    pub fn after(
        &mut self,
        outcome: Outcome,
        reach: Reach,
        now: Moment,
        budget: &mut RetryBudget,
    ) -> NextStep {
        self.tries += 1;
        self.under_way = self.under_way.saturating_sub(1);
        if reach == Reach::Backend {
            self.arrivals += 1;
            self.second_try = None;
        }
        self.tainted |= outcome != Outcome::NotRun;
        if self.under_way > 0 {
            if reach == Reach::Gate {
                self.end(budget);
            }
            return NextStep::AwaitOther;
        }
        let safe = self.repeatable || !self.tainted;
        let in_time = now + LEAST_TIME < self.deadline;
        let room = self.tries < MAX_TRIES && self.arrivals < self.max_arrivals;
        let free = self.arrivals == 0 || reach == Reach::Gate;
        if safe && in_time && room && (free || self.take_second_try(now, budget)) {
            return NextStep::Retry;
        }
        NextStep::GiveUp(self.outcome())
    }

    fn take_second_try(&mut self, now: Moment, budget: &mut RetryBudget) -> bool {
        let taken = budget.take(self.class, now);
        if taken {
            self.second_try = Some(now);
        }
        taken
    }

    /// The call ends, or its second try beside the first: a second try that no back end
    /// has got is another call's.
    pub fn end(&mut self, budget: &mut RetryBudget) {
        if let Some(taken_at) = self.second_try.take() {
            budget.give_back(self.class, taken_at);
        }
    }

    /// What the caller must be told if the call ends now without an answer.
    pub fn outcome(&self) -> Outcome {
        if self.tainted {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// True when a second try may run beside the one under way: the call may
    /// run twice, and one more back end may get it.
    pub fn may_hedge(&self) -> bool {
        let after_this = self.arrivals + self.under_way;
        self.repeatable
            && self.under_way == 1
            && self.tries + 1 < MAX_TRIES
            && after_this < self.max_arrivals
    }

    /// Back ends that got the call, or may have.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }
}
