//! The retry budget of a service: second tries that its back ends may get, and who may
//! make them. It is called the allowance below.
//!
//! The allowance is a bounded share of the service's calls over a sliding window. Where
//! back ends turn much away it is gone before the window is, so it matters who uses it:
//! first a call whose parent holds a slot and has worked already, since all of that is lost
//! with it. Any other call has lost nothing yet, and its caller may send it again. It gets
//! what nested calls leave, and a small part in any case.

use crate::time::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Window over which second tries are counted, where the settings name none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);
/// Second tries that an idle service may make in a window.
const DEFAULT_SLACK: f64 = 5.0;
/// Parts into which a window is counted.
const WINDOW_PARTS: u64 = 10;
/// Part of the allowance that calls with nothing to lose get in any case: an answer at
/// once spares their callers the way back.
const LEAST_SHARE_OF_OTHERS: f64 = 0.25;

/// How many second arrivals a service's back ends may get from this node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Second arrivals for each call.
    pub ratio: f64,
    /// Second arrivals in a window besides.
    pub slack: f64,
    /// The window, sliding.
    pub window: Duration,
}

impl RetryLimit {
    /// `percent` second tries for each hundred calls.
    pub fn percent(percent: u8) -> Self {
        Self {
            ratio: f64::from(percent) / 100.0,
            slack: DEFAULT_SLACK,
            window: DEFAULT_WINDOW,
        }
    }
}

/// Who asks for a second try.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RetryClass {
    /// The call of a back end: if it fails, the work done for its parent is lost.
    Nested,
    /// A caller's call, which has lost nothing but time.
    #[default]
    Caller,
}

impl RetryClass {
    /// The word in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryClass::Nested => "nested",
            RetryClass::Caller => "caller",
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct WindowPart {
    number: u64,
    calls: u32,
    /// Second tries of all.
    retries: u32,
    /// Of these, those of callers' calls.
    retries_of_callers: u32,
    /// Second tries that nested calls asked for, also in vain.
    nested_claims: u32,
}

/// A service's allowance of second tries, over a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    share: RetryLimit,
    unlimited: bool,
    parts: VecDeque<WindowPart>,
}

impl RetryBudget {
    /// An allowance of `share`.
    pub fn new(share: RetryLimit) -> Self {
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
            ..Self::new(RetryLimit::percent(100))
        }
    }

    /// Changes the share.
    pub fn set_limit(&mut self, share: RetryLimit) {
        self.share = share;
    }

    /// A call was made.
    pub fn call_made(&mut self, now: Moment) {
        self.part(now).calls += 1;
    }

    /// Takes one second try for `claim`, if there is one for it.
    pub fn take(&mut self, claim: RetryClass, now: Moment) -> bool {
        let allowed = self.has_room_for(claim, now);
        let unlimited = self.unlimited;
        let part = self.part(now);
        part.nested_claims += u32::from(claim == RetryClass::Nested);
        if allowed && !unlimited {
            part.retries += 1;
            part.retries_of_callers += u32::from(claim == RetryClass::Caller);
        }
        allowed
    }

    /// Gives back a second try, taken at `taken_at`, that no back end got.
    pub fn give_back(&mut self, claim: RetryClass, taken_at: Moment) {
        let number = self.part_number(taken_at);
        let Some(part) = self.parts.iter_mut().find(|part| part.number == number) else {
            return;
        };
        part.retries = part.retries.saturating_sub(1);
        let of_caller = u32::from(claim == RetryClass::Caller);
        part.retries_of_callers = part.retries_of_callers.saturating_sub(of_caller);
    }

    fn has_room_for(&mut self, claim: RetryClass, now: Moment) -> bool {
        if self.unlimited {
            return true;
        }
        self.part(now);
        let sum =
            |count: fn(&WindowPart) -> u32| f64::from(self.parts.iter().map(count).sum::<u32>());
        let allowed = self.share.ratio * sum(|part| part.calls) + self.share.slack;
        let fits = |retries: f64, allowed: f64| retries < allowed - 1.0 + f64::EPSILON;
        if !fits(sum(|part| part.retries), allowed) {
            return false;
        }
        let of_callers = sum(|part| part.retries_of_callers);
        let left_by_nested = allowed - sum(|part| part.nested_claims);
        let for_callers = left_by_nested.max(allowed * LEAST_SHARE_OF_OTHERS);
        claim == RetryClass::Nested || fits(of_callers, for_callers)
    }

    fn part_number(&self, at: Moment) -> u64 {
        let length = (self.share.window.as_micros() as u64 / WINDOW_PARTS).max(1);
        at.0 / length
    }

    /// The window's part that `now` falls into; forgets what lies before the window.
    fn part(&mut self, now: Moment) -> &mut WindowPart {
        let number = self.part_number(now);
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
                retries_of_callers: 0,
                nested_claims: 0,
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
