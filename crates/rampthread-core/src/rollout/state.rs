//! State of a rollout, and the order between two states.

use crate::ids::{NodeId, ResourceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies a rollout order. Later orders for the same service have greater ids.
pub type OrderId = u64;

/// All calls of a service, as a share in thousandths.
pub const ALL_CALLS_PERMILLE: u16 = 1_000;

/// An operator's order to shift a service's traffic to another software version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service whose traffic is shifted.
    pub service: ResourceName,
    /// Id of this order, greater than those of the service's earlier orders.
    pub order: OrderId,
    /// The software version that gets the traffic.
    pub target: SoftwareVersion,
    /// Time from the order to the rollout's deadline.
    pub duration: Duration,
}

/// Phase of a rollout. Phases never go back: of two states, a node keeps the later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The target version gets a share of the traffic and is evaluated.
    Running,
    /// No regression was detected; traffic shifts to the target version.
    Moving,
    /// A regression was detected or conditions were not met. The target version gets no
    /// traffic, but that is not persisted yet.
    RollingBack,
    /// Final and persisted: the target version has taken over.
    Succeeded,
    /// Final and persisted: the target version gets no traffic.
    RolledBack,
}

impl Phase {
    /// Returns whether the phase is final, i.e. the rollout has ended.
    pub fn is_ended(self) -> bool {
        matches!(self, Phase::Succeeded | Phase::RolledBack)
    }

    /// Name of the phase in logs and API responses, with hyphens.
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

/// The state of one rollout, as nodes exchange it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutState {
    /// The service whose traffic is shifted.
    pub service: ResourceName,
    /// The rollout order that is executed.
    pub order: OrderId,
    /// The software version that gets the traffic.
    pub target: SoftwareVersion,
    /// Phase as last set by a decider.
    pub phase: Phase,
    /// Maximum share of the service's calls for the target version, in thousandths.
    pub share_permille: u16,
    /// Incremented by each new decider; 0 before the first one.
    pub term: u64,
    /// Incremented by each update of a decider; shows that the decider is alive.
    pub step: u64,
    /// Time since the order, as of when this state was sent or received.
    pub elapsed: Duration,
    /// Time from the order to the rollout's deadline.
    pub duration: Duration,
    /// The node that decides about the rollout and receives the response evidence; `None`
    /// before a node has become the decider.
    pub decider: Option<NodeId>,
}

impl RolloutState {
    /// Initial state of the rollout that `order` starts, without a decider.
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

    /// Returns whether `self` is later than `other`. The order between states is total, so
    /// that all nodes converge to the same state regardless of the order of messages.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Key by which rollout states are ordered.
    fn rank(&self) -> (OrderId, Phase, u64, u64) {
        (self.order, self.phase, self.term, self.step)
    }

    /// Returns whether both states contain the same decision, apart from term, step and
    /// time.
    pub fn has_same_decision(&self, other: &Self) -> bool {
        self.order == other.order
            && self.phase == other.phase
            && self.share_permille == other.share_permille
            && self.decider == other.decider
    }
}
