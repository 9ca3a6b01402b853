//! Verdicts on versions: false alarms on good ones, time and bad answers until a bad one is
//! found. The sequential test is compared with fixed windows on the same answers.

use rampthread_core::ids::{NodeId, ResourceName, SoftwareVersion};
use rampthread_core::rollout::evaluation::VersionEvaluator;
use rampthread_core::rollout::evidence::{
    LATENCY_BUCKETS, ResponseCounts, ResponseOutcome, VersionEvidence, backend_group,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

const ROUND: Duration = Duration::from_millis(400);
const LENGTH: Duration = Duration::from_secs(14);
/// Back ends of each version.
const BACK_ENDS: usize = 22;
/// Answers a second of the service.
const RATE: f64 = 600.0;
/// Share of them that the new version gives.
const SHARE: f64 = 0.04;

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::new(text).unwrap()
}

/// How the new version differs from the other one.
#[derive(Debug, Clone, Copy)]
struct Version {
    /// Share of its answers that fail, from `from` on.
    fails: f64,
    /// Share of its answers that are slow, from `from` on.
    slow_share: f64,
    /// How many times slower these are.
    slow: f64,
    from: Duration,
    /// On one route of two only.
    one_route: bool,
}

const GOOD: Version = Version {
    fails: 0.0,
    slow_share: 0.0,
    slow: 1.0,
    from: Duration::ZERO,
    one_route: false,
};

/// What strikes both versions alike.
#[derive(Debug, Clone, Copy)]
struct Trouble {
    /// Back ends of 100 that fail part of their answers.
    grey_percent: usize,
    /// Share of all answers that fail in waves of a second.
    wave: f64,
    /// How much queues lengthen times, at most.
    queue: f64,
}

const CALM: Trouble = Trouble {
    grey_percent: 0,
    wave: 0.0,
    queue: 0.3,
};
const ROUGH: Trouble = Trouble {
    grey_percent: 14,
    wave: 0.3,
    queue: 4.0,
};

struct World {
    rng: ChaCha8Rng,
    new: Version,
    trouble: Trouble,
    speeds: Vec<f64>,
    grey: Vec<bool>,
}

impl World {
    fn new(seed: u64, new: Version, trouble: Trouble) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let speeds = (0..2 * BACK_ENDS)
            .map(|_| rng.random_range(0.65..1.55))
            .collect();
        let grey = (0..2 * BACK_ENDS)
            .map(|_| rng.random_range(0..100) < trouble.grey_percent)
            .collect();
        Self {
            rng,
            new,
            trouble,
            speeds,
            grey,
        }
    }

    /// One round of evidence, and the bad answers among those of the new version.
    fn round(&mut self, at: Duration) -> (Vec<VersionEvidence>, u32) {
        let mut rows: BTreeMap<(bool, u8, usize), ResponseCounts> = BTreeMap::new();
        let mut bad = 0;
        let in_wave = at.as_secs() % 4 == 2;
        let answers = (RATE * ROUND.as_secs_f64()) as usize;
        for _ in 0..answers {
            let new = self.rng.random_bool(SHARE);
            let route = usize::from(self.rng.random_bool(0.4));
            let back_end = self.rng.random_range(0..BACK_ENDS) + usize::from(new) * BACK_ENDS;
            let (answer, was_bad) = self.answer(new, route, back_end, at, in_wave);
            bad += u32::from(was_bad);
            let node = NodeId::new(&format!("node-{back_end}")).unwrap();
            rows.entry((new, backend_group(&node), route))
                .or_default()
                .record(answer);
        }
        let evidence = rows
            .into_iter()
            .map(|((new, group, route), counts)| VersionEvidence {
                service: ResourceName::new("shop").unwrap(),
                order: 1,
                version: version(if new { "v2" } else { "v1" }),
                group,
                route: ResourceName::new(&format!("route-{route}")).unwrap(),
                counts,
            });
        (evidence.collect(), bad)
    }

    fn answer(
        &mut self,
        new: bool,
        route: usize,
        back_end: usize,
        at: Duration,
        in_wave: bool,
    ) -> (ResponseOutcome, bool) {
        let struck = new && at >= self.new.from && (!self.new.one_route || route == 0);
        let grey = self.grey[back_end] && self.rng.random_bool(0.45);
        let wave = in_wave && self.rng.random_bool(self.trouble.wave);
        let own = struck && self.rng.random_bool(self.new.fails);
        if grey || wave || own {
            return (ResponseOutcome::Failure, own);
        }
        let slow = struck && self.rng.random_bool(self.new.slow_share);
        let queue =
            1.0 + self.rng.random_range(0.0..=self.trouble.queue) * self.rng.random::<f64>();
        let factor = if slow { self.new.slow } else { 1.0 };
        let work = 220.0 * self.rng.random_range(0.7..1.3) * self.speeds[back_end];
        let time = Duration::from_secs_f64(work * queue * factor / 1_000.0);
        (ResponseOutcome::Success(time), slow)
    }
}

/// A way to judge.
trait Judge {
    fn take(&mut self, round: &[VersionEvidence]);
    fn is_bad(&self) -> bool;
}

struct Sequential(VersionEvaluator);

impl Judge for Sequential {
    fn take(&mut self, round: &[VersionEvidence]) {
        self.0.take(round, ROUND);
    }

    fn is_bad(&self) -> bool {
        self.0.regression().is_some()
    }
}

/// Windows of two seconds: failures, and answers above twice the other version's 95th
/// percentile, as two proportions with a z-test.
#[derive(Default)]
struct FixedWindows {
    rounds: u32,
    counts: BTreeMap<(ResourceName, bool), ResponseCounts>,
    bad: bool,
}

const WINDOW_ROUNDS: u32 = 5;
const LEAST_ANSWERS: u32 = 20;
const Z_BAD: f64 = 4.0;

impl Judge for FixedWindows {
    fn take(&mut self, round: &[VersionEvidence]) {
        for seen in round {
            let key = (seen.route.clone(), seen.version == version("v2"));
            self.counts.entry(key).or_default().add(&seen.counts);
        }
        self.rounds += 1;
        if self.rounds.is_multiple_of(WINDOW_ROUNDS) {
            let counts = std::mem::take(&mut self.counts);
            for ((route, is_new), new) in counts.iter().filter(|((_, is_new), _)| *is_new) {
                let other = counts.get(&(route.clone(), !is_new));
                self.bad |= other.is_some_and(|other| is_worse(new, other));
            }
        }
    }

    fn is_bad(&self) -> bool {
        self.bad
    }
}

fn is_worse(new: &ResponseCounts, other: &ResponseCounts) -> bool {
    if new.responses < LEAST_ANSWERS {
        return false;
    }
    let mut above: u32 = other.latency_histogram.iter().sum();
    let least = above / 20;
    let mut step = 0;
    while step < LATENCY_BUCKETS && above > least {
        above -= other.latency_histogram[step];
        step += 1;
    }
    let slow = |counts: &ResponseCounts| {
        counts.latency_histogram[(step + 2).min(LATENCY_BUCKETS)..]
            .iter()
            .sum::<u32>()
    };
    let fails = z(new.failures, new.responses, other.failures, other.responses);
    let lates = z(slow(new), new.responses, slow(other), other.responses);
    fails > Z_BAD || lates > Z_BAD
}

fn z(bad: u32, answers: u32, other_bad: u32, other_answers: u32) -> f64 {
    let (n, m) = (f64::from(answers), f64::from(other_answers.max(1)));
    let pooled = (f64::from(bad + other_bad) + 1.0) / (n + m + 2.0);
    let spread = (pooled * (1.0 - pooled) * (1.0 / n + 1.0 / m)).sqrt();
    (f64::from(bad) / n - f64::from(other_bad) / m) / spread
}

/// Bad answers that start the operators' clock, and the time left then.
const CLOCK_STARTS_AT: u32 = 50;
const ROLL_BACK: Duration = Duration::from_secs(5);
/// Time until all entries know.
const TELLING: Duration = Duration::from_secs(1);

/// What became of one version.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    /// Since it turned bad.
    found_after: Option<Duration>,
    bad_answers: u32,
    /// When it had given as many bad answers as start the operators' clock.
    clock_started: Option<Duration>,
    /// When it was found.
    found_at: Option<Duration>,
}

fn play(seed: u64, new: Version, trouble: Trouble, judge: &mut dyn Judge) -> Outcome {
    let mut world = World::new(seed, new, trouble);
    let mut at = Duration::ZERO;
    let mut bad_answers = 0;
    let mut clock_started = None;
    while at < LENGTH {
        let (round, bad) = world.round(at);
        at += ROUND;
        bad_answers += bad;
        if bad_answers >= CLOCK_STARTS_AT {
            clock_started.get_or_insert(at);
        }
        judge.take(&round);
        if judge.is_bad() {
            let found_after = Some(at.saturating_sub(new.from));
            return Outcome {
                found_after,
                bad_answers,
                clock_started,
                found_at: Some(at),
            };
        }
    }
    Outcome {
        found_after: None,
        bad_answers,
        clock_started,
        found_at: None,
    }
}

fn sequential() -> Box<dyn Judge> {
    Box::new(Sequential(VersionEvaluator::new(version("v2"))))
}

fn fixed_windows() -> Box<dyn Judge> {
    Box::<FixedWindows>::default()
}

fn outcomes(
    new: Version,
    trouble: Trouble,
    seeds: u64,
    judge: fn() -> Box<dyn Judge>,
) -> Vec<Outcome> {
    (0..seeds)
        .map(|seed| play(seed, new, trouble, judge().as_mut()))
        .collect()
}

#[rstest]
#[case::calm(CALM)]
#[case::rough(ROUGH)]
fn good_versions_have_no_regression_detected(#[case] trouble: Trouble) {
    let all = outcomes(GOOD, trouble, 300, sequential);
    let alarms = all.iter().filter(|one| one.found_after.is_some()).count();
    assert!(alarms <= 3, "{alarms} of 300 good versions were found bad");
}

/// The operators' bound: 50 bad answers, and 5 s after them.
#[rstest]
#[case::fails_at_once(Version { fails: 0.3, ..GOOD })]
#[case::fails_seldom(Version { fails: 0.15, ..GOOD })]
#[case::fails_late(Version { fails: 0.3, from: Duration::from_secs(6), ..GOOD })]
#[case::fails_on_one_route(Version { fails: 0.4, one_route: true, ..GOOD })]
#[case::slow(Version { slow_share: 1.0, slow: 4.0, ..GOOD })]
#[case::slow_in_part(Version { slow_share: 0.4, slow: 4.0, ..GOOD })]
#[case::slow_late(Version { slow_share: 0.5, slow: 4.0, from: Duration::from_secs(6), ..GOOD })]
fn regressions_are_detected_in_time(#[case] new: Version, #[values(CALM, ROUGH)] trouble: Trouble) {
    let all = outcomes(new, trouble, 60, sequential);
    let late = |one: &&Outcome| {
        let Some(started) = one.clock_started else {
            return false;
        };
        one.found_at
            .is_none_or(|found| found > started + ROLL_BACK - TELLING)
    };
    let late = all.iter().filter(late).count();
    assert!(late == 0, "{late} of 60 were found too late");
    let missed = all.iter().filter(|one| one.found_at.is_none()).count();
    println!("{missed} of 60 not found, none of them with {CLOCK_STARTS_AT} bad answers");
}

/// Prints the figures of both ways: `--nocapture --ignored`.
#[test]
#[ignore = "a table for the design note"]
fn table_of_both_methods() {
    let kinds = [
        ("good", GOOD),
        ("fails 30%", Version { fails: 0.3, ..GOOD }),
        (
            "fails 15%",
            Version {
                fails: 0.15,
                ..GOOD
            },
        ),
        (
            "fails 30%, late",
            Version {
                fails: 0.3,
                from: Duration::from_secs(6),
                ..GOOD
            },
        ),
        (
            "fails 40%, one route",
            Version {
                fails: 0.4,
                one_route: true,
                ..GOOD
            },
        ),
        (
            "slow x4",
            Version {
                slow_share: 1.0,
                slow: 4.0,
                ..GOOD
            },
        ),
        (
            "slow x4, 40%",
            Version {
                slow_share: 0.4,
                slow: 4.0,
                ..GOOD
            },
        ),
        (
            "slow x4, 50%, late",
            Version {
                slow_share: 0.5,
                slow: 4.0,
                from: Duration::from_secs(6),
                ..GOOD
            },
        ),
    ];
    for (trouble_name, trouble) in [("calm", CALM), ("rough", ROUGH)] {
        for (name, new) in kinds {
            for (way, judge) in [
                ("sequential", sequential as fn() -> Box<dyn Judge>),
                ("windows", fixed_windows),
            ] {
                let all = outcomes(new, trouble, 300, judge);
                let mut times: Vec<Duration> =
                    all.iter().filter_map(|one| one.found_after).collect();
                times.sort();
                let mean = all.iter().map(|one| one.bad_answers).sum::<u32>() / 300;
                let at = |share: f64| times.get((times.len() as f64 * share) as usize).copied();
                println!(
                    "{trouble_name} | {name} | {way} | found {} of 300 | median {:?} | p95 {:?} | bad answers {mean}",
                    times.len(),
                    at(0.5),
                    at(0.95)
                );
            }
        }
    }
}
