//! The brief's promises on configuration, under its faults, in combination.
//!
//! Checked at every step by `World`: no node goes back, also across restarts;
//! none holds a version in part or with dangling references; a decided answer
//! is what the log says. Checked at the end: what was told not to have run is
//! not in the log, one operation id has one effect, all reach the newest.

mod simulation;

use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rampthread_core::config::{LogEntry, ResourceKind};
use rampthread_core::fleet::{Defect, FleetSettings, ProposalReply};
use rstest::rstest;
use simulation::world::{NetworkFaults, World, ZONES};
use simulation::{backend, delete, entry, put, route, secret, service};
use std::time::Duration;

const NODES: usize = 8;
const SETTLE: Duration = Duration::from_secs(90);

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Change { node: usize, kind: u8 },
    Repeat { node: usize },
    Crash(usize),
    Start(usize),
    HerdRestart(u64),
    Freeze(usize),
    Thaw(usize),
    Cut(u64),
    Heal,
    Network { loss: u32, copies: u32, late: u32 },
    Outage(bool),
    Slow(u64),
    LoseAfter(u32),
    LoseBefore(u32),
    Late { count: u32, by_ms: u64 },
    ExpireLeases,
}

fn node() -> impl Strategy<Value = usize> {
    0..NODES
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (50_u64..4_000).prop_map(Step::Advance),
        8 => (node(), 0_u8..8).prop_map(|(node, kind)| Step::Change { node, kind }),
        3 => node().prop_map(|node| Step::Repeat { node }),
        3 => node().prop_map(Step::Crash),
        3 => node().prop_map(Step::Start),
        2 => any::<u64>().prop_map(Step::HerdRestart),
        1 => node().prop_map(Step::Freeze),
        2 => node().prop_map(Step::Thaw),
        1 => any::<u64>().prop_map(Step::Cut),
        2 => Just(Step::Heal),
        1 => (0_u32..30, 0_u32..30, 0_u32..20)
            .prop_map(|(loss, copies, late)| Step::Network { loss, copies, late }),
        3 => any::<bool>().prop_map(Step::Outage),
        1 => (0_u64..1_500).prop_map(Step::Slow),
        2 => (1_u32..4).prop_map(Step::LoseAfter),
        2 => (1_u32..4).prop_map(Step::LoseBefore),
        2 => (1_u32..4, 10_u64..6_000).prop_map(|(count, by_ms)| Step::Late { count, by_ms }),
        1 => Just(Step::ExpireLeases),
    ]
}

/// The reference needs no state: every step is allowed at every time.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

struct Fleet {
    world: World,
    changes: Vec<LogEntry>,
}

/// Changes of every kind, valid and not.
fn change(number: usize, kind: u8) -> LogEntry {
    let operations = match kind {
        0 => vec![put(service("shop")), put(route("shop", "shop", None))],
        1 => vec![
            put(secret("token")),
            put(service("paid")),
            put(route("paid", "paid", Some("token"))),
        ],
        // Dangling: the service may not exist.
        2 => vec![put(route("lost", "nowhere", None))],
        // Refused while a route needs it.
        3 => vec![delete(ResourceKind::Secret, "token")],
        4 => vec![delete(ResourceKind::Route, "paid")],
        // Moves back ends, and with them the witnesses.
        5 => vec![
            put(service("shop")),
            put(backend(number % NODES, "shop", ZONES)),
        ],
        6 => vec![delete(
            ResourceKind::Backend,
            &format!("backend-{}", number % NODES),
        )],
        _ => vec![put(service(&format!("service-{number}")))],
    };
    entry(&format!("operation-{number}"), operations)
}

/// All nodes stand beside a back end, so that everyone has witnesses.
fn first_change() -> LogEntry {
    let mut operations = vec![put(service("shop"))];
    operations.extend((0..NODES).map(|index| put(backend(index, "shop", ZONES))));
    entry("first", operations)
}

fn settings() -> FleetSettings {
    FleetSettings {
        versions_per_snapshot: 4,
        max_retained_entries: 4,
        ..FleetSettings::default()
    }
}

impl Fleet {
    fn new(seed: u64, defect: Option<Defect>) -> Self {
        let mut world = World::new(NODES, seed, settings(), defect);
        world.advance(Duration::from_secs(6));
        world.propose(0, &first_change());
        world.advance(Duration::from_secs(2));
        Self {
            world,
            changes: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        let world = &mut self.world;
        match step {
            Step::Advance(ms) => world.advance(Duration::from_millis(ms)),
            Step::Change { node, kind } => {
                let change = change(self.changes.len(), kind);
                world.propose(node, &change);
                self.changes.push(change);
                world.advance(Duration::from_millis(10));
            }
            Step::Repeat { node } => {
                // The same change through another node, once the first was answered.
                let repeat = self.changes.iter().rev().find(|change| {
                    let id = &change.change.operation_id;
                    let answer = world.answers.get(id);
                    !world.is_open(id) && matches!(answer, Some(ProposalReply::Unknown))
                });
                if let Some(change) = repeat {
                    world.propose(node, change);
                }
            }
            Step::Crash(node) => world.crash(node),
            Step::Start(node) => world.start(node),
            Step::HerdRestart(mask) => {
                for node in (0..NODES).filter(|node| (mask >> node) & 1 == 1) {
                    world.crash(node);
                    world.start(node);
                }
            }
            Step::Freeze(node) => world.freeze(node),
            Step::Thaw(node) => world.thaw(node),
            Step::Cut(sides) => world.cut(sides),
            Step::Heal => world.cut(0),
            Step::Network { loss, copies, late } => {
                world.network = NetworkFaults {
                    loss_percent: loss,
                    copy_percent: copies,
                    late_percent: late,
                };
            }
            Step::Outage(outage) => world.store.faults.outage = outage,
            Step::Slow(ms) => world.store.faults.slow = Duration::from_millis(ms),
            Step::LoseAfter(count) => world.store.faults.lose_after = count,
            Step::LoseBefore(count) => world.store.faults.lose_before = count,
            Step::Late { count, by_ms } => {
                world.store.faults.late = count;
                world.store.faults.late_by = Duration::from_millis(by_ms);
            }
            Step::ExpireLeases => world.store.expire_leases(),
        }
    }

    fn finish(mut self) {
        self.world.stop_faults();
        self.world.advance(SETTLE);
        for change in &self.changes {
            let effects = self.world.effects(&change.change.operation_id);
            assert!(
                effects <= 1,
                "{} took effect {effects} times",
                change.change.operation_id
            );
        }
        self.world.check_end();
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Fleet;
    type Reference = Steps;

    fn init_test(seed: &u64) -> Fleet {
        Fleet::new(*seed, None)
    }

    fn apply(mut fleet: Fleet, _: &u64, step: Step) -> Fleet {
        fleet.step(step);
        fleet
    }

    fn teardown(fleet: Fleet, _: u64) {
        fleet.finish();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        max_shrink_iters: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn promises_on_configuration_hold_under_all_faults(sequential 10..80 => Fleet);
}

/// Runs the same steps against agents with a deliberate fault; the property
/// must notice it.
fn fails_with(defect: Defect) -> bool {
    let config = ProptestConfig {
        cases: 2_000,
        max_shrink_iters: 0,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let strategy = (any::<u64>(), prop::collection::vec(step(), 10..80));
    let mut runner = TestRunner::new(config);
    let result = runner.run(&strategy, |(seed, steps)| {
        let mut fleet = Fleet::new(seed, Some(defect));
        steps.into_iter().for_each(|step| fleet.step(step));
        fleet.finish();
        Ok(())
    });
    result.is_err()
}

#[rstest]
#[case::no_floor_after_a_restart(Defect::SkipFloor)]
#[case::a_lost_answer_told_as_not_run(Defect::LostAnswerIsRefusal)]
fn a_deliberate_fault_is_noticed(#[case] defect: Defect) {
    assert!(fails_with(defect), "{defect:?} went unnoticed");
}

/// The only node that knows a version dies while the store is out. Its
/// witnesses decide what its next life may serve.
fn lone_reader_dies(defect: Option<Defect>) {
    let mut fleet = Fleet::new(7, None);
    fleet.world.set_defect(defect);
    let world = &mut fleet.world;
    let is_reader = |world: &World, node: usize| {
        let me = world
            .agent(node)
            .map(|agent| agent.membership().me().conditions.reader);
        me == Some(true)
    };
    let readers: Vec<usize> = (0..NODES).filter(|node| is_reader(world, *node)).collect();
    let (lone, others) = readers.split_first().unwrap();
    others.iter().for_each(|other| world.crash(*other));
    world.cut(1 << lone);
    world.propose(*lone, &change(0, 7));
    world.advance(Duration::from_millis(700));
    assert_eq!(world.store.head().0, 2, "the change is in the log");
    world.store.faults.outage = true;
    world.crash(*lone);
    world.cut(0);
    world.start(*lone);
    others.iter().for_each(|other| world.start(*other));
    world.advance(Duration::from_secs(20));
    let ready = world.agent(*lone).unwrap().is_ready();
    assert!(ready, "its witnesses know its floor while the store is out");
    fleet.finish();
}

#[test]
fn a_lone_reader_puts_nothing_in_force_without_its_witnesses() {
    lone_reader_dies(None);
}

#[test]
#[should_panic(expected = "went back")]
fn without_witnesses_a_lone_reader_goes_back() {
    lone_reader_dies(Some(Defect::SkipWitnesses));
}
