//! Measures the speed of the local backend of a gate node, the node that forwards calls to
//! it, from all responses of the backend and from its own reports.
//!
//! The long-term speed is the time that the served calls usually take, divided by the time
//! that they took: a ratio of sums, so that mixed routes and a few long calls have little
//! effect. The current slowdown that the backend reports is removed from the measured
//! times, so that only the long-term speed is measured.

use super::backend_speed::{BackendSpeed, USUAL_PERCENT};
use crate::time::Moment;
use std::time::Duration;

/// Number of recent calls over which the long-term speed is averaged.
const AVERAGED_CALLS: f64 = 100.0;
/// Number of calls from which a long-term speed is reported.
const MIN_CALLS: f64 = 30.0;
/// Limit of the ratio between the service time of one call and its usual service time, in
/// either direction. Calls that deviate more are counted with this ratio.
const MAX_DEVIATION_RATIO: f64 = 5.0;
/// Ratio between two neighbouring values of the long-term speed that can be reported.
const STEP: f64 = 1.15;
/// Minimum time between changes of the reported speed, since each change is sent to all
/// nodes.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Difference between measured and reported speed, in steps, from which the reported speed
/// changes. A smaller difference would let random variation switch the reported speed back
/// and forth between two values.
const MIN_STEP_DIFFERENCE: f64 = 0.8;
/// Age up to which the backend's report of its current service time is used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(300);

/// Measures the long-term speed of one backend, and keeps its report of the current service
/// time.
#[derive(Debug, Clone)]
pub struct SpeedMeter {
    /// Sum of the weights of the recent calls; the weight of a call shrinks with each newer
    /// call.
    calls: f64,
    /// Weighted sum of the usual service times of the recent calls, in seconds.
    usual: f64,
    taken: f64,
    /// Reported long-term speed, as an exponent of [`STEP`].
    reported_steps: i32,
    /// When the reported speed changed last; `None` before its first change.
    changed: Option<Moment>,
    /// Time until which the backend is expected to be slow after its start.
    warm_up_until: Moment,
    /// The backend's last report of its current service time in percent, and when the
    /// report arrived.
    current: Option<(u16, Moment)>,
}

impl Default for SpeedMeter {
    fn default() -> Self {
        Self {
            calls: 0.0,
            usual: 0.0,
            taken: 0.0,
            reported_steps: 0,
            changed: None,
            warm_up_until: Moment::default(),
            current: None,
        }
    }
}

impl SpeedMeter {
    /// Creates the meter of a backend that starts now and is slow for the time `warm_up`.
    pub fn starting(warm_up: Duration, now: Moment) -> Self {
        Self {
            warm_up_until: now + warm_up,
            ..Self::default()
        }
    }

    /// Records the backend's report of its current service time, in percent of the usual
    /// one.
    pub fn record_report(&mut self, service_time_percent: u16, now: Moment) {
        self.current = Some((service_time_percent, now));
    }

    /// Records a call that held a slot for the time `taken`; `usual` is the mean service
    /// time of such calls in the fleet. Calls during the warm-up are ignored.
    pub fn record_response(&mut self, usual: Duration, taken: Duration, now: Moment) {
        let usual = usual.as_secs_f64();
        let current = f64::from(self.service_time_percent(now)) / f64::from(USUAL_PERCENT);
        let taken = taken.as_secs_f64() / current;
        if usual <= 0.0 || now < self.warm_up_until {
            return;
        }
        let taken = taken.clamp(usual / MAX_DEVIATION_RATIO, usual * MAX_DEVIATION_RATIO);
        let kept = 1.0 - 1.0 / AVERAGED_CALLS;
        self.calls = self.calls * kept + 1.0;
        self.usual = self.usual * kept + usual;
        self.taken = self.taken * kept + taken;
        self.update_reported(now);
    }

    /// Replaces the reported speed by the measured one if the two differ by at least
    /// [`MIN_STEP_DIFFERENCE`] and the last change is [`MIN_CHANGE_INTERVAL`] ago.
    fn update_reported(&mut self, now: Moment) {
        let recent = |at: Moment| now.since(at) < MIN_CHANGE_INTERVAL;
        if !self.is_known() || self.changed.is_some_and(recent) {
            return;
        }
        let steps = (self.usual / self.taken).ln() / STEP.ln();
        if (steps - f64::from(self.reported_steps)).abs() >= MIN_STEP_DIFFERENCE {
            self.reported_steps = steps.round() as i32;
            self.changed = Some(now);
        }
    }

    /// Service time that the backend reported last, in percent of the usual one; 100 if the
    /// report is missing or too old.
    fn service_time_percent(&self, now: Moment) -> u16 {
        let fresh = |(_, at): &(u16, Moment)| now.since(*at) < MAX_REPORT_AGE;
        let current = self.current.filter(fresh);
        current.map_or(USUAL_PERCENT, |(percent, _)| percent)
    }

    /// Long-term speed that is reported, in percent of the usual speed.
    pub fn speed_percent(&self) -> u16 {
        let speed = STEP.powi(self.reported_steps) * f64::from(USUAL_PERCENT);
        speed.round() as u16
    }

    /// False until enough calls were measured; the reported speed is the usual one until
    /// then.
    pub fn is_known(&self) -> bool {
        self.calls >= MIN_CALLS
    }

    /// Speed, current service time and rest of the warm-up, as the gate node reports them
    /// to other nodes at `now`.
    pub fn speed(&self, now: Moment) -> BackendSpeed {
        BackendSpeed {
            speed_percent: self.speed_percent(),
            service_time_percent: self.service_time_percent(now),
            warm_up_left: self.warm_up_until.since(now),
        }
    }
}
