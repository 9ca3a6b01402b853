//! How fast the back end beside a gate works, from all its answers and from what it says
//! of itself.
//!
//! The standing speed is the time that its work would usually take, over the time that it
//! took: a ratio of sums, so that mixed routes and a few long calls do little. What the
//! back end says of its pace at present is taken out of it, and told beside it.

use super::backend_speed::{BackendSpeed, USUAL_PERCENT};
use crate::time::Moment;
use std::time::Duration;

/// Calls over which the standing speed is averaged.
const AVERAGED_CALLS: f64 = 100.0;
/// Calls from which a speed is told.
const LEAST_CALLS: f64 = 30.0;
/// One call counts as at most this many times slower or faster than usual.
const MOST_UNUSUAL: f64 = 5.0;
/// Ratio between two steps of the speed that is told.
const STEP: f64 = 1.15;
/// Least time between two changes of the speed that is told: each is news to all nodes.
const LEAST_INTERVAL: Duration = Duration::from_secs(2);
/// Steps by which the measured speed must differ from the told one: under one step the
/// two would change places by chance.
const TOLD_DIFFERENCE: f64 = 0.8;
/// Time after which what the back end said of its present pace is not told any more.
const PRESENT_LIFE: Duration = Duration::from_millis(300);

/// Measures one back end.
#[derive(Debug, Clone)]
pub struct SpeedMeter {
    calls: f64,
    /// Seconds that the calls would usually take, and took.
    usual: f64,
    taken: f64,
    /// Logarithm of the speed that is told, in steps.
    told_steps: i32,
    changed: Option<Moment>,
    /// Until then the back end is slow since it has just started.
    cold_until: Moment,
    present: Option<(u16, Moment)>,
}

impl Default for SpeedMeter {
    fn default() -> Self {
        Self {
            calls: 0.0,
            usual: 0.0,
            taken: 0.0,
            told_steps: 0,
            changed: None,
            cold_until: Moment::default(),
            present: None,
        }
    }
}

impl SpeedMeter {
    /// Of a back end that stays slow for `cold` after its start, which is now.
    pub fn starting(cold: Duration, now: Moment) -> Self {
        Self {
            cold_until: now + cold,
            ..Self::default()
        }
    }

    /// The back end says how long work takes there at present, in percent of its usual
    /// time.
    pub fn said(&mut self, service_time_percent: u16, now: Moment) {
        self.present = Some((service_time_percent, now));
    }

    /// The back end worked `taken` on a call that takes `usual` in the fleet's mean.
    pub fn answered(&mut self, usual: Duration, taken: Duration, now: Moment) {
        let usual = usual.as_secs_f64();
        let present = f64::from(self.service_time_percent(now)) / f64::from(USUAL_PERCENT);
        let taken = taken.as_secs_f64() / present;
        if usual <= 0.0 || now < self.cold_until {
            return;
        }
        let taken = taken.clamp(usual / MOST_UNUSUAL, usual * MOST_UNUSUAL);
        let kept = 1.0 - 1.0 / AVERAGED_CALLS;
        self.calls = self.calls * kept + 1.0;
        self.usual = self.usual * kept + usual;
        self.taken = self.taken * kept + taken;
        self.settle(now);
    }

    /// Takes the measured speed over where it is clearly another than the told one.
    fn settle(&mut self, now: Moment) {
        let recent = |at: Moment| now.since(at) < LEAST_INTERVAL;
        if !self.is_known() || self.changed.is_some_and(recent) {
            return;
        }
        let steps = (self.usual / self.taken).ln() / STEP.ln();
        if (steps - f64::from(self.told_steps)).abs() >= TOLD_DIFFERENCE {
            self.told_steps = steps.round() as i32;
            self.changed = Some(now);
        }
    }

    fn service_time_percent(&self, now: Moment) -> u16 {
        let fresh = |(_, at): &(u16, Moment)| now.since(*at) < PRESENT_LIFE;
        let present = self.present.filter(fresh);
        present.map_or(USUAL_PERCENT, |(percent, _)| percent)
    }

    /// The standing speed that is told, in percent of what is usual.
    pub fn speed_percent(&self) -> u16 {
        let speed = STEP.powi(self.told_steps) * f64::from(USUAL_PERCENT);
        speed.round() as u16
    }

    /// True once enough calls were seen to tell a speed.
    pub fn is_known(&self) -> bool {
        self.calls >= LEAST_CALLS
    }

    /// The pace that is told.
    pub fn pace(&self, now: Moment) -> BackendSpeed {
        BackendSpeed {
            speed_percent: self.speed_percent(),
            service_time_percent: self.service_time_percent(now),
            warm_up_left: self.cold_until.since(now),
        }
    }
}
