//! Demand and token balance of one zone for one tenant.

use super::decaying_rate::weight_after;
use crate::config::RateLimit;
use crate::ids::Zone;
use crate::time::Moment;
use std::time::Duration;

/// Time constant of a tenant's usual demand, long compared with traffic spikes.
pub(super) const USUAL_DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Demand of one zone for one tenant, and token balance of the zone's fraction of the
/// tenant's limit. Maintained at all times:
/// when the zone becomes unreachable, the other zones know what they admitted beyond their
/// own fractions before they noticed.
#[derive(Debug, Clone)]
pub(super) struct ZoneBalance {
    pub(super) zone: Zone,
    /// Requests per second received by the zone, with a long time constant.
    pub(super) usual_demand: f64,
    /// Token balance of the zone's fraction of the limit; negative for a deficit.
    pub(super) balance: f64,
    updated_at: Moment,
}

impl ZoneBalance {
    /// Creates the balance of a zone that reports the tenant for the first time.
    pub(super) fn new(zone: Zone, demand: f64, updated_at: Moment) -> Self {
        Self {
            zone,
            usual_demand: demand,
            balance: 0.0,
            updated_at,
        }
    }

    /// Applies the zone's report made at `at`; `limit` is the zone's fraction of the limit.
    /// A deficit is capped at the requests that `limit` admits in `window_secs` seconds.
    pub(super) fn apply_report(
        &mut self,
        (asked, admitted): (f64, f64),
        limit: RateLimit,
        window_secs: f64,
        at: Moment,
    ) {
        let passed = at.since(self.updated_at);
        if passed.is_zero() {
            return;
        }
        self.updated_at = at;
        self.usual_demand +=
            (asked - self.usual_demand) * weight_after(passed, USUAL_DEMAND_TIME_CONSTANT);
        let gained = (limit.rate - admitted) * passed.as_secs_f64();
        let max_deficit = limit.rate * window_secs + limit.burst;
        self.balance = (self.balance + gained).clamp(-max_deficit, limit.burst);
    }
}
