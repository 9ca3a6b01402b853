//! Detects whether the target version of a rollout is worse than the present version.
//!
//! Uses a sequential test (CUSUM, Page 1954) per route: every response of the target
//! version adds its log-likelihood ratio, a bad version against one like the present
//! version, to a score. A score never falls below zero, so that a version that degrades
//! late is detected as fast as one that was bad from the start. The baseline is taken from
//! the other version's responses of the last seconds, so that an outage affecting both is
//! no evidence.
//!
//! Compared are the ratio of failures, and the ratio of slow responses at several quantiles
//! of the baseline: some versions are slow for all calls, some for a few.
//!
//! A single bad backend doesn't make a version bad. The backends of each version are hashed
//! into groups, and the worst quarter of the groups is excluded from the failure counts of
//! both versions.

use super::evidence::{BACKEND_GROUPS, LATENCY_BUCKETS, ResponseCounts, VersionEvidence};
use crate::ids::{ResourceName, SoftwareVersion};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// CUSUM score from which on the target version counts as bad. A good version reaches this
/// score once in thousands of responses.
const REGRESSION_SCORE: f64 = 8.0;
/// Maximum number of bad responses of the target version in excess of the baseline, however
/// bad the baseline is. During outages the scores alone would take too long.
const MAX_EXCESS: f64 = 18.0;
/// Time in which the weight of past responses halves.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Minimum number of the other version's responses on a route for a baseline.
const MIN_BASELINE_RESPONSES: f64 = 20.0;
/// Number of groups with responses per group that may be excluded: 4 allows to exclude one
/// quarter.
const GROUPS_PER_OUTLIER: usize = 4;
/// Minimum number of bad responses for a group of backends to be excluded.
const MIN_OUTLIER_RESPONSES: f64 = 1.5;
/// Failures that a baseline counts in addition to those observed, so that its failure ratio
/// is never zero.
const PRIOR_FAILURES: f64 = 0.4;
/// Responses that a baseline counts in addition to those observed.
const PRIOR_RESPONSES: f64 = 40.0;
/// Minimum increase of the failure ratio over the baseline in a bad version.
const MIN_FAILURE_INCREASE: f64 = 0.1;
/// Minimum factor between the failure ratios of a bad version and the baseline.
const MIN_FAILURE_FACTOR: f64 = 2.0;
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

/// Number of measures compared: failures, and one per latency quantile.
const MEASURES: usize = 1 + TAIL_RATIOS.len();
/// Index of the failure measure; latency quantile `n` has the index `1 + n`.
const FAILURES: usize = 0;

/// A detected regression of the target version and the data behind it.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionRegression {
    /// Route on which the regression was detected.
    pub route: ResourceName,
    /// What is worse than in the baseline.
    pub kind: RegressionKind,
    /// CUSUM score, or for `Excess` the number of bad responses in excess of the baseline.
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
    /// The target version has too many failures and slow responses in total.
    Excess,
}

impl fmt::Display for VersionRegression {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            RegressionKind::Failures => "failures",
            RegressionKind::Slow => "slow responses",
            RegressionKind::Excess => "failures and slow responses",
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

    /// Returns the bad responses of a measure, and all responses that the measure covers.
    /// Latency measures count responses in histogram buckets from `slow_from` on as bad.
    fn bad_and_all_responses(&self, measure: usize, slow_from: usize) -> (f64, f64) {
        match measure {
            FAILURES => (self.failures, self.responses),
            _ => (
                self.latencies[slow_from..].iter().sum(),
                self.latencies.iter().sum(),
            ),
        }
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

    /// Maximum number of groups to exclude, from the number of groups with responses.
    fn max_outliers(&self) -> usize {
        let with_responses = self.0.iter().filter(|group| group.responses > 0.0);
        with_responses.count() / GROUPS_PER_OUTLIER
    }

    /// Selects the groups to exclude for a measure: up to `max_outliers`, those with the
    /// most bad responses.
    fn outliers(
        &self,
        measure: usize,
        slow_from: usize,
        max_outliers: usize,
    ) -> [bool; BACKEND_GROUPS as usize] {
        let mut worst: Vec<(f64, usize)> = self
            .0
            .iter()
            .enumerate()
            .map(|(index, group)| (group.bad_and_all_responses(measure, slow_from).0, index))
            .filter(|(bad, _)| *bad >= MIN_OUTLIER_RESPONSES)
            .collect();
        worst.sort_by(|left, right| right.0.total_cmp(&left.0));
        let mut outliers = [false; BACKEND_GROUPS as usize];
        for (_, index) in worst.iter().take(max_outliers) {
            outliers[*index] = true;
        }
        outliers
    }

    /// Bad responses and all responses of a measure, without those of the groups in
    /// `outliers`.
    fn bad_excluding(
        &self,
        outliers: &[bool; BACKEND_GROUPS as usize],
        measure: usize,
        slow_from: usize,
    ) -> (f64, f64) {
        let kept = self
            .0
            .iter()
            .zip(outliers)
            .filter(|(_, is_excluded)| !**is_excluded);
        kept.map(|(group, _)| group.bad_and_all_responses(measure, slow_from))
            .fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

/// Evaluation of the target version on one route.
#[derive(Debug, Clone, Default)]
struct RouteEvaluator {
    other: CountsByGroup,
    target: CountsByGroup,
    /// Responses since the previous evaluation, by version.
    other_round: CountsByGroup,
    target_round: CountsByGroup,
    scores: [f64; MEASURES],
    /// Bad responses of the target version in excess of the baseline.
    excess: f64,
    responses: u32,
    failures: u32,
}

impl RouteEvaluator {
    /// Reduces the weight of past responses by the time `passed`.
    fn decay(&mut self, passed: Duration) {
        for group in self.other.0.iter_mut().chain(&mut self.target.0) {
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

    /// Evaluates the responses since the previous evaluation against the baseline.
    fn end_round(&mut self) {
        let other_round = std::mem::take(&mut self.other_round);
        let target_round = std::mem::take(&mut self.target_round);
        for (sum, round) in self.other.0.iter_mut().zip(&other_round.0) {
            sum.merge(round);
        }
        let baseline = self.other.total();
        if baseline.responses >= MIN_BASELINE_RESPONSES {
            self.evaluate(FAILURES, 0, &other_round, &target_round);
            for (index, tail) in TAIL_RATIOS.into_iter().enumerate() {
                let slow_from =
                    (baseline.tail_start_bucket(tail) + TOLERATED_BUCKETS).min(LATENCY_BUCKETS);
                self.evaluate(1 + index, slow_from, &other_round, &target_round);
            }
        }
        for (sum, round) in self.target.0.iter_mut().zip(&target_round.0) {
            sum.merge(round);
        }
    }

    /// Updates the score of one measure from the responses since the previous evaluation.
    fn evaluate(
        &mut self,
        measure: usize,
        slow_from: usize,
        other_round: &CountsByGroup,
        target_round: &CountsByGroup,
    ) {
        // Latency differs between sound backends too; only failures identify bad backends.
        let max_outliers = match measure {
            FAILURES => self.target.max_outliers(),
            _ => 0,
        };
        let excluded = self.target.outliers(measure, slow_from, max_outliers);
        let (bad, responses) = target_round.bad_excluding(&excluded, measure, slow_from);
        if responses <= 0.0 {
            return;
        }
        // Exclude as many backend groups of the other version as of the target version,
        // where bad groups are found only after `MIN_OUTLIER_RESPONSES` bad responses.
        let max_outliers = excluded.iter().filter(|is_excluded| **is_excluded).count();
        let excluded = self.other.outliers(measure, slow_from, max_outliers);
        let (baseline_bad, baseline_responses) =
            self.other.bad_excluding(&excluded, measure, slow_from);
        let (current_bad, current_responses) =
            other_round.bad_excluding(&excluded, measure, slow_from);
        let recent = match measure {
            FAILURES => (baseline_bad + PRIOR_FAILURES) / (baseline_responses + PRIOR_RESPONSES),
            _ => (baseline_bad / baseline_responses.max(1.0))
                .max(TAIL_RATIOS[measure - 1] * TOLERATED_TAIL_RATIO),
        };
        let current = match current_responses >= MIN_BASELINE_RESPONSES {
            true => current_bad / current_responses,
            false => recent,
        };
        if measure == FAILURES || measure == 1 + LAST_TAIL {
            self.excess += bad - responses * current;
        }
        // An outage that affects both versions may have just begun.
        let baseline = recent.max(current).min(MAX_BASELINE_RATIO);
        let bad_ratio = match measure {
            FAILURES => (baseline + MIN_FAILURE_INCREASE).max(baseline * MIN_FAILURE_FACTOR),
            _ => baseline + MIN_TAIL_INCREASES[measure - 1],
        };
        let bad_ratio = bad_ratio.min(0.5 + baseline / 2.0);
        let bad_weight = (bad_ratio / baseline).ln();
        let good_weight = ((1.0 - bad_ratio) / (1.0 - baseline)).ln();
        let score = &mut self.scores[measure];
        *score = (*score + bad * bad_weight + (responses - bad) * good_weight).max(0.0);
    }

    /// Returns the regression on this route if the score of a measure has reached
    /// `REGRESSION_SCORE`.
    fn regression(&self, route: &ResourceName) -> Option<VersionRegression> {
        let mut scores = self.scores.iter().copied().enumerate();
        let (measure, score) = scores.find(|(_, score)| *score >= REGRESSION_SCORE)?;
        let kind = match measure {
            FAILURES => RegressionKind::Failures,
            _ => RegressionKind::Slow,
        };
        Some(self.regression_by(route, kind, score))
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
            route_evaluator.end_round();
        }
    }

    /// Returns the regression of the target version, or `None` if none has been detected so
    /// far.
    pub fn regression(&self) -> Option<VersionRegression> {
        let mut routes = self.routes.iter();
        let by_score =
            routes.find_map(|(route, route_evaluator)| route_evaluator.regression(route));
        by_score.or_else(|| self.excess_regression())
    }

    /// Returns a regression if the bad responses of all routes exceed the maximum.
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
