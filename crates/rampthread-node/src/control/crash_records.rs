//! Persists backend crashes in the directory in the store, where they survive a restart of
//! all nodes, and reads them back with each read of the directory.

use super::Control;
use super::backoff::Backoff;
use crate::clock::wall_clock_micros;
use rampthread_core::fleet::CrashReport;
use rampthread_http::sleep;
use rampthread_platform::{Directory, PlatformError, RecordedCrash};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

/// TTL of a crash record: the maximum that the platform grants. It covers the first long
/// quarantine of a request; longer quarantines are lost only if all nodes end at once.
const RECORD_TTL: Duration = Duration::from_secs(600);
/// Maximum number of changes queued for the store. A few changes a minute are usual.
const MAX_QUEUED_CHANGES: usize = 64;
/// Maximum number of crashes that are persisted again after a restore of the store. They
/// must fit into one transaction, which the platform limits to 32 rows.
const MAX_RECENT_CRASHES: usize = 30;
/// Maximum attempts to write one change. With the delays between them they last about 20 s,
/// longer than the store is usually unavailable.
const MAX_WRITE_ATTEMPTS: u32 = 32;

/// A change of the crash records in the store.
enum RecordChange {
    Record(Vec<RecordedCrash>),
    Forget(Vec<RecordedCrash>),
}

/// Crashes that this node has recently persisted in the store or removed from it.
#[derive(Default)]
struct RecentCrashes {
    /// Each crash with whether it is persisted (true) or removed, the newest last.
    crashes: VecDeque<(RecordedCrash, bool)>,
}

impl RecentCrashes {
    fn record(&mut self, crashes: &[RecordedCrash]) {
        self.set_persisted(crashes, true);
    }

    fn forget(&mut self, crashes: &[RecordedCrash]) {
        self.set_persisted(crashes, false);
    }

    /// Notes whether `crashes` are now persisted, and drops the oldest entries.
    fn set_persisted(&mut self, crashes: &[RecordedCrash], persisted: bool) {
        for crash in crashes {
            self.crashes.retain(|(known, _)| {
                (known.identity, &known.instance) != (crash.identity, &crash.instance)
            });
            self.crashes.push_back((crash.clone(), persisted));
        }
        while self.crashes.len() > MAX_RECENT_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Returns the crashes persisted and those removed, both within the TTL of a record.
    fn changes(&mut self, now_ms: u64) -> (Vec<RecordedCrash>, Vec<RecordedCrash>) {
        let ttl_ms = RECORD_TTL.as_millis() as u64;
        self.crashes
            .retain(|(crash, _)| now_ms.saturating_sub(crash.at_ms) < ttl_ms);
        let (persisted, removed): (Vec<_>, Vec<_>) = self
            .crashes
            .iter()
            .cloned()
            .partition(|(_, persisted)| *persisted);
        let without_flag = |crashes: Vec<(RecordedCrash, bool)>| {
            crashes.into_iter().map(|(crash, _)| crash).collect()
        };
        (without_flag(persisted), without_flag(removed))
    }
}

/// Writes changes of crash records to the store in order.
pub(super) struct CrashRecorder {
    control: Weak<Control>,
    directory: Arc<dyn Directory>,
    sender: async_channel::Sender<RecordChange>,
    changes: async_channel::Receiver<RecordChange>,
    /// Crashes that this node has persisted or removed within the TTL of a record.
    recent: Mutex<RecentCrashes>,
}

impl CrashRecorder {
    /// Creates the recorder; its writes start with [`Self::run`].
    pub(super) fn new(control: Weak<Control>, directory: Arc<dyn Directory>) -> Self {
        let (sender, changes) = async_channel::bounded(MAX_QUEUED_CHANGES);
        Self {
            control,
            directory,
            sender,
            changes,
            recent: Mutex::default(),
        }
    }

    /// Persists newly reported crashes in the store, in the background.
    pub(super) fn record(&self, reports: &[CrashReport]) {
        let crashes = to_records(reports);
        self.recent().record(&crashes);
        self.queue(RecordChange::Record(crashes));
    }

    /// Removes crashes from the store, in the background.
    pub(super) fn forget(&self, reports: &[CrashReport]) {
        let crashes = to_records(reports);
        self.recent().forget(&crashes);
        self.queue(RecordChange::Forget(crashes));
    }

    /// Repeats recent changes after the store was restored from an older backup.
    pub(super) fn on_store_restored(&self) {
        let (recorded, forgotten) = self.recent().changes(now_ms());
        if !recorded.is_empty() {
            self.queue(RecordChange::Record(recorded));
        }
        if !forgotten.is_empty() {
            self.queue(RecordChange::Forget(forgotten));
        }
    }

    /// Locks the list of recently changed crash records.
    fn recent(&self) -> MutexGuard<'_, RecentCrashes> {
        self.recent
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Queues a change of the crash records; drops the change if the queue is full.
    fn queue(&self, change: RecordChange) {
        if self.sender.try_send(change).is_err() {
            tracing::warn!("crashes not persisted: too many changes are queued for the store");
        }
    }

    /// Writes queued changes until the task is canceled.
    pub(super) async fn run(self: Arc<Self>) {
        while let Ok(change) = self.changes.recv().await {
            self.write(&change).await;
        }
    }

    /// Writes one change of the crash records to the store, with retries.
    async fn write(&self, change: &RecordChange) {
        let mut backoff = Backoff::default();
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match self.write_once(change).await {
                Ok(()) => return,
                Err(error) => sleep(backoff.next_delay(&error)).await,
            }
        }
        tracing::warn!("crashes not persisted: the store failed all attempts");
    }

    /// Makes one attempt to write a change of the crash records to the store.
    async fn write_once(&self, change: &RecordChange) -> Result<(), PlatformError> {
        if let Some(control) = self.control.upgrade() {
            control.metrics.count_store_request("crash-record");
        }
        match change {
            RecordChange::Record(crashes) => {
                self.directory.record_crashes(crashes, RECORD_TTL).await
            }
            RecordChange::Forget(crashes) => self.directory.forget_crashes(crashes).await,
        }
    }
}

/// Wall clock, in milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    wall_clock_micros() / 1_000
}

/// Converts crash reports to records with absolute times.
fn to_records(reports: &[CrashReport]) -> Vec<RecordedCrash> {
    let now = now_ms();
    reports
        .iter()
        .map(|report| RecordedCrash {
            identity: report.identity,
            instance: report.instance.clone(),
            at_ms: now.saturating_sub(report.age.as_millis() as u64),
            on_trial: report.on_trial,
        })
        .collect()
}

impl Control {
    /// Merges the crash records read from the directory. A wall clock that was set back
    /// makes a crash newer, at most by that time.
    pub(super) fn on_recorded_crashes(self: &Arc<Self>, crashes: &[RecordedCrash]) {
        if crashes.is_empty() {
            return;
        }
        let wall_ms = now_ms();
        let reports: Vec<CrashReport> = crashes
            .iter()
            .map(|crash| CrashReport {
                identity: crash.identity,
                instance: crash.instance.clone(),
                age: Duration::from_millis(wall_ms.saturating_sub(crash.at_ms)),
                on_trial: crash.on_trial,
                cleared: false,
            })
            .collect();
        let now = self.clock.now();
        let actions = self.agent().merge_crash_reports(&reports, now);
        self.perform(actions);
        self.refresh_crash_table();
    }
}
