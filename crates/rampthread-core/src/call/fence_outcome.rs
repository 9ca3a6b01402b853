//! What an entry node, the node that received a call, may conclude from the reply to a
//! fence, by which it forbade a gate node to start the call.
//!
//! A gate node replies from the memory of its process. The process may be younger than the
//! hop, the request that carried the call to the gate node: the process or its machine may
//! have been replaced while the hop or the entry node was delayed. The new process has no
//! record of a call that may still be running, and neither has another node that has taken
//! over the address. So "never starts" counts only from the node that the hop was sent to,
//! and only if that node's table reaches further back than the start of the hop.
//!
//! The age of the hop and the reach of the table are durations, each measured on one clock,
//! so that the clocks of two machines are not compared. A delay of the hop, the fence, the
//! reply or either process makes the hop older, so that fewer replies are trusted.

use super::fence::{FenceAnswer, FenceStatus};
use crate::ids::NodeId;
use std::time::Duration;

/// Ratio by which the gate node's table must reach further back than the age of the hop, as
/// numerator and denominator, since clocks run at different rates. chrony by default slews
/// a clock by at most 8.3 % (`maxslewrate`, 83,333 ppm); two clocks off in opposite
/// directions differ by a factor of 1.18.
const MAX_CLOCK_RATE_RATIO: (u32, u32) = (5, 4);

/// A request that an entry node sent to a backend's node and no longer waits for.
#[derive(Debug, Clone, Copy)]
pub struct AbandonedHop<'a> {
    /// Node that the request was sent to.
    pub node: &'a NodeId,
    /// Time from before the first byte of the request was sent until the reply to the fence
    /// arrived, by the entry node's clock.
    pub age: Duration,
}

/// The reply to a call fence, which forbids a call to start, and the node that sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceReply {
    /// Node that sent the reply; `None` if the reply does not name it.
    pub by: Option<NodeId>,
    /// Whether the call had started at the node that replied, and how far back that node
    /// remembers.
    pub answer: FenceAnswer,
}

/// What an entry node knows of a call after it forbade a gate node to start it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceOutcome {
    /// The call has not run and never will.
    NeverStarts,
    /// The call had started at the gate node, so it may have run.
    Started,
    /// The node that replied does not know whether the call has started, so the call may
    /// have run.
    Unknown,
    /// No node replied to the fence in time, so the call may have run.
    NoReply,
}

impl FenceOutcome {
    /// Concludes from the reply to the fence whether the abandoned call may have run.
    /// `reply` is `None` if no reply to the fence came in time.
    pub fn new(hop: AbandonedHop<'_>, reply: Option<&FenceReply>) -> Self {
        let Some(reply) = reply else {
            return FenceOutcome::NoReply;
        };
        match reply.answer.fenced {
            FenceStatus::Started => FenceOutcome::Started,
            FenceStatus::NeverStarts if remembers_request(reply, hop) => FenceOutcome::NeverStarts,
            FenceStatus::NeverStarts | FenceStatus::Unknown => FenceOutcome::Unknown,
        }
    }

    /// Text of the outcome in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FenceOutcome::NeverStarts => "never-starts",
            FenceOutcome::Started => "had-started",
            FenceOutcome::Unknown => "cannot-tell",
            FenceOutcome::NoReply => "no-answer",
        }
    }
}

/// True if the node that replied is the one that got the request, and its records reach back
/// to the time when the request was sent.
fn remembers_request(reply: &FenceReply, hop: AbandonedHop<'_>) -> bool {
    let (numerator, denominator) = MAX_CLOCK_RATE_RATIO;
    let needed = hop.age.saturating_mul(numerator) / denominator;
    // The retention must be strictly longer: a process that started at the moment of the
    // hop may have replaced the process that received the hop.
    reply.by.as_ref() == Some(hop.node) && reply.answer.retention > needed
}
