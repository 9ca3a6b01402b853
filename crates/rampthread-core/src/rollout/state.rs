//! How far a roll-out is, and which of two states is the later one.

use crate::ids::{NodeId, ResourceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Names an order to roll out; a later order for the same service is greater.
pub type OrderId = u64;

/// All of a service's calls, in thousandths.
pub const ALL_CALLS_PERMILLE: u16 = 1_000;

/// An operator's order to move a service's traffic to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ResourceName,
    /// Which order it is.
    pub order: OrderId,
    /// The version that is brought in.
    pub target: SoftwareVersion,
    /// Time after the order within which it is to be done.
    pub duration: Duration,
}

/// How far a roll-out is. A state never goes to an earlier phase: whoever learns of two
/// keeps the later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The new version gets a share of the traffic and is judged.
    Running,
    /// It was not found bad: the traffic moves to it.
    Moving,
    /// It was found bad and gets no traffic; that is not on record yet.
    RollingBack,
    /// On record: the new version has taken over.
    Succeeded,
    /// On record: the new version gets no traffic.
    RolledBack,
}

impl Phase {
    /// True when the roll-out stays as it is.
    pub fn is_ended(self) -> bool {
        matches!(self, Phase::Succeeded | Phase::RolledBack)
    }

    /// The name in logs and views.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Running => "running",
            Phase::Moving => "moving",
            Phase::RollingBack => "rolling-back",
            Phase::Succeeded => "succeeded",
            Phase::RolledBack => "rolled-back",
        }
    }
}

/// The state of one roll-out as nodes tell it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutState {
    /// The service.
    pub service: ResourceName,
    /// The order that it carries out.
    pub order: OrderId,
    /// The version that is brought in.
    pub target: SoftwareVersion,
    /// How far it is.
    pub phase: Phase,
    /// Share of the service's calls that the new version may get, of a thousand.
    pub share_permille: u16,
    /// Counts who has decided, one after the other.
    pub term: u64,
    /// Counts what the present decider has told: it shows that the decider lives.
    pub step: u64,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time after the order within which it is to be done.
    pub duration: Duration,
    /// Who decides, and gets the evidence; none yet.
    pub decider: Option<NodeId>,
}

impl RolloutState {
    /// An order that nobody has taken up.
    pub fn from_order(order: &RolloutOrder, elapsed: Duration) -> Self {
        Self {
            service: order.service.clone(),
            order: order.order,
            target: order.target.clone(),
            phase: Phase::Running,
            share_permille: 0,
            term: 0,
            step: 0,
            elapsed,
            duration: order.duration,
            decider: None,
        }
    }

    /// True when `self` is later than `other`. This is a total order, so that all nodes
    /// end up with the same state whatever they hear first.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    fn rank(&self) -> (OrderId, Phase, u64, u64) {
        (self.order, self.phase, self.term, self.step)
    }

    /// True when both say the same but for who tells it and when.
    pub fn has_same_decision(&self, other: &Self) -> bool {
        self.order == other.order
            && self.phase == other.phase
            && self.share_permille == other.share_permille
            && self.decider == other.decider
    }
}
