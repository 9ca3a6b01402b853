//! Versions: in force in time at those in touch, never older within one life of a
//! process, and never an invalid one. What a node has in force shows in how it handles
//! calls on routes that only some versions have.

use super::calls::{Calls, Seen};
use super::contact::{Contact, Core};
use super::{Promise, Violation};
use crate::soak_history::{At, History, ProcessChange, What, Written, WrittenKind};
use std::time::Duration;

/// Time from the acknowledgement of a version until it is in force: the platform's
/// bound.
pub const APPLY_BOUND: Duration = Duration::from_secs(2);
/// How much longer it may take while the store is disturbed for some and is neither
/// down nor slow: the platform's allowance.
pub const STRETCH: Duration = Duration::from_secs(5);

/// Prefixes of routes that only some versions have begin so.
const VERSION_ROUTE: &str = "/v";

pub fn is_version_route(prefix: &str) -> bool {
    prefix.starts_with(VERSION_ROUTE)
}

/// The route that comes with a version.
pub fn version_route(version: u32) -> String {
    format!("{VERSION_ROUTE}{version}/")
}

/// One document that was written.
struct Version<'a> {
    written: &'a Written,
    begun: At,
    acknowledged: At,
}

impl Version<'_> {
    fn has(&self, prefix: &str) -> bool {
        self.written.prefixes.iter().any(|own| own == prefix)
    }
}

/// What the operator wrote, in order.
pub struct Newest<'a> {
    versions: Vec<Version<'a>>,
}

impl<'a> Newest<'a> {
    pub fn new(history: &'a History) -> Self {
        let mut versions: Vec<Version> = Vec::new();
        for event in &history.events {
            match &event.what {
                What::Written(written) => versions.push(Version {
                    written,
                    begun: event.at,
                    acknowledged: At::NEVER,
                }),
                What::Acknowledged { version } => {
                    let same = versions
                        .iter_mut()
                        .rfind(|one| one.written.version == *version);
                    if let Some(same) = same {
                        same.acknowledged = event.at;
                    }
                }
                _ => {}
            }
        }
        Self { versions }
    }

    fn of_kind(&self, kind: WrittenKind) -> impl Iterator<Item = &Version<'a>> {
        let versions = self.versions.iter();
        versions.filter(move |version| version.written.kind == kind)
    }

    /// The newest version that must be in force at `at`, `bound` after its
    /// acknowledgement. One that another kind of document replaced within the bound
    /// need not be: a node may have found that one only.
    fn floor(&self, at: At, bound: Duration) -> Option<&Version<'a>> {
        let mut floor = None;
        for (index, version) in self.versions.iter().enumerate() {
            let due = version.acknowledged.plus(bound);
            if version.written.kind != WrittenKind::Newest || due > at {
                continue;
            }
            let replaced = self.versions[index + 1..]
                .iter()
                .take_while(|next| next.begun < due)
                .any(|next| next.written.kind != WrittenKind::Newest);
            if !replaced {
                floor = Some(version);
            }
        }
        floor
    }

    /// The promise that was broken: an invalid document newer than `version` explains
    /// what was seen, or else it is `otherwise`.
    fn told_by_invalid(&self, one: &Observation, version: u32, otherwise: Promise) -> Promise {
        let mut newer = self
            .of_kind(WrittenKind::Invalid)
            .filter(|invalid| invalid.written.version > version);
        match newer.any(|invalid| one.fits(invalid)) {
            true => Promise::InvalidNotTaken,
            false => otherwise,
        }
    }

    /// True when each version that may be in force at `at` has this added route.
    pub fn must_serve(&self, prefix: &str, at: At) -> bool {
        let Some(floor) = self.floor(at, APPLY_BOUND) else {
            return false;
        };
        is_version_route(prefix)
            && self
                .of_kind(WrittenKind::Newest)
                .filter(|version| version.written.version >= floor.written.version)
                .filter(|version| version.begun <= at)
                .all(|version| version.has(prefix))
    }
}

/// What an answer tells about the version in force.
struct Observation<'a> {
    seen: &'a Seen<'a>,
    answered: At,
    /// The route is there.
    found: bool,
}

impl<'a> Observation<'a> {
    fn of(seen: &'a Seen<'a>) -> Option<Self> {
        let (answered, answer) = seen.answer()?;
        let found = match answer.status {
            200 => true,
            404 => false,
            _ => return None,
        };
        Some(Self {
            seen,
            answered,
            found,
        })
    }

    fn fits(&self, version: &Version) -> bool {
        version.begun <= self.answered && version.has(&self.seen.call.prefix) == self.found
    }

    fn tell(&self) -> String {
        let (call, answered) = (&self.seen.call, self.answered.since(self.seen.sent));
        let found = if self.found { "found" } else { "not found" };
        format!(
            "{} at node {}: {} {found}, answered after {answered:?}",
            call.id, call.node, call.prefix
        )
    }
}

pub fn check(history: &History, calls: &Calls, contact: &Contact, found: &mut Vec<Violation>) {
    let newest = Newest::new(history);
    let mut observations: Vec<Observation> = calls.values().filter_map(Observation::of).collect();
    observations.sort_by_key(|one| one.seen.sent);
    for one in &observations {
        let broken = check_known(one, &newest).or_else(|| check_in_force(one, &newest, contact));
        found.extend(broken);
    }
    check_never_older(history, &newest, &observations, found);
}

/// Some valid version that had been written explains what was seen.
fn check_known(one: &Observation, newest: &Newest) -> Option<Violation> {
    let mut valid = newest.of_kind(WrittenKind::Newest);
    if valid.any(|version| one.fits(version)) {
        return None;
    }
    let promise = newest.told_by_invalid(one, 0, Promise::NotDenied);
    let detail = format!("{}: no valid version explains it", one.tell());
    Some(Violation::new(promise, one.answered, detail))
}

/// A version that must be in force, or a newer one, explains what was seen.
fn check_in_force(one: &Observation, newest: &Newest, contact: &Contact) -> Option<Violation> {
    let (node, sent) = (one.seen.call.node, one.seen.sent);
    if !contact.undisturbed(node, sent, one.answered) {
        return None;
    }
    let bound = match contact.core(sent, one.answered) {
        Core::Stable => APPLY_BOUND,
        Core::Unstable => APPLY_BOUND + STRETCH,
        Core::Down => return None,
    };
    let floor = newest.floor(sent, bound)?;
    let mut allowed = newest
        .of_kind(WrittenKind::Newest)
        .filter(|version| version.written.version >= floor.written.version);
    if allowed.any(|version| one.fits(version)) {
        return None;
    }
    let version = floor.written.version;
    let promise = newest.told_by_invalid(one, version, Promise::VersionInForce);
    let late = sent.since(floor.acknowledged);
    let detail = format!(
        "{}: sent {late:?} after version {version} was acknowledged",
        one.tell()
    );
    Some(Violation::new(promise, one.answered, detail))
}

/// The version that a node is known to have had, within one life.
#[derive(Clone, Copy)]
struct Floor {
    version: u32,
    since: At,
}

fn check_never_older(
    history: &History,
    newest: &Newest,
    observations: &[Observation],
    found: &mut Vec<Violation>,
) {
    for node in 0..history.nodes().unwrap_or(0) {
        let starts: Vec<At> = starts_of(history, node);
        let own: Vec<&Observation> = observations
            .iter()
            .filter(|one| one.seen.call.node == node)
            .collect();
        for (index, begin) in starts.iter().enumerate() {
            let end = starts.get(index + 1).copied().unwrap_or(At::NEVER);
            let life = own
                .iter()
                .copied()
                .filter(|one| one.seen.sent >= *begin && one.answered < end);
            check_life(newest, life, found);
        }
    }
}

/// When the lives of a node's process began.
fn starts_of(history: &History, node: usize) -> Vec<At> {
    let starts = history.events.iter().filter(|event| {
        let change = ProcessChange::Started;
        event.what == What::Process { node, change }
    });
    std::iter::once(At::BEGIN)
        .chain(starts.map(|event| event.at))
        .collect()
}

fn check_life<'a>(
    newest: &Newest,
    life: impl Iterator<Item = &'a Observation<'a>>,
    found: &mut Vec<Violation>,
) {
    // Floors by the time from which they hold: an answer that is not read yet tells
    // nothing about a call that was sent before.
    let mut floors: Vec<Floor> = Vec::new();
    for one in life {
        let fitting = || {
            newest
                .of_kind(WrittenKind::Newest)
                .filter(|version| one.fits(version))
                .map(|version| version.written.version)
        };
        let (Some(least), Some(most)) = (fitting().min(), fitting().max()) else {
            continue;
        };
        let known = floors.iter().filter(|floor| floor.since < one.seen.sent);
        if let Some(floor) = known.max_by_key(|floor| floor.version)
            && most < floor.version
        {
            let version = floor.version;
            let detail = format!("{}: version {version} was in force before", one.tell());
            let promise = newest.told_by_invalid(one, version, Promise::NeverOlder);
            found.push(Violation::new(promise, one.answered, detail));
        }
        floors.push(Floor {
            version: least,
            since: one.answered,
        });
    }
}
