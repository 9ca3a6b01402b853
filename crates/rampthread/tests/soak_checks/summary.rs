//! What a history holds, in figures: how much there was to judge.

use super::calls::{self, NOT_RUN, Seen};
use super::contact::Contact;
use super::versions::is_version_route;
use crate::soak_history::{At, History};
use std::fmt;

/// Answers a node, in the mean, below which a history tells too little.
const LEAST_ANSWERS: usize = 20;

/// Counts of calls.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Summary {
    pub nodes: usize,
    pub sent: usize,
    pub served: usize,
    /// Refused with the promise that they have not run.
    pub refused: usize,
    pub otherwise: usize,
    pub not_answered: usize,
    /// Questions about versions, and those of them at nodes in touch.
    pub probes: usize,
    pub probes_in_touch: usize,
}

impl Summary {
    pub fn new(history: &History) -> Self {
        let contact = Contact::new(history);
        let mut summary = Self {
            nodes: history.nodes().unwrap_or(0),
            ..Self::default()
        };
        for seen in calls::collect(history).values() {
            summary.add(seen, &contact);
        }
        summary
    }

    fn add(&mut self, seen: &Seen, contact: &Contact) {
        self.sent += 1;
        match seen.status() {
            Some(200) => self.served += 1,
            Some(status) if NOT_RUN.contains(&status) => self.refused += 1,
            Some(_) => self.otherwise += 1,
            None => self.not_answered += 1,
        }
        if is_version_route(&seen.call.prefix) {
            let ended = seen.ended.map_or(At::NEVER, |(at, _)| at);
            self.probes += 1;
            let in_touch = contact.in_touch(seen.call.node, seen.sent, ended);
            self.probes_in_touch += usize::from(in_touch);
        }
    }

    /// True when there was enough to judge.
    pub fn tells_enough(&self) -> bool {
        self.sent - self.not_answered >= LEAST_ANSWERS * self.nodes
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} calls: {} served, {} refused, {} answered otherwise, {} not answered; \
             {} of {} questions about versions in touch",
            self.sent,
            self.served,
            self.refused,
            self.otherwise,
            self.not_answered,
            self.probes_in_touch,
            self.probes
        )
    }
}
