//! Keeps crashes of back ends in the directory, where they outlast the end of all
//! nodes, and takes them up again with each read of it.

use super::Control;
use super::backoff::Backoff;
use crate::clock::wall_clock_micros;
use rampthread_core::fleet::CrashReport;
use rampthread_http::sleep;
use rampthread_platform::{Directory, PlatformError, RecordedCrash};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

/// Life of a record: the longest that the platform grants. It covers the first
/// long quarantine; what lasts longer is lost only if all nodes end at once.
const RECORD_LIFE: Duration = Duration::from_secs(600);
/// Changes that wait for the store, at most. There are a few a minute.
const MAX_WAITING: usize = 64;
/// Crashes that are recorded again after the store was restored, at most: they have to fit
/// into one transaction, which takes 32 rows on the platform.
const MAX_RECENT: usize = 30;
/// Tries of one change: with the pauses between them about 20 s, longer than the
/// users' store is away on their days.
const MAX_TRIES: u32 = 32;

/// A change of what is on record.
enum Change {
    Record(Vec<RecordedCrash>),
    Forget(Vec<RecordedCrash>),
}

/// Crashes that were put on record lately, or taken off it since.
#[derive(Default)]
struct RecentCrashes {
    /// Each with whether it stands; the newest last.
    crashes: VecDeque<(RecordedCrash, bool)>,
}

impl RecentCrashes {
    fn record(&mut self, crashes: &[RecordedCrash]) {
        self.note(crashes, true);
    }

    fn forget(&mut self, crashes: &[RecordedCrash]) {
        self.note(crashes, false);
    }

    fn note(&mut self, crashes: &[RecordedCrash], stands: bool) {
        for crash in crashes {
            self.crashes.retain(|(known, _)| {
                (known.identity, &known.instance) != (crash.identity, &crash.instance)
            });
            self.crashes.push_back((crash.clone(), stands));
        }
        while self.crashes.len() > MAX_RECENT {
            self.crashes.pop_front();
        }
    }

    /// Those that stand, and those taken off the record, each within the life of a record.
    fn changes(&mut self, now_ms: u64) -> (Vec<RecordedCrash>, Vec<RecordedCrash>) {
        let life_ms = RECORD_LIFE.as_millis() as u64;
        self.crashes
            .retain(|(crash, _)| now_ms.saturating_sub(crash.at_ms) < life_ms);
        let (stand, gone): (Vec<_>, Vec<_>) = self
            .crashes
            .iter()
            .cloned()
            .partition(|(_, stands)| *stands);
        let plain = |crashes: Vec<(RecordedCrash, bool)>| {
            crashes.into_iter().map(|(crash, _)| crash).collect()
        };
        (plain(stand), plain(gone))
    }
}

/// Writes changes in their order.
pub(super) struct CrashRecorder {
    control: Weak<Control>,
    directory: Arc<dyn Directory>,
    sender: async_channel::Sender<Change>,
    changes: async_channel::Receiver<Change>,
    /// What this node has put on record or taken off it, for the life of a record.
    recent: Mutex<RecentCrashes>,
}

impl CrashRecorder {
    pub(super) fn new(control: Weak<Control>, directory: Arc<dyn Directory>) -> Self {
        let (sender, changes) = async_channel::bounded(MAX_WAITING);
        Self {
            control,
            directory,
            sender,
            changes,
            recent: Mutex::default(),
        }
    }

    pub(super) fn record(&self, reports: &[CrashReport]) {
        let crashes = recorded(reports);
        self.recent().record(&crashes);
        self.queue(Change::Record(crashes));
    }

    pub(super) fn forget(&self, reports: &[CrashReport]) {
        let crashes = recorded(reports);
        self.recent().forget(&crashes);
        self.queue(Change::Forget(crashes));
    }

    /// The store came back from an older copy: recent changes are made again.
    pub(super) fn on_store_restored(&self) {
        let (recorded, forgotten) = self.recent().changes(now_ms());
        if !recorded.is_empty() {
            self.queue(Change::Record(recorded));
        }
        if !forgotten.is_empty() {
            self.queue(Change::Forget(forgotten));
        }
    }

    fn recent(&self) -> MutexGuard<'_, RecentCrashes> {
        self.recent
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    fn queue(&self, change: Change) {
        if self.sender.try_send(change).is_err() {
            tracing::warn!("crashes not put on record: too many changes wait for the store");
        }
    }

    pub(super) async fn run(self: Arc<Self>) {
        while let Ok(change) = self.changes.recv().await {
            self.write(&change).await;
        }
    }

    async fn write(&self, change: &Change) {
        let mut backoff = Backoff::default();
        for _ in 0..MAX_TRIES {
            match self.write_once(change).await {
                Ok(()) => return,
                Err(error) => sleep(backoff.next_pause(&error)).await,
            }
        }
        tracing::warn!("crashes not put on record: the store does not take them");
    }

    async fn write_once(&self, change: &Change) -> Result<(), PlatformError> {
        if let Some(control) = self.control.upgrade() {
            control.metrics.count_store_request("crash-record");
        }
        match change {
            Change::Record(crashes) => self.directory.record_crashes(crashes, RECORD_LIFE).await,
            Change::Forget(crashes) => self.directory.forget_crashes(crashes).await,
        }
    }
}

fn now_ms() -> u64 {
    wall_clock_micros() / 1_000
}

fn recorded(reports: &[CrashReport]) -> Vec<RecordedCrash> {
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
    /// Takes up what the directory has on record. A wall clock that was set back
    /// makes a crash newer, at most by that.
    pub(super) fn on_recorded_crashes(self: &Arc<Self>, crashes: &[RecordedCrash]) {
        if crashes.is_empty() {
            return;
        }
        let wall = now_ms();
        let reports: Vec<CrashReport> = crashes
            .iter()
            .map(|crash| CrashReport {
                identity: crash.identity,
                instance: crash.instance.clone(),
                age: Duration::from_millis(wall.saturating_sub(crash.at_ms)),
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
