//! The retry budget of a service: how many retries its backends may get, and which calls
//! may make them.
//!
//! The budget is a bounded share of the service's calls over a sliding window. While
//! backends shed many calls, the budget is used up before the window ends, so its retries
//! are distributed by [`RetryClass`]. Nested calls, those that a backend makes while it
//! serves another call, go first: if one fails, the work done for its parent is lost. If
//! any other call fails, no work is lost, and its caller may send it again. Such calls get
//! the retries that nested calls leave, and a small share of the budget in any case.

use crate::time::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Length of the sliding window over which retries are counted, unless the settings name
/// one.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);
/// Number of retries per window that are allowed in addition to the ratio of calls, so that
/// a service with few calls can retry.
const DEFAULT_SLACK: f64 = 5.0;
/// Number of parts into which the window is divided for counting.
const WINDOW_PARTS: u64 = 10;
/// Share of the budget that calls other than nested ones get in any case: with an immediate
/// retry their callers need not send the call again.
const MIN_CALLER_SHARE: f64 = 0.25;

/// How many retries one node may send to the backends of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Allowed retries per call, from 0 to 1.
    pub ratio: f64,
    /// Allowed retries per window beyond `ratio`, so that a service with few calls can
    /// retry too.
    pub slack: f64,
    /// Time over which calls and retries are counted.
    pub window: Duration,
}

impl RetryLimit {
    /// Limit of `percent` retries per hundred calls, with the default slack and window.
    pub fn percent(percent: u8) -> Self {
        Self {
            ratio: f64::from(percent) / 100.0,
            slack: DEFAULT_SLACK,
            window: DEFAULT_WINDOW,
        }
    }
}

/// Which calls compete for a service's retries: nested ones go first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RetryClass {
    /// A call that a backend makes while it serves another: if it fails, the work done for
    /// its parent is lost.
    Nested,
    /// Any other call: if it fails, its caller has lost nothing but time.
    #[default]
    Caller,
}

impl RetryClass {
    /// Text of the class in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryClass::Nested => "nested",
            RetryClass::Caller => "caller",
        }
    }
}

/// Calls and retries of one service, counted over one part of the sliding window.
#[derive(Debug, Clone, Copy)]
struct RetryWindowPart {
    /// Index of the window part, counted from time zero; consecutive parts have consecutive
    /// numbers.
    number: u64,
    calls: u32,
    /// Number of retries that the budget allowed, for nested and other calls together.
    retries: u32,
    /// Number of retries that the budget allowed for calls of [`RetryClass::Caller`].
    caller_retries: u32,
    /// Number of retries that nested calls asked for, whether the budget allowed them or
    /// not.
    nested_requests: u32,
}

/// Counts the calls and retries of one service over a sliding window, and limits the
/// retries.
#[derive(Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    /// True if the budget allows every retry.
    unlimited: bool,
    parts: VecDeque<RetryWindowPart>,
}

impl RetryBudget {
    /// Creates a budget that allows retries up to `limit`.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            unlimited: false,
            parts: VecDeque::new(),
        }
    }

    /// Creates a budget without limit; a baseline for experiments.
    pub fn unlimited() -> Self {
        Self {
            unlimited: true,
            ..Self::new(RetryLimit::percent(100))
        }
    }

    /// Replaces the limit; calls and retries counted so far stay.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Counts a call to the service; the budget grows by the limit's ratio of a retry.
    pub fn call_made(&mut self, now: Moment) {
        self.part(now).calls += 1;
    }

    /// Takes one retry for a call of this class out of the budget. False if the budget is
    /// used up.
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

    /// Returns a retry to the budget: it was taken at `taken_at`, and reached no backend.
    pub fn refund(&mut self, class: RetryClass, taken_at: Moment) {
        let number = self.part_number(taken_at);
        let Some(part) = self.parts.iter_mut().find(|part| part.number == number) else {
            return;
        };
        part.retries = part.retries.saturating_sub(1);
        let caller_retry = u32::from(class == RetryClass::Caller);
        part.caller_retries = part.caller_retries.saturating_sub(caller_retry);
    }

    /// True if calls of this class may take one more retry.
    fn allows(&mut self, class: RetryClass, now: Moment) -> bool {
        if self.unlimited {
            return true;
        }
        self.part(now);
        let sum = |count: fn(&RetryWindowPart) -> u32| {
            f64::from(self.parts.iter().map(count).sum::<u32>())
        };
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

    /// Index of the window part that contains the time `at`.
    fn part_number(&self, at: Moment) -> u64 {
        let length = (self.limit.window.as_micros() as u64 / WINDOW_PARTS).max(1);
        at.0 / length
    }

    /// Returns the part of the sliding window that contains `now`. Parts that lie before
    /// the window are dropped.
    fn part(&mut self, now: Moment) -> &mut RetryWindowPart {
        let number = self.part_number(now);
        while let Some(oldest) = self.parts.front()
            && oldest.number + WINDOW_PARTS < number
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(RetryWindowPart {
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
