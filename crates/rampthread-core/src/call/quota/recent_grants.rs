//! Replies of a token pool, kept for requests that are repeated.
//!
//! A node repeats a request whose reply is late or lost. The tokens of the first reply are already
//! taken out of the pool, so that a second reply with further tokens would waste them.

use crate::fleet::{ProcessEpoch, TokenGrant};
use crate::ids::NodeId;
use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time for which a reply is kept. Longer than a node repeats a request to the same pool.
const GRANT_RETENTION: Duration = Duration::from_millis(250);

/// Identifies a request: the node, its process, and the number of the request.
pub(super) type RequestId = (NodeId, ProcessEpoch, u64);

/// The recent replies of a token pool, by request.
#[derive(Debug, Default)]
pub(super) struct RecentGrants {
    grants: HashMap<RequestId, TokenGrant>,
    /// The same requests with the times of their replies, oldest first.
    order: VecDeque<(Moment, RequestId)>,
}

impl RecentGrants {
    /// Returns the reply to an earlier copy of the request.
    pub(super) fn get(&self, request: &RequestId) -> Option<&TokenGrant> {
        self.grants.get(request)
    }

    /// Keeps a reply, and removes those that no node asks for any more.
    pub(super) fn insert(&mut self, request: RequestId, grant: TokenGrant, now: Moment) {
        while let Some((at, _)) = self.order.front() {
            if now.since(*at) < GRANT_RETENTION {
                break;
            }
            if let Some((_, expired)) = self.order.pop_front() {
                self.grants.remove(&expired);
            }
        }
        self.order.push_back((now, request.clone()));
        self.grants.insert(request, grant);
    }
}
