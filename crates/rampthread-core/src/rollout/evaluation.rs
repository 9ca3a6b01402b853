//! Detects whether the target version of a rollout is worse than the present version.
//!
//! Failures are compared by group of backends, since a single bad backend doesn't make a
//! version bad (`failure_spread`).
//!
//! Latency uses a sequential test (CUSUM, Page 1954) per route: every response of the target
//! version adds its log-likelihood ratio, a bad version against one like the present
//! version, to a score. A score never falls below zero, so that a version that degrades
//! late is detected as fast as one that was bad from the start. Compared is the ratio of slow
//! responses at several quantiles of the baseline: some versions are slow for all calls, some
//! for a few.
//!
//! The baseline is taken from the other version's responses of the last seconds, so that an
//! outage affecting both is no evidence.

use super::evidence::{BACKEND_GROUPS, LATENCY_BUCKETS, ResponseCounts, VersionEvidence};
use super::failure_spread::{BadGroupExpectation, BadGroups, FailureSpread, GroupCounts};
use crate::ids::{ResourceName, SoftwareVersion};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Score from which on the target version counts as bad: a sum of log-likelihood ratios. A good
/// version reaches this score once in thousands of responses.
const REGRESSION_SCORE: f64 = 8.0;
/// Score that suffices once [`URGENT_EXCESS`] failures have been caused, so that a rollback is not
/// delayed while callers get more of them.
const URGENT_SCORE: f64 = 2.0;
/// Score from which on a version that does not count as bad is suspected of being bad. Its rollout
/// does not succeed then: success is final, and a later evaluation has more responses.
const SUSPICION_SCORE: f64 = 4.0;
/// Failures in excess of the baseline up to which [`REGRESSION_SCORE`] is required, and from which
/// on [`URGENT_SCORE`] suffices. In between the required score falls linearly.
const URGENT_EXCESS: (f64, f64) = (10.0, 24.0);
/// Maximum number of slow responses of the target version in excess of the baseline, however
/// slow the baseline is. During outages the scores alone would take too long.
const MAX_EXCESS: f64 = 18.0;
/// Time in which the weight of past responses halves.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Minimum number of the other version's responses on a route for a baseline.
const MIN_BASELINE_RESPONSES: f64 = 20.0;
/// Failures that a baseline counts in addition to those observed, so that its failure ratio
/// is never zero.
const PRIOR_FAILURES: f64 = 0.4;
/// Responses that a baseline counts in addition to those observed. Also the weight, in
/// responses, of the last seconds in the baseline of a round.
const PRIOR_RESPONSES: f64 = 40.0;
/// Latency quantiles of the baseline that are compared, each as the ratio of the baseline's
/// responses that are slower.
const TAIL_RATIOS: [f64; 3] = [0.5, 0.2, 0.05];
/// Minimum increase, in a bad version, of the ratio of responses that are slower than each
/// latency quantile of `TAIL_RATIOS`.
const MIN_TAIL_INCREASES: [f64; 3] = [0.2, 0.15, 0.08];
/// Index of the quantile that the fewest responses of the baseline exceed.
const LAST_TAIL: usize = TAIL_RATIOS.len() - 1;
/// Ratio of the responses in a tail that may exceed the tolerated latency in a good
/// version: a quarter.
const TOLERATED_TAIL_RATIO: f64 = 0.25;
/// Histogram buckets by which a good version may be slower, since the speed of backends
/// varies and the target's get few calls. Two buckets are a factor of two.
const TOLERATED_BUCKETS: usize = 2;
/// Maximum of a baseline ratio, which keeps the scores finite.
const MAX_BASELINE_RATIO: f64 = 0.75;

/// A detected regression of the target version and the data behind it.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionRegression {
    /// Route on which the regression was detected.
    pub route: ResourceName,
    /// What is worse than in the baseline.
    pub kind: RegressionKind,
    /// Score, or for `Excess` the number of slow responses in excess of the baseline.
    pub score: f64,
    /// Responses of the target version on the route.
    pub responses: u32,
    /// Failures among `responses`.
    pub failures: u32,
}

/// What is worse in the target version than in the baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegressionKind {
    /// The target version has a higher ratio of failures.
    Failures,
    /// The target version has a higher ratio of slow responses.
    Slow,
    /// The target version has too many slow responses in total.
    Excess,
}

impl fmt::Display for VersionRegression {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            RegressionKind::Failures => "failures",
            RegressionKind::Slow => "slow responses",
            RegressionKind::Excess => "slow responses in total",
        };
        write!(
            formatter,
            "{kind} on route {}: score {:.1}, {} of {} responses failed",
            self.route, self.score, self.failures, self.responses
        )
    }
}

/// Responses of one group of backends, exponentially weighted by age.
#[derive(Debug, Clone, Default)]
struct DecayingCounts {
    responses: f64,
    failures: f64,
    latencies: [f64; LATENCY_BUCKETS],
}

impl DecayingCounts {
    /// Reduces the weight of past responses by the time `passed`.
    fn decay(&mut self, passed: Duration) {
        let remaining = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.responses *= remaining;
        self.failures *= remaining;
        for count in &mut self.latencies {
            *count *= remaining;
        }
    }

    /// Adds the counts of newly reported responses.
    fn add(&mut self, counts: &ResponseCounts) {
        self.responses += f64::from(counts.responses);
        self.failures += f64::from(counts.failures);
        for (sum, count) in self.latencies.iter_mut().zip(&counts.latency_histogram) {
            *sum += f64::from(*count);
        }
    }

    /// Adds the response counts of another group or round.
    fn merge(&mut self, other: &Self) {
        self.responses += other.responses;
        self.failures += other.failures;
        for (sum, count) in self.latencies.iter_mut().zip(&other.latencies) {
            *sum += count;
        }
    }

    /// Returns the responses in histogram buckets from `slow_from` on, and all successful ones.
    fn slow_and_all_responses(&self, slow_from: usize) -> (f64, f64) {
        (
            self.latencies[slow_from..].iter().sum(),
            self.latencies.iter().sum(),
        )
    }

    /// Returns the first histogram bucket whose lower bound is reached by at most a ratio
    /// `tail` of the responses.
    fn tail_start_bucket(&self, tail: f64) -> usize {
        let total: f64 = self.latencies.iter().sum();
        let mut above = total;
        for (bucket, count) in self.latencies.iter().enumerate() {
            if above <= tail * total {
                return bucket;
            }
            above -= count;
        }
        LATENCY_BUCKETS
    }
}

/// One version's responses on a route, by group of backends.
#[derive(Debug, Clone, Default)]
struct CountsByGroup([DecayingCounts; BACKEND_GROUPS as usize]);

impl CountsByGroup {
    /// Response counts of one group of backends.
    fn group_counts(&mut self, group: u8) -> &mut DecayingCounts {
        &mut self.0[usize::from(group % BACKEND_GROUPS)]
    }

    /// Sums the response counts of all groups of backends.
    fn total(&self) -> DecayingCounts {
        let mut sum = DecayingCounts::default();
        for group in &self.0 {
            sum.merge(group);
        }
        sum
    }

    /// Responses and failures of each group.
    fn failure_counts(&self) -> GroupCounts {
        self.0
            .each_ref()
            .map(|group| (group.responses, group.failures))
    }
}

/// Evaluation of the target version on one route.
#[derive(Debug, Clone, Default)]
struct RouteEvaluator {
    /// Recent responses of the other version.
    other: CountsByGroup,
    /// Responses since the previous evaluation, by version.
    other_round: CountsByGroup,
    target_round: CountsByGroup,
    /// CUSUM score of each latency quantile.
    scores: [f64; TAIL_RATIOS.len()],
    /// Slow responses of the target version in excess of the baseline.
    excess: f64,
    /// Failures of the target version, by group of backends.
    failure_spread: FailureSpread,
    /// What is to be expected of bad backends, from those of the other version.
    bad_groups: BadGroupExpectation,
    responses: u32,
    failures: u32,
}

impl RouteEvaluator {
    /// Reduces the weight of past responses by the time `passed`.
    fn decay(&mut self, passed: Duration) {
        for group in &mut self.other.0 {
            group.decay(passed);
        }
    }

    /// Adds the response counts of one group of backends to the current round.
    fn add(&mut self, group: u8, counts: &ResponseCounts, of_target: bool) {
        if of_target {
            self.responses = self.responses.saturating_add(counts.responses);
            self.failures = self.failures.saturating_add(counts.failures);
            self.target_round.group_counts(group).add(counts);
        } else {
            self.other_round.group_counts(group).add(counts);
        }
    }

    /// Evaluates the responses since the previous evaluation, which was `passed` ago, against the
    /// baseline.
    fn end_round(&mut self, passed: Duration) {
        let other_round = std::mem::take(&mut self.other_round);
        let target_round = std::mem::take(&mut self.target_round);
        for (sum, round) in self.other.0.iter_mut().zip(&other_round.0) {
            sum.merge(round);
        }
        let baseline = self.other.total();
        if baseline.responses >= MIN_BASELINE_RESPONSES {
            self.evaluate_failures(&other_round, &target_round, passed);
            for (index, tail) in TAIL_RATIOS.into_iter().enumerate() {
                let slow_from =
                    (baseline.tail_start_bucket(tail) + TOLERATED_BUCKETS).min(LATENCY_BUCKETS);
                self.evaluate(index, slow_from, &other_round, &target_round);
            }
        } else {
            self.failure_spread.skip_round(passed);
        }
    }

    /// Compares the failures since the previous evaluation with those of the other version's sound
    /// groups of backends.
    fn evaluate_failures(
        &mut self,
        other_round: &CountsByGroup,
        target_round: &CountsByGroup,
        passed: Duration,
    ) {
        let other = self.other.failure_counts();
        let groups = BadGroups::find(&other);
        self.bad_groups = groups.expectation;
        let (responses, failures) = groups.sound(&other);
        let recent = (failures + PRIOR_FAILURES) / (responses + PRIOR_RESPONSES);
        let (responses, failures) = groups.sound(&other_round.failure_counts());
        let smoothed = (failures + PRIOR_RESPONSES * recent) / (responses + PRIOR_RESPONSES);
        let current = match responses >= MIN_BASELINE_RESPONSES {
            true => failures / responses,
            false => recent,
        };
        let baseline = smoothed.max(current).min(MAX_BASELINE_RATIO);
        let target = target_round.failure_counts();
        self.failure_spread.add_round(&target, baseline, passed);
    }

    /// Updates the score of one latency quantile from the responses since the previous
    /// evaluation.
    fn evaluate(
        &mut self,
        quantile: usize,
        slow_from: usize,
        other_round: &CountsByGroup,
        target_round: &CountsByGroup,
    ) {
        let (slow, responses) = target_round.total().slow_and_all_responses(slow_from);
        if responses <= 0.0 {
            return;
        }
        let (baseline_slow, baseline_responses) =
            self.other.total().slow_and_all_responses(slow_from);
        let (current_slow, current_responses) =
            other_round.total().slow_and_all_responses(slow_from);
        let recent = (baseline_slow / baseline_responses.max(1.0))
            .max(TAIL_RATIOS[quantile] * TOLERATED_TAIL_RATIO);
        let current = match current_responses >= MIN_BASELINE_RESPONSES {
            true => current_slow / current_responses,
            false => recent,
        };
        if quantile == LAST_TAIL {
            self.excess += slow - responses * current;
        }
        // An outage that affects both versions may have just begun.
        let baseline = recent.max(current).min(MAX_BASELINE_RATIO);
        let bad_ratio = baseline + MIN_TAIL_INCREASES[quantile];
        let bad_ratio = bad_ratio.min(0.5 + baseline / 2.0);
        let bad_weight = (bad_ratio / baseline).ln();
        let good_weight = ((1.0 - bad_ratio) / (1.0 - baseline)).ln();
        let score = &mut self.scores[quantile];
        *score = (*score + slow * bad_weight + (responses - slow) * good_weight).max(0.0);
    }

    /// Returns the score of the failures on this route.
    fn failure_score(&self) -> f64 {
        FailureSpread::score([&self.failure_spread], &self.bad_groups)
    }

    /// Returns the highest score of failures and latencies on this route.
    fn highest_score(&self) -> f64 {
        self.scores.into_iter().fold(self.failure_score(), f64::max)
    }

    /// Returns the regression on this route if a score has reached `REGRESSION_SCORE`.
    fn regression(&self, route: &ResourceName) -> Option<VersionRegression> {
        let failures = self.failure_score();
        let excess = FailureSpread::spread_excess([&self.failure_spread]);
        if failures >= required_score(excess) {
            return Some(self.regression_by(route, RegressionKind::Failures, failures));
        }
        let mut scores = self.scores.iter().copied();
        let slow = scores.find(|score| *score >= REGRESSION_SCORE)?;
        Some(self.regression_by(route, RegressionKind::Slow, slow))
    }

    /// Describes a regression on this route.
    fn regression_by(
        &self,
        route: &ResourceName,
        kind: RegressionKind,
        score: f64,
    ) -> VersionRegression {
        VersionRegression {
            route: route.clone(),
            kind,
            score,
            responses: self.responses,
            failures: self.failures,
        }
    }
}

/// Evaluates the target version of one rollout against the other version, from the response
/// evidence of the whole fleet.
#[derive(Debug, Clone)]
pub struct VersionEvaluator {
    target: SoftwareVersion,
    routes: BTreeMap<ResourceName, RouteEvaluator>,
    /// Responses of all versions, and of the target version.
    responses: u64,
    target_responses: u64,
}

impl VersionEvaluator {
    /// Creates an evaluation of `target` without any responses.
    pub fn new(target: SoftwareVersion) -> Self {
        Self {
            target,
            routes: BTreeMap::new(),
            responses: 0,
            target_responses: 0,
        }
    }

    /// Adds the response counts since the last round, which was `passed` ago, and evaluates
    /// them.
    pub fn add_round(&mut self, round: &[VersionEvidence], passed: Duration) {
        for route_evaluator in self.routes.values_mut() {
            route_evaluator.decay(passed);
        }
        for evidence in round {
            let of_target = evidence.version == self.target;
            let responses = u64::from(evidence.counts.responses);
            self.responses += responses;
            self.target_responses += if of_target { responses } else { 0 };
            let route_evaluator = self.routes.entry(evidence.route.clone()).or_default();
            route_evaluator.add(evidence.group, &evidence.counts, of_target);
        }
        for route_evaluator in self.routes.values_mut() {
            route_evaluator.end_round(passed);
        }
    }

    /// Returns the regression of the target version, or `None` if none has been detected so
    /// far.
    pub fn regression(&self) -> Option<VersionRegression> {
        let mut routes = self.routes.iter();
        let by_score =
            routes.find_map(|(route, route_evaluator)| route_evaluator.regression(route));
        by_score
            .or_else(|| self.failure_regression())
            .or_else(|| self.excess_regression())
    }

    /// Returns whether the target version may be bad, although no regression has been detected
    /// so far.
    pub fn is_suspect(&self) -> bool {
        let by_route = self.routes.values().map(RouteEvaluator::highest_score);
        let of_all_routes = self.worst_route().map(|(_, worst)| self.total_score(worst));
        by_route
            .chain(of_all_routes)
            .any(|score| score >= SUSPICION_SCORE)
    }

    /// Returns the route with the most failures of the target version.
    fn worst_route(&self) -> Option<(&ResourceName, &RouteEvaluator)> {
        self.routes.iter().max_by_key(|(_, route)| route.failures)
    }

    /// Returns the score of the failures on all routes together; `worst` is the route with most.
    fn total_score(&self, worst: &RouteEvaluator) -> f64 {
        let spreads = self.routes.values().map(|route| &route.failure_spread);
        FailureSpread::score(spreads, &worst.bad_groups)
    }

    /// Returns a regression if the failures on all routes together are too many.
    fn failure_regression(&self) -> Option<VersionRegression> {
        let (route, route_evaluator) = self.worst_route()?;
        let score = self.total_score(route_evaluator);
        let spreads = self.routes.values().map(|route| &route.failure_spread);
        if score < required_score(FailureSpread::spread_excess(spreads)) {
            return None;
        }
        Some(route_evaluator.regression_by(route, RegressionKind::Failures, score))
    }

    /// Returns a regression if the slow responses of all routes exceed the maximum.
    fn excess_regression(&self) -> Option<VersionRegression> {
        let excess: f64 = self
            .routes
            .values()
            .map(|route_evaluator| route_evaluator.excess)
            .sum();
        let routes = self.routes.iter();
        let worst = routes.max_by(|left, right| left.1.excess.total_cmp(&right.1.excess));
        let (route, route_evaluator) = worst.filter(|_| excess >= MAX_EXCESS)?;
        Some(route_evaluator.regression_by(route, RegressionKind::Excess, excess))
    }

    /// Total responses of all versions, and of the target version.
    pub fn responses(&self) -> (u64, u64) {
        (self.responses, self.target_responses)
    }
}

/// Returns the score from which on a version with `excess` failures in excess of the baseline
/// counts as bad.
fn required_score(excess: f64) -> f64 {
    let (from, to) = URGENT_EXCESS;
    let urgency = ((excess - from) / (to - from)).clamp(0.0, 1.0);
    REGRESSION_SCORE + (URGENT_SCORE - REGRESSION_SCORE) * urgency
}
