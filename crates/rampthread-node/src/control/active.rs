//! The configuration in force, with what calls derive from it.

use rampthread_core::call::route_table::RouteTable;
use rampthread_core::config::ConfigState;
use std::sync::Arc;

/// One version, swapped in by a single pointer store. A call keeps the version
/// that it began with.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// The state.
    pub state: Arc<ConfigState>,
    /// Its routes in order of precedence.
    pub routes: RouteTable,
}

impl ActiveConfig {
    /// Derives the routes of `state`.
    pub fn new(state: Arc<ConfigState>) -> Self {
        let routes = RouteTable::new(&state);
        Self { state, routes }
    }
}
