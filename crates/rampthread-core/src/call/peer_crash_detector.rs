//! Detects crashes of backends at an entry node, the node that sent the calls.
//!
//! The gate node of a backend, which forwards calls to it, detects crashes first. But the
//! gate node may end together with the backend, or before the next incarnation of the
//! backend reports; the entry node still knows which responses it never got. Gate node and
//! entry node report a crash with the same request identity and backend incarnation, so
//! that the crash counts once.

use super::crash_detector::{CrashDetector, CrashSuspect};
use crate::ids::{InstanceId, NodeId};
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// The backend that a node has now, according to the member table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentBackend {
    /// Incarnation of the backend.
    pub instance: InstanceId,
    /// True if the backend has announced that it will end as planned.
    pub leaving: bool,
}

/// Lost responses of the backends of all other nodes, as an entry node sees them. Each is
/// kept for 10 s; at 67 calls per second, the load that an entry node is designed for,
/// there are a few hundred at worst.
#[derive(Debug, Default)]
pub struct PeerCrashDetector {
    detectors: BTreeMap<NodeId, CrashDetector>,
    /// Time between two regular reports of a backend.
    heartbeat: Duration,
}

impl PeerCrashDetector {
    /// Creates a detector without lost responses, for backends that report once per
    /// `heartbeat`.
    pub fn with_heartbeat(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            ..Self::default()
        }
    }

    /// Records that the backend of `node` got a call and its response was lost.
    pub fn record_loss(&mut self, node: &NodeId, lost: &CrashSuspect) {
        let detector = self.detectors.entry(node.clone());
        let detector = detector.or_insert_with(|| CrashDetector::with_heartbeat(self.heartbeat));
        detector.record_loss(lost, false);
    }

    /// Records that the backend of `node` responded to a call that began at `begun`.
    pub fn record_response(&mut self, node: &NodeId, instance: &InstanceId, begun: Moment) {
        if let Some(detector) = self.detectors.get_mut(node) {
            detector.record_response(instance, begun);
        }
    }

    /// True if no lost response is remembered for any backend.
    pub fn is_empty(&self) -> bool {
        self.detectors.is_empty()
    }

    /// Compares the lost responses with the backends that are present now, and returns the
    /// requests whose responses were lost in a crash. `present` returns the current backend
    /// of a node; `None` for a node that is not in the member table, whose lost responses
    /// are kept since the node may come back.
    pub fn compare(
        &mut self,
        present: impl Fn(&NodeId) -> Option<CurrentBackend>,
        now: Moment,
    ) -> Vec<CrashSuspect> {
        let mut explained = Vec::new();
        for (node, detector) in &mut self.detectors {
            detector.forget_old(now);
            let Some(present) = present(node) else {
                continue;
            };
            explained.extend(detector.record_replacement(&present.instance, now));
            if present.leaving {
                detector.record_departure(&present.instance);
            }
        }
        self.detectors.retain(|_, detector| !detector.is_empty());
        explained
    }
}
