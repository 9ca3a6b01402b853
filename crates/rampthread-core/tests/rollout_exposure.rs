//! What an entry lets through to a version under judgement, and which of two states counts.

use proptest::prelude::*;
use rampthread_core::call::balance::Endpoint;
use rampthread_core::ids::{NodeId, ResourceName, SoftwareVersion, Zone};
use rampthread_core::rollout::exposure::{presumed_version, split_by_version};
use rampthread_core::rollout::schedule::{
    MissingCondition, NextAction, RolloutProgress, evaluation_permille, next_action,
};
use rampthread_core::rollout::table::OrderSource;
use rampthread_core::rollout::{
    ExposureLimiter, Phase, RolloutBounds, RolloutOrder, RolloutState, RolloutTable, VersionShare,
};
use rampthread_core::time::Moment;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

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

fn order(number: u64, target: &str) -> RolloutOrder {
    RolloutOrder {
        service: name("shop"),
        order: number,
        target: version(target),
        duration: Duration::from_secs(12),
    }
}

fn state(order: u64, phase: Phase, term: u64, step: u64) -> RolloutState {
    RolloutState {
        phase,
        term,
        step,
        share_permille: 40,
        ..RolloutState::from_order(&self::order(order, "v2"), Duration::ZERO)
    }
}

fn phase() -> impl Strategy<Value = Phase> {
    prop_oneof![
        Just(Phase::Running),
        Just(Phase::Moving),
        Just(Phase::RollingBack),
        Just(Phase::Succeeded),
        Just(Phase::RolledBack),
    ]
}

proptest! {
    /// Bursts, thin traffic and restarts: a fleet of entries holds the share.
    #[test]
    fn the_share_holds_over_all_entries(
        nodes in 1_usize..120,
        permille in 1_u16..100,
        traffic in prop::collection::vec((0_usize..120, 0_u32..400), 1..80),
        restarts in prop::collection::vec(0_usize..120, 0..40),
        chances in prop::collection::vec(0.0_f64..1.0, 160),
    ) {
        let mut chances = chances.into_iter().cycle();
        let mut new = || ExposureLimiter::new(1, BOUNDS.exposure_slack_calls, nodes, chances.next().unwrap());
        let mut entries: Vec<ExposureLimiter> = (0..nodes).map(|_| new()).collect();
        let (mut total, mut target) = (0_u32, 0_u32);
        for (index, calls) in traffic {
            let entry = &mut entries[index % nodes];
            for _ in 0..calls {
                total += 1;
                if entry.may_send() {
                    entry.on_sent();
                    target += 1;
                }
                entry.on_response(permille);
            }
        }
        // A second life of an entry begins with the same part of the slack.
        let restarted = restarts.len() as f64;
        for index in restarts {
            entries[index % nodes] = new();
        }
        let share = f64::from(permille) / 1_000.0;
        let slack = BOUNDS.exposure_slack_calls / 2.0 + restarted;
        prop_assert!(f64::from(target) <= share * f64::from(total) + slack);
    }

    /// Whatever is heard in whatever order, all end up with the same state, and none goes
    /// to an earlier phase.
    #[test]
    fn all_nodes_end_up_with_the_same_state(
        told in prop::collection::vec((1_u64..3, phase(), 0_u64..4, 0_u64..6), 1..20),
        seed in any::<u64>(),
    ) {
        let now = Moment(1_000_000);
        let mut shuffled = told.clone();
        let length = shuffled.len();
        for index in 0..length {
            shuffled.swap(index, (seed as usize).wrapping_add(index * 7) % length);
        }
        let hear = |told: &[(u64, Phase, u64, u64)]| {
            let mut table = RolloutTable::default();
            let mut known: Option<(u64, Phase)> = None;
            for (order, phase, term, step) in told {
                table.merge(state(*order, *phase, *term, *step), now);
                let held = table.state(&name("shop"), now).unwrap();
                let held = (held.order, held.phase);
                assert!(known.is_none_or(|known| held >= known));
                known = Some(held);
            }
            let held = table.state(&name("shop"), now).unwrap();
            (held.order, held.phase, held.term, held.step)
        };
        prop_assert_eq!(hear(&told), hear(&shuffled));
    }

    /// The judged share and the calls after the latest move fit into the bound.
    #[test]
    fn a_version_that_shows_nothing_stays_within_the_bound(
        seconds in 12_u64..3_600,
        rate in 10.0_f64..5_000.0,
    ) {
        let duration = Duration::from_secs(seconds);
        let share = f64::from(evaluation_permille(duration, &BOUNDS)) / 1_000.0;
        let step = Duration::from_millis(100);
        let mut at = Duration::ZERO;
        let (mut total, mut target, mut moving) = (0.0, 0.0, None);
        let mut phase = Phase::Running;
        while at < duration {
            let calls = rate * step.as_secs_f64();
            total += calls;
            target += if phase == Phase::Running { share * calls } else { calls };
            at += step;
            let progress = RolloutProgress {
                answers: total as u64,
                target_answers: target as u64,
                rate,
                target_slots: 100,
                other_slots: 100,
                moving_for: moving.map(|since| at - since),
                ..heard()
            };
            let known = RolloutState {
                elapsed: at,
                duration,
                ..state(1, phase, 1, 1)
            };
            if phase == Phase::Running && next_action(&known, &progress, &BOUNDS) == NextAction::Move {
                phase = Phase::Moving;
                moving = Some(at);
            }
        }
        prop_assert_eq!(phase, Phase::Moving);
        prop_assert!(target <= total * BOUNDS.exposure_share + BOUNDS.exposure_slack_calls);
    }
}

#[test]
fn a_share_that_is_not_confirmed_ends() {
    let mut table = RolloutTable::default();
    let now = Moment(1_000_000);
    table.merge(state(1, Phase::Running, 1, 1), now);
    let share = |at: Moment| table.rules(&BOUNDS, at)[&name("shop")].share;
    assert!(matches!(share(now), VersionShare::Limited { .. }));
    let later = now + Duration::from_millis(1_600);
    assert_eq!(share(later), VersionShare::Blocked);
}

/// The decider may have found it bad since, and the word of it not have arrived.
#[test]
fn a_move_that_is_not_confirmed_leaves_the_others_their_calls() {
    let mut table = RolloutTable::default();
    let now = Moment(1_000_000);
    table.merge(state(1, Phase::Moving, 1, 1), now);
    let share = |table: &RolloutTable, at: Moment| table.rules(&BOUNDS, at)[&name("shop")].share;
    assert_eq!(share(&table, now), VersionShare::Preferred);
    let later = now + Duration::from_millis(1_600);
    assert_eq!(share(&table, later), VersionShare::LastResort);
    table.merge(state(1, Phase::Moving, 1, 2), later);
    assert_eq!(share(&table, later), VersionShare::Preferred);
}

#[rstest]
#[case::another_target(order(9, "v3"), OrderSource::NewWrite, true)]
#[case::the_same_again(order(9, "v2"), OrderSource::NewWrite, false)]
#[case::an_older_one_found(order(3, "v1"), OrderSource::Existing, false)]
#[case::written_after_a_restore(order(3, "v3"), OrderSource::NewWrite, true)]
fn orders_that_count(
    #[case] second: RolloutOrder,
    #[case] source: OrderSource,
    #[case] counts: bool,
) {
    let mut table = RolloutTable::default();
    let now = Moment(1_000_000);
    table.merge(state(5, Phase::Succeeded, 1, 9), now);
    assert_eq!(table.accept_order(&second, source, now), counts);
    let held = table.state(&name("shop"), now).unwrap();
    assert_eq!(held.phase == Phase::Running, counts);
}

#[rstest]
#[case::one(&["v1", "v1"], None)]
#[case::far_more(&["v2", "v1", "v2", "v2"], Some("v2"))]
#[case::more(&["v2", "v1", "v2"], Some("v1"))]
#[case::as_many(&["v10", "v9"], Some("v9"))]
fn the_present_one_of_several_versions(#[case] all: &[&str], #[case] presumed: Option<&str>) {
    let all: Vec<SoftwareVersion> = all.iter().map(|text| version(text)).collect();
    let found = presumed_version(all.iter());
    assert_eq!(found.map(SoftwareVersion::as_str), presumed);
}

/// Every back end of the new version gets its turn under load.
#[test]
fn back_ends_take_turns() {
    let endpoints = endpoints();
    let mut limiter = ExposureLimiter::new(1, BOUNDS.exposure_slack_calls, 1, 1.0);
    assert_eq!(limiter.eligible_backends(endpoints.clone(), 0).len(), 5);
    limiter.on_sent();
    let turns: BTreeSet<NodeId> = (0..5)
        .map(|round| {
            limiter.eligible_backends(endpoints.clone(), round)[0]
                .node
                .clone()
        })
        .collect();
    assert_eq!(turns.len(), 5);
}

#[rstest]
#[case::too_few_slots(20, NextAction::Judge { permille: 30 })]
#[case::enough(80, NextAction::Move)]
fn traffic_moves_only_to_enough_back_ends(#[case] target_slots: u32, #[case] expected: NextAction) {
    let known = RolloutState {
        elapsed: Duration::from_millis(11_500),
        ..state(1, Phase::Running, 1, 1)
    };
    let progress = RolloutProgress {
        answers: 1_000,
        target_answers: 30,
        rate: 100.0,
        target_slots,
        other_slots: 100,
        moving_for: None,
        ..heard()
    };
    let found = next_action(&known, &progress, &BOUNDS);
    assert_eq!(
        std::mem::discriminant(&found),
        std::mem::discriminant(&expected)
    );
}

/// A decider that has heard the whole fleet.
fn heard() -> RolloutProgress {
    RolloutProgress {
        answers: 1_000,
        target_answers: 30,
        rate: 100.0,
        target_slots: 100,
        other_slots: 100,
        moving_for: None,
        answers_since_move: 0,
        reporters: 10,
        evidence_collected_for: Duration::from_secs(9),
        evidence_collection_time: Duration::from_secs(2),
    }
}

/// What comes next, whatever the share of a version that is judged further.
fn progress_of(phase: Phase, elapsed_ms: u64, progress: RolloutProgress) -> NextAction {
    let known = RolloutState {
        elapsed: Duration::from_millis(elapsed_ms),
        ..state(1, phase, 1, 1)
    };
    match next_action(&known, &progress, &BOUNDS) {
        NextAction::Judge { .. } => NextAction::Judge { permille: 0 },
        found => found,
    }
}

const JUDGE: NextAction = NextAction::Judge { permille: 0 };

#[rstest]
#[case::heard(heard(), 11_500, NextAction::Move)]
#[case::took_over_late(RolloutProgress { evidence_collected_for: Duration::from_secs(1), ..heard() }, 11_500, JUDGE)]
#[case::took_over_long_after(RolloutProgress { evidence_collected_for: Duration::ZERO, ..heard() }, 60_000, JUDGE)]
#[case::no_answer_of_it(RolloutProgress { target_answers: 0, ..heard() }, 11_500, JUDGE)]
#[case::none_at_last(
    RolloutProgress { target_answers: 0, ..heard() }, 17_500, NextAction::GiveUp(MissingCondition::TargetAnswers)
)]
#[case::no_traffic(RolloutProgress { answers: 0, target_answers: 0, rate: 0.0, ..heard() }, 11_500, JUDGE)]
#[case::no_traffic_at_last(
    RolloutProgress { answers: 0, target_answers: 0, rate: 0.0, ..heard() },
    17_500,
    NextAction::GiveUp(MissingCondition::Traffic)
)]
#[case::thin_traffic(
    RolloutProgress { answers: 60, target_answers: 0, rate: 5.0, ..heard() }, 11_500, NextAction::Move
)]
fn traffic_moves_only_on_evidence(
    #[case] progress: RolloutProgress,
    #[case] elapsed_ms: u64,
    #[case] expected: NextAction,
) {
    assert_eq!(progress_of(Phase::Running, elapsed_ms, progress), expected);
}

#[rstest]
#[case::heard(1, 9_000, 11_800, NextAction::Succeed)]
#[case::nothing_since_the_move(0, 9_000, 11_800, NextAction::Move)]
#[case::nothing_at_last(
    0,
    9_000,
    17_500,
    NextAction::GiveUp(MissingCondition::AnswersSinceMove)
)]
#[case::took_over_amid_it(1, 500, 17_500, NextAction::Move)]
fn a_move_succeeds_only_on_evidence(
    #[case] answers_since_move: u64,
    #[case] hearing_ms: u64,
    #[case] elapsed_ms: u64,
    #[case] expected: NextAction,
) {
    let progress = RolloutProgress {
        moving_for: Some(Duration::from_millis(500)),
        answers_since_move,
        evidence_collected_for: Duration::from_millis(hearing_ms),
        ..heard()
    };
    assert_eq!(progress_of(Phase::Moving, elapsed_ms, progress), expected);
}

#[test]
fn a_back_end_of_an_unknown_version_is_one_of_the_others() {
    let endpoints = endpoints();
    let (old, new) = (version("v1"), version("v2"));
    let version_of = |node: &NodeId| match node.as_str() {
        "node-0" => Some(&old),
        "node-1" => None,
        _ => Some(&new),
    };
    let (target, others) = split_by_version(&endpoints, version_of, &new);
    let names = |found: Vec<Endpoint>| -> Vec<String> {
        let nodes = found.iter();
        nodes.map(|found| found.node.to_string()).collect()
    };
    assert_eq!(names(target), ["node-2", "node-3", "node-4"]);
    assert_eq!(names(others), ["node-0", "node-1"]);
}

fn endpoints() -> Vec<Endpoint> {
    let endpoint = |index| Endpoint {
        node: NodeId::new(&format!("node-{index}")).unwrap(),
        zone: Zone::new("zone").unwrap(),
        slots: 8,
        slow_start: Duration::ZERO,
        speed_percent: 100,
    };
    (0..5).map(endpoint).collect()
}
