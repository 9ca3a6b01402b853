//! A call that asks a gate node, the node that forwards calls to its local backend, for a
//! slot there.

use super::precedence::Precedence;
use crate::time::Moment;
use std::time::Duration;

/// Identifies a call within the node that forwards calls to one backend.
pub type CallNumber = u64;

/// Rank of a call in queues, set by its tenant or its route; calls of rank 0 are served
/// first.
pub type Rank = u32;

/// A call that asks a gate node for a slot of the local backend.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Number by which the gate node finds the call again when it leaves the queue.
    pub call: CallNumber,
    /// Name under which the call takes part in fair queueing: its tenant, else the service
    /// that makes it.
    pub caller: String,
    /// Time after which the call's response is useless.
    pub deadline: Moment,
    /// Rank that the call's tenant, else its route, is configured with. Calls of lower rank
    /// are served first.
    pub rank: Rank,
    /// Order among calls of the same rank: nested calls, then first attempts, then retries.
    pub precedence: Precedence,
    /// Maximum time that the call may wait in the queue. Zero: the call runs now or is
    /// rejected, since another backend may have a free slot.
    pub max_wait: Duration,
    /// Time for which the call is expected to hold a slot; `None` if its route has not been
    /// measured yet.
    pub expected_service_time: Option<Duration>,
}
