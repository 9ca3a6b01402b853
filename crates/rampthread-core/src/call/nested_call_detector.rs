//! Detects routes that a backend calls while it serves another call.
//!
//! Callers from outside use every entry, so their calls come from nodes of all services. A
//! route that only one service calls, at a gate that others call too, carries nested calls
//! of that service: each of them holds a slot there, and the work done for its parent is
//! lost if it fails.

use crate::ids::ResourceName;
use std::collections::HashMap;

/// Weight that older calls keep at each new one: about 200 calls count.
const WEIGHT_DECAY: f64 = 0.995;
/// Least weight of a route's calls before anything is concluded.
const MIN_WEIGHT: f64 = 20.0;
/// Share of a route's calls that its main caller makes if they are nested.
const MIN_SHARE: f64 = 0.99;

/// Callers of one route, by weight.
#[derive(Debug, Default)]
struct Callers {
    weights: HashMap<String, f64>,
}

impl Callers {
    fn note(&mut self, caller: &str) {
        for weight in self.weights.values_mut() {
            *weight *= WEIGHT_DECAY;
        }
        match self.weights.get_mut(caller) {
            Some(weight) => *weight += 1.0,
            None => {
                self.weights.insert(caller.to_string(), 1.0);
            }
        }
    }

    /// Share of the main caller; `None` before enough calls were seen.
    fn main_share(&self) -> Option<f64> {
        let total: f64 = self.weights.values().sum();
        let main = self.weights.values().copied().fold(0.0, f64::max);
        (total >= MIN_WEIGHT).then(|| main / total)
    }
}

/// Learns at one gate which service calls which route.
#[derive(Debug, Default)]
pub struct NestedCallDetector {
    routes: HashMap<ResourceName, Callers>,
}

impl NestedCallDetector {
    /// Records a call of `route` from a node of the service `caller`. True when it is most
    /// likely nested.
    pub fn observe(&mut self, route: &ResourceName, caller: &str) -> bool {
        let callers = match self.routes.get_mut(route) {
            Some(callers) => callers,
            None => self.routes.entry(route.clone()).or_default(),
        };
        callers.note(caller);
        self.is_nested(route)
    }

    /// True when the calls of `route` are most likely nested, judging by those seen so far.
    pub fn is_nested(&self, route: &ResourceName) -> bool {
        let one_caller = |callers: &Callers| callers.main_share().map(|share| share >= MIN_SHARE);
        self.routes.get(route).and_then(one_caller) == Some(true)
            && self
                .routes
                .values()
                .any(|callers| one_caller(callers) == Some(false))
    }

    /// Drops all records; to be called when another backend replaces this one.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}
