//! Routes that carry nested calls (calls that a backend makes while it serves another), as
//! an entry node knows them. The entry node is the node that receives a call.
//!
//! An entry node sees only the calls that it receives itself, among which calls of clients
//! and calls of its local backend look alike. Gate nodes, the nodes that forward calls to
//! backends, see the calls of many entry nodes and can tell nested calls from others (see
//! [`nested_call_detector`](super::nested_call_detector)); they report nested calls with
//! their responses.

use crate::ids::ResourceName;
use crate::time::Moment;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a gate node's report that a route is nested counts. A gate node that has
/// seen few calls sends no report, so a missing report does not show that the route is not
/// nested. When callers from outside begin to use a route, it counts as nested for at most
/// this time.
const REPORT_TTL: Duration = Duration::from_secs(30);

/// The routes whose calls from this node are nested, i.e. made by the local backend while
/// it serves another call, as other nodes have reported them.
#[derive(Debug, Default)]
pub struct NestedRoutes {
    /// When a gate node last reported that calls of the route are nested.
    last_reports: HashMap<ResourceName, Moment>,
}

impl NestedRoutes {
    /// Stores the report of a gate node that calls of `route` from this node are nested.
    pub fn record_report(&mut self, route: &ResourceName, now: Moment) {
        match self.last_reports.get_mut(route) {
            Some(at) => *at = now,
            None => {
                self.last_reports
                    .retain(|_, at| now.since(*at) < REPORT_TTL);
                self.last_reports.insert(route.clone(), now);
            }
        }
    }

    /// True if calls of `route` from this node most likely come from its local backend.
    pub fn is_nested(&self, route: &ResourceName, now: Moment) -> bool {
        let last_reports = self.last_reports.get(route);
        last_reports.is_some_and(|at| now.since(*at) < REPORT_TTL)
    }
}
