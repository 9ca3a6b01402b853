//! Mean service times at one backend, by route, and the maximum queueing times that follow
//! from them. A call may wait as long as its route's target latency allows after its own
//! service time is subtracted.

use super::precedence::Precedence;
use crate::ids::ResourceName;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest call in a route's mean service time.
const MEAN_WEIGHT: f64 = 0.1;
/// Service time that a call is assumed to need, as a multiple of its route's mean.
const EXPECTED_MEANS: f64 = 1.4;
/// Maximum queueing time of a first attempt, as a ratio of the target latency.
const MAX_WAIT_RATIO: f64 = 0.4;
/// Maximum queueing time of a nested call, one that a backend makes while it serves
/// another, as a ratio of the time until its deadline. The parents of a nested call hold
/// their slots meanwhile: where services call each other in a ring, longer waits cost more
/// responses than the parents' work is worth.
const NESTED_WAIT_RATIO: f64 = 0.15;
/// Minimum of a call's maximum queueing time, as a ratio of the target latency.
const MIN_WAIT_RATIO: f64 = 0.15;

/// Moving averages of the service time at one backend, by route.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    means: HashMap<ResourceName, Duration>,
}

impl ServiceTimes {
    /// Updates the mean of `route` after a call that took this long.
    pub fn record(&mut self, route: &ResourceName, time: Duration) {
        match self.means.get_mut(route) {
            Some(mean) => {
                *mean = mean.mul_f64(1.0 - MEAN_WEIGHT) + time.mul_f64(MEAN_WEIGHT);
            }
            None => {
                self.means.insert(route.clone(), time);
            }
        }
    }

    /// Expected service time of a call of `route`; `None` before the route's first
    /// response.
    pub fn expected(&self, route: &ResourceName) -> Option<Duration> {
        self.means.get(route).copied()
    }

    /// Maximum queueing time that leaves a call of `route` a chance to meet the latency
    /// `target`. A retry waits only a little, since its caller needs to know soon. A nested
    /// call waits longer, whatever its own target; `left` is the time until its deadline.
    pub fn max_wait(
        &self,
        route: &ResourceName,
        target: Duration,
        precedence: Precedence,
        left: Duration,
    ) -> Duration {
        match precedence {
            Precedence::Nested => return left.mul_f64(NESTED_WAIT_RATIO),
            Precedence::Retry => return target.mul_f64(MIN_WAIT_RATIO),
            Precedence::FirstAttempt => {}
        }
        let service_time = self.means.get(route).copied().unwrap_or_default();
        let left = target.saturating_sub(service_time.mul_f64(EXPECTED_MEANS));
        left.clamp(
            target.mul_f64(MIN_WAIT_RATIO),
            target.mul_f64(MAX_WAIT_RATIO),
        )
    }

    /// Drops all means. To be called when another backend replaces the measured one.
    pub fn clear(&mut self) {
        self.means.clear();
    }
}
