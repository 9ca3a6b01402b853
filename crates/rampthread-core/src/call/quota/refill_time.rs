//! The time for which this node refills the limits of all tenants.
//!
//! A limit refills for one second per second, and each node owns an equal fraction of that time.
//! It hands most of its fraction over to its zone's token pool in advance, and keeps a small
//! reserve for its own use in case the pool doesn't answer. Every moment is handed over or kept
//! once, so that all nodes together never refill a limit faster than at its rate.

use crate::fleet::RefillTransfer;
use crate::time::Moment;
use std::time::Duration;

/// Refill time that a node keeps in reserve, for requests that it must decide on without a token
/// pool. Covers the time until another pool has taken over.
pub(super) const RESERVE_TIME: Duration = Duration::from_millis(300);
/// Refill time that a node may hand over late; older time is forfeited, so that little can
/// accumulate outside the pools.
pub(super) const MAX_ARREARS: Duration = Duration::from_millis(100);
/// Fraction of its time that a node keeps until its reserve is full.
const KEPT_RATIO_FILLING: f64 = 0.5;
/// Fraction of its time that a node keeps afterwards, to restore what it has used.
const KEPT_RATIO_FULL: f64 = 0.01;
/// Time between two handovers beyond the load interval that a handover covers in advance, since
/// handovers happen at ticks.
const TICK_ALLOWANCE: Duration = Duration::from_millis(100);
/// Time for which a node that knows no other node looks for others before it takes the fleet's
/// whole refill time for itself. Longer than the nodes of a new fleet need to find each other
/// through the store.
const DISCOVERY_TIME: Duration = Duration::from_secs(6);

/// This node's part of the fleet's refill time.
#[derive(Debug)]
pub(super) struct RefillTime {
    /// Number of nodes that share the time; `None` while this node doesn't know the fleet.
    fleet_size: Option<u32>,
    /// Since when this node has known itself to be the only node.
    alone_since: Option<Moment>,
    /// Until when the time has been handed over, kept or forfeited.
    settled_until: Moment,
    /// Time kept so far, in seconds of the whole limit.
    kept_secs: f64,
    /// Time forfeited by late handovers, in seconds of the whole limit.
    forfeited_secs: f64,
}

impl RefillTime {
    /// Creates the refill time of a node that has just started. An earlier process may have
    /// handed over the time of the next `interval` in advance.
    pub(super) fn new(now: Moment, interval: Duration) -> Self {
        Self {
            fleet_size: None,
            alone_since: None,
            settled_until: now + interval + TICK_ALLOWANCE,
            kept_secs: 0.0,
            forfeited_secs: 0.0,
        }
    }

    /// Updates the number of nodes in the fleet; 0 while this node has no list of them.
    pub(super) fn set_known_nodes(&mut self, nodes: u32, now: Moment) {
        if nodes != 1 {
            self.alone_since = None;
        } else {
            self.alone_since.get_or_insert(now);
        }
        let is_discovering = self
            .alone_since
            .is_some_and(|since| now.since(since) < DISCOVERY_TIME);
        let fleet_size = (nodes > 0 && !is_discovering).then_some(nodes);
        if self.fleet_size.is_none() {
            // Time that passed without a known fraction belongs to nobody.
            self.settled_until = self.settled_until.max(now);
        }
        self.fleet_size = fleet_size;
    }

    /// Returns whether this node found no other node yet and may still find some.
    pub(super) fn is_discovering(&self) -> bool {
        self.alone_since.is_some() && self.fleet_size.is_none()
    }

    /// Number of nodes that share the refill time, if known.
    pub(super) fn fleet_size(&self) -> Option<u32> {
        self.fleet_size
    }

    /// Time kept so far by this node, in seconds of the whole limit.
    pub(super) fn kept_secs(&self) -> f64 {
        self.kept_secs
    }

    /// Time forfeited so far by late handovers, in seconds of the whole limit.
    pub(super) fn forfeited_secs(&self) -> f64 {
        self.forfeited_secs
    }

    /// Maximum of the kept time that is usable, in seconds of the whole limit.
    pub(super) fn reserve_secs(&self) -> f64 {
        let nodes = f64::from(self.fleet_size.unwrap_or(1));
        RESERVE_TIME.as_secs_f64() / nodes
    }

    /// Keeps all time up to now, because no pool is reachable.
    pub(super) fn keep(&mut self, now: Moment) {
        let passed = self.settle(now).as_secs_f64();
        if let Some(nodes) = self.fleet_size {
            self.kept_secs += passed / f64::from(nodes);
        }
    }

    /// Hands over the time until one load interval from now.
    pub(super) fn hand_over(&mut self, now: Moment, interval: Duration) -> RefillTransfer {
        let Some(nodes) = self.fleet_size else {
            return RefillTransfer::default();
        };
        let forfeited = self.settle(now - MAX_ARREARS);
        self.forfeited_secs += forfeited.as_secs_f64() / f64::from(nodes);
        let period = interval + TICK_ALLOWANCE;
        let covered = self.settle(now + period).as_secs_f64() / f64::from(nodes);
        let ratio = match self.kept_secs < self.reserve_secs() {
            true => KEPT_RATIO_FILLING,
            false => KEPT_RATIO_FULL,
        };
        self.kept_secs += covered * ratio;
        RefillTransfer {
            limit_time: Duration::from_secs_f64(covered * (1.0 - ratio)),
            period,
        }
    }

    /// Returns the time from the end of what is settled to `until`, and marks it as settled.
    fn settle(&mut self, until: Moment) -> Duration {
        let passed = until.since(self.settled_until);
        self.settled_until = self.settled_until.max(until);
        passed
    }
}
