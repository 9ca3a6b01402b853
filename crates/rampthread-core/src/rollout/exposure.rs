//! Limits the calls that one entry node (the node that receives calls from their callers)
//! may send to the target version of an open rollout.
//!
//! Each entry node enforces the share by itself: every response that it sees adds credit,
//! and every call to the target version spends credit. The share therefore holds over all
//! entry nodes without coordination, in bursts as with little traffic, and rejected calls
//! add no credit.

use super::state::{ALL_CALLS_PERMILLE, OrderId};
use crate::call::balance::Endpoint;
use crate::ids::{NodeId, SoftwareVersion};
use crate::rendezvous;
use std::collections::BTreeMap;

/// Maximum credit, in calls, that an entry node accumulates while the target version has no
/// capacity.
const MAX_CREDIT: f64 = 2.0;
/// Ratio of `RolloutBounds::exposure_slack_calls` that all entry nodes start with in
/// total. The rest is reserved for restarted nodes and for calls in flight during a
/// rollback.
const INITIAL_SLACK_RATIO: f64 = 0.25;
/// Factor by which a version must have more backends than the lowest version to be presumed in
/// use (see [`presumed_version`]).
const PRESUMED_VERSION_FACTOR: usize = 2;
/// Hash key of the order in which backends of the target version take turns under load.
/// Must be the same on all nodes.
const TURN_ORDER_KEY: &str = "roll-out turns";

/// Rule of a rollout for entry nodes: which share of a service's calls its target version
/// may get.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRule {
    /// The rollout order that this rule results from.
    pub order: OrderId,
    /// The version that the rollout order brings in.
    pub target: SoftwareVersion,
    /// Traffic that the target version may get.
    pub share: VersionShare,
    /// Whether the rollout is open, i.e. has not ended.
    pub open: bool,
}

impl VersionRule {
    /// Returns whether responses are counted for the evaluation of the target version.
    pub fn collects_evidence(&self) -> bool {
        self.open
    }
}

/// Traffic that the target version of a rollout may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionShare {
    /// The target version gets no calls.
    Blocked,
    /// The target version gets calls only if no other version is available. Applies without
    /// a decider, when the rollout may have ended long ago.
    LastResort,
    /// The target version gets calls up to a ratio of the service's responses.
    Limited {
        /// Maximum share of the target version in the service's responses, in thousandths.
        permille: u16,
        /// Sequence number of the decider's evaluation; backends take turns by it.
        round: u64,
    },
    /// The target version gets all calls, as long as it has backends.
    Preferred,
}

/// Credit of one entry node for calls to the target version of one rollout order.
#[derive(Debug, Clone)]
pub struct ExposureLimiter {
    order: OrderId,
    credit: f64,
    /// Number of calls sent to the target version. Every other call is limited to a single
    /// backend (see [`Self::eligible_backends`]).
    sent: u64,
}

impl ExposureLimiter {
    /// Creates the limiter of an entry node that has seen no response under `order` and is
    /// one of `nodes` that share `slack`, the calls that a bad target version may get in
    /// addition to its ratio. `chance`, random in `0.0..=1.0`, spreads the
    /// nodes' first calls to the target version over time.
    pub fn new(order: OrderId, slack: f64, nodes: usize, chance: f64) -> Self {
        let initial_credit = INITIAL_SLACK_RATIO * slack / nodes.max(1) as f64;
        let credit = (2.0 * initial_credit).min(1.0) * chance;
        Self {
            order,
            credit,
            sent: 0,
        }
    }

    /// The rollout order whose target version is limited.
    pub fn order(&self) -> OrderId {
        self.order
    }

    /// Adds credit for a response of a backend of any version; `permille` is the target
    /// version's share in thousandths.
    pub fn on_response(&mut self, permille: u16) {
        let share = f64::from(permille) / f64::from(ALL_CALLS_PERMILLE);
        self.credit = (self.credit + share).min(MAX_CREDIT);
    }

    /// Returns whether the credit suffices for a call to the target version.
    pub fn may_send(&self) -> bool {
        self.credit >= 1.0
    }

    /// Spends credit for a call to the target version.
    pub fn on_sent(&mut self) {
        self.credit -= 1.0;
        self.sent += 1;
    }

    /// Backends of the target version that the next call may go to. Every other call goes
    /// to a single one, which changes with `round`. That backend gets about as much load as
    /// those of the other version: some defects show only under load.
    pub fn eligible_backends(&self, version: Vec<Endpoint>, round: u64) -> Vec<Endpoint> {
        if self.sent.is_multiple_of(2) || version.len() < 2 {
            return version;
        }
        let mut nodes: Vec<(u64, &NodeId)> = version
            .iter()
            .map(|endpoint| {
                (
                    rendezvous::weight(TURN_ORDER_KEY, &endpoint.node),
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

/// Splits candidate backends of a call into backends of `target` and others. A backend of
/// unknown version counts as one of the others, so that the backend doesn't lose its calls.
pub fn split_by_version<'a>(
    candidates: &[Endpoint],
    version_of: impl Fn(&NodeId) -> Option<&'a SoftwareVersion>,
    target: &SoftwareVersion,
) -> (Vec<Endpoint>, Vec<Endpoint>) {
    let all = candidates.iter().cloned();
    all.partition(|endpoint| version_of(&endpoint.node) == Some(target))
}

/// Of several versions without a known rollout, returns the one presumed to be in use before
/// any rollout: the lowest by natural order of the names, unless another one has far
/// more backends. `None` with fewer than two versions.
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
    let presumed = match *most.1 > first.1 * PRESUMED_VERSION_FACTOR {
        true => most,
        false => first,
    };
    Some(*presumed.0)
}

/// A run of digits or other characters in a version's name; numbers compare by value.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum NamePart<'a> {
    Number(u64),
    Text(&'a str),
}

/// Splits a version's name into runs of digits and other characters.
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
