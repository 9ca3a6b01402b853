//! Fences: an entry node, the node that received a call, forbids a gate node, the node that
//! forwards calls to its local backend, to start a call that the entry node has abandoned.
//!
//! The gate node records starts and fences of calls in one table. The first record of a
//! call, start or fence, is final for the retention of the table. If the call had not
//! started before its fence, a retry at another backend is safe, provided that the table
//! reaches back to the time when the call was sent, which
//! [`FenceOutcome`](super::fence_outcome::FenceOutcome) checks.

use crate::time::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Minimum time for which the table keeps a start or fence, not counting time in which the
/// process was suspended. The reply to a fence says how far back the table reaches, so that
/// a call that started before then is not taken for one that never started.
pub const FENCE_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of calls in the table; while it is full, new calls are rejected as not
/// run.
pub const MAX_FENCE_ENTRIES: usize = 1 << 20;
/// Longest gap between two uses of the table that counts as time in which the process ran.
/// A gate node uses the table ten times per second; after a longer gap the process was
/// suspended. Requests that arrived meanwhile have not been read yet, so that the fences of
/// their calls must be kept.
pub const MAX_COUNTED_GAP: Duration = Duration::from_secs(1);

/// Id of a call, unique across the fleet.
pub type CallId = String;

/// What the fence table of a gate node records of a call: that it has started, or that it
/// must not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordedCallState {
    Started,
    Fenced,
}

/// Whether a fenced call has started at the gate node, as far as the gate node's table
/// reaches back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceStatus {
    /// The call has not started within the gate node's retention, and never will.
    NeverStarts,
    /// The call had started before the fence, and may have run.
    Started,
    /// The gate node cannot record the fence, since its table is full, or the entry node
    /// could not parse the reply.
    Unknown,
}

impl FenceStatus {
    const ALL: [Self; 3] = [Self::NeverStarts, Self::Started, Self::Unknown];

    /// Text of the status in replies between nodes and in logs.
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

/// Reply of a gate node to an entry node that forbids a call to start (fences the call).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceAnswer {
    /// Whether the call had started at the gate node before it was forbidden.
    pub fenced: FenceStatus,
    /// How far back the gate node's table of started calls reaches.
    pub retention: Duration,
}

/// Why a gate node must not send a call to its backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// The entry node has forbidden the call to start.
    #[error("the call was fenced before it started")]
    Fenced,
    /// A call with this id has started before: the request is a duplicate.
    #[error("the call has started before")]
    Duplicate,
    /// The gate node's table of starts and fences is full, so that the start cannot be
    /// recorded.
    #[error("the fence table is full")]
    Full,
}

/// Table of a gate node: which calls have started here, and which were fenced, so that they
/// must not start.
#[derive(Debug)]
pub struct FenceTable {
    /// Start of the gate node's process. The table has no records of calls that earlier
    /// processes started.
    created: Moment,
    /// When the table was last used. Uses in short intervals show that the process was not
    /// suspended.
    last_used: Moment,
    /// Time for which the process has run. A gap between two uses of the table counts with
    /// at most [`MAX_COUNTED_GAP`], since the process may have been suspended.
    running_time: Duration,
    /// Calls that have started here, and calls that must not start.
    states: HashMap<CallId, RecordedCallState>,
    /// Calls in the order in which they were recorded, with the value of `running_time` at
    /// that time.
    order: VecDeque<(Duration, CallId)>,
}

impl FenceTable {
    /// Creates an empty table for a process that starts at `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            created: now,
            last_used: now,
            running_time: Duration::ZERO,
            states: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records that a call starts, unless it was fenced or has started before. To be called
    /// before any byte of the call goes to the backend.
    pub fn start(&mut self, call: &CallId, now: Moment) -> Result<(), StartError> {
        self.expire(now);
        match self.states.get(call) {
            Some(RecordedCallState::Fenced) => return Err(StartError::Fenced),
            Some(RecordedCallState::Started) => return Err(StartError::Duplicate),
            None => {}
        }
        if self.is_table_full() {
            return Err(StartError::Full);
        }
        self.record_call(call, RecordedCallState::Started);
        Ok(())
    }

    /// Records a fence for a call that its entry node has abandoned: if the call has not
    /// started, it never will. Returns whether it had started.
    pub fn fence(&mut self, call: &CallId, now: Moment) -> FenceAnswer {
        self.expire(now);
        let fenced = match self.states.get(call) {
            Some(RecordedCallState::Started) => FenceStatus::Started,
            Some(RecordedCallState::Fenced) => FenceStatus::NeverStarts,
            None if self.is_table_full() => FenceStatus::Unknown,
            None => {
                self.record_call(call, RecordedCallState::Fenced);
                FenceStatus::NeverStarts
            }
        };
        FenceAnswer {
            fenced,
            retention: now.since(self.created).min(FENCE_RETENTION),
        }
    }

    /// Drops records of calls older than [`FENCE_RETENTION`]. The gate node calls this
    /// regularly, even without calls, since only uses of the table show that its process is
    /// not suspended.
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

    fn record_call(&mut self, call: &CallId, state: RecordedCallState) {
        self.states.insert(call.clone(), state);
        self.order.push_back((self.running_time, call.clone()));
    }

    fn is_table_full(&self) -> bool {
        self.states.len() >= MAX_FENCE_ENTRIES
    }

    /// How many calls the table remembers as started or fenced.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// True if the table remembers no call.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
