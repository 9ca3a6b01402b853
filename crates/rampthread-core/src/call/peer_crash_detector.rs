//! Lost responses as an entry sees them. The gate of a backend notices its crashes first,
//! but the gate may end with the backend, or before the next incarnation reports; the entry
//! that sent the calls still knows which responses never came. Both report a crash under
//! the same names, so that it counts once.

use super::crash_detector::{CrashDetector, CrashSuspect};
use crate::ids::{InstanceId, NodeId};
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// The current backend of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentBackend {
    /// Its incarnation.
    pub instance: InstanceId,
    /// It has announced its departure.
    pub leaving: bool,
}

/// Lost responses of the backends of all nodes. Each is kept for 10 s; at 67 calls per
/// second, the load that an entry is designed for, there are a few hundred at worst.
#[derive(Debug, Default)]
pub struct PeerCrashDetector {
    detectors: BTreeMap<NodeId, CrashDetector>,
    /// Time between two reports of a backend.
    heartbeat: Duration,
}

impl PeerCrashDetector {
    /// No losses; backends report once per `heartbeat`.
    pub fn with_heartbeat(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            ..Self::default()
        }
    }

    /// Records a call to the backend of `node` whose response was lost.
    pub fn record_loss(&mut self, node: &NodeId, lost: &CrashSuspect) {
        let detector = self.detectors.entry(node.clone());
        let detector = detector.or_insert_with(|| CrashDetector::with_heartbeat(self.heartbeat));
        detector.record_loss(lost, false);
    }

    /// Records a response of the backend of `node` to a call that began at `begun`.
    pub fn record_response(&mut self, node: &NodeId, instance: &InstanceId, begun: Moment) {
        if let Some(detector) = self.detectors.get_mut(node) {
            detector.record_response(instance, begun);
        }
    }

    /// True without recent losses.
    pub fn is_empty(&self) -> bool {
        self.detectors.is_empty()
    }

    /// Compares the losses with the current backends of the nodes and returns those that
    /// turn out to be crashes. `present` returns `None` for a node that is unknown now; it
    /// may come back.
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
