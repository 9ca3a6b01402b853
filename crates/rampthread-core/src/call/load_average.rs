//! Whether a load is worth telling, and the mean that is told.

use super::zone_spill::{QUIET_UTILIZATION, REPORTING_TAIL};
use crate::time::Moment;
use std::time::Duration;

/// Time over which the calls at a back end are averaged.
const AVERAGED: Duration = Duration::from_millis(500);

/// Goes on telling for a while after the last time that something called for it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportingHold {
    called_for: Option<Moment>,
}

impl ReportingHold {
    /// Something calls for telling now.
    pub fn extend(&mut self, now: Moment) {
        self.called_for = Some(now);
    }

    /// True while there is something to tell.
    pub fn is_reporting(&self, now: Moment) -> bool {
        self.called_for
            .is_some_and(|at| now.since(at) < REPORTING_TAIL)
    }
}

/// The mean load of one back end.
#[derive(Debug, Clone, Default)]
pub struct LoadAverage {
    /// Slots in use.
    pub busy: f64,
    /// Calls that wait.
    pub waiting: f64,
    seen: Option<Moment>,
    telling: ReportingHold,
}

impl LoadAverage {
    /// So many calls run and wait now, at a back end of `slots`.
    pub fn record(&mut self, running: u32, waiting: u32, slots: f64, now: Moment) {
        let age = self.seen.map_or(AVERAGED, |seen| now.since(seen));
        let weight = 1.0 - (-age.as_secs_f64() / AVERAGED.as_secs_f64()).exp();
        self.busy += (f64::from(running) - self.busy) * weight;
        self.waiting += (f64::from(waiting) - self.waiting) * weight;
        self.seen = Some(now);
        if self.busy + self.waiting > slots * QUIET_UTILIZATION {
            self.telling.extend(now);
        }
    }

    /// The zone of the back end is at work, so that each of its members tells its part.
    pub fn zone_is_loaded(&mut self, now: Moment) {
        self.telling.extend(now);
    }

    /// True while the load is worth telling.
    pub fn is_reporting(&self, now: Moment) -> bool {
        self.telling.is_reporting(now)
    }
}
