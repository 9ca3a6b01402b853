//! Service: a part of all calls is answered, routes that were added are served as the
//! first ones are, and after the last fault all is as before.

use super::calls::{Calls, Seen};
use super::contact::Contact;
use super::versions::is_version_route;
use super::{CONTACT, Promise, Violation};
use crate::soak_history::{At, History, What};

/// A quarter of the calls, and of the share of first routes, is the least.
const LEAST_SHARE: usize = 4;
/// Calls from which on a share is judged.
const ENOUGH_CALLS: usize = 20;

/// Calls of one kind, and how many of them were served.
#[derive(Default)]
struct Count {
    sent: usize,
    served: usize,
}

impl Count {
    fn of<'a>(calls: impl Iterator<Item = &'a Seen<'a>>) -> Self {
        let mut count = Self::default();
        for seen in calls {
            count.sent += 1;
            count.served += usize::from(seen.status() == Some(200));
        }
        count
    }

    fn enough(&self) -> bool {
        self.sent >= ENOUGH_CALLS
    }
}

pub fn check(history: &History, calls: &Calls, contact: &Contact, found: &mut Vec<Violation>) {
    check_share(calls, found);
    check_added_routes(history, calls, contact, found);
    check_recovery(history, calls, found);
}

/// Calls on routes that every version has.
fn ordinary<'a>(calls: &'a Calls<'a>) -> impl Iterator<Item = &'a Seen<'a>> {
    calls
        .values()
        .filter(|seen| !is_version_route(&seen.call.prefix))
        .filter(|seen| !seen.call.id.starts_with(super::CRASHING))
}

fn check_share(calls: &Calls, found: &mut Vec<Violation>) {
    let all = Count::of(ordinary(calls));
    if all.enough() && all.served * LEAST_SHARE <= all.sent {
        let detail = format!("{} of {} calls served", all.served, all.sent);
        found.push(Violation::new(Promise::Service, At::BEGIN, detail));
    }
}

fn check_added_routes(
    history: &History,
    calls: &Calls,
    contact: &Contact,
    found: &mut Vec<Violation>,
) {
    let in_touch = |seen: &&Seen| {
        let ended = seen.ended.map_or(At::NEVER, |(at, _)| at);
        contact.in_touch(seen.call.node, seen.sent, ended)
    };
    let newest = super::versions::Newest::new(history);
    let added = calls
        .values()
        .filter(|seen| newest.must_serve(&seen.call.prefix, seen.sent))
        .filter(in_touch);
    let added = Count::of(added);
    let first = Count::of(ordinary(calls).filter(in_touch));
    if !added.enough() || !first.enough() {
        return;
    }
    if added.served * first.sent * LEAST_SHARE < first.served * added.sent {
        let detail = format!(
            "{} of {} calls on added routes served, {} of {} on first ones",
            added.served, added.sent, first.served, first.sent
        );
        found.push(Violation::new(Promise::AddedRouteServed, At::BEGIN, detail));
    }
}

/// Calls sent later than the time of contact after the last fault.
fn check_recovery(history: &History, calls: &Calls, found: &mut Vec<Violation>) {
    let faults = history.events.iter().filter(|event| {
        matches!(
            event.what,
            What::Process { .. } | What::Link { .. } | What::Store(_) | What::NotScheduled { .. }
        )
    });
    let last = faults
        .map(|event| event.at)
        .next_back()
        .unwrap_or(At::BEGIN);
    let after = Count::of(ordinary(calls).filter(|seen| seen.sent > last.plus(CONTACT)));
    if after.enough() && after.served * LEAST_SHARE <= after.sent {
        let detail = format!("{} of {} served after it", after.served, after.sent);
        found.push(Violation::new(Promise::Service, last, detail));
    }
}
