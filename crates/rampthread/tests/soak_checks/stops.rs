//! Processes: planned stops end with 0 in time and are told to the platform, and
//! nothing ends by itself.

use super::contact::Contact;
use super::{Promise, Violation};
use crate::soak_history::{At, History, ProcessChange, What};
use std::time::Duration;

/// Time that a planned stop may take: `total` of the nodes' settings.
pub const GRACE: Duration = Duration::from_secs(6);
/// Time until the injector sees that a process has ended, and for the last step.
const SEEN_LATE: Duration = Duration::from_millis(500);
/// Time after which a node that stops may not be counted as ready.
const STILL_READY: Duration = Duration::from_secs(4);
/// Questions of those in touch from which on the share of ready ones is judged.
const ENOUGH_QUESTIONS: usize = 16;
/// One in so many of them may be answered otherwise.
const UNREADY_SHARE: usize = 8;

/// One node's process, as the history tells it.
#[derive(Clone, Copy, Default)]
struct Life {
    terminated: Option<At>,
    held: Option<At>,
    /// Time for which it was held up since it was told to stop.
    held_for: Duration,
    ready_late: u32,
}

pub fn check(history: &History, contact: &Contact, found: &mut Vec<Violation>) {
    let mut lives = vec![Life::default(); history.nodes().unwrap_or(0)];
    for event in &history.events {
        match event.what {
            What::Process { node, change } => {
                lives[node].change(node, event.at, change, found);
            }
            What::Ready { node, status } => {
                lives[node].ready(node, event.at, status, found);
            }
            _ => {}
        }
    }
    for (node, life) in lives.iter().enumerate() {
        if let Some(at) = life.terminated {
            let detail = format!("node {node} was told to stop and has not ended");
            found.push(Violation::new(Promise::PlannedStop, at, detail));
        }
    }
    check_readiness(history, contact, found);
}

impl Life {
    fn change(&mut self, node: usize, at: At, change: ProcessChange, found: &mut Vec<Violation>) {
        match change {
            ProcessChange::Started | ProcessChange::Killed => *self = Self::default(),
            ProcessChange::Held => self.held = Some(at),
            ProcessChange::Continued => {
                if let Some(held) = self.held.take() {
                    let from = self
                        .terminated
                        .map_or(at, |terminated| terminated.max(held));
                    self.held_for += at.since(from);
                }
            }
            ProcessChange::Terminated => {
                self.terminated.get_or_insert(at);
            }
            ProcessChange::Reloaded => {}
            ProcessChange::Ended { code } => {
                self.ended(node, at, code, found);
                *self = Self::default();
            }
        }
    }

    fn ended(&self, node: usize, at: At, code: Option<i32>, found: &mut Vec<Violation>) {
        let Some(terminated) = self.terminated else {
            let detail = format!("node {node} ended by itself with {code:?}");
            found.push(Violation::new(Promise::NoOwnEnd, at, detail));
            return;
        };
        let took = at.since(terminated);
        if code != Some(0) || took > GRACE + self.held_for + SEEN_LATE {
            let detail = format!("node {node} ended with {code:?} after {took:?}");
            found.push(Violation::new(Promise::PlannedStop, at, detail));
        }
    }

    fn ready(&mut self, node: usize, at: At, status: Option<u16>, found: &mut Vec<Violation>) {
        let Some(terminated) = self.terminated else {
            return;
        };
        if status != Some(200) {
            self.ready_late = 0;
            return;
        }
        let late = at.since(terminated);
        if late > STILL_READY + self.held_for {
            self.ready_late += 1;
        }
        // One question may be under way; two in a row tell that it is counted as ready.
        if self.ready_late == 2 {
            let detail = format!("node {node} is ready {late:?} after it was told to stop");
            found.push(Violation::new(Promise::Readiness, at, detail));
        }
    }
}

fn check_readiness(history: &History, contact: &Contact, found: &mut Vec<Violation>) {
    let (mut asked, mut unready) = (0, Vec::new());
    for event in &history.events {
        let What::Ready { node, status } = event.what else {
            continue;
        };
        if !contact.in_touch(node, event.at, event.at) {
            continue;
        }
        asked += 1;
        if status != Some(200) {
            unready.push(event.at);
        }
    }
    if asked >= ENOUGH_QUESTIONS && unready.len() * UNREADY_SHARE > asked {
        let detail = format!("{} of {asked} questions not answered 200", unready.len());
        found.push(Violation::new(Promise::Readiness, unready[0], detail));
    }
}
