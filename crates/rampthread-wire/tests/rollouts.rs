//! Roll-outs in a fleet in memory: what callers get of a version under judgement, and what
//! becomes of the roll-out, with nodes that end, a store that is away, and lossy messages.

mod fleet;

use fleet::Fleet;
use rampthread_core::ids::{NodeId, ResourceName, SoftwareVersion};
use rampthread_core::rollout::evidence::{EvidenceRecorder, ResponseOutcome, ResponseSource};
use rampthread_core::rollout::{ExposureLimiter, Phase, RolloutBounds, RolloutOrder, VersionShare};
use rampthread_core::time::Moment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const NODES: usize = 24;
const ZONES: usize = 3;
const STEP: Duration = Duration::from_millis(100);
const DURATION: Duration = Duration::from_secs(12);
const BOUNDS: RolloutBounds = RolloutBounds {
    exposure_share: 0.1,
    exposure_slack_calls: 50.0,
    rollback_deadline: Duration::from_secs(5),
};

fn name(text: &str) -> ResourceName {
    ResourceName::new(text).unwrap()
}

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::new(text).unwrap()
}

/// A fleet whose even nodes stand beside back ends of the old version, and whose odd ones
/// beside those of the new one. Callers call from every node.
struct Play {
    fleet: Fleet,
    rng: ChaCha8Rng,
    /// Share of the new version's answers that fail.
    fails: f64,
    /// Since when.
    fails_from: Duration,
    /// Calls of each node in a step, at most.
    calls: usize,
    began: Moment,
    meters: BTreeMap<usize, ExposureLimiter>,
    books: BTreeMap<usize, EvidenceRecorder>,
    total: u64,
    target: u64,
    bad: u64,
    /// When the 50th bad answer came.
    clock_started: Option<Moment>,
    /// Calls to the new version later than the bound after that.
    too_late: u64,
    /// The latest phase that each node has known in this life.
    phases: BTreeMap<usize, Phase>,
    /// Nodes that peers and the store do not reach.
    out_of_touch: BTreeSet<usize>,
}

impl Play {
    fn new(seed: u64, fails: f64) -> Self {
        let mut fleet = Fleet::new(NODES, ZONES, seed);
        fleet.roll_out_bounds = Some(BOUNDS);
        for index in 0..NODES {
            let of = if index % 2 == 0 { "v1" } else { "v2" };
            fleet.versions.insert(index, version(of));
        }
        fleet.start_all();
        fleet.run(Duration::from_secs(8));
        Self {
            began: fleet.now,
            fleet,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fails,
            fails_from: Duration::ZERO,
            calls: 5,
            meters: BTreeMap::new(),
            books: BTreeMap::new(),
            total: 0,
            target: 0,
            bad: 0,
            clock_started: None,
            too_late: 0,
            phases: BTreeMap::new(),
            out_of_touch: BTreeSet::new(),
        }
    }

    fn order(&mut self) {
        self.began = self.fleet.now;
        self.fleet.write_order(RolloutOrder {
            service: name("shop"),
            order: 100,
            target: version("v2"),
            duration: DURATION,
        });
    }

    fn elapsed(&self) -> Duration {
        self.fleet.now.since(self.began)
    }

    fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            for index in self.fleet.running() {
                if !self.fleet.frozen.contains(&index) {
                    let calls = self.rng.random_range(0..=self.calls);
                    (0..calls).for_each(|_| self.call(index));
                    self.tell(index);
                    self.note_phase(index);
                }
            }
            self.fleet.run(STEP);
        }
    }

    /// One call of the node's callers, as an entry places it.
    fn call(&mut self, index: usize) {
        let now = self.fleet.now;
        let rules = self.fleet.agent(index).version_rules(now);
        let Some(rule) = rules.get(&name("shop")) else {
            self.total += 1;
            return;
        };
        let chance = self.rng.random();
        let new = || ExposureLimiter::new(rule.order, BOUNDS.exposure_slack_calls, NODES, chance);
        let meter = self.meters.entry(index).or_insert_with(new);
        let to_target = match rule.share {
            VersionShare::Preferred => true,
            VersionShare::Limited { .. } if meter.may_send() => {
                meter.on_sent();
                true
            }
            _ => false,
        };
        if let VersionShare::Limited { permille, .. } = rule.share {
            meter.on_response(permille);
        }
        let in_time = now.since(self.began) <= DURATION;
        self.total += u64::from(in_time);
        self.target += u64::from(in_time && to_target);
        let is_bad = self.elapsed() >= self.fails_from && self.rng.random_bool(self.fails);
        let failed = to_target && is_bad;
        self.note_bad(failed, to_target, index);
        if !rule.collects_evidence() {
            return;
        }
        let at = self.rng.random_range(0..NODES / 2) * 2 + usize::from(to_target);
        let node = NodeId::new(&format!("back-end-{at}")).unwrap();
        let took = Duration::from_millis(self.rng.random_range(60..140));
        let answer = if failed {
            ResponseOutcome::Failure
        } else {
            ResponseOutcome::Success(took)
        };
        let place = ResponseSource {
            service: &name("shop"),
            order: rule.order,
            version: &version(if to_target { "v2" } else { "v1" }),
            node: &node,
            route: &name("r"),
        };
        self.books.entry(index).or_default().record(place, answer);
    }

    fn note_bad(&mut self, failed: bool, to_target: bool, index: usize) {
        let now = self.fleet.now;
        self.bad += u64::from(failed);
        if self.bad >= 50 {
            self.clock_started.get_or_insert(now);
        }
        let late = self
            .clock_started
            .is_some_and(|at| now.since(at) > BOUNDS.rollback_deadline);
        if late && to_target && !self.out_of_touch.contains(&index) {
            self.too_late += 1;
        }
    }

    fn tell(&mut self, index: usize) {
        if let Some(book) = self.books.get(&index) {
            let evidence = book.all();
            self.fleet.record_version_evidence(index, evidence);
        }
    }

    fn note_phase(&mut self, index: usize) {
        let states = self.fleet.agent(index).rollouts(self.fleet.now);
        let Some(state) = states.first() else {
            return;
        };
        let known = self.phases.entry(index).or_insert(state.phase);
        assert!(
            state.phase >= *known,
            "node {index} went back to {:?}",
            state.phase
        );
        *known = state.phase;
    }

    fn kill(&mut self, index: usize) {
        self.fleet.kill(index);
        self.meters.remove(&index);
        self.books.remove(&index);
        self.phases.remove(&index);
    }

    fn decider(&self) -> Option<usize> {
        let now = self.fleet.now;
        let running = self.fleet.running().into_iter();
        running
            .filter(|index| !self.fleet.frozen.contains(index))
            .find(|index| self.fleet.agent(*index).is_rollout_decider(now))
    }

    fn phase(&self) -> Option<Phase> {
        self.fleet.roll_outs.phase()
    }

    fn all_know(&self, phase: Phase) -> bool {
        let running = self.fleet.running().into_iter();
        running
            .filter(|index| !self.out_of_touch.contains(index))
            .all(|index| {
                let states = self.fleet.agent(index).rollouts(self.fleet.now);
                states.first().is_some_and(|state| state.phase == phase)
            })
    }

    fn check_exposure(&self) {
        let allowed = self.total as f64 * BOUNDS.exposure_share + BOUNDS.exposure_slack_calls;
        let (target, total) = (self.target, self.total);
        assert!(
            target as f64 <= allowed,
            "{target} of {total} calls went to the new version"
        );
        assert_eq!(
            self.too_late, 0,
            "calls later than the bound after the 50th bad answer"
        );
    }

    /// A state on record never goes back, and ends once.
    fn check_records(&self) {
        let written = &self.fleet.roll_outs.written;
        assert!(
            written.is_sorted_by_key(|(order, phase, _)| (*order, *phase)),
            "{written:?}"
        );
        let ends: BTreeSet<Phase> = written
            .iter()
            .map(|(_, phase, _)| *phase)
            .filter(|phase| phase.is_ended())
            .collect();
        assert!(ends.len() <= 1, "{written:?}");
    }

    fn succeeded_in_time(&self) -> bool {
        let written = self.fleet.roll_outs.written.iter();
        written
            .filter(|(_, phase, _)| *phase == Phase::Succeeded)
            .any(|(_, _, at)| at.since(self.began) <= DURATION)
    }
}

#[rstest]
fn a_good_version_takes_over_before_the_deadline(#[values(1, 2, 3)] seed: u64) {
    let mut play = Play::new(seed, 0.0);
    play.order();
    play.run(DURATION + Duration::from_secs(1));
    assert!(
        play.succeeded_in_time(),
        "{:?}",
        play.fleet.roll_outs.written
    );
    assert!(play.all_know(Phase::Succeeded));
    play.check_records();
    // Nobody knew that it was good: the bound holds for it as well.
    play.check_exposure();
}

#[rstest]
#[case::at_once(0.3, 0)]
#[case::seldom(0.15, 0)]
#[case::all(1.0, 0)]
#[case::late(0.4, 7)]
fn a_bad_version_is_rolled_back_everywhere(
    #[case] fails: f64,
    #[case] from: u64,
    #[values(0, 30)] loss_percent: u32,
    #[values(1, 2)] seed: u64,
) {
    let mut play = Play::new(seed, fails);
    play.fails_from = Duration::from_secs(from);
    play.fleet.loss_percent = loss_percent;
    play.order();
    play.run(DURATION + Duration::from_secs(1));
    assert_eq!(play.phase(), Some(Phase::RolledBack));
    assert!(play.all_know(Phase::RolledBack));
    play.check_records();
    play.check_exposure();
}

#[rstest]
#[case::good(0.0, Phase::Succeeded)]
#[case::bad(0.5, Phase::RolledBack)]
fn another_node_goes_on_when_the_decider_ends(
    #[case] fails: f64,
    #[case] end: Phase,
    #[values(800, 2_000, 10_600)] at_ms: u64,
    #[values(1, 2)] seed: u64,
) {
    let mut play = Play::new(seed, fails);
    play.fails_from = Duration::from_secs(3);
    play.order();
    play.run(Duration::from_millis(at_ms));
    if let Some(decider) = play.decider() {
        play.kill(decider);
    }
    play.run(DURATION + Duration::from_secs(8));
    assert_eq!(play.phase(), Some(end));
    assert!(play.all_know(end));
    play.check_records();
    assert_eq!(play.too_late, 0);
}

#[rstest]
fn a_decider_that_wakes_late_changes_nothing(#[values(1, 2, 3)] seed: u64) {
    let mut play = Play::new(seed, 0.0);
    play.order();
    play.run(Duration::from_secs(3));
    let first = play.decider().expect("somebody decides");
    play.fleet.frozen.insert(first);
    play.run(DURATION);
    assert_eq!(play.phase(), Some(Phase::Succeeded));
    play.fails = 1.0;
    play.fleet.frozen.remove(&first);
    play.run(Duration::from_secs(4));
    assert_eq!(play.phase(), Some(Phase::Succeeded));
    assert!(play.all_know(Phase::Succeeded));
    play.check_records();
}

#[rstest]
#[case::good(0.0, Phase::Succeeded)]
#[case::bad(0.5, Phase::RolledBack)]
fn a_store_that_is_away_only_delays_the_end(
    #[case] fails: f64,
    #[case] end: Phase,
    #[values(1, 2)] seed: u64,
) {
    let mut play = Play::new(seed, fails);
    play.order();
    play.run(Duration::from_millis(600));
    play.fleet.roll_outs.refused = (0..NODES).collect();
    play.run(Duration::from_secs(6));
    let target = play.target;
    play.run(Duration::from_secs(3));
    assert_eq!(
        play.target, target,
        "nobody decides, and the version gets calls"
    );
    play.fleet.roll_outs.refused.clear();
    play.run(DURATION);
    assert_eq!(play.phase(), Some(end));
    play.check_records();
    assert_eq!(play.too_late, 0);
}

#[rstest]
fn a_store_that_is_away_at_the_move_only_delays_the_end(#[values(1, 2, 3)] seed: u64) {
    let mut play = Play::new(seed, 0.0);
    play.order();
    play.run(Duration::from_millis(11_350));
    play.fleet.roll_outs.refused = (0..NODES).collect();
    play.run(Duration::from_millis(4_500));
    let calls = play.fleet.roll_outs.calls;
    play.fleet.roll_outs.refused.clear();
    play.run(Duration::from_secs(8));
    assert_eq!(play.phase(), Some(Phase::Succeeded));
    assert!(play.all_know(Phase::Succeeded));
    assert!(calls < 120, "{calls} calls");
    play.check_records();
}

#[rstest]
fn a_cut_off_zone_stops_by_itself(#[values(1, 2)] seed: u64) {
    let mut play = Play::new(seed, 0.3);
    play.order();
    play.run(Duration::from_secs(1));
    play.fleet.cut_zones.insert(1);
    play.run(DURATION);
    // Entries that nobody reaches hold the bound as well.
    play.check_exposure();
    play.fleet.cut_zones.clear();
    play.run(Duration::from_secs(8));
    assert!(play.all_know(Phase::RolledBack));
    play.check_records();
}

#[rstest]
fn a_whole_fleet_that_restarts_finds_the_end_on_record(#[values(1, 2)] seed: u64) {
    let mut play = Play::new(seed, 0.0);
    play.order();
    play.run(DURATION + Duration::from_secs(1));
    assert_eq!(play.phase(), Some(Phase::Succeeded));
    for index in 0..NODES {
        play.kill(index);
    }
    for index in 0..NODES {
        play.fleet.start(index);
        play.fleet.report(index, "first", 2, false);
    }
    play.run(Duration::from_secs(10));
    assert!(play.all_know(Phase::Succeeded));
    play.check_records();
}

/// The time since the order is on record: it does not begin anew.
#[rstest]
fn a_fleet_that_restarts_amid_a_roll_out_ends_it_in_time(#[values(1, 2)] seed: u64) {
    let mut play = Play::new(seed, 0.0);
    play.order();
    play.run(Duration::from_secs(6));
    for index in 0..NODES {
        play.kill(index);
    }
    // Nobody calls meanwhile.
    play.fleet.run(Duration::from_millis(500));
    for index in 0..NODES {
        play.fleet.start(index);
        play.fleet.report(index, "first", 2, false);
    }
    play.run(Duration::from_secs(7));
    let written = &play.fleet.roll_outs.written;
    assert!(play.succeeded_in_time(), "{written:?}");
    play.check_records();
}

#[rstest]
fn a_record_that_the_store_lost_is_written_again(#[values(1, 2)] seed: u64) {
    let mut play = Play::new(seed, 0.5);
    play.order();
    play.run(DURATION);
    assert_eq!(play.phase(), Some(Phase::RolledBack));
    play.fleet.roll_outs.forget_all();
    let order = play.fleet.orders[0].clone();
    play.fleet.write_order(order);
    play.run(Duration::from_secs(8));
    assert_eq!(play.phase(), Some(Phase::RolledBack));
    play.check_records();
}

/// The last rows before the traffic stops get lost: they are told again.
#[rstest]
fn evidence_that_was_lost_counts_though_the_traffic_stops(#[values(1, 2, 3)] seed: u64) {
    let mut play = Play::new(seed, 1.0);
    play.fails_from = Duration::from_secs(4);
    play.order();
    play.run(Duration::from_secs(4));
    play.fleet.loss_percent = 100;
    play.run(Duration::from_millis(800));
    // Nobody calls from here on, and the last reports are lost as well.
    play.fleet.run(Duration::from_millis(500));
    play.fleet.loss_percent = 0;
    play.fleet.run(Duration::from_secs(3));
    assert_eq!(play.phase(), Some(Phase::RolledBack));
}

#[test]
fn without_an_order_nothing_is_sent_or_asked() {
    let mut fleet = Fleet::new(NODES, ZONES, 1);
    fleet.roll_out_bounds = Some(BOUNDS);
    for index in 0..NODES {
        fleet.versions.insert(index, version("v1"));
    }
    fleet.start_all();
    fleet.run(Duration::from_secs(13));
    assert_eq!(fleet.roll_outs.calls, 0);
    let traffic = &fleet.traffic;
    let kinds: Vec<&str> = traffic
        .inside
        .keys()
        .chain(traffic.across.keys())
        .copied()
        .collect();
    assert!(!kinds.contains(&"roll-outs") && !kinds.contains(&"version-evidence"));
}

/// Versions side by side without an order: peers are asked whether there is one, seldom
/// after a while.
#[test]
fn versions_without_an_order_cost_few_questions() {
    let mut play = Play::new(1, 0.0);
    play.run(Duration::from_secs(10));
    play.fleet.traffic = fleet::Traffic::default();
    play.run(Duration::from_secs(10));
    assert_eq!(play.fleet.roll_outs.calls, 0);
    let kinds = [&play.fleet.traffic.inside, &play.fleet.traffic.across];
    let asked: u64 = kinds
        .iter()
        .filter_map(|kinds| kinds.get("roll-outs"))
        .map(|carried| carried.messages)
        .sum();
    assert!(asked <= 2 * NODES as u64, "{asked} questions");
}

/// Deaths, suspensions, cuts, an absent store and lost answers, by chance.
#[rstest]
fn chance_breaks_no_promise(
    #[values(0.0, 0.25)] fails: f64,
    #[values(11, 12, 13, 14, 15, 16)] seed: u64,
) {
    let (play, end) = play_by_chance(fails, seed);
    assert!(end.is_ended(), "{end:?}");
    assert!(play.all_know(end));
    if fails > 0.0 && play.bad >= 50 {
        assert_eq!(end, Phase::RolledBack);
    }
}

/// A bad version does not succeed where few of its responses were known before the deadline.
#[rstest]
fn a_bad_version_does_not_succeed_at_other_seeds(#[values(0.15, 0.25, 0.5)] fails: f64) {
    let succeeded = (680..720).filter(|seed| {
        let (play, end) = play_by_chance(fails, *seed);
        play.bad >= 50 && end != Phase::RolledBack
    });
    assert_eq!(succeeded.collect::<Vec<u64>>(), Vec::<u64>::new());
}

/// Runs a rollout with faults by chance, and returns the phase on record at its end.
fn play_by_chance(fails: f64, seed: u64) -> (Play, Phase) {
    let mut play = Play::new(seed, fails);
    let mut chance = ChaCha8Rng::seed_from_u64(!seed);
    play.fleet.loss_percent = chance.random_range(0..30);
    play.fleet.roll_outs.lost_percent = chance.random_range(0..40);
    play.order();
    for _ in 0..24 {
        play.run(Duration::from_millis(700));
        let index = chance.random_range(0..NODES);
        let index = match play.decider() {
            Some(decider) if chance.random_bool(0.5) => decider,
            _ => index,
        };
        match chance.random_range(0..8) {
            0 if play.fleet.running().contains(&index) => {
                play.kill(index);
                play.fleet.start(index);
                play.fleet.report(index, "first", 2, false);
            }
            1 => {
                play.fleet.frozen.insert(index);
                play.out_of_touch.insert(index);
            }
            2 => play.fleet.frozen.clear(),
            3 => play.fleet.roll_outs.refused = (0..NODES).filter(|at| at % 2 == 0).collect(),
            4 => play.fleet.roll_outs.refused.clear(),
            5 => {
                play.fleet.cut_zones.insert(0);
            }
            _ => play.fleet.cut_zones.clear(),
        }
    }
    play.fleet.frozen.clear();
    play.fleet.cut_zones.clear();
    play.fleet.roll_outs.refused.clear();
    play.fleet.roll_outs.lost_percent = 0;
    play.out_of_touch.clear();
    play.run(Duration::from_secs(25));
    play.check_records();
    let end = play.phase().expect("on record");
    (play, end)
}
