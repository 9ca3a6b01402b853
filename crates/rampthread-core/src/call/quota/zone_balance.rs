//! What one zone is usually asked and has admitted of a tenant's requests.

use super::decaying_rate::weight_after;
use crate::config::RateLimit;
use crate::ids::Zone;
use crate::time::Moment;
use std::time::Duration;

/// Memory of what is usually asked.
pub(super) const USUAL: Duration = Duration::from_secs(10);

/// One zone's part, kept at all times: when the zone is lost, the others know what they
/// admitted beyond theirs before they noticed.
#[derive(Debug, Clone)]
pub(super) struct ZoneBalance {
    pub(super) zone: Zone,
    /// Requests a second, over a longer time.
    pub(super) usual: f64,
    /// Tokens of the zone's part; below zero: owed.
    pub(super) level: f64,
    at: Moment,
}

impl ZoneBalance {
    pub(super) fn new(zone: Zone, asked: f64, at: Moment) -> Self {
        Self {
            zone,
            usual: asked,
            level: 0.0,
            at,
        }
    }

    /// Takes over what the zone told at `at`; `limit` is its part. No more is owed than
    /// the requests of a `window` in seconds.
    pub(super) fn told(
        &mut self,
        (asked, admitted): (f64, f64),
        limit: RateLimit,
        window: f64,
        at: Moment,
    ) {
        let passed = at.since(self.at);
        if passed.is_zero() {
            return;
        }
        self.at = at;
        self.usual += (asked - self.usual) * weight_after(passed, USUAL);
        let gained = (limit.rate - admitted) * passed.as_secs_f64();
        let most_owed = limit.rate * window + limit.burst;
        self.level = (self.level + gained).clamp(-most_owed, limit.burst);
    }
}
