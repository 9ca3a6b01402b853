//! Back ends that leave: nothing that undisturbed machines send on arrives later than
//! [`DRAIN_BOUND`] after the acknowledgement. The node beside the back end has given the
//! acknowledgement itself: it is bound by it also while the store is disturbed.

use super::calls::Calls;
use super::contact::Contact;
use super::{Promise, Violation};
use crate::soak_history::{Arrival, At, BackEndStart, History, What};
use std::collections::HashMap;
use std::time::Duration;

/// Time from the acknowledgement of a drain to the last new request: the platform's
/// bound.
pub const DRAIN_BOUND: Duration = Duration::from_secs(2);

pub fn check(history: &History, calls: &Calls, contact: &Contact, found: &mut Vec<Violation>) {
    let mut leaving: HashMap<&BackEndStart, At> = HashMap::new();
    for event in &history.events {
        match &event.what {
            What::DrainAcknowledged(start) => {
                leaving.entry(start).or_insert(event.at);
            }
            What::Arrived(arrival) if arrival.ran => {
                let Some(acknowledged) = leaving.get(&arrival.start) else {
                    continue;
                };
                let late = event.at.since(*acknowledged);
                if late > DRAIN_BOUND && sent_on_undisturbed(arrival, event.at, calls, contact) {
                    let detail = format!("{arrival:?} {late:?} after the acknowledgement");
                    found.push(Violation::new(Promise::Drain, event.at, detail));
                }
            }
            _ => {}
        }
    }
}

/// Nothing struck the machine that took the request, nor the one beside the back end.
fn sent_on_undisturbed(arrival: &Arrival, at: At, calls: &Calls, contact: &Contact) -> bool {
    let Some(seen) = calls.get(arrival.call.as_str()) else {
        return false;
    };
    [seen.call.node, arrival.node]
        .iter()
        .all(|node| contact.undisturbed(*node, seen.sent, at))
}
