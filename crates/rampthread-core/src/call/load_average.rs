//! Averages the load of a backend and decides whether to report it.

use super::zone_spill::{QUIET_UTILIZATION, REPORTING_TAIL};
use crate::time::Moment;
use std::time::Duration;

/// Time constant of the average.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Keeps reports going for [`REPORTING_TAIL`] after the last reason to report.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportingHold {
    last_reason: Option<Moment>,
}

impl ReportingHold {
    /// Records a reason to report.
    pub fn extend(&mut self, now: Moment) {
        self.last_reason = Some(now);
    }

    /// True while reports are to be sent.
    pub fn is_reporting(&self, now: Moment) -> bool {
        self.last_reason
            .is_some_and(|at| now.since(at) < REPORTING_TAIL)
    }
}

/// Averaged load of one backend.
#[derive(Debug, Clone, Default)]
pub struct LoadAverage {
    /// Slots in use.
    pub busy: f64,
    /// Calls in the queue.
    pub waiting: f64,
    recorded_at: Option<Moment>,
    hold: ReportingHold,
}

impl LoadAverage {
    /// Records the calls that run and wait now at a backend with `slots`.
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

    /// Records that the backend's zone is loaded, so that each of its members reports its
    /// part.
    pub fn zone_is_loaded(&mut self, now: Moment) {
        self.hold.extend(now);
    }

    /// True while the load is to be reported.
    pub fn is_reporting(&self, now: Moment) -> bool {
        self.hold.is_reporting(now)
    }
}
