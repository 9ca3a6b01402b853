//! What an entry node may conclude from the answer to a fence.
//!
//! A gate answers from the memory of its process. The process that answers may be
//! younger than the hop: it, or its machine, was replaced while the hop, or the entry
//! itself, was held up. It has never heard of a call that may well be running, and
//! neither has another node that stands at the same address by now. So "never starts"
//! counts only from the node that was sent the hop, and only if that node remembers a
//! longer time than has passed since the hop began.
//!
//! Both are spans, each measured on one clock, so no clock is compared with another.
//! Every delay, of the hop, the question, the answer or either process, makes the hop
//! older and the conclusion no bolder.

use super::fence::{FenceAnswer, FenceStatus};
use crate::ids::NodeId;
use std::time::Duration;

/// How many times longer than the age of the hop the gate has to remember, as a
/// fraction: two clocks may run at different rates. chrony slews a clock by 8.3 in
/// 100 at most, unless it is set up otherwise (`maxslewrate`, 83,333 ppm); one clock
/// that much too fast beside one too slow makes a factor of 1.18.
const CLOCK_RATES: (u32, u32) = (5, 4);

/// A hop that was given up on.
#[derive(Debug, Clone, Copy)]
pub struct AbandonedHop<'a> {
    /// The node that was sent it.
    pub node: &'a NodeId,
    /// From before any byte of it was sent until the answer to the fence was there, on
    /// the entry's clock.
    pub age: Duration,
}

/// The answer to a fence, and who gave it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceReply {
    /// The node that answers; none where it does not name itself.
    pub by: Option<NodeId>,
    /// What it says.
    pub answer: FenceAnswer,
}

/// What the entry knows of the call after a fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceOutcome {
    /// It has not run and never will.
    NeverStarts,
    /// It had started; it may have run.
    Started,
    /// The node that answers cannot know: it may have run.
    Unknown,
    /// Nobody answered in time: it may have run.
    NoReply,
}

impl FenceOutcome {
    /// The conclusion for `hop` from what came back.
    pub fn new(hop: AbandonedHop<'_>, reply: Option<&FenceReply>) -> Self {
        let Some(reply) = reply else {
            return FenceOutcome::NoReply;
        };
        match reply.answer.fenced {
            FenceStatus::Started => FenceOutcome::Started,
            FenceStatus::NeverStarts if knows_of(reply, hop) => FenceOutcome::NeverStarts,
            FenceStatus::NeverStarts | FenceStatus::Unknown => FenceOutcome::Unknown,
        }
    }

    /// The word in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FenceOutcome::NeverStarts => "never-starts",
            FenceOutcome::Started => "had-started",
            FenceOutcome::Unknown => "cannot-tell",
            FenceOutcome::NoReply => "no-answer",
        }
    }
}

/// True when whoever answers would remember the start of the call.
fn knows_of(reply: &FenceReply, hop: AbandonedHop<'_>) -> bool {
    let (numerator, denominator) = CLOCK_RATES;
    let needed = hop.age.saturating_mul(numerator) / denominator;
    // Longer, not as long: a process that began at the moment of the hop may have
    // taken the place of the one that got it.
    reply.by.as_ref() == Some(hop.node) && reply.answer.retention > needed
}
