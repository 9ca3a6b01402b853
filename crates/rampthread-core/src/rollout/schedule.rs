//! When traffic shifts to a version without a detected regression, and when the rollout
//! ends.
//!
//! A version may fail at any time, and the calls that it gets until the deadline are
//! bounded. Therefore its share stays small, and traffic shifts once the remaining calls
//! until the deadline fit into the bound; at the latest in time to drain the old backends.

use super::RolloutBounds;
use super::state::{ALL_CALLS_PERMILLE, Phase, RolloutState};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Minimum and maximum ratio of the permitted exposure that the evaluation phase uses. The
/// rest is reserved for the calls between the shift of traffic and the deadline.
const EVALUATION_EXPOSURE_RATIOS: RangeInclusive<f64> = 0.25..=0.5;
/// Ratio of the permitted exposure that is planned for; the rest is reserved for calls in
/// flight and for response evidence not yet reported.
const PLANNED_EXPOSURE_RATIO: f64 = 0.9;
/// Latest shift of traffic before the deadline: time for the update to reach all nodes, and
/// for calls in flight at the old backends to complete.
const LATEST_SHIFT: Duration = Duration::from_millis(900);
/// Earliest shift of traffic before the deadline.
const EARLIEST_SHIFT: Duration = Duration::from_secs(4);
/// Time before the deadline at which success is persisted: enough for a write and one
/// retry.
const SUCCESS_WRITE_TIME: Duration = Duration::from_millis(450);
/// Minimum time between the shift of traffic and the end of the rollout, also past the
/// deadline; at most a quarter of the order's duration.
const MIN_SHIFT_TIME: Duration = Duration::from_millis(450);
/// Time past the deadline after which a rollout with unmet conditions is rolled back.
const OVERTIME: Duration = Duration::from_secs(5);
/// Ratio of `exposure_slack_calls` (calls that a bad target version may get in addition to
/// its ratio) that is available to a version whose first calls come with the shift of
/// traffic.
const SHIFT_SLACK_RATIO: f64 = 0.5;
/// Sufficient capacity of the new version, as a ratio of the other versions' slots.
const SUFFICIENT_SLOTS_RATIO: f64 = 0.6;

/// Returns whether the rollout's deadline is near, so that the decider has to evaluate more
/// often.
pub fn is_near_end(state: &RolloutState) -> bool {
    let left = state.duration.saturating_sub(state.elapsed);
    !state.phase.is_ended() && left <= EARLIEST_SHIFT
}

/// What the decider knows about the progress of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RolloutProgress {
    /// Responses of all versions since the rollout order.
    pub responses: u64,
    /// Responses of the target version since the rollout order.
    pub target_responses: u64,
    /// Present rate of the service's responses per second, of all versions.
    pub rate: f64,
    /// Slots (calls at a time) of the target version's backends.
    pub target_slots: u32,
    /// Slots of the other versions' backends.
    pub other_slots: u32,
    /// Time since traffic began to shift; `None` before.
    pub shifting_for: Option<Duration>,
    /// Responses of the target version reported since the shift of traffic.
    pub responses_since_shift: u64,
    /// Number of process epochs of nodes that reported evidence. In each epoch a node
    /// starts without credit for a call to the target version.
    pub reporters: usize,
    /// Whether the responses suggest that the target version is bad, without sufficient
    /// evidence.
    pub is_suspect: bool,
    /// Time for which this decider has collected response evidence.
    pub evidence_collected_for: Duration,
    /// Time within which a decider receives the response evidence of all nodes.
    pub evidence_collection_time: Duration,
}

/// Condition for the next step of a rollout that is not met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnmetCondition {
    /// The target version's backends have too few slots to take over.
    Capacity,
    /// The decider has just taken over and lacks the response evidence of some nodes.
    Evidence,
    /// The service got no calls, so nothing shows whether the target version works.
    Traffic,
    /// The target version has not responded to any call, although the service got calls.
    TargetResponses,
    /// The target version has not responded to any call since the shift of traffic.
    ResponsesSinceShift,
    /// The responses suggest that the target version is bad, without sufficient evidence.
    Suspicion,
}

impl UnmetCondition {
    /// The condition in words, for the reason of a decision in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            UnmetCondition::Capacity => "the new version has too few slots to take over",
            UnmetCondition::Evidence => "the evidence of some nodes has not been received yet",
            UnmetCondition::Traffic => {
                "no call was answered, so nothing shows that the version works"
            }
            UnmetCondition::TargetResponses => "the new version has answered no call",
            UnmetCondition::ResponsesSinceShift => {
                "the new version has answered no call since the traffic shifted to it"
            }
            UnmetCondition::Suspicion => "the responses suggest that the new version is bad",
        }
    }
}

impl RolloutProgress {
    /// Returns whether the target version's backends can take over all calls.
    fn has_enough_capacity(&self) -> bool {
        let needed = f64::from(self.other_slots) * SUFFICIENT_SLOTS_RATIO;
        self.target_slots > 0 && f64::from(self.target_slots) >= needed
    }

    /// Returns the first condition for the next step of `state` that is not met.
    pub fn unmet_condition(
        &self,
        state: &RolloutState,
        bounds: &RolloutBounds,
    ) -> Option<UnmetCondition> {
        let moving = state.phase == Phase::Moving;
        let conditions = [
            (
                !moving && !self.has_enough_capacity(),
                UnmetCondition::Capacity,
            ),
            (
                self.evidence_collected_for < self.evidence_collection_time,
                UnmetCondition::Evidence,
            ),
            (self.responses == 0, UnmetCondition::Traffic),
            (
                !moving && self.target_responses == 0 && !self.is_low_traffic(state, bounds),
                UnmetCondition::TargetResponses,
            ),
            (
                moving && self.responses_since_shift == 0,
                UnmetCondition::ResponsesSinceShift,
            ),
            (self.is_suspect, UnmetCondition::Suspicion),
        ];
        let found = conditions.into_iter().find(|(unmet, _)| *unmet);
        found.map(|(_, unmet)| unmet)
    }

    /// Returns whether traffic is so low that no entry node has credit for a call to the
    /// target version, and the calls after the latest possible shift of traffic fit into the
    /// permitted exposure. The shift
    /// of traffic itself then brings the first calls.
    fn is_low_traffic(&self, state: &RolloutState, bounds: &RolloutBounds) -> bool {
        let permille = f64::from(evaluation_permille(state.duration, bounds));
        let earned = self.responses as f64 * permille / f64::from(ALL_CALLS_PERMILLE);
        let remaining_calls = self.rate * LATEST_SHIFT.as_secs_f64();
        let share = bounds.exposure_share
            * PLANNED_EXPOSURE_RATIO
            * (self.responses as f64 + remaining_calls);
        earned < self.reporters as f64
            && remaining_calls <= share + bounds.exposure_slack_calls * SHIFT_SLACK_RATIO
    }
}

/// Next action of the decider for a rollout without a detected regression.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAction {
    /// Continue to evaluate the target version with this share of the traffic.
    Evaluate {
        /// Share of the service's calls, in thousandths.
        permille: u16,
    },
    /// Shift all traffic to the target version.
    ShiftTraffic,
    /// End the rollout as succeeded, which has to be persisted.
    Succeed,
    /// Roll back, since this condition was not met in time.
    RollBack(UnmetCondition),
}

/// Share of the calls for the evaluation phase, in thousandths. Together with the calls
/// between the latest possible shift of traffic (`LATEST_SHIFT`) and the deadline, they stay
/// within the permitted ratio of calls to a bad target version.
pub fn evaluation_permille(duration: Duration, bounds: &RolloutBounds) -> u16 {
    let evaluation_secs = duration.saturating_sub(LATEST_SHIFT).as_secs_f64();
    let allowed = bounds.exposure_share * PLANNED_EXPOSURE_RATIO * duration.as_secs_f64();
    let share = (allowed - LATEST_SHIFT.as_secs_f64()) / evaluation_secs.max(f64::EPSILON);
    let (least, most) = (
        EVALUATION_EXPOSURE_RATIOS.start(),
        EVALUATION_EXPOSURE_RATIOS.end(),
    );
    let share = share.clamp(bounds.exposure_share * least, bounds.exposure_share * most);
    (share * f64::from(ALL_CALLS_PERMILLE)) as u16
}

/// Decides on the next action for a rollout in `state` from its progress so far.
pub fn next_action(
    state: &RolloutState,
    progress: &RolloutProgress,
    bounds: &RolloutBounds,
) -> NextAction {
    let left = state.duration.saturating_sub(state.elapsed);
    let unmet = progress.unmet_condition(state, bounds);
    if let Some(unmet) = unmet.filter(|unmet| is_overdue(*unmet, state, progress)) {
        return NextAction::RollBack(unmet);
    }
    if state.phase == Phase::Moving {
        let shifted_for = progress.shifting_for.unwrap_or_default();
        let is_time =
            left <= SUCCESS_WRITE_TIME && shifted_for >= MIN_SHIFT_TIME.min(state.duration / 4);
        let done = is_time && unmet.is_none();
        return if done {
            NextAction::Succeed
        } else {
            NextAction::ShiftTraffic
        };
    }
    let due = left <= LATEST_SHIFT || (left <= EARLIEST_SHIFT && rest_fits(left, progress, bounds));
    if due && unmet.is_none() {
        return NextAction::ShiftTraffic;
    }
    NextAction::Evaluate {
        permille: evaluation_permille(state.duration, bounds),
    }
}

/// Returns whether the time to meet the condition `unmet` is over. Capacity is known
/// without evidence; for the other conditions a decider that took over late waits as long
/// as any other.
fn is_overdue(unmet: UnmetCondition, state: &RolloutState, progress: &RolloutProgress) -> bool {
    let has_evidence =
        progress.evidence_collected_for >= progress.evidence_collection_time + OVERTIME;
    state.elapsed >= state.duration + OVERTIME
        && (has_evidence || unmet == UnmetCondition::Capacity)
}

/// Returns whether all calls until the deadline may go to the target version within the
/// exposure bound.
fn rest_fits(left: Duration, progress: &RolloutProgress, bounds: &RolloutBounds) -> bool {
    let remaining_calls = progress.rate * left.as_secs_f64();
    let allowed = bounds.exposure_share
        * PLANNED_EXPOSURE_RATIO
        * (progress.responses as f64 + remaining_calls);
    progress.responses > 0 && progress.target_responses as f64 + remaining_calls <= allowed
}
