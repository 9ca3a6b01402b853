//! What an entry may conclude from the reply to a fence.
//!
//! A gate replies from the memory of its process, which may be younger than the hop: the
//! process, or its machine, may have been replaced while the hop or the entry was delayed.
//! It then knows nothing of a call that may be running, and neither does another node that
//! has taken over the address. So "never starts" counts only from the node that the hop was
//! sent to, and only if that node's table reaches further back than the start of the hop.
//!
//! Both times are durations, each measured on one clock, so no clocks are compared. Any
//! delay, of the hop, the query, the reply or either process, makes the hop older and the
//! conclusion more cautious.

use super::fence::{FenceAnswer, FenceStatus};
use crate::ids::NodeId;
use std::time::Duration;

/// How much further back than the age of the hop the gate's table has to reach, as a
/// fraction, since clocks run at different rates. chrony by default slews a clock by at
/// most 8.3 % (`maxslewrate`, 83,333 ppm); two clocks off in opposite directions differ by
/// a factor of 1.18.
const MAX_CLOCK_RATE_RATIO: (u32, u32) = (5, 4);

/// A hop that its entry has abandoned.
#[derive(Debug, Clone, Copy)]
pub struct AbandonedHop<'a> {
    /// The node that it was sent to.
    pub node: &'a NodeId,
    /// Time from before the first byte was sent until the reply to the fence arrived, on
    /// the entry's clock.
    pub age: Duration,
}

/// The reply to a fence and the node that sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceReply {
    /// The node that replied; `None` if it does not name itself.
    pub by: Option<NodeId>,
    /// Its reply.
    pub answer: FenceAnswer,
}

/// What an entry knows of a call after a fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceOutcome {
    /// It has not run and never will.
    NeverStarts,
    /// It had started and may have run.
    Started,
    /// The node that replied cannot know: it may have run.
    Unknown,
    /// No reply in time: it may have run.
    NoReply,
}

impl FenceOutcome {
    /// Draws the conclusion for `hop`; `reply` is `None` if none came in time.
    pub fn new(hop: AbandonedHop<'_>, reply: Option<&FenceReply>) -> Self {
        let Some(reply) = reply else {
            return FenceOutcome::NoReply;
        };
        match reply.answer.fenced {
            FenceStatus::Started => FenceOutcome::Started,
            FenceStatus::NeverStarts if covers(reply, hop) => FenceOutcome::NeverStarts,
            FenceStatus::NeverStarts | FenceStatus::Unknown => FenceOutcome::Unknown,
        }
    }

    /// The value in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FenceOutcome::NeverStarts => "never-starts",
            FenceOutcome::Started => "had-started",
            FenceOutcome::Unknown => "cannot-tell",
            FenceOutcome::NoReply => "no-answer",
        }
    }
}

/// True when the node that replied would know of a start of the call.
fn covers(reply: &FenceReply, hop: AbandonedHop<'_>) -> bool {
    let (numerator, denominator) = MAX_CLOCK_RATE_RATIO;
    let needed = hop.age.saturating_mul(numerator) / denominator;
    // Strictly longer: a process that started at the moment of the hop may have replaced
    // the one that received it.
    reply.by.as_ref() == Some(hop.node) && reply.answer.retention > needed
}
