//! The checker: reads a history, nothing else, and judges each promise.

#![allow(dead_code)]

pub mod budget;
mod calls;
mod contact;
pub mod crashes;
mod drains;
mod service;
pub mod signals;
mod stops;
pub mod summary;
mod versions;

use crate::soak_history::{At, History, HistoryError};
use contact::Contact;
use std::fmt;
use std::time::Duration;

pub use crashes::CRASHING;
pub use versions::version_route;

/// Time without trouble after which a machine is in touch.
pub const CONTACT: Duration = Duration::from_secs(3);

/// What was promised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// A request that may run once runs once at most.
    AtMostOnce,
    /// What was refused as not run has not run and never does.
    TruthfulRefusal,
    /// Answers are whole, signed, and their own request's.
    OwnWholeAnswer,
    /// Back ends run what callers sent, unchanged, with the caller's service.
    UnchangedRequest,
    /// A call reaches few back ends, and none is given more time than the caller has.
    Budget,
    /// A version is in force in time.
    VersionInForce,
    /// No version is followed by an older one within one life.
    NeverOlder,
    /// Routes that were added are served.
    AddedRouteServed,
    /// An invalid document is not taken.
    InvalidNotTaken,
    /// What every version allows is not answered 404.
    NotDenied,
    /// A back end that leaves gets no new work.
    Drain,
    /// A back end that says in its answers that it leaves gets no new work.
    LeavingHeard,
    /// A back end gets no more requests than the limit that it names in its answers.
    LimitKept,
    /// A request that crashes back ends is stopped.
    CrashingRequest,
    /// A planned stop ends with 0, in time.
    PlannedStop,
    /// No process ends by itself.
    NoOwnEnd,
    /// A node that stops says so, and one in touch is ready.
    Readiness,
    /// A part of all requests is served, in trouble as well as after it.
    Service,
}

/// One promise that was broken, with what shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub promise: Promise,
    pub at: At,
    pub detail: String,
}

impl Violation {
    fn new(promise: Promise, at: At, detail: String) -> Self {
        Self {
            promise,
            at,
            detail,
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at.0 as f64 / 1e6;
        write!(
            formatter,
            "{:?} at {seconds:.3} s: {}",
            self.promise, self.detail
        )
    }
}

/// Judges a whole history; violations come in the order of time.
pub fn check(history: &History) -> Result<Vec<Violation>, HistoryError> {
    history.check_whole()?;
    let contact = Contact::new(history);
    let calls = calls::collect(history);
    let mut found = Vec::new();
    calls::check(history, &calls, &mut found);
    budget::check(&calls, &contact, &mut found);
    versions::check(history, &calls, &contact, &mut found);
    drains::check(history, &calls, &contact, &mut found);
    signals::check(history, &calls, &contact, &mut found);
    crashes::check(history, &calls, &contact, &mut found);
    stops::check(history, &contact, &mut found);
    service::check(history, &calls, &contact, &mut found);
    found.sort_by_key(|violation| violation.at);
    Ok(found)
}
