//! How long ago a caller made its first attempt.
//!
//! Callers give their first attempt the whole time that they have, and a retry
//! what is left of it. The time that most first attempts of a route bring is
//! learnt from the calls themselves; what a call brings less is its age. Where
//! callers bring all sorts of times, nothing is learnt and every call counts as
//! a first attempt.

use crate::ids::ResourceName;
use std::collections::HashMap;
use std::time::Duration;

/// Times that are kept apart for one route.
const KEPT_TIMES: usize = 8;
/// Two times count as the same within this share of the longer one: a call
/// spends a moment on its way before it is read.
const SAME_SHARE: f64 = 0.02;
/// Part of a route's recent calls that must bring a time for it to be the one
/// of first attempts. Retries spread over many times, first attempts do not.
const LEAST_SHARE: f64 = 0.2;
/// Weight that older calls keep at each new one: about 100 calls count.
const KEPT_WEIGHT: f64 = 0.99;
/// Weight of all calls before anything is concluded.
const LEAST_WEIGHT: f64 = 10.0;

#[derive(Debug, Clone, Copy)]
struct BroughtTime {
    time: Duration,
    weight: f64,
}

impl BroughtTime {
    fn is_like(&self, time: Duration) -> bool {
        let longer = self.time.max(time);
        longer - self.time.min(time) <= longer.mul_f64(SAME_SHARE)
    }
}

/// The times that recent calls of one route brought.
#[derive(Debug, Default)]
struct RouteTimes {
    brought: Vec<BroughtTime>,
}

impl RouteTimes {
    fn note(&mut self, time: Duration) {
        for known in &mut self.brought {
            known.weight *= KEPT_WEIGHT;
        }
        match self.brought.iter_mut().find(|known| known.is_like(time)) {
            Some(known) => {
                known.weight += 1.0;
                known.time = known.time.max(time);
            }
            None => self.add(time),
        }
    }

    fn add(&mut self, time: Duration) {
        let new = BroughtTime { time, weight: 1.0 };
        if self.brought.len() < KEPT_TIMES {
            self.brought.push(new);
            return;
        }
        let by_weight =
            |one: &&mut BroughtTime, other: &&mut BroughtTime| one.weight.total_cmp(&other.weight);
        if let Some(lightest) = self.brought.iter_mut().min_by(by_weight) {
            *lightest = new;
        }
    }

    /// The longest time that enough calls bring.
    fn of_first_attempts(&self) -> Option<Duration> {
        let total: f64 = self.brought.iter().map(|one| one.weight).sum();
        if total < LEAST_WEIGHT {
            return None;
        }
        let usual = self
            .brought
            .iter()
            .filter(|one| one.weight >= total * LEAST_SHARE);
        usual.map(|one| one.time).max()
    }
}

/// Learns the time that first attempts bring, by route of the configuration.
#[derive(Debug, Default)]
pub struct AttemptAges {
    routes: HashMap<ResourceName, RouteTimes>,
}

impl AttemptAges {
    /// A call of `route` brought `time`. Tells its age; zero for a first attempt.
    pub fn age(&mut self, route: &ResourceName, time: Duration) -> Duration {
        let times = match self.routes.get_mut(route) {
            Some(times) => times,
            None => self.routes.entry(route.clone()).or_default(),
        };
        times.note(time);
        let Some(first) = times.of_first_attempts() else {
            return Duration::ZERO;
        };
        let age = first.saturating_sub(time);
        if age <= first.mul_f64(SAME_SHARE) {
            return Duration::ZERO;
        }
        age
    }
}
