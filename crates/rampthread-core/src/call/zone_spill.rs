//! Plans which part of a zone's calls goes to other zones (spills), from the load reports
//! that zones exchange.
//!
//! Demand swings in each zone independently, and backends are not distributed as callers
//! are. A zone at 1.3 of its capacity and one at 0.7 can together serve all calls, if the
//! excess calls of the first are sent to the second before queues form. All entry nodes,
//! the nodes that receive calls, compute the same plan from the same zone reports. Each
//! entry node spills the same fraction of its own calls, and distributes them over zones
//! with spare slots in proportion to these slots. So no spare slot is used twice, though
//! all entry nodes decide at the same time. The demand of a zone is that of its callers,
//! wherever their calls are served. Spilled calls therefore do not change the figures that
//! the plan is made from, and zones do not send calls back and forth.

use crate::fleet::{MILLI_SLOTS_PER_SLOT, MilliSlots, ServiceLoad, ZoneLoad};
use crate::ids::{ResourceName, Zone};
use rand::Rng;
use std::time::Duration;

/// Ratio of used slots from which a backend or a zone reports its load. A zone that sends
/// no reports is assumed to use this ratio of its slots.
pub const QUIET_UTILIZATION: f64 = 0.6;
/// Time for which reports go on after the load has fallen below [`QUIET_UTILIZATION`], so
/// that the last report of a zone shows it below that ratio.
pub const REPORTING_TAIL: Duration = Duration::from_secs(5);
/// Age from which a zone's report is ignored. It leaves time for another node to take over
/// as zone aggregator, the node that sends the zone's reports; a takeover lasts four
/// exchange intervals.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Age of a zone's last report from which the zone counts as quiet, even if the report
/// showed a high load: by then the nodes that reported this load must have ended or
/// restarted.
const MAX_LOADED_SILENCE: Duration = Duration::from_secs(10);
/// Slots that a zone keeps free for random variation of arrivals, as a multiple of the
/// square root of all its slots (square-root staffing).
const SPARE_SLOT_ROOTS: f64 = 1.0;
/// Ratio of a zone's slots whose load must be reported for the slots without a report to be
/// left out, since they most likely belong to backends that have ended. Below this ratio,
/// slots without a report count as quiet.
const MIN_REPORTED_RATIO: f64 = 0.5;

/// Slots that one zone has for one service, and slots that the zone's callers need.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneDemand {
    /// Name of the zone that capacity and demand belong to.
    pub zone: Zone,
    /// Slots of the service's backends in the zone.
    pub capacity: f64,
    /// Slots that the zone's own callers need, wherever their calls are served.
    pub demand: f64,
    /// Age of the zone's report; `None` if the zone sent none and its demand is assumed.
    pub report_age: Option<Duration>,
}

impl ZoneDemand {
    /// Number of slots that the zone fills before it spills calls to other zones: its
    /// capacity less a reserve for random variation of arrivals.
    fn slots_before_spill(&self) -> f64 {
        (self.capacity - SPARE_SLOT_ROOTS * self.capacity.sqrt()).max(0.0)
    }
}

/// How the calls of one zone to one service are distributed over zones.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SpillPlan {
    /// Fraction of the zone's calls to send to other zones, from 0 to 1.
    pub spill_fraction: f64,
    /// Zones that can take calls from this zone, each with its free slots.
    pub spare_slots: Vec<(Zone, f64)>,
}

impl SpillPlan {
    /// True if calls can be sent to `zone`: it has free slots according to the plan.
    pub fn has_spare_slots(&self, zone: &Zone) -> bool {
        self.spare_slots
            .iter()
            .any(|(with_room, _)| with_room == zone)
    }

    /// Picks the zone that a spilled call goes to, at random in proportion to spare slots.
    /// `None` if no zone has any.
    pub fn pick_zone(&self, rng: &mut impl Rng) -> Option<&Zone> {
        let all: f64 = self.spare_slots.iter().map(|(_, spare)| spare).sum();
        let mut remaining = rng.random_range(0.0..all.max(f64::MIN_POSITIVE));
        for (zone, spare) in &self.spare_slots {
            remaining -= spare;
            if remaining < 0.0 {
                return Some(zone);
            }
        }
        self.spare_slots.last().map(|(zone, _)| zone)
    }
}

/// Capacity and demand of `service` in each zone, from the `slots` of the member table and
/// the load `reports` of zones. `None` while the zone `home` has no current report of the
/// service: its load is below the reporting threshold or unknown.
pub fn zone_demands(
    service: &ResourceName,
    home: &Zone,
    slots: &[(Zone, f64)],
    reports: &[ZoneLoad],
) -> Option<Vec<ZoneDemand>> {
    let report_of = |zone: &Zone| reports.iter().find(|report| report.zone == *zone);
    let own = report_of(home).filter(|report| report.age < MAX_REPORT_AGE)?;
    load_of(service, own)?;
    let with_slots = slots
        .iter()
        .filter_map(|(zone, slots)| zone_demand(service, zone, *slots, report_of(zone)));
    // Callers in zones without backends compete for the spare slots of the other zones.
    let without_slots = reports
        .iter()
        .filter(|report| slots.iter().all(|(zone, _)| *zone != report.zone))
        .filter(|report| report.age < MAX_REPORT_AGE && load_of(service, report).is_some())
        .filter_map(|report| zone_demand(service, &report.zone, 0.0, Some(report)));
    Some(with_slots.chain(without_slots).collect())
}

/// True while the report of the zone `home` shows that `service` uses more than
/// [`QUIET_UTILIZATION`] of its slots.
pub fn is_loaded(service: &ResourceName, home: &Zone, reports: &[ZoneLoad]) -> bool {
    let fresh = |report: &&ZoneLoad| report.zone == *home && report.age < MAX_REPORT_AGE;
    let own = reports.iter().find(fresh);
    own.and_then(|report| load_of(service, report))
        .is_some_and(|load| {
            let asked = load.demand.max(load.busy.saturating_add(load.waiting));
            from_milli_slots(asked) > from_milli_slots(load.capacity) * QUIET_UTILIZATION
        })
}

/// Capacity and demand of one zone. The demand of a quiet zone is assumed. `None` if the
/// zone's last report is too old and showed a high load.
fn zone_demand(
    service: &ResourceName,
    zone: &Zone,
    slots: f64,
    report: Option<&ZoneLoad>,
) -> Option<ZoneDemand> {
    let resting = ZoneDemand {
        zone: zone.clone(),
        capacity: slots,
        demand: slots * QUIET_UTILIZATION,
        report_age: None,
    };
    let Some((report, load)) = report.and_then(|report| Some((report, load_of(service, report)?)))
    else {
        return Some(resting);
    };
    let (capacity, demand) = (
        from_milli_slots(load.capacity),
        from_milli_slots(load.demand),
    );
    if report.age < MAX_REPORT_AGE {
        let silent = match capacity < slots * MIN_REPORTED_RATIO {
            true => slots - capacity,
            false => 0.0,
        };
        return Some(ZoneDemand {
            zone: zone.clone(),
            capacity: capacity + silent,
            demand: demand + silent * QUIET_UTILIZATION,
            report_age: Some(report.age),
        });
    }
    let was_at_work = demand > capacity * QUIET_UTILIZATION;
    (!was_at_work || report.age >= MAX_LOADED_SILENCE).then_some(resting)
}

/// Finds the load of `service` in the report of a zone; `None` if the report lacks it.
fn load_of<'a>(service: &ResourceName, report: &'a ZoneLoad) -> Option<&'a ServiceLoad> {
    report.services.iter().find(|load| load.service == *service)
}

/// Converts thousandths of a slot, the unit of load reports, to slots.
fn from_milli_slots(load: MilliSlots) -> f64 {
    f64::from(load) / MILLI_SLOTS_PER_SLOT
}

/// Converts slots to thousandths of a slot, the unit of load reports.
pub fn to_milli_slots(slots: f64) -> MilliSlots {
    (slots * MILLI_SLOTS_PER_SLOT).round() as MilliSlots
}

/// Plans which part of the calls of the zone `home` is spilled, and to which zones.
///
/// Each zone serves its own callers up to its capacity less a reserve (see
/// `slots_before_spill`). The nearer the demand of all zones is to their capacity, the more
/// of this reserve is used. If all zones are full, nothing is spilled.
pub fn plan_spill(home: &Zone, zones: &[ZoneDemand]) -> SpillPlan {
    let sum = |part: fn(&ZoneDemand) -> f64| zones.iter().map(part).sum::<f64>();
    let demand = sum(|zone| zone.demand);
    let capacity = sum(|zone| zone.capacity);
    let total_before_spill = sum(ZoneDemand::slots_before_spill);
    let pressure = match demand > total_before_spill {
        true => ((demand - total_before_spill) / (capacity - total_before_spill)).clamp(0.0, 1.0),
        false => 0.0,
    };
    let limit = |zone: &ZoneDemand| {
        zone.slots_before_spill() + pressure * (zone.capacity - zone.slots_before_spill())
    };
    let excess = |zone: &ZoneDemand| (zone.demand - limit(zone)).max(0.0);
    let spare = |zone: &ZoneDemand| (limit(zone) - zone.demand).max(0.0);
    let total_spare: f64 = zones.iter().map(spare).sum();
    let total_excess: f64 = zones.iter().map(excess).sum();
    let spare_slots = zones
        .iter()
        .filter(|zone| zone.zone != *home && spare(zone) > 0.0)
        .map(|zone| (zone.zone.clone(), spare(zone)))
        .collect();
    let own = zones.iter().find(|zone| zone.zone == *home);
    let spill_fraction = own.filter(|own| own.demand > 0.0).map_or(0.0, |own| {
        let taken = (total_spare / total_excess.max(f64::MIN_POSITIVE)).min(1.0);
        excess(own) * taken / own.demand
    });
    SpillPlan {
        spill_fraction,
        spare_slots,
    }
}
