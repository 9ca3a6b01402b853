//! A call that wants a slot of a back end, as its gate sees it.

use super::precedence::Precedence;
use crate::time::Moment;
use std::time::Duration;

/// Names one call at one gate.
pub type CallNumber = u64;

/// Rank of a tenant's or a route's calls; 0 goes first.
pub type Rank = u32;

/// A call that asks a gate for a slot.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Which call.
    pub call: CallNumber,
    /// Who takes turns with others: its tenant, else the service that makes it.
    pub caller: String,
    /// When its answer is worthless.
    pub deadline: Moment,
    /// Rank of its tenant, else of its route; 0 goes first.
    pub rank: Rank,
    /// Precedence within its rank.
    pub precedence: Precedence,
    /// Longest wait that is worth it; zero: the call runs now or not at all,
    /// since another back end may be free.
    pub max_wait: Duration,
    /// Time that the back end is expected to work on it; none: not known yet.
    pub expected_service_time: Option<Duration>,
}
