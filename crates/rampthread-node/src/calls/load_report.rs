//! Load report of this node to its zone: load of the local backend and demand of this node's
//! callers.

use super::entry::Entry;
use super::gate::Gate;
use rampthread_core::fleet::LoadReport;
use std::time::Duration;

/// Report of this node for the past `period`; `None` while there is nothing to report.
pub fn load_report(entry: &Entry, gate: &Gate, period: Duration) -> Option<LoadReport> {
    let mut services = entry.service_demand();
    services.extend(gate.service_load());
    let tenants = entry.tenant_loads();
    let empty = services.is_empty() && tenants.is_none();
    (!empty).then_some(LoadReport {
        nodes: 1,
        period,
        services,
        tenants: tenants.unwrap_or_default(),
    })
}
