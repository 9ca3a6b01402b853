//! State of one tenant's limit at one node: measured rates, token balance and admission
//! probability.

use super::bucket::TokenBucket;
use super::decaying_rate::{DecayingRate, weight_after};
use super::fleet_load::{LoadByTenant, ReportCoverage, TenantLoadSum};
use super::zone_balance::{USUAL_DEMAND_TIME_CONSTANT, ZoneBalance};
use super::{QuotaPolicy, QuotaView, limit_fraction};
use crate::config::RateLimit;
use crate::fleet::{TenantHash, TenantLoad};
use crate::ids::Zone;
use crate::time::Moment;
use rand::Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// Time constant of the rates that a node reports; short compared with the delay of
/// reports.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Mean delay from the count at a node to the sum in its zone's load report.
const MEAN_REPORT_DELAY: Duration = Duration::from_millis(300);
/// Seconds over which a positive token balance is spent on requests.
const SPEND_TIME_SECS: f64 = 1.0;
/// Seconds over which a token deficit is worked off. Short, so that the recovery falls into
/// the same sliding window as the excess.
const DEFICIT_RECOVERY_SECS: f64 = 0.4;
/// Ratio of the limit's burst that is used; the rest is reserved for requests that reach
/// the load reports late.
const USED_BURST_RATIO: f64 = 0.85;
/// Ratio of the policy's `slack_requests` (requests by which a window may exceed the limit)
/// that is added to the burst, so that random variation at low rates causes fewer rejections.
const USED_SLACK_RATIO: f64 = 0.2;
/// A node leaves a tenant out of its load report if the tenant's requests there are below
/// this ratio of the limit per node (the limit divided by the number of nodes).
const REPORT_THRESHOLD_RATIO: f64 = 0.1;
/// Minimum ratio of the tenant's requests in the fleet that a node must receive to decide by
/// its own token bucket alone, without an estimate of the other nodes.
const SOLE_RECEIVER_RATIO: f64 = 0.9;
/// Time constant of the executed ratio, i.e. the ratio of a tenant's admitted requests that
/// run.
const EXECUTED_RATIO_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Minimum that is assumed for the executed ratio, however few admitted requests run.
const MIN_EXECUTED_RATIO: f64 = 0.25;
/// Time after which a tenant that this node reports, but its zone's load report lacks,
/// counts as truncated from that report.
const TRUNCATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Standard deviations subtracted from a measured rate, so that a random cluster of a few
/// requests isn't taken for a traffic spike.
const CONFIDENCE_DEVIATIONS: f64 = 1.0;
/// Minimum admission probability that a rate is divided by; a smaller divisor would inflate
/// a few requests to many.
const MIN_ADMISSION_PROBABILITY: f64 = 0.05;
/// Minimum and maximum of the retry delay that rejected callers are told, in seconds.
const RETRY_DELAY_RANGE_SECS: (f64, f64) = (0.1, 5.0);

/// Data that a quota decision is based on: load reports of the fleet, or this node's
/// requests alone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaBasis {
    /// The decision was based on load reports of the fleet.
    FleetDemand {
        /// Mean age of the load reports.
        report_age: Duration,
        /// Fraction of the limit that the nodes covered by the reports share, 0 to 1.
        limit_fraction: f64,
    },
    /// The decision was based on this node's requests alone, since the load reports don't
    /// cover the tenant.
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
    /// Whether the rejection is based on load reports of the fleet or on this node alone.
    pub basis: QuotaBasis,
}

/// An admission probability and the time from which on it was used.
#[derive(Debug, Clone, Copy)]
struct ProbabilitySince {
    at: Moment,
    probability: f64,
}

/// One tenant's limit as tracked by one node.
#[derive(Debug)]
pub(super) struct TenantQuota {
    policy: QuotaPolicy,
    limit: RateLimit,
    demand: DecayingRate,
    admitted: DecayingRate,
    /// Rate of requests received by this node, with a longer time constant.
    usual_demand: DecayingRate,
    /// Demand and token balance of each zone that has reported the tenant.
    zones: Vec<ZoneBalance>,
    last_request_at: Moment,
    /// Rates of requests that this node has put into its load reports, with the time of
    /// each report.
    reported: VecDeque<(Moment, f64)>,
    /// Since when this node has included the tenant in all of its load reports.
    reporting_since: Option<Moment>,
    /// The tenant's load, summed over the zones' recent reports.
    fleet_load: TenantLoadSum,
    /// Token balance of the partition (all nodes that this node's reports cover) as of
    /// `balance_at`; negative for a deficit.
    balance: f64,
    balance_at: Moment,
    /// Requests per second that all nodes of the partition may admit now.
    admissible_rps: f64,
    /// Ratio of the admitted requests that run; tokens of admitted requests that don't are
    /// refunded.
    executed_ratio: f64,
    updated_at: Moment,
    /// Admission probabilities that this node has used since `balance_at`.
    probabilities: VecDeque<ProbabilitySince>,
    /// Fraction of the limit for the reachable zones; the change of the coverage that it
    /// was computed for; and the fraction after deducting nodes that the load reports lack.
    zones_fraction: f64,
    fraction_computed_for: Moment,
    fraction: f64,
    /// Fraction of the limit for this node alone, used without reports.
    own_fraction: f64,
    /// Whether this node uses only its own fraction because the reports don't cover the
    /// tenant.
    isolated: bool,
    /// Token bucket that caps what this node admits while the reports cover the tenant.
    shared_bucket: TokenBucket,
    /// Token bucket with this node's own fraction, used while the reports don't cover the
    /// tenant. Always maintained, so that it includes what was admitted of a spike before
    /// reports stopped.
    own_bucket: TokenBucket,
    refused: u64,
}

impl TenantQuota {
    /// Creates the state of a tenant that was not tracked here and of which little was
    /// admitted for the time `low_traffic_for`. The state starts with a full burst if this time
    /// is at least the policy's window, otherwise with the tokens gained in it.
    pub(super) fn new(
        policy: QuotaPolicy,
        limit: RateLimit,
        coverage: &ReportCoverage,
        low_traffic_for: Duration,
        now: Moment,
    ) -> Self {
        let mut quota = Self {
            policy,
            limit,
            demand: DecayingRate::new(RATE_TIME_CONSTANT, now),
            admitted: DecayingRate::new(RATE_TIME_CONSTANT, now),
            usual_demand: DecayingRate::new(USUAL_DEMAND_TIME_CONSTANT, now),
            zones: Vec::new(),
            last_request_at: now,
            reported: VecDeque::new(),
            reporting_since: None,
            fleet_load: TenantLoadSum::default(),
            balance: 0.0,
            balance_at: now,
            admissible_rps: 0.0,
            executed_ratio: 1.0,
            updated_at: now,
            probabilities: VecDeque::new(),
            zones_fraction: limit_fraction::of_zones(0.0, 0.0, coverage),
            fraction_computed_for: coverage.changed_at,
            fraction: 1.0,
            own_fraction: limit_fraction::of_node(0.0, 0.0, coverage),
            isolated: limit_fraction::is_isolated(coverage),
            shared_bucket: TokenBucket::new(limit, 0.0, now),
            own_bucket: TokenBucket::new(limit, 0.0, now),
            refused: 0,
        };
        quota.fraction = quota.zones_fraction * limit_fraction::reported_ratio(coverage);
        let partition_limit = quota.scaled_limit(quota.fraction);
        let own = quota.scaled_limit(quota.own_fraction);
        let gained = |limit: RateLimit| match low_traffic_for >= policy.window {
            true => limit.burst,
            false => (limit.rate * (1.0 - REPORT_THRESHOLD_RATIO) * low_traffic_for.as_secs_f64())
                .min(limit.burst),
        };
        quota.balance = gained(partition_limit);
        quota.admissible_rps = partition_limit.rate + quota.balance / SPEND_TIME_SECS;
        // A node without peers always admits the first request of a tenant.
        let first = if coverage.member_count == 1 { 1.0 } else { 0.0 };
        let balance = quota.balance.max(first);
        quota.shared_bucket = TokenBucket::new(partition_limit, balance, now);
        quota.own_bucket = TokenBucket::new(own, gained(own), now);
        quota
    }

    /// Applies the tenant's limit of a new configuration version.
    pub(super) fn set_limit(&mut self, limit: RateLimit) {
        self.limit = limit;
    }

    /// The given fraction of the limit, as the limit of a token bucket.
    fn scaled_limit(&self, fraction: f64) -> RateLimit {
        RateLimit {
            rate: self.limit.rate * fraction,
            burst: (self.limit.burst * USED_BURST_RATIO
                + self.policy.slack_requests * USED_SLACK_RATIO)
                * fraction,
        }
    }

    /// Decides whether to admit one request of the tenant.
    pub(super) fn try_admit(
        &mut self,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Result<(), QuotaExceeded> {
        self.demand.count(1.0, now);
        self.usual_demand.count(1.0, now);
        self.last_request_at = now;
        let selected = rng.random::<f64>() < self.admission_probability(now);
        let bucket = if self.isolated {
            &mut self.own_bucket
        } else {
            &mut self.shared_bucket
        };
        if selected && bucket.has_token(now, rng.random()) {
            self.admitted.count(1.0, now);
            self.shared_bucket.take(now);
            self.own_bucket.take(now);
            return Ok(());
        }
        self.refused += 1;
        Err(QuotaExceeded {
            retry_after: self.retry_after(now, rng),
            limit: self.limit,
            fleet_demand_rps: self.estimated_demand_rps(now),
            basis: self.basis(),
        })
    }

    /// Refunds the token of an admitted request that did not run.
    pub(super) fn refund(&mut self, now: Moment) {
        self.admitted.count(-1.0, now);
        self.shared_bucket.refund();
        self.own_bucket.refund();
    }

    /// Estimates the requests per second that all nodes of the partition receive: the
    /// reported sum plus this node's own increase since its last report.
    fn estimated_demand_rps(&self, now: Moment) -> f64 {
        let own = self.demand.at(now);
        let since_report = own - self.own_reported_rps(now);
        (self.fleet_load.demand_rps + since_report.max(0.0)).max(own)
    }

    /// Rate of the tenant's requests at this node that the present sum of load reports
    /// includes.
    fn own_reported_rps(&self, now: Moment) -> f64 {
        let until = now - self.fleet_load.report_age;
        let report = self.reported.iter().rev().find(|(at, _)| *at <= until);
        report.map_or(0.0, |(_, demand)| *demand)
    }

    /// Computes the probability with which a request of the tenant is admitted now.
    fn admission_probability(&self, now: Moment) -> f64 {
        if self.isolated {
            return 1.0;
        }
        let demand = self.estimated_demand_rps(now);
        if self.demand.at(now) >= demand * SOLE_RECEIVER_RATIO {
            return 1.0;
        }
        let demand = lower_bound_rps(demand) * self.executed_ratio;
        if demand <= self.admissible_rps {
            return 1.0;
        }
        (self.admissible_rps / demand).max(0.0)
    }

    /// Estimates when a retry may be admitted: the time until the token deficit is worked
    /// off, plus a random part of the time that the limit needs for one second's requests.
    fn retry_after(&self, now: Moment, rng: &mut impl Rng) -> Duration {
        let fraction = if self.isolated {
            self.own_fraction
        } else {
            self.fraction
        };
        let rate = (self.limit.rate * fraction).max(f64::MIN_POSITIVE);
        let deficit_secs = (-self.balance).max(0.0) / rate;
        let excess_secs = self.estimated_demand_rps(now) / rate;
        let wait = deficit_secs + excess_secs * rng.random_range(0.25..0.75);
        Duration::from_secs_f64(wait.clamp(RETRY_DELAY_RANGE_SECS.0, RETRY_DELAY_RANGE_SECS.1))
    }

    /// Returns which data a quota decision is based on now.
    fn basis(&self) -> QuotaBasis {
        match self.isolated {
            true => QuotaBasis::LocalOnly {
                limit_fraction: self.own_fraction,
            },
            false => QuotaBasis::FleetDemand {
                report_age: self.fleet_load.report_age,
                limit_fraction: self.fraction,
            },
        }
    }

    /// Applies the latest load reports of the fleet to the tenant's state.
    pub(super) fn update(
        &mut self,
        tag: TenantHash,
        loads: &LoadByTenant<'_>,
        coverage: &ReportCoverage,
        now: Moment,
    ) {
        self.fleet_load = loads.sum(tag);
        self.update_zone_balances(tag, loads, now);
        self.update_fractions(coverage, now);
        let partition_limit = self.scaled_limit(self.fraction);
        let window = self.policy.window.as_secs_f64();
        self.shared_bucket.set_limit(partition_limit, window, now);
        let own = self.scaled_limit(self.own_fraction);
        self.own_bucket.set_limit(own, window, now);
        self.advance_balance(partition_limit, now);
        self.update_executed_ratio(now);
        let balance = self.estimated_balance(partition_limit, now);
        let time = if balance < 0.0 {
            DEFICIT_RECOVERY_SECS
        } else {
            SPEND_TIME_SECS
        };
        self.admissible_rps = (partition_limit.rate + balance / time).max(0.0);
        let probability = self.admission_probability(now);
        self.probabilities.push_back(ProbabilitySince {
            at: now,
            probability,
        });
    }

    /// Applies recent reports to the zones' balances and drops removed zones.
    fn update_zone_balances(&mut self, tag: TenantHash, loads: &LoadByTenant<'_>, now: Moment) {
        let is_reported = |tracked: &ZoneBalance| {
            let mut zones = loads.snapshot.zones.iter();
            zones.any(|zone| zone.zone == tracked.zone)
        };
        self.zones.retain(is_reported);
        let window = self.policy.window.as_secs_f64();
        let all = self.usual_demand_of(|_| true);
        let recent = loads
            .snapshot
            .zones
            .iter()
            .filter(|zone| loads.snapshot.is_fresh(zone));
        for zone in recent {
            let reported_at = now - zone.age;
            let zone_load = loads.zone_load(tag, &zone.zone);
            let Some(index) = self
                .zones
                .iter()
                .position(|tracked| tracked.zone == zone.zone)
            else {
                let tracked = ZoneBalance::new(zone.zone.clone(), zone_load.0, reported_at);
                self.zones.push(tracked);
                continue;
            };
            let fraction = match all > 0.0 {
                true => self.zones[index].usual_demand / all,
                false => 1.0 / self.zones.len() as f64,
            };
            let limit = self.scaled_limit(fraction);
            self.zones[index].apply_report(zone_load, limit, window, reported_at);
        }
    }

    /// Returns whether all of `zones` have reported this tenant.
    fn has_reports_of(&self, zones: &[Zone]) -> bool {
        let known = |zone: &Zone| self.zones.iter().any(|tracked| tracked.zone == *zone);
        zones.iter().all(known)
    }

    /// Sums the usual demand of the zones that `counts` selects.
    fn usual_demand_of(&self, counts: impl Fn(&ZoneBalance) -> bool) -> f64 {
        let zones = self.zones.iter().filter(|tracked| counts(tracked));
        zones.map(|tracked| tracked.usual_demand).sum()
    }

    /// Computes the fractions of the limit that this node uses. Those of partitioned nodes
    /// and zones stay as they were while all were reachable.
    fn update_fractions(&mut self, coverage: &ReportCoverage, now: Moment) {
        let is_truncated = !self.fleet_load.in_own_zone_report
            && self
                .reporting_since
                .is_some_and(|since| now.since(since) > TRUNCATION_TIMEOUT);
        self.isolated = limit_fraction::is_isolated(coverage) || is_truncated;
        if self.fraction_computed_for != coverage.changed_at {
            self.fraction_computed_for = coverage.changed_at;
            let is_reachable =
                |tracked: &ZoneBalance| !coverage.unreachable_zones.contains(&tracked.zone);
            let (reachable, all) = (
                self.usual_demand_of(is_reachable),
                self.usual_demand_of(|_| true),
            );
            // The usual demand of a zone that never reported this tenant to this node is
            // unknown.
            self.zones_fraction = match self.has_reports_of(&coverage.unreachable_zones) {
                true => limit_fraction::of_zones(reachable, all, coverage),
                false => limit_fraction::of_zones(0.0, 0.0, coverage),
            };
            if !coverage.unreachable_zones.is_empty() {
                let balances = self.zones.iter().filter(|tracked| is_reachable(tracked));
                let kept: f64 = balances.map(|tracked| tracked.balance).sum();
                self.balance = self.balance.min(kept);
            }
        }
        self.fraction = self.zones_fraction * limit_fraction::reported_ratio(coverage);
        let all_reachable = !self.isolated && coverage.unreachable_zones.is_empty();
        if is_truncated {
            self.own_fraction = limit_fraction::of_node(0.0, 0.0, coverage);
        } else if all_reachable {
            self.own_fraction = limit_fraction::of_node(
                self.usual_demand.at(now),
                self.usual_demand_of(|_| true),
                coverage,
            );
        }
    }

    /// Advances the token balance to the time that the load reports describe.
    fn advance_balance(&mut self, partition_limit: RateLimit, now: Moment) {
        let described_at = now - (self.fleet_load.report_age + MEAN_REPORT_DELAY);
        if described_at <= self.balance_at {
            return;
        }
        let passed = described_at.since(self.balance_at).as_secs_f64();
        let gained = (partition_limit.rate - self.fleet_load.admitted_rps) * passed;
        // The deficit is capped at one window's requests, since older requests no longer
        // count.
        let max_deficit =
            partition_limit.rate * self.policy.window.as_secs_f64() + partition_limit.burst;
        self.balance = (self.balance + gained).clamp(-max_deficit, partition_limit.burst);
        self.balance_at = described_at;
        while self
            .probabilities
            .get(1)
            .is_some_and(|next| next.at <= self.balance_at)
        {
            self.probabilities.pop_front();
        }
    }

    /// Updates the executed ratio from the reported and the expected admissions.
    fn update_executed_ratio(&mut self, now: Moment) {
        let passed = now.since(self.updated_at);
        self.updated_at = now;
        let selected = self.fleet_load.demand_rps * self.reported_probability();
        if selected <= 0.0 {
            return;
        }
        let executed = (self.fleet_load.admitted_rps / selected).clamp(MIN_EXECUTED_RATIO, 1.0);
        self.executed_ratio +=
            (executed - self.executed_ratio) * weight_after(passed, EXECUTED_RATIO_TIME_CONSTANT);
    }

    /// Admission probability that this node used at the time that the load reports
    /// describe.
    fn reported_probability(&self) -> f64 {
        let probability = self
            .probabilities
            .front()
            .map_or(1.0, |since| since.probability);
        probability.max(MIN_ADMISSION_PROBABILITY)
    }

    /// Extrapolates the token balance from the load reports to now. The admission
    /// probabilities of all nodes are the same, so that this node's own ones show what the
    /// others admitted since.
    fn estimated_balance(&self, partition_limit: RateLimit, now: Moment) -> f64 {
        let offered = (self.fleet_load.admitted_rps / self.reported_probability())
            .min(self.fleet_load.demand_rps);
        let min_offered = lower_bound_rps(offered);
        let mut balance = self.balance;
        let mut from = self.balance_at;
        let ends = self
            .probabilities
            .iter()
            .skip(1)
            .map(|next| next.at)
            .chain([now]);
        let probabilities = self.probabilities.iter().map(|since| since.probability);
        for (probability, end) in probabilities.zip(ends) {
            let passed = end.since(from).as_secs_f64();
            balance = (balance + (partition_limit.rate - min_offered * probability) * passed)
                .min(partition_limit.burst);
            from = from.max(end);
        }
        balance
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
            self.reporting_since = None;
            self.reported.clear();
            return None;
        }
        self.reporting_since.get_or_insert(now);
        self.reported.push_back((now, demand));
        while self
            .reported
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) > TRUNCATION_TIMEOUT)
        {
            self.reported.pop_front();
        }
        Some(TenantLoad {
            tenant: tag,
            requested_millirps: to_millirps(demand),
            admitted_millirps: to_millirps(self.admitted.at(now)),
        })
    }

    /// Returns whether the limit fraction is smaller than in new state. Dropping this state
    /// would then claim a fraction of the limit that other partitions already use.
    pub(super) fn has_reduced_fraction(&self, coverage: &ReportCoverage) -> bool {
        self.zones_fraction < limit_fraction::of_zones(0.0, 0.0, coverage)
    }

    /// Time without any request of the tenant in the fleet.
    pub(super) fn idle_for(&self, now: Moment) -> Duration {
        match self.fleet_load.demand_rps > 0.0 {
            true => Duration::ZERO,
            false => now.since(self.last_request_at),
        }
    }

    /// Returns the state of the tenant's limit for the operators' API.
    pub(super) fn view(&self, now: Moment) -> QuotaView {
        QuotaView {
            limit: self.limit,
            local_demand_rps: self.demand.at(now),
            fleet_demand_rps: self.estimated_demand_rps(now),
            admitted_rps: self.fleet_load.admitted_rps,
            admission_probability: self.admission_probability(now),
            refused: self.refused,
            basis: self.basis(),
        }
    }
}

/// Lower confidence bound of a rate that was measured as `rate`.
fn lower_bound_rps(rate: f64) -> f64 {
    let deviation = (rate / (2.0 * RATE_TIME_CONSTANT.as_secs_f64())).sqrt();
    (rate - CONFIDENCE_DEVIATIONS * deviation).max(0.0)
}

/// Converts requests per second to thousandths of a request per second.
fn to_millirps(rate: f64) -> u32 {
    (rate.max(0.0) * 1_000.0).round() as u32
}
