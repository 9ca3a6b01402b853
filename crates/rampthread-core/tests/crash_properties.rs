//! Crash reports merge in any order, a cleared report stays cleared, and the memory for reports
//! is bounded.

mod crash_cases;

use crash_cases::{HOUR, NOW, identity, instance};
use proptest::prelude::*;
use rampthread_core::call::identity::{IdentityKey, RequestContent};
use rampthread_core::call::quarantine::{CrashCounts, QuarantineState};
use rampthread_core::call::recent_responses::RecentResponses;
use rampthread_core::fleet::{
    Action, Agent, AgentIdentity, CrashReport, CrashTable, FleetSettings, MAX_SUSPECTS,
    MergeOutcome,
};
use rampthread_core::ids::{NodeId, Region, Zone};
use rstest::rstest;
use std::time::Duration;

fn report(request: u16, backend_number: u32, age: Duration, cleared: bool) -> CrashReport {
    CrashReport {
        identity: identity(request),
        instance: instance(backend_number),
        age,
        on_trial: false,
        cleared,
    }
}

/// Report of a crash during a quarantine trial, in which one backend runs a quarantined request
/// again.
fn trial_report(request: u16, backend_number: u32) -> CrashReport {
    CrashReport {
        on_trial: true,
        ..report(request, backend_number, Duration::ZERO, false)
    }
}

/// Number of crashes of a request, and how many of them happened in quarantine trials.
fn crash_counts(crashes: usize, in_trials: usize) -> CrashCounts {
    CrashCounts { crashes, in_trials }
}

fn any_report() -> impl Strategy<Value = CrashReport> {
    (
        0_u16..4,
        0_u32..6,
        0_u64..20_000,
        prop::bool::weighted(0.2),
        any::<bool>(),
    )
        .prop_map(
            |(request, backend_number, age, cleared, on_trial)| CrashReport {
                on_trial,
                ..report(request, backend_number, Duration::from_millis(age), cleared)
            },
        )
}

/// Returns a crash table into which the reports were merged in this order.
fn table_of(reports: &[CrashReport]) -> CrashTable {
    let mut table = CrashTable::default();
    for report in reports {
        table.merge(report, NOW);
    }
    table
}

proptest! {
    /// Crash tables that merge the same reports, in any order and with repetitions, have the
    /// same quarantine state for each request.
    #[test]
    fn reports_merge_in_any_order(
        reports in prop::collection::vec(any_report(), 0..40),
        shuffled in Just(()).prop_perturb(|(), rng| rng),
        repeated in 0_usize..10,
    ) {
        let mut other = reports.clone();
        other.extend(reports.iter().take(repeated).cloned());
        let mut rng = shuffled;
        for index in (1..other.len()).rev() {
            other.swap(index, rng.random_range(0..=index));
        }
        let (left, right) = (table_of(&reports), table_of(&other));
        prop_assert_eq!(left.digest(), right.digest());
        for request in 0..4 {
            let (left, right) = (left.standing(&identity(request), NOW), right.standing(&identity(request), NOW));
            prop_assert_eq!(left, right);
        }
    }

    /// A late copy of a report does not revoke that it was cleared.
    #[test]
    fn cleared_reports_stay_cleared(reports in prop::collection::vec(any_report(), 1..30)) {
        let mut table = table_of(&reports);
        for request in 0..4 {
            table.clear(&identity(request), NOW, NOW);
        }
        for late in &reports {
            let late = CrashReport { cleared: false, ..late.clone() };
            prop_assert_eq!(table.merge(&late, NOW), MergeOutcome::Outdated);
        }
        for request in 0..4 {
            prop_assert_eq!(table.standing(&identity(request), NOW), QuarantineState::Unsuspected);
        }
    }

    /// However many requests run at crashes, memory is bounded, and a request with several
    /// crashes is not evicted.
    #[test]
    fn many_suspects_do_not_evict_a_poison_request(backend_count in 2_u32..5, suspects in 1_100_u16..3_000) {
        let mut table = CrashTable::default();
        for backend_number in 0..backend_count {
            table.merge(&report(0, backend_number, HOUR / 100, false), NOW);
        }
        for request in 1..suspects {
            table.merge(&report(request, u32::from(request), Duration::ZERO, false), NOW);
        }
        prop_assert!(table.len() <= MAX_SUSPECTS);
        let crashes = backend_count as usize;
        prop_assert!(!matches!(table.standing(&identity(0), NOW), QuarantineState::Unsuspected | QuarantineState::Suspected));
        prop_assert_eq!(table.uncleared_reports(&identity(0), NOW).len(), crashes);
    }

    /// Requests that differ in any part have different identities, however the bytes are
    /// divided among the parts.
    #[test]
    fn different_requests_have_different_identities(
        parts in prop::array::uniform4("[a-c]{0,3}"),
        others in prop::array::uniform4("[a-c]{0,3}"),
    ) {
        let key = IdentityKey::default();
        let of = |parts: &[String; 4]| key.identify(&RequestContent {
            method: &parts[0],
            authority: &parts[1],
            target: &parts[2],
            body: parts[3].as_bytes(),
        });
        prop_assert_eq!(of(&parts) == of(&others), parts == others);
        let other_fleet = IdentityKey::from_secret(b"another");
        let content = RequestContent {
            method: &parts[0],
            authority: &parts[1],
            target: &parts[2],
            body: parts[3].as_bytes(),
        };
        prop_assert!(other_fleet.identify(&content) != key.identify(&content));
    }
}

#[rstest]
#[case(0, 0, Duration::ZERO)]
#[case(1, 0, Duration::ZERO)]
#[case(2, 0, Duration::from_secs(2))]
#[case(1_000, 0, Duration::from_secs(2))]
#[case(3, 1, Duration::from_secs(600))]
#[case(9, 1, Duration::from_secs(600))]
#[case(4, 2, Duration::from_secs(1_200))]
#[case(6, 4, HOUR)]
#[case(1_000, 1_000, HOUR)]
fn each_crash_in_a_trial_extends_the_quarantine(
    #[case] crashes: usize,
    #[case] in_trials: usize,
    #[case] expected: Duration,
) {
    assert_eq!(crash_counts(crashes, in_trials).quarantine(), expected);
}

/// A popular request runs on many backends when a whole service crashes at once. That alone
/// must not lead to a long quarantine.
#[test]
fn crashes_outside_of_trials_do_not_extend_the_quarantine() {
    let reports: Vec<CrashReport> = (0..8)
        .map(|backend_number| report(1, backend_number, Duration::ZERO, false))
        .collect();
    let table = table_of(&reports);
    let short = crash_counts(2, 0).quarantine();
    let standing = table.standing(&identity(1), NOW + short);
    assert_eq!(standing, QuarantineState::OnTrial { crashes: 8 });
}

#[test]
fn quarantine_ends_in_a_trial_and_expires() {
    let mut table = CrashTable::default();
    for backend_number in 0..2 {
        table.merge(&report(1, backend_number, Duration::ZERO, false), NOW);
    }
    let standing = |table: &CrashTable, after: Duration| table.standing(&identity(1), NOW + after);
    let left = crash_counts(2, 0).quarantine();
    let quarantined = QuarantineState::Quarantined { crashes: 2, left };
    assert_eq!(standing(&table, Duration::ZERO), quarantined);
    assert_eq!(
        standing(&table, left),
        QuarantineState::OnTrial { crashes: 2 }
    );
    table.merge(&trial_report(1, 3), NOW + left);
    let again = QuarantineState::Quarantined {
        crashes: 3,
        left: crash_counts(3, 1).quarantine(),
    };
    assert_eq!(standing(&table, left), again);
    table.forget_old(NOW + left + crash_counts(3, 1).retention());
    assert!(table.is_empty());
}

/// The gate node may report that the crash happened in a quarantine trial (the request ran alone)
/// after the entry node has reported the crash. The table must take over the trial mark.
#[test]
fn trial_mark_may_arrive_after_the_crash_report() {
    let mut table = table_of(&[
        report(1, 1, Duration::ZERO, false),
        report(1, 2, Duration::ZERO, false),
    ]);
    let before = table.digest();
    assert_eq!(table.merge(&trial_report(1, 2), NOW), MergeOutcome::New);
    assert_ne!(table.digest(), before);
    assert_eq!(
        table.merge(&report(1, 2, Duration::ZERO, false), NOW),
        MergeOutcome::Known
    );
    let left = crash_counts(2, 1).quarantine();
    let standing = table.standing(&identity(1), NOW);
    assert_eq!(standing, QuarantineState::Quarantined { crashes: 2, left });
}

#[test]
fn single_crash_only_makes_a_suspect() {
    let table = table_of(&[report(1, 1, Duration::ZERO, false)]);
    assert_eq!(
        table.standing(&identity(1), NOW),
        QuarantineState::Suspected
    );
    assert_eq!(
        table.digest(),
        0,
        "requests with a single crash are not reconciled"
    );
}

/// Peers reconcile all reports of the last seconds, including single crashes. Whether a report
/// was cleared makes no difference.
#[test]
fn all_recent_reports_are_reconciled() {
    let (young, recent, old) = (
        Duration::from_millis(500),
        Duration::from_secs(3),
        Duration::from_secs(20),
    );
    let seen = [report(1, 1, recent, false), report(2, 1, recent, false)];
    let other = [report(1, 1, recent, true), report(2, 1, recent, false)];
    let more = [
        report(3, 1, young, false),
        report(4, 1, old, false),
        report(2, 1, recent, false),
        report(1, 1, recent, false),
    ];
    let digest = |reports: &[CrashReport]| table_of(reports).recent_digest(NOW);
    assert_ne!(digest(&seen), digest(&seen[..1]));
    assert_eq!(digest(&seen), digest(&other));
    assert_eq!(digest(&seen), digest(&more));
    assert_eq!(table_of(&more).recent(NOW).len(), 2);
    assert_eq!(digest(&more[..2]), 0);
}

/// A response to a request clears the crash reports against it from before the response.
#[test]
fn response_clears_earlier_crash_reports_only() {
    let (early, late) = (Duration::from_secs(5), Duration::from_secs(1));
    let mut table = table_of(&[report(1, 1, early, false), report(1, 2, late, false)]);
    let responded_at = NOW - Duration::from_secs(3);
    assert_eq!(table.clear(&identity(1), responded_at, NOW).len(), 1);
    assert_eq!(
        table.standing(&identity(1), NOW),
        QuarantineState::Suspected
    );
}

proptest! {
    /// Responses are remembered long enough, and their number is bounded.
    #[test]
    fn recent_responses_are_remembered(gaps in prop::collection::vec(0_u64..20_000, 1..6_000)) {
        let mut responses = RecentResponses::default();
        let mut now = NOW;
        for (index, gap) in gaps.iter().enumerate() {
            now = now + Duration::from_micros(*gap);
            responses.note(identity(index as u16), now);
            prop_assert!(responses.len() <= 4_096);
        }
        let newest = identity(gaps.len() as u16 - 1);
        prop_assert_eq!(responses.last(&newest), Some(now));
    }
}

/// When a node withdraws a crash report, its persisted record is deleted. Otherwise a restart of
/// all nodes would restore it.
#[test]
fn record_of_a_withdrawn_crash_report_is_deleted() {
    let name = |text: &str| NodeId::new(text).unwrap();
    let identity = AgentIdentity {
        id: name("n-1"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: Zone::new("zone").unwrap(),
        region: Region::new("region").unwrap(),
        process_epoch: 1,
    };
    let mut agent = Agent::new(identity, FleetSettings::for_documents(), &[], 1, NOW);
    let crashes = [1, 2].map(|backend_number| report(1, backend_number, Duration::ZERO, false));
    let withdrawn = report(1, 2, Duration::ZERO, true);
    let actions = agent.report_crashes(&crashes, NOW);
    assert!(actions.contains(&Action::RecordCrashes(crashes.to_vec())));
    let actions = agent.report_crashes(std::slice::from_ref(&withdrawn), NOW);
    assert!(
        actions.contains(&Action::ForgetCrashes(vec![withdrawn])),
        "{actions:?}"
    );
}
