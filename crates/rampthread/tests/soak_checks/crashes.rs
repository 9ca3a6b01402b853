//! The request that ends each back end that runs it.

use super::{CONTACT, Promise, Violation};
use crate::soak_history::{At, History, What};
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

pub fn check(history: &History, found: &mut Vec<Violation>) {
    let runs = runs(history);
    let nodes = history.nodes().unwrap_or(0);
    // One trial more for each further quarantine: the second is of ten minutes.
    let most = MOST_CRASHING_RUNS * nodes + 1;
    if let Some(at) = runs.get(most) {
        let detail = format!("it ran {} times, at most {most} allowed", runs.len());
        found.push(Violation::new(Promise::CrashingRequest, *at, detail));
    }
    let Some(third) = runs.get(BOUND_CRASHES - 1) else {
        return;
    };
    let bound = third.plus(CRASH_AFTER + CONTACT);
    let late: Vec<At> = runs.into_iter().filter(|at| *at > bound).collect();
    if let Some(at) = late.get(ALLOWED_LATE_SENDS) {
        let detail = format!("{} late sends, {ALLOWED_LATE_SENDS} allowed", late.len());
        found.push(Violation::new(Promise::CrashingRequest, *at, detail));
    }
}

fn runs(history: &History) -> Vec<At> {
    let runs = history.events.iter().filter(|event| match &event.what {
        What::Arrived(arrival) => arrival.ran && arrival.call.starts_with(CRASHING),
        _ => false,
    });
    runs.map(|event| event.at).collect()
}
