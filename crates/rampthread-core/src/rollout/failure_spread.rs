//! Tests whether a version fails more often than another one at all of its backends, or only at
//! a few bad ones.
//!
//! Failures of one backend come in series and say little about its version, so that the unit of
//! evidence is a group of backends. Each group is either sound or, with some probability, bad by
//! itself at an unknown failure ratio. The test compares the likelihood of all groups' responses
//! under two hypotheses: sound groups fail as often as those of the other version, or more often
//! by an equal amount. A group that fails much is explained by being bad under both hypotheses
//! and counts little; moderate failures at many groups count each time. This is a likelihood
//! ratio test of a mixture model for overdispersed counts.

use super::evidence::BACKEND_GROUPS;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of backend groups.
const GROUPS: usize = BACKEND_GROUPS as usize;
/// Ratios of otherwise successful requests that fail because of a bad backend or a bad version.
const FAILURE_RATIOS: [f64; 7] = [0.1, 0.15, 0.2, 0.3, 0.45, 0.7, 0.95];
/// Times over which the responses are compared. A version may become bad late; its earlier
/// responses must not outweigh the later ones.
const WINDOWS: [Duration; 3] = [
    Duration::from_secs(4),
    Duration::from_secs(8),
    Duration::from_secs(16),
];
/// Number of groups with responses from which on a group may be bad by itself. With fewer of
/// them a bad version and a bad backend look the same, and the version counts as bad.
const MIN_GROUPS: usize = 4;
/// Number of groups per group that is left out of the excess: a quarter is left out.
const GROUPS_PER_OUTLIER: usize = 4;
/// Responses after which the number of a version's groups is known.
const MIN_RESPONSES: f64 = 20.0;
/// Fractions of a version's groups that may be bad by themselves.
const BAD_GROUP_FRACTIONS: [f64; 5] = [0.02, 0.08, 0.15, 0.25, 0.4];
/// Weight of each bad group of the other version, compared with one for each of
/// [`FAILURE_RATIOS`], in the distribution of the failure ratios of bad groups.
const BAD_GROUP_WEIGHT: f64 = 2.0;
/// Responses of a group from which on its failure ratio is meaningful.
const MIN_GROUP_RESPONSES: f64 = 5.0;
/// Increase of a group's failure ratio over the median from which on the group is bad, in
/// addition to three standard deviations.
const BAD_GROUP_INCREASE: f64 = 0.04;
/// Standard deviations that a sound group may be above the median.
const SOUND_DEVIATIONS: f64 = 3.0;

/// Responses and failures of each group of backends.
pub(super) type GroupCounts = [(f64, f64); GROUPS];

/// Groups of the other version that are bad by themselves, by their recent responses.
#[derive(Debug, Clone, Copy)]
pub(super) struct BadGroups {
    is_bad: [bool; GROUPS],
    /// What is to be expected of another version's groups.
    pub(super) expectation: BadGroupExpectation,
}

/// Distribution of how many of a version's groups are bad by themselves, and how often those
/// fail.
#[derive(Debug, Clone, Copy)]
pub(super) struct BadGroupExpectation {
    /// Probability of each of [`BAD_GROUP_FRACTIONS`].
    fractions: [f64; BAD_GROUP_FRACTIONS.len()],
    /// Probability of each of [`FAILURE_RATIOS`] at a bad group.
    ratios: [f64; FAILURE_RATIOS.len()],
}

impl Default for BadGroupExpectation {
    fn default() -> Self {
        Self::after(0, &[])
    }
}

impl BadGroupExpectation {
    /// Returns the distribution after an observation of `sound` sound groups, and bad ones with
    /// the failure ratios `bad`.
    fn after(sound: usize, bad: &[f64]) -> Self {
        let likelihood =
            |fraction: f64| fraction.powi(bad.len() as i32) * (1.0 - fraction).powi(sound as i32);
        let mut ratios = [1.0; FAILURE_RATIOS.len()];
        for observed in bad {
            let distance = |index: &usize| (FAILURE_RATIOS[*index] - observed).abs();
            let nearest = (0..ratios.len()).min_by(|a, b| distance(a).total_cmp(&distance(b)));
            ratios[nearest.unwrap_or_default()] += BAD_GROUP_WEIGHT;
        }
        Self {
            fractions: normalized(BAD_GROUP_FRACTIONS.map(likelihood)),
            ratios: normalized(ratios),
        }
    }
}

/// Scales weights so that their sum is 1.
fn normalized<const N: usize>(weights: [f64; N]) -> [f64; N] {
    let sum: f64 = weights.iter().sum();
    weights.map(|weight| weight / sum)
}

/// Logarithm of the sum of the exponentials of `logs`.
fn log_sum(logs: impl Iterator<Item = f64> + Clone) -> f64 {
    let most = logs.clone().fold(f64::NEG_INFINITY, f64::max);
    most + logs.map(|log| (log - most).exp()).sum::<f64>().ln()
}

impl BadGroups {
    /// Finds the groups whose failure ratio is well above that of the median group.
    pub(super) fn find(counts: &GroupCounts) -> Self {
        let mut ratios: Vec<f64> = counts
            .iter()
            .filter(|(responses, _)| *responses >= MIN_GROUP_RESPONSES)
            .map(|(responses, failures)| failures / responses)
            .collect();
        ratios.sort_by(f64::total_cmp);
        let median = ratios.get((ratios.len().max(1) - 1) / 2).copied();
        let median = median.unwrap_or(0.0);
        let is_bad = counts.map(|(responses, failures)| {
            let deviation = (median * (1.0 - median) / responses.max(1.0)).sqrt();
            let limit = median + SOUND_DEVIATIONS * deviation + BAD_GROUP_INCREASE;
            responses >= MIN_GROUP_RESPONSES && failures / responses > limit
        });
        let of_bad = counts.iter().zip(&is_bad).filter(|(_, is_bad)| **is_bad);
        let bad: Vec<f64> = of_bad
            .map(|((responses, failures), _)| failures / responses)
            .collect();
        Self {
            is_bad,
            expectation: BadGroupExpectation::after(ratios.len() - bad.len(), &bad),
        }
    }

    /// Sums the responses and failures of the sound groups.
    pub(super) fn sound(&self, counts: &GroupCounts) -> (f64, f64) {
        let sound = counts.iter().zip(&self.is_bad);
        sound
            .filter(|(_, is_bad)| !**is_bad)
            .fold((0.0, 0.0), |sum, (count, _)| {
                (sum.0 + count.0, sum.1 + count.1)
            })
    }
}

/// Log-likelihoods of one group's responses: as a sound group of a version like the other one,
/// and with each of [`FAILURE_RATIOS`] in addition.
#[derive(Debug, Clone, Copy, Default)]
struct LogLikelihoods {
    responses: f64,
    like_other: f64,
    with_ratio: [f64; FAILURE_RATIOS.len()],
}

impl LogLikelihoods {
    /// Adds responses, of which `baseline` is the failure ratio at sound groups.
    fn add(&mut self, (responses, failures): (f64, f64), baseline: f64) {
        let log_likelihood =
            |failing: f64| failures * failing.ln() + (responses - failures) * (1.0 - failing).ln();
        self.responses += responses;
        self.like_other += log_likelihood(baseline);
        for (sum, ratio) in self.with_ratio.iter_mut().zip(FAILURE_RATIOS) {
            *sum += log_likelihood(baseline + (1.0 - baseline) * ratio);
        }
    }

    fn merge(&mut self, other: &Self) {
        self.responses += other.responses;
        self.like_other += other.like_other;
        for (sum, added) in self.with_ratio.iter_mut().zip(&other.with_ratio) {
            *sum += added;
        }
    }

    /// Log-likelihood of the responses at a group that is bad by itself.
    fn of_bad(&self, expectation: &BadGroupExpectation) -> f64 {
        let by_ratio = self.with_ratio.iter().zip(&expectation.ratios);
        log_sum(by_ratio.map(|(log, probability)| log + probability.ln()))
    }
}

/// Log-likelihood of a group's responses, if a fraction `bad` of all groups is bad by itself.
fn mixture(of_sound: f64, of_bad: f64, bad: f64) -> f64 {
    log_sum([of_sound + (1.0 - bad).ln(), of_bad + bad.ln()].into_iter())
}

/// Log-likelihoods of all groups' responses in one round.
#[derive(Debug, Clone, Default)]
struct Round {
    length: Duration,
    groups: [LogLikelihoods; GROUPS],
}

/// Responses of the target version on one route.
#[derive(Debug, Clone, Default)]
pub(super) struct FailureSpread {
    rounds: VecDeque<Round>,
    /// Responses of each group since the start of the rollout, and failures in excess of the
    /// baseline.
    excess: GroupCounts,
}

impl FailureSpread {
    /// Adds the responses of one round of the length `length`; `baseline` is the failure ratio of
    /// the other version's sound groups in the same time.
    pub(super) fn add_round(&mut self, target: &GroupCounts, baseline: f64, length: Duration) {
        let mut round = Round {
            length,
            ..Round::default()
        };
        for (group, counts) in round.groups.iter_mut().zip(target) {
            group.add(*counts, baseline);
        }
        for (sum, (responses, failures)) in self.excess.iter_mut().zip(target) {
            sum.0 += responses;
            sum.1 += failures - responses * baseline;
        }
        self.push(round);
    }

    /// Adds a round without a baseline, which is no evidence.
    pub(super) fn skip_round(&mut self, length: Duration) {
        self.push(Round {
            length,
            ..Round::default()
        });
    }

    fn push(&mut self, round: Round) {
        self.rounds.push_front(round);
        let longest = WINDOWS.into_iter().max().unwrap_or_default();
        let mut length = Duration::ZERO;
        self.rounds.retain(|round| {
            let is_recent = length < longest;
            length += round.length;
            is_recent
        });
    }

    /// Returns the highest log-likelihood ratio over all windows and failure ratios, of the sum of
    /// the responses in `routes`.
    pub(super) fn score<'a>(
        routes: impl IntoIterator<Item = &'a FailureSpread> + Clone,
        expectation: &BadGroupExpectation,
    ) -> f64 {
        let scores = WINDOWS.map(|window| {
            let groups = Self::sum(routes.clone(), window).into_iter();
            let with_responses = groups.filter(|group| group.responses > 0.0);
            score_of(&with_responses.collect::<Vec<_>>(), expectation)
        });
        scores.into_iter().fold(0.0, f64::max)
    }

    /// Returns the failures in `routes` in excess of the baseline since the start of the rollout,
    /// without those of the worst quarter of the groups.
    pub(super) fn spread_excess<'a>(routes: impl IntoIterator<Item = &'a FailureSpread>) -> f64 {
        let mut groups = GroupCounts::default();
        for route in routes {
            for (sum, (responses, excess)) in groups.iter_mut().zip(&route.excess) {
                sum.0 += responses;
                sum.1 += excess;
            }
        }
        let with_responses = groups.iter().filter(|(responses, _)| *responses > 0.0);
        let mut excess: Vec<f64> = with_responses.map(|(_, excess)| *excess).collect();
        excess.sort_by(f64::total_cmp);
        let kept = excess.len() - excess.len() / GROUPS_PER_OUTLIER;
        excess[..kept].iter().sum()
    }

    /// Sums the log-likelihoods of each group over the last `window`.
    fn sum<'a>(
        routes: impl IntoIterator<Item = &'a FailureSpread>,
        window: Duration,
    ) -> [LogLikelihoods; GROUPS] {
        let mut sum = [LogLikelihoods::default(); GROUPS];
        for route in routes {
            let mut length = Duration::ZERO;
            for round in route.rounds.iter().take_while(|round| {
                let is_inside = length < window;
                length += round.length;
                is_inside
            }) {
                for (sum, group) in sum.iter_mut().zip(&round.groups) {
                    sum.merge(group);
                }
            }
        }
        sum
    }
}

/// Returns the highest log-likelihood ratio over all failure ratios, of the groups with responses.
fn score_of(groups: &[LogLikelihoods], expectation: &BadGroupExpectation) -> f64 {
    let responses: f64 = groups.iter().map(|group| group.responses).sum();
    if responses >= MIN_RESPONSES && groups.len() < MIN_GROUPS {
        return score_without_bad_groups(groups);
    }
    let of_bad = groups.iter().map(|group| group.of_bad(expectation));
    let of_bad: Vec<f64> = of_bad.collect();
    let log_likelihood = |of_sound: &dyn Fn(&LogLikelihoods) -> f64| {
        let by_fraction = BAD_GROUP_FRACTIONS.iter().zip(&expectation.fractions);
        log_sum(by_fraction.map(|(bad, probability)| {
            let groups = groups.iter().zip(&of_bad);
            let sum: f64 = groups
                .map(|(group, of_bad)| mixture(of_sound(group), *of_bad, *bad))
                .sum();
            sum + probability.ln()
        }))
    };
    let like_other = log_likelihood(&|group| group.like_other);
    let with_ratio = (0..FAILURE_RATIOS.len())
        .map(|ratio| log_likelihood(&|group| group.with_ratio[ratio]) - like_other);
    with_ratio.fold(0.0, f64::max)
}

/// Returns the highest log-likelihood ratio over all failure ratios, if no group is bad by itself.
fn score_without_bad_groups(groups: &[LogLikelihoods]) -> f64 {
    let by_ratio = (0..FAILURE_RATIOS.len()).map(|ratio| {
        let groups = groups.iter();
        groups
            .map(|group| group.with_ratio[ratio] - group.like_other)
            .sum()
    });
    by_ratio.fold(0.0, f64::max)
}
