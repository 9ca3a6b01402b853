//! Keeps up with the operators' document: reads it whole, then waits for
//! changes, and reads again whenever the store has forgotten or lost something.
//! A lost wait is bounded, so that a silent store is noticed; peers that hold a
//! newer version cause a read at once.

use super::Control;
use super::backoff::{Backoff, LONGEST_PAUSE};
use async_std::future::timeout;
use async_std::task::sleep;
use rampthread_core::fleet::Decision;
use rampthread_platform::{Document, DocumentNews, DocumentSource, PlatformError, Revision};
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of one watch. A watch whose answer is lost delays a change by
/// no more than this and the store client's patience.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Part of the calls that the store serves to the fleet, for watches.
const WATCH_SHARE: f64 = 0.5;
/// The loop that follows the document.
pub(super) struct DocumentWatch {
    control: Arc<Control>,
    source: Arc<dyn DocumentSource>,
    fleet_calls_per_second: NonZeroU32,
    /// Filled when a peer holds a newer version.
    wake: async_channel::Receiver<()>,
    backoff: Backoff,
    store_down: bool,
}

impl DocumentWatch {
    pub(super) fn new(
        control: Arc<Control>,
        source: Arc<dyn DocumentSource>,
        fleet_calls_per_second: NonZeroU32,
        wake: async_channel::Receiver<()>,
    ) -> Self {
        Self {
            control,
            source,
            fleet_calls_per_second,
            wake,
            backoff: Backoff::default(),
            store_down: false,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            let mut at = self.read().await;
            while let Some(next) = self.watch(at).await {
                at = next;
                sleep(self.pace()).await;
            }
        }
    }

    /// Reads the document until the store answers.
    async fn read(&mut self) -> Revision {
        loop {
            while self.wake.try_recv().is_ok() {}
            self.control.metrics.store_requests.inc();
            match self.source.read().await {
                Ok(read) => {
                    self.answered();
                    if let Some(document) = read.document {
                        self.take(document);
                    }
                    return read.at;
                }
                Err(error) => self.pause(&error).await,
            }
        }
    }

    /// One wait for a change; none: read the document whole.
    async fn watch(&mut self, after: Revision) -> Option<Revision> {
        self.control.metrics.store_requests.inc();
        let watching = self.source.watch(after, WATCH_WAIT);
        let woken = async {
            let _ = self.wake.recv().await;
            None
        };
        let news = futures_lite::future::or(async { Some(watching.await) }, woken).await?;
        match news {
            Ok(DocumentNews::Changed { document, at }) => {
                self.answered();
                self.take(document);
                Some(at)
            }
            Ok(DocumentNews::Unchanged { at }) => {
                self.answered();
                Some(at)
            }
            Ok(DocumentNews::HistoryGone) => {
                self.answered();
                None
            }
            Err(error) => {
                self.pause(&error).await;
                None
            }
        }
    }

    /// Pause after a call that was answered at once: in a storm of versions the
    /// watches of all nodes together stay within a part of what the store serves.
    fn pace(&self) -> Duration {
        let nodes = self.control.endpoints().alive.max(1) as f64;
        let rate = f64::from(self.fleet_calls_per_second.get()) * WATCH_SHARE;
        Duration::from_secs_f64(nodes / rate).min(LONGEST_PAUSE)
    }

    fn take(&self, document: Document) {
        match document {
            Ok(state) => self.control.on_document(Arc::new(state)),
            Err(findings) => self.control.journal.note(Decision::VersionRefused {
                version: self.control.version(),
                reason: findings.to_string(),
            }),
        }
    }

    fn answered(&mut self) {
        self.backoff.succeeded();
        if std::mem::take(&mut self.store_down) {
            self.control.journal.note(Decision::StoreAvailable);
        }
    }

    async fn pause(&mut self, error: &PlatformError) {
        if !self.store_down {
            self.store_down = true;
            let reason = error.to_string();
            self.control
                .journal
                .note(Decision::StoreUnavailable { reason });
        }
        let pause = self.backoff.next_pause(error);
        // A peer with news ends the pause.
        let _ = timeout(pause, self.wake.recv()).await;
    }
}
