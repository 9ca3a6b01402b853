//! Requests that backends have answered lately. A crash may become known seconds later,
//! when the next incarnation of the backend reports. A request that was answered between
//! the crash and that report did not cause the crash. If it were quarantined, no response
//! could clear it during its quarantine.

use super::identity::RequestIdentity;
use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time for which the response to a request is remembered: longer than the 10 s within
/// which a lost response may turn out to be a crash.
const RETENTION: Duration = Duration::from_secs(15);
/// Maximum number of responses that are remembered, each of which takes about 100 bytes. A
/// node is designed for 67 calls per second.
const MAX_RESPONSES: usize = 4_096;

/// Remembers which requests backends have answered lately, for the callers of one node.
#[derive(Debug, Default)]
pub struct RecentResponses {
    /// When each request was last answered.
    last: HashMap<RequestIdentity, Moment>,
    /// Answered requests with the time of each response, oldest first, by which responses
    /// older than [`RETENTION`] are found.
    order: VecDeque<(Moment, RequestIdentity)>,
}

impl RecentResponses {
    /// Remembers that a backend has answered the request with a complete response.
    pub fn note(&mut self, identity: RequestIdentity, now: Moment) {
        self.last.insert(identity, now);
        self.order.push_back((now, identity));
        while let Some((at, oldest)) = self.order.front().copied()
            && (self.order.len() > MAX_RESPONSES || now.since(at) > RETENTION)
        {
            self.order.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// When the request was last answered; `None` if that is not remembered.
    pub fn last(&self, identity: &RequestIdentity) -> Option<Moment> {
        self.last.get(identity).copied()
    }

    /// How many answered requests are remembered.
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// True if no answered request is remembered.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }
}
