//! Combines the load reports of the fleet for the enforcement of tenants' limits, and tracks
//! which zones the reports cover.

use crate::fleet::{TenantHash, TenantLoad, ZoneLoad, load_interval};
use crate::ids::Zone;
use crate::time::Moment;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Age of the own zone's latest report after which a node uses only its own fraction of a
/// limit. Extended where two report intervals take longer, so that one lost message is
/// tolerated.
const OWN_ZONE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Age up to which the report of another zone counts. Extended where two report intervals
/// of both zones take longer, since reports pass through the aggregators of both (the nodes
/// that sum up a zone's load).
const ZONE_REPORT_TTL: Duration = Duration::from_secs(2);
/// Number of report intervals without a report after which the last report expires, where
/// this takes longer than the fixed time.
const TOLERATED_INTERVALS: u32 = 2;
/// Maximum time between the arrival of a report and the next update of the limits.
const EVALUATION_DELAY: Duration = Duration::from_millis(200);
/// Time for which a node that has just started waits for the first load report.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Age of a zone's last report after which the zone counts as removed from the fleet.
const ZONE_RETENTION: Duration = Duration::from_secs(600);

/// Number of nodes per zone, from the membership: reachable nodes, and nodes that failed or
/// are partitioned without having left.
pub type ZoneMemberCounts = BTreeMap<Zone, u32>;

/// The fleet's current load reports and membership, as input of
/// [`TenantQuotas::update`](super::TenantQuotas::update).
#[derive(Debug, Clone, Copy)]
pub struct FleetLoadSnapshot<'a> {
    /// The latest load report of each zone, with its present age.
    pub zones: &'a [ZoneLoad],
    /// The zone that this node belongs to; its reports arrive fastest.
    pub own_zone: &'a Zone,
    /// Node counts of all zones, to tell how many nodes the reports lack.
    pub members: &'a ZoneMemberCounts,
}

/// One tenant's load, summed over zones.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TenantLoadSum {
    /// Requests of the tenant received per second.
    pub(super) demand_rps: f64,
    /// Requests of the tenant admitted per second.
    pub(super) admitted_rps: f64,
    /// Mean age of the summed reports.
    pub(super) report_age: Duration,
}

impl FleetLoadSnapshot<'_> {
    /// Number of nodes in `zone`; 0 if the membership knows none.
    fn members_of(&self, zone: &Zone) -> u32 {
        self.members.get(zone).copied().unwrap_or(0)
    }

    /// Expected time between two load reports within `zone`.
    pub(super) fn interval(&self, zone: &Zone) -> Duration {
        load_interval(self.members_of(zone))
    }

    /// Age of the own zone's report from which on a node uses only its own fraction.
    fn own_zone_timeout(&self) -> Duration {
        OWN_ZONE_TIMEOUT.max(self.interval(self.own_zone) * TOLERATED_INTERVALS + EVALUATION_DELAY)
    }

    /// Age from which on a report of `zone` no longer counts in sums.
    fn report_ttl(&self, zone: &Zone) -> Duration {
        let both = self.interval(zone) + self.interval(self.own_zone);
        ZONE_REPORT_TTL.max(both * TOLERATED_INTERVALS + EVALUATION_DELAY)
    }

    /// Returns whether the report of `zone` is recent enough to count in sums.
    pub(super) fn is_fresh(&self, zone: &ZoneLoad) -> bool {
        zone.age < self.report_ttl(&zone.zone)
    }
}

/// The zones' load reports, indexed by tenant.
pub(super) struct LoadByTenant<'a> {
    pub(super) snapshot: &'a FleetLoadSnapshot<'a>,
    loads: HashMap<TenantHash, Vec<(&'a ZoneLoad, &'a TenantLoad)>>,
    /// Mean age of the reports that are recent enough to count.
    mean_age: Duration,
}

impl<'a> LoadByTenant<'a> {
    /// Indexes the load reports in `snapshot` by tenant.
    pub(super) fn new(snapshot: &'a FleetLoadSnapshot<'a>) -> Self {
        let mut loads: HashMap<TenantHash, Vec<_>> = HashMap::new();
        for zone in snapshot.zones {
            for load in &zone.tenants {
                loads.entry(load.tenant).or_default().push((zone, load));
            }
        }
        let ages: Vec<Duration> = snapshot
            .zones
            .iter()
            .filter(|zone| snapshot.is_fresh(zone))
            .map(|zone| zone.age)
            .collect();
        let mean_age = ages.iter().sum::<Duration>() / ages.len().max(1) as u32;
        Self {
            snapshot,
            loads,
            mean_age,
        }
    }

    /// Tenants with an entry in any zone's load report.
    pub(super) fn tenants(&self) -> impl Iterator<Item = TenantHash> {
        self.loads.keys().copied()
    }

    /// Sums a tenant's load over all zones with a recent report.
    pub(super) fn sum(&self, tag: TenantHash) -> TenantLoadSum {
        let mut sum = TenantLoadSum {
            report_age: self.mean_age,
            ..TenantLoadSum::default()
        };
        let entries = self.loads.get(&tag).into_iter().flatten();
        for (_, load) in entries.filter(|(zone, _)| self.snapshot.is_fresh(zone)) {
            sum.demand_rps += from_millirps(load.requested_millirps);
            sum.admitted_rps += from_millirps(load.admitted_millirps);
        }
        sum
    }
}

/// Converts thousandths of a request per second to requests per second.
fn from_millirps(millirps: u32) -> f64 {
    f64::from(millirps) / 1_000.0
}

/// Whether this node's zone has recent load reports, and the fraction of the fleet's nodes that
/// the reports include.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ReportCoverage {
    /// Whether this node's own zone has a recent load report.
    pub(super) own_zone_reporting: bool,
    /// Until when the own zone's first load report may still arrive; `None` after it has.
    first_report_deadline: Option<Moment>,
    /// Members of the zones with a recent report, as a fraction of the members of all zones.
    pub(super) reachable_ratio: f64,
    /// Nodes included in the reports of the reachable zones, as a fraction of these zones'
    /// members.
    pub(super) reported_ratio: f64,
    /// Members of all zones together; at least 1.
    pub(super) member_count: u32,
}

impl ReportCoverage {
    /// Report coverage of a node that has just started, which assumes that reports will
    /// arrive in time.
    pub(super) fn initial(now: Moment) -> Self {
        Self {
            own_zone_reporting: true,
            first_report_deadline: Some(now + FIRST_REPORT_TIMEOUT),
            reachable_ratio: 1.0,
            reported_ratio: 1.0,
            member_count: 1,
        }
    }

    /// Computes the report coverage from the latest load reports.
    pub(super) fn updated(&self, snapshot: &FleetLoadSnapshot<'_>, now: Moment) -> Self {
        let zones = snapshot.zones.iter();
        let own = zones
            .clone()
            .find(|zone| zone.zone == *snapshot.own_zone && zone.age < ZONE_RETENTION);
        let reporting = zones.filter(|zone| snapshot.is_fresh(zone));
        let reachable = reporting
            .clone()
            .map(|zone| snapshot.members_of(&zone.zone));
        let reachable_members: u32 = reachable.sum();
        let reported_nodes: u32 = reporting.map(|zone| zone.nodes).sum();
        let member_count = snapshot.members.values().sum::<u32>().max(1);
        let may_still_arrive = self
            .first_report_deadline
            .is_some_and(|deadline| now < deadline);
        Self {
            own_zone_reporting: own.map_or(may_still_arrive, |zone| {
                zone.age < snapshot.own_zone_timeout()
            }),
            first_report_deadline: self.first_report_deadline.filter(|_| own.is_none()),
            reachable_ratio: ratio(reachable_members, member_count),
            reported_ratio: ratio(reported_nodes, reachable_members),
            member_count,
        }
    }
}

/// Ratio of `part` to `whole`, at most 1; 1 if `whole` is 0.
fn ratio(part: u32, whole: u32) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    (f64::from(part) / f64::from(whole)).min(1.0)
}
