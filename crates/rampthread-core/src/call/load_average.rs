//! Averages the load of a backend and decides whether its gate, the node that forwards
//! calls to it, reports that load.

use super::zone_spill::{QUIET_UTILIZATION, REPORTING_TAIL};
use crate::time::Moment;
use std::time::Duration;

/// Time constant of the average load.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Keeps load reports going for [`REPORTING_TAIL`] after the last reason to send one.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportingHold {
    last_reason: Option<Moment>,
}

impl ReportingHold {
    /// Records that there is a reason to report at `now`.
    pub fn extend(&mut self, now: Moment) {
        self.last_reason = Some(now);
    }

    /// True while load reports are to be sent.
    pub fn is_reporting(&self, now: Moment) -> bool {
        self.last_reason
            .is_some_and(|at| now.since(at) < REPORTING_TAIL)
    }
}

/// Moving average of the calls at one backend.
#[derive(Debug, Clone, Default)]
pub struct LoadAverage {
    /// Mean number of slots in use.
    pub busy: f64,
    /// Mean number of calls in the queue.
    pub waiting: f64,
    /// Time of the last record.
    recorded_at: Option<Moment>,
    hold: ReportingHold,
}

impl LoadAverage {
    /// Records how many calls run and wait at a backend with this many slots.
    pub fn record(&mut self, running: u32, waiting: u32, slots: f64, now: Moment) {
        let age = self
            .recorded_at
            .map_or(AVERAGING_TIME, |recorded_at| now.since(recorded_at));
        let weight = 1.0 - (-age.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.busy += (f64::from(running) - self.busy) * weight;
        self.waiting += (f64::from(waiting) - self.waiting) * weight;
        self.recorded_at = Some(now);
        if self.busy + self.waiting > slots * QUIET_UTILIZATION {
            self.hold.extend(now);
        }
    }

    /// Records that the zone of the backend is loaded: each of its members then reports its
    /// own load.
    pub fn zone_is_loaded(&mut self, now: Moment) {
        self.hold.extend(now);
    }

    /// True while the load of the backend is to be reported.
    pub fn is_reporting(&self, now: Moment) -> bool {
        self.hold.is_reporting(now)
    }
}
