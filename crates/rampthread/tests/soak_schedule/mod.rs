//! Faults as a schedule: what happens when, to whom, and for how long. Steps overlap
//! and nest as they are drawn.

#![allow(dead_code)]

mod draw;
mod milliseconds;

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// All that is played in one soak.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    pub seed: u64,
    pub nodes: usize,
    #[serde(with = "milliseconds")]
    pub length: Duration,
    /// A request that ends each back end that runs it comes again and again.
    pub crashing_request: bool,
    /// Back ends go on with work whose connection has gone.
    pub works_on: bool,
    pub steps: Vec<Step>,
}

/// One fault, from `at` for `lasts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    #[serde(with = "milliseconds")]
    pub at: Duration,
    #[serde(with = "milliseconds")]
    pub lasts: Duration,
    pub fault: Fault,
}

/// What strikes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Stopped, and continued at the end.
    Hold {
        node: usize,
    },
    /// Killed, and started again at the end.
    Kill {
        nodes: Vec<usize>,
    },
    /// Told to stop; started again once it has ended.
    Terminate {
        node: usize,
    },
    Reload {
        node: usize,
    },
    StoreLink {
        nodes: Nodes,
        link: LinkFault,
    },
    BackEndLink {
        nodes: Nodes,
        link: LinkFault,
    },
    Store(StoreFault),
    Version(VersionKind),
    BackEnd {
        node: usize,
        fault: BackEndFault,
    },
}

/// To whom it happens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Nodes {
    These(Vec<usize>),
    /// All that wait at the store for news at the moment of the fault.
    Watchers,
}

/// What happens to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFault {
    Delayed,
    Reset,
    Silent,
    AnswersLost,
    RequestsLost,
    Narrow,
    Forgotten,
}

/// What happens to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreFault {
    Busy,
    Silent,
    Slow,
    Refuses(Vec<usize>),
    LosesAnswers,
    ForgetsHistory,
}

/// Which document the operator writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionKind {
    Plain,
    Large,
    /// An earlier one, again.
    Older,
    Invalid(Defect),
}

/// Why a document is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Defect {
    NoRoutes,
    NoServices,
    NoLimits,
    /// A route names a service and a split at once.
    ServiceAndSplit,
    Unreadable,
}

/// What happens to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackEndFault {
    /// It ends, and its next incarnation listens at the end of the step.
    Crash,
    Sheds,
    NamesAnother,
    Unsigned,
    /// It drains, leaves and starts again.
    Leave,
    /// It names a limit in its answers, in requests in 1000 s.
    NamesLimit(u32),
    /// It says in its answers that it leaves, reports that it is ready, and starts again at
    /// the end of the step.
    SaysLeaving,
}

/// Why a text is no schedule that can be played.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleError {
    #[error("{0}")]
    Text(#[from] serde_json::Error),
    #[error("step {step} strikes node {node} of {nodes}")]
    Node {
        step: usize,
        node: usize,
        nodes: usize,
    },
}

impl Schedule {
    /// The text of a schedule, one line a step.
    pub fn to_json(&self) -> String {
        let steps: Vec<String> = self
            .steps
            .iter()
            .map(|step| serde_json::to_string(step).unwrap())
            .collect();
        let mut head = self.clone();
        head.steps.clear();
        let head = serde_json::to_string(&head).unwrap();
        let steps = format!("\"steps\":[\n{}\n]", steps.join(",\n"));
        head.replace("\"steps\":[]", &steps) + "\n"
    }

    /// Reads a schedule as it was kept.
    pub fn from_json(text: &str) -> Result<Self, ScheduleError> {
        let schedule: Self = serde_json::from_str(text)?;
        let nodes = schedule.nodes;
        for (step, one) in schedule.steps.iter().enumerate() {
            if let Some(node) = one.nodes().into_iter().find(|node| *node >= nodes) {
                return Err(ScheduleError::Node { step, node, nodes });
            }
        }
        Ok(schedule)
    }
}

impl Step {
    /// Nodes that are named.
    pub fn nodes(&self) -> Vec<usize> {
        match &self.fault {
            Fault::Hold { node }
            | Fault::Terminate { node }
            | Fault::Reload { node }
            | Fault::BackEnd { node, .. } => vec![*node],
            Fault::Kill { nodes } | Fault::Store(StoreFault::Refuses(nodes)) => nodes.clone(),
            Fault::StoreLink { nodes, .. } | Fault::BackEndLink { nodes, .. } => match nodes {
                Nodes::These(nodes) => nodes.clone(),
                Nodes::Watchers => Vec::new(),
            },
            Fault::Store(_) | Fault::Version(_) => Vec::new(),
        }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "seed {}, {} nodes, {:?}, crashing request: {}, back ends work on: {}",
            self.seed, self.nodes, self.length, self.crashing_request, self.works_on
        )?;
        for step in &self.steps {
            let (at, lasts) = (step.at.as_millis(), step.lasts.as_millis());
            writeln!(formatter, "{at:>7} ms for {lasts:>5} ms: {:?}", step.fault)?;
        }
        Ok(())
    }
}
