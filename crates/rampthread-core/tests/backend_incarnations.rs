//! Incarnations of a backend, whose reports may arrive in any order.
//!
//! If incarnations were told apart by the backend's id alone, the reports of one restarted
//! under the same id would be acknowledged without being applied: it would get no work, or get
//! work while draining. See `platform_same_id.rs` of `rampthread`.

mod mesh;

use mesh::endpoint_record;
use proptest::prelude::*;
use rampthread_core::backend_incarnation::{BackendIncarnation, MAX_BACKEND_ID_BYTES, StartedAt};
use rampthread_core::fleet::{
    BackendReport, BackendTracker, EndpointRecord, MIN_SUPERSEDE_TIME, ReportStatus,
};
use rampthread_core::ids::InstanceId;
use rampthread_core::time::Moment;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

const START: Moment = Moment(3_600_000_000);
/// Interval between reports of a backend.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the incarnation of a backend with this id and start time.
fn incarnation(id: &str, started_at: Option<u64>) -> BackendIncarnation {
    BackendIncarnation::new(id, started_at.map(StartedAt)).unwrap()
}

/// Returns the state that this backend incarnation reports in a heartbeat.
fn record(of: &BackendIncarnation, sequence: u64, draining: bool) -> EndpointRecord {
    endpoint_record(of.name().as_str(), sequence, draining)
}

fn heartbeat_report(of: &BackendIncarnation, sequence: u64, draining: bool) -> BackendReport {
    BackendReport::Heartbeat(record(of, sequence, draining))
}

/// Backend tracker of a node, with the latest backend state that it has announced to other
/// nodes.
struct TrackerFixture {
    tracker: BackendTracker,
    announced: Option<EndpointRecord>,
    now: Moment,
}

impl TrackerFixture {
    fn new() -> Self {
        Self {
            tracker: BackendTracker::default(),
            announced: None,
            now: START,
        }
    }

    /// Applies a report now and keeps the state that the tracker announces.
    fn apply(&mut self, report: BackendReport) -> ReportStatus {
        let status = self.tracker.apply_report(report, self.now);
        if let ReportStatus::Changed(record) = &status {
            self.announced = Some(record.clone());
        }
        status
    }

    fn wait(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    /// Returns true if the announced state is of this incarnation with the given draining flag.
    fn announces(&self, of: &BackendIncarnation, draining: bool) -> bool {
        let held = self.announced.as_ref();
        held.is_some_and(|held| held.instance == of.name() && held.draining == draining)
    }

    /// Sends a heartbeat every second until one is applied. Returns the number of heartbeats
    /// before that one.
    fn heartbeats_until_applied(
        &mut self,
        of: &BackendIncarnation,
        first: u64,
        draining: bool,
    ) -> u32 {
        for heartbeats in 0..20_u32 {
            let status = self.apply(heartbeat_report(
                of,
                first + u64::from(heartbeats),
                draining,
            ));
            if status != ReportStatus::PossiblyStale {
                return heartbeats;
            }
            self.wait(HEARTBEAT_INTERVAL);
        }
        panic!("{of} keeps reporting without being accepted");
    }
}

/// An action of a backend, or a message delayed by the network.
#[derive(Debug, Clone)]
enum Step {
    /// The current incarnation sends a heartbeat, draining or not.
    Heartbeat { draining: bool },
    /// The current incarnation deregisters.
    Departs,
    /// The backend ends and starts again. `later_ms` is the difference between the two start
    /// times by its own clock.
    Restarts { later_ms: i64, same_id: bool },
    /// A copy of an earlier report arrives.
    LateReport { index: usize },
}

/// Generates a random step of a backend or of the network.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => prop::bool::weighted(0.15).prop_map(|draining| Step::Heartbeat { draining }),
        1 => Just(Step::Departs),
        2 => (1_i64..5_000, any::<bool>())
            .prop_map(|(later_ms, same_id)| Step::Restarts { later_ms, same_id }),
        4 => any::<usize>().prop_map(|index| Step::LateReport { index }),
    ]
}

proptest! {
    /// With a monotonic clock, reports of the newest incarnation are applied at once and late
    /// reports of earlier ones are not.
    #[test]
    fn newest_incarnation_is_announced(steps in prop::collection::vec(step(), 1..120)) {
        let mut fixture = TrackerFixture::new();
        let (mut started_at, mut ids, mut sequence, mut draining) = (1_000_i64, 0, 0, false);
        let mut present = incarnation("i-0", Some(1_000));
        let mut sent: Vec<BackendReport> = Vec::new();
        let mut has_reported = false;
        for step in steps {
            fixture.wait(Duration::from_millis(100));
            match step {
                Step::Heartbeat { draining: now_drains } => {
                    draining |= now_drains;
                    sequence += 1;
                    let report = heartbeat_report(&present, sequence, draining);
                    sent.push(report.clone());
                    let status = fixture.apply(report);
                    prop_assert!(status != ReportStatus::PossiblyStale);
                    has_reported = true;
                    prop_assert!(fixture.announces(&present, draining), "{present} {:?}", fixture.announced);
                }
                Step::Departs => {
                    draining = true;
                    let report = BackendReport::Departure(present.clone());
                    sent.push(report.clone());
                    fixture.apply(report);
                    let offered = fixture.announced.as_ref().is_some_and(|held| {
                        held.instance == present.name() && !held.draining
                    });
                    prop_assert!(!offered);
                    if has_reported {
                        prop_assert!(fixture.announces(&present, true));
                    }
                }
                Step::Restarts { later_ms, same_id } => {
                    started_at += later_ms;
                    ids += u32::from(!same_id);
                    present = incarnation(&format!("i-{ids}"), Some(started_at as u64));
                    (sequence, draining, has_reported) = (0, false, false);
                }
                Step::LateReport { index } => {
                    if sent.is_empty() {
                        continue;
                    }
                    let before = fixture.announced.clone();
                    let late = sent[index % sent.len()].clone();
                    fixture.apply(late);
                    if has_reported {
                        prop_assert_eq!(&fixture.announced, &before);
                    }
                }
            }
        }
    }

    /// Whatever the clocks, only reports that are applied are acknowledged, and a new
    /// incarnation that keeps reporting is accepted within the supersede time. Not covered: a
    /// start with the same id and start time as a departed one, which counts as departed.
    /// Without start times, such a report is at least never acknowledged.
    #[test]
    fn acknowledged_reports_are_applied(
        starts in prop::collection::vec(
            (prop::option::of(0_u64..4), 0_u8..2, 1_u64..30, any::<bool>(), any::<bool>()),
            1..12,
        ),
        late in prop::collection::vec(any::<usize>(), 0..4),
    ) {
        let mut fixture = TrackerFixture::new();
        let mut sent: Vec<BackendReport> = Vec::new();
        let mut departed = BTreeSet::new();
        for (started_at, id, heartbeats, draining, departs) in starts {
            let present = incarnation(&format!("i-{id}"), started_at);
            if departed.contains(&present) {
                if started_at.is_none() && fixture.announces(&present, true) {
                    fixture.wait(HEARTBEAT_INTERVAL);
                    let status = fixture.apply(heartbeat_report(&present, heartbeats, false));
                    prop_assert!(status == ReportStatus::PossiblyStale || fixture.announces(&present, false));
                }
                continue;
            }
            for index in &late {
                if !sent.is_empty() {
                    fixture.apply(sent[index % sent.len()].clone());
                }
            }
            fixture.wait(HEARTBEAT_INTERVAL);
            let waited = fixture.heartbeats_until_applied(&present, 1, false);
            let bound = MIN_SUPERSEDE_TIME.as_secs() as u32 + 1;
            prop_assert!(waited <= bound, "{present} was accepted after {waited} reports");
            prop_assert!(fixture.announces(&present, false), "{present} {:?}", fixture.announced);
            let mut sequence = u64::from(waited) + 1;
            for _ in 0..heartbeats {
                sequence += 1;
                fixture.wait(HEARTBEAT_INTERVAL);
                let report = heartbeat_report(&present, sequence, false);
                sent.push(report.clone());
                prop_assert!(fixture.apply(report) != ReportStatus::PossiblyStale);
            }
            if draining {
                fixture.wait(HEARTBEAT_INTERVAL);
                sequence += 1 + u64::from(fixture.heartbeats_until_applied(&present, sequence + 1, true));
                prop_assert!(fixture.announces(&present, true), "{present} {:?}", fixture.announced);
                departed.insert(present.clone());
                sent.push(heartbeat_report(&present, sequence, true));
            }
            if departs {
                fixture.wait(HEARTBEAT_INTERVAL);
                let report = BackendReport::Departure(present.clone());
                prop_assert!(fixture.apply(report) != ReportStatus::PossiblyStale);
                prop_assert!(fixture.announces(&present, true));
                departed.insert(present.clone());
            }
        }
    }

    /// The name of an incarnation parses to the same incarnation, and names of different
    /// incarnations differ.
    #[test]
    fn incarnation_names_are_unique(
        left in ("[a-zA-Z0-9_-]{1,41}", prop::option::of(any::<u64>())),
        right in ("[a-z.]{1,6}", prop::option::of(any::<u64>())),
    ) {
        let made = |(id, started_at): &(String, Option<u64>)| {
            BackendIncarnation::new(id, started_at.map(StartedAt)).ok()
        };
        for incarnation in [made(&left), made(&right)].into_iter().flatten() {
            prop_assert_eq!(BackendIncarnation::from_name(&incarnation.name()), incarnation);
        }
        if let (Some(left), Some(right)) = (made(&left), made(&right)) {
            prop_assert_eq!(left == right, left.name() == right.name());
        }
    }
}

#[rstest]
#[case::too_long(&"i".repeat(MAX_BACKEND_ID_BYTES + 1))]
#[case::like_a_name_with_start_time("i-1..5")]
#[case::invalid_name("i 1")]
fn ambiguous_id_is_rejected(#[case] id: &str) {
    assert!(BackendIncarnation::new(id, None).is_err());
}

#[test]
fn name_without_start_time_is_an_id() {
    let name = InstanceId::new(&"i".repeat(InstanceId::MAX_BYTES)).unwrap();
    let incarnation = BackendIncarnation::from_name(&name);
    assert_eq!((incarnation.id(), incarnation.started_at()), (&name, None));
}

/// The two incarnations differ only in their start times, and the second start time is not known
/// to be later than the first.
#[rstest]
#[case::earlier(Some(5_000), Some(4_000))]
#[case::equal(Some(5_000), Some(5_000))]
#[case::unknown(None, None)]
#[case::missing(Some(5_000), None)]
fn apparently_earlier_incarnation_is_accepted_if_it_persists(
    #[case] first: Option<u64>,
    #[case] second: Option<u64>,
) {
    let mut fixture = TrackerFixture::new();
    let (first, second) = (incarnation("i-0", first), incarnation("i-0", second));
    for sequence in 1..50 {
        fixture.apply(heartbeat_report(&first, sequence, false));
    }
    fixture.apply(BackendReport::Departure(first.clone()));
    assert!(fixture.announces(&first, true));
    fixture.wait(HEARTBEAT_INTERVAL);
    let heartbeats = fixture.heartbeats_until_applied(&second, 1, false);
    assert!((1..=6).contains(&heartbeats), "{heartbeats}");
    assert!(fixture.announces(&second, false));
    // Further reports of the accepted incarnation are applied at once.
    let draining = heartbeat_report(&second, 100, true);
    assert!(matches!(fixture.apply(draining), ReportStatus::Changed(_)));
}

#[test]
fn delayed_reports_do_not_restore_an_earlier_incarnation() {
    let mut fixture = TrackerFixture::new();
    let (first, second) = (incarnation("i-0", Some(1)), incarnation("i-1", Some(2)));
    fixture.apply(heartbeat_report(&second, 1, false));
    for round in 0..30 {
        fixture.wait(HEARTBEAT_INTERVAL);
        assert_eq!(
            fixture.apply(heartbeat_report(&first, 40 + round, true)),
            ReportStatus::PossiblyStale
        );
        assert_eq!(
            fixture.apply(heartbeat_report(&second, 2 + round, false)),
            ReportStatus::Unchanged
        );
    }
    assert!(fixture.announces(&second, false));
}

#[test]
fn departure_before_the_first_heartbeat_is_kept() {
    let mut fixture = TrackerFixture::new();
    let (first, second) = (incarnation("i-0", Some(1)), incarnation("i-0", Some(2)));
    fixture.apply(heartbeat_report(&first, 7, false));
    fixture.apply(BackendReport::Departure(second.clone()));
    assert!(fixture.announces(&second, true));
    fixture.apply(heartbeat_report(&second, 1, false));
    assert!(fixture.announces(&second, true));
}

#[test]
fn departure_without_start_time_applies_to_the_current_incarnation() {
    let mut fixture = TrackerFixture::new();
    let present = incarnation("i-0", Some(1));
    fixture.apply(heartbeat_report(&present, 7, false));
    fixture.apply(BackendReport::Departure(incarnation("i-0", None)));
    assert!(fixture.announces(&present, true));
}

#[test]
fn departure_of_a_candidate_is_not_acknowledged() {
    let mut fixture = TrackerFixture::new();
    let (first, second) = (incarnation("i-0", Some(9)), incarnation("i-0", Some(3)));
    fixture.apply(heartbeat_report(&first, 7, false));
    fixture.apply(heartbeat_report(&second, 1, false));
    let departure = BackendReport::Departure(second.clone());
    assert_eq!(fixture.apply(departure), ReportStatus::PossiblyStale);
}

#[test]
fn missing_start_time_is_taken_from_the_next_report() {
    let mut fixture = TrackerFixture::new();
    let (unknown, known) = (incarnation("i-0", None), incarnation("i-0", Some(3)));
    let remembered = fixture.tracker.restore(record(&unknown, 40, true));
    fixture.announced = remembered;
    // The heartbeat names the start time of the incarnation, which the restored record lacks.
    // The departure in the record must still apply.
    fixture.apply(heartbeat_report(&known, 41, true));
    assert!(fixture.announces(&known, true));
}

#[test]
fn incarnation_after_a_restored_departure_accepts_work() {
    let mut fixture = TrackerFixture::new();
    let (first, second) = (incarnation("i-0", Some(1)), incarnation("i-0", Some(2)));
    fixture.announced = fixture.tracker.restore(record(&first, 40, true));
    assert!(fixture.announces(&first, true));
    fixture.apply(heartbeat_report(&second, 1, false));
    assert!(fixture.announces(&second, false));
}

/// Two reports of an earlier incarnation, delayed by a network partition, arrive between two
/// heartbeats of the current one. With a heartbeat interval of 5 s, 5 s of silence must not
/// count as the end of the current incarnation, or requests would be sent to an ended backend.
#[test]
fn late_reports_do_not_supersede_between_two_heartbeats() {
    let heartbeat = Duration::from_secs(5);
    let mut fixture = TrackerFixture::new();
    fixture.tracker = BackendTracker::with_heartbeat(heartbeat);
    let (earlier, present) = (incarnation("i-0", Some(1)), incarnation("i-0", Some(2)));
    fixture.apply(heartbeat_report(&present, 1, false));
    fixture.wait(Duration::from_millis(100));
    fixture.apply(heartbeat_report(&earlier, 8, false));
    fixture.wait(heartbeat);
    assert_eq!(
        fixture.apply(heartbeat_report(&earlier, 9, false)),
        ReportStatus::PossiblyStale
    );
    assert!(fixture.announces(&present, false));
}

/// Records restored from a peer are newer than those from the store and replace them if they
/// contain more.
#[test]
fn departure_known_to_a_peer_overrides_the_store() {
    let mut tracker = BackendTracker::default();
    let known = incarnation("i-0", Some(1));
    assert!(tracker.restore(record(&known, 4, false)).is_some());
    assert!(tracker.restore_from_peer(record(&known, 5, true)).is_some());
    assert!(
        tracker
            .restore_from_peer(record(&known, 4, false))
            .is_none()
    );
    assert!(tracker.restore(record(&known, 4, false)).is_none());
}

/// A report to this process takes precedence over any restored record.
#[test]
fn report_takes_precedence_over_a_restored_record() {
    let mut fixture = TrackerFixture::new();
    let (first, second) = (incarnation("i-0", Some(1)), incarnation("i-0", Some(2)));
    fixture.apply(heartbeat_report(&first, 1, false));
    let told = fixture.tracker.restore_from_peer(record(&second, 1, true));
    assert_eq!(told, None);
    assert!(fixture.announces(&first, false));
}
