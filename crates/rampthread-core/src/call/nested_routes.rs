//! Routes that carry nested calls (calls that a backend makes while it serves another), as
//! an entry knows them. The entry is the node that receives a call.
//!
//! An entry sees the calls of one node only, where calls of clients and of the local
//! backend look alike. Gates, the nodes that forward calls to backends, see the calls of
//! many nodes and can tell them apart (see
//! [`nested_call_detector`](super::nested_call_detector)); they report nested calls with
//! their responses.

use crate::ids::ResourceName;
use crate::time::Moment;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a gate's report counts. A gate that has seen few calls reports nothing,
/// so a missing report denies nothing; a route that callers from outside begin to use
/// counts as nested for at most this long.
const REPORT_TTL: Duration = Duration::from_secs(30);

/// Routes that gates have reported to carry nested calls from this node.
#[derive(Debug, Default)]
pub struct NestedRoutes {
    /// Time of the last report for each route.
    last_reports: HashMap<ResourceName, Moment>,
}

impl NestedRoutes {
    /// Records the report of a gate that calls of `route` from this node are nested.
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
