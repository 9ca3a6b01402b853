//! The part of a limit that a node may count on, alone or with those it hears.
//!
//! Nodes that lose sight of each other cannot tell what the others admit. Each side keeps
//! to the part of the limit that its own requests had of all when both were last heard, so
//! that the parts make up one limit, and that part stays what it is until they hear each
//! other again. A node that hears nobody is a side of its own.

use super::fleet_load::Reach;

/// Portion of a limit that is parted by number, whoever asked before: requests may move
/// to another side while it is cut off.
const BY_NUMBER: f64 = 0.25;
/// Portion of the nodes that may be missing in the sums without any effect.
const MISSING_UNNOTICED: f64 = 0.05;
/// Portion of its zone that a node must hear of to count on more than its own part.
const LEAST_COVERED: f64 = 0.4;

/// The part of a tenant's limit for the zones that are heard, by what they and all were
/// usually asked.
pub(super) fn of_zones(heard: f64, all: f64, reach: &Reach) -> f64 {
    if reach.lost.is_empty() {
        return 1.0;
    }
    mixed(heard, all, reach.by_number)
}

/// True when a node is to keep to its own part: it hears of too few others.
pub(super) fn is_alone(reach: &Reach) -> bool {
    !reach.own || reach.own_covered < LEAST_COVERED
}

/// The part of that for the nodes that the sums speak of: the others may be cut off and
/// admit requests too.
pub(super) fn of_covered(reach: &Reach) -> f64 {
    if reach.covered + MISSING_UNNOTICED >= 1.0 {
        return 1.0;
    }
    reach.covered
}

/// The part of one node that was asked `own` of `all`.
pub(super) fn of_node(own: f64, all: f64, reach: &Reach) -> f64 {
    mixed(own, all, 1.0 / f64::from(reach.members))
}

fn mixed(asked: f64, all: f64, by_number: f64) -> f64 {
    if all <= 0.0 {
        return by_number;
    }
    let by_demand = (asked / all).min(1.0);
    by_demand * (1.0 - BY_NUMBER) + by_number * BY_NUMBER
}
