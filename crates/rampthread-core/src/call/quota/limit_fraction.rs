//! The fraction of a limit that a partition of the fleet (the nodes that reach each other),
//! or one node, may use.
//!
//! Nodes that cannot reach each other don't know what the others admit. Each partition
//! keeps to the fraction of the limit that corresponds to its fraction of the requests when
//! all nodes were last reachable. The fractions add up to one limit and stay fixed until
//! the partitions are joined again. A node without reports is a partition of its own.

use super::fleet_load::ReportCoverage;

/// Weight of the node count when a limit is divided between partitions of the network; the
/// rest is divided by past demand. Allows for requests that move from one partition to
/// another.
const NODE_COUNT_WEIGHT: f64 = 0.25;
/// Fraction of the nodes that may be missing in the load reports without any effect on the
/// limit.
const TOLERATED_MISSING_RATIO: f64 = 0.05;
/// Fraction of a zone's nodes that the load reports must include, so that a node of the
/// zone may use more than its own fraction of a limit.
const MIN_REPORTED_RATIO: f64 = 0.4;

/// Fraction of a tenant's limit for the reachable zones: `reachable_demand` is the tenant's
/// usual demand in these zones, `total_demand` that in all zones.
pub(super) fn of_zones(reachable_demand: f64, total_demand: f64, coverage: &ReportCoverage) -> f64 {
    if coverage.unreachable_zones.is_empty() {
        return 1.0;
    }
    blend(reachable_demand, total_demand, coverage.reachable_ratio)
}

/// Returns whether a node has to use only its own fraction of limits because the load
/// reports cover too little of its zone.
pub(super) fn is_isolated(coverage: &ReportCoverage) -> bool {
    !coverage.own_zone_reporting || coverage.own_zone_reported_ratio < MIN_REPORTED_RATIO
}

/// Factor that reduces a limit fraction for nodes that the load reports lack. Such nodes
/// may be partitioned from this node and admit requests as well.
pub(super) fn reported_ratio(coverage: &ReportCoverage) -> f64 {
    if coverage.reported_ratio + TOLERATED_MISSING_RATIO >= 1.0 {
        return 1.0;
    }
    coverage.reported_ratio
}

/// Fraction of a tenant's limit for one node that received `own_demand` of `total_demand`
/// requests.
pub(super) fn of_node(own_demand: f64, total_demand: f64, coverage: &ReportCoverage) -> f64 {
    blend(
        own_demand,
        total_demand,
        1.0 / f64::from(coverage.member_count),
    )
}

/// Combines the fraction by past demand with the fraction by node count, with fixed
/// weights.
fn blend(demand: f64, total_demand: f64, by_node_count: f64) -> f64 {
    if total_demand <= 0.0 {
        return by_node_count;
    }
    let by_demand = (demand / total_demand).min(1.0);
    by_demand * (1.0 - NODE_COUNT_WEIGHT) + by_node_count * NODE_COUNT_WEIGHT
}
