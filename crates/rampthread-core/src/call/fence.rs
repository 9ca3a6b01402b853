//! Prevents the start of a call that its entry has abandoned.
//!
//! An entry that abandons a hop asks the receiving gate to fence the call id. Starts and
//! fences are recorded in one table: whichever comes first is final within the retention of
//! the table. A fence that finds the call not started makes a retry elsewhere safe, if the
//! table reaches back to the time of the hop, which
//! [`FenceOutcome`](super::fence_outcome::FenceOutcome) decides.

use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Minimum time for which a start or fence is retained, not counting time in which the
/// process was suspended. A reply says how far back the table reaches, so that a call that
/// lasts longer is not taken for one that never started.
pub const FENCE_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of entries; beyond it, new calls are rejected as not run.
pub const MAX_FENCE_ENTRIES: usize = 1 << 20;
/// Longest gap between two uses of the table that counts as running time. A gate uses it
/// ten times per second; after a longer gap the process was suspended, and hops that
/// arrived meanwhile are not read yet, so that their fences must be retained.
pub const MAX_COUNTED_GAP: Duration = Duration::from_secs(1);

/// Id of a call, unique across the fleet.
pub type CallId = String;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Started,
    Fenced,
}

/// Whether a fenced call may have started, as far as the gate's table reaches back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceStatus {
    /// It has not started within the gate's retention, and never will.
    NeverStarts,
    /// It had started and may have run.
    Started,
    /// The gate's table is full, or its reply was not understood.
    Unknown,
}

impl FenceStatus {
    const ALL: [Self; 3] = [Self::NeverStarts, Self::Started, Self::Unknown];

    /// The value between nodes and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            FenceStatus::NeverStarts => "never-starts",
            FenceStatus::Started => "had-started",
            FenceStatus::Unknown => "cannot-tell",
        }
    }

    /// Parses the value; an unknown one counts as [`FenceStatus::Unknown`].
    pub fn parse(value: &str) -> Self {
        Self::ALL
            .into_iter()
            .find(|fenced| fenced.as_str() == value)
            .unwrap_or(FenceStatus::Unknown)
    }
}

/// A gate's reply to a fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceAnswer {
    /// Whether the call may have started.
    pub fenced: FenceStatus,
    /// How far back the gate's table reaches.
    pub retention: Duration,
}

/// Why a call may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// It was fenced before.
    #[error("the call was fenced before it started")]
    Fenced,
    /// The call id has started before: this hop is a duplicate.
    #[error("the call has started before")]
    Duplicate,
    /// The table is full.
    #[error("the fence table is full")]
    Full,
}

/// Starts and fences of calls at one gate.
#[derive(Debug)]
pub struct FenceTable {
    /// Creation of the table; earlier calls are not known here.
    created: Moment,
    /// Last use of the table.
    last_used: Moment,
    /// Time for which the process has run since `created`, as far as the uses of the table
    /// show.
    running_time: Duration,
    states: HashMap<CallId, State>,
    /// Calls by age, with the value of `running_time` when they were recorded.
    order: VecDeque<(Duration, CallId)>,
}

impl FenceTable {
    /// An empty table of a process that starts at `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            created: now,
            last_used: now,
            running_time: Duration::ZERO,
            states: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records the start of the call; to be called before any byte of it goes to the
    /// backend.
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
        self.record(call, State::Started);
        Ok(())
    }

    /// Fences the call, which its entry has abandoned.
    pub fn fence(&mut self, call: &CallId, now: Moment) -> FenceAnswer {
        self.expire(now);
        let fenced = match self.states.get(call) {
            Some(State::Started) => FenceStatus::Started,
            Some(State::Fenced) => FenceStatus::NeverStarts,
            None if self.is_full() => FenceStatus::Unknown,
            None => {
                self.record(call, State::Fenced);
                FenceStatus::NeverStarts
            }
        };
        FenceAnswer {
            fenced,
            retention: now.since(self.created).min(FENCE_RETENTION),
        }
    }

    /// Drops entries older than [`FENCE_RETENTION`]. To be called regularly, also while
    /// there are no calls: only uses of the table show that the process is running.
    pub fn expire(&mut self, now: Moment) {
        self.running_time += now.since(self.last_used).min(MAX_COUNTED_GAP);
        self.last_used = self.last_used.max(now);
        while let Some((recorded_at, _)) = self.order.front()
            && self.running_time.saturating_sub(*recorded_at) > FENCE_RETENTION
        {
            if let Some((_, call)) = self.order.pop_front() {
                self.states.remove(&call);
            }
        }
    }

    fn record(&mut self, call: &CallId, state: State) {
        self.states.insert(call.clone(), state);
        self.order.push_back((self.running_time, call.clone()));
    }

    fn is_full(&self) -> bool {
        self.states.len() >= MAX_FENCE_ENTRIES
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// True without entries.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
