//! Token pools of a zone: hand out the tokens of tenants' limits to the nodes of the zone.
//!
//! The pools hold no tokens of their own. They refill by the refill time that nodes hand over,
//! and lend tokens to the pools of other zones. If two nodes serve the same zone, each has only
//! the tokens for the time handed over to it.

use super::decaying_rate::DecayingRate;
use super::recent_grants::RecentGrants;
use super::refill_time::{MAX_ARREARS, RESERVE_TIME};
use super::{QuotaPolicy, RATE_TIME_CONSTANT, ZoneMemberCounts};
use crate::call::tenant_table::TenantTable;
use crate::config::RateLimit;
use crate::fleet::{
    GrantedTokens, ProcessEpoch, RefillTransfer, TenantHash, TokenDemand, TokenGrant, TokenRequest,
    load_interval,
};
use crate::ids::{NodeId, Zone};
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Ratio of the excess tolerated by the policy by which a window may exceed the limit. The rest
/// covers the random variation of the nodes' reserves and pools that take over from each other.
const USED_ALLOWANCE_RATIO: f64 = 0.8;
/// Number of load intervals after which a node that hands over no refill time no longer counts.
const CONTRIBUTOR_TIMEOUT_INTERVALS: u32 = 4;
/// Demand that a pool keeps for its own zone and below which it borrows from other zones.
const LOW_WATER_TIME: Duration = Duration::from_millis(250);
/// Tokens that a pool keeps for requests that come together by chance, if its zone has regular
/// requests of the tenant. A loan would come too late for them.
const KEPT_TOKENS: f64 = 1.5;
/// Requests per second from which on a zone has regular requests.
const REGULAR_RPS: f64 = 0.5;
/// Time constant of the rate of regular requests.
const REGULAR_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Minimum time between two requests for a loan.
const LOAN_INTERVAL: Duration = Duration::from_millis(50);
/// Time without loans after no zone had a token to lend.
const LOAN_BACKOFF: Duration = Duration::from_millis(250);
/// Number of recent requests for loans whose replies are accepted.
const MAX_OPEN_LOANS: u64 = 32;
/// Fraction of its surplus that a pool lends at once, since other zones may need tokens too.
const LENT_RATIO: f64 = 0.5;
/// Minimum time after which a node that got too few tokens may ask again, and the time for each
/// node that has asked recently. Limits a pool to 125 such requests per second and tenant,
/// whatever the number of nodes.
const MIN_RETRY: Duration = Duration::from_millis(20);
const RETRY_PER_NODE: Duration = Duration::from_millis(8);
/// Time after the first handover in which nodes may use their reserves, until the pools have
/// enough tokens for requests that come together.
const FILLING_TIME: Duration = Duration::from_secs(1);
/// Pools hold at most this multiple of their capacity, where loans come on top of it.
const MAX_FILL_RATIO: f64 = 2.0;
/// Idle time after which a pool is dropped. Longer than a pool needs to refill.
const IDLE_RETENTION: Duration = Duration::from_secs(60);

/// Refill time handed over by one node.
#[derive(Debug)]
struct Contribution {
    /// Process and number of the last request that counted, to ignore duplicates.
    last: (ProcessEpoch, u64),
    /// When the node last handed over time.
    at: Moment,
    /// Time not yet released, in seconds of the whole limit.
    unreleased_secs: f64,
    released_at: Moment,
    /// When all of it is released.
    release_end: Moment,
}

impl Contribution {
    /// Returns the time that has become usable since the last call.
    fn release(&mut self, now: Moment) -> f64 {
        let span = self.release_end.since(self.released_at).as_secs_f64();
        let passed = now.since(self.released_at).as_secs_f64();
        self.released_at = self.released_at.max(now);
        let ratio = if passed < span { passed / span } else { 1.0 };
        let released = self.unreleased_secs * ratio;
        self.unreleased_secs -= released;
        released
    }
}

/// A node's last request for tokens of one tenant.
#[derive(Debug, Clone, Copy)]
struct ServedRequest {
    at: Moment,
    granted: u32,
}

/// Tokens of one tenant.
#[derive(Debug)]
struct TokenPool {
    tokens: f64,
    /// Released refill time that `tokens` includes, in seconds of the whole limit.
    released_secs: f64,
    /// The last request of each node of the zone that has asked recently. A node asks again when
    /// it has used nearly all tokens of its last request.
    last_requests: BTreeMap<NodeId, ServedRequest>,
    /// Rate of the tokens requested by the nodes of the zone, with a short and a long time
    /// constant.
    demand: DecayingRate,
    regular_demand: DecayingRate,
    used_at: Moment,
    /// Tokens to request from other zones.
    wanted: u32,
    next_loan: Moment,
}

impl TokenPool {
    fn new(now: Moment) -> Self {
        Self {
            tokens: 0.0,
            released_secs: 0.0,
            last_requests: BTreeMap::new(),
            demand: DecayingRate::new(RATE_TIME_CONSTANT, now),
            regular_demand: DecayingRate::new(REGULAR_TIME_CONSTANT, now),
            used_at: now,
            wanted: 0,
            next_loan: now,
        }
    }

    /// Adds the tokens for the refill time released so far, up to `capacity` including the
    /// outstanding tokens.
    fn refill(&mut self, released_secs: f64, rate: f64, capacity: f64, ttl: Duration, now: Moment) {
        self.last_requests
            .retain(|_, request| now.since(request.at) < ttl);
        let refilled = (released_secs - self.released_secs) * rate;
        self.released_secs = released_secs;
        let outstanding: u32 = self.last_requests.values().map(|last| last.granted).sum();
        let free = (capacity - f64::from(outstanding)).max(0.0);
        if self.tokens < free {
            self.tokens = (self.tokens + refilled).min(free);
        }
        self.tokens = self.tokens.min(capacity * MAX_FILL_RATIO);
    }

    /// Takes up to `tokens` tokens out of the pool.
    fn take(&mut self, tokens: u32, available: f64, now: Moment) -> u32 {
        let taken = f64::from(tokens).min(available.max(0.0).floor()) as u32;
        self.tokens -= f64::from(taken);
        self.used_at = now;
        taken
    }

    /// Tokens that the zone needs soon.
    fn low_water(&self, now: Moment) -> f64 {
        let regular = (self.regular_demand.at(now) / REGULAR_RPS).min(1.0);
        self.expected_demand(now) + regular * KEPT_TOKENS
    }

    /// Tokens that the zone needs until a loan could arrive, by its recent demand.
    fn expected_demand(&self, now: Moment) -> f64 {
        self.demand.at(now) * LOW_WATER_TIME.as_secs_f64()
    }
}

/// Token pools of all tenants at one node. Any node may serve its zone; the others send their
/// requests to the member that aggregates the zone's load.
#[derive(Debug)]
pub struct TokenPools {
    policy: QuotaPolicy,
    /// Number of nodes in the fleet and in this node's zone, and of other zones.
    fleet_size: u32,
    zone_size: u32,
    other_zones: u32,
    contributions: BTreeMap<NodeId, Contribution>,
    /// Since when nodes hand over refill time here; `None` while none does.
    serving_since: Option<Moment>,
    /// Refill time released so far, in seconds of the whole limit.
    released_secs: f64,
    pools: HashMap<TenantHash, TokenPool>,
    /// Replies to recent requests for tokens.
    recent_grants: RecentGrants,
    loan_sequence: u64,
    /// Lenders and numbers of the recent loans that were received, to ignore duplicates.
    received_loans: BTreeSet<(u64, NodeId)>,
}

impl TokenPools {
    /// Creates empty pools.
    pub fn new(policy: QuotaPolicy) -> Self {
        Self {
            policy,
            fleet_size: 1,
            zone_size: 1,
            other_zones: 0,
            contributions: BTreeMap::new(),
            serving_since: None,
            released_secs: 0.0,
            pools: HashMap::new(),
            recent_grants: RecentGrants::default(),
            loan_sequence: 0,
            received_loans: BTreeSet::new(),
        }
    }

    /// Updates the numbers of nodes, and drops unused pools and those of tenants without a limit.
    /// `own_zone` is the zone of this node.
    pub fn update(
        &mut self,
        members: &ZoneMemberCounts,
        own_zone: &Zone,
        table: &TenantTable,
        now: Moment,
    ) {
        self.fleet_size = members.values().sum::<u32>().max(1);
        self.zone_size = members.get(own_zone).copied().unwrap_or_default().max(1);
        self.other_zones = members.keys().filter(|zone| *zone != own_zone).count() as u32;
        self.release(now);
        let timeout = self.interval() * CONTRIBUTOR_TIMEOUT_INTERVALS;
        self.contributions
            .retain(|_, contribution| now.since(contribution.at) < timeout);
        if self.contributions.is_empty() {
            self.serving_since = None;
        }
        self.pools.retain(|tenant, pool| {
            table.limit(*tenant).is_some() && now.since(pool.used_at) < IDLE_RETENTION
        });
    }

    /// Serves a request of a node of this zone: counts the refill time that it hands over, and
    /// grants tokens as far as there are any. A repeated request gets the first reply again.
    pub fn serve(
        &mut self,
        from: &NodeId,
        process_epoch: ProcessEpoch,
        request: &TokenRequest,
        table: &TenantTable,
        now: Moment,
    ) -> TokenGrant {
        self.accept(from, (process_epoch, request.sequence), request.refill, now);
        let id = (from.clone(), process_epoch, request.sequence);
        if let Some(grant) = self.recent_grants.get(&id) {
            return grant.clone();
        }
        let grants = request.demands.iter().filter_map(|demand| {
            let limit = table.limit(demand.tenant)?;
            Some(self.grant(from, demand, limit, now))
        });
        let grant = TokenGrant {
            sequence: request.sequence,
            grants: grants.collect(),
            is_filling: self.is_filling(now),
        };
        if !grant.grants.is_empty() {
            self.recent_grants.insert(id, grant.clone(), now);
        }
        grant
    }

    /// Serves a request of another zone's pool: lends a part of what this zone does not need.
    pub fn lend(&mut self, request: &TokenRequest, table: &TenantTable, now: Moment) -> TokenGrant {
        let grants = request.demands.iter().filter_map(|demand| {
            let limit = table.limit(demand.tenant)?;
            let pool = self.refilled_pool(demand.tenant, limit, now);
            let kept = match demand.is_urgent {
                true => pool.expected_demand(now),
                false => pool.low_water(now),
            };
            let surplus = (pool.tokens - kept).max(0.0).floor();
            let lent = (surplus * LENT_RATIO).ceil();
            let tokens = pool.take(demand.tokens, lent, now);
            Some(GrantedTokens {
                tenant: demand.tenant,
                tokens,
                retry_after: Duration::ZERO,
            })
        });
        TokenGrant {
            sequence: request.sequence,
            is_filling: false,
            grants: grants.collect(),
        }
    }

    /// Returns the tokens to request from each other zone, if any are needed. Each is asked for
    /// its fraction: a pool with more than its capacity would forfeit its own refill.
    pub fn take_loan_request(&mut self, now: Moment) -> Option<TokenRequest> {
        let zones = self.other_zones;
        let wanted = self.pools.iter_mut().filter_map(|(tenant, pool)| {
            let tokens = std::mem::take(&mut pool.wanted).div_ceil(zones.max(1));
            (tokens > 0).then_some(TokenDemand {
                tenant: *tenant,
                tokens,
                is_urgent: pool.tokens < 1.0,
            })
        });
        let demands: Vec<TokenDemand> = wanted.collect();
        if zones == 0 || demands.is_empty() {
            return None;
        }
        for demand in &demands {
            if let Some(pool) = self.pools.get_mut(&demand.tenant) {
                pool.next_loan = now + LOAN_BACKOFF;
            }
        }
        self.loan_sequence += 1;
        Some(TokenRequest {
            sequence: self.loan_sequence,
            refill: RefillTransfer::default(),
            demands,
        })
    }

    /// Adds tokens that the pool at `lender` has lent.
    pub fn on_loan(
        &mut self,
        lender: &NodeId,
        grant: &TokenGrant,
        table: &TenantTable,
        now: Moment,
    ) {
        let oldest = self.loan_sequence.saturating_sub(MAX_OPEN_LOANS);
        self.received_loans
            .retain(|(sequence, _)| *sequence > oldest);
        let is_open = (oldest + 1..=self.loan_sequence).contains(&grant.sequence);
        if !is_open || !self.received_loans.insert((grant.sequence, lender.clone())) {
            return;
        }
        for lent in grant.grants.iter().filter(|lent| lent.tokens > 0) {
            let Some(limit) = table.limit(lent.tenant) else {
                continue;
            };
            let pool = self.refilled_pool(lent.tenant, limit, now);
            pool.tokens += f64::from(lent.tokens);
            pool.next_loan = now + LOAN_INTERVAL;
        }
    }

    /// Number of tenants with a pool.
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Returns whether no tenant has a pool.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Counts the refill time that a node hands over.
    fn accept(
        &mut self,
        from: &NodeId,
        number: (ProcessEpoch, u64),
        refill: RefillTransfer,
        now: Moment,
    ) {
        if refill.limit_time.is_zero() {
            return;
        }
        self.release(now);
        let contribution = self
            .contributions
            .entry(from.clone())
            .or_insert(Contribution {
                last: (0, 0),
                at: now,
                unreleased_secs: 0.0,
                released_at: now,
                release_end: now,
            });
        if number <= contribution.last {
            return;
        }
        self.serving_since.get_or_insert(now);
        contribution.last = number;
        contribution.at = now;
        contribution.unreleased_secs += refill.limit_time.as_secs_f64();
        contribution.release_end = now + refill.period;
    }

    /// Returns whether the pools have only begun to fill.
    fn is_filling(&self, now: Moment) -> bool {
        self.serving_since
            .is_none_or(|since| now.since(since) < FILLING_TIME)
    }

    /// Makes usable what has been handed over for the time until now.
    fn release(&mut self, now: Moment) {
        let released = self
            .contributions
            .values_mut()
            .map(|contribution| contribution.release(now));
        self.released_secs += released.sum::<f64>();
    }

    /// Grants tokens to a node of this zone.
    fn grant(
        &mut self,
        from: &NodeId,
        demand: &TokenDemand,
        limit: RateLimit,
        now: Moment,
    ) -> GrantedTokens {
        let capacity = self.capacity(limit);
        let pool = self.refilled_pool(demand.tenant, limit, now);
        pool.demand.count(f64::from(demand.tokens), now);
        pool.regular_demand.count(f64::from(demand.tokens), now);
        let granted = pool.take(demand.tokens, pool.tokens, now);
        let served = ServedRequest { at: now, granted };
        pool.last_requests.insert(from.clone(), served);
        let target = pool.low_water(now).min(capacity);
        if pool.tokens < target && now >= pool.next_loan {
            pool.wanted = (target - pool.tokens).ceil() as u32 + demand.tokens - granted;
        }
        let retry_after = match granted < demand.tokens {
            true => MIN_RETRY.max(RETRY_PER_NODE * pool.last_requests.len() as u32),
            false => Duration::ZERO,
        };
        GrantedTokens {
            tenant: demand.tenant,
            tokens: granted,
            retry_after,
        }
    }

    /// Returns the tenant's pool with the tokens that it has now.
    fn refilled_pool(
        &mut self,
        tenant: TenantHash,
        limit: RateLimit,
        now: Moment,
    ) -> &mut TokenPool {
        self.release(now);
        let (released, capacity, ttl) = (self.released_secs, self.capacity(limit), self.interval());
        let pool = self
            .pools
            .entry(tenant)
            .or_insert_with(|| TokenPool::new(now));
        pool.refill(released, limit.rate, capacity, ttl, now);
        pool
    }

    /// Maximum number of tokens of this pool. All pools and reserves together hold the burst and
    /// a part of the excess that the policy tolerates.
    fn capacity(&self, limit: RateLimit) -> f64 {
        let allowance = self.policy.max_excess_requests(limit) - limit.burst;
        let outside = limit.rate * (RESERVE_TIME + MAX_ARREARS).as_secs_f64();
        let total = limit.burst + allowance * USED_ALLOWANCE_RATIO - outside;
        total.max(1.0) * self.zone_fraction()
    }

    /// Nodes that hand over refill time to this pool, as a fraction of the fleet.
    fn zone_fraction(&self) -> f64 {
        (self.contributions.len() as f64 / f64::from(self.fleet_size)).min(1.0)
    }

    /// Time between two load reports of a node of this zone.
    fn interval(&self) -> Duration {
        load_interval(self.zone_size)
    }
}
