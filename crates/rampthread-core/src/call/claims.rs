//! Claims of idempotency keys: at most one execution across a caller's repeats.
//!
//! A request with an `Idempotency-Key` runs only after a majority of the key's holders have
//! granted a claim to it. The holders are the first nodes in the rendezvous order of the
//! key, among the nodes that the configuration names. A claim expires [`CLAIM_TTL`] after
//! its last change. A holder that started less than [`CLAIM_TTL`] ago may have lost claims
//! and grants none: after the loss of a majority of holders, requests are rejected for that
//! long instead of running twice.

use super::fence::CallId;
use crate::ids::NodeId;
use crate::rendezvous;
use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Lifetime of a claim after its last change.
pub const CLAIM_TTL: Duration = Duration::from_secs(60);
/// Number of holders of one key.
pub const CLAIM_HOLDERS: usize = 5;
/// Maximum number of claims held; beyond it, further claims are rejected.
const MAX_CLAIMS: usize = 1 << 18;

/// State of a claimed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// It is running, or its end was not reported.
    Open,
    /// It has run and was answered.
    Done,
}

/// A holder's reply to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The key belongs to this call.
    Granted,
    /// Another call holds the key.
    Taken(ClaimState),
    /// This holder may have lost claims in a restart, or its table is full.
    CannotTell {
        /// Time after which it may be able to grant claims.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Claim {
    call: CallId,
    state: ClaimState,
    changed: Moment,
}

/// The claims that one node holds for others.
#[derive(Debug)]
pub struct ClaimTable {
    started: Moment,
    ttl: Duration,
    claims: HashMap<String, Claim>,
    order: VecDeque<(Moment, String)>,
}

impl ClaimTable {
    /// An empty table of a process that started at `started`; claims expire after `ttl`.
    pub fn new(started: Moment, ttl: Duration) -> Self {
        Self {
            started,
            ttl,
            claims: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Handles the claim of `call` to run the request with `key`.
    pub fn claim(&mut self, key: &str, call: &CallId, now: Moment) -> ClaimReply {
        self.expire(now);
        if let Some(claim) = self.claims.get(key) {
            if claim.call == *call {
                return ClaimReply::Granted;
            }
            return ClaimReply::Taken(claim.state);
        }
        let age = now.since(self.started);
        if age < self.ttl || self.claims.len() >= MAX_CLAIMS {
            return ClaimReply::CannotTell {
                retry_after: self.ttl.saturating_sub(age).max(Duration::from_secs(1)),
            };
        }
        self.set(key, call, ClaimState::Open, now);
        ClaimReply::Granted
    }

    /// Records that the request has run and was answered.
    pub fn done(&mut self, key: &str, call: &CallId, now: Moment) {
        self.set(key, call, ClaimState::Done, now);
    }

    /// Drops the claim of `call`, whose request was not run: another call may claim the
    /// key.
    pub fn release(&mut self, key: &str, call: &CallId) {
        if self
            .claims
            .get(key)
            .is_some_and(|claim| claim.call == *call)
        {
            self.claims.remove(key);
        }
    }

    fn set(&mut self, key: &str, call: &CallId, state: ClaimState, now: Moment) {
        let claim = Claim {
            call: call.clone(),
            state,
            changed: now,
        };
        self.claims.insert(key.to_string(), claim);
        self.order.push_back((now, key.to_string()));
    }

    fn expire(&mut self, now: Moment) {
        while let Some((since, _)) = self.order.front()
            && now.since(*since) > self.ttl
        {
            if let Some((since, key)) = self.order.pop_front()
                && self
                    .claims
                    .get(&key)
                    .is_some_and(|claim| claim.changed == since)
            {
                self.claims.remove(&key);
            }
        }
    }
}

/// The holders of `key` among the nodes that the configuration names.
pub fn holders(key: &str, nodes: impl IntoIterator<Item = NodeId>) -> Vec<NodeId> {
    let mut order = rendezvous::order(key, nodes);
    order.truncate(CLAIM_HOLDERS);
    order
}

/// Collects the replies of the holders.
#[derive(Debug)]
pub struct ClaimVote {
    holders: usize,
    granted: usize,
    taken: Option<ClaimState>,
    retry_after: Duration,
}

/// The result of the vote so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// A majority granted the claim.
    Run,
    /// The request with this key has already run.
    AlreadyDone,
    /// Another call with this key may run or have run.
    InProgress,
    /// No majority granted the claim; the request was not run.
    NoMajority {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

impl ClaimVote {
    /// A vote among `holders` holders.
    pub fn new(holders: usize) -> Self {
        Self {
            holders,
            granted: 0,
            taken: None,
            retry_after: Duration::from_secs(1),
        }
    }

    /// Adds the reply of one holder.
    pub fn add(&mut self, answer: ClaimReply) {
        match answer {
            ClaimReply::Granted => self.granted += 1,
            ClaimReply::Taken(ClaimState::Done) => self.taken = Some(ClaimState::Done),
            ClaimReply::Taken(ClaimState::Open) => {
                self.taken.get_or_insert(ClaimState::Open);
            }
            ClaimReply::CannotTell { retry_after } => {
                self.retry_after = self.retry_after.max(retry_after);
            }
        }
    }

    /// The result once every holder has replied or timed out.
    pub fn decision(&self) -> ClaimDecision {
        match self.taken {
            Some(ClaimState::Done) => ClaimDecision::AlreadyDone,
            Some(ClaimState::Open) => ClaimDecision::InProgress,
            None if self.granted * 2 > self.holders => ClaimDecision::Run,
            None => ClaimDecision::NoMajority {
                retry_after: self.retry_after,
            },
        }
    }
}
