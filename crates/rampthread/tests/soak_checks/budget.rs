//! What one call may cost: back ends that it reaches, and time that they are given.

use super::calls::{Calls, Seen};
use super::contact::Contact;
use super::{Promise, Violation};
use crate::soak_history::{Arrival, At};
use std::collections::HashSet;
use std::time::Duration;

/// Back ends that one call may run on: what the routes of a soak allow.
pub const MOST_BACK_ENDS: usize = 3;
/// Calls that may run on more; back ends that end meanwhile are not told apart.
pub const ALLOWED_CALLS: usize = 3;
/// Time by which a back end's deadline may be later than the caller's.
pub const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// Arrivals with too much time that are allowed, if they are no more than
/// one in [`LATE_SHARE`] of all.
pub const ALLOWED_LATE_DEADLINES: usize = 20;
const LATE_SHARE: usize = 5;

pub fn check(calls: &Calls, contact: &Contact, found: &mut Vec<Violation>) {
    check_attempts(calls, found);
    check_deadlines(calls, contact, found);
}

fn check_attempts(calls: &Calls, found: &mut Vec<Violation>) {
    let mut over: Vec<&Seen> = calls
        .values()
        .filter(|seen| back_ends(seen) > MOST_BACK_ENDS)
        .collect();
    over.sort_by_key(|seen| seen.sent);
    if let Some(seen) = over.get(ALLOWED_CALLS) {
        let (count, id) = (over.len(), &seen.call.id);
        let detail = format!("{count} calls ran on more than {MOST_BACK_ENDS} back ends, as {id}");
        found.push(Violation::new(Promise::Budget, seen.sent, detail));
    }
}

fn back_ends(seen: &Seen) -> usize {
    let ran = seen.arrivals.iter().filter(|(_, arrival)| arrival.ran);
    let nodes: HashSet<usize> = ran.map(|(_, arrival)| arrival.node).collect();
    nodes.len()
}

fn check_deadlines(calls: &Calls, contact: &Contact, found: &mut Vec<Violation>) {
    let (mut all, mut late) = (0, Vec::new());
    for seen in calls.values() {
        for (at, arrival) in &seen.arrivals {
            if !contact.in_touch(seen.call.node, seen.sent, *at)
                || !contact.in_touch(arrival.node, seen.sent, *at)
            {
                continue;
            }
            all += 1;
            if has_too_much_time(seen, *at, arrival) {
                late.push((*at, &seen.call.id));
            }
        }
    }
    late.sort_unstable();
    if late.len() * LATE_SHARE <= all {
        return;
    }
    if let Some((at, id)) = late.get(ALLOWED_LATE_DEADLINES) {
        let count = late.len();
        let detail = format!("{count} of {all} arrivals have too much time, as {id}");
        found.push(Violation::new(Promise::Budget, *at, detail));
    }
}

fn has_too_much_time(seen: &Seen, at: At, arrival: &Arrival) -> bool {
    let callers = seen
        .sent
        .plus(Duration::from_millis(seen.call.deadline_ms) + DEADLINE_SLACK);
    let own = arrival
        .deadline_ms
        .map(|left| at.plus(Duration::from_millis(left)));
    own.is_none_or(|own| own > callers)
}
