//! Token bucket for limits so low that the bucket often holds less than one token.

use crate::config::RateLimit;
use crate::time::Moment;

/// Token bucket of one tenant at one node. Refills at the limit's rate up to its burst.
/// With less than one token left, a request is admitted with a probability equal to the
/// level, and the bucket goes into deficit. Nodes with a small fraction of a limit thus
/// admit that fraction on average.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenBucket {
    limit: RateLimit,
    level: f64,
    updated_at: Moment,
}

impl TokenBucket {
    /// Creates a bucket with `level` tokens, capped at the limit's burst.
    pub(super) fn new(limit: RateLimit, level: f64, now: Moment) -> Self {
        Self {
            limit,
            level: level.min(limit.burst),
            updated_at: now,
        }
    }

    /// Applies another limit and discards tokens beyond its burst. A token deficit is
    /// capped at the requests that the limit admits in `window_secs` seconds.
    pub(super) fn set_limit(&mut self, limit: RateLimit, window_secs: f64, now: Moment) {
        self.refill(now);
        self.limit = limit;
        let max_deficit = limit.rate * window_secs + limit.burst + 1.0;
        self.level = self.level.clamp(-max_deficit, limit.burst);
    }

    /// Adds the tokens for the time since the last update.
    fn refill(&mut self, now: Moment) {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.level = (self.level + self.limit.rate * passed).min(self.limit.burst);
        self.updated_at = now;
    }

    /// Returns whether a request may take a token. `draw` is uniformly random in `0.0..1.0`
    /// and decides when less than one token is left.
    pub(super) fn has_token(&mut self, now: Moment, draw: f64) -> bool {
        self.refill(now);
        draw < self.level
    }

    /// Takes one token. The level may become negative: a deficit that later refills make up
    /// for.
    pub(super) fn take(&mut self, now: Moment) {
        self.refill(now);
        self.level -= 1.0;
    }

    /// Returns the token of a request that did not run; the level stays within the burst.
    pub(super) fn refund(&mut self) {
        self.level = (self.level + 1.0).min(self.limit.burst);
    }
}
