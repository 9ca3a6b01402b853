//! Whether a second try is safe and affordable.
//!
//! Only the entry node tries again. A call that may not run twice is tried
//! again only after `not-run`; any other also after `unknown`. Second arrivals
//! at back ends are a bounded share of a service's calls, over all nodes; a try
//! that a gate refused reached no back end and costs nothing.

use super::headers::{Outcome, Reach};
use crate::time::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Tries of one call, the first included, whether they reach a back end or not.
pub const MAX_TRIES: u32 = 8;
/// Window over which second tries are counted, where the settings name none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);
/// Second tries that an idle service may make in a window.
const DEFAULT_SLACK: f64 = 5.0;
/// Parts into which a window is counted.
const WINDOW_PARTS: u64 = 10;
/// Time that a second try needs at least.
const LEAST_TIME: Duration = Duration::from_millis(1);

/// How many second arrivals a service's back ends may get from this node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShare {
    /// Second arrivals for each call.
    pub ratio: f64,
    /// Second arrivals in a window besides.
    pub slack: f64,
    /// The window, sliding.
    pub window: Duration,
}

impl RetryShare {
    /// `percent` second tries for each hundred calls.
    pub fn percent(percent: u8) -> Self {
        Self {
            ratio: f64::from(percent) / 100.0,
            slack: DEFAULT_SLACK,
            window: DEFAULT_WINDOW,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct WindowPart {
    number: u64,
    calls: u32,
    retries: u32,
}

/// A service's allowance of second tries, over a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    share: RetryShare,
    unlimited: bool,
    parts: VecDeque<WindowPart>,
}

impl RetryBudget {
    /// An allowance of `share`.
    pub fn new(share: RetryShare) -> Self {
        Self {
            share,
            unlimited: false,
            parts: VecDeque::new(),
        }
    }

    /// No bound: the plain baseline of experiments.
    pub fn unlimited() -> Self {
        Self {
            unlimited: true,
            ..Self::new(RetryShare::percent(100))
        }
    }

    /// Changes the share.
    pub fn set_share(&mut self, share: RetryShare) {
        self.share = share;
    }

    /// A call was made.
    pub fn call_made(&mut self, now: Moment) {
        self.part(now).calls += 1;
    }

    /// Takes one second try, if there is one.
    pub fn take(&mut self, now: Moment) -> bool {
        let allowed = self.has_room(now);
        if allowed && !self.unlimited {
            self.part(now).retries += 1;
        }
        allowed
    }

    /// Gives back a second try that no back end got.
    pub fn give_back(&mut self, now: Moment) {
        let part = self.part(now);
        part.retries = part.retries.saturating_sub(1);
    }

    /// True when there is a second try to take.
    pub fn has_room(&mut self, now: Moment) -> bool {
        if self.unlimited {
            return true;
        }
        self.part(now);
        let calls: u32 = self.parts.iter().map(|part| part.calls).sum();
        let retries: u32 = self.parts.iter().map(|part| part.retries).sum();
        let allowed = self.share.ratio * f64::from(calls) + self.share.slack;
        f64::from(retries) < allowed - 1.0 + f64::EPSILON
    }

    /// The window's part that `now` falls into; forgets what lies before the window.
    fn part(&mut self, now: Moment) -> &mut WindowPart {
        let length = (self.share.window.as_micros() as u64 / WINDOW_PARTS).max(1);
        let number = now.0 / length;
        while let Some(oldest) = self.parts.front()
            && oldest.number + WINDOW_PARTS < number
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(WindowPart {
                number,
                calls: 0,
                retries: 0,
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}

/// What to do after a try without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Try another back end.
    TryElsewhere,
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
    max_arrivals: u32,
    arrivals: u32,
    tries: u32,
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
            max_arrivals,
            arrivals: 0,
            tries: 0,
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
        let allowed = self.may_hedge() && budget.take(now);
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
    ) -> Next {
        self.tries += 1;
        self.under_way = self.under_way.saturating_sub(1);
        self.arrivals += u32::from(reach == Reach::BackEnd);
        self.tainted |= outcome != Outcome::NotRun;
        if self.under_way > 0 {
            if reach == Reach::Gate {
                budget.give_back(now);
            }
            return Next::AwaitOther;
        }
        let safe = self.repeatable || !self.tainted;
        let in_time = now + LEAST_TIME < self.deadline;
        let room = self.tries < MAX_TRIES && self.arrivals < self.max_arrivals;
        let free = self.arrivals == 0 || reach == Reach::Gate;
        if safe && in_time && room && (free || budget.take(now)) {
            return Next::TryElsewhere;
        }
        Next::GiveUp(self.outcome())
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
