//! Token bucket by which a gate node, the node that forwards calls to its local backend, keeps
//! the rate limit that the backend names in its responses.
//!
//! All requests to a backend pass its gate node, so the bucket bounds what the backend gets
//! whatever entry nodes know of the limit. A limit belongs to one backend incarnation. It starts
//! with the first response that names it, or with the first call of an entry node that has seen
//! such a response, if this node has restarted since. It ends with a response that names none.

use super::rate_limit::RateLimit;
use crate::time::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Tokens that the bucket holds at most: calls that may start at once after an idle time.
const BURST: f64 = 2.0;
/// Time over which calls are counted when a limit falls: calls above the new limit in this time
/// count against the bucket.
const LOOK_BACK: Duration = Duration::from_secs(1);
/// Maximum time for which no call starts because of calls before the limit fell, in seconds.
const MAX_DEBT_SECONDS: f64 = 2.0;
/// Maximum retry delay that is advised. Demand may have fallen by then.
const MAX_RETRY_ADVICE: Duration = Duration::from_secs(4);
/// Step between two positions in the low-discrepancy sequence that spreads retry delays; the
/// golden ratio less 1, whose multiples stay apart modulo 1.
const SPREAD_STEP: f64 = 0.618_033_988_749_895;

/// How a response changed the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The limit is as before.
    Unchanged,
    /// The backend has named a first limit, or another one.
    Named(RateLimit),
    /// The backend no longer names a limit.
    Ended,
}

/// Limits the calls that start at one backend to the rate that the backend names.
#[derive(Debug, Default)]
pub struct RateLimiter {
    /// The limit in force; `None` while the backend names none.
    limit: Option<RateLimit>,
    /// Time of the last response that named the limit in force.
    named_at: Moment,
    /// A response of the present backend incarnation has arrived at this process.
    has_response: bool,
    /// Tokens in the bucket; negative if calls before the limit count against it.
    tokens: f64,
    refilled_at: Moment,
    /// Calls that were refused and advised to retry, and have not had time to do so.
    advised_retries: f64,
    /// Position of the next retry delay above the maximum in its spread, from 0 to 1.
    spread_position: f64,
    /// Start times of the calls within [`LOOK_BACK`].
    recent_starts: VecDeque<Moment>,
}

impl RateLimiter {
    /// Forgets the limit, since another backend incarnation has taken the place of the present
    /// one.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// The limit in force; `None` while the backend names none.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Applies a response that arrives at `now` to a call that started at `started_at`;
    /// `limit` is what the response names.
    ///
    /// Responses overlap, and the order in which they arrive does not show the order in which
    /// the backend wrote them. So a lower limit holds at once. A higher one, or none, holds if
    /// the call started after the last response with the lower one.
    pub fn record_response(
        &mut self,
        limit: Option<RateLimit>,
        started_at: Moment,
        now: Moment,
    ) -> LimitChange {
        self.has_response = true;
        match (self.limit, limit) {
            (None, None) => LimitChange::Unchanged,
            (Some(present), Some(named)) if named == present => {
                self.named_at = now;
                LimitChange::Unchanged
            }
            (Some(present), Some(named)) if named < present => self.set_limit(named, now),
            (None, Some(named)) => self.set_limit(named, now),
            (Some(_), _) if started_at < self.named_at => LimitChange::Unchanged,
            (Some(_), Some(named)) => self.set_limit(named, now),
            (Some(_), None) => {
                self.limit = None;
                self.advised_retries = 0.0;
                LimitChange::Ended
            }
        }
    }

    /// Takes over a limit that an entry node has seen in a response of this backend
    /// incarnation, unless a response has arrived here since this node started.
    pub fn adopt(&mut self, limit: RateLimit, now: Moment) -> LimitChange {
        let is_lower = self.limit.is_none_or(|present| limit < present);
        if self.has_response || !is_lower {
            return LimitChange::Unchanged;
        }
        self.set_limit(limit, now)
    }

    /// Sets a limit, and counts recent calls above it against the bucket.
    fn set_limit(&mut self, limit: RateLimit, now: Moment) -> LimitChange {
        self.refill(now);
        let was_unlimited = self.limit.is_none();
        self.limit = Some(limit);
        self.named_at = now;
        self.forget_old_starts(now);
        let excess = self.recent_starts.len() as f64 - limit.per_second() * LOOK_BACK.as_secs_f64();
        let tokens = BURST - excess.clamp(0.0, BURST + MAX_DEBT_SECONDS * self.rate());
        self.tokens = match was_unlimited {
            true => tokens,
            false => self.tokens.min(tokens),
        };
        LimitChange::Named(limit)
    }

    /// Rate at which tokens are added, per second.
    fn rate(&self) -> f64 {
        self.limit.map_or(f64::INFINITY, RateLimit::applied_rate)
    }

    /// Tokens in the bucket at `now`.
    fn tokens_at(&self, now: Moment) -> f64 {
        if self.limit.is_none() {
            return BURST;
        }
        let added = now.since(self.refilled_at).as_secs_f64() * self.rate();
        (self.tokens + added).min(BURST)
    }

    /// Adds the tokens of the time since the last refill. Advised retries become due at the
    /// same rate.
    fn refill(&mut self, now: Moment) {
        self.tokens = self.tokens_at(now);
        self.advised_retries = self.advised_retries_at(now);
        self.refilled_at = now;
    }

    /// Calls that are advised to retry after `now`.
    fn advised_retries_at(&self, now: Moment) -> f64 {
        if self.limit.is_none() {
            return 0.0;
        }
        let due = now.since(self.refilled_at).as_secs_f64() * self.rate();
        (self.advised_retries - due).max(0.0)
    }

    /// True if one more call may start now.
    pub fn has_token(&self, now: Moment) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Takes a token for a call that starts now; false if there is none.
    pub fn try_take(&mut self, now: Moment) -> bool {
        if !self.has_token(now) {
            return false;
        }
        self.refill(now);
        if self.limit.is_some() {
            self.tokens -= 1.0;
        }
        self.forget_old_starts(now);
        self.recent_starts.push_back(now);
        true
    }

    /// Returns the token of a call that was not sent to the backend.
    pub fn refund(&mut self, now: Moment) {
        self.refill(now);
        self.tokens = (self.tokens + 1.0).min(BURST);
        self.recent_starts.pop_back();
    }

    fn forget_old_starts(&mut self, now: Moment) {
        while let Some(start) = self.recent_starts.front()
            && now.since(*start) >= LOOK_BACK
        {
            self.recent_starts.pop_front();
        }
    }

    /// Time until a token is available for a call with `ahead` calls before it.
    pub fn wait_for_token(&self, ahead: u32, now: Moment) -> Duration {
        self.wait_for(f64::from(ahead) + 1.0, now)
    }

    /// Time until the bucket has had `tokens` tokens.
    fn wait_for(&self, tokens: f64, now: Moment) -> Duration {
        let missing = tokens - self.tokens_at(now);
        if self.limit.is_none() || missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(missing / self.rate())
    }

    /// Time until a token is available for a call that comes after `queued` queued calls and
    /// after those that were advised to retry.
    pub fn wait_for_newcomer(&self, queued: u32, now: Moment) -> Duration {
        let ahead = f64::from(queued) + self.advised_retries_at(now);
        self.wait_for(ahead + 1.0, now)
    }

    /// Retry delay for a call that is refused for lack of a token, with `queued` calls in the
    /// queue. Each refused call is advised a token of its own, so that refused calls do not
    /// all retry at once. Delays above the maximum are spread over its second half.
    pub fn advise_retry(&mut self, queued: u32, now: Moment) -> Duration {
        let wait = self.wait_for_newcomer(queued, now);
        self.refill(now);
        let longest = MAX_RETRY_ADVICE.as_secs_f64();
        self.advised_retries = (self.advised_retries + 1.0).min(longest * self.rate());
        if wait <= MAX_RETRY_ADVICE {
            return wait;
        }
        self.spread_position = (self.spread_position + SPREAD_STEP).fract();
        MAX_RETRY_ADVICE.mul_f64((1.0 + self.spread_position) / 2.0)
    }
}
