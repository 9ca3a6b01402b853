//! What an entry, the node that received a call, may conclude from the reply to a fence, by
//! which it forbade a gate to start the call.
//!
//! A gate replies from the memory of its process, which may be younger than the hop, the
//! request that carried the call to it: the process, or its machine, may have been replaced
//! while the hop or the entry was delayed. It then knows nothing of a call that may be
//! running, and neither does another node that has taken over the address. So "never
//! starts" counts only from the node that the hop was sent to, and only if that node's
//! table reaches further back than the start of the hop.
//!
//! Both times are durations, each measured on one clock, so no clocks are compared. Any
//! delay, of the hop, the fence, the reply or either process, makes the hop older and the
//! conclusion more cautious.

use super::fence::{FenceAnswer, FenceStatus};
use crate::ids::NodeId;
use std::time::Duration;

/// Ratio by which the gate's table must reach further back than the age of the hop, as
/// numerator and denominator, since clocks run at different rates. chrony by default slews
/// a clock by at most 8.3 % (`maxslewrate`, 83,333 ppm); two clocks off in opposite
/// directions differ by a factor of 1.18.
const MAX_CLOCK_RATE_RATIO: (u32, u32) = (5, 4);

/// A request to a gate that the entry has abandoned.
#[derive(Debug, Clone, Copy)]
pub struct AbandonedHop<'a> {
    /// Node that the request was sent to.
    pub node: &'a NodeId,
    /// Time from before the first byte of the request was sent until the reply to the fence
    /// arrived, by the entry's clock.
    pub age: Duration,
}

/// Reply to a fence, with the node that sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceReply {
    /// Node that sent the reply; `None` if the reply does not name it.
    pub by: Option<NodeId>,
    /// What the node replied.
    pub answer: FenceAnswer,
}

/// What an entry knows of a call after it fenced the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceOutcome {
    /// The call has not run and never will.
    NeverStarts,
    /// The call had started at the gate and may have run.
    Started,
    /// The node that replied cannot know whether the call has started: the call may have
    /// run.
    Unknown,
    /// No node replied in time: the call may have run.
    NoReply,
}

impl FenceOutcome {
    /// Draws the conclusion for the abandoned `hop`; `reply` is `None` if none came in
    /// time.
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

    /// Value that is logged and used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FenceOutcome::NeverStarts => "never-starts",
            FenceOutcome::Started => "had-started",
            FenceOutcome::Unknown => "cannot-tell",
            FenceOutcome::NoReply => "no-answer",
        }
    }
}

/// True when the node that replied would know if the call had started there.
fn covers(reply: &FenceReply, hop: AbandonedHop<'_>) -> bool {
    let (numerator, denominator) = MAX_CLOCK_RATE_RATIO;
    let needed = hop.age.saturating_mul(numerator) / denominator;
    // Strictly longer: a process that started at the moment of the hop may have replaced
    // the one that received it.
    reply.by.as_ref() == Some(hop.node) && reply.answer.retention > needed
}
