//! Lost answers as an entry sees them. The gate beside a back end sees its crashes
//! first, but its process may end with the back end, or before the next incarnation
//! reports; the entry that sent the calls still knows which answers never came.
//! Both report the same crash under the same names, and it counts once.

use super::crash_watch::{CrashWatch, Suspicion};
use crate::ids::{InstanceId, NodeId};
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// What is known of the back end beside a node now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresentBackEnd {
    /// Its incarnation.
    pub instance: InstanceId,
    /// It has taken its leave.
    pub leaving: bool,
}

/// The lost answers of the back ends beside all nodes. Each is remembered for 10 s;
/// an entry of the size designed for sends 67 calls a second, so that there are a
/// few hundred at worst.
#[derive(Debug, Default)]
pub struct PeerCrashWatch {
    back_ends: BTreeMap<NodeId, CrashWatch>,
    /// Time between two reports of a back end.
    heartbeat: Duration,
}

impl PeerCrashWatch {
    /// Nothing was lost; back ends report each `heartbeat`.
    pub fn with_heartbeat(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            ..Self::default()
        }
    }

    /// The back end beside `node` got a call, and its answer did not come.
    pub fn lost(&mut self, node: &NodeId, lost: &Suspicion) {
        let watch = self.back_ends.entry(node.clone());
        let watch = watch.or_insert_with(|| CrashWatch::with_heartbeat(self.heartbeat));
        watch.lost(lost, false);
    }

    /// The back end beside `node` answered a call that began at `begun`.
    pub fn answered(&mut self, node: &NodeId, instance: &InstanceId, begun: Moment) {
        if let Some(watch) = self.back_ends.get_mut(node) {
            watch.answered(instance, begun);
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
        present: impl Fn(&NodeId) -> Option<PresentBackEnd>,
        now: Moment,
    ) -> Vec<Suspicion> {
        let mut explained = Vec::new();
        for (node, watch) in &mut self.back_ends {
            watch.forget_old(now);
            let Some(present) = present(node) else {
                continue;
            };
            explained.extend(watch.replaced(&present.instance, now));
            if present.leaving {
                watch.left(&present.instance);
            }
        }
        self.back_ends.retain(|_, watch| !watch.is_empty());
        explained
    }
}
