//! Distributed rate limits: how many requests of a tenant one node may admit so that all
//! nodes together stay within the tenant's limit.
//!
//! Each node learns with a delay of some tenths of a second how many requests all nodes
//! received and admitted ([`crate::fleet::ZoneLoad`]). From these load reports it computes
//! the level of one token bucket shared by the fleet and admits each request with the same
//! probability as every other node: the permitted rate over the requested rate. Therefore a
//! tenant that sends few requests to each of many nodes gets its whole limit; static
//! per-node buckets would hold less than one token each. Requests admitted before the
//! reports of a traffic spike arrive become a token deficit, which is worked off within the
//! window.
//!
//! A node without reports, and zones that are partitioned from each other, keep to the
//! fraction of the limit that they had when all of them were last reachable.

mod bucket;
mod decaying_rate;
mod fleet_load;
mod limit_fraction;
mod tenant_quota;
mod zone_balance;

pub use fleet_load::{FleetLoadSnapshot, ZoneMemberCounts};
pub use tenant_quota::{QuotaBasis, QuotaExceeded};

use crate::call::tenant_table::TenantTable;
use crate::config::{RateLimit, Tenant};
use crate::fleet::{TenantHash, TenantLoad};
use crate::time::Moment;
use fleet_load::{LoadByTenant, ReportCoverage};
use rand::Rng;
use std::collections::HashMap;
use std::time::Duration;
use tenant_quota::TenantQuota;

/// Idle time after which a tenant's state is dropped. Longer than a window, so that new
/// state may start with a full burst.
const IDLE_RETENTION: Duration = Duration::from_secs(60);

/// Operator's settings for how exactly the fleet enforces tenants' limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaPolicy {
    /// Length of the sliding window in which a tenant's admitted requests are counted.
    pub window: Duration,
    /// Ratio by which a window's requests may exceed the tenant's limit, e.g. 0.1.
    pub overage_ratio: f64,
    /// Requests by which a window may exceed the tenant's limit in addition to the ratio.
    pub slack_requests: f64,
}

impl QuotaPolicy {
    /// Requests of a tenant with `limit` that may run in one window at most, with the
    /// tolerated excess.
    pub fn max_requests_in_window(&self, limit: RateLimit) -> f64 {
        let requests = limit.rate * self.window.as_secs_f64() + limit.burst;
        requests * (1.0 + self.overage_ratio) + self.slack_requests
    }
}

/// State of one tenant's limit at this node, for the operators' API.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaView {
    /// The tenant's limit in the active configuration version.
    pub limit: RateLimit,
    /// Requests per second of the tenant that this node received.
    pub local_demand_rps: f64,
    /// Requests per second of the tenant that all nodes received, estimated from their
    /// reports.
    pub fleet_demand_rps: f64,
    /// Requests per second of the tenant that all nodes admitted, from their reports.
    pub admitted_rps: f64,
    /// Probability with which this node admits a request of the tenant, 0 to 1.
    pub admission_probability: f64,
    /// Requests of the tenant rejected by this node since it began to track the tenant.
    pub refused: u64,
    /// Whether the admission probability is based on load reports of the fleet or on this
    /// node alone.
    pub basis: QuotaBasis,
}

/// Limits of all tenants at one node: decides on the tenants' requests and reports this
/// node's load.
#[derive(Debug)]
pub struct TenantQuotas {
    policy: QuotaPolicy,
    tenants: HashMap<TenantHash, TenantQuota>,
    coverage: ReportCoverage,
    started: Moment,
    /// Since when the load reports cover all nodes; `None` while they don't. A tenant
    /// without an entry in these reports had little traffic admitted since then.
    all_reporting_since: Option<Moment>,
}

impl TenantQuotas {
    /// Creates the limits of a node that has just started and has no state for any tenant.
    pub fn new(policy: QuotaPolicy, now: Moment) -> Self {
        Self {
            policy,
            tenants: HashMap::new(),
            coverage: ReportCoverage::initial(now),
            started: now,
            all_reporting_since: None,
        }
    }

    /// Decides whether to admit one request of `tenant`. Requests of tenants without a
    /// limit are always admitted and not counted.
    pub fn try_admit(
        &mut self,
        tenant: &Tenant,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Result<(), QuotaExceeded> {
        let Some(limit) = tenant.limit() else {
            return Ok(());
        };
        let low_traffic_for = self.all_reporting_since.map(|since| now.since(since));
        let tag = TenantHash::of(&tenant.name);
        let quota = self.quota(tag, limit, low_traffic_for.unwrap_or_default(), now);
        quota.try_admit(now, rng)
    }

    /// Refunds the token of an admitted request of `tenant` that is known not to have run
    /// at a backend.
    pub fn refund(&mut self, tenant: TenantHash, now: Moment) {
        if let Some(quota) = self.tenants.get_mut(&tenant) {
            quota.refund(now);
        }
    }

    /// Applies the latest load reports of the fleet; to be called at least every few
    /// hundred milliseconds. `table` holds the limits of the active configuration version:
    /// state of tenants without a limit in `table` is dropped.
    pub fn update(&mut self, snapshot: &FleetLoadSnapshot<'_>, table: &TenantTable, now: Moment) {
        self.coverage = self.coverage.updated(snapshot, now);
        let loads = LoadByTenant::new(snapshot);
        for tag in loads.tenants() {
            if let Some(limit) = table.limit(tag) {
                self.quota(tag, limit, Duration::ZERO, now);
            }
        }
        let all_reporting = self.coverage.is_complete() && loads.is_complete();
        self.all_reporting_since = all_reporting.then(|| self.all_reporting_since.unwrap_or(now));
        let coverage = &self.coverage;
        self.tenants.retain(|tag, quota| {
            let Some(limit) = table.limit(*tag) else {
                return false;
            };
            quota.set_limit(limit);
            quota.update(*tag, &loads, coverage, now);
            quota.idle_for(now) < IDLE_RETENTION || quota.has_reduced_fraction(coverage)
        });
    }

    /// Returns this node's load per tenant for its zone's report. Leaves out tenants with
    /// so little traffic that the limit would hold if every node received as much.
    pub fn load_reports(&mut self, now: Moment) -> Vec<TenantLoad> {
        let nodes = f64::from(self.coverage.member_count);
        let report =
            |(tag, quota): (&TenantHash, &mut TenantQuota)| quota.load_report(*tag, nodes, now);
        self.tenants.iter_mut().filter_map(report).collect()
    }

    /// Returns the state of a tenant's limit, or `None` if no recent request of the tenant
    /// is known here.
    pub fn view(&self, tenant: TenantHash, now: Moment) -> Option<QuotaView> {
        Some(self.tenants.get(&tenant)?.view(now))
    }

    /// Number of tenants that this node keeps state for; at most the tenants with a limit.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns whether this node keeps state for no tenant, so that there is nothing to
    /// update.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Returns the state of a tenant and creates it if missing. New state assumes that
    /// little was admitted of the tenant for the time `low_traffic_for`.
    fn quota(
        &mut self,
        tag: TenantHash,
        limit: RateLimit,
        low_traffic_for: Duration,
        now: Moment,
    ) -> &mut TenantQuota {
        let (policy, coverage) = (self.policy, &self.coverage);
        // After a whole window this node has state for every tenant with much admitted
        // traffic. Before that, it doesn't know what was admitted before it started.
        let tracked_full_window = now.since(self.started) >= policy.window;
        let low_traffic_for = if tracked_full_window {
            policy.window
        } else {
            low_traffic_for
        };
        self.tenants
            .entry(tag)
            .or_insert_with(|| TenantQuota::new(policy, limit, coverage, low_traffic_for, now))
    }
}
