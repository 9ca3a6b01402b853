//! Which zone a call goes to, by what zones say of their load.
//!
//! The load that this answers: callers' demand swings in each zone by itself, and back
//! ends are not spread as callers are. A zone at 1.3 of its own capacity beside one at
//! 0.7 can serve as both together, if the part that it cannot bear leaves before queues
//! form. All entries compute alike from the same sums: each sends away the same share of
//! its own calls, and to each zone with room in proportion to that room, so that no room
//! is given away twice though all decide at once. Demand is that of callers, wherever
//! their calls are sent: moving work changes none of the figures that moved it, so that
//! zones do not send work to each other in turn.

use crate::fleet::{MILLI_SLOTS, MilliSlots, ServiceLoad, ZoneLoad};
use crate::ids::{ResourceName, Zone};
use rand::Rng;
use std::time::Duration;

/// Part of its slots from which a back end or a zone tells its load. A zone that is
/// silent is taken to be this busy.
pub const QUIET_UTILIZATION: f64 = 0.6;
/// Time for which a load is still reported after it has fallen below [`QUIET_UTILIZATION`]:
/// the last report of a zone that then falls silent shows it at rest.
pub const REPORTING_TAIL: Duration = Duration::from_secs(5);
/// Age from which a report of a zone is not used. Until then another node can take over
/// as the zone's speaker: that takes four intervals of the exchange.
const NEWS_LIFE: Duration = Duration::from_secs(2);
/// Silence after which a zone that was last heard of at work counts as at rest: those who
/// told its load have ended or started anew.
const LONG_SILENCE: Duration = Duration::from_secs(10);
/// Slots kept free, in square roots of all slots (square-root staffing): so far do random
/// arrivals swing around their mean.
const SPARE_ROOTS: f64 = 1.0;
/// Part of the slots in the member table whose load must be known. Where it is less, the
/// others count as at rest; else what is missing has most likely ended.
const TOLD_PART: f64 = 0.5;

/// One service in one zone, in slots.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneDemand {
    /// The zone.
    pub zone: Zone,
    /// Slots of its back ends.
    pub capacity: f64,
    /// Slots that its own callers ask for, wherever their calls are sent.
    pub demand: f64,
    /// Age of the zone's own word; none: the zone is silent.
    pub report_age: Option<Duration>,
}

impl ZoneDemand {
    /// Slots up to which work stays or is taken in while other zones have room.
    fn comfortable(&self) -> f64 {
        (self.capacity - SPARE_ROOTS * self.capacity.sqrt()).max(0.0)
    }
}

/// How the calls of one zone to one service are shared out.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SpillPlan {
    /// Part of the zone's demand that leaves it, from 0 to 1.
    pub spill_fraction: f64,
    /// Other zones with room, in slots.
    pub spare_slots: Vec<(Zone, f64)>,
}

impl SpillPlan {
    /// True where `zone` has said that it has room.
    pub fn has_spare_slots(&self, zone: &Zone) -> bool {
        self.spare_slots
            .iter()
            .any(|(with_room, _)| with_room == zone)
    }

    /// The zone that a call leaves for: one with room, in proportion to its room. None:
    /// nobody has any.
    pub fn pick_zone(&self, rng: &mut impl Rng) -> Option<&Zone> {
        let all: f64 = self.spare_slots.iter().map(|(_, room)| room).sum();
        let mut left = rng.random_range(0.0..all.max(f64::MIN_POSITIVE));
        for (zone, room) in &self.spare_slots {
            left -= room;
            if left < 0.0 {
                return Some(zone);
            }
        }
        self.spare_slots.last().map(|(zone, _)| zone)
    }
}

/// What is known of `service` in each zone, from the `slots` that the member table shows
/// and the `news` of zones. None while the own zone, `home`, says nothing of it: it is at
/// rest then, or nobody knows.
pub fn zone_demands(
    service: &ResourceName,
    home: &Zone,
    slots: &[(Zone, f64)],
    news: &[ZoneLoad],
) -> Option<Vec<ZoneDemand>> {
    let word_on = |zone: &Zone| news.iter().find(|word| word.zone == *zone);
    let own = word_on(home).filter(|word| word.age < NEWS_LIFE)?;
    load_of(service, own)?;
    let with_slots = slots
        .iter()
        .filter_map(|(zone, slots)| standing(service, zone, *slots, word_on(zone)));
    // Zones without back ends have callers all the same, who share in the others' room.
    let without_slots = news
        .iter()
        .filter(|word| slots.iter().all(|(zone, _)| *zone != word.zone))
        .filter(|word| word.age < NEWS_LIFE && load_of(service, word).is_some())
        .filter_map(|word| standing(service, &word.zone, 0.0, Some(word)));
    Some(with_slots.chain(without_slots).collect())
}

/// True while the zone itself says that `service` is at work there.
pub fn is_loaded(service: &ResourceName, home: &Zone, news: &[ZoneLoad]) -> bool {
    let fresh = |word: &&ZoneLoad| word.zone == *home && word.age < NEWS_LIFE;
    let own = news.iter().find(fresh);
    own.and_then(|word| load_of(service, word))
        .is_some_and(|load| {
            let asked = load.demand.max(load.busy.saturating_add(load.waiting));
            of_milli(asked) > of_milli(load.capacity) * QUIET_UTILIZATION
        })
}

/// One zone's standing; none where nobody knows it.
fn standing(
    service: &ResourceName,
    zone: &Zone,
    slots: f64,
    word: Option<&ZoneLoad>,
) -> Option<ZoneDemand> {
    let resting = ZoneDemand {
        zone: zone.clone(),
        capacity: slots,
        demand: slots * QUIET_UTILIZATION,
        report_age: None,
    };
    let Some((word, load)) = word.and_then(|word| Some((word, load_of(service, word)?))) else {
        return Some(resting);
    };
    let (capacity, demand) = (of_milli(load.capacity), of_milli(load.demand));
    if word.age < NEWS_LIFE {
        let silent = match capacity < slots * TOLD_PART {
            true => slots - capacity,
            false => 0.0,
        };
        return Some(ZoneDemand {
            zone: zone.clone(),
            capacity: capacity + silent,
            demand: demand + silent * QUIET_UTILIZATION,
            report_age: Some(word.age),
        });
    }
    let was_at_work = demand > capacity * QUIET_UTILIZATION;
    (!was_at_work || word.age >= LONG_SILENCE).then_some(resting)
}

fn load_of<'a>(service: &ResourceName, word: &'a ZoneLoad) -> Option<&'a ServiceLoad> {
    word.services.iter().find(|load| load.service == *service)
}

/// Slots from the unit in which loads travel.
fn of_milli(load: MilliSlots) -> f64 {
    f64::from(load) / MILLI_SLOTS
}

/// Slots in the unit in which loads travel.
pub fn to_milli_slots(slots: f64) -> MilliSlots {
    (slots * MILLI_SLOTS).round() as MilliSlots
}

/// Shares out the calls of `home`.
///
/// Up to its comfortable load each zone serves its own callers. The nearer the demand of
/// all is to the capacity of all, the nearer each goes to its last slot. Where all are
/// full nobody sends away.
pub fn plan_spill(home: &Zone, zones: &[ZoneDemand]) -> SpillPlan {
    let sum = |part: fn(&ZoneDemand) -> f64| zones.iter().map(part).sum::<f64>();
    let demand = sum(|zone| zone.demand);
    let capacity = sum(|zone| zone.capacity);
    let comfortable = sum(ZoneDemand::comfortable);
    let pressed = match demand > comfortable {
        true => ((demand - comfortable) / (capacity - comfortable)).clamp(0.0, 1.0),
        false => 0.0,
    };
    let limit =
        |zone: &ZoneDemand| zone.comfortable() + pressed * (zone.capacity - zone.comfortable());
    let surplus = |zone: &ZoneDemand| (zone.demand - limit(zone)).max(0.0);
    let room = |zone: &ZoneDemand| (limit(zone) - zone.demand).max(0.0);
    let all_room: f64 = zones.iter().map(room).sum();
    let all_surplus: f64 = zones.iter().map(surplus).sum();
    let spare_slots = zones
        .iter()
        .filter(|zone| zone.zone != *home && room(zone) > 0.0)
        .map(|zone| (zone.zone.clone(), room(zone)))
        .collect();
    let own = zones.iter().find(|zone| zone.zone == *home);
    let spill_fraction = own.filter(|own| own.demand > 0.0).map_or(0.0, |own| {
        let taken = (all_room / all_surplus.max(f64::MIN_POSITIVE)).min(1.0);
        surplus(own) * taken / own.demand
    });
    SpillPlan {
        spill_fraction,
        spare_slots,
    }
}
