//! Response evidence: counts of the responses that callers got from each version of a
//! service during a rollout.
//!
//! Counters increase from the rollout order on and are reported as totals: a lost message
//! loses nothing, and a new decider receives the full counts.

use super::state::OrderId;
use crate::ids::{NodeId, ResourceName, SoftwareVersion};
use crate::rendezvous;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of buckets of the latency histogram. Lower bounds start at 1 ms and grow by a
/// factor of √2; the last bucket is unbounded from 4 s on.
pub const LATENCY_BUCKETS: usize = 25;
/// Number of groups that the backends of a version are hashed into: one bad backend affects
/// one group, a bad version all of them.
pub const BACKEND_GROUPS: u8 = 16;
/// Hash key that assigns backends to groups. Must be the same on all nodes.
const GROUP_KEY: &str = "roll-out groups";

/// Responses that the callers of one node got from one version of a service on one route,
/// counted since the rollout order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionEvidence {
    /// The service that the calls were for.
    pub service: ResourceName,
    /// The rollout order in effect when the responses were counted.
    pub order: OrderId,
    /// Software version of the backends that responded.
    pub version: SoftwareVersion,
    /// Group of the backends that responded, below [`BACKEND_GROUPS`].
    pub group: u8,
    /// The route that the calls matched.
    pub route: ResourceName,
    /// Totals of the responses since the rollout order.
    pub counts: ResponseCounts,
}

/// Counters of responses by outcome, with a latency histogram.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseCounts {
    /// All responses, including failures.
    pub responses: u32,
    /// Responses among them that count as failures of the backend.
    pub failures: u32,
    /// Latency histogram of the successful responses: index `n` counts those of at least
    /// `2^(n/2)` ms.
    pub latency_histogram: [u32; LATENCY_BUCKETS],
}

/// How one response counts in the evaluation of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// The backend failed the call, or didn't respond before the call's deadline.
    Failure,
    /// The backend responded successfully after this time.
    Success(Duration),
    /// The backend responded successfully but has just started, so that its latency isn't
    /// representative.
    SuccessDuringWarmUp,
}

impl ResponseCounts {
    /// Counts one response in the totals, and its latency if it is representative.
    pub fn record(&mut self, outcome: ResponseOutcome) {
        self.responses += 1;
        match outcome {
            ResponseOutcome::Failure => self.failures += 1,
            ResponseOutcome::Success(latency) => {
                self.latency_histogram[latency_bucket(latency)] += 1
            }
            ResponseOutcome::SuccessDuringWarmUp => {}
        }
    }

    /// Returns the counts added after `earlier`, or `None` if `earlier` is the later count.
    pub fn since(&self, earlier: &Self) -> Option<Self> {
        if self.responses < earlier.responses || self.failures < earlier.failures {
            return None;
        }
        let mut latency_histogram = self.latency_histogram;
        for (count, earlier_count) in latency_histogram.iter_mut().zip(&earlier.latency_histogram) {
            *count = count.saturating_sub(*earlier_count);
        }
        Some(Self {
            responses: self.responses - earlier.responses,
            failures: self.failures - earlier.failures,
            latency_histogram,
        })
    }

    /// Adds the counts of `other`. A sum that would overflow stays at the maximum.
    pub fn add(&mut self, other: &Self) {
        self.responses = self.responses.saturating_add(other.responses);
        self.failures = self.failures.saturating_add(other.failures);
        for (sum, added) in self
            .latency_histogram
            .iter_mut()
            .zip(&other.latency_histogram)
        {
            *sum = sum.saturating_add(*added);
        }
    }
}

/// Index of the histogram bucket for a latency.
fn latency_bucket(latency: Duration) -> usize {
    let millis = (latency.as_secs_f64() * 1_000.0).max(1.0);
    let bucket = (2.0 * millis.log2()).floor() as usize;
    bucket.min(LATENCY_BUCKETS - 1)
}

/// Returns the group of the backend at `node`, below [`BACKEND_GROUPS`].
pub fn backend_group(node: &NodeId) -> u8 {
    (rendezvous::weight(GROUP_KEY, node) % u64::from(BACKEND_GROUPS)) as u8
}

/// Labels of a counter: version, backend group and route.
type CounterKey = (SoftwareVersion, u8, ResourceName);

/// Response counters of one node under the latest rollout order of each service.
#[derive(Debug, Default)]
pub struct EvidenceRecorder {
    orders: BTreeMap<ResourceName, (OrderId, BTreeMap<CounterKey, ResponseCounts>)>,
}

impl EvidenceRecorder {
    /// Counts a response. The first response under a new rollout order resets the service's
    /// counters.
    pub fn record(&mut self, source: ResponseSource<'_>, outcome: ResponseOutcome) {
        let entry = self.orders.entry(source.service.clone());
        let (order, counters) = entry.or_insert_with(|| (source.order, BTreeMap::new()));
        if *order != source.order {
            *order = source.order;
            counters.clear();
        }
        let group = backend_group(source.node);
        let key = (source.version.clone(), group, source.route.clone());
        counters.entry(key).or_default().record(outcome);
    }

    /// Returns all counters, for this node's report to the decider.
    pub fn all(&self) -> Vec<VersionEvidence> {
        let orders = self.orders.iter();
        let counters = orders.flat_map(|(service, (order, counters))| {
            counters
                .iter()
                .map(|((version, group, route), counts)| VersionEvidence {
                    service: service.clone(),
                    order: *order,
                    version: version.clone(),
                    group: *group,
                    route: route.clone(),
                    counts: counts.clone(),
                })
        });
        counters.collect()
    }

    /// Drops the counters of services for which `open` returns false, i.e. whose rollout
    /// has ended.
    pub fn retain(&mut self, open: impl Fn(&ResourceName, OrderId) -> bool) {
        self.orders
            .retain(|service, (order, _)| open(service, *order));
    }
}

/// Where a response came from: the labels of its counters.
#[derive(Debug, Clone, Copy)]
pub struct ResponseSource<'a> {
    /// The service that the call was for.
    pub service: &'a ResourceName,
    /// The rollout order in effect.
    pub order: OrderId,
    /// Software version of the backend that responded.
    pub version: &'a SoftwareVersion,
    /// The node of the backend that responded.
    pub node: &'a NodeId,
    /// The route that the call matched.
    pub route: &'a ResourceName,
}
