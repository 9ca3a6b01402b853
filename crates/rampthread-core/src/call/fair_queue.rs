//! Whose turn it is among those who share one back end: start-time fair queueing (Goyal,
//! Vin and Cheng 1996) over the work that their calls are expected to need.
//!
//! Each call starts where its owner's last one ended, or where the one served last started
//! if that is later, on a clock of work served; the least start goes first. So whoever asks
//! ten times as much gets what the others leave, many small calls count like a few large
//! ones, and nobody saves up turns while asking for nothing.
//!
//! Only owners that were served ahead of that clock are remembered: about as many as calls
//! can wait, however many owners there are.

use std::collections::HashMap;
use std::time::Duration;

/// Owners that are remembered at most; a gate's queue holds far fewer calls.
const MAX_REMEMBERED: usize = 1_024;
/// Work that a call counts for where none is known; all such calls count the same.
const UNKNOWN_WORK: Duration = Duration::from_millis(1);

/// The turns of owners at one queue.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// Start of the call served last.
    clock: Duration,
    /// End of the last call of an owner, where that is ahead of the clock.
    ends: HashMap<String, Duration>,
}

impl FairQueue {
    /// Where the next call of `owner` starts; less goes first.
    pub fn start_tag(&self, owner: &str) -> Duration {
        let end = self.ends.get(owner).copied().unwrap_or_default();
        end.max(self.clock)
    }

    /// A call of `owner` that needs so much work is served.
    pub fn served(&mut self, owner: &str, work: Option<Duration>) {
        let start = self.start_tag(owner);
        self.clock = start;
        let end = start + work.unwrap_or(UNKNOWN_WORK);
        if self.ends.len() >= MAX_REMEMBERED {
            self.ends.retain(|_, end| *end > start);
        }
        if self.ends.len() < MAX_REMEMBERED || self.ends.contains_key(owner) {
            self.ends.insert(owner.to_string(), end);
        }
    }

    /// Owners that are remembered.
    pub fn remembered(&self) -> usize {
        self.ends.len()
    }

    /// Nobody waited: what was served before, while others waited, is settled.
    pub fn reset(&mut self) {
        self.clock = Duration::ZERO;
        self.ends.clear();
    }
}
