//! Claims of idempotency keys: a caller's repeated request runs at most once.
//!
//! A request with an `Idempotency-Key` runs only after a majority of the key's claim
//! holders, the nodes that store claims of this key, have granted it a claim. The claim
//! holders are the first nodes in the rendezvous order of the key, among the nodes that the
//! configuration names. A claim expires [`CLAIM_TTL`] after its last change. A claim holder
//! that started less than [`CLAIM_TTL`] ago may have lost claims in its restart, so it
//! grants none. After a restart of a majority of the claim holders, requests with an
//! idempotency key are therefore rejected for [`CLAIM_TTL`], so that none runs twice.

use super::fence::CallId;
use crate::ids::NodeId;
use crate::rendezvous;
use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Lifetime of an idempotency claim, the right of one call to run the request with an
/// idempotency key. It counts from the last change of the claim.
pub const CLAIM_TTL: Duration = Duration::from_secs(60);
/// How many nodes, the claim holders of a key, store the claims of each idempotency key.
pub const CLAIM_HOLDERS: usize = 5;
/// Maximum number of idempotency claims that a node stores; at the maximum it grants no new
/// ones.
const MAX_CLAIMS: usize = 1 << 18;

/// State of an idempotency claim: whether the request of the call that claimed the key has
/// run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// The request is running, or no node reported how it ended.
    Open,
    /// The request has run, and its caller got the response.
    Done,
}

/// Reply of a claim holder, a node that stores idempotency claims, to the node that wants
/// to run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The claim holder stores the claim: the call may run the request, as far as this
    /// holder knows.
    Granted,
    /// Another call claimed the idempotency key before, and its request has this state.
    Taken(ClaimState),
    /// The claim holder does not know whether the key is claimed: it may have lost claims
    /// in a restart, or its table is full.
    CannotTell {
        /// Time after which the claim holder may be able to grant a claim of this key.
        retry_after: Duration,
    },
}

/// The right of one call to run the request with an idempotency key, as a claim holder
/// stores it.
#[derive(Debug)]
struct IdempotencyClaim {
    call: CallId,
    state: ClaimState,
    /// Time of the claim's last change, from which its lifetime counts.
    changed: Moment,
}

/// The idempotency claims that a node stores as one of the claim holders of their keys.
#[derive(Debug)]
pub struct ClaimTable {
    /// Start of the process; claims granted before it are lost.
    started: Moment,
    ttl: Duration,
    claims: HashMap<String, IdempotencyClaim>,
    /// Idempotency keys with the times at which their claims changed, oldest first, by
    /// which expired claims are found.
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

    /// Asks for the right of `call` to run the request with the idempotency key `key`.
    pub fn claim(&mut self, key: &str, call: &CallId, now: Moment) -> ClaimReply {
        self.drop_expired(now);
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
        self.store_claim(key, call, ClaimState::Open, now);
        ClaimReply::Granted
    }

    /// Records that the request of `call` has run, so that repeats with the same
    /// idempotency key are answered as already done.
    pub fn done(&mut self, key: &str, call: &CallId, now: Moment) {
        self.store_claim(key, call, ClaimState::Done, now);
    }

    /// Drops the claim of `call`, whose request was not run, so that another call may claim
    /// the idempotency key.
    pub fn release(&mut self, key: &str, call: &CallId) {
        if self
            .claims
            .get(key)
            .is_some_and(|claim| claim.call == *call)
        {
            self.claims.remove(key);
        }
    }

    /// Replaces the claim of the idempotency key.
    fn store_claim(&mut self, key: &str, call: &CallId, state: ClaimState, now: Moment) {
        let claim = IdempotencyClaim {
            call: call.clone(),
            state,
            changed: now,
        };
        self.claims.insert(key.to_string(), claim);
        self.order.push_back((now, key.to_string()));
    }

    /// Drops the claims whose lifetime has ended.
    fn drop_expired(&mut self, now: Moment) {
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

/// Chooses the claim holders of an idempotency key: the first [`CLAIM_HOLDERS`] of `nodes`
/// in the key's rendezvous order.
pub fn holders(key: &str, nodes: impl IntoIterator<Item = NodeId>) -> Vec<NodeId> {
    let mut order = rendezvous::order(key, nodes);
    order.truncate(CLAIM_HOLDERS);
    order
}

/// Vote of the claim holders of one idempotency key on whether a call may run its request.
#[derive(Debug)]
pub struct ClaimVote {
    holders: usize,
    granted: usize,
    /// State of another call's request with the same idempotency key, if a claim holder
    /// reported a claim of that call.
    taken: Option<ClaimState>,
    retry_after: Duration,
}

/// Result of the claim holders' vote on whether a call may run the request with its
/// idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The request may run, since a majority of the claim holders granted the claim.
    Run,
    /// A request with this idempotency key has already run.
    AlreadyDone,
    /// Another call with this idempotency key may be running or may have run.
    InProgress,
    /// No majority of the claim holders granted the claim: the request was not run.
    NoMajority {
        /// Time after which the caller should send the request again.
        retry_after: Duration,
    },
}

impl ClaimVote {
    /// Starts a vote among this many claim holders, before any of them has replied.
    pub fn new(holders: usize) -> Self {
        Self {
            holders,
            granted: 0,
            taken: None,
            retry_after: Duration::from_secs(1),
        }
    }

    /// Counts the reply of one claim holder; a claim holder that does not reply counts as
    /// not having granted the claim.
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

    /// Whether the request may run, by the replies counted so far. The result is final once
    /// every claim holder has replied or timed out.
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
