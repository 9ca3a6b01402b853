//! Calls that nodes have open at the store: watches that wait for a new document, and
//! reads that have no answer yet.

use rampthread_core::time::Moment;
use std::collections::BTreeSet;
use std::time::Duration;

/// Pause between two calls of a node that the store did not answer.
const PAUSE: Duration = Duration::from_millis(100);

/// One open call.
#[derive(Debug, Clone, Copy)]
struct Call {
    begun: Moment,
    /// When the answer comes; none: the store says nothing to it.
    answered_at: Option<Moment>,
    /// The node waits no longer.
    given_up_at: Moment,
    /// Wait at the store that was asked for.
    wait: Duration,
}

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The store answered, so long after its answer was due at the earliest.
    Answered {
        /// Time that the answer took.
        took: Duration,
    },
    /// No answer came.
    Silent,
}

/// The store as the nodes of a fleet reach it.
#[derive(Debug)]
pub struct StoreCalls {
    open: Vec<Option<Call>>,
    not_before: Vec<Moment>,
    /// Nodes to which the store says nothing.
    silent: BTreeSet<usize>,
    /// Time that each answer takes.
    pub delay: Duration,
    /// Calls made so far.
    pub made: u64,
}

impl StoreCalls {
    pub fn new(size: usize) -> Self {
        Self {
            open: vec![None; size],
            not_before: vec![Moment::default(); size],
            silent: BTreeSet::new(),
            delay: Duration::ZERO,
            made: 0,
        }
    }

    /// From now on the store says nothing to these nodes, to open calls neither.
    pub fn silence(&mut self, nodes: BTreeSet<usize>) {
        for index in &nodes {
            if let Some(call) = &mut self.open[*index] {
                call.answered_at = None;
            }
        }
        self.silent = nodes;
    }

    pub fn is_silent(&self, index: usize) -> bool {
        self.silent.contains(&index)
    }

    pub fn may_call(&self, index: usize, now: Moment) -> bool {
        self.open[index].is_none() && now >= self.not_before[index]
    }

    /// Begins a call in place of one that is open.
    pub fn begin(&mut self, index: usize, wait: Duration, patience: Duration, now: Moment) {
        self.made += 1;
        let answered_at = (!self.is_silent(index)).then(|| now + wait + self.delay);
        self.open[index] = Some(Call {
            begun: now,
            answered_at,
            given_up_at: now + wait + patience,
            wait,
        });
    }

    /// A new document: open calls that hear of it are answered.
    pub fn wake(&mut self, now: Moment) {
        let at = now + self.delay;
        for call in self.open.iter_mut().flatten() {
            call.answered_at = call.answered_at.map(|due| due.min(at));
        }
    }

    /// The process has ended, or the node watches no more.
    pub fn drop_call(&mut self, index: usize) {
        self.open[index] = None;
    }

    /// What became of the node's call, once it has ended.
    pub fn ended(&mut self, index: usize, now: Moment) -> Option<Ended> {
        let call = self.open[index]?;
        if let Some(answered) = call.answered_at.filter(|answered| *answered <= now) {
            self.open[index] = None;
            let took = answered.since(call.begun).saturating_sub(call.wait);
            return Some(Ended::Answered { took });
        }
        if call.given_up_at > now {
            return None;
        }
        self.open[index] = None;
        self.not_before[index] = now + PAUSE;
        Some(Ended::Silent)
    }
}
