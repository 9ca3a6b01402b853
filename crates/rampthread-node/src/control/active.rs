//! The configuration in force, with what calls derive from it.

use arc_swap::ArcSwap;
use rampthread_core::call::route_table::RouteTable;
use rampthread_core::call::tenant_table::TenantTable;
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
    /// Its tenants by their keys.
    pub tenants: TenantTable,
}

impl ActiveConfig {
    /// Derives the routes and tenants of `state`.
    pub fn new(state: Arc<ConfigState>) -> Self {
        let routes = RouteTable::new(&state);
        let tenants = TenantTable::new(&state);
        Self {
            state,
            routes,
            tenants,
        }
    }
}

/// Where calls find the version in force.
///
/// The agent decides on versions in their order, but its decisions are carried out by
/// the threads that brought them. One that derives the routes of a large version may
/// come to its end after another has put a newer, smaller one in force.
#[derive(Debug, Default)]
pub struct ActiveConfigCell {
    active: ArcSwap<ActiveConfig>,
}

impl ActiveConfigCell {
    /// The version in force.
    pub fn load(&self) -> Arc<ActiveConfig> {
        self.active.load_full()
    }

    /// Puts `state` in force, unless a newer version is by now; true if it did.
    pub fn adopt(&self, state: Arc<ConfigState>) -> bool {
        let next = Arc::new(ActiveConfig::new(state));
        let is_newer = |current: &ActiveConfig| next.state.version() > current.state.version();
        let before = self.active.rcu(|current| match is_newer(current) {
            true => next.clone(),
            false => current.clone(),
        });
        is_newer(&before)
    }
}
