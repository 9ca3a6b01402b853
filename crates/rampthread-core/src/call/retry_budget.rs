//! The retry budget of a service: how many retries its backends may get, and who may make
//! them.
//!
//! The budget is a bounded share of the service's calls over a sliding window. While
//! backends shed many calls it is used up before the window ends, so it matters who uses
//! it. Nested calls go first: their parent holds a slot and has done work that is lost with
//! them. Any other call has lost nothing yet, and its caller may send it again; it gets
//! what nested calls leave, and a small share in any case.

use crate::time::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Window over which retries are counted, unless the settings name one.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);
/// Retries that an idle service may make in a window.
const DEFAULT_SLACK: f64 = 5.0;
/// Parts into which a window is divided for counting.
const WINDOW_PARTS: u64 = 10;
/// Share of the budget that calls other than nested ones get in any case: an immediate
/// retry spares their callers a round trip.
const MIN_CALLER_SHARE: f64 = 0.25;

/// How many retries a service's backends may get from this node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries per call.
    pub ratio: f64,
    /// Retries per window beyond the ratio.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl RetryLimit {
    /// A limit of `percent` retries per hundred calls.
    pub fn percent(percent: u8) -> Self {
        Self {
            ratio: f64::from(percent) / 100.0,
            slack: DEFAULT_SLACK,
            window: DEFAULT_WINDOW,
        }
    }
}

/// Who asks for a retry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RetryClass {
    /// A nested call: if it fails, the work done for its parent is lost.
    Nested,
    /// A call from outside, which has lost nothing but time.
    #[default]
    Caller,
}

impl RetryClass {
    /// The value in metrics.
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
    /// Retries of both classes.
    retries: u32,
    /// Of these, retries of [`RetryClass::Caller`].
    caller_retries: u32,
    /// Retries that nested calls asked for, including those denied.
    nested_requests: u32,
}

/// A service's budget of retries over a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    unlimited: bool,
    parts: VecDeque<WindowPart>,
}

impl RetryBudget {
    /// A budget with the limit `limit`.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            unlimited: false,
            parts: VecDeque::new(),
        }
    }

    /// No limit; a baseline for experiments.
    pub fn unlimited() -> Self {
        Self {
            unlimited: true,
            ..Self::new(RetryLimit::percent(100))
        }
    }

    /// Replaces the limit; what was counted stays.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Records a call, which adds to the budget.
    pub fn call_made(&mut self, now: Moment) {
        self.part(now).calls += 1;
    }

    /// Takes one retry for `class`, if the budget allows it.
    pub fn take(&mut self, class: RetryClass, now: Moment) -> bool {
        let allowed = self.allows(class, now);
        let unlimited = self.unlimited;
        let part = self.part(now);
        part.nested_requests += u32::from(class == RetryClass::Nested);
        if allowed && !unlimited {
            part.retries += 1;
            part.caller_retries += u32::from(class == RetryClass::Caller);
        }
        allowed
    }

    /// Returns a retry, taken at `taken_at`, that reached no backend.
    pub fn refund(&mut self, class: RetryClass, taken_at: Moment) {
        let number = self.part_number(taken_at);
        let Some(part) = self.parts.iter_mut().find(|part| part.number == number) else {
            return;
        };
        part.retries = part.retries.saturating_sub(1);
        let caller_retry = u32::from(class == RetryClass::Caller);
        part.caller_retries = part.caller_retries.saturating_sub(caller_retry);
    }

    fn allows(&mut self, class: RetryClass, now: Moment) -> bool {
        if self.unlimited {
            return true;
        }
        self.part(now);
        let sum =
            |count: fn(&WindowPart) -> u32| f64::from(self.parts.iter().map(count).sum::<u32>());
        let allowed = self.limit.ratio * sum(|part| part.calls) + self.limit.slack;
        let fits = |retries: f64, allowed: f64| retries < allowed - 1.0 + f64::EPSILON;
        if !fits(sum(|part| part.retries), allowed) {
            return false;
        }
        let caller_retries = sum(|part| part.caller_retries);
        let left_by_nested = allowed - sum(|part| part.nested_requests);
        let caller_limit = left_by_nested.max(allowed * MIN_CALLER_SHARE);
        class == RetryClass::Nested || fits(caller_retries, caller_limit)
    }

    fn part_number(&self, at: Moment) -> u64 {
        let length = (self.limit.window.as_micros() as u64 / WINDOW_PARTS).max(1);
        at.0 / length
    }

    /// The part of the window that `now` falls into; drops parts before the window.
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
                caller_retries: 0,
                nested_requests: 0,
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
