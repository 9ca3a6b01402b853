//! A leave that was acknowledged holds, also when the node drops what it remembered of
//! the back end.
//!
//! What users would see: a back end whose leave was acknowledged gets new requests long
//! after the time within which it must get no more.
//!
//! Order of events: a back end leaves and is acknowledged; it goes on serving for a while
//! and says nothing more. (a) The node's process is replaced, takes up from the directory
//! that the back end leaves, and drops this when nothing confirms it. (b) The back end at
//! the address answers that it is another one. Then a heartbeat arrives that the back end
//! sent before it left, and that a cut held up. It is taken for the newest news.
//!
//! Cause: what is dropped is forgotten whole, with the leave; "not known" is taken for
//! "has not left".

mod mesh;

use mesh::endpoint_record;
use rampthread_core::backend_incarnation::{BackendIncarnation, StartedAt};
use rampthread_core::fleet::{BackendReport, BackendTracker, ReportStatus};
use rampthread_core::time::Moment;
use rstest::rstest;
use std::time::Duration;

const START: Moment = Moment(3_600_000_000);

fn name(born: Option<u64>) -> String {
    let incarnation = BackendIncarnation::new("i-1", born.map(StartedAt)).unwrap();
    incarnation.name().as_str().to_string()
}

/// What becomes of a heartbeat that was sent before the leave.
fn take_late_heartbeat(reported: &mut BackendTracker, born: Option<u64>, now: Moment) {
    let late = endpoint_record(&name(born), 5, false);
    let taken = reported.apply_report(BackendReport::Heartbeat(late), now);
    let takes_work = matches!(&taken, ReportStatus::Changed(record) if !record.draining);
    assert!(!takes_work, "{taken:?}");
}

#[rstest]
fn a_remembered_leave_outlasts_what_is_remembered(#[values(None, Some(100))] born: Option<u64>) {
    let mut reported = BackendTracker::default();
    reported.restore(endpoint_record(&name(born), 9, true));
    assert!(reported.drop_unconfirmed());
    take_late_heartbeat(&mut reported, born, START + Duration::from_secs(2));
}

#[rstest]
fn a_leave_outlasts_an_answer_of_another_back_end(#[values(None, Some(100))] born: Option<u64>) {
    let mut reported = BackendTracker::default();
    for (sequence, draining) in [(8, false), (9, true)] {
        let beat = endpoint_record(&name(born), sequence, draining);
        reported.apply_report(BackendReport::Heartbeat(beat), START);
    }
    let instance = endpoint_record(&name(born), 9, true).instance;
    assert!(reported.on_instance_mismatch(&instance));
    take_late_heartbeat(&mut reported, born, START + Duration::from_secs(2));
}
