//! Which lost answers a crash explains: as a gate sees its own back end, and as an
//! entry sees those beside other nodes.

mod crash_cases;

use crash_cases::{HOUR, NOW, identity, instance};
use proptest::prelude::*;
use rampthread_core::backend_incarnation::{BackendIncarnation, StartedAt};
use rampthread_core::call::crash_detector::{CrashDetector, CrashSuspect};
use rampthread_core::call::incarnation_names::IncarnationNames;
use rampthread_core::call::peer_crash_detector::{CurrentBackend, PeerCrashDetector};
use rampthread_core::ids::{InstanceId, NodeId};
use rstest::rstest;
use std::time::Duration;

fn lost(request: u16, back_end: u32) -> CrashSuspect {
    CrashSuspect {
        identity: identity(request),
        instance: instance(back_end),
        at: NOW,
        on_trial: false,
    }
}

#[test]
fn a_lost_answer_alone_is_no_crash() {
    let mut watch = CrashDetector::default();
    watch.record_loss(&lost(1, 1), false);
    assert_eq!(watch.record_replacement(&instance(1), NOW), Vec::new());
    assert_eq!(watch.record_response(&instance(1), NOW + HOUR), Vec::new());
    assert!(watch.is_empty(), "an answer explains it");
}

#[test]
fn another_incarnation_soon_after_explains_a_lost_answer() {
    let mut watch = CrashDetector::default();
    watch.record_loss(&lost(1, 1), false);
    let seconds = NOW + Duration::from_secs(4);
    let explained = watch.record_replacement(&instance(2), seconds);
    assert_eq!(explained.len(), 1);
    assert_eq!((explained[0].identity, explained[0].at), (identity(1), NOW));
    assert!(watch.is_empty());

    watch.record_loss(&lost(1, 2), false);
    assert_eq!(
        watch.record_replacement(&instance(3), NOW + HOUR),
        Vec::new()
    );
}

#[test]
fn an_answer_to_a_call_that_began_later_withdraws_a_crash() {
    let mut watch = CrashDetector::default();
    watch.record_loss(&lost(1, 1), true);
    let before = NOW - Duration::from_millis(5);
    assert_eq!(watch.record_response(&instance(1), before), Vec::new());
    let after = NOW + Duration::from_millis(5);
    let withdrawn = watch.record_response(&instance(1), after);
    assert_eq!(withdrawn.len(), 1);
    assert_eq!(withdrawn[0].identity, identity(1));
}

#[test]
fn a_reported_crash_is_not_reported_again_by_the_next_incarnation() {
    let mut watch = CrashDetector::default();
    watch.record_loss(&lost(1, 1), true);
    assert_eq!(watch.record_replacement(&instance(2), NOW), Vec::new());
}

/// What users saw: a request that ends back ends reached one after another, far more often
/// than allowed, where back ends start again at once under their id. Order of events: the
/// answer is lost in the crash; the next start answers other calls before it has reported.
/// Cause: those answers were taken for a sign of life of the one that had crashed.
fn start(number: u32) -> InstanceId {
    let born = Some(StartedAt(u64::from(number)));
    BackendIncarnation::new("i-1", born).unwrap().name()
}

fn lost_at_start(request: u16, number: u32) -> CrashSuspect {
    CrashSuspect {
        instance: start(number),
        ..lost(request, 1)
    }
}

#[rstest]
#[case::port_stays_open(false)]
#[case::port_refuses_connections(true)]
fn an_answer_of_the_next_start_under_the_id_hides_no_crash(#[case] refuses: bool) {
    let mut watch = CrashDetector::default();
    let mut peers = PeerCrashDetector::default();
    let node = NodeId::new("node-1").unwrap();
    watch.record_loss(&lost_at_start(1, 1), refuses);
    peers.record_loss(&node, &lost_at_start(1, 1));
    let second = NOW + Duration::from_secs(1);
    // It is known under the name of the last one until it reports.
    assert_eq!(watch.record_response(&start(1), second), Vec::new());
    peers.record_response(&node, &start(1), second);
    assert!(!watch.may_have_ended(&start(1), second), "trials go on");
    let reported = second + Duration::from_secs(1);
    let explained = watch.record_replacement(&start(2), reported);
    assert_eq!(explained.len(), usize::from(!refuses));
    let present = CurrentBackend {
        instance: start(2),
        leaving: false,
    };
    let explained = peers.compare(|_| Some(present.clone()), reported);
    assert_eq!(explained.len(), 1);
}

#[test]
fn a_report_of_the_same_start_well_after_a_loss_withdraws_it() {
    let mut watch = CrashDetector::default();
    watch.record_loss(&lost_at_start(1, 1), true);
    let late = NOW + Duration::from_secs(2);
    // It may have been sent before the crash.
    assert_eq!(watch.reported_alive(&start(1), late), Vec::new());
    let later = NOW + Duration::from_secs(4);
    assert_eq!(watch.reported_alive(&start(2), later), Vec::new());
    let withdrawn = watch.reported_alive(&start(1), later);
    assert_eq!(withdrawn.len(), 1);
    assert!(watch.is_empty());
}

#[test]
fn an_answer_long_before_the_next_start_explains_a_loss() {
    let mut watch = CrashDetector::default();
    watch.record_loss(&lost_at_start(1, 1), false);
    watch.record_response(&start(1), NOW + Duration::from_millis(5));
    let later = NOW + Duration::from_secs(5);
    assert_eq!(watch.record_replacement(&start(2), later), Vec::new());
}

proptest! {
    /// What is sent to a back end that has ended is lost as well, and none of it
    /// hides the request that was lost first, nor one that was on trial.
    #[test]
    fn no_flood_of_later_losses_hides_the_first(
        later in prop::collection::vec(2_u16..500, 0..1_000),
        trial_after in 0_usize..1_000,
    ) {
        let mut watch = CrashDetector::default();
        watch.record_loss(&lost(1, 1), false);
        for (index, request) in later.iter().enumerate() {
            if index == trial_after {
                watch.record_loss(&CrashSuspect { on_trial: true, ..lost(600, 1) }, false);
            }
            watch.record_loss(&lost(*request, 1), false);
        }
        let explained = watch.record_replacement(&instance(2), NOW);
        prop_assert!(explained.len() <= 128, "{} remembered", explained.len());
        let names = |request| explained.iter().any(|loss| loss.identity == identity(request));
        prop_assert!(names(1));
        prop_assert_eq!(names(600), trial_after < later.len());
    }
}

/// A request that is lost again with the same incarnation is one loss: as old as the
/// first, for what was answered since, and disproved only by calls after the last.
#[test]
fn a_request_that_is_lost_again_is_one_loss() {
    let (later, latest) = (
        NOW + Duration::from_millis(100),
        NOW + Duration::from_millis(200),
    );
    let again = CrashSuspect {
        at: latest,
        on_trial: true,
        ..lost(1, 1)
    };
    let mut watch = CrashDetector::default();
    watch.record_loss(&lost(1, 1), false);
    watch.record_loss(&again, false);
    watch.record_response(&instance(1), later);
    let explained = watch.record_replacement(&instance(2), latest);
    assert_eq!(
        explained,
        vec![CrashSuspect {
            on_trial: true,
            ..lost(1, 1)
        }]
    );
}

/// What an entry sees beside a node.
fn present(back_end: u32, leaving: bool) -> Option<CurrentBackend> {
    let instance = instance(back_end);
    Some(CurrentBackend { instance, leaving })
}

#[rstest]
#[case::the_same_one(present(1, false), false)]
#[case::another_one(present(2, false), true)]
#[case::a_planned_end(present(1, true), false)]
#[case::another_one_that_leaves_already(present(2, true), true)]
#[case::nothing_known(None, false)]
fn an_entry_takes_another_incarnation_for_a_crash(
    #[case] beside: Option<CurrentBackend>,
    #[case] crashed: bool,
) {
    let node = NodeId::new("n-1").unwrap();
    let mut watch = PeerCrashDetector::default();
    watch.record_loss(&node, &lost(1, 1));
    let explained = watch.compare(|_| beside.clone(), NOW);
    assert_eq!(explained.len(), usize::from(crashed));
    // It is told once, and a planned end stays one.
    assert_eq!(
        watch.compare(|_| present(3, false), NOW).len(),
        usize::from(!crashed && beside != present(1, true))
    );
    assert!(watch.is_empty());
}

#[test]
fn an_entry_forgets_a_lost_answer_that_nothing_explains() {
    let node = NodeId::new("n-1").unwrap();
    let mut watch = PeerCrashDetector::default();
    watch.record_loss(&node, &lost(1, 1));
    watch.record_response(&node, &instance(1), NOW + Duration::from_millis(1));
    assert_eq!(watch.compare(|_| present(2, false), NOW), Vec::new());
    watch.record_loss(&node, &lost(1, 1));
    assert_eq!(watch.compare(|_| present(2, false), NOW + HOUR), Vec::new());
    assert!(watch.is_empty());
}

/// What users would see: a request that crashes back ends goes on doing so, since one of
/// its crashes is never counted.
///
/// Order of events: back ends report each 5 s. One ends while it runs a request and is back
/// at once under its id; its first report is lost, and a call is answered by the new start.
/// Its next report names the new start 5 s later.
///
/// Cause: the loss was forgotten 3 s after the answer, whatever the time between reports.
#[test]
fn a_start_that_reports_seldom_still_explains_a_loss() {
    let heartbeat = Duration::from_secs(5);
    let mut watch = CrashDetector::with_heartbeat(heartbeat);
    watch.record_loss(&lost_at_start(1, 1), false);
    watch.record_response(&start(1), NOW + Duration::from_millis(200));
    let explained = watch.record_replacement(&start(2), NOW + heartbeat);
    assert_eq!(explained.len(), 1);
}

/// Of a back end that names no start the next one answers under the same name.
#[test]
fn an_answer_withdraws_no_crash_after_the_port_has_stayed_closed() {
    let mut watch = CrashDetector::default();
    watch.record_loss(&lost(1, 1), true);
    watch.record_loss(&lost(2, 1), false);
    let explained = watch.ended(&instance(1)).expect("a report stands");
    assert_eq!(explained.len(), 1, "{explained:?}");
    assert_eq!(explained[0].identity, identity(2));
    assert_eq!(watch.record_response(&instance(1), NOW + HOUR), Vec::new());
    assert_eq!(watch.reported_alive(&instance(1), NOW + HOUR), Vec::new());
}

/// Connections end before the port does: the first look may come in between.
#[test]
fn a_port_that_closes_just_after_the_loss_makes_it_a_crash() {
    let mut watch = CrashDetector::default();
    watch.record_loss(&lost(1, 1), false);
    assert_eq!(watch.port_closed(&lost(1, 1)), Some(lost(1, 1)));
    assert_eq!(watch.port_closed(&lost(1, 1)), None, "it was reported");
    assert_eq!(watch.port_closed(&lost(2, 1)), None, "it was not lost");
    assert_eq!(watch.ended(&instance(1)), Some(Vec::new()));
}

#[test]
fn a_back_end_that_has_answered_meanwhile_has_not_ended() {
    let mut watch = CrashDetector::default();
    watch.record_loss(&lost(1, 1), true);
    let later = NOW + Duration::from_millis(5);
    assert_eq!(watch.record_response(&instance(1), later).len(), 1);
    assert_eq!(watch.ended(&instance(1)), None);
    watch.record_loss(&lost(1, 1), false);
    assert_eq!(watch.ended(&instance(1)), None, "nothing was reported");
}

/// Two crashes under one name are two, and another name is no earlier start.
#[test]
fn starts_that_share_a_name_are_told_apart_by_the_ends_that_were_seen() {
    let mut starts = IncarnationNames::default();
    let (name, other) = (instance(1), instance(2));
    let mut seen = vec![starts.present(&name)];
    assert_eq!(seen, std::slice::from_ref(&name), "nothing has ended");
    for _ in 0..2 {
        starts.note_end(&name);
        seen.push(starts.present(&name));
    }
    assert!(seen[0] != seen[1] && seen[1] != seen[2], "{seen:?}");
    assert_eq!(starts.present(&other), other);
    assert_eq!(BackendIncarnation::from_name(&seen[2]).started_at(), None);
    let longest = InstanceId::new(&"x".repeat(InstanceId::MAX_BYTES)).unwrap();
    starts.note_end(&longest);
    assert_ne!(starts.present(&longest), longest);
}
