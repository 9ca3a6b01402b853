//! Routes that carry nested calls, as an entry knows them.
//!
//! An entry sees the calls of one node only, where calls of clients and of the local
//! backend look alike. Gates see the calls of many nodes and can tell them apart (see
//! [`nested_call_detector`](super::nested_call_detector)); they report it with their
//! responses.

use crate::ids::ResourceName;
use crate::time::Moment;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a gate's report counts. A gate that has seen few calls reports nothing,
/// so a missing report denies nothing; a route that callers from outside begin to use
/// counts as nested for at most this long.
const REPORT_TTL: Duration = Duration::from_secs(30);

/// Routes that gates have reported as nested calls.
#[derive(Debug, Default)]
pub struct NestedRoutes {
    told: HashMap<ResourceName, Moment>,
}

impl NestedRoutes {
    /// Records the report of a gate that calls of `route` from this node are nested.
    pub fn record_report(&mut self, route: &ResourceName, now: Moment) {
        match self.told.get_mut(route) {
            Some(at) => *at = now,
            None => {
                self.told.retain(|_, at| now.since(*at) < REPORT_TTL);
                self.told.insert(route.clone(), now);
            }
        }
    }

    /// True when a call of `route` most likely comes from the local backend.
    pub fn is_nested(&self, route: &ResourceName, now: Moment) -> bool {
        let told = self.told.get(route);
        told.is_some_and(|at| now.since(*at) < REPORT_TTL)
    }
}
