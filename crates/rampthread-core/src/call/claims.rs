//! At most once across a caller's repeats.
//!
//! A request with an `Idempotency-Key` runs only after a majority of the key's
//! holders have granted a claim to it. Holders are the first of the rendezvous
//! order of the key over the nodes that the configuration names. A claim lasts
//! [`CLAIM_TTL`] after its last change. A holder that started less than
//! [`CLAIM_TTL`] ago may have forgotten a claim and grants nothing: losing a
//! majority of holders at once therefore means refusals for that long, not
//! doubled runs.

use super::fence::CallId;
use crate::ids::NodeId;
use crate::rendezvous;
use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How long a claim lasts after its last change.
pub const CLAIM_TTL: Duration = Duration::from_secs(60);
/// Holders of one key.
pub const CLAIM_HOLDERS: usize = 5;
/// Claims held at most; beyond, claims are refused.
const MAX_CLAIMS: usize = 1 << 18;

/// State of a claimed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// It runs, or its end was never told.
    Open,
    /// It was run and answered.
    Done,
}

/// A holder's answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The key is this call's.
    Granted,
    /// Another call has it.
    Taken(ClaimState),
    /// This holder may have forgotten claims, or is full.
    CannotTell {
        /// When it can.
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
    life: Duration,
    claims: HashMap<String, Claim>,
    order: VecDeque<(Moment, String)>,
}

impl ClaimTable {
    /// A table of a process that has just started.
    pub fn new(started: Moment, life: Duration) -> Self {
        Self {
            started,
            life,
            claims: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// `call` wants to run the request called `key`.
    pub fn claim(&mut self, key: &str, call: &CallId, now: Moment) -> ClaimAnswer {
        self.expire(now);
        if let Some(claim) = self.claims.get(key) {
            if claim.call == *call {
                return ClaimAnswer::Granted;
            }
            return ClaimAnswer::Taken(claim.state);
        }
        let age = now.since(self.started);
        if age < self.life || self.claims.len() >= MAX_CLAIMS {
            return ClaimAnswer::CannotTell {
                retry_after: self.life.saturating_sub(age).max(Duration::from_secs(1)),
            };
        }
        self.set(key, call, ClaimState::Open, now);
        ClaimAnswer::Granted
    }

    /// The request was run and answered.
    pub fn done(&mut self, key: &str, call: &CallId, now: Moment) {
        self.set(key, call, ClaimState::Done, now);
    }

    /// The request was not run; another call may have the key.
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
            && now.since(*since) > self.life
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

/// Collects the holders' answers.
#[derive(Debug)]
pub struct ClaimVote {
    holders: usize,
    granted: usize,
    taken: Option<ClaimState>,
    retry_after: Duration,
}

/// What the answers so far mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// A majority granted.
    Run,
    /// The request of this name was run.
    AlreadyDone,
    /// Another call with this name may run or have run.
    InProgress,
    /// No majority; not run.
    NoMajority {
        /// When to come back.
        retry_after: Duration,
    },
}

impl ClaimVote {
    /// A vote among `holders`.
    pub fn new(holders: usize) -> Self {
        Self {
            holders,
            granted: 0,
            taken: None,
            retry_after: Duration::from_secs(1),
        }
    }

    /// One holder answered.
    pub fn add(&mut self, answer: ClaimAnswer) {
        match answer {
            ClaimAnswer::Granted => self.granted += 1,
            ClaimAnswer::Taken(ClaimState::Done) => self.taken = Some(ClaimState::Done),
            ClaimAnswer::Taken(ClaimState::Open) => {
                self.taken.get_or_insert(ClaimState::Open);
            }
            ClaimAnswer::CannotTell { retry_after } => {
                self.retry_after = self.retry_after.max(retry_after);
            }
        }
    }

    /// The verdict once every holder answered or was given up on.
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
