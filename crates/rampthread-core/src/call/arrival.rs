//! A call that asks a gate for a slot.

use super::precedence::Precedence;
use crate::time::Moment;
use std::time::Duration;

/// Identifies a call within one gate.
pub type CallNumber = u64;

/// Rank of a tenant's or a route's calls; 0 goes first.
pub type Rank = u32;

/// A call that asks a gate for a slot of its backend.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The call.
    pub call: CallNumber,
    /// Key of fair queueing: the call's tenant, else the service that makes it.
    pub caller: String,
    /// Time after which its response is useless.
    pub deadline: Moment,
    /// Rank of its tenant, else of its route; 0 goes first.
    pub rank: Rank,
    /// Precedence within its rank.
    pub precedence: Precedence,
    /// Maximum queueing time; zero: the call runs now or is rejected, since another backend
    /// may be free.
    pub max_wait: Duration,
    /// Expected service time at this backend; `None` while unknown.
    pub expected_service_time: Option<Duration>,
}
