//! The request that ends each back end that runs it.

use super::calls::Calls;
use super::contact::Contact;
use super::{CONTACT, Promise, Violation};
use crate::soak_history::{Arrival, At, History, ProcessChange, What};
use std::collections::HashSet;
use std::time::Duration;

/// Ids of the crashing request's attempts begin so.
pub const CRASHING: &str = "crashing-";
/// Time from the start of a run of the request that ends back ends to the crash.
pub const CRASH_AFTER: Duration = Duration::from_millis(30);
/// Most times that the crashing request may end each back end, in the mean. Behind the
/// proxies no port refuses, so that only the next incarnation's report tells of a
/// crash; until then each back end may end once.
pub const MOST_CRASHING_RUNS: usize = 2;
/// Sends that are allowed later than [`CONTACT`] after the bound is reached.
pub const ALLOWED_LATE_SENDS: usize = 3;
/// Crashes after which the bound holds.
const BOUND_CRASHES: usize = 3;

pub fn check(history: &History, calls: &Calls, contact: &Contact, found: &mut Vec<Violation>) {
    let runs = runs(history);
    let nodes = history.nodes().unwrap_or(0);
    // One trial more for each further quarantine: the second is of ten minutes.
    let most = MOST_CRASHING_RUNS * nodes + 1;
    if let Some((at, _)) = runs.get(most) {
        let detail = format!("it ran {} times, at most {most} allowed", runs.len());
        found.push(Violation::new(Promise::CrashingRequest, *at, detail));
    }
    let Some((third, _)) = runs.get(BOUND_CRASHES - 1) else {
        return;
    };
    let bound = third.plus(CRASH_AFTER + CONTACT);
    // The bound is one of machines in touch. It is asked of all, unless most of them
    // have lost what they knew at once.
    let all = !most_were_killed_at_once(history);
    let late: Vec<At> = runs
        .iter()
        .filter(|(at, _)| *at > bound)
        .filter(|(at, run)| all || sent_on_in_touch(run, *at, calls, contact))
        .map(|(at, _)| *at)
        .collect();
    if let Some(at) = late.get(ALLOWED_LATE_SENDS) {
        let detail = format!("{} late sends, {ALLOWED_LATE_SENDS} allowed", late.len());
        found.push(Violation::new(Promise::CrashingRequest, *at, detail));
    }
}

fn runs(history: &History) -> Vec<(At, &Arrival)> {
    let runs = history.events.iter().filter_map(|event| match &event.what {
        What::Arrived(arrival) => Some((event.at, arrival)),
        _ => None,
    });
    runs.filter(|(_, arrival)| arrival.ran && arrival.call.starts_with(CRASHING))
        .collect()
}

fn sent_on_in_touch(run: &Arrival, at: At, calls: &Calls, contact: &Contact) -> bool {
    let Some(seen) = calls.get(run.call.as_str()) else {
        return false;
    };
    [seen.call.node, run.node]
        .iter()
        .all(|node| contact.in_touch(*node, seen.sent, at))
}

/// More than half of the nodes were killed within one time of contact.
fn most_were_killed_at_once(history: &History) -> bool {
    let kills: Vec<(At, usize)> = history
        .events
        .iter()
        .filter_map(|event| match event.what {
            What::Process {
                node,
                change: ProcessChange::Killed,
            } => Some((event.at, node)),
            _ => None,
        })
        .collect();
    let nodes = history.nodes().unwrap_or(0);
    kills.iter().enumerate().any(|(index, (first, _))| {
        let together: HashSet<usize> = kills[index..]
            .iter()
            .take_while(|(at, _)| at.since(*first) <= CONTACT)
            .map(|(_, node)| *node)
            .collect();
        together.len() * 2 > nodes
    })
}
