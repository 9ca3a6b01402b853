//! State of one tenant's limit at one node: the tokens it holds, and when it asks for more.

use super::decaying_rate::DecayingRate;
use super::fleet_load::{LoadByTenant, ReportCoverage, TenantLoadSum};
use super::refill_time::RefillTime;
use super::reserve::TokenReserve;
use super::{QuotaView, RATE_TIME_CONSTANT};
use crate::config::RateLimit;
use crate::fleet::{GrantedTokens, TenantHash, TenantLoad};
use crate::time::Moment;
use rand::Rng;
use std::time::Duration;

/// A node leaves a tenant out of its load report if the tenant's requests there are below
/// this ratio of the limit per node (the limit divided by the number of nodes).
const REPORT_THRESHOLD_RATIO: f64 = 0.1;
/// A node asks in advance for tokens for the requests expected in a load interval, less this
/// number of standard deviations. Unused tokens lapse after an interval.
const ADVANCE_DEVIATIONS: f64 = 2.0;
/// A node asks again when this fraction of the last granted tokens is left, so that requests
/// don't wait.
const REFILL_RATIO: f64 = 0.25;
/// Minimum and maximum of the retry delay that rejected callers are told, in seconds.
const RETRY_DELAY_RANGE_SECS: (f64, f64) = (0.1, 5.0);
/// Time for which an unanswered request for tokens is not repeated.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(250);

/// Data that a quota decision is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaBasis {
    /// Tokens come from the token pool of the zone.
    FleetDemand {
        /// Mean age of the load reports.
        report_age: Duration,
        /// Fraction of the limit of the nodes covered by the reports, 0 to 1.
        limit_fraction: f64,
    },
    /// The node has only its own fraction of the limit, since no token pool is reachable.
    LocalOnly {
        /// Fraction of the limit that this node uses, 0 to 1.
        limit_fraction: f64,
    },
}

/// A request was rejected because it exceeds its tenant's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaExceeded {
    /// Estimated time until the limit has a token available, randomized so that callers
    /// don't retry at the same time.
    pub retry_after: Duration,
    /// The tenant's limit in the active configuration version.
    pub limit: RateLimit,
    /// Requests per second of the tenant that the fleet receives, as far as this node
    /// knows.
    pub fleet_demand_rps: f64,
    /// Whether tokens come from a pool or from this node alone.
    pub basis: QuotaBasis,
}

/// Decision on a request that was not rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request has taken a token and may run.
    Admitted,
    /// The node has no token left and asks the pool for some. The request waits for the reply
    /// and is then decided on by [`resume`](super::TenantQuotas::resume).
    AwaitsToken,
}

/// A node's request for tokens of one tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
enum PendingRequest {
    /// To be sent with the next request.
    Due,
    /// Sent with the given sequence number.
    Sent { sequence: u64, tokens: u32 },
}

/// What a node knows when it decides on a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct NodeState<'a> {
    pub(super) coverage: &'a ReportCoverage,
    pub(super) refill_time: &'a RefillTime,
    /// Whether this node has only its own tokens.
    pub(super) is_isolated: bool,
}

impl NodeState<'_> {
    /// Returns which data a quota decision is based on now.
    fn basis(&self, load: &TenantLoadSum) -> QuotaBasis {
        if self.is_isolated {
            let nodes = self.refill_time.fleet_size();
            return QuotaBasis::LocalOnly {
                limit_fraction: nodes.map_or(0.0, |nodes| 1.0 / f64::from(nodes)),
            };
        }
        QuotaBasis::FleetDemand {
            report_age: load.report_age,
            limit_fraction: self.coverage.reachable_ratio * self.coverage.reported_ratio,
        }
    }
}

/// One tenant's limit as tracked by one node.
#[derive(Debug)]
pub(super) struct TenantQuota {
    limit: RateLimit,
    demand: DecayingRate,
    admitted: DecayingRate,
    last_request_at: Moment,
    /// The tenant's load, summed over the zones' recent reports.
    fleet_load: TenantLoadSum,
    /// Tokens granted by the pool, and when the unused ones lapse.
    tokens: u32,
    tokens_expire_at: Moment,
    /// Tokens of the last grant.
    last_granted: u32,
    /// This node's own tokens; `None` before the first request without a pool.
    reserve: Option<TokenReserve>,
    pending: Option<PendingRequest>,
    /// Requests that await a token and are not included in a sent request yet.
    waiting: u32,
    /// Until when the pool has no further tokens.
    exhausted_until: Moment,
    /// Until when the pool counts as unreachable.
    unreachable_until: Moment,
    refused: u64,
}

impl TenantQuota {
    /// Creates the state of a tenant that was not tracked here. The first node of a fleet may hold
    /// a token (`has_first_token`) before it has a fraction of the limit, so that it can serve.
    pub(super) fn new(limit: RateLimit, has_first_token: bool, now: Moment) -> Self {
        Self {
            limit,
            demand: DecayingRate::new(RATE_TIME_CONSTANT, now),
            admitted: DecayingRate::new(RATE_TIME_CONSTANT, now),
            last_request_at: now,
            fleet_load: TenantLoadSum::default(),
            tokens: u32::from(has_first_token),
            tokens_expire_at: Moment(u64::MAX),
            last_granted: 0,
            reserve: None,
            pending: None,
            waiting: 0,
            exhausted_until: now,
            unreachable_until: now,
            refused: 0,
        }
    }

    /// Applies the tenant's limit of a new configuration version.
    pub(super) fn set_limit(&mut self, limit: RateLimit) {
        self.limit = limit;
    }

    /// Decides on a new request of the tenant.
    pub(super) fn try_admit(
        &mut self,
        node: NodeState<'_>,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Result<Admission, QuotaExceeded> {
        self.demand.count(1.0, now);
        self.last_request_at = now;
        self.decide(node, now, rng)
    }

    /// Decides on a request, new or after it has waited.
    pub(super) fn decide(
        &mut self,
        node: NodeState<'_>,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Result<Admission, QuotaExceeded> {
        if self.take_granted_token(now) {
            self.request_in_advance(now);
            return Ok(Admission::Admitted);
        }
        if node.is_isolated || now < self.unreachable_until {
            return self.decide_by_reserve(node, now, rng);
        }
        if now < self.exhausted_until {
            return Err(self.reject(node, now, rng));
        }
        self.pending.get_or_insert(PendingRequest::Due);
        self.waiting += 1;
        Ok(Admission::AwaitsToken)
    }

    /// Returns whether a request for tokens has to be sent.
    pub(super) fn is_due(&self) -> bool {
        self.pending == Some(PendingRequest::Due)
    }

    /// Returns whether the reply for a request that awaits a token is still outstanding.
    pub(super) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Takes one of the tokens granted by the pool.
    fn take_granted_token(&mut self, now: Moment) -> bool {
        if self.tokens == 0 || now >= self.tokens_expire_at {
            self.tokens = 0;
            return false;
        }
        self.tokens -= 1;
        self.admitted.count(1.0, now);
        true
    }

    /// Asks for further tokens before the last ones are used.
    fn request_in_advance(&mut self, now: Moment) {
        let low = f64::from(self.last_granted) * REFILL_RATIO;
        let available = now >= self.exhausted_until && now >= self.unreachable_until;
        if f64::from(self.tokens) < low && available {
            self.pending.get_or_insert(PendingRequest::Due);
        }
    }

    /// Decides by this node's own tokens, because no pool answers.
    fn decide_by_reserve(
        &mut self,
        node: NodeState<'_>,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Result<Admission, QuotaExceeded> {
        let refill_time = node.refill_time;
        let (kept, capacity) = (refill_time.kept_secs(), refill_time.reserve_secs());
        let reserve = self
            .reserve
            .get_or_insert_with(|| TokenReserve::new(rng.random()));
        reserve.refill(kept, capacity, self.limit.rate);
        if reserve.take() {
            self.admitted.count(1.0, now);
            return Ok(Admission::Admitted);
        }
        Err(self.reject(node, now, rng))
    }

    /// Counts a rejected request.
    fn reject(&mut self, node: NodeState<'_>, now: Moment, rng: &mut impl Rng) -> QuotaExceeded {
        self.refused += 1;
        let basis = node.basis(&self.fleet_load);
        QuotaExceeded {
            retry_after: self.retry_after(basis, now, rng),
            limit: self.limit,
            fleet_demand_rps: self.estimated_demand_rps(now),
            basis,
        }
    }

    /// Returns the token of an admitted request that did not run.
    pub(super) fn refund(&mut self, ttl: Duration, now: Moment) {
        self.admitted.count(-1.0, now);
        if now >= self.tokens_expire_at {
            self.tokens = 0;
        }
        self.tokens += 1;
        self.tokens_expire_at = self.tokens_expire_at.max(now + ttl);
    }

    /// Returns the number of tokens to request from the pool now, if any, and marks them as
    /// requested.
    pub(super) fn take_request(
        &mut self,
        sequence: u64,
        interval: Duration,
        now: Moment,
    ) -> Option<u32> {
        if self.pending != Some(PendingRequest::Due) {
            return None;
        }
        let expected = self.demand.at(now) * interval.as_secs_f64();
        let advance = (expected - ADVANCE_DEVIATIONS * expected.sqrt()).max(0.0) as u32;
        let tokens = std::mem::take(&mut self.waiting) + advance;
        if tokens == 0 {
            self.pending = None;
            return None;
        }
        self.pending = Some(PendingRequest::Sent { sequence, tokens });
        Some(tokens)
    }

    /// Applies the pool's reply; `None` if the pool does not know the tenant's limit.
    pub(super) fn on_grant(
        &mut self,
        sequence: u64,
        granted: Option<&GrantedTokens>,
        ttl: Duration,
        now: Moment,
    ) {
        let Some(requested) = self.end_request(sequence) else {
            return;
        };
        let Some(granted) = granted else {
            self.unreachable_until = now + UNANSWERED_BACKOFF;
            return;
        };
        if now >= self.tokens_expire_at {
            self.tokens = 0;
        }
        self.tokens += granted.tokens.min(requested);
        self.last_granted = granted.tokens;
        self.tokens_expire_at = now + ttl;
        self.exhausted_until = now + granted.retry_after;
    }

    /// Allows the use of this node's reserve until the pool may be asked again.
    pub(super) fn use_reserve_while_exhausted(&mut self) {
        self.unreachable_until = self.unreachable_until.max(self.exhausted_until);
    }

    /// Handles a request for tokens that no pool has answered.
    pub(super) fn on_unanswered(&mut self, sequence: u64, now: Moment) {
        if self.end_request(sequence).is_some() {
            self.unreachable_until = now + UNANSWERED_BACKOFF;
        }
    }

    /// Ends the request with the given number, and returns the number of requested tokens.
    fn end_request(&mut self, sequence: u64) -> Option<u32> {
        match self.pending {
            Some(PendingRequest::Sent {
                sequence: sent,
                tokens,
            }) if sent == sequence => {
                self.pending = None;
                Some(tokens)
            }
            _ => None,
        }
    }

    /// Estimates the requests per second that all nodes receive.
    fn estimated_demand_rps(&self, now: Moment) -> f64 {
        self.fleet_load.demand_rps.max(self.demand.at(now))
    }

    /// Estimates when a retry may be admitted: a random part of the time that the limit needs
    /// for one second's requests.
    fn retry_after(&self, basis: QuotaBasis, now: Moment, rng: &mut impl Rng) -> Duration {
        let (QuotaBasis::FleetDemand { limit_fraction, .. }
        | QuotaBasis::LocalOnly { limit_fraction }) = basis;
        let rate = (self.limit.rate * limit_fraction).max(f64::MIN_POSITIVE);
        let wait = self.estimated_demand_rps(now) / rate * rng.random_range(0.25..0.75);
        Duration::from_secs_f64(wait.clamp(RETRY_DELAY_RANGE_SECS.0, RETRY_DELAY_RANGE_SECS.1))
    }

    /// Applies the latest load reports of the fleet.
    pub(super) fn update(&mut self, tag: TenantHash, loads: &LoadByTenant<'_>) {
        self.fleet_load = loads.sum(tag);
    }

    /// Returns this node's load of the tenant for the zone's report, or `None` if the load
    /// is too small to matter.
    pub(super) fn load_report(
        &mut self,
        tag: TenantHash,
        nodes: f64,
        now: Moment,
    ) -> Option<TenantLoad> {
        let demand = self.demand.at(now);
        if demand < self.limit.rate / nodes * REPORT_THRESHOLD_RATIO {
            return None;
        }
        Some(TenantLoad {
            tenant: tag,
            requested_millirps: to_millirps(demand),
            admitted_millirps: to_millirps(self.admitted.at(now)),
        })
    }

    /// Time without any request of the tenant in the fleet.
    pub(super) fn idle_for(&self, now: Moment) -> Duration {
        match self.fleet_load.demand_rps > 0.0 {
            true => Duration::ZERO,
            false => now.since(self.last_request_at),
        }
    }

    /// Returns the state of the tenant's limit for the operators' API.
    pub(super) fn view(&self, node: NodeState<'_>, now: Moment) -> QuotaView {
        let demand = self.demand.at(now);
        QuotaView {
            limit: self.limit,
            local_demand_rps: demand,
            fleet_demand_rps: self.estimated_demand_rps(now),
            admitted_rps: self.fleet_load.admitted_rps,
            admission_probability: match demand > 0.0 {
                true => (self.admitted.at(now) / demand).clamp(0.0, 1.0),
                false => 1.0,
            },
            refused: self.refused,
            basis: node.basis(&self.fleet_load),
        }
    }
}

/// Converts requests per second to thousandths of a request per second.
fn to_millirps(rate: f64) -> u32 {
    (rate.max(0.0) * 1_000.0).round() as u32
}
