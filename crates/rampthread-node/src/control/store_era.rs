//! Reaction of this node to a restore of the store from an older backup: what this node has
//! written to the store is checked or written again.

use super::Control;
use rampthread_platform::{EraRise, PlatformError, StoreEras};
use std::sync::Arc;

impl Control {
    /// Handles each increase of the store era, a number that the store raises each time it
    /// is restored.
    pub(super) async fn follow_eras(self: Arc<Self>, rises: async_channel::Receiver<EraRise>) {
        while let Ok(rise) = rises.recv().await {
            self.on_store_restored(rise);
        }
    }

    /// Informs all parts of the control side that rely on the store.
    fn on_store_restored(self: &Arc<Self>, rise: EraRise) {
        let EraRise { from, to } = rise;
        tracing::warn!(
            from,
            to,
            "the store came back from an older copy: its era rose"
        );
        self.metrics.store_restores.inc();
        let now = self.clock.now();
        let actions = self.agent().on_store_restored(to, now);
        self.perform(actions);
        if let Some(directory) = &self.directory {
            directory.on_store_restored(now);
        }
        if let Some(recorder) = &self.crash_recorder {
            recorder.on_store_restored();
        }
    }

    /// Handles a peer's notice that the store has the era `era`: the tasks that rely on the
    /// store check it now.
    pub(super) fn verify_store_era(&self, era: u64) {
        if era <= self.store_era() {
            return;
        }
        // If the channel is full, a wake-up is pending already.
        let _ = self.document_wake.try_send(());
        if let Some(directory) = &self.directory {
            directory.on_restore_notice();
        }
    }

    /// Returns the newest store era seen by this node.
    pub fn store_era(&self) -> u64 {
        self.eras.newest()
    }
}

/// Returns the result of `call`, or an error if the store was restored meanwhile, which raises
/// the store era: responses from before and after a restore may contradict each other.
pub(super) async fn within_era<T>(
    eras: &StoreEras,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let before = eras.mark();
    let result = call.await;
    match eras.has_risen_since(before) {
        false => result,
        true => Err(PlatformError::Unknown {
            reason: "the store was restored meanwhile".to_string(),
        }),
    }
}
