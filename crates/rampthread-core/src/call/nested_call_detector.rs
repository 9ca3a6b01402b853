//! Which routes are called by a back end in the middle of its own work.
//!
//! Callers from outside enter at every node, so their calls come from nodes
//! beside all services. A route that only one service calls, at a gate that
//! others call too, is a dependency of that service: each such call holds a
//! slot there, and the work done for its parent is lost if it fails.

use crate::ids::ResourceName;
use std::collections::HashMap;

/// Weight that older calls keep at each new one: about 200 calls count.
const KEPT_WEIGHT: f64 = 0.995;
/// Weight of a route's calls before anything is concluded of it.
const LEAST_WEIGHT: f64 = 20.0;
/// Part of a route's calls that its main caller makes where it is a dependency.
const ONE_CALLER: f64 = 0.99;

/// Callers of one route, by weight.
#[derive(Debug, Default)]
struct Callers {
    weights: HashMap<String, f64>,
}

impl Callers {
    fn note(&mut self, caller: &str) {
        for weight in self.weights.values_mut() {
            *weight *= KEPT_WEIGHT;
        }
        match self.weights.get_mut(caller) {
            Some(weight) => *weight += 1.0,
            None => {
                self.weights.insert(caller.to_string(), 1.0);
            }
        }
    }

    /// Share of the main caller; none before enough calls were seen.
    fn main_share(&self) -> Option<f64> {
        let total: f64 = self.weights.values().sum();
        let main = self.weights.values().copied().fold(0.0, f64::max);
        (total >= LEAST_WEIGHT).then(|| main / total)
    }
}

/// Learns at one gate who calls which route.
#[derive(Debug, Default)]
pub struct NestedCallDetector {
    routes: HashMap<ResourceName, Callers>,
}

impl NestedCallDetector {
    /// A node beside `caller` passes on a call of `route`. True when it is most
    /// likely the call of a back end.
    pub fn observe(&mut self, route: &ResourceName, caller: &str) -> bool {
        let callers = match self.routes.get_mut(route) {
            Some(callers) => callers,
            None => self.routes.entry(route.clone()).or_default(),
        };
        callers.note(caller);
        self.is_nested(route)
    }

    /// True when the calls of `route` are most likely a back end's, by those seen so far.
    pub fn is_nested(&self, route: &ResourceName) -> bool {
        let one_caller = |callers: &Callers| callers.main_share().map(|share| share >= ONE_CALLER);
        self.routes.get(route).and_then(one_caller) == Some(true)
            && self
                .routes
                .values()
                .any(|callers| one_caller(callers) == Some(false))
    }

    /// Forgets everything: another back end stands there.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}
