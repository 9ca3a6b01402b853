//! Forecasts the current demand of a zone from its delayed load reports.
//!
//! Demand swings within seconds, and reports of zones are some tenths of a second old: a
//! spill plan made from the last report alone would follow a swing too late, and send calls
//! to a zone whose spare slots are already in use. Level and slope of demand are tracked by
//! an alpha-beta filter (Holt's linear smoothing; C. C. Holt, 1957, reprinted in Int. J.
//! Forecasting 20, 2004).

use super::demand::DEMAND_WINDOW;
use super::zone_spill::ZoneDemand;
use crate::ids::{ResourceName, Zone};
use crate::time::Moment;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest report in the level of demand.
const LEVEL_WEIGHT: f64 = 0.6;
/// Weight of the newest report in the slope of demand.
const SLOPE_WEIGHT: f64 = 0.15;
/// Longest time over which the slope is extrapolated.
const MAX_FORECAST: Duration = Duration::from_secs(2);
/// Largest change of demand that a forecast adds to the level, as a ratio of the level.
const MAX_CHANGE_RATIO: f64 = 0.3;
/// Time between two reports from which the filter drops its state and starts with the newer
/// report.
const MAX_REPORT_GAP: Duration = Duration::from_secs(3);
/// Minimum time between two reports that are used; the slope between closer reports is
/// mostly noise.
const MIN_STEP: Duration = Duration::from_millis(50);

/// Tracks level and slope of the demand for one service in one zone with an alpha-beta
/// filter.
#[derive(Debug, Clone, Copy)]
pub struct DemandTrend {
    /// Time whose demand the newest report describes; it is before the report's arrival.
    at: Moment,
    /// Filtered demand at the time `at`.
    level: f64,
    /// Filtered change of demand per second, by which the level is extrapolated.
    slope: f64,
}

impl DemandTrend {
    /// Starts tracking: the first report gives the demand `demand` as of the time `at`.
    pub fn new(demand: f64, at: Moment) -> Self {
        Self {
            at,
            level: demand,
            slope: 0.0,
        }
    }

    /// Updates the filter with a report that demand was `demand` at `at`; one that is not
    /// newer than the last is ignored.
    pub fn update(&mut self, demand: f64, at: Moment) {
        let step = at.since(self.at);
        if step < MIN_STEP {
            return;
        }
        if step >= MAX_REPORT_GAP {
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

    /// Demand extrapolated to `now`, but not below 0.
    pub fn forecast(&self, now: Moment) -> f64 {
        let ahead = now.since(self.at).min(MAX_FORECAST);
        let largest = self.level * MAX_CHANGE_RATIO;
        let change = self.slope * ahead.as_secs_f64();
        (self.level + change.clamp(-largest, largest)).max(0.0)
    }
}

/// Tracks the demand for each service in each zone, so that an entry node, which receives
/// calls, can plan with the present demand instead of the last report.
#[derive(Debug, Default)]
pub struct ZoneTrends {
    trends: HashMap<ResourceName, HashMap<Zone, DemandTrend>>,
}

impl ZoneTrends {
    /// Replaces the reported demand of `service` in each zone by the forecast for `now`.
    /// The filter of a zone without a report is dropped.
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
            // A report is a mean over the demand window, so it describes an earlier time.
            let at = now - (age + DEMAND_WINDOW);
            let trend = zones
                .entry(standing.zone.clone())
                .or_insert_with(|| DemandTrend::new(standing.demand, at));
            trend.update(standing.demand, at);
            standing.demand = trend.forecast(now);
        }
    }

    /// Stops tracking services other than those in `called`.
    pub fn retain_services(&mut self, called: &[ResourceName]) {
        self.trends.retain(|service, _| called.contains(service));
    }
}
