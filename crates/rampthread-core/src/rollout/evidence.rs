//! What callers got from each version of a service.
//!
//! Counts go up from the order on and are told whole, so that a lost message loses
//! nothing and a new decider hears everything.

use super::state::OrderId;
use crate::ids::{NodeId, ResourceName, SoftwareVersion};
use crate::rendezvous;
use std::collections::BTreeMap;
use std::time::Duration;

/// Buckets of the histogram of answer times: each begins at √2 times the one before, from
/// 1 ms; the last takes all from 4 s on.
pub const LATENCY_BUCKETS: usize = 25;
/// Groups into which the back ends of a version fall: one bad back end shows in one of
/// them, a bad version in all.
pub const BACKEND_GROUPS: u8 = 16;
/// Key by which back ends fall into groups.
const GROUP_KEY: &str = "roll-out groups";

/// What the callers of one node got from one version of a service on one route, since
/// the order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionEvidence {
    /// The service.
    pub service: ResourceName,
    /// The order under which it was seen.
    pub order: OrderId,
    /// The version that answered.
    pub version: SoftwareVersion,
    /// Group of the back ends that answered.
    pub group: u8,
    /// The route.
    pub route: ResourceName,
    /// What was counted.
    pub counts: ResponseCounts,
}

/// Answers of one kind, counted.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseCounts {
    /// Answers, failures among them.
    pub responses: u32,
    /// Answers that were failures of the back end.
    pub failures: u32,
    /// Good answers by their time: index `n` counts those of at least `2^(n/2)` ms.
    pub latency_histogram: [u32; LATENCY_BUCKETS],
}

/// What one answer was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// The back end failed it, or did not answer until the deadline.
    Failure,
    /// It came after this time.
    Success(Duration),
    /// It was good, and its time says nothing: the back end has just started.
    SuccessDuringWarmUp,
}

impl ResponseCounts {
    /// Counts one answer.
    pub fn record(&mut self, answer: ResponseOutcome) {
        self.responses += 1;
        match answer {
            ResponseOutcome::Failure => self.failures += 1,
            ResponseOutcome::Success(time) => self.latency_histogram[step_of(time)] += 1,
            ResponseOutcome::SuccessDuringWarmUp => {}
        }
    }

    /// What has been counted since `earlier`; none where it was counted before that.
    pub fn since(&self, earlier: &Self) -> Option<Self> {
        if self.responses < earlier.responses || self.failures < earlier.failures {
            return None;
        }
        let mut latency_histogram = self.latency_histogram;
        for (now, before) in latency_histogram.iter_mut().zip(&earlier.latency_histogram) {
            *now = now.saturating_sub(*before);
        }
        Some(Self {
            responses: self.responses - earlier.responses,
            failures: self.failures - earlier.failures,
            latency_histogram,
        })
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.responses = self.responses.saturating_add(other.responses);
        self.failures = self.failures.saturating_add(other.failures);
        for (sum, more) in self
            .latency_histogram
            .iter_mut()
            .zip(&other.latency_histogram)
        {
            *sum = sum.saturating_add(*more);
        }
    }
}

fn step_of(time: Duration) -> usize {
    let millis = (time.as_secs_f64() * 1_000.0).max(1.0);
    let step = (2.0 * millis.log2()).floor() as usize;
    step.min(LATENCY_BUCKETS - 1)
}

/// The group of the back end beside `node`.
pub fn backend_group(node: &NodeId) -> u8 {
    (rendezvous::weight(GROUP_KEY, node) % u64::from(BACKEND_GROUPS)) as u8
}

type Row = (SoftwareVersion, u8, ResourceName);

/// What one node has counted under the newest order of each service.
#[derive(Debug, Default)]
pub struct EvidenceRecorder {
    orders: BTreeMap<ResourceName, (OrderId, BTreeMap<Row, ResponseCounts>)>,
}

impl EvidenceRecorder {
    /// Counts an answer of the back end beside `node`. An order that is new begins anew.
    pub fn record(&mut self, place: ResponseSource<'_>, answer: ResponseOutcome) {
        let known = self.orders.entry(place.service.clone());
        let (order, rows) = known.or_insert_with(|| (place.order, BTreeMap::new()));
        if *order != place.order {
            *order = place.order;
            rows.clear();
        }
        let group = backend_group(place.node);
        let row = (place.version.clone(), group, place.route.clone());
        rows.entry(row).or_default().record(answer);
    }

    /// Everything that was counted.
    pub fn all(&self) -> Vec<VersionEvidence> {
        let orders = self.orders.iter();
        let rows = orders.flat_map(|(service, (order, rows))| {
            rows.iter()
                .map(|((version, group, route), counts)| VersionEvidence {
                    service: service.clone(),
                    order: *order,
                    version: version.clone(),
                    group: *group,
                    route: route.clone(),
                    counts: counts.clone(),
                })
        });
        rows.collect()
    }

    /// Keeps what belongs to open roll-outs.
    pub fn retain(&mut self, open: impl Fn(&ResourceName, OrderId) -> bool) {
        self.orders
            .retain(|service, (order, _)| open(service, *order));
    }
}

/// Where an answer came from.
#[derive(Debug, Clone, Copy)]
pub struct ResponseSource<'a> {
    /// The service.
    pub service: &'a ResourceName,
    /// The order that is carried out.
    pub order: OrderId,
    /// The version that answered.
    pub version: &'a SoftwareVersion,
    /// The node beside the back end.
    pub node: &'a NodeId,
    /// The route of the call.
    pub route: &'a ResourceName,
}
