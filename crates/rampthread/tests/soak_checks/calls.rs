//! Single calls: run once at most, refused truthfully, unchanged, and answered with
//! their own whole answer.

use super::{Promise, Violation};
use crate::soak_history::{Answer, Arrival, At, Call, History, What};
use std::collections::HashMap;

/// The service beside every node of a soak.
pub const CALLER_SERVICE: &str = "shop";

/// Statuses that promise that a request has not run and never will.
pub const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// All that was seen of one call.
pub struct Seen<'a> {
    pub call: &'a Call,
    pub sent: At,
    /// When it ended, and with which answer.
    pub ended: Option<(At, Option<&'a Answer>)>,
    pub arrivals: Vec<(At, &'a Arrival)>,
}

impl Seen<'_> {
    pub fn answer(&self) -> Option<(At, &Answer)> {
        match self.ended {
            Some((at, Some(answer))) => Some((at, answer)),
            _ => None,
        }
    }

    pub fn status(&self) -> Option<u16> {
        self.answer().map(|(_, answer)| answer.status)
    }
}

/// The calls of a history by their ids.
pub type Calls<'a> = HashMap<&'a str, Seen<'a>>;

pub fn collect(history: &History) -> Calls<'_> {
    let mut calls = Calls::new();
    for event in &history.events {
        if let What::Sent(call) = &event.what {
            let seen = Seen {
                call,
                sent: event.at,
                ended: None,
                arrivals: Vec::new(),
            };
            calls.insert(&call.id, seen);
        }
    }
    for event in &history.events {
        match &event.what {
            What::Answered { call, answer } => {
                if let Some(seen) = calls.get_mut(call.as_str()) {
                    seen.ended = Some((event.at, Some(answer)));
                }
            }
            What::NotAnswered { call } => {
                if let Some(seen) = calls.get_mut(call.as_str()) {
                    seen.ended = Some((event.at, None));
                }
            }
            What::Arrived(arrival) => {
                if let Some(seen) = calls.get_mut(arrival.call.as_str()) {
                    seen.arrivals.push((event.at, arrival));
                }
            }
            _ => {}
        }
    }
    calls
}

pub fn check(history: &History, calls: &Calls, found: &mut Vec<Violation>) {
    for seen in calls.values() {
        check_runs(seen, found);
        check_answer(seen, found);
    }
    for event in &history.events {
        if let What::Arrived(arrival) = &event.what {
            check_arrival(event.at, arrival, calls, found);
        }
    }
}

fn check_runs(seen: &Seen, found: &mut Vec<Violation>) {
    if !seen.call.once {
        return;
    }
    let id = &seen.call.id;
    let runs: Vec<At> = seen
        .arrivals
        .iter()
        .filter(|(_, arrival)| arrival.ran)
        .map(|(at, _)| *at)
        .collect();
    if runs.len() > 1 {
        let detail = format!("{id} ran {} times", runs.len());
        found.push(Violation::new(Promise::AtMostOnce, runs[1], detail));
    }
    let Some((at, answer)) = seen.answer() else {
        return;
    };
    if NOT_RUN.contains(&answer.status) && !runs.is_empty() {
        let (status, node) = (answer.status, seen.call.node);
        let detail = format!("{id} was refused with {status} by node {node}, and ran");
        found.push(Violation::new(Promise::TruthfulRefusal, at, detail));
    }
}

fn check_answer(seen: &Seen, found: &mut Vec<Violation>) {
    let Some((at, answer)) = seen.answer() else {
        return;
    };
    let id = &seen.call.id;
    let own = answer.names.as_ref() == Some(id);
    let whole = answer.status != 200 || (answer.signed && answer.body == format!("answer to {id}"));
    if !own || !whole {
        let detail = format!("{id} was answered {answer:?}");
        found.push(Violation::new(Promise::OwnWholeAnswer, at, detail));
    }
}

fn check_arrival(at: At, arrival: &Arrival, calls: &Calls, found: &mut Vec<Violation>) {
    if !arrival.ran {
        return;
    }
    let fault = match calls.get(arrival.call.as_str()) {
        None => "nobody sent it",
        Some(seen) if seen.call.body_bytes != arrival.body_bytes => "its body was changed",
        Some(_) if arrival.caller_service.as_deref() != Some(CALLER_SERVICE) => {
            "it names another caller"
        }
        Some(_) => return,
    };
    let detail = format!("{arrival:?}: {fault}");
    found.push(Violation::new(Promise::UnchangedRequest, at, detail));
}
