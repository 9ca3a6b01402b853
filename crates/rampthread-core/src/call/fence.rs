//! Whether a call that was given up on can still start.
//!
//! An entry node that gives up on a hop asks the receiving node to fence the
//! call id. Start and fence are decided in one table: whichever comes first
//! wins, for ever within the table's memory. A fence that finds the call not
//! started makes a second try elsewhere safe.

use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How long a decision is remembered. A hop older than this is refused by its
/// deadline, so the memory outlives every message.
pub const FENCE_MEMORY: Duration = Duration::from_secs(120);
/// Decisions remembered at most; beyond, new calls are refused as not run.
pub const MAX_FENCE_ENTRIES: usize = 1 << 20;

/// Names a call across the fleet.
pub type CallId = String;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Started,
    Fenced,
}

/// Answer to a fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fenced {
    /// It has not started here and never will.
    NeverStarts,
    /// It had started; it may have run.
    HadStarted,
}

/// Why a call may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartRefused {
    /// It was fenced before.
    #[error("the call was fenced before it started")]
    Fenced,
    /// The same call id has started before: a copy.
    #[error("the call has started before")]
    Copy,
    /// The table is full.
    #[error("the fence table is full")]
    Full,
}

impl Fenced {
    /// The word between nodes and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Fenced::NeverStarts => "never-starts",
            Fenced::HadStarted => "had-started",
        }
    }

    /// Reads the word; none when it is unknown.
    pub fn parse(word: &str) -> Option<Self> {
        [Self::NeverStarts, Self::HadStarted]
            .into_iter()
            .find(|fenced| fenced.as_str() == word)
    }
}

/// What a gate says when it is asked to fence a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceAnswer {
    /// Whether the call may still start, as far as the gate remembers.
    pub fenced: Fenced,
    /// How far back the gate remembers.
    pub memory: Duration,
}

/// Decisions about calls at one node.
#[derive(Debug)]
pub struct FenceTable {
    /// What happened before is not known here.
    made: Moment,
    states: HashMap<CallId, State>,
    order: VecDeque<(Moment, CallId)>,
}

impl FenceTable {
    /// An empty table of a process that starts `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            made: now,
            states: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// The call wants to start, before any byte of it goes to the back end.
    pub fn start(&mut self, call: &CallId, now: Moment) -> Result<(), StartRefused> {
        self.expire(now);
        match self.states.get(call) {
            Some(State::Fenced) => return Err(StartRefused::Fenced),
            Some(State::Started) => return Err(StartRefused::Copy),
            None => {}
        }
        if self.states.len() >= MAX_FENCE_ENTRIES {
            return Err(StartRefused::Full);
        }
        self.remember(call, State::Started, now);
        Ok(())
    }

    /// The entry node has given up on the call.
    pub fn fence(&mut self, call: &CallId, now: Moment) -> FenceAnswer {
        self.expire(now);
        let fenced = match self.states.get(call) {
            Some(State::Started) => Fenced::HadStarted,
            Some(State::Fenced) => Fenced::NeverStarts,
            None => {
                self.remember(call, State::Fenced, now);
                Fenced::NeverStarts
            }
        };
        FenceAnswer {
            fenced,
            memory: now.since(self.made).min(FENCE_MEMORY),
        }
    }

    fn remember(&mut self, call: &CallId, state: State, now: Moment) {
        self.states.insert(call.clone(), state);
        self.order.push_back((now, call.clone()));
    }

    fn expire(&mut self, now: Moment) {
        while let Some((since, _)) = self.order.front()
            && now.since(*since) > FENCE_MEMORY
        {
            if let Some((_, call)) = self.order.pop_front() {
                self.states.remove(&call);
            }
        }
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
