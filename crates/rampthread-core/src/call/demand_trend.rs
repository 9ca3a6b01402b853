//! Where demand stands now, from words on it that are old.
//!
//! Demand swings within seconds, and what a zone says of it is some tenths of a second
//! old: shares by the last word alone would follow the swing late and send calls to a
//! zone whose room is gone. Level and slope are followed by an alpha-beta filter (Holt's
//! linear smoothing; C. C. Holt, 1957, reprinted in Int. J. Forecasting 20, 2004).

use super::demand::DEMAND_WINDOW;
use super::zone_spill::ZoneDemand;
use crate::ids::{ResourceName, Zone};
use crate::time::Moment;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest word in the level.
const LEVEL_WEIGHT: f64 = 0.6;
/// Weight of the newest word in the slope.
const SLOPE_WEIGHT: f64 = 0.15;
/// Longest time over which the slope is carried on.
const LONGEST_FORECAST: Duration = Duration::from_secs(2);
/// Largest change that is forecast, as a part of the level.
const LARGEST_CHANGE: f64 = 0.3;
/// Pause after which the filter begins anew.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Two words closer to each other say nothing of a slope.
const LEAST_STEP: Duration = Duration::from_millis(50);

/// Demand and how it changes.
#[derive(Debug, Clone, Copy)]
pub struct DemandTrend {
    at: Moment,
    level: f64,
    /// Change a second.
    slope: f64,
}

impl DemandTrend {
    /// The first word: demand was `demand` at `at`.
    pub fn new(demand: f64, at: Moment) -> Self {
        Self {
            at,
            level: demand,
            slope: 0.0,
        }
    }

    /// A further word; one that is not newer says nothing.
    pub fn update(&mut self, demand: f64, at: Moment) {
        let step = at.since(self.at);
        if step < LEAST_STEP {
            return;
        }
        if step >= LONGEST_PAUSE {
            *self = Self::new(demand, at);
            return;
        }
        let seconds = step.as_secs_f64();
        let expected = self.level + self.slope * seconds;
        let error = demand - expected;
        self.level = expected + error * LEVEL_WEIGHT;
        self.slope += error * SLOPE_WEIGHT / seconds;
        self.at = at;
    }

    /// Demand at `now`, as far as the words tell.
    pub fn forecast(&self, now: Moment) -> f64 {
        let ahead = now.since(self.at).min(LONGEST_FORECAST);
        let largest = self.level * LARGEST_CHANGE;
        let change = self.slope * ahead.as_secs_f64();
        (self.level + change.clamp(-largest, largest)).max(0.0)
    }
}

/// Trends of all services in all zones, as one entry follows them.
#[derive(Debug, Default)]
pub struct ZoneTrends {
    trends: HashMap<ResourceName, HashMap<Zone, DemandTrend>>,
}

impl ZoneTrends {
    /// Puts demand as it stands at `now` in place of what was told of `service`.
    pub fn forecast(
        &mut self,
        service: &ResourceName,
        zone_demands: &mut [ZoneDemand],
        now: Moment,
    ) {
        let zones = self.trends.entry(service.clone()).or_default();
        for standing in zone_demands {
            let Some(age) = standing.report_age else {
                zones.remove(&standing.zone);
                continue;
            };
            // What is told is a mean over the time for which calls are counted.
            let at = now - (age + DEMAND_WINDOW);
            let trend = zones
                .entry(standing.zone.clone())
                .or_insert_with(|| DemandTrend::new(standing.demand, at));
            trend.update(standing.demand, at);
            standing.demand = trend.forecast(now);
        }
    }

    /// Forgets services other than `called`.
    pub fn retain_services(&mut self, called: &[ResourceName]) {
        self.trends.retain(|service, _| called.contains(service));
    }
}
