//! Requests that back ends have answered lately. A crash may be known seconds after
//! it happened, when the next incarnation reports: what was answered in between is
//! innocent, and nobody can clear it any more once it is in quarantine.

use super::identity::RequestIdentity;
use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time for which an answer is remembered: longer than a lost answer may take to
/// turn out a crash (10 s).
const MEMORY: Duration = Duration::from_secs(15);
/// Answers remembered at most, about 100 bytes each: a node of the size designed
/// for serves 67 calls a second.
const MAX_ANSWERS: usize = 4_096;

/// The answers of one node's callers.
#[derive(Debug, Default)]
pub struct RecentResponses {
    last: HashMap<RequestIdentity, Moment>,
    order: VecDeque<(Moment, RequestIdentity)>,
}

impl RecentResponses {
    /// A back end has answered the request whole.
    pub fn note(&mut self, identity: RequestIdentity, now: Moment) {
        self.last.insert(identity, now);
        self.order.push_back((now, identity));
        while let Some((at, oldest)) = self.order.front().copied()
            && (self.order.len() > MAX_ANSWERS || now.since(at) > MEMORY)
        {
            self.order.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// When the request was answered last, as far as remembered.
    pub fn last(&self, identity: &RequestIdentity) -> Option<Moment> {
        self.last.get(identity).copied()
    }

    /// Answers remembered.
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// True when none is remembered.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }
}
