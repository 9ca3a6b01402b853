//! The history of one soak: what callers, back ends, the operator, the platform's
//! questions and the injector of faults saw, as one ordered list of typed events.
//! It is kept as one JSON line an event.

#![allow(dead_code)]

pub mod recorder;

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time since the soak began, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct At(pub u64);

impl At {
    pub const BEGIN: At = At(0);
    pub const NEVER: At = At(u64::MAX);

    pub fn after(time: Duration) -> Self {
        At(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
    }

    pub fn plus(self, time: Duration) -> Self {
        At(self.0.saturating_add(At::after(time).0))
    }

    pub fn minus(self, time: Duration) -> Self {
        At(self.0.saturating_sub(At::after(time).0))
    }

    pub fn since(self, earlier: At) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// One thing that somebody saw.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    pub at: At,
    pub what: What,
}

/// What was seen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    Begun {
        nodes: usize,
    },
    Sent(Call),
    Answered {
        call: String,
        answer: Answer,
    },
    /// The connection ended, or the caller left, without an answer.
    NotAnswered {
        call: String,
    },
    Arrived(Arrival),
    /// The operator begins to write.
    Written(Written),
    Acknowledged {
        version: u32,
    },
    Process {
        node: usize,
        change: ProcessChange,
    },
    Link {
        node: usize,
        side: Side,
        disturbed: bool,
    },
    Store(StoreState),
    /// A node acknowledged that this start of a back end leaves.
    DrainAcknowledged(BackEndStart),
    /// From now on this start names another limit in its answers, or none, in requests in
    /// 1000 s.
    LimitNamed {
        start: BackEndStart,
        milli_per_second: Option<u32>,
    },
    /// What the platform's question got; none: no answer in time.
    Ready {
        node: usize,
        status: Option<u16>,
    },
    /// Threads of the soak itself were not scheduled for so long.
    NotScheduled {
        micros: u64,
    },
    /// The last event of a whole history.
    Ended,
}

/// A request as a caller sent it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    pub id: String,
    pub node: usize,
    /// It may run once at most.
    pub once: bool,
    pub prefix: String,
    pub body_bytes: usize,
    /// Time that the caller waits.
    pub deadline_ms: u64,
}

/// An answer as a caller read it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub status: u16,
    /// Which request it names.
    pub names: Option<String>,
    /// A back end signed it.
    pub signed: bool,
    pub body: String,
    /// The limit that the back end names.
    #[serde(default)]
    pub limit: Option<String>,
    /// The back end says that it leaves.
    #[serde(default)]
    pub leaving: bool,
}

/// One start of a back end: its id may be that of the start before.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackEndStart {
    pub id: String,
    /// When it started, in Unix milliseconds.
    pub born_ms: u64,
}

/// A request as it reached a back end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    pub call: String,
    /// The node beside the back end.
    pub node: usize,
    /// The id that was meant.
    pub target: Option<String>,
    /// The start that it reached.
    pub start: BackEndStart,
    pub ran: bool,
    pub body_bytes: usize,
    pub caller_service: Option<String>,
    /// Time that the back end was given.
    pub deadline_ms: Option<u64>,
}

/// A document as the operator wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Written {
    pub version: u32,
    /// Path prefixes that it has.
    pub prefixes: Vec<String>,
    pub kind: WrittenKind,
}

/// Whether a document is to be put in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WrittenKind {
    Newest,
    /// An earlier version, again.
    Older,
    Invalid,
}

/// What became of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessChange {
    Started,
    Killed,
    Held,
    Continued,
    Terminated,
    Reloaded,
    Ended { code: Option<i32> },
}

/// Which of a node's links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    Store,
    BackEnd,
}

/// How the platform's store is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreState {
    Sound,
    /// Disturbed for some; for the others neither down nor slow.
    RefusesSome,
    /// Down for all, or slow, or losing answers.
    Down,
    /// It forgot its history at this moment.
    Forgot,
}

/// A whole history, in the order of time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    pub events: Vec<Event>,
}

/// Why a text is no whole history.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum HistoryError {
    #[error("line {line}: {reason}")]
    Line { line: usize, reason: String },
    #[error("line {line}: earlier than the line before it")]
    Order { line: usize },
    #[error("line {line}: node {node} of {nodes}")]
    Node {
        line: usize,
        node: usize,
        nodes: usize,
    },
    #[error("it does not begin with its size")]
    NoBegin,
    #[error("it is cut short after line {line}")]
    CutShort { line: usize },
}

impl History {
    /// Puts events into the order of time.
    pub fn new(mut events: Vec<Event>) -> Self {
        events.sort_by_key(|event| event.at);
        Self { events }
    }

    /// One line an event.
    pub fn to_lines(&self) -> String {
        let lines = self.events.iter().map(|event| {
            let line = serde_json::to_string(event).unwrap();
            line + "\n"
        });
        lines.collect()
    }

    /// Reads a whole history; one that is damaged or cut short is refused.
    pub fn from_lines(text: &str) -> Result<Self, HistoryError> {
        let mut events: Vec<Event> = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line_number = index + 1;
            let event: Event = serde_json::from_str(line).map_err(|error| HistoryError::Line {
                line: line_number,
                reason: error.to_string(),
            })?;
            if events.last().is_some_and(|last| event.at < last.at) {
                return Err(HistoryError::Order { line: line_number });
            }
            events.push(event);
        }
        let history = Self { events };
        history.check_whole()?;
        Ok(history)
    }

    /// Number of nodes; none when the history does not begin with it.
    pub fn nodes(&self) -> Option<usize> {
        match self.events.first()?.what {
            What::Begun { nodes } => Some(nodes),
            _ => None,
        }
    }

    /// Refuses what cannot be judged.
    pub fn check_whole(&self) -> Result<(), HistoryError> {
        let nodes = self.nodes().ok_or(HistoryError::NoBegin)?;
        for (index, event) in self.events.iter().enumerate() {
            let line = index + 1;
            match event.node() {
                Some(node) if node >= nodes => {
                    return Err(HistoryError::Node { line, node, nodes });
                }
                _ => {}
            }
        }
        match self.events.last().map(|event| &event.what) {
            Some(What::Ended) => Ok(()),
            _ => Err(HistoryError::CutShort {
                line: self.events.len(),
            }),
        }
    }
}

impl Event {
    fn node(&self) -> Option<usize> {
        match &self.what {
            What::Sent(call) => Some(call.node),
            What::Arrived(arrival) => Some(arrival.node),
            What::Process { node, .. } | What::Link { node, .. } | What::Ready { node, .. } => {
                Some(*node)
            }
            _ => None,
        }
    }
}
