//! Measures the speed of a gate's local backend, from all its responses and from what it
//! reports.
//!
//! The long-term speed is the time that its work would usually take, over the time that it
//! took: a ratio of sums, so that mixed routes and a few long calls have little effect. The
//! current service time that the backend reports is factored out, and reported beside it.

use super::backend_speed::{BackendSpeed, USUAL_PERCENT};
use crate::time::Moment;
use std::time::Duration;

/// Calls over which the long-term speed is averaged.
const AVERAGED_CALLS: f64 = 100.0;
/// Calls from which a speed is reported.
const MIN_CALLS: f64 = 30.0;
/// Factor to which the deviation of a single call from its usual time is clamped.
const MAX_DEVIATION_RATIO: f64 = 5.0;
/// Ratio between two steps of the reported speed.
const STEP: f64 = 1.15;
/// Minimum time between changes of the reported speed, each of which is sent to all nodes.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Steps by which the measured speed must differ from the reported one. Less would let the
/// report alternate between two steps by chance.
const MIN_STEP_DIFFERENCE: f64 = 0.8;
/// Time for which a backend's report of its current service time is used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(300);

/// Measures one backend.
#[derive(Debug, Clone)]
pub struct SpeedMeter {
    calls: f64,
    /// Seconds that the calls would usually take, and took.
    usual: f64,
    taken: f64,
    /// Reported speed as a power of [`STEP`].
    reported_steps: i32,
    changed: Option<Moment>,
    /// End of the warm-up after the backend's start.
    warm_up_until: Moment,
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
    /// The meter of a backend that starts now and is slow for `warm_up`.
    pub fn starting(warm_up: Duration, now: Moment) -> Self {
        Self {
            warm_up_until: now + warm_up,
            ..Self::default()
        }
    }

    /// Records the backend's report of its current service time, in percent of its usual
    /// value.
    pub fn record_report(&mut self, service_time_percent: u16, now: Moment) {
        self.current = Some((service_time_percent, now));
    }

    /// Records a call that took `taken`, and takes `usual` on average over the fleet.
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

    /// Reports the measured speed if it clearly differs from the reported one.
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

    fn service_time_percent(&self, now: Moment) -> u16 {
        let fresh = |(_, at): &(u16, Moment)| now.since(*at) < MAX_REPORT_AGE;
        let current = self.current.filter(fresh);
        current.map_or(USUAL_PERCENT, |(percent, _)| percent)
    }

    /// The reported long-term speed, in percent of the usual one.
    pub fn speed_percent(&self) -> u16 {
        let speed = STEP.powi(self.reported_steps) * f64::from(USUAL_PERCENT);
        speed.round() as u16
    }

    /// True once enough calls were measured to report a speed.
    pub fn is_known(&self) -> bool {
        self.calls >= MIN_CALLS
    }

    /// The speed to report.
    pub fn speed(&self, now: Moment) -> BackendSpeed {
        BackendSpeed {
            speed_percent: self.speed_percent(),
            service_time_percent: self.service_time_percent(now),
            warm_up_left: self.warm_up_until.since(now),
        }
    }
}
