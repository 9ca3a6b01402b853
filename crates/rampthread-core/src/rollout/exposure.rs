//! Which calls of one entry may go to the version under judgement.
//!
//! Each entry holds the share by itself: what it has seen answered earns credit, each call
//! to the version spends it. So the share holds over all entries whatever they know of
//! each other, in a burst as with thin traffic, and refused calls earn nothing.

use super::state::{ALL_CALLS_PERMILLE, OrderId};
use crate::call::balance::Endpoint;
use crate::ids::{NodeId, SoftwareVersion};
use crate::rendezvous;
use std::collections::BTreeMap;

/// Most calls that an entry saves up while the version has no room.
const MAX_CREDIT: f64 = 2.0;
/// Part of the slack that entries begin with, all together; the rest is for entries that
/// restart and for calls that are under way at a roll-back.
const SLACK_AT_START: f64 = 0.25;
/// A version on so many times as many back ends as another is the present one of the two.
const FAR_MORE: usize = 2;
/// Key of the order in which back ends of the new version take turns under load.
const TURNS_KEY: &str = "roll-out turns";

/// What an entry may do with the versions of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRule {
    /// The order that it comes from.
    pub order: OrderId,
    /// The version that is, or was, under judgement.
    pub target: SoftwareVersion,
    /// What it may get.
    pub share: VersionShare,
    /// The roll-out has not ended.
    pub open: bool,
}

impl VersionRule {
    /// True while evidence counts.
    pub fn collects_evidence(&self) -> bool {
        self.open
    }
}

/// What the version under judgement may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionShare {
    /// No call.
    Blocked,
    /// No call, unless no other version is left: nobody decides yet, and the roll-out may
    /// have ended long ago.
    LastResort,
    /// Some of a thousand answered calls.
    Limited {
        /// How many.
        permille: u16,
        /// Counts the decider's rounds: back ends take turns by it.
        round: u64,
    },
    /// All calls, as long as it has back ends.
    Preferred,
}

/// One entry's credit for the version under judgement of one order.
#[derive(Debug, Clone)]
pub struct ExposureLimiter {
    order: OrderId,
    credit: f64,
    /// Calls sent to the version, which take turns between all back ends and one.
    sent: u64,
}

impl ExposureLimiter {
    /// An entry that has seen nothing of `order`: one of `nodes` that share the slack.
    /// `chance`, from 0 to 1, spreads their first calls over time.
    pub fn new(order: OrderId, slack: f64, nodes: usize, chance: f64) -> Self {
        let part = SLACK_AT_START * slack / nodes.max(1) as f64;
        let credit = (2.0 * part).min(1.0) * chance;
        Self {
            order,
            credit,
            sent: 0,
        }
    }

    /// The order that it counts for.
    pub fn order(&self) -> OrderId {
        self.order
    }

    /// A call of the service was answered by a back end of any version.
    pub fn on_response(&mut self, permille: u16) {
        let share = f64::from(permille) / f64::from(ALL_CALLS_PERMILLE);
        self.credit = (self.credit + share).min(MAX_CREDIT);
    }

    /// True when a call may go to the version.
    pub fn may_send(&self) -> bool {
        self.credit >= 1.0
    }

    /// A call goes to the version.
    pub fn on_sent(&mut self) {
        self.credit -= 1.0;
        self.sent += 1;
    }

    /// Which back ends of the version the next call may go to. Every other call goes to
    /// the one whose turn it is, so that one of them at a time has about as much work as
    /// those of the version beside it: some versions fail only under load.
    pub fn eligible_backends(&self, version: Vec<Endpoint>, round: u64) -> Vec<Endpoint> {
        if self.sent.is_multiple_of(2) || version.len() < 2 {
            return version;
        }
        let mut nodes: Vec<(u64, &NodeId)> = version
            .iter()
            .map(|endpoint| {
                (
                    rendezvous::weight(TURNS_KEY, &endpoint.node),
                    &endpoint.node,
                )
            })
            .collect();
        nodes.sort();
        let (_, turn) = nodes[(round % nodes.len() as u64) as usize];
        let turn = turn.clone();
        version
            .into_iter()
            .filter(|endpoint| endpoint.node == turn)
            .collect()
    }
}

/// Back ends of the version under judgement, and the others. One whose version is not
/// known counts as one of the others: it must not lose its calls.
pub fn split_by_version<'a>(
    candidates: &[Endpoint],
    version_of: impl Fn(&NodeId) -> Option<&'a SoftwareVersion>,
    target: &SoftwareVersion,
) -> (Vec<Endpoint>, Vec<Endpoint>) {
    let all = candidates.iter().cloned();
    all.partition(|endpoint| version_of(&endpoint.node) == Some(target))
}

/// Of several versions of which no roll-out is known, the one that counts as the present
/// one. Names of versions rise as a rule, so it is the first by name, unless another one
/// stands on far more back ends. None where there are no two versions.
pub fn presumed_version<'a>(
    versions: impl Iterator<Item = &'a SoftwareVersion>,
) -> Option<&'a SoftwareVersion> {
    let mut counts: BTreeMap<&SoftwareVersion, usize> = BTreeMap::new();
    for version in versions {
        *counts.entry(version).or_default() += 1;
    }
    if counts.len() < 2 {
        return None;
    }
    let first = counts
        .iter()
        .min_by_key(|(version, _)| name_parts(version))?;
    let most = counts.iter().max_by_key(|(_, count)| **count)?;
    let presumed = match *most.1 > first.1 * FAR_MORE {
        true => most,
        false => first,
    };
    Some(*presumed.0)
}

/// A part of a version's name: numbers compare by their value.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum NamePart<'a> {
    Number(u64),
    Text(&'a str),
}

fn name_parts(version: &SoftwareVersion) -> Vec<NamePart<'_>> {
    let bytes = version.as_str().as_bytes();
    let runs = bytes.chunk_by(|left, right| left.is_ascii_digit() == right.is_ascii_digit());
    let texts = runs.filter_map(|run| std::str::from_utf8(run).ok());
    texts
        .map(|text| match text.parse() {
            Ok(number) => NamePart::Number(number),
            Err(_) => NamePart::Text(text),
        })
        .collect()
}
