//! Estimates how long ago a caller made its first attempt at a request.
//!
//! A caller sends its first attempt with its full timeout, and a retry with the part of the
//! timeout that is left. The timeout of first attempts is learnt by route from the calls
//! themselves. If a call has a shorter timeout, the difference is the time since its
//! caller's first attempt, the age of the call. Where callers use all sorts of timeouts,
//! nothing is learnt and every call counts as a first attempt.

use crate::ids::ResourceName;
use std::collections::HashMap;
use std::time::Duration;

/// Number of different timeouts that are counted for one route.
const MAX_TIMEOUTS: usize = 8;
/// Largest difference of two timeouts that count as equal, as a ratio of the longer one. A
/// node reads a call some time after it was sent, so that equal timeouts differ a little.
const SAME_TIMEOUT_RATIO: f64 = 0.02;
/// Minimum share of a route's recent calls that must have a timeout before it counts as the
/// timeout of first attempts. First attempts mostly have the same timeout, while the
/// timeouts of retries vary.
const MIN_FIRST_ATTEMPT_SHARE: f64 = 0.2;
/// Factor by which the weight of older calls shrinks with each new one: about 100 calls
/// count.
const WEIGHT_DECAY: f64 = 0.99;
/// Minimum total weight of a route's recorded calls before a timeout of first attempts is
/// derived from them.
const MIN_WEIGHT: f64 = 10.0;

/// A timeout that several recent calls of one route had.
#[derive(Debug, Clone, Copy)]
struct SeenTimeout {
    time: Duration,
    /// How many recent calls had about this timeout; each counts less with each newer call.
    weight: f64,
}

impl SeenTimeout {
    /// True if `time` and this timeout differ by no more than [`SAME_TIMEOUT_RATIO`].
    fn matches_timeout(&self, time: Duration) -> bool {
        let longer = self.time.max(time);
        longer - self.time.min(time) <= longer.mul_f64(SAME_TIMEOUT_RATIO)
    }
}

/// The timeouts that recent calls of one route had, with their frequency.
#[derive(Debug, Default)]
struct RouteTimeoutCounts {
    timeouts: Vec<SeenTimeout>,
}

impl RouteTimeoutCounts {
    /// Counts a call of the route that has the timeout `time`.
    fn record(&mut self, time: Duration) {
        for known in &mut self.timeouts {
            known.weight *= WEIGHT_DECAY;
        }
        match self
            .timeouts
            .iter_mut()
            .find(|known| known.matches_timeout(time))
        {
            Some(known) => {
                known.weight += 1.0;
                known.time = known.time.max(time);
            }
            None => self.add(time),
        }
    }

    /// Starts to count calls with a timeout not seen before. At [`MAX_TIMEOUTS`] the
    /// timeout with the least weight is dropped.
    fn add(&mut self, time: Duration) {
        let new = SeenTimeout { time, weight: 1.0 };
        if self.timeouts.len() < MAX_TIMEOUTS {
            self.timeouts.push(new);
            return;
        }
        let by_weight =
            |one: &&mut SeenTimeout, other: &&mut SeenTimeout| one.weight.total_cmp(&other.weight);
        if let Some(lightest) = self.timeouts.iter_mut().min_by(by_weight) {
            *lightest = new;
        }
    }

    /// Timeout that first attempts of the route have: the longest that enough calls had.
    /// `None` before enough calls were counted.
    fn first_attempt_timeout(&self) -> Option<Duration> {
        let total: f64 = self.timeouts.iter().map(|one| one.weight).sum();
        if total < MIN_WEIGHT {
            return None;
        }
        let usual = self
            .timeouts
            .iter()
            .filter(|one| one.weight >= total * MIN_FIRST_ATTEMPT_SHARE);
        usual.map(|one| one.time).max()
    }
}

/// Learns the timeout of first attempts for each route.
#[derive(Debug, Default)]
pub struct AttemptAges {
    routes: HashMap<ResourceName, RouteTimeoutCounts>,
}

impl AttemptAges {
    /// Records a call of `route` that has the timeout `time` left, and returns how long ago
    /// its caller made the first attempt: the time by which `time` is shorter than the
    /// timeout of first attempts. Zero for a first attempt.
    pub fn age(&mut self, route: &ResourceName, time: Duration) -> Duration {
        let times = match self.routes.get_mut(route) {
            Some(times) => times,
            None => self.routes.entry(route.clone()).or_default(),
        };
        times.record(time);
        let Some(first) = times.first_attempt_timeout() else {
            return Duration::ZERO;
        };
        let age = first.saturating_sub(time);
        if age <= first.mul_f64(SAME_TIMEOUT_RATIO) {
            return Duration::ZERO;
        }
        age
    }
}
