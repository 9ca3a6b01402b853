//! What the final log line of a call reports, collected while the call runs.

use super::Call;
use crate::call_log::{CallPriorityFields, CompletedCall};
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::precedence::Precedence;
use rampthread_core::config::Route;
use rampthread_core::ids::{ResourceName, Zone};
use rampthread_core::time::Moment;
use std::sync::Arc;
use std::time::Duration;

/// What determines the order in which a gate node serves the call.
struct CallPriority {
    tenant: Option<ResourceName>,
    rank: u32,
    precedence: Precedence,
    age: Duration,
}

impl CallPriority {
    fn of(call: &Call) -> Self {
        Self {
            tenant: call.tenant.clone(),
            rank: call.rank,
            precedence: call.precedence,
            age: call.age,
        }
    }

    /// Converts the priority to fields of the call's final log line.
    fn log_fields(&self) -> CallPriorityFields<'_> {
        CallPriorityFields {
            tenant: self.tenant.as_ref().map(ResourceName::as_str),
            rank: self.rank,
            precedence: self.precedence,
            age: self.age,
        }
    }
}

/// What the log reports about a call; fields are unset until known.
#[derive(Default)]
pub(super) struct CallProgress {
    route: Option<Arc<Route>>,
    service: Option<ResourceName>,
    priority: Option<CallPriority>,
    version: u64,
    pub(super) attempts: u32,
    allowed: Option<Duration>,
    /// Zone of the last attempt; `None` before the first.
    pub(super) zone: Option<Zone>,
    /// The last attempt was spilled to another zone by the zone plan.
    pub(super) spilled: bool,
    /// Identity of the request; set only if a response to the request was lost.
    pub(super) identity: Option<RequestIdentity>,
}

impl CallProgress {
    /// Records the route, service, priority and time limit of a call that is ready to run.
    pub(super) fn record_prepared_call(&mut self, call: &Call, started_at: Moment) {
        self.route = Some(call.route.clone());
        self.service = Some(call.service.clone());
        self.priority = Some(CallPriority::of(call));
        self.version = call.config.state.version().0;
        self.allowed = Some(call.deadline.since(started_at));
    }

    /// Returns the fields of the final log line, for a call that took `elapsed`.
    pub(super) fn completed_call<'a>(
        &'a self,
        request_id: &'a str,
        elapsed: Duration,
    ) -> CompletedCall<'a> {
        let route = self.route.as_ref();
        CompletedCall {
            request_id,
            route: route.map(|route| route.name.as_str()),
            service: self.service.as_ref().map(ResourceName::as_str),
            priority: self.priority.as_ref().map(CallPriority::log_fields),
            version: self.version,
            tries: self.attempts,
            zone: self.zone.as_ref().map(Zone::as_str),
            sent_away: self.spilled,
            took: elapsed,
            allowed: self.allowed,
            target: route
                .and_then(|route| route.target_latency_ms)
                .map(Duration::from_millis),
            identity: self.identity,
        }
    }
}
