//! How long a call may wait for a slot and still be worth it: the time that its
//! route's target leaves beside the back end's own work on such calls.

use super::precedence::Precedence;
use crate::ids::ResourceName;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest call in a route's mean.
const MEAN_WEIGHT: f64 = 0.1;
/// Work that a call is expected to need, in means of its route.
const WORK_MEANS: f64 = 1.4;
/// Largest part of the target that a call may wait.
const LONGEST_SHARE: f64 = 0.4;
/// Largest part of its remaining time that the call of a back end may wait. Its parents
/// hold their slots meanwhile: where services call each other in a ring, longer waits
/// cost more answers than the parents' work is worth.
const DEPENDENCY_SHARE: f64 = 0.15;
/// Part of the target that a call may always wait.
const SHORTEST_SHARE: f64 = 0.15;

/// Mean working times at one back end, by route.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    means: HashMap<ResourceName, Duration>,
}

impl ServiceTimes {
    /// The back end answered a call of `route` after `time`.
    pub fn answered(&mut self, route: &ResourceName, time: Duration) {
        match self.means.get_mut(route) {
            Some(mean) => {
                *mean = mean.mul_f64(1.0 - MEAN_WEIGHT) + time.mul_f64(MEAN_WEIGHT);
            }
            None => {
                self.means.insert(route.clone(), time);
            }
        }
    }

    /// Time that the back end is expected to work on a call of `route`; none
    /// before its first answer.
    pub fn expected(&self, route: &ResourceName) -> Option<Duration> {
        self.means.get(route).copied()
    }

    /// Longest wait that leaves a call of `route` a chance to meet `target`.
    /// A retry waits only a little: its caller needs to know soon. The call of a
    /// back end waits longer, whatever its own target: `left` until its deadline.
    pub fn max_wait(
        &self,
        route: &ResourceName,
        target: Duration,
        precedence: Precedence,
        left: Duration,
    ) -> Duration {
        match precedence {
            Precedence::Nested => return left.mul_f64(DEPENDENCY_SHARE),
            Precedence::Retry => return target.mul_f64(SHORTEST_SHARE),
            Precedence::FirstAttempt => {}
        }
        let work = self.means.get(route).copied().unwrap_or_default();
        let left = target.saturating_sub(work.mul_f64(WORK_MEANS));
        left.clamp(
            target.mul_f64(SHORTEST_SHARE),
            target.mul_f64(LONGEST_SHARE),
        )
    }

    /// Forgets everything: another back end stands there.
    pub fn clear(&mut self) {
        self.means.clear();
    }
}
