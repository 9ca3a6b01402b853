//! The era of a store that may be restored from an older copy. A restore loses the writes
//! acknowledged since the copy, reuses revisions and lease ids, and raises the era by one.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Maximum characters of an unreadable header in a log line.
const SHOWN_CHARACTERS: usize = 40;

/// A rise of the era, i.e. a restore of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EraRise {
    /// Era before the restore.
    pub from: u64,
    /// Era after the restore.
    pub to: u64,
}

/// The newest era known at some time, to detect a later rise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EraMark(u64);

/// Newest era in the responses of a store. A store whose responses contain no era stays in
/// era 0.
#[derive(Debug, Default)]
pub struct StoreEras {
    /// One more than the newest era; 0 before the first response.
    newest: AtomicU64,
    /// Whether an unreadable header has been logged.
    logged_unreadable: AtomicBool,
    listeners: Mutex<Vec<async_channel::Sender<EraRise>>>,
}

impl StoreEras {
    /// Returns the newest era seen; 0 before the first response.
    pub fn newest(&self) -> u64 {
        self.newest.load(Ordering::Acquire).saturating_sub(1)
    }

    /// Returns a channel of future rises. A rise is dropped while the previous one has not been
    /// received.
    pub fn listen(&self) -> async_channel::Receiver<EraRise> {
        let (sender, receiver) = async_channel::bounded(1);
        self.listeners().push(sender);
        receiver
    }

    /// Records the era of a response and returns it. `header` is the value of the response's era
    /// header.
    pub fn take(&self, header: Option<&[u8]>) -> u64 {
        let Some(value) = header else {
            self.begin_unnamed();
            return self.newest();
        };
        let Some(era) = parse(value) else {
            self.log_unreadable(value);
            self.begin_unnamed();
            return self.newest();
        };
        self.see(era);
        era
    }

    /// Returns whether a response of `era` was sent before the store was restored.
    pub fn is_outdated(&self, era: u64) -> bool {
        era < self.newest()
    }

    /// Returns the present era for [`has_risen_since`](Self::has_risen_since).
    pub fn mark(&self) -> EraMark {
        EraMark(self.newest.load(Ordering::Acquire))
    }

    /// Returns whether the era has risen since `mark`. The first response is no rise.
    pub fn has_risen_since(&self, mark: EraMark) -> bool {
        mark.0 != 0 && self.mark() != mark
    }

    fn see(&self, era: u64) {
        let seen = era.saturating_add(1);
        let before = self.newest.fetch_max(seen, Ordering::AcqRel);
        if before != 0 && before < seen {
            let (from, to) = (before - 1, era);
            self.listeners().retain(|listener| {
                // If the channel is full, the listener will receive an earlier rise.
                let sent = listener.try_send(EraRise { from, to });
                !sent.is_err_and(|error| error.is_closed())
            });
        }
    }

    /// Records a response without an era: unless an era is known, it is 0.
    fn begin_unnamed(&self) {
        self.newest.fetch_max(1, Ordering::AcqRel);
    }

    /// Logs an unreadable header once.
    fn log_unreadable(&self, value: &[u8]) {
        if !self.logged_unreadable.swap(true, Ordering::AcqRel) {
            let text = String::from_utf8_lossy(value);
            let found: String = text.chars().take(SHOWN_CHARACTERS).collect();
            tracing::warn!(found, "the era of the store cannot be read");
        }
    }

    fn listeners(&self) -> MutexGuard<'_, Vec<async_channel::Sender<EraRise>>> {
        self.listeners
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

fn parse(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
