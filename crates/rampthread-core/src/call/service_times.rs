//! Mean service times at one backend, by route, and the maximum queueing times that follow
//! from them. The maximum queueing time of a call is the part of its route's target latency
//! that its expected service time leaves.

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
/// their slots meanwhile: where services call each other in a ring, longer waits lose more
/// responses than they save.
const NESTED_WAIT_RATIO: f64 = 0.15;
/// Lower limit of the maximum queueing time, as a ratio of the target latency.
const MIN_WAIT_RATIO: f64 = 0.15;

/// Moving averages of the service time at one backend, by route.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    means: HashMap<ResourceName, Duration>,
}

impl ServiceTimes {
    /// Updates the mean service time of `route` after a call that held a slot for `time`.
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
    /// `target`. A retry may wait only a short time, so that its caller is rejected early.
    /// A nested call may wait longer, whatever the target of its route; `left` is the time
    /// until its deadline.
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

    /// Drops the mean service times of all routes. To be called when another backend
    /// replaces the measured one.
    pub fn clear(&mut self) {
        self.means.clear();
    }
}
