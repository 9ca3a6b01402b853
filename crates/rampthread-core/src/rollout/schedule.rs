//! When the traffic moves to a version that was not found bad, and when the roll-out ends.
//!
//! A version may turn bad at any time, and what it gets until the deadline is bounded. So
//! the share stays small, and the traffic moves once what is left of the calls until then
//! fits into the bound; at the latest in time to leave the old back ends.

use super::RolloutBounds;
use super::state::{ALL_CALLS_PERMILLE, Phase, RolloutState};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Least and largest part of the exposure that the version gets while it is judged. What
/// is left is for the calls between the move and the deadline.
const JUDGED_PART: RangeInclusive<f64> = 0.25..=0.5;
/// Part of the exposure that is used; the rest is for calls under way and for evidence
/// that is not told yet.
const USED_PART: f64 = 0.9;
/// Latest move before the deadline: news of it reach all nodes, and calls under way at
/// the old back ends end.
const LATEST_MOVE: Duration = Duration::from_millis(900);
/// Earliest move before the deadline.
const EARLIEST_MOVE: Duration = Duration::from_secs(4);
/// When the end is written before the deadline: a write and one further try.
const WRITE_TIME: Duration = Duration::from_millis(450);
/// Least time between the move and the end, also past the deadline; a quarter of the
/// order's time where that is less.
const LEAST_MOVE: Duration = Duration::from_millis(450);
/// Time after the deadline for which a version without enough back ends is waited for.
const LAST_WAIT: Duration = Duration::from_secs(5);
/// Part of the slack for a version that is tried by the move itself.
const SLACK_OF_MOVE: f64 = 0.5;
/// Slots of the new version that are enough, as a part of those of the others.
const ENOUGH_SLOTS: f64 = 0.6;

/// True near the end, where the decider must not wait for its next round.
pub fn is_near_end(state: &RolloutState) -> bool {
    let left = state.duration.saturating_sub(state.elapsed);
    !state.phase.is_ended() && left <= EARLIEST_MOVE
}

/// What the fleet has seen of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RolloutProgress {
    /// Calls answered by all versions since the order.
    pub answers: u64,
    /// Calls answered by the new version.
    pub target_answers: u64,
    /// Calls a second that are answered at present.
    pub rate: f64,
    /// Slots of the new version's back ends.
    pub target_slots: u32,
    /// Slots of the others.
    pub other_slots: u32,
    /// Time since the traffic began to move.
    pub moving_for: Option<Duration>,
    /// Calls answered by the new version that were heard of since then.
    pub answers_since_move: u64,
    /// Lives of nodes that have told evidence: each began with no call earned.
    pub reporters: usize,
    /// Time for which this decider has been told evidence.
    pub evidence_collected_for: Duration,
    /// Time within which it hears all that the fleet has seen.
    pub evidence_collection_time: Duration,
}

/// What a version lacks to go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingCondition {
    /// Back ends that could take over.
    Slots,
    /// The decider is new: it has not heard the whole fleet.
    Hearing,
    /// No call of the service was answered: nothing shows that the version is any good.
    Traffic,
    /// Calls were answered, none by the version.
    TargetAnswers,
    /// It has answered no call since the move.
    AnswersSinceMove,
}

impl MissingCondition {
    /// The words for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            MissingCondition::Slots => "too few slots to take over",
            MissingCondition::Hearing => "the fleet was not heard yet",
            MissingCondition::Traffic => "no call was answered, so nothing shows that it is good",
            MissingCondition::TargetAnswers => "it has answered no call",
            MissingCondition::AnswersSinceMove => "it has answered no call since the move",
        }
    }
}

impl RolloutProgress {
    fn has_enough_slots(&self) -> bool {
        let needed = f64::from(self.other_slots) * ENOUGH_SLOTS;
        self.target_slots > 0 && f64::from(self.target_slots) >= needed
    }

    /// What is missing for the next step of `state`, if anything.
    pub fn missing_condition(
        &self,
        state: &RolloutState,
        bounds: &RolloutBounds,
    ) -> Option<MissingCondition> {
        let moving = state.phase == Phase::Moving;
        let lacks = [
            (!moving && !self.has_enough_slots(), MissingCondition::Slots),
            (
                self.evidence_collected_for < self.evidence_collection_time,
                MissingCondition::Hearing,
            ),
            (self.answers == 0, MissingCondition::Traffic),
            (
                !moving && self.target_answers == 0 && !self.is_thin(state, bounds),
                MissingCondition::TargetAnswers,
            ),
            (
                moving && self.answers_since_move == 0,
                MissingCondition::AnswersSinceMove,
            ),
        ];
        let found = lacks.into_iter().find(|(lacks, _)| *lacks);
        found.map(|(_, lack)| lack)
    }

    /// True where the traffic is so thin that no entry has earned a call to the version,
    /// and the calls after the latest move fit into the bound: the move tries it.
    fn is_thin(&self, state: &RolloutState, bounds: &RolloutBounds) -> bool {
        let permille = f64::from(evaluation_permille(state.duration, bounds));
        let earned = self.answers as f64 * permille / f64::from(ALL_CALLS_PERMILLE);
        let rest = self.rate * LATEST_MOVE.as_secs_f64();
        let share = bounds.exposure_share * USED_PART * (self.answers as f64 + rest);
        earned < self.reporters as f64
            && rest <= share + bounds.exposure_slack_calls * SLACK_OF_MOVE
    }
}

/// What is to be done with a roll-out whose version was not found bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAction {
    /// It gets this share and is judged further.
    Judge {
        /// Of a thousand calls.
        permille: u16,
    },
    /// The traffic moves to it.
    Move,
    /// It has succeeded: that goes on record.
    Succeed,
    /// It was waited for long enough.
    GiveUp(MissingCondition),
}

/// Share of the calls, of a thousand, that a version under judgement gets: with the calls
/// after the latest move it makes up the exposure.
pub fn evaluation_permille(duration: Duration, bounds: &RolloutBounds) -> u16 {
    let judged = duration.saturating_sub(LATEST_MOVE).as_secs_f64();
    let allowed = bounds.exposure_share * USED_PART * duration.as_secs_f64();
    let share = (allowed - LATEST_MOVE.as_secs_f64()) / judged.max(f64::EPSILON);
    let (least, most) = (JUDGED_PART.start(), JUDGED_PART.end());
    let share = share.clamp(bounds.exposure_share * least, bounds.exposure_share * most);
    (share * f64::from(ALL_CALLS_PERMILLE)) as u16
}

/// What comes next in `state`.
pub fn next_action(
    state: &RolloutState,
    progress: &RolloutProgress,
    bounds: &RolloutBounds,
) -> NextAction {
    let left = state.duration.saturating_sub(state.elapsed);
    let lack = progress.missing_condition(state, bounds);
    if let Some(lack) = lack.filter(|lack| is_given_up(*lack, state, progress)) {
        return NextAction::GiveUp(lack);
    }
    if state.phase == Phase::Moving {
        let moved = progress.moving_for.unwrap_or_default();
        let in_time = left <= WRITE_TIME && moved >= LEAST_MOVE.min(state.duration / 4);
        let done = in_time && lack.is_none();
        return if done {
            NextAction::Succeed
        } else {
            NextAction::Move
        };
    }
    let due = left <= LATEST_MOVE || (left <= EARLIEST_MOVE && rest_fits(left, progress, bounds));
    if due && lack.is_none() {
        return NextAction::Move;
    }
    NextAction::Judge {
        permille: evaluation_permille(state.duration, bounds),
    }
}

/// True when what lacks was waited for long enough. Slots are known without evidence; for
/// the rest a decider that took over late waits as long as any other.
fn is_given_up(lack: MissingCondition, state: &RolloutState, progress: &RolloutProgress) -> bool {
    let heard = progress.evidence_collected_for >= progress.evidence_collection_time + LAST_WAIT;
    state.elapsed >= state.duration + LAST_WAIT && (heard || lack == MissingCondition::Slots)
}

/// True when all calls until the deadline may go to the version.
fn rest_fits(left: Duration, progress: &RolloutProgress, bounds: &RolloutBounds) -> bool {
    let rest = progress.rate * left.as_secs_f64();
    let allowed = bounds.exposure_share * USED_PART * (progress.answers as f64 + rest);
    progress.answers > 0 && progress.target_answers as f64 + rest <= allowed
}
