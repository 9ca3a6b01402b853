//! A token bucket that may hold less than one token.

use crate::config::RateLimit;
use crate::time::Moment;

/// Fills with its rate up to its depth. A request takes one token; where less than one is
/// there, it is admitted with that chance and the rest is owed, so that a node with a
/// small part of a limit admits that part in the mean, and many of them together too.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    limit: RateLimit,
    level: f64,
    at: Moment,
}

impl Bucket {
    /// A bucket that holds `level`, and no more than its burst.
    pub(super) fn new(limit: RateLimit, level: f64, now: Moment) -> Self {
        Self {
            limit,
            level: level.min(limit.burst),
            at: now,
        }
    }

    /// Takes over another limit; what is in it beyond that is lost. What is owed is no
    /// more than `window` seconds of requests.
    pub(super) fn set_limit(&mut self, limit: RateLimit, window: f64, now: Moment) {
        self.fill(now);
        self.limit = limit;
        let most_owed = limit.rate * window + limit.burst + 1.0;
        self.level = self.level.clamp(-most_owed, limit.burst);
    }

    fn fill(&mut self, now: Moment) {
        let passed = now.since(self.at).as_secs_f64();
        self.level = (self.level + self.limit.rate * passed).min(self.limit.burst);
        self.at = now;
    }

    /// True when there is a token; `draw` is a number from 0 to 1 by chance.
    pub(super) fn has(&mut self, now: Moment, draw: f64) -> bool {
        self.fill(now);
        draw < self.level
    }

    /// Takes a token, whether it is there or not.
    pub(super) fn take(&mut self, now: Moment) {
        self.fill(now);
        self.level -= 1.0;
    }

    /// Gives a token back.
    pub(super) fn refund(&mut self) {
        self.level = (self.level + 1.0).min(self.limit.burst);
    }
}
