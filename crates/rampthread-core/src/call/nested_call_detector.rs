//! Detects routes with nested calls: calls that a backend makes while it serves another
//! call. The detector runs in a gate node, the node that forwards calls to its local
//! backend.
//!
//! Callers from outside send to any node, so their calls arrive from nodes of all services.
//! If only one service calls a route, at a gate node that other services call too, the
//! route carries nested calls of that service. Each parent call holds a slot of that
//! service, and its work is lost if the nested call fails.

use crate::ids::ResourceName;
use std::collections::HashMap;

/// Factor by which the weight of older calls shrinks with each new one: about 200 calls
/// count.
const WEIGHT_DECAY: f64 = 0.995;
/// Minimum total weight of a route's recorded calls before the detector decides whether
/// they are nested.
const MIN_WEIGHT: f64 = 20.0;
/// Share of a route's calls that one service must make for them to count as nested.
const MIN_SHARE: f64 = 0.99;

/// The services that call one route, and how often each does.
#[derive(Debug, Default)]
struct RouteCallers {
    /// Recent calls by service; each counts less with each newer call.
    weights: HashMap<String, f64>,
}

impl RouteCallers {
    /// Counts a call from a node of the service `caller`.
    fn record(&mut self, caller: &str) {
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

    /// Share of the route's calls that come from the service with the most calls; `None`
    /// before enough calls were counted.
    fn main_caller_share(&self) -> Option<f64> {
        let total: f64 = self.weights.values().sum();
        let main = self.weights.values().copied().fold(0.0, f64::max);
        (total >= MIN_WEIGHT).then(|| main / total)
    }
}

/// Detects nested calls at one gate node, from which service calls which route.
#[derive(Debug, Default)]
pub struct NestedCallDetector {
    routes: HashMap<ResourceName, RouteCallers>,
}

impl NestedCallDetector {
    /// Records a call of `route` from a node of the service `caller`. Returns true if it is
    /// most likely nested.
    pub fn observe(&mut self, route: &ResourceName, caller: &str) -> bool {
        let callers = match self.routes.get_mut(route) {
            Some(callers) => callers,
            None => self.routes.entry(route.clone()).or_default(),
        };
        callers.record(caller);
        self.is_nested(route)
    }

    /// True if calls of `route` are most likely nested, judging by the calls recorded so
    /// far.
    pub fn is_nested(&self, route: &ResourceName) -> bool {
        let one_caller =
            |callers: &RouteCallers| callers.main_caller_share().map(|share| share >= MIN_SHARE);
        self.routes.get(route).and_then(one_caller) == Some(true)
            && self
                .routes
                .values()
                .any(|callers| one_caller(callers) == Some(false))
    }

    /// Drops the records of all calls. To be called when another backend replaces the local
    /// one.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}
