//! How many requests of a tenant one node may admit, so that all nodes together keep
//! within the tenant's limit.
//!
//! Each node knows, some tenths of a second late, how much all nodes were asked and how
//! much they admitted ([`crate::fleet::ZoneLoad`]). From that it works out what the tenant's
//! token bucket would hold if there were a single one, and admits each request with the
//! same chance as all others do: what may be admitted over what is asked. A tenant with
//! one request in some seconds at each of many nodes gets its whole limit that way, which
//! parts of a token at each node could not give it. What was admitted before the news of
//! a surge came is owed, and is held back within the window.
//!
//! A node that hears nothing, and zones that do not hear each other, keep to the part of
//! the limit that they had when they last heard all.

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
use fleet_load::{LoadByTenant, Reach};
use rand::Rng;
use std::collections::HashMap;
use std::time::Duration;
use tenant_quota::TenantQuota;

/// Tenants without requests are forgotten after this time: longer than a window, so that
/// a new record may start with a full burst.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// What the fleet promises beyond the limits themselves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaPolicy {
    /// Sliding window in which requests are counted.
    pub window: Duration,
    /// Part of a limit by which a window may exceed it.
    pub overage_ratio: f64,
    /// Requests by which a window may exceed its limit besides.
    pub slack_requests: f64,
}

impl QuotaPolicy {
    /// Most requests that may run in a window.
    pub fn max_requests_in_window(&self, limit: RateLimit) -> f64 {
        let requests = limit.rate * self.window.as_secs_f64() + limit.burst;
        requests * (1.0 + self.overage_ratio) + self.slack_requests
    }
}

/// One tenant as an operator sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaView {
    /// The limit.
    pub limit: RateLimit,
    /// Requests a second that this node was asked.
    pub local_demand_rps: f64,
    /// Requests a second that all nodes were asked, as far as this one knows.
    pub fleet_demand_rps: f64,
    /// Requests a second that all nodes admitted.
    pub admitted_rps: f64,
    /// Part of the requests that is admitted here.
    pub admission_probability: f64,
    /// Requests refused here.
    pub refused: u64,
    /// What the share is worked out from.
    pub basis: QuotaBasis,
}

/// The limits of all tenants, as one node keeps them.
#[derive(Debug)]
pub struct TenantQuotas {
    policy: QuotaPolicy,
    tenants: HashMap<TenantHash, TenantQuota>,
    reach: Reach,
    started: Moment,
    /// Since when all nodes are heard: a tenant that was not named was admitted little.
    all_heard_since: Option<Moment>,
}

impl TenantQuotas {
    /// Nothing is known of any tenant.
    pub fn new(policy: QuotaPolicy, now: Moment) -> Self {
        Self {
            policy,
            tenants: HashMap::new(),
            reach: Reach::unknown(now),
            started: now,
            all_heard_since: None,
        }
    }

    /// A request of `tenant` comes in. A tenant without a limit is not counted.
    pub fn try_admit(
        &mut self,
        tenant: &Tenant,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Result<(), QuotaExceeded> {
        let Some(limit) = tenant.limit() else {
            return Ok(());
        };
        let quiet = self.all_heard_since.map(|since| now.since(since));
        let tag = TenantHash::of(&tenant.name);
        let quota = self.quota(tag, limit, quiet.unwrap_or_default(), now);
        quota.try_admit(now, rng)
    }

    /// A request that was admitted was proved not to have run.
    pub fn refund(&mut self, tenant: TenantHash, now: Moment) {
        if let Some(quota) = self.tenants.get_mut(&tenant) {
            quota.refund(now);
        }
    }

    /// Takes over what is known of the fleet; to be called often. `table` has the limits
    /// in force: a tenant that is gone leaves nothing behind.
    pub fn update(&mut self, news: &FleetLoadSnapshot<'_>, table: &TenantTable, now: Moment) {
        self.reach = self.reach.next(news, now);
        let told = LoadByTenant::new(news);
        for tag in told.tenants() {
            if let Some(limit) = table.limit(tag) {
                self.quota(tag, limit, Duration::ZERO, now);
            }
        }
        let all_heard = self.reach.is_whole() && told.names_all();
        self.all_heard_since = all_heard.then(|| self.all_heard_since.unwrap_or(now));
        let reach = &self.reach;
        self.tenants.retain(|tag, quota| {
            let Some(limit) = table.limit(*tag) else {
                return false;
            };
            quota.set_limit(limit);
            quota.update(*tag, &told, reach, now);
            quota.idle(now) < FORGET_AFTER || quota.holds_back(reach)
        });
    }

    /// What this node has to tell of its tenants: those who ask for so little that the
    /// limit would hold if all nodes were asked as much are left out.
    pub fn load_reports(&mut self, now: Moment) -> Vec<TenantLoad> {
        let nodes = f64::from(self.reach.members);
        let told = |(tag, quota): (&TenantHash, &mut TenantQuota)| quota.tell(*tag, nodes, now);
        self.tenants.iter_mut().filter_map(told).collect()
    }

    /// What is known of a tenant; none while it asks for nothing.
    pub fn view(&self, tenant: TenantHash, now: Moment) -> Option<QuotaView> {
        Some(self.tenants.get(&tenant)?.view(now))
    }

    /// Tenants that are kept.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// True when no tenant is kept.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// The record of a tenant, of which little was admitted for the time `quiet`.
    fn quota(
        &mut self,
        tag: TenantHash,
        limit: RateLimit,
        quiet: Duration,
        now: Moment,
    ) -> &mut TenantQuota {
        let (policy, reach) = (self.policy, &self.reach);
        // After a whole window this node would have a record of any tenant that was admitted
        // much; before that, it does not know what ran before it started.
        let rested = now.since(self.started) >= policy.window;
        let quiet = if rested { policy.window } else { quiet };
        self.tenants
            .entry(tag)
            .or_insert_with(|| TenantQuota::new(policy, limit, reach, quiet, now))
    }
}
