//! What backends have said about themselves in responses that an entry node (the node that
//! received the calls) has passed on: a rate limit, or that they leave.
//!
//! The entry node keeps this by backend incarnation, also while the incarnation's node is away:
//! when that node restarts, it knows neither.

use super::rate_limit::RateLimit;
use crate::ids::ResourceName;
use std::collections::{HashMap, VecDeque};

/// Maximum number of backend incarnations that are remembered; the oldest are dropped first.
const MAX_BACKENDS: usize = 4_096;

/// What one backend incarnation has said about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BackendSignal {
    /// The rate limit in its last response; `None` if it named none.
    pub limit: Option<RateLimit>,
    /// It has said that it leaves, which it cannot take back.
    pub leaving: bool,
}

/// Signals of backend incarnations, by the incarnation's name.
#[derive(Debug, Default)]
pub struct BackendSignals {
    signals: HashMap<ResourceName, BackendSignal>,
    /// Names in the order in which they were first recorded.
    order: VecDeque<ResourceName>,
}

impl BackendSignals {
    /// Records the limit of the latest response of `backend`.
    pub fn record_limit(&mut self, backend: &ResourceName, limit: Option<RateLimit>) {
        if limit.is_some() || self.signals.contains_key(backend) {
            self.signal(backend).limit = limit;
        }
    }

    /// Records that `backend` leaves.
    pub fn record_leaving(&mut self, backend: &ResourceName) {
        self.signal(backend).leaving = true;
    }

    /// The signal of `backend`, added if it is not known yet.
    fn signal(&mut self, backend: &ResourceName) -> &mut BackendSignal {
        if !self.signals.contains_key(backend) {
            self.order.push_back(backend.clone());
            if self.order.len() > MAX_BACKENDS
                && let Some(oldest) = self.order.pop_front()
            {
                self.signals.remove(&oldest);
            }
        }
        self.signals.entry(backend.clone()).or_default()
    }

    /// The limit that `backend` has named; `None` if none is known.
    pub fn limit(&self, backend: &ResourceName) -> Option<RateLimit> {
        self.signals.get(backend)?.limit
    }

    /// True if `backend` has said that it leaves.
    pub fn is_leaving(&self, backend: &ResourceName) -> bool {
        self.signals
            .get(backend)
            .is_some_and(|signal| signal.leaving)
    }
}
