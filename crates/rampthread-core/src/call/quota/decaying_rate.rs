//! Rates of events in which past events lose weight exponentially.

use crate::time::Moment;
use std::time::Duration;

/// Events per second, exponentially weighted with a time constant in seconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayingRate {
    time_constant: f64,
    rate: f64,
    updated_at: Moment,
}

impl DecayingRate {
    /// Creates a rate of zero.
    pub(super) fn new(time_constant: Duration, now: Moment) -> Self {
        Self {
            time_constant: time_constant.as_secs_f64(),
            rate: 0.0,
            updated_at: now,
        }
    }

    /// Counts events; a negative number takes back events counted earlier.
    pub(super) fn count(&mut self, events: f64, now: Moment) {
        self.rate = self.at(now) + events / self.time_constant;
        self.updated_at = now;
    }

    /// Weighted events per second as of `now`.
    pub(super) fn at(&self, now: Moment) -> f64 {
        self.rate * (-now.since(self.updated_at).as_secs_f64() / self.time_constant).exp()
    }
}
