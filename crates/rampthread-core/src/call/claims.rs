//! Claims of idempotency keys: a caller's repeated request runs at most once.
//!
//! A request with an `Idempotency-Key` runs only after a majority of the key's holders, the
//! nodes that store claims of this key, have granted it a claim. The holders are the first
//! nodes in the rendezvous order of the key, among the nodes that the configuration names.
//! A claim expires [`CLAIM_TTL`] after its last change. A holder that started less than
//! [`CLAIM_TTL`] ago may have lost claims and grants none: after the loss of a majority of
//! holders, requests are rejected for that long instead of running twice.

use super::fence::CallId;
use crate::ids::NodeId;
use crate::rendezvous;
use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time from the last change of a claim until the holder drops the claim.
pub const CLAIM_TTL: Duration = Duration::from_secs(60);
/// Number of nodes that store the claims of one idempotency key.
pub const CLAIM_HOLDERS: usize = 5;
/// Maximum number of claims that a node stores; at the maximum it grants no new ones.
const MAX_CLAIMS: usize = 1 << 18;

/// State of a request whose idempotency key is claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// The request is running, or no node reported its end.
    Open,
    /// The request has run, and its caller got the response.
    Done,
}

/// A holder's reply to a node that claims an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The idempotency key is claimed for this call.
    Granted,
    /// The idempotency key is claimed for another call, whose request has this state.
    Taken(ClaimState),
    /// The holder may have lost claims in a restart, or its table is full.
    CannotTell {
        /// Time after which the holder may be able to grant claims.
        retry_after: Duration,
    },
}

/// Claim of one idempotency key.
#[derive(Debug)]
struct IdempotencyClaim {
    call: CallId,
    state: ClaimState,
    /// When the claim was granted or its state changed last.
    changed: Moment,
}

/// The claims of idempotency keys that a node stores as one of their holders.
#[derive(Debug)]
pub struct ClaimTable {
    /// Start of the process; claims granted before it are lost.
    started: Moment,
    ttl: Duration,
    claims: HashMap<String, IdempotencyClaim>,
    /// Changes of claims, oldest first; a claim that changed again has several.
    order: VecDeque<(Moment, String)>,
}

impl ClaimTable {
    /// Creates an empty table for a process that started at `started`; claims expire after
    /// `ttl`.
    pub fn new(started: Moment, ttl: Duration) -> Self {
        Self {
            started,
            ttl,
            claims: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Claims the idempotency key `key` for `call`, which wants to run its request.
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
        self.store(key, call, ClaimState::Open, now);
        ClaimReply::Granted
    }

    /// Records that the request with this key has run and its caller got the response.
    pub fn done(&mut self, key: &str, call: &CallId, now: Moment) {
        self.store(key, call, ClaimState::Done, now);
    }

    /// Drops the claim of `call`, whose request was not run, so that another call may claim
    /// the key.
    pub fn release(&mut self, key: &str, call: &CallId) {
        if self
            .claims
            .get(key)
            .is_some_and(|claim| claim.call == *call)
        {
            self.claims.remove(key);
        }
    }

    /// Stores the claim of `call` in place of any other.
    fn store(&mut self, key: &str, call: &CallId, state: ClaimState, now: Moment) {
        let claim = IdempotencyClaim {
            call: call.clone(),
            state,
            changed: now,
        };
        self.claims.insert(key.to_string(), claim);
        self.order.push_back((now, key.to_string()));
    }

    /// Drops claims whose last change is older than the TTL.
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

/// The holders of the idempotency key `key`, among the nodes of the configuration.
pub fn holders(key: &str, nodes: impl IntoIterator<Item = NodeId>) -> Vec<NodeId> {
    let mut order = rendezvous::order(key, nodes);
    order.truncate(CLAIM_HOLDERS);
    order
}

/// Collects the replies of the holders of one idempotency key.
#[derive(Debug)]
pub struct ClaimVote {
    holders: usize,
    granted: usize,
    /// State of the request that holds the key, if a holder reported another call.
    taken: Option<ClaimState>,
    retry_after: Duration,
}

/// What the holders' replies decide about a call with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// A majority of the holders granted the claim: the request may run.
    Run,
    /// A request with this idempotency key has already run.
    AlreadyDone,
    /// Another call with this idempotency key may be running or may have run.
    InProgress,
    /// No majority of the holders granted the claim: the request was not run.
    NoMajority {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

impl ClaimVote {
    /// Starts a vote in which `holders` nodes may reply.
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

    /// The decision, to be taken once every holder has replied or timed out.
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
