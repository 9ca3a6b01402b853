//! Starts of one back end, in whatever order its reports arrive.
//!
//! What users saw: a back end that started again under its id reported, was answered
//! with success, and got no work; another said that it drains and went on getting some.
//! Cause: starts were told apart by id alone. See `platform_same_id.rs` of `rampthread`.

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
/// Time between two reports of a back end.
const BEAT: Duration = Duration::from_secs(1);

fn incarnation(id: &str, born: Option<u64>) -> BackendIncarnation {
    BackendIncarnation::new(id, born.map(StartedAt)).unwrap()
}

fn record(of: &BackendIncarnation, sequence: u64, draining: bool) -> EndpointRecord {
    endpoint_record(of.name().as_str(), sequence, draining)
}

fn beat(of: &BackendIncarnation, sequence: u64, draining: bool) -> BackendReport {
    BackendReport::Heartbeat(record(of, sequence, draining))
}

/// A back end whose reports arrive every second, and what is in force here.
struct World {
    reported: BackendTracker,
    in_force: Option<EndpointRecord>,
    now: Moment,
}

impl World {
    fn new() -> Self {
        Self {
            reported: BackendTracker::default(),
            in_force: None,
            now: START,
        }
    }

    fn take(&mut self, report: BackendReport) -> ReportStatus {
        let reported = self.reported.apply_report(report, self.now);
        if let ReportStatus::Changed(record) = &reported {
            self.in_force = Some(record.clone());
        }
        reported
    }

    fn wait(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    /// What is in force is this incarnation, and it drains or not.
    fn holds(&self, of: &BackendIncarnation, draining: bool) -> bool {
        let held = self.in_force.as_ref();
        held.is_some_and(|held| held.instance == of.name() && held.draining == draining)
    }

    /// Reports every second until all of it is in force.
    fn beats_until_taken(&mut self, of: &BackendIncarnation, first: u64, draining: bool) -> u32 {
        for beats in 0..20_u32 {
            let taken = self.take(beat(of, first + u64::from(beats), draining));
            if taken != ReportStatus::PossiblyStale {
                return beats;
            }
            self.wait(BEAT);
        }
        panic!("{of} reports and is not taken");
    }
}

/// One step of a back end that may start again, or of the network.
#[derive(Debug, Clone)]
enum Step {
    /// The present start reports, draining or not.
    Beat { drains: bool },
    /// It takes its leave.
    Leaves,
    /// It ends, and starts again so many milliseconds later by its clock.
    StartsAgain { later_ms: i64, same_id: bool },
    /// A copy of an earlier report arrives.
    Late { index: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
    6 => prop::bool::weighted(0.15).prop_map(|drains| Step::Beat { drains }),
    1 => Just(Step::Leaves),
    2 => (1_i64..5_000, any::<bool>())
    .prop_map(|(later_ms, same_id)| Step::StartsAgain { later_ms, same_id }),
    4 => any::<usize>().prop_map(|index| Step::Late { index }),
    ]
}

proptest! {
    /// With a clock that goes forward, whatever arrives late: every report of the newest
    /// start is acted upon at once, and nothing of an earlier one is.
    #[test]
    fn the_newest_start_is_in_force(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        let (mut born, mut ids, mut sequence, mut drains) = (1_000_i64, 0, 0, false);
        let mut present = incarnation("i-0", Some(1_000));
        let mut sent: Vec<BackendReport> = Vec::new();
        let mut has_reported = false;
        for step in steps {
            world.wait(Duration::from_millis(100));
            match step {
                Step::Beat { drains: now_drains } => {
                    drains |= now_drains;
                    sequence += 1;
                    let report = beat(&present, sequence, drains);
                    sent.push(report.clone());
                    let taken = world.take(report);
                    prop_assert!(taken != ReportStatus::PossiblyStale);
                    has_reported = true;
                    prop_assert!(world.holds(&present, drains), "{present} {:?}", world.in_force);
                }
                Step::Leaves => {
                    drains = true;
                    let report = BackendReport::Departure(present.clone());
                    sent.push(report.clone());
                    world.take(report);
                    let offered = world.in_force.as_ref().is_some_and(|held| {
                        held.instance == present.name() && !held.draining
                    });
                    prop_assert!(!offered);
                    if has_reported {
                        prop_assert!(world.holds(&present, true));
                    }
                }
                Step::StartsAgain { later_ms, same_id } => {
                    born += later_ms;
                    ids += u32::from(!same_id);
                    present = incarnation(&format!("i-{ids}"), Some(born as u64));
                    (sequence, drains, has_reported) = (0, false, false);
                }
                Step::Late { index } => {
                    if sent.is_empty() {
                        continue;
                    }
                    let before = world.in_force.clone();
                    let late = sent[index % sent.len()].clone();
                    world.take(late);
                    if has_reported {
                        prop_assert_eq!(&world.in_force, &before);
                    }
                }
            }
        }
    }

    /// Whatever the clocks say: nothing is acknowledged that is not in force, and a start
    /// that goes on reporting is taken within the time of a succession. Left out: a start
    /// with the same id and millisecond as one that has left. It is taken for that one,
    /// whose leave was acknowledged. Where starts are unknown, it is at least never
    /// acknowledged.
    #[test]
    fn a_report_of_the_newest_start_is_never_acknowledged_and_ignored(
        starts in prop::collection::vec(
            (prop::option::of(0_u64..4), 0_u8..2, 1_u64..30, any::<bool>(), any::<bool>()),
            1..12,
        ),
        late in prop::collection::vec(any::<usize>(), 0..4),
    ) {
        let mut world = World::new();
        let mut sent: Vec<BackendReport> = Vec::new();
        let mut left = BTreeSet::new();
        for (born, id, beats, drains, departs) in starts {
            let present = incarnation(&format!("i-{id}"), born);
            if left.contains(&present) {
                if born.is_none() && world.holds(&present, true) {
                    world.wait(BEAT);
                    let taken = world.take(beat(&present, beats, false));
                    prop_assert!(taken == ReportStatus::PossiblyStale || world.holds(&present, false));
                }
                continue;
            }
            for index in &late {
                if !sent.is_empty() {
                    world.take(sent[index % sent.len()].clone());
                }
            }
            world.wait(BEAT);
            let waited = world.beats_until_taken(&present, 1, false);
            let bound = MIN_SUPERSEDE_TIME.as_secs() as u32 + 1;
            prop_assert!(waited <= bound, "{present} was taken after {waited} reports");
            prop_assert!(world.holds(&present, false), "{present} {:?}", world.in_force);
            let mut sequence = u64::from(waited) + 1;
            for _ in 0..beats {
                sequence += 1;
                world.wait(BEAT);
                let report = beat(&present, sequence, false);
                sent.push(report.clone());
                prop_assert!(world.take(report) != ReportStatus::PossiblyStale);
            }
            if drains {
                world.wait(BEAT);
                sequence += 1 + u64::from(world.beats_until_taken(&present, sequence + 1, true));
                prop_assert!(world.holds(&present, true), "{present} {:?}", world.in_force);
                left.insert(present.clone());
                sent.push(beat(&present, sequence, true));
            }
            if departs {
                world.wait(BEAT);
                let report = BackendReport::Departure(present.clone());
                prop_assert!(world.take(report) != ReportStatus::PossiblyStale);
                prop_assert!(world.holds(&present, true));
                left.insert(present.clone());
            }
        }
    }

    /// The name of an incarnation leads back to it, and names of different ones differ.
    #[test]
    fn names_of_incarnations_are_their_own(
        left in ("[a-zA-Z0-9_-]{1,41}", prop::option::of(any::<u64>())),
        right in ("[a-z.]{1,6}", prop::option::of(any::<u64>())),
    ) {
        let made = |(id, born): &(String, Option<u64>)| {
            BackendIncarnation::new(id, born.map(StartedAt)).ok()
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
#[case::like_a_name_with_a_start("i-1..5")]
#[case::no_name("i 1")]
fn an_id_that_cannot_be_told_from_a_name_is_refused(#[case] id: &str) {
    assert!(BackendIncarnation::new(id, None).is_err());
}

#[test]
fn a_name_of_an_older_node_is_an_id_without_a_start() {
    let name = InstanceId::new(&"i".repeat(InstanceId::MAX_BYTES)).unwrap();
    let incarnation = BackendIncarnation::from_name(&name);
    assert_eq!((incarnation.id(), incarnation.started_at()), (&name, None));
}

/// Nothing but the clock tells these starts apart, and it went back.
#[rstest]
#[case::back(Some(5_000), Some(4_000))]
#[case::not_at_all(Some(5_000), Some(5_000))]
#[case::unknown(None, None)]
#[case::known_no_more(Some(5_000), None)]
fn a_start_that_seems_to_be_an_earlier_one_is_taken_when_it_persists(
    #[case] first: Option<u64>,
    #[case] second: Option<u64>,
) {
    let mut world = World::new();
    let (first, second) = (incarnation("i-0", first), incarnation("i-0", second));
    for sequence in 1..50 {
        world.take(beat(&first, sequence, false));
    }
    world.take(BackendReport::Departure(first.clone()));
    assert!(world.holds(&first, true));
    world.wait(BEAT);
    let beats = world.beats_until_taken(&second, 1, false);
    assert!((1..=6).contains(&beats), "{beats}");
    assert!(world.holds(&second, false));
    // Its word counts at once from now on.
    let drains = beat(&second, 100, true);
    assert!(matches!(world.take(drains), ReportStatus::Changed(_)));
}

#[test]
fn reports_that_a_cut_held_up_bring_no_earlier_start_back() {
    let mut world = World::new();
    let (first, second) = (incarnation("i-0", Some(1)), incarnation("i-1", Some(2)));
    world.take(beat(&second, 1, false));
    for round in 0..30 {
        world.wait(BEAT);
        assert_eq!(
            world.take(beat(&first, 40 + round, true)),
            ReportStatus::PossiblyStale
        );
        assert_eq!(
            world.take(beat(&second, 2 + round, false)),
            ReportStatus::Unchanged
        );
    }
    assert!(world.holds(&second, false));
}

#[test]
fn a_leave_that_overtakes_the_first_report_of_its_start_holds() {
    let mut world = World::new();
    let (first, second) = (incarnation("i-0", Some(1)), incarnation("i-0", Some(2)));
    world.take(beat(&first, 7, false));
    world.take(BackendReport::Departure(second.clone()));
    assert!(world.holds(&second, true));
    world.take(beat(&second, 1, false));
    assert!(world.holds(&second, true));
}

#[test]
fn a_leave_without_a_start_is_of_the_present_one() {
    let mut world = World::new();
    let present = incarnation("i-0", Some(1));
    world.take(beat(&present, 7, false));
    world.take(BackendReport::Departure(incarnation("i-0", None)));
    assert!(world.holds(&present, true));
}

#[test]
fn a_leave_of_a_start_that_may_be_the_present_one_is_not_acknowledged() {
    let mut world = World::new();
    let (first, second) = (incarnation("i-0", Some(9)), incarnation("i-0", Some(3)));
    world.take(beat(&first, 7, false));
    world.take(beat(&second, 1, false));
    let leave = BackendReport::Departure(second.clone());
    assert_eq!(world.take(leave), ReportStatus::PossiblyStale);
}

#[test]
fn a_start_from_a_node_that_reads_none_is_learnt_from_the_next_report() {
    let mut world = World::new();
    let (unknown, known) = (incarnation("i-0", None), incarnation("i-0", Some(3)));
    let remembered = world.reported.restore(record(&unknown, 40, true));
    world.in_force = remembered;
    // What its last life had acknowledged stays in force.
    world.take(beat(&known, 41, true));
    assert!(world.holds(&known, true));
}

#[test]
fn a_start_after_the_remembered_one_has_left_takes_work_at_once() {
    let mut world = World::new();
    let (first, second) = (incarnation("i-0", Some(1)), incarnation("i-0", Some(2)));
    world.in_force = world.reported.restore(record(&first, 40, true));
    assert!(world.holds(&first, true));
    world.take(beat(&second, 1, false));
    assert!(world.holds(&second, false));
}

/// What users would see: requests go to a back end that has ended, since late reports of
/// it took the place of one that lives.
///
/// Order of events: back ends report each 5 s. Two reports of an earlier start, which a cut
/// held up, arrive 5 s apart, between two reports of the present one.
///
/// Cause: 5 s of silence counted as the end of the present start, whatever the time between
/// its reports.
#[test]
fn late_reports_do_not_displace_a_start_between_two_of_its_own() {
    let heartbeat = Duration::from_secs(5);
    let mut world = World::new();
    world.reported = BackendTracker::with_heartbeat(heartbeat);
    let (earlier, present) = (incarnation("i-0", Some(1)), incarnation("i-0", Some(2)));
    world.take(beat(&present, 1, false));
    world.wait(Duration::from_millis(100));
    world.take(beat(&earlier, 8, false));
    world.wait(heartbeat);
    assert_eq!(
        world.take(beat(&earlier, 9, false)),
        ReportStatus::PossiblyStale
    );
    assert!(world.holds(&present, false));
}

/// Of two memories of an earlier life the one of a peer is newer, if it tells more.
#[test]
fn a_peer_that_knows_of_a_leave_is_believed_over_the_store() {
    let mut reported = BackendTracker::default();
    let known = incarnation("i-0", Some(1));
    assert!(reported.restore(record(&known, 4, false)).is_some());
    assert!(
        reported
            .restore_from_peer(record(&known, 5, true))
            .is_some()
    );
    assert!(
        reported
            .restore_from_peer(record(&known, 4, false))
            .is_none()
    );
    assert!(reported.restore(record(&known, 4, false)).is_none());
}

/// A back end that has reported to this life is known better than any memory.
#[test]
fn a_report_outranks_what_a_peer_remembers() {
    let mut world = World::new();
    let (first, second) = (incarnation("i-0", Some(1)), incarnation("i-0", Some(2)));
    world.take(beat(&first, 1, false));
    let told = world.reported.restore_from_peer(record(&second, 1, true));
    assert_eq!(told, None);
    assert!(world.holds(&first, false));
}
