//! Roll-outs: moving a service's traffic to back ends of another software version, judged
//! by what callers of the whole fleet get.
//!
//! | module | decides |
//! |---|---|
//! | [`state`] | how far a roll-out is, and which of two states is the later |
//! | [`table`] | what this node knows of all roll-outs, and which orders are new |
//! | [`exposure`] | which calls may go to the version under judgement |
//! | [`evidence`] | what callers got from each version |
//! | [`evaluation`] | whether the new version is worse than the one beside it |
//! | [`schedule`] | when the traffic moves, and when the roll-out ends |
//! | [`decider`] | who decides, under a lease, and what stands in the store |
//!
//! `docs/design/roll-outs.md` has the whole.

pub mod decider;
pub mod evaluation;
pub mod evidence;
pub mod exposure;
pub mod schedule;
pub mod state;
pub mod table;

pub use decider::{Decider, DeciderRequest, DeciderResponse, StoredRollout};
pub use evidence::{EvidenceRecorder, VersionEvidence};
pub use exposure::{ExposureLimiter, VersionRule, VersionShare};
pub use state::{OrderId, Phase, RolloutOrder, RolloutState};
pub use table::RolloutTable;

use std::time::Duration;

/// What the operator allows every roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// Largest part of a service's calls that a bad version may get.
    pub exposure_share: f64,
    /// Calls that it may get besides.
    pub exposure_slack_calls: f64,
    /// Time within which a bad version gets no more calls.
    pub rollback_deadline: Duration,
}
