//! Distributed rate limits: how many requests of a tenant one node may admit so that all
//! nodes together stay within the tenant's limit.
//!
//! Tokens are conserved, as in escrow transactions (O'Neil 1986). They arise only from refill
//! time, of which each node owns an equal fraction (`refill_time`). Nodes hand theirs over to
//! the token pool of their zone ([`TokenPools`]). A node that has used up its tokens of a tenant
//! asks the pool for some, and the requests that came in meanwhile wait for the reply. Pools of
//! different zones lend each other tokens. An admitted request is one whose token existed, so
//! that the limit holds during spikes, partitions and restarts: a node that is cut off has what
//! it holds and its own fraction, and one that has just started has nothing.
//!
//! A node asks for several tokens at a time where it has many requests, and not at all for an
//! interval after the pool had too few, so that the number of messages depends on the requests
//! and on the interval of load reports rather than on the size of the fleet.

mod decaying_rate;
mod fleet_load;
mod recent_grants;
mod refill_time;
mod reserve;
mod tenant_quota;
mod token_pool;

pub use fleet_load::{FleetLoadSnapshot, ZoneMemberCounts};
pub use tenant_quota::{Admission, QuotaBasis, QuotaExceeded};
pub use token_pool::TokenPools;

use crate::call::tenant_table::TenantTable;
use crate::config::{RateLimit, Tenant};
use crate::fleet::{
    RefillTransfer, TenantHash, TenantLoad, TokenDemand, TokenGrant, TokenRequest, load_interval,
};
use crate::time::Moment;
use fleet_load::{LoadByTenant, ReportCoverage};
use rand::Rng;
use refill_time::RefillTime;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tenant_quota::{NodeState, TenantQuota};

/// Idle time after which a tenant's state is dropped. Longer than a node's reserve needs to
/// refill, so that new state may start with a full one.
const IDLE_RETENTION: Duration = Duration::from_secs(60);
/// Time constant of the rates that a node measures.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(250);

/// Time after the last reply of a token pool in which the pool counts as reachable. Extended where
/// two intervals take longer.
const POOL_TIMEOUT: Duration = Duration::from_secs(1);
/// Nodes of a new fleet that may each admit a request of a tenant before they know each other.
const MAX_NEW_FLEET_NODES: f64 = 60.0;

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

    /// Requests beyond the sustained rate that may run in one window.
    fn max_excess_requests(&self, limit: RateLimit) -> f64 {
        self.max_requests_in_window(limit) - limit.rate * self.window.as_secs_f64()
    }

    /// Returns whether each node of a new fleet, which knows no other node yet, may admit one
    /// request.
    fn covers_first_tokens(&self, limit: RateLimit) -> bool {
        self.max_excess_requests(limit) >= MAX_NEW_FLEET_NODES
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
    /// Ratio of the tenant's recent requests at this node that were admitted, 0 to 1.
    pub admission_probability: f64,
    /// Requests of the tenant rejected by this node since it began to track the tenant.
    pub refused: u64,
    /// Whether this node gets tokens from a pool or has only its own.
    pub basis: QuotaBasis,
}

/// Limits of all tenants at one node: decides on the tenants' requests, asks for tokens and
/// reports this node's load.
#[derive(Debug)]
pub struct TenantQuotas {
    policy: QuotaPolicy,
    tenants: HashMap<TenantHash, TenantQuota>,
    coverage: ReportCoverage,
    refill_time: RefillTime,
    /// Time between two load reports of a node of this zone.
    interval: Duration,
    next_handover: Moment,
    sequence: u64,
    /// When a token pool last replied to this node.
    pool_replied_at: Option<Moment>,
    /// Tenants whose next request for tokens is due.
    due: HashSet<TenantHash>,
}

impl TenantQuotas {
    /// Creates the limits of a node that has just started and has no state for any tenant.
    pub fn new(policy: QuotaPolicy, now: Moment) -> Self {
        let interval = load_interval(1);
        Self {
            policy,
            tenants: HashMap::new(),
            coverage: ReportCoverage::initial(now),
            refill_time: RefillTime::new(now, interval),
            interval,
            next_handover: now,
            sequence: 0,
            pool_replied_at: None,
            due: HashSet::new(),
        }
    }

    /// Decides whether to admit a new request of `tenant`. Requests of tenants without a
    /// limit are always admitted and not counted.
    pub fn try_admit(
        &mut self,
        tenant: &Tenant,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Result<Admission, QuotaExceeded> {
        self.decide(tenant, now, rng, TenantQuota::try_admit)
    }

    /// Decides on a request that awaited a token, after [`is_awaiting`](Self::is_awaiting) has
    /// become false.
    pub fn resume(
        &mut self,
        tenant: &Tenant,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Result<Admission, QuotaExceeded> {
        self.decide(tenant, now, rng, TenantQuota::decide)
    }

    fn decide<R: Rng>(
        &mut self,
        tenant: &Tenant,
        now: Moment,
        rng: &mut R,
        decision: fn(
            &mut TenantQuota,
            NodeState<'_>,
            Moment,
            &mut R,
        ) -> Result<Admission, QuotaExceeded>,
    ) -> Result<Admission, QuotaExceeded> {
        let Some(limit) = tenant.limit() else {
            return Ok(Admission::Admitted);
        };
        let tag = TenantHash::of(&tenant.name);
        let is_isolated = self.is_isolated(now);
        let refill_time = &self.refill_time;
        let may_hold_first_token =
            refill_time.is_discovering() && self.policy.covers_first_tokens(limit);
        let quota = self
            .tenants
            .entry(tag)
            .or_insert_with(|| TenantQuota::new(limit, may_hold_first_token, now));
        let node = NodeState {
            coverage: &self.coverage,
            refill_time,
            is_isolated,
        };
        let decided = decision(quota, node, now, rng);
        if quota.is_due() {
            self.due.insert(tag);
        }
        decided
    }

    /// Returns whether a request for tokens of the tenant is unanswered.
    pub fn is_awaiting(&self, tenant: TenantHash) -> bool {
        self.tenants
            .get(&tenant)
            .is_some_and(TenantQuota::is_pending)
    }

    /// Returns the request to send to the zone's token pool now, if any. It hands over this
    /// node's refill time.
    pub fn take_request(&mut self, now: Moment) -> Option<TokenRequest> {
        let sequence = self.sequence + 1;
        let mut demands = Vec::new();
        for tenant in self.due.drain() {
            let quota = self.tenants.get_mut(&tenant);
            let tokens = quota.and_then(|quota| quota.take_request(sequence, self.interval, now));
            let demand = tokens.map(|tokens| TokenDemand {
                tenant,
                tokens,
                is_urgent: true,
            });
            demands.extend(demand);
        }
        let refill = self.take_refill(now);
        if demands.is_empty() && refill.limit_time.is_zero() {
            return None;
        }
        self.sequence = sequence;
        Some(TokenRequest {
            sequence,
            refill,
            demands,
        })
    }

    /// Returns the refill time to hand over with a message, once per interval.
    fn take_refill(&mut self, now: Moment) -> RefillTransfer {
        if now < self.next_handover || self.is_isolated(now) {
            return RefillTransfer::default();
        }
        self.next_handover = now + self.interval;
        self.refill_time.hand_over(now, self.interval)
    }

    /// Returns whether this node has only its own tokens: its zone publishes no load reports, and
    /// no pool has replied recently.
    fn is_isolated(&self, now: Moment) -> bool {
        let pool_replies = self
            .pool_replied_at
            .is_some_and(|at| now.since(at) < POOL_TIMEOUT.max(self.interval * 2));
        !self.coverage.own_zone_reporting && !pool_replies
    }

    /// Applies the reply of a token pool.
    pub fn on_grant(&mut self, request: &TokenRequest, grant: &TokenGrant, now: Moment) {
        self.pool_replied_at = Some(now);
        for demand in &request.demands {
            let granted = grant
                .grants
                .iter()
                .find(|granted| granted.tenant == demand.tenant);
            if let Some(quota) = self.tenants.get_mut(&demand.tenant) {
                quota.on_grant(request.sequence, granted, self.interval, now);
                if grant.is_filling {
                    quota.use_reserve_while_exhausted();
                }
            }
        }
    }

    /// Handles a request that no token pool has answered in time. Its tenants use this node's
    /// reserve.
    pub fn on_unanswered(&mut self, request: &TokenRequest, now: Moment) {
        for demand in &request.demands {
            if let Some(quota) = self.tenants.get_mut(&demand.tenant) {
                quota.on_unanswered(request.sequence, now);
            }
        }
    }

    /// Refunds the token of an admitted request of `tenant` that is known not to have run
    /// at a backend.
    pub fn refund(&mut self, tenant: TenantHash, now: Moment) {
        if let Some(quota) = self.tenants.get_mut(&tenant) {
            quota.refund(self.interval, now);
        }
    }

    /// Applies the latest load reports of the fleet; to be called at least every few
    /// hundred milliseconds. `table` holds the limits of the active configuration version:
    /// state of tenants without a limit in `table` is dropped.
    pub fn update(&mut self, snapshot: &FleetLoadSnapshot<'_>, table: &TenantTable, now: Moment) {
        self.coverage = self.coverage.updated(snapshot, now);
        self.interval = snapshot.interval(snapshot.own_zone);
        self.refill_time
            .set_known_nodes(snapshot.members.values().sum(), now);
        if self.is_isolated(now) {
            self.refill_time.keep(now);
        }
        let loads = LoadByTenant::new(snapshot);
        // Operators see a tenant at every node, also without requests there.
        for tag in loads.tenants() {
            if let Some(limit) = table.limit(tag) {
                self.tenants
                    .entry(tag)
                    .or_insert_with(|| TenantQuota::new(limit, false, now));
            }
        }
        self.tenants.retain(|tag, quota| {
            let Some(limit) = table.limit(*tag) else {
                return false;
            };
            quota.set_limit(limit);
            quota.update(*tag, &loads);
            quota.idle_for(now) < IDLE_RETENTION
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
        let node = NodeState {
            coverage: &self.coverage,
            refill_time: &self.refill_time,
            is_isolated: self.is_isolated(now),
        };
        Some(self.tenants.get(&tenant)?.view(node, now))
    }

    /// Refill time that this node forfeited by late handovers, in seconds of the whole limit.
    pub fn forfeited_refill_secs(&self) -> f64 {
        self.refill_time.forfeited_secs()
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
}
