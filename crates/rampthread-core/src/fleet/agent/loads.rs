//! Load reports of this node and load sums of the zones.

use super::Agent;
use crate::fleet::load::{LoadReport, ZoneLoad};
use crate::time::Moment;

impl Agent {
    /// Records the load report of this node, which is sent at the next load exchange.
    pub fn record_load(&mut self, report: LoadReport, now: Moment) {
        self.loads.set_own_report(report, now);
    }

    /// Load of each zone as known to this node, with the age of the information.
    pub fn zone_loads(&self, now: Moment) -> Vec<ZoneLoad> {
        self.loads.zones(now)
    }
}
