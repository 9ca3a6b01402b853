//! Lost answers as an entry sees them. The gate beside a back end sees its crashes
//! first, but its process may end with the back end, or before the next incarnation
//! reports; the entry that sent the calls still knows which answers never came.
//! Both report the same crash under the same names, and it counts once.

use super::crash_detector::{CrashDetector, CrashSuspect};
use crate::ids::{InstanceId, NodeId};
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// What is known of the back end beside a node now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentBackend {
    /// Its incarnation.
    pub instance: InstanceId,
    /// It has taken its leave.
    pub leaving: bool,
}

/// The lost answers of the back ends beside all nodes. Each is remembered for 10 s;
/// an entry of the size designed for sends 67 calls a second, so that there are a
/// few hundred at worst.
#[derive(Debug, Default)]
pub struct PeerCrashDetector {
    back_ends: BTreeMap<NodeId, CrashDetector>,
    /// Time between two reports of a back end.
    heartbeat: Duration,
}

impl PeerCrashDetector {
    /// Nothing was lost; back ends report each `heartbeat`.
    pub fn with_heartbeat(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            ..Self::default()
        }
    }

    /// The back end beside `node` got a call, and its answer did not come.
    pub fn record_loss(&mut self, node: &NodeId, lost: &CrashSuspect) {
        let watch = self.back_ends.entry(node.clone());
        let watch = watch.or_insert_with(|| CrashDetector::with_heartbeat(self.heartbeat));
        watch.record_loss(lost, false);
    }

    /// The back end beside `node` answered a call that began at `begun`.
    pub fn record_response(&mut self, node: &NodeId, instance: &InstanceId, begun: Moment) {
        if let Some(watch) = self.back_ends.get_mut(node) {
            watch.record_response(instance, begun);
        }
    }

    /// True when nothing was lost lately.
    pub fn is_empty(&self) -> bool {
        self.back_ends.is_empty()
    }

    /// Compares with what stands beside the nodes now; returns the losses that turn
    /// out to be crashes. A node that is not known now may come back.
    pub fn compare(
        &mut self,
        present: impl Fn(&NodeId) -> Option<CurrentBackend>,
        now: Moment,
    ) -> Vec<CrashSuspect> {
        let mut explained = Vec::new();
        for (node, watch) in &mut self.back_ends {
            watch.forget_old(now);
            let Some(present) = present(node) else {
                continue;
            };
            explained.extend(watch.record_replacement(&present.instance, now));
            if present.leaving {
                watch.record_departure(&present.instance);
            }
        }
        self.back_ends.retain(|_, watch| !watch.is_empty());
        explained
    }
}
