//! Invariants of configuration distribution under combined faults.
//!
//! Checked by `World` at every step: a node never goes back to an older version, also after a
//! restart; it never holds a version in part or with dangling references; the answer of a
//! decided operation agrees with the log. Checked at the end: an operation reported as not run
//! is not in the log, an operation takes effect at most once, and all nodes reach the newest
//! version.

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
const RECOVERY_TIME: Duration = Duration::from_secs(90);

/// Random step of the simulation: an operator's change, a fault or its end, or the passing of
/// time.
#[derive(Clone, Debug)]
enum Step {
    /// Lets this many milliseconds pass.
    Advance(u64),
    /// An operator submits a change at this node.
    Change {
        node: usize,
        kind: u8,
    },
    /// An operator submits an earlier change again, after an unknown outcome.
    Repeat {
        node: usize,
    },
    Crash(usize),
    Start(usize),
    RestartSeveral(u64),
    Suspend(usize),
    Resume(usize),
    Partition(u64),
    HealPartition,
    Network {
        loss: u32,
        copies: u32,
        late: u32,
    },
    Outage(bool),
    Slow(u64),
    LoseAfter(u32),
    LoseBefore(u32),
    Late {
        count: u32,
        by_ms: u64,
    },
    ExpireLeases,
}

/// Generates the index of a random node.
fn node() -> impl Strategy<Value = usize> {
    0..NODES
}

/// Generates a random step of the simulation.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (50_u64..4_000).prop_map(Step::Advance),
        8 => (node(), 0_u8..8).prop_map(|(node, kind)| Step::Change { node, kind }),
        3 => node().prop_map(|node| Step::Repeat { node }),
        3 => node().prop_map(Step::Crash),
        3 => node().prop_map(Step::Start),
        2 => any::<u64>().prop_map(Step::RestartSeveral),
        1 => node().prop_map(Step::Suspend),
        2 => node().prop_map(Step::Resume),
        1 => any::<u64>().prop_map(Step::Partition),
        2 => Just(Step::HealPartition),
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

/// The reference model needs no state, since every step is allowed at any time.
struct StepsModel;

impl ReferenceStateMachine for StepsModel {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        step().boxed()
    }

    /// The state is only the seed of the simulation, which no step changes.
    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

/// Simulated fleet with the changes that operators have submitted.
struct Fleet {
    world: World,
    changes: Vec<LogEntry>,
}

/// Returns the log entry of an operator's change. `kind` selects what it changes, which may be
/// invalid.
fn change(number: usize, kind: u8) -> LogEntry {
    let operations = match kind {
        0 => vec![put(service("shop")), put(route("shop", "shop", None))],
        1 => vec![
            put(secret("token")),
            put(service("paid")),
            put(route("paid", "paid", Some("token"))),
        ],
        // Dangling reference: the service may not exist.
        2 => vec![put(route("lost", "nowhere", None))],
        // Rejected while a route refers to the secret.
        3 => vec![delete(ResourceKind::Secret, "token")],
        4 => vec![delete(ResourceKind::Route, "paid")],
        // Moves backends, which changes the witness nodes that record the versions of a node.
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

/// Returns the change that gives each node a backend, so that each node has witness nodes.
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

    /// Performs a random step on the simulated fleet.
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
                // Submits the same change at another node after an unknown outcome.
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
            Step::RestartSeveral(mask) => {
                for node in (0..NODES).filter(|node| (mask >> node) & 1 == 1) {
                    world.crash(node);
                    world.start(node);
                }
            }
            Step::Suspend(node) => world.suspend(node),
            Step::Resume(node) => world.resume(node),
            Step::Partition(partition_sides) => world.partition(partition_sides),
            Step::HealPartition => world.partition(0),
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

    /// Ends all faults, waits for the recovery and checks the final invariants.
    fn finish(mut self) {
        self.world.end_faults();
        self.world.advance(RECOVERY_TIME);
        for change in &self.changes {
            let accepted = self.world.times_accepted(&change.change.operation_id);
            assert!(
                accepted <= 1,
                "{} was accepted {accepted} times",
                change.change.operation_id
            );
        }
        self.world.check_final_state();
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Fleet;
    type Reference = StepsModel;

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
    fn configuration_invariants_hold_under_all_faults(sequential 10..80 => Fleet);
}

/// Runs the same steps with a deliberate defect in the agents. Returns true if the properties
/// detect it.
fn detects(defect: Defect) -> bool {
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
#[case::lost_answer_reported_as_not_run(Defect::LostAnswerIsRefusal)]
fn deliberate_defects_are_detected(#[case] defect: Defect) {
    assert!(detects(defect), "{defect:?} was not detected");
}

/// The only node that knows a version crashes during a store outage. Its witnesses decide which
/// version its next run may activate.
fn crash_lone_reader(defect: Option<Defect>) {
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
    world.partition(1 << lone);
    world.propose(*lone, &change(0, 7));
    world.advance(Duration::from_millis(700));
    assert_eq!(world.store.head().0, 2, "the change must be in the log");
    world.store.faults.outage = true;
    world.crash(*lone);
    world.partition(0);
    world.start(*lone);
    others.iter().for_each(|other| world.start(*other));
    world.advance(Duration::from_secs(20));
    let ready = world.agent(*lone).unwrap().is_ready();
    assert!(ready, "witnesses confirm the floor during the store outage");
    fleet.finish();
}

#[test]
fn lone_reader_activates_nothing_without_its_witnesses() {
    crash_lone_reader(None);
}

#[test]
#[should_panic(expected = "went back")]
fn lone_reader_without_witnesses_goes_back() {
    crash_lone_reader(Some(Defect::SkipWitnesses));
}
