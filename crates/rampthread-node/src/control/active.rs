//! The active configuration version and the tables that calls use from it.

use arc_swap::ArcSwap;
use rampthread_core::call::route_table::RouteTable;
use rampthread_core::call::tenant_table::TenantTable;
use rampthread_core::config::ConfigState;
use std::sync::Arc;

/// One configuration version with its derived tables. It is replaced by a single pointer
/// store; a call keeps the version that it began with.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// The configuration that the tables are derived from.
    pub state: Arc<ConfigState>,
    /// Routes of the configuration in order of precedence.
    pub routes: RouteTable,
    /// Tenants of the configuration, indexed by their keys.
    pub tenants: TenantTable,
}

impl ActiveConfig {
    /// Derives the tables of routes and tenants from `state`.
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

/// Holder of the active configuration version, shared with the call path.
///
/// The agent decides on versions in their order, but its actions are executed by the
/// threads that triggered them. A thread that derives the tables of a large version may
/// finish after another thread has activated a newer, smaller version.
#[derive(Debug, Default)]
pub struct ActiveConfigCell {
    active: ArcSwap<ActiveConfig>,
}

impl ActiveConfigCell {
    /// Returns the active configuration version with its tables.
    pub fn load(&self) -> Arc<ActiveConfig> {
        self.active.load_full()
    }

    /// Activates `state` unless a newer version is active; returns whether it did.
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
