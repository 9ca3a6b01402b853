//! What a node hears of the others, and whom it has lost sight of.

use super::limit_fraction;
use crate::fleet::{MAX_TENANTS, TenantHash, TenantLoad, ZoneLoad, load_interval};
use crate::ids::Zone;
use crate::time::Moment;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A node that has no news of its own zone for this long keeps to its own part, and longer
/// where two intervals, with one message lost, take more.
const SILENT: Duration = Duration::from_millis(1_200);
/// What another zone told counts for this long, and longer where two intervals of both
/// zones take more: it comes by two speakers.
const FRESH: Duration = Duration::from_secs(2);
/// Intervals that news may take.
const NEWS_INTERVALS: u32 = 2;
/// Time between an interval's end and the look at the news, at most.
const LOOK: Duration = Duration::from_millis(200);
/// A node that has just started waits this long for its first news.
const FIRST_NEWS: Duration = Duration::from_millis(600);
/// A zone that was not heard for this long is taken for gone.
const GONE: Duration = Duration::from_secs(600);

/// Nodes of each zone, as the membership knows them: those that answer and those that
/// ended without a word, or are cut off.
pub type ZoneMemberCounts = BTreeMap<Zone, u32>;

/// What is known of the fleet now.
#[derive(Debug, Clone, Copy)]
pub struct FleetLoadSnapshot<'a> {
    /// The zones with what they have told, and its age now.
    pub zones: &'a [ZoneLoad],
    /// The zone of this node.
    pub own_zone: &'a Zone,
    /// The nodes of every zone.
    pub members: &'a ZoneMemberCounts,
}

/// Sums over some zones.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Sum {
    /// Requests asked a second.
    pub(super) asked: f64,
    /// Requests admitted a second.
    pub(super) admitted: f64,
    /// Mean age of what was told.
    pub(super) age: Duration,
    /// The own zone tells of the tenant.
    pub(super) listed: bool,
}

impl FleetLoadSnapshot<'_> {
    fn members_of(&self, zone: &Zone) -> u32 {
        self.members.get(zone).copied().unwrap_or(0)
    }

    /// Time between two messages within `zone`.
    fn interval(&self, zone: &Zone) -> Duration {
        load_interval(self.members_of(zone))
    }

    /// Age of the news of its own zone from which on a node keeps to its own part.
    fn silent_after(&self) -> Duration {
        SILENT.max(self.interval(self.own_zone) * NEWS_INTERVALS + LOOK)
    }

    /// Age until which what `zone` told counts.
    fn fresh_for(&self, zone: &Zone) -> Duration {
        let both = self.interval(zone) + self.interval(self.own_zone);
        FRESH.max(both * NEWS_INTERVALS + LOOK)
    }

    /// True while what `zone` told counts.
    pub(super) fn is_fresh(&self, zone: &ZoneLoad) -> bool {
        zone.age < self.fresh_for(&zone.zone)
    }
}

/// The news by tenant.
pub(super) struct LoadByTenant<'a> {
    pub(super) news: &'a FleetLoadSnapshot<'a>,
    loads: HashMap<TenantHash, Vec<(&'a ZoneLoad, &'a TenantLoad)>>,
    /// Mean age of the zones that are heard.
    age: Duration,
}

impl<'a> LoadByTenant<'a> {
    pub(super) fn new(news: &'a FleetLoadSnapshot<'a>) -> Self {
        let mut loads: HashMap<TenantHash, Vec<_>> = HashMap::new();
        for zone in news.zones {
            for load in &zone.tenants {
                loads.entry(load.tenant).or_default().push((zone, load));
            }
        }
        let ages: Vec<Duration> = news
            .zones
            .iter()
            .filter(|zone| news.is_fresh(zone))
            .map(|zone| zone.age)
            .collect();
        let age = ages.iter().sum::<Duration>() / ages.len().max(1) as u32;
        Self { news, loads, age }
    }

    /// True when a tenant that is not named asks for little: no zone had to leave one out.
    pub(super) fn names_all(&self) -> bool {
        let zones = &self.news.zones;
        zones.iter().all(|zone| zone.tenants.len() < MAX_TENANTS)
    }

    /// All tenants that zones tell of.
    pub(super) fn tenants(&self) -> impl Iterator<Item = TenantHash> {
        self.loads.keys().copied()
    }

    /// What the zones that are heard tell together of one tenant.
    pub(super) fn sum(&self, tag: TenantHash) -> Sum {
        let mut sum = Sum {
            age: self.age,
            ..Sum::default()
        };
        let told = self.loads.get(&tag).into_iter().flatten();
        for (zone, load) in told.filter(|(zone, _)| self.news.is_fresh(zone)) {
            sum.asked += requests(load.requested_millirps);
            sum.admitted += requests(load.admitted_millirps);
            sum.listed |= zone.zone == *self.news.own_zone;
        }
        sum
    }

    /// What one zone told of a tenant: requests asked and admitted a second.
    pub(super) fn of_zone(&self, tag: TenantHash, zone: &Zone) -> (f64, f64) {
        let told = self.loads.get(&tag).into_iter().flatten();
        let mut told = told.filter(|(of, _)| of.zone == *zone);
        told.next().map_or((0.0, 0.0), |(_, load)| {
            (
                requests(load.requested_millirps),
                requests(load.admitted_millirps),
            )
        })
    }
}

fn requests(thousandths: u32) -> f64 {
    f64::from(thousandths) / 1_000.0
}

/// Which zones this node hears, and how many nodes that are.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Reach {
    /// Its own zone is heard.
    pub(super) own: bool,
    /// It never was so far.
    pub(super) awaited: bool,
    /// Zones that it has lost sight of.
    pub(super) lost: Vec<Zone>,
    /// Zones with members that have told nothing so far, and when they count as lost.
    unheard: BTreeMap<Zone, Moment>,
    /// When this node began to listen.
    started: Moment,
    /// Members of the zones that it hears, as a part of all.
    pub(super) by_number: f64,
    /// Nodes that the sums speak of, as a part of those members.
    pub(super) covered: f64,
    /// The same in its own zone.
    pub(super) own_covered: f64,
    /// Members of all zones, this node at least.
    pub(super) members: u32,
    /// When it last lost or regained sight of somebody.
    pub(super) since: Moment,
}

impl Reach {
    /// Nobody was heard yet: the node has just started, and takes itself for one that
    /// will be told in time.
    pub(super) fn unknown(now: Moment) -> Self {
        Self {
            own: true,
            awaited: true,
            lost: Vec::new(),
            unheard: BTreeMap::new(),
            started: now,
            by_number: 1.0,
            covered: 1.0,
            own_covered: 1.0,
            members: 1,
            since: now,
        }
    }

    /// True when all zones are heard, with nearly all of their nodes.
    pub(super) fn is_whole(&self) -> bool {
        let heard = self.own && !self.awaited;
        let all = self.lost.is_empty() && self.unheard.is_empty();
        heard && all && limit_fraction::of_covered(self) >= 1.0
    }

    /// The reach by later news.
    pub(super) fn next(&self, news: &FleetLoadSnapshot<'_>, now: Moment) -> Self {
        let known = || news.zones.iter().filter(|zone| zone.age < GONE);
        let heard = || known().filter(|zone| news.is_fresh(zone));
        let silent = known().filter(|zone| !news.is_fresh(zone));
        let unheard = self.unheard_by(news, now);
        let overdue = unheard.iter().filter(|(_, due)| **due <= now);
        let mut lost: Vec<Zone> = silent.map(|zone| zone.zone.clone()).collect();
        lost.extend(overdue.map(|(zone, _)| zone.clone()));
        lost.sort();
        let own = known().find(|zone| zone.zone == *news.own_zone);
        let members = news.members.values().sum::<u32>().max(1);
        let heard_members: u32 = heard().map(|zone| news.members_of(&zone.zone)).sum();
        let told: u32 = heard().map(|zone| zone.nodes).sum();
        let waits = self.awaited && now.since(self.since) < FIRST_NEWS;
        let next = Self {
            own: own.map_or(waits, |zone| zone.age < news.silent_after()),
            awaited: self.awaited && own.is_none(),
            lost,
            unheard,
            started: self.started,
            by_number: portion(heard_members, members),
            covered: portion(told, heard_members),
            own_covered: own.map_or(1.0, |zone| portion(zone.nodes, news.members_of(&zone.zone))),
            members,
            since: self.since,
        };
        let same = (&next.lost, next.own) == (&self.lost, self.own);
        match same || next.awaited {
            true => next,
            false => Self { since: now, ..next },
        }
    }

    /// The zones with members that are in no news, and when each counts as lost.
    fn unheard_by(&self, news: &FleetLoadSnapshot<'_>, now: Moment) -> BTreeMap<Zone, Moment> {
        let starting = now.since(self.started) < FRESH;
        let due_of = |zone: &Zone| match starting {
            true => now + FIRST_NEWS,
            false => now + news.fresh_for(zone),
        };
        let told = |zone: &Zone| news.zones.iter().any(|told| told.zone == *zone);
        let members = news.members.iter().filter(|(_, members)| **members > 0);
        members
            .filter(|(zone, _)| *zone != news.own_zone && !told(zone))
            .map(|(zone, _)| {
                let due = self.unheard.get(zone).copied();
                (zone.clone(), due.unwrap_or_else(|| due_of(zone)))
            })
            .collect()
    }
}

fn portion(some: u32, all: u32) -> f64 {
    if all == 0 {
        return 1.0;
    }
    (f64::from(some) / f64::from(all)).min(1.0)
}
