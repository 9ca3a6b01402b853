//! Averages the load of a backend and decides whether its gate node, the node that forwards
//! calls to it, reports that load.

use super::zone_spill::{QUIET_UTILIZATION, REPORTING_TAIL};
use crate::time::Moment;
use std::time::Duration;

/// Time constant of the moving averages of running and waiting calls.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Decides how long a backend's load reports are sent: until [`REPORTING_TAIL`] has passed
/// since the load was last above [`QUIET_UTILIZATION`].
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportingHold {
    last_reason: Option<Moment>,
}

impl ReportingHold {
    /// Extends the sending of load reports to [`REPORTING_TAIL`] after `now`, since the
    /// load is high.
    pub fn extend(&mut self, now: Moment) {
        self.last_reason = Some(now);
    }

    /// False once the load has not been high for [`REPORTING_TAIL`].
    pub fn is_reporting(&self, now: Moment) -> bool {
        self.last_reason
            .is_some_and(|at| now.since(at) < REPORTING_TAIL)
    }
}

/// Moving average of the running and waiting calls at one backend.
#[derive(Debug, Clone, Default)]
pub struct LoadAverage {
    /// Mean number of running calls, each of which uses a slot.
    pub busy: f64,
    /// Mean number of calls in the queue of the backend's gate node.
    pub waiting: f64,
    /// Time of the last measurement that is part of the average.
    recorded_at: Option<Moment>,
    hold: ReportingHold,
}

impl LoadAverage {
    /// Adds a measurement of running and waiting calls to the averages. The sending of load
    /// reports is extended if these calls use more than [`QUIET_UTILIZATION`] of the
    /// backend's slots.
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

    /// Extends the sending of load reports because the load of the whole zone is high, even
    /// if the load of this backend is low.
    pub fn zone_is_loaded(&mut self, now: Moment) {
        self.hold.extend(now);
    }

    /// True while the load of the backend must be sent to its zone.
    pub fn is_reporting(&self, now: Moment) -> bool {
        self.hold.is_reporting(now)
    }
}
