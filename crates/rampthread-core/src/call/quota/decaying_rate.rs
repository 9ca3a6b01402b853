//! A rate of events that forgets.

use crate::time::Moment;
use std::time::Duration;

/// Weight of a new value in a mean with this memory, after `passed`.
pub(super) fn weight_after(passed: Duration, memory: Duration) -> f64 {
    1.0 - (-passed.as_secs_f64() / memory.as_secs_f64()).exp()
}

/// Events a second, each weighed by its age: after `memory` one counts by 1/e.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayingRate {
    memory: f64,
    rate: f64,
    at: Moment,
}

impl DecayingRate {
    pub(super) fn new(memory: Duration, now: Moment) -> Self {
        Self {
            memory: memory.as_secs_f64(),
            rate: 0.0,
            at: now,
        }
    }

    /// Counts events; a negative number takes earlier ones back.
    pub(super) fn count(&mut self, events: f64, now: Moment) {
        self.rate = self.at(now) + events / self.memory;
        self.at = now;
    }

    /// Events a second, as of `now`.
    pub(super) fn at(&self, now: Moment) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / self.memory).exp()
    }
}
