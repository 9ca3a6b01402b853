//! Which lost responses are explained by a crash: a gate node detects crashes of its local
//! backend, and an entry node those of the backends of other nodes.

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

/// A lost response to the request with this number, at the backend with this number.
fn suspect(request: u16, backend: u32) -> CrashSuspect {
    CrashSuspect {
        identity: identity(request),
        instance: instance(backend),
        at: NOW,
        on_trial: false,
    }
}

#[test]
fn a_lost_response_alone_is_no_crash() {
    let mut detector = CrashDetector::default();
    detector.record_loss(&suspect(1, 1), false);
    assert_eq!(detector.record_replacement(&instance(1), NOW), Vec::new());
    assert_eq!(
        detector.record_response(&instance(1), NOW + HOUR),
        Vec::new()
    );
    assert!(detector.is_empty(), "a response disproves it");
}

#[test]
fn another_incarnation_soon_after_explains_a_lost_response() {
    let mut detector = CrashDetector::default();
    detector.record_loss(&suspect(1, 1), false);
    let seconds = NOW + Duration::from_secs(4);
    let explained = detector.record_replacement(&instance(2), seconds);
    assert_eq!(explained.len(), 1);
    assert_eq!((explained[0].identity, explained[0].at), (identity(1), NOW));
    assert!(detector.is_empty());

    detector.record_loss(&suspect(1, 2), false);
    assert_eq!(
        detector.record_replacement(&instance(3), NOW + HOUR),
        Vec::new()
    );
}

#[test]
fn a_response_to_a_call_that_began_later_withdraws_a_crash() {
    let mut detector = CrashDetector::default();
    detector.record_loss(&suspect(1, 1), true);
    let before = NOW - Duration::from_millis(5);
    assert_eq!(detector.record_response(&instance(1), before), Vec::new());
    let after = NOW + Duration::from_millis(5);
    let withdrawn = detector.record_response(&instance(1), after);
    assert_eq!(withdrawn.len(), 1);
    assert_eq!(withdrawn[0].identity, identity(1));
}

#[test]
fn a_reported_crash_is_not_reported_again_by_the_next_incarnation() {
    let mut detector = CrashDetector::default();
    detector.record_loss(&suspect(1, 1), true);
    assert_eq!(detector.record_replacement(&instance(2), NOW), Vec::new());
}

/// Incarnation of a backend that reports its start time and keeps its id. The tests with it
/// guard against missing the crashes of a poison request: the next incarnation answers
/// other calls before it has reported, and these responses must not count as a sign that
/// the crashed one is running.
fn incarnation(number: u32) -> InstanceId {
    let born = Some(StartedAt(u64::from(number)));
    BackendIncarnation::new("i-1", born).unwrap().name()
}

/// A lost response at an incarnation of a backend that keeps its id.
fn suspect_at_incarnation(request: u16, number: u32) -> CrashSuspect {
    CrashSuspect {
        instance: incarnation(number),
        ..suspect(request, 1)
    }
}

#[rstest]
#[case::port_stays_open(false)]
#[case::port_refuses_connections(true)]
fn a_response_of_the_next_incarnation_under_the_id_hides_no_crash(#[case] refuses: bool) {
    let mut detector = CrashDetector::default();
    let mut peers = PeerCrashDetector::default();
    let node = NodeId::new("node-1").unwrap();
    detector.record_loss(&suspect_at_incarnation(1, 1), refuses);
    peers.record_loss(&node, &suspect_at_incarnation(1, 1));
    let second = NOW + Duration::from_secs(1);
    // Until the new incarnation reports, it answers under the name of the old one.
    assert_eq!(
        detector.record_response(&incarnation(1), second),
        Vec::new()
    );
    peers.record_response(&node, &incarnation(1), second);
    assert!(
        !detector.may_have_ended(&incarnation(1), second),
        "trials go on"
    );
    let reported = second + Duration::from_secs(1);
    let explained = detector.record_replacement(&incarnation(2), reported);
    assert_eq!(explained.len(), usize::from(!refuses));
    let present = CurrentBackend {
        instance: incarnation(2),
        leaving: false,
    };
    let explained = peers.compare(|_| Some(present.clone()), reported);
    assert_eq!(explained.len(), 1);
}

#[test]
fn a_report_of_the_same_incarnation_well_after_a_loss_withdraws_it() {
    let mut detector = CrashDetector::default();
    detector.record_loss(&suspect_at_incarnation(1, 1), true);
    let late = NOW + Duration::from_secs(2);
    // The report at `late` may have been sent before the crash.
    assert_eq!(detector.reported_alive(&incarnation(1), late), Vec::new());
    let later = NOW + Duration::from_secs(4);
    assert_eq!(detector.reported_alive(&incarnation(2), later), Vec::new());
    let withdrawn = detector.reported_alive(&incarnation(1), later);
    assert_eq!(withdrawn.len(), 1);
    assert!(detector.is_empty());
}

#[test]
fn a_response_long_before_the_next_incarnation_explains_a_loss() {
    let mut detector = CrashDetector::default();
    detector.record_loss(&suspect_at_incarnation(1, 1), false);
    detector.record_response(&incarnation(1), NOW + Duration::from_millis(5));
    let later = NOW + Duration::from_secs(5);
    assert_eq!(
        detector.record_replacement(&incarnation(2), later),
        Vec::new()
    );
}

proptest! {
    /// The responses to calls that are sent to a backend after its end are lost as well.
    /// They must not displace the request that was lost first, nor one that was in a quarantine trial.
    #[test]
    fn no_flood_of_later_losses_hides_the_first(
        later in prop::collection::vec(2_u16..500, 0..1_000),
        trial_after in 0_usize..1_000,
    ) {
        let mut detector = CrashDetector::default();
        detector.record_loss(&suspect(1, 1), false);
        for (index, request) in later.iter().enumerate() {
            if index == trial_after {
                detector.record_loss(&CrashSuspect { on_trial: true, ..suspect(600, 1) }, false);
            }
            detector.record_loss(&suspect(*request, 1), false);
        }
        let explained = detector.record_replacement(&instance(2), NOW);
        prop_assert!(explained.len() <= 128, "{} remembered", explained.len());
        let names = |request| explained.iter().any(|loss| loss.identity == identity(request));
        prop_assert!(names(1));
        prop_assert_eq!(names(600), trial_after < later.len());
    }
}

/// If responses to the same request are lost repeatedly at one incarnation, they count as
/// one loss since the first of them. Only a response to a call that began after the last of
/// them disproves a crash.
#[test]
fn a_request_that_is_lost_again_is_one_loss() {
    let (later, latest) = (
        NOW + Duration::from_millis(100),
        NOW + Duration::from_millis(200),
    );
    let again = CrashSuspect {
        at: latest,
        on_trial: true,
        ..suspect(1, 1)
    };
    let mut detector = CrashDetector::default();
    detector.record_loss(&suspect(1, 1), false);
    detector.record_loss(&again, false);
    detector.record_response(&instance(1), later);
    let explained = detector.record_replacement(&instance(2), latest);
    assert_eq!(
        explained,
        vec![CrashSuspect {
            on_trial: true,
            ..suspect(1, 1)
        }]
    );
}

/// Current backend of a node, as the member table shows it to an entry node.
fn present(backend: u32, leaving: bool) -> Option<CurrentBackend> {
    let instance = instance(backend);
    Some(CurrentBackend { instance, leaving })
}

#[rstest]
#[case::the_same_one(present(1, false), false)]
#[case::another_one(present(2, false), true)]
#[case::a_planned_end(present(1, true), false)]
#[case::another_one_that_leaves_already(present(2, true), true)]
#[case::nothing_known(None, false)]
fn entry_node_reports_a_crash_if_another_incarnation_runs(
    #[case] current: Option<CurrentBackend>,
    #[case] crashed: bool,
) {
    let node = NodeId::new("n-1").unwrap();
    let mut detector = PeerCrashDetector::default();
    detector.record_loss(&node, &suspect(1, 1));
    let explained = detector.compare(|_| current.clone(), NOW);
    assert_eq!(explained.len(), usize::from(crashed));
    // The crash is not reported again, and a planned end is not reported as a crash.
    assert_eq!(
        detector.compare(|_| present(3, false), NOW).len(),
        usize::from(!crashed && current != present(1, true))
    );
    assert!(detector.is_empty());
}

#[test]
fn entry_node_drops_a_lost_response_after_a_later_response() {
    let node = NodeId::new("n-1").unwrap();
    let mut detector = PeerCrashDetector::default();
    detector.record_loss(&node, &suspect(1, 1));
    detector.record_response(&node, &instance(1), NOW + Duration::from_millis(1));
    assert_eq!(detector.compare(|_| present(2, false), NOW), Vec::new());
    detector.record_loss(&node, &suspect(1, 1));
    assert_eq!(
        detector.compare(|_| present(2, false), NOW + HOUR),
        Vec::new()
    );
    assert!(detector.is_empty());
}

/// A backend that reports every 5 s crashes and restarts, its first report is lost, and the
/// new incarnation answers a call before its next report. The lost response must be kept
/// until that report, so that each crash of a poison request is counted.
#[test]
fn an_incarnation_that_reports_seldom_still_explains_a_loss() {
    let heartbeat = Duration::from_secs(5);
    let mut detector = CrashDetector::with_heartbeat(heartbeat);
    detector.record_loss(&suspect_at_incarnation(1, 1), false);
    detector.record_response(&incarnation(1), NOW + Duration::from_millis(200));
    let explained = detector.record_replacement(&incarnation(2), NOW + heartbeat);
    assert_eq!(explained.len(), 1);
}

/// The next incarnation of a backend without start time answers under the same id, so that
/// its response must not withdraw the crash report.
#[test]
fn a_response_withdraws_no_crash_after_the_port_has_stayed_closed() {
    let mut detector = CrashDetector::default();
    detector.record_loss(&suspect(1, 1), true);
    detector.record_loss(&suspect(2, 1), false);
    let explained = detector
        .ended(&instance(1))
        .expect("a report was not withdrawn");
    assert_eq!(explained.len(), 1, "{explained:?}");
    assert_eq!(explained[0].identity, identity(2));
    assert_eq!(
        detector.record_response(&instance(1), NOW + HOUR),
        Vec::new()
    );
    assert_eq!(
        detector.reported_alive(&instance(1), NOW + HOUR),
        Vec::new()
    );
}

/// Connections end before the port closes, so the first check of the port may find it open.
#[test]
fn a_port_that_closes_just_after_the_loss_makes_it_a_crash() {
    let mut detector = CrashDetector::default();
    detector.record_loss(&suspect(1, 1), false);
    assert_eq!(detector.port_closed(&suspect(1, 1)), Some(suspect(1, 1)));
    assert_eq!(
        detector.port_closed(&suspect(1, 1)),
        None,
        "the crash was reported before"
    );
    assert_eq!(
        detector.port_closed(&suspect(2, 1)),
        None,
        "its response was not lost"
    );
    assert_eq!(detector.ended(&instance(1)), Some(Vec::new()));
}

/// A response to a call that began after the loss withdraws the crash report.
#[test]
fn a_backend_that_answers_after_a_loss_is_not_reported_as_ended() {
    let mut detector = CrashDetector::default();
    detector.record_loss(&suspect(1, 1), true);
    let later = NOW + Duration::from_millis(5);
    assert_eq!(detector.record_response(&instance(1), later).len(), 1);
    assert_eq!(detector.ended(&instance(1)), None);
    detector.record_loss(&suspect(1, 1), false);
    assert_eq!(detector.ended(&instance(1)), None, "nothing was reported");
}

/// Two crashes under one id count as two, and a backend with another id is separate.
#[test]
fn incarnations_that_share_an_id_get_distinct_names() {
    let mut names = IncarnationNames::default();
    let (name, other) = (instance(1), instance(2));
    let mut seen = vec![names.present(&name)];
    assert_eq!(seen, std::slice::from_ref(&name), "nothing has ended");
    for _ in 0..2 {
        names.note_end(&name);
        seen.push(names.present(&name));
    }
    assert!(seen[0] != seen[1] && seen[1] != seen[2], "{seen:?}");
    assert_eq!(names.present(&other), other);
    assert_eq!(BackendIncarnation::from_name(&seen[2]).started_at(), None);
    let longest = InstanceId::new(&"x".repeat(InstanceId::MAX_BYTES)).unwrap();
    names.note_end(&longest);
    assert_ne!(names.present(&longest), longest);
}
