//! Whether the new version is worse than the one beside it.
//!
//! A sequential test (CUSUM, Page 1954) for each route: every answer of the new version
//! adds to a score by how much likelier it is from a bad version than from one like that
//! beside it, and a score never falls below zero, so that a version that turns bad late
//! is found as soon as one that was bad at once. What is usual comes from the other
//! version's answers of the last seconds: trouble that strikes both is no evidence.
//!
//! Measured are the share of failures and the share of slow answers, at several points of
//! the usual times: some versions are slow for all calls, some for a few.
//!
//! One bad back end is no bad version. The back ends of each version fall into groups, and
//! of failures the worst quarter of the groups counts for nothing, on both sides.

use super::evidence::{BACKEND_GROUPS, LATENCY_BUCKETS, ResponseCounts, VersionEvidence};
use crate::ids::{ResourceName, SoftwareVersion};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Score at which the version is bad: a good one reaches it once in thousands of answers.
const BAD_SCORE: f64 = 8.0;
/// Bad answers beyond the usual ones that callers are to bear, however much trouble there
/// is beside the version: in rough times the scores alone take long.
const MOST_EXCESS: f64 = 18.0;
/// Time in which what was seen loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Answers of the other version on a route before anything is compared with them.
const LEAST_BASELINE: f64 = 20.0;
/// Of so many groups that have answered, one counts for nothing.
const GROUPS_PER_OUTLIER: usize = 4;
/// Bad answers before a group may be left out.
const LEAST_OUTLIER: f64 = 1.5;
/// Failures that are usual before any was seen, and answers that they weigh as much as.
const PRIOR_FAILURES: f64 = 0.4;
const PRIOR_ANSWERS: f64 = 40.0;
/// A bad version fails at least so much larger a share of calls.
const WORSE_FAILURES: f64 = 0.1;
/// And at least so many times the usual share.
const WORSE_FAILURES_RATIO: f64 = 2.0;
/// Points of the usual times, as shares of answers that take longer.
const TAILS: [f64; 3] = [0.5, 0.2, 0.05];
/// By how much larger a share of answers beyond each of them a bad version has at least.
const WORSE_TIMES: [f64; 3] = [0.2, 0.15, 0.08];
/// The one of them that few usual answers reach.
const LONGEST_TAIL: usize = TAILS.len() - 1;
/// Part of a tail that a good version may have beyond the allowed steps.
const STILL_USUAL: f64 = 0.25;
/// Steps of time by which a good version may be slower than the other one: back ends of
/// one service differ in speed, and the new ones run few calls. Two are a factor of two.
const ALLOWED_STEPS: usize = 2;
/// Largest share that is taken for usual, so that the scores stay finite.
const MOST_USUAL: f64 = 0.75;

/// What is compared: failures, and one for each of the tails.
const MEASURES: usize = 1 + TAILS.len();
/// The measure of failures; that of tail `n` is `1 + n`.
const FAILURES: usize = 0;

/// Why a version is bad: the inputs of the verdict.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionRegression {
    /// The route on which it shows.
    pub route: ResourceName,
    /// What shows.
    pub symptom: Symptom,
    /// The score, or the bad answers beyond the usual ones.
    pub score: f64,
    /// Answers and failures of the new version on the route.
    pub answers: u32,
    /// Of these, failures.
    pub failures: u32,
}

/// In what a version is worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Symptom {
    /// More of its answers are failures.
    Failures,
    /// More of its answers are slow.
    Slow,
    /// More of its answers are failures or slow, all together.
    Excess,
}

impl fmt::Display for VersionRegression {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let symptom = match self.symptom {
            Symptom::Failures => "failures",
            Symptom::Slow => "slow answers",
            Symptom::Excess => "failures and slow answers",
        };
        write!(
            formatter,
            "{symptom} on route {}: score {:.1}, {} of {} answers failed",
            self.route, self.score, self.failures, self.answers
        )
    }
}

/// Answers of a group of back ends, those of the last seconds weighing most.
#[derive(Debug, Clone, Default)]
struct Recent {
    answers: f64,
    failures: f64,
    times: [f64; LATENCY_BUCKETS],
}

impl Recent {
    fn fade(&mut self, passed: Duration) {
        let left = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.answers *= left;
        self.failures *= left;
        for time in &mut self.times {
            *time *= left;
        }
    }

    fn add(&mut self, counts: &ResponseCounts) {
        self.answers += f64::from(counts.responses);
        self.failures += f64::from(counts.failures);
        for (sum, count) in self.times.iter_mut().zip(&counts.latency_histogram) {
            *sum += f64::from(*count);
        }
    }

    fn merge(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        for (sum, count) in self.times.iter_mut().zip(&other.times) {
            *sum += count;
        }
    }

    /// Bad answers by a measure, and all that it looks at; `slow` from that step on.
    fn bad(&self, measure: usize, slow: usize) -> (f64, f64) {
        match measure {
            FAILURES => (self.failures, self.answers),
            _ => (self.times[slow..].iter().sum(), self.times.iter().sum()),
        }
    }

    /// The first step that at most `tail` of the answers reach.
    fn tail(&self, tail: f64) -> usize {
        let total: f64 = self.times.iter().sum();
        let mut above = total;
        for (step, count) in self.times.iter().enumerate() {
            if above <= tail * total {
                return step;
            }
            above -= count;
        }
        LATENCY_BUCKETS
    }
}

/// One version's answers on a route, by group.
#[derive(Debug, Clone, Default)]
struct ByGroup([Recent; BACKEND_GROUPS as usize]);

impl ByGroup {
    fn group(&mut self, group: u8) -> &mut Recent {
        &mut self.0[usize::from(group % BACKEND_GROUPS)]
    }

    fn all(&self) -> Recent {
        let mut sum = Recent::default();
        for group in &self.0 {
            sum.merge(group);
        }
        sum
    }

    /// Groups that may be left out.
    fn most_outliers(&self) -> usize {
        let seen = self.0.iter().filter(|group| group.answers > 0.0);
        seen.count() / GROUPS_PER_OUTLIER
    }

    /// Groups that count for nothing by a measure: those with most bad answers.
    fn outliers(
        &self,
        measure: usize,
        slow: usize,
        most: usize,
    ) -> [bool; BACKEND_GROUPS as usize] {
        let mut worst: Vec<(f64, usize)> = self
            .0
            .iter()
            .enumerate()
            .map(|(index, group)| (group.bad(measure, slow).0, index))
            .filter(|(bad, _)| *bad >= LEAST_OUTLIER)
            .collect();
        worst.sort_by(|left, right| right.0.total_cmp(&left.0));
        let mut outliers = [false; BACKEND_GROUPS as usize];
        for (_, index) in worst.iter().take(most) {
            outliers[*index] = true;
        }
        outliers
    }

    /// Bad answers and all answers, without those of `outliers`.
    fn bad_without(
        &self,
        outliers: &[bool; BACKEND_GROUPS as usize],
        measure: usize,
        slow: usize,
    ) -> (f64, f64) {
        let kept = self.0.iter().zip(outliers).filter(|(_, out)| !**out);
        kept.map(|(group, _)| group.bad(measure, slow))
            .fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

/// What is known of one route.
#[derive(Debug, Clone, Default)]
struct RouteEvaluator {
    other: ByGroup,
    target: ByGroup,
    /// Answers of this round.
    other_round: ByGroup,
    target_round: ByGroup,
    scores: [f64; MEASURES],
    /// Bad answers beyond those that the other version would have given.
    excess: f64,
    answers: u32,
    failures: u32,
}

impl RouteEvaluator {
    fn fade(&mut self, passed: Duration) {
        for group in self.other.0.iter_mut().chain(&mut self.target.0) {
            group.fade(passed);
        }
    }

    fn take(&mut self, group: u8, counts: &ResponseCounts, of_target: bool) {
        if of_target {
            self.answers = self.answers.saturating_add(counts.responses);
            self.failures = self.failures.saturating_add(counts.failures);
            self.target_round.group(group).add(counts);
        } else {
            self.other_round.group(group).add(counts);
        }
    }

    /// Judges the answers of this round by what was seen before and beside them.
    fn end_round(&mut self) {
        let other_round = std::mem::take(&mut self.other_round);
        let target_round = std::mem::take(&mut self.target_round);
        for (sum, round) in self.other.0.iter_mut().zip(&other_round.0) {
            sum.merge(round);
        }
        let usual = self.other.all();
        if usual.answers >= LEAST_BASELINE {
            self.judge(FAILURES, 0, &other_round, &target_round);
            for (index, tail) in TAILS.into_iter().enumerate() {
                let slow = (usual.tail(tail) + ALLOWED_STEPS).min(LATENCY_BUCKETS);
                self.judge(1 + index, slow, &other_round, &target_round);
            }
        }
        for (sum, round) in self.target.0.iter_mut().zip(&target_round.0) {
            sum.merge(round);
        }
    }

    fn judge(&mut self, measure: usize, slow: usize, other: &ByGroup, target: &ByGroup) {
        // Speeds differ among sound back ends too; only failures tell bad ones.
        let most = match measure {
            FAILURES => self.target.most_outliers(),
            _ => 0,
        };
        let left_out = self.target.outliers(measure, slow, most);
        let (bad, answers) = target.bad_without(&left_out, measure, slow);
        if answers <= 0.0 {
            return;
        }
        // As many on both sides: bad back ends of the new version show only after a while.
        let most = left_out.iter().filter(|out| **out).count();
        let left_out = self.other.outliers(measure, slow, most);
        let (usual_bad, usual_answers) = self.other.bad_without(&left_out, measure, slow);
        let (bad_now, answers_now) = other.bad_without(&left_out, measure, slow);
        let recent = match measure {
            FAILURES => (usual_bad + PRIOR_FAILURES) / (usual_answers + PRIOR_ANSWERS),
            _ => (usual_bad / usual_answers.max(1.0)).max(TAILS[measure - 1] * STILL_USUAL),
        };
        let at_present = match answers_now >= LEAST_BASELINE {
            true => bad_now / answers_now,
            false => recent,
        };
        if measure == FAILURES || measure == 1 + LONGEST_TAIL {
            self.excess += bad - answers * at_present;
        }
        // A wave that strikes both versions may have begun a moment ago.
        let usual = recent.max(at_present).min(MOST_USUAL);
        let worse = match measure {
            FAILURES => (usual + WORSE_FAILURES).max(usual * WORSE_FAILURES_RATIO),
            _ => usual + WORSE_TIMES[measure - 1],
        };
        let worse = worse.min(0.5 + usual / 2.0);
        let for_bad = (worse / usual).ln();
        let for_good = ((1.0 - worse) / (1.0 - usual)).ln();
        let score = &mut self.scores[measure];
        *score = (*score + bad * for_bad + (answers - bad) * for_good).max(0.0);
    }

    fn regression(&self, route: &ResourceName) -> Option<VersionRegression> {
        let mut scores = self.scores.iter().copied().enumerate();
        let (measure, score) = scores.find(|(_, score)| *score >= BAD_SCORE)?;
        let symptom = match measure {
            FAILURES => Symptom::Failures,
            _ => Symptom::Slow,
        };
        Some(self.regression_by(route, symptom, score))
    }

    fn regression_by(
        &self,
        route: &ResourceName,
        symptom: Symptom,
        score: f64,
    ) -> VersionRegression {
        VersionRegression {
            route: route.clone(),
            symptom,
            score,
            answers: self.answers,
            failures: self.failures,
        }
    }
}

/// Judges one version against the other one, from what the fleet has seen of both.
#[derive(Debug, Clone)]
pub struct VersionEvaluator {
    target: SoftwareVersion,
    routes: BTreeMap<ResourceName, RouteEvaluator>,
    /// Answers of all versions, and of the target.
    answers: u64,
    target_answers: u64,
}

impl VersionEvaluator {
    /// Judges `target`; nothing is known of it yet.
    pub fn new(target: SoftwareVersion) -> Self {
        Self {
            target,
            routes: BTreeMap::new(),
            answers: 0,
            target_answers: 0,
        }
    }

    /// Takes what has been counted since the last round, which was `passed` ago.
    pub fn take(&mut self, round: &[VersionEvidence], passed: Duration) {
        for judge in self.routes.values_mut() {
            judge.fade(passed);
        }
        for seen in round {
            let of_target = seen.version == self.target;
            let answers = u64::from(seen.counts.responses);
            self.answers += answers;
            self.target_answers += if of_target { answers } else { 0 };
            let judge = self.routes.entry(seen.route.clone()).or_default();
            judge.take(seen.group, &seen.counts, of_target);
        }
        for judge in self.routes.values_mut() {
            judge.end_round();
        }
    }

    /// Why the version is bad; none while it is not known to be.
    pub fn regression(&self) -> Option<VersionRegression> {
        let mut routes = self.routes.iter();
        let by_score = routes.find_map(|(route, judge)| judge.regression(route));
        by_score.or_else(|| self.excess_regression())
    }

    fn excess_regression(&self) -> Option<VersionRegression> {
        let excess: f64 = self.routes.values().map(|judge| judge.excess).sum();
        let routes = self.routes.iter();
        let worst = routes.max_by(|left, right| left.1.excess.total_cmp(&right.1.excess));
        let (route, judge) = worst.filter(|_| excess >= MOST_EXCESS)?;
        Some(judge.regression_by(route, Symptom::Excess, excess))
    }

    /// Answers of all versions, and of the new one, so far.
    pub fn answers(&self) -> (u64, u64) {
        (self.answers, self.target_answers)
    }
}
