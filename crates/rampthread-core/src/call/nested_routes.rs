//! Which routes back ends call in the middle of their own work, as an entry knows it.
//!
//! An entry sees the calls of one node only, where clients and the back end beside it look
//! alike. The gates see the calls of many nodes and find it out (see
//! [`dependency`](super::nested_call_detector)); they tell it with their answers.

use crate::ids::ResourceName;
use crate::time::Moment;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which the word of a gate counts. A gate that has seen few calls says nothing,
/// so that silence is no denial; a route that callers from outside begin to use is told
/// as nested for so long at most.
const WORD_LIFE: Duration = Duration::from_secs(30);

/// Routes that gates have told to be nested calls.
#[derive(Debug, Default)]
pub struct NestedRoutes {
    told: HashMap<ResourceName, Moment>,
}

impl NestedRoutes {
    /// A gate says that calls of `route` from here are a back end's.
    pub fn told(&mut self, route: &ResourceName, now: Moment) {
        match self.told.get_mut(route) {
            Some(at) => *at = now,
            None => {
                self.told.retain(|_, at| now.since(*at) < WORD_LIFE);
                self.told.insert(route.clone(), now);
            }
        }
    }

    /// True when a call of `route` is most likely the back end's beside this entry.
    pub fn is_nested(&self, route: &ResourceName, now: Moment) -> bool {
        let told = self.told.get(route);
        told.is_some_and(|at| now.since(*at) < WORD_LIFE)
    }
}
