//! Rollouts: gradual shift of a service's traffic to backends of another software version
//! (the target version), with an automatic rollback based on the responses that callers in
//! the whole fleet get.
//!
//! | module | responsibility |
//! |---|---|
//! | [`state`] | state of a rollout, and the order between two states |
//! | [`table`] | all rollouts known to a node, and which rollout orders are new |
//! | [`exposure`] | which calls may go to the target version |
//! | [`evidence`] | counts of the responses that callers got from each version |
//! | [`evaluation`] | whether the target version is worse than the present one |
//! | `failure_spread` | whether failures are spread over a version's backends |
//! | [`schedule`] | when traffic shifts, and when the rollout ends |
//! | [`decider`] | which node decides, its lease, and the persisted rollout states |
//!
//! `docs/design/roll-outs.md` describes the design.

pub mod decider;
pub mod evaluation;
pub mod evidence;
pub mod exposure;
mod failure_spread;
pub mod schedule;
pub mod state;
pub mod table;

pub use decider::{Decider, DeciderRequest, DeciderResponse, StoredRollout};
pub use evidence::{EvidenceRecorder, VersionEvidence};
pub use exposure::{ExposureLimiter, VersionRule, VersionShare};
pub use state::{OrderId, Phase, RolloutOrder, RolloutState};
pub use table::RolloutTable;

use std::time::Duration;

/// Limits on the effect of a bad target version, from the operator's settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// Maximum ratio of a service's calls that a bad target version may get.
    pub exposure_share: f64,
    /// Calls that a bad target version may get in addition to the ratio.
    pub exposure_slack_calls: f64,
    /// Time within which a bad target version must stop getting calls.
    pub rollback_deadline: Duration,
}
