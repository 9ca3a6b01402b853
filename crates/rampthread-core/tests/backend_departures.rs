//! An acknowledged departure of a backend is remembered when its node drops the backend's
//! record.
//!
//! The record is dropped (a) when the node's process was replaced and no heartbeat confirms the
//! restored record, or (b) when another backend answers at the address. If the departure were
//! dropped as well, a heartbeat sent before it and delayed by a network partition would bring
//! the backend back, and requests would be sent to it.

mod mesh;

use mesh::endpoint_record;
use rampthread_core::backend_incarnation::{BackendIncarnation, StartedAt};
use rampthread_core::fleet::{BackendReport, BackendTracker, ReportStatus};
use rampthread_core::time::Moment;
use rstest::rstest;
use std::time::Duration;

const START: Moment = Moment(3_600_000_000);

/// Returns the name of the backend incarnation with this start time.
fn name(started_at: Option<u64>) -> String {
    let incarnation = BackendIncarnation::new("i-1", started_at.map(StartedAt)).unwrap();
    incarnation.name().as_str().to_string()
}

/// A heartbeat sent before the departure arrives late and must not make the backend accept
/// work.
fn assert_late_heartbeat_is_ignored(
    reported: &mut BackendTracker,
    started_at: Option<u64>,
    now: Moment,
) {
    let late = endpoint_record(&name(started_at), 5, false);
    let status = reported.apply_report(BackendReport::Heartbeat(late), now);
    let accepts_work = matches!(&status, ReportStatus::Changed(record) if !record.draining);
    assert!(!accepts_work, "{status:?}");
}

#[rstest]
fn departure_of_an_unconfirmed_backend_is_remembered(
    #[values(None, Some(100))] started_at: Option<u64>,
) {
    let mut reported = BackendTracker::default();
    reported.restore(endpoint_record(&name(started_at), 9, true));
    assert!(reported.drop_unconfirmed());
    assert_late_heartbeat_is_ignored(&mut reported, started_at, START + Duration::from_secs(2));
}

#[rstest]
fn departure_is_remembered_after_an_instance_mismatch(
    #[values(None, Some(100))] started_at: Option<u64>,
) {
    let mut reported = BackendTracker::default();
    for (sequence, draining) in [(8, false), (9, true)] {
        let heartbeat = endpoint_record(&name(started_at), sequence, draining);
        reported.apply_report(BackendReport::Heartbeat(heartbeat), START);
    }
    let instance = endpoint_record(&name(started_at), 9, true).instance;
    assert!(reported.on_instance_mismatch(&instance));
    assert_late_heartbeat_is_ignored(&mut reported, started_at, START + Duration::from_secs(2));
}
