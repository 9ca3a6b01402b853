//! Requests that backends have answered lately. A crash may become known seconds later,
//! when the next incarnation reports: a request that was answered in between did not cause
//! it, and once in quarantine it could not be cleared any more.

use super::identity::RequestIdentity;
use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time for which a response is kept: longer than a lost response may take to turn out as a
/// crash (10 s).
const RETENTION: Duration = Duration::from_secs(15);
/// Maximum number of responses kept, about 100 bytes each; a node is designed for 67 calls
/// per second.
const MAX_RESPONSES: usize = 4_096;

/// Responses to one node's callers.
#[derive(Debug, Default)]
pub struct RecentResponses {
    last: HashMap<RequestIdentity, Moment>,
    order: VecDeque<(Moment, RequestIdentity)>,
}

impl RecentResponses {
    /// Records a complete response of a backend to the request.
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

    /// Time of the last response to the request; `None` if none is kept.
    pub fn last(&self, identity: &RequestIdentity) -> Option<Moment> {
        self.last.get(identity).copied()
    }

    /// Number of responses kept.
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// True if none is kept.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }
}
