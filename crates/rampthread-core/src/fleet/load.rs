//! Load of backends and demand of callers, as exchanged between nodes.
//!
//! Each node reports to the aggregator of its zone. Aggregators sum up their zones and send the
//! sums to each other and to their own zone. See [`load_exchange`](super::load_exchange).

use crate::ids::{ResourceName, Zone};
use std::time::Duration;

/// Thousandths of a slot. An integer, so that loads compare and add without rounding.
pub type MilliSlots = u32;

/// Converts between slots, of which each runs one call at a time, and milli-slots.
pub const MILLI_SLOTS_PER_SLOT: f64 = 1_000.0;

/// Load of a service's backends and demand of its callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Service that the figures are about.
    pub service: ResourceName,
    /// Number of calls that the service's backends can run at once.
    pub capacity: MilliSlots,
    /// Number of calls that the backends are running.
    pub busy: MilliSlots,
    /// Calls queued at the gates of the backends. A gate is the node that forwards calls to its
    /// local backend.
    pub waiting: MilliSlots,
    /// Slots demanded by the calls that enter the mesh here, whatever zone they are sent to.
    pub demand: MilliSlots,
}

impl ServiceLoad {
    /// Returns the load of a service without backends and callers.
    pub fn zero(service: ResourceName) -> Self {
        Self {
            service,
            capacity: 0,
            busy: 0,
            waiting: 0,
            demand: 0,
        }
    }

    /// Adds the load of other nodes for the same service.
    pub fn add(&mut self, other: &ServiceLoad) {
        self.capacity = self.capacity.saturating_add(other.capacity);
        self.busy = self.busy.saturating_add(other.busy);
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.demand = self.demand.saturating_add(other.demand);
    }
}

/// Short hash of a tenant's name, which would be long compared with the counts sent with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantHash(pub u32);

impl TenantHash {
    /// Returns the hash of `name`.
    pub fn of(name: &ResourceName) -> Self {
        let mut first = [0_u8; 4];
        let digest = blake3::hash(name.as_str().as_bytes());
        first.copy_from_slice(&digest.as_bytes()[..4]);
        Self(u32::from_le_bytes(first))
    }
}

/// Request rate of a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantLoad {
    /// Hash of the tenant's name, as sent between nodes.
    pub tenant: TenantHash,
    /// Rate of received requests, admitted or not, in thousandths of a request per second.
    pub requested_millirps: u32,
    /// Rate of the requests that were admitted and may have run, in thousandths of a request per
    /// second.
    pub admitted_millirps: u32,
}

impl TenantLoad {
    /// Returns the load of a tenant that has sent no requests.
    pub fn zero(tenant: TenantHash) -> Self {
        Self {
            tenant,
            requested_millirps: 0,
            admitted_millirps: 0,
        }
    }

    /// Adds the rates observed by other nodes.
    pub fn add(&mut self, other: &TenantLoad) {
        self.requested_millirps = self
            .requested_millirps
            .saturating_add(other.requested_millirps);
        self.admitted_millirps = self
            .admitted_millirps
            .saturating_add(other.admitted_millirps);
    }
}

/// Load report of a node to the aggregator of its zone.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Number of nodes covered by the report.
    pub nodes: u32,
    /// Period over which the reported load was measured. It ends when the report is made.
    pub period: Duration,
    /// Load of the local backend, and demand of local callers by service.
    pub services: Vec<ServiceLoad>,
    /// Tenants that sent requests to this node.
    pub tenants: Vec<TenantLoad>,
}

/// Sum of the load reports of one zone's nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneLoad {
    /// Name of the zone.
    pub zone: Zone,
    /// Time since the aggregator summed up the load reports of the zone.
    pub age: Duration,
    /// Number of nodes whose load reports are included. The load is partial if some nodes of the
    /// zone are missing.
    pub nodes: u32,
    /// Services with backends or callers in the zone.
    pub services: Vec<ServiceLoad>,
    /// Tenants with requests in the zone.
    pub tenants: Vec<TenantLoad>,
}
