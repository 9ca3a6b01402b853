//! Exposure limits of entry nodes, the order between rollout states, and the schedule.

use proptest::prelude::*;
use rampthread_core::call::balance::Endpoint;
use rampthread_core::ids::{NodeId, ResourceName, SoftwareVersion, Zone};
use rampthread_core::rollout::exposure::{presumed_version, split_by_version};
use rampthread_core::rollout::schedule::{
    NextAction, RolloutProgress, UnmetCondition, evaluation_permille, next_action,
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
    /// The share of the target version holds over a whole fleet of entry nodes with bursts,
    /// low traffic and restarts.
    #[test]
    fn exposure_share_holds_over_all_entries(
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
        // A restarted entry node starts with the same part of the slack again.
        let restarted = restarts.len() as f64;
        for index in restarts {
            entries[index % nodes] = new();
        }
        let share = f64::from(permille) / 1_000.0;
        let slack = BOUNDS.exposure_slack_calls / 2.0 + restarted;
        prop_assert!(f64::from(target) <= share * f64::from(total) + slack);
    }

    /// Nodes converge to the same rollout state for any order of messages, and phases never
    /// go back.
    #[test]
    fn nodes_converge_to_the_same_state(
        states in prop::collection::vec((1_u64..3, phase(), 0_u64..4, 0_u64..6), 1..20),
        seed in any::<u64>(),
    ) {
        let now = Moment(1_000_000);
        let mut shuffled = states.clone();
        let length = shuffled.len();
        for index in 0..length {
            shuffled.swap(index, (seed as usize).wrapping_add(index * 7) % length);
        }
        let merge_all = |states: &[(u64, Phase, u64, u64)]| {
            let mut table = RolloutTable::default();
            let mut known: Option<(u64, Phase)> = None;
            for (order, phase, term, step) in states {
                table.merge(state(*order, *phase, *term, *step), now);
                let state = table.state(&name("shop"), now).unwrap();
                let state = (state.order, state.phase);
                assert!(known.is_none_or(|known| state >= known));
                known = Some(state);
            }
            let state = table.state(&name("shop"), now).unwrap();
            (state.order, state.phase, state.term, state.step)
        };
        prop_assert_eq!(merge_all(&states), merge_all(&shuffled));
    }

    /// The evaluation share and the calls after the latest shift stay within the exposure
    /// bound.
    #[test]
    fn version_without_regression_stays_within_the_bound(
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
                responses: total as u64,
                target_responses: target as u64,
                rate,
                target_slots: 100,
                other_slots: 100,
                shifting_for: moving.map(|since| at - since),
                ..progress()
            };
            let known = RolloutState {
                elapsed: at,
                duration,
                ..state(1, phase, 1, 1)
            };
            if phase == Phase::Running
                && next_action(&known, &progress, &BOUNDS) == NextAction::ShiftTraffic
            {
                phase = Phase::Moving;
                moving = Some(at);
            }
        }
        prop_assert_eq!(phase, Phase::Moving);
        prop_assert!(target <= total * BOUNDS.exposure_share + BOUNDS.exposure_slack_calls);
    }
}

/// A node that gets no further updates of a rollout stops sending calls to the new version.
#[test]
fn traffic_share_without_rollout_updates_expires() {
    let mut table = RolloutTable::default();
    let now = Moment(1_000_000);
    table.merge(state(1, Phase::Running, 1, 1), now);
    let share = |at: Moment| table.rules(&BOUNDS, at)[&name("shop")].share;
    assert!(matches!(share(now), VersionShare::Limited { .. }));
    let later = now + Duration::from_millis(1_600);
    assert_eq!(share(later), VersionShare::Blocked);
}

/// A regression may have been detected without the update having arrived at this node.
#[test]
fn unconfirmed_shift_returns_calls_to_other_versions() {
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
#[case::an_older_existing_one(order(3, "v1"), OrderSource::Existing, false)]
#[case::written_after_a_restore(order(3, "v3"), OrderSource::NewWrite, true)]
fn orders_are_accepted_or_ignored(
    #[case] second: RolloutOrder,
    #[case] source: OrderSource,
    #[case] is_accepted: bool,
) {
    let mut table = RolloutTable::default();
    let now = Moment(1_000_000);
    table.merge(state(5, Phase::Succeeded, 1, 9), now);
    assert_eq!(table.accept_order(&second, source, now), is_accepted);
    let state = table.state(&name("shop"), now).unwrap();
    assert_eq!(state.phase == Phase::Running, is_accepted);
}

#[rstest]
#[case::single_version(&["v1", "v1"], None)]
#[case::far_more_backends(&["v2", "v1", "v2", "v2"], Some("v2"))]
#[case::more_backends(&["v2", "v1", "v2"], Some("v1"))]
#[case::equal_backends(&["v10", "v9"], Some("v9"))]
fn presumed_version_among_several(#[case] all: &[&str], #[case] expected: Option<&str>) {
    let all: Vec<SoftwareVersion> = all.iter().map(|text| version(text)).collect();
    let actual = presumed_version(all.iter());
    assert_eq!(actual.map(SoftwareVersion::as_str), expected);
}

/// Every backend of the new version must be tried under load.
#[test]
fn backends_take_turns_under_load() {
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
#[case::too_few_slots(20, NextAction::Evaluate { permille: 30 })]
#[case::enough(80, NextAction::ShiftTraffic)]
fn traffic_shifts_only_with_enough_capacity(
    #[case] target_slots: u32,
    #[case] expected: NextAction,
) {
    let known = RolloutState {
        elapsed: Duration::from_millis(11_500),
        ..state(1, Phase::Running, 1, 1)
    };
    let progress = RolloutProgress {
        responses: 1_000,
        target_responses: 30,
        rate: 100.0,
        target_slots,
        other_slots: 100,
        shifting_for: None,
        ..progress()
    };
    let actual = next_action(&known, &progress, &BOUNDS);
    assert_eq!(
        std::mem::discriminant(&actual),
        std::mem::discriminant(&expected)
    );
}

/// Progress of a rollout as known to a decider with the evidence of all nodes.
fn progress() -> RolloutProgress {
    RolloutProgress {
        responses: 1_000,
        target_responses: 30,
        rate: 100.0,
        target_slots: 100,
        other_slots: 100,
        shifting_for: None,
        responses_since_shift: 0,
        reporters: 10,
        is_suspect: false,
        evidence_collected_for: Duration::from_secs(9),
        evidence_collection_time: Duration::from_secs(2),
    }
}

/// The next action for a rollout, with the share of a continued evaluation normalized to 0.
fn action_for(phase: Phase, elapsed_ms: u64, progress: RolloutProgress) -> NextAction {
    let known = RolloutState {
        elapsed: Duration::from_millis(elapsed_ms),
        ..state(1, phase, 1, 1)
    };
    match next_action(&known, &progress, &BOUNDS) {
        NextAction::Evaluate { .. } => NextAction::Evaluate { permille: 0 },
        actual => actual,
    }
}

const EVALUATE: NextAction = NextAction::Evaluate { permille: 0 };

#[rstest]
#[case::all_evidence(progress(), 11_500, NextAction::ShiftTraffic)]
#[case::decider_took_over_late(
    RolloutProgress { evidence_collected_for: Duration::from_secs(1), ..progress() },
    11_500,
    EVALUATE
)]
#[case::decider_took_over_after_deadline(
    RolloutProgress { evidence_collected_for: Duration::ZERO, ..progress() },
    60_000,
    EVALUATE
)]
#[case::no_target_response(RolloutProgress { target_responses: 0, ..progress() }, 11_500, EVALUATE)]
#[case::overdue_without_target_response(
    RolloutProgress { target_responses: 0, ..progress() },
    17_500,
    NextAction::RollBack(UnmetCondition::TargetResponses)
)]
#[case::no_traffic(
    RolloutProgress { responses: 0, target_responses: 0, rate: 0.0, ..progress() },
    11_500,
    EVALUATE
)]
#[case::overdue_without_traffic(
    RolloutProgress { responses: 0, target_responses: 0, rate: 0.0, ..progress() },
    17_500,
    NextAction::RollBack(UnmetCondition::Traffic)
)]
#[case::suspect(RolloutProgress { is_suspect: true, ..progress() }, 11_500, EVALUATE)]
#[case::overdue_and_suspect(
    RolloutProgress { is_suspect: true, ..progress() },
    17_500,
    NextAction::RollBack(UnmetCondition::Suspicion)
)]
#[case::low_traffic(
    RolloutProgress { responses: 60, target_responses: 0, rate: 5.0, ..progress() },
    11_500,
    NextAction::ShiftTraffic
)]
fn traffic_shifts_only_on_evidence(
    #[case] progress: RolloutProgress,
    #[case] elapsed_ms: u64,
    #[case] expected: NextAction,
) {
    assert_eq!(action_for(Phase::Running, elapsed_ms, progress), expected);
}

#[rstest]
#[case::all_evidence(1, 9_000, 11_800, NextAction::Succeed)]
#[case::no_response_since_the_shift(0, 9_000, 11_800, NextAction::ShiftTraffic)]
#[case::overdue_without_response(
    0,
    9_000,
    17_500,
    NextAction::RollBack(UnmetCondition::ResponsesSinceShift)
)]
#[case::decider_took_over_during_shift(1, 500, 17_500, NextAction::ShiftTraffic)]
fn shift_succeeds_only_on_evidence(
    #[case] responses_since_shift: u64,
    #[case] evidence_ms: u64,
    #[case] elapsed_ms: u64,
    #[case] expected: NextAction,
) {
    let progress = RolloutProgress {
        shifting_for: Some(Duration::from_millis(500)),
        responses_since_shift,
        evidence_collected_for: Duration::from_millis(evidence_ms),
        ..progress()
    };
    assert_eq!(action_for(Phase::Moving, elapsed_ms, progress), expected);
}

/// Success is final, so that a version that may be bad gets all calls a little longer instead.
#[rstest]
#[case::before_the_deadline(11_800, NextAction::ShiftTraffic)]
#[case::overdue(17_500, NextAction::RollBack(UnmetCondition::Suspicion))]
fn a_suspect_version_does_not_succeed(#[case] elapsed_ms: u64, #[case] expected: NextAction) {
    let progress = RolloutProgress {
        shifting_for: Some(Duration::from_millis(500)),
        responses_since_shift: 1,
        is_suspect: true,
        ..progress()
    };
    assert_eq!(action_for(Phase::Moving, elapsed_ms, progress), expected);
}

#[test]
fn backend_of_unknown_version_counts_as_other() {
    let endpoints = endpoints();
    let (old, new) = (version("v1"), version("v2"));
    let version_of = |node: &NodeId| match node.as_str() {
        "node-0" => Some(&old),
        "node-1" => None,
        _ => Some(&new),
    };
    let (target, others) = split_by_version(&endpoints, version_of, &new);
    let names = |actual: Vec<Endpoint>| -> Vec<String> {
        let nodes = actual.iter();
        nodes.map(|actual| actual.node.to_string()).collect()
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
