//! Whether a call that was given up on can still start.
//!
//! An entry node that gives up on a hop asks the receiving node to fence the
//! call id. Start and fence are decided in one table: whichever comes first
//! wins, for ever within the table's memory. A fence that finds the call not
//! started makes a second try elsewhere safe, if the table remembers the time of
//! the hop: [`FenceOutcome`](super::fence_outcome::FenceOutcome) decides that.

use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How long a decision is remembered at least, a time in which the process stood
/// still not counted. An answer says how far back it reaches, so that a call that
/// lasts longer is not taken for one that never started.
pub const FENCE_RETENTION: Duration = Duration::from_secs(120);
/// Decisions remembered at most; beyond, new calls are refused as not run.
pub const MAX_FENCE_ENTRIES: usize = 1 << 20;
/// Longest time between two looks that counts as time in which the process ran. A
/// gate looks ten times a second; after a longer gap it stood still, and hops that
/// arrived meanwhile are not read yet: their fences must not have been forgotten.
pub const MAX_COUNTED_GAP: Duration = Duration::from_secs(1);

/// Names a call across the fleet.
pub type CallId = String;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Started,
    Fenced,
}

/// Whether a fenced call may start, as far as the gate remembers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceStatus {
    /// It has not started since the beginning of the gate's memory, and never will.
    NeverStarts,
    /// It had started; it may have run.
    Started,
    /// The gate can remember no further fence, or says what is not understood.
    Unknown,
}

impl FenceStatus {
    const ALL: [Self; 3] = [Self::NeverStarts, Self::Started, Self::Unknown];

    /// The word between nodes and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            FenceStatus::NeverStarts => "never-starts",
            FenceStatus::Started => "had-started",
            FenceStatus::Unknown => "cannot-tell",
        }
    }

    /// Reads the word; an unknown one proves nothing.
    pub fn parse(word: &str) -> Self {
        Self::ALL
            .into_iter()
            .find(|fenced| fenced.as_str() == word)
            .unwrap_or(FenceStatus::Unknown)
    }
}

/// What a gate says when it is asked to fence a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceAnswer {
    /// Whether the call may still start, as far as the gate remembers.
    pub fenced: FenceStatus,
    /// How far back the gate remembers.
    pub retention: Duration,
}

/// Why a call may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// It was fenced before.
    #[error("the call was fenced before it started")]
    Fenced,
    /// The same call id has started before: a copy.
    #[error("the call has started before")]
    Duplicate,
    /// The table is full.
    #[error("the fence table is full")]
    Full,
}

/// Decisions about calls at one node.
#[derive(Debug)]
pub struct FenceTable {
    /// What happened before is not known here.
    made: Moment,
    /// When the table was last used.
    looked: Moment,
    /// Time for which the process has run since `made`, as far as its looks show.
    ran: Duration,
    states: HashMap<CallId, State>,
    /// Calls in the order of their decisions, with `ran` as it was then.
    order: VecDeque<(Duration, CallId)>,
}

impl FenceTable {
    /// An empty table of a process that starts `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            made: now,
            looked: now,
            ran: Duration::ZERO,
            states: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// The call wants to start, before any byte of it goes to the back end.
    pub fn start(&mut self, call: &CallId, now: Moment) -> Result<(), StartError> {
        self.expire(now);
        match self.states.get(call) {
            Some(State::Fenced) => return Err(StartError::Fenced),
            Some(State::Started) => return Err(StartError::Duplicate),
            None => {}
        }
        if self.is_full() {
            return Err(StartError::Full);
        }
        self.remember(call, State::Started);
        Ok(())
    }

    /// The entry node has given up on the call.
    pub fn fence(&mut self, call: &CallId, now: Moment) -> FenceAnswer {
        self.expire(now);
        let fenced = match self.states.get(call) {
            Some(State::Started) => FenceStatus::Started,
            Some(State::Fenced) => FenceStatus::NeverStarts,
            None if self.is_full() => FenceStatus::Unknown,
            None => {
                self.remember(call, State::Fenced);
                FenceStatus::NeverStarts
            }
        };
        FenceAnswer {
            fenced,
            retention: now.since(self.made).min(FENCE_RETENTION),
        }
    }

    /// Forgets what is older than [`FENCE_RETENTION`]. To be called while nothing else
    /// is asked of the table, too: only looks show that the process runs.
    pub fn expire(&mut self, now: Moment) {
        self.ran += now.since(self.looked).min(MAX_COUNTED_GAP);
        self.looked = self.looked.max(now);
        while let Some((decided, _)) = self.order.front()
            && self.ran.saturating_sub(*decided) > FENCE_RETENTION
        {
            if let Some((_, call)) = self.order.pop_front() {
                self.states.remove(&call);
            }
        }
    }

    fn remember(&mut self, call: &CallId, state: State) {
        self.states.insert(call.clone(), state);
        self.order.push_back((self.ran, call.clone()));
    }

    fn is_full(&self) -> bool {
        self.states.len() >= MAX_FENCE_ENTRIES
    }

    /// Decisions remembered now.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// True when nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
