//! What back ends say in their answers: one that names a limit gets no more than it takes, and
//! one that says it leaves gets no new work. Only requests of machines that have passed such
//! an answer on count, unless something has struck the machine since.

use super::calls::{Calls, Seen};
use super::contact::Contact;
use super::drains::DRAIN_BOUND;
use super::{CONTACT, Promise, Violation};
use crate::soak_history::{Answer, Arrival, At, BackEndStart, History, What};
use std::collections::HashMap;
use std::time::Duration;

/// Time in which the requests to a back end are counted.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time from an answer that a machine passed on until its requests count.
const TOLD: Duration = Duration::from_millis(500);

/// Requests that a limit allows in [`LIMIT_WINDOW`].
pub fn allowed(milli_per_second: u32) -> usize {
    let per_window = f64::from(milli_per_second) / 1e3 * LIMIT_WINDOW.as_secs_f64();
    (per_window * 1.5 + 5.0) as usize
}

/// When machines passed on answers of a start that say something.
#[derive(Default)]
struct Told<'a> {
    times: HashMap<(usize, &'a BackEndStart), Vec<At>>,
}

impl<'a> Told<'a> {
    fn new(calls: &Calls<'a>, says: impl Fn(&Answer) -> bool) -> Self {
        let mut told = Self::default();
        for seen in calls.values() {
            if let Some((at, answer)) = seen.answer()
                && says(answer)
                && let Some(start) = answered_by(seen)
            {
                let key = (seen.call.node, start);
                told.times.entry(key).or_default().push(at);
            }
        }
        for times in told.times.values_mut() {
            times.sort();
        }
        told
    }

    /// True when `node` was told until `until`, and nothing has struck it since, until `at`.
    fn binds(
        &self,
        node: usize,
        start: &BackEndStart,
        until: At,
        at: At,
        contact: &Contact,
    ) -> bool {
        let times = self.times.get(&(node, start));
        let last = times.and_then(|times| times.iter().rev().find(|time| **time <= until));
        last.is_some_and(|told| !contact.struck(node, *told, at))
    }
}

/// The start that answered a call, if it is the only one that ran it.
fn answered_by<'a>(seen: &Seen<'a>) -> Option<&'a BackEndStart> {
    let mut ran = seen.arrivals.iter().filter(|(_, arrival)| arrival.ran);
    let (_, only) = ran.next()?;
    ran.next().is_none().then_some(&only.start)
}

pub fn check(history: &History, calls: &Calls, contact: &Contact, found: &mut Vec<Violation>) {
    check_leaving(history, calls, contact, found);
    check_limits(history, calls, contact, found);
}

fn check_leaving(history: &History, calls: &Calls, contact: &Contact, found: &mut Vec<Violation>) {
    let told = Told::new(calls, |answer| answer.leaving);
    for (at, arrival) in arrivals(history) {
        let Some(seen) = calls.get(arrival.call.as_str()) else {
            continue;
        };
        let until = seen.sent.minus(DRAIN_BOUND);
        if told.binds(seen.call.node, &arrival.start, until, at, contact) {
            let detail = format!("{arrival:?} of a machine that it had told that it leaves");
            found.push(Violation::new(Promise::LeavingHeard, at, detail));
        }
    }
}

fn arrivals(history: &History) -> impl Iterator<Item = (At, &Arrival)> {
    history.events.iter().filter_map(|event| match &event.what {
        What::Arrived(arrival) => Some((event.at, arrival)),
        _ => None,
    })
}

/// One limit of one start, while it holds.
struct LimitSpan<'a> {
    start: &'a BackEndStart,
    milli_per_second: u32,
    from: At,
    to: At,
}

fn limit_spans(history: &History) -> Vec<LimitSpan<'_>> {
    let mut spans: Vec<LimitSpan> = Vec::new();
    for event in &history.events {
        let What::LimitNamed {
            start,
            milli_per_second,
        } = &event.what
        else {
            continue;
        };
        let present = spans.iter_mut().filter(|span| span.start == start);
        if let Some(span) = present.last() {
            span.to = span.to.min(event.at);
        }
        if let Some(milli_per_second) = *milli_per_second {
            spans.push(LimitSpan {
                start,
                milli_per_second,
                from: event.at,
                to: At::NEVER,
            });
        }
    }
    spans
}

fn check_limits(history: &History, calls: &Calls, contact: &Contact, found: &mut Vec<Violation>) {
    let told = Told::new(calls, |answer| answer.limit.is_some());
    for span in limit_spans(history) {
        let counts = |at: At, arrival: &Arrival| {
            let seen = calls.get(arrival.call.as_str());
            let within = arrival.start == *span.start && at >= span.from && at <= span.to;
            let binds =
                |seen: &Seen| told.binds(seen.call.node, span.start, at.minus(TOLD), at, contact);
            within && seen.is_some_and(binds)
        };
        let times: Vec<At> = arrivals(history)
            .filter(|(at, arrival)| counts(*at, arrival))
            .map(|(at, _)| at)
            .collect();
        let in_window = |end: &At| {
            let since = end.minus(LIMIT_WINDOW);
            let window = times.iter().filter(|at| **at > since && *at <= end);
            window.count()
        };
        let ends = times.iter().filter(|at| **at >= span.from.plus(CONTACT));
        if let Some((most, at)) = ends.map(|end| (in_window(end), *end)).max()
            && most > allowed(span.milli_per_second)
        {
            let detail = format!(
                "{most} requests in {LIMIT_WINDOW:?} at {:?}, which takes {} in 1000 s",
                span.start, span.milli_per_second
            );
            found.push(Violation::new(Promise::LimitKept, at, detail));
        }
    }
}
