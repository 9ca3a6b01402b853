//! Rate limits of tenants at this node. The limits are fleet-wide: a request needs a token, which
//! this node holds or gets from the token pool of its zone.

use super::response::CallError;
use super::token_exchange::TokenExchange;
use crate::control::Control;
use crate::metrics::TenantLabel;
use rampthread_core::call::cause::Cause;
use rampthread_core::call::quota::{
    Admission, FleetLoadSnapshot, QuotaBasis, QuotaExceeded, QuotaPolicy, QuotaView, TenantQuotas,
    ZoneMemberCounts,
};
use rampthread_core::config::Tenant;
use rampthread_core::fleet::{Status, TenantHash, TenantLoad};
use rampthread_core::ids::{ResourceName, Zone};
use rampthread_core::time::Moment;
use std::cmp::Reverse;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

/// Maximum number of tenants with metrics of their own. Tenants with rejections come first,
/// then those with the most demand; the other tenants are aggregated.
const MAX_TENANTS_WITH_METRICS: usize = 20;
/// Interval between updates of the tenant metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Label value of the aggregated tenants.
const OTHER_TENANTS: &str = "other";
/// How long a member that disappeared without a departure still counts among the nodes of its
/// zone: it may be partitioned and still admit requests.
const MISSING_MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// Rate limits of all tenants, as applied at this node.
pub struct TenantLimits {
    control: Arc<Control>,
    zone: Zone,
    exchange: Arc<TokenExchange>,
    /// When to update the tenant metrics next, as a [`Moment`].
    next_metrics_update: AtomicU64,
}

impl TenantLimits {
    /// Creates rate limits without tokens. `zone` is the zone of this node.
    pub fn new(control: Arc<Control>, zone: Zone, policy: QuotaPolicy) -> Self {
        let exchange = Arc::new(TokenExchange::new(control.clone(), policy));
        Self {
            control,
            zone,
            exchange,
            next_metrics_update: AtomicU64::new(0),
        }
    }

    fn quotas(&self) -> MutexGuard<'_, TenantQuotas> {
        self.exchange.quotas()
    }

    /// Exchanges tokens with other nodes until the node stops.
    pub async fn run_exchange(self: Arc<Self>) {
        self.exchange.clone().run().await;
    }

    /// Takes a token for a request of `tenant`, and waits for the reply of the token pool if this
    /// node has none left. Returns the tenant whose token was taken; `None` where the tenant has
    /// no limit.
    pub async fn acquire(&self, tenant: &Tenant) -> Result<Option<TenantHash>, CallError> {
        if tenant.limit().is_none() {
            return Ok(None);
        }
        let tag = TenantHash::of(&tenant.name);
        let now = self.control.clock.now();
        let mut decision = self.quotas().try_admit(tenant, now, &mut rand::rng());
        loop {
            self.exchange.send_due_request();
            match decision {
                Ok(Admission::Admitted) => return Ok(Some(tag)),
                Ok(Admission::AwaitsToken) => self.exchange.wait_for_reply(tag).await,
                Err(refused) => return Err(rejection(&tenant.name, &refused)),
            }
            let now = self.control.clock.now();
            decision = self.quotas().resume(tenant, now, &mut rand::rng());
        }
    }

    /// Gives back the rate limit token of a request that has provably not run.
    pub fn refund(&self, tenant: TenantHash) {
        let now = self.control.clock.now();
        self.quotas().refund(tenant, now);
    }

    /// Applies the configured limits and the demand that the zones have published. To be called
    /// periodically.
    pub fn refresh(&self) {
        let active = self.control.active();
        let now = self.control.clock.now();
        if !active.tenants.has_limits() && self.quotas().is_empty() {
            return;
        }
        let zones = self.control.zone_loads().at(now);
        let members = self.zone_member_counts(now);
        let load_snapshot = FleetLoadSnapshot {
            zones: &zones,
            own_zone: &self.zone,
            members: &members,
        };
        self.quotas().update(&load_snapshot, &active.tenants, now);
        self.exchange
            .pools()
            .update(&members, &self.zone, &active.tenants, now);
        self.exchange.send_due_request();
        if now.0 >= self.next_metrics_update.load(Ordering::Relaxed) {
            let due = now + METRICS_INTERVAL;
            self.next_metrics_update.store(due.0, Ordering::Relaxed);
            self.update_metrics();
        }
    }

    /// Number of nodes in each zone that apply the limits; empty while this node has no list of
    /// the fleet's nodes.
    fn zone_member_counts(&self, now: Moment) -> ZoneMemberCounts {
        if !self.control.is_listed() {
            return ZoneMemberCounts::new();
        }
        self.control.with_agent(|agent| {
            let mut members = ZoneMemberCounts::new();
            let membership = agent.membership();
            for record in membership.records() {
                let missing = membership.unreachable_since(&record.id);
                let counts =
                    missing.is_none_or(|since| now.since(since) < MISSING_MEMBER_RETENTION);
                if counts && record.status != Status::Left {
                    *members.entry(record.zone.clone()).or_default() += 1;
                }
            }
            members
        })
    }

    /// Demand of tenants at this node, for its load report; `None` if no tenant has a limit.
    /// Otherwise an empty list is reported as well, because nodes without reports count as
    /// partitioned.
    pub fn load_reports(&self) -> Option<Vec<TenantLoad>> {
        if !self.control.active().tenants.has_limits() {
            return None;
        }
        let now = self.control.clock.now();
        Some(self.quotas().load_reports(now))
    }

    /// Tenants with a limit and the state of that limit, ordered by rejections, then by demand,
    /// both descending.
    pub fn snapshots(&self) -> Vec<(ResourceName, QuotaView)> {
        let active = self.control.active();
        let now = self.control.clock.now();
        let quotas = self.quotas();
        let view = |(tag, tenant): (TenantHash, &Arc<Tenant>)| {
            let view = quotas.view(tag, now)?;
            Some((tenant.name.clone(), view))
        };
        let mut snapshots: Vec<_> = active.tenants.limited().filter_map(view).collect();
        snapshots.sort_by_key(|(name, view)| {
            (
                Reverse(view.refused),
                Reverse((view.fleet_demand_rps * 1_000.0) as u64),
                name.clone(),
            )
        });
        snapshots
    }

    /// Updates the metrics of the largest tenants, and of the other tenants in total.
    fn update_metrics(&self) {
        let metrics = &self.control.metrics;
        let snapshots = self.snapshots();
        let (shown, others) = snapshots.split_at(snapshots.len().min(MAX_TENANTS_WITH_METRICS));
        let forfeited = self.quotas().forfeited_refill_secs();
        metrics.refill_forfeited_seconds.set(forfeited);
        metrics.tenant_asked.clear();
        metrics.tenant_refused.clear();
        let set_metrics = |tenant: &str, asked: f64, refused: u64| {
            let tenant = tenant.to_string();
            let label = TenantLabel { tenant };
            metrics.tenant_asked.get_or_create(&label).set(asked);
            let refused_metric = metrics.tenant_refused.get_or_create(&label);
            refused_metric.set(refused as i64);
        };
        for (name, view) in shown {
            set_metrics(name.as_str(), view.local_demand_rps, view.refused);
        }
        let asked = others.iter().map(|(_, view)| view.local_demand_rps).sum();
        let refused = others.iter().map(|(_, view)| view.refused).sum();
        set_metrics(OTHER_TENANTS, asked, refused);
    }
}

/// Error of a call whose tenant exceeds its limit.
fn rejection(tenant: &ResourceName, refused: &QuotaExceeded) -> CallError {
    let reason = rejection_reason(tenant, refused);
    CallError::not_run(Cause::OverQuota, reason).retry_after(refused.retry_after)
}

/// Describes why a request was rejected, and the data behind the decision.
fn rejection_reason(tenant: &ResourceName, refused: &QuotaExceeded) -> String {
    let (fleet_demand_rps, rate) = (refused.fleet_demand_rps, refused.limit.rate);
    let basis = match refused.basis {
        QuotaBasis::FleetDemand {
            report_age,
            limit_fraction,
        } => {
            let percent = limit_fraction * 100.0;
            let age_ms = report_age.as_millis();
            format!("known {age_ms} ms late, for {percent:.0}% of the limit")
        }
        QuotaBasis::LocalOnly { limit_fraction } => {
            let percent = limit_fraction * 100.0;
            format!("no news, so that this node keeps to {percent:.1}% of the limit")
        }
    };
    format!(
        "tenant {tenant} asks for {fleet_demand_rps:.1} of {rate:.1} requests a second ({basis})"
    )
}
