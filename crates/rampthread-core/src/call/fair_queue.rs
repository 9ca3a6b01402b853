//! Start-time fair queueing (Goyal, Vin and Cheng 1996) among the owners of waiting calls,
//! by the expected service time of their calls. The owner of a call is its tenant, else the
//! service that makes it.
//!
//! A call's start tag is the finish tag of its owner's previous call, or the start tag of
//! the call served last if that is later; the call with the least start tag goes first. So
//! an owner that asks for ten times as much service as the others gets only what they
//! leave. Many short calls count like a few long ones of the same total service time, and
//! an owner without calls saves up no credit.
//!
//! The virtual clock is the start tag of the call that was served last. A finish tag that it
//! has passed no longer affects the order and is dropped when the table is full. The other
//! tags are about as many as the calls that can wait, however many owners there are.

use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of owners whose finish tag is kept; a gate node's queue holds far fewer
/// calls.
const MAX_OWNERS: usize = 1_024;
/// Service time that is assumed for a call without an expected service time.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(1);

/// State of start-time fair queueing for one queue: virtual clock and finish tags.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// Virtual clock: the start tag of the call that was served last.
    clock: Duration,
    /// Start tag plus service time of each owner's last call, if that is ahead of the
    /// clock.
    finish_tags: HashMap<String, Duration>,
}

impl FairQueue {
    /// Start tag of the next call of `owner`; the owner with the least tag is served next.
    pub fn start_tag(&self, owner: &str) -> Duration {
        let finish = self.finish_tags.get(owner).copied().unwrap_or_default();
        finish.max(self.clock)
    }

    /// Advances the virtual clock to the start tag of a call of `owner` that is served now,
    /// and sets the owner's finish tag to that start tag plus the expected service time.
    pub fn served(&mut self, owner: &str, service_time: Option<Duration>) {
        let start = self.start_tag(owner);
        self.clock = start;
        let finish = start + service_time.unwrap_or(DEFAULT_SERVICE_TIME);
        if self.finish_tags.len() >= MAX_OWNERS {
            self.finish_tags.retain(|_, finish| *finish > start);
        }
        if self.finish_tags.len() < MAX_OWNERS || self.finish_tags.contains_key(owner) {
            self.finish_tags.insert(owner.to_string(), finish);
        }
    }

    /// How many owners have a finish tag; bounded however many owners there are.
    pub fn owner_count(&self) -> usize {
        self.finish_tags.len()
    }

    /// Clears all tags. To be called when the queue is empty, since service that owners
    /// received earlier must not count against them any more.
    pub fn reset(&mut self) {
        self.clock = Duration::ZERO;
        self.finish_tags.clear();
    }
}
