//! Keeps this node's record in the directory and reads the others'.
//!
//! The directory only introduces nodes to each other: who is alive is the
//! membership's to say. A record ends with its lease, so that a machine that is
//! gone for good is forgotten; it outlasts a restart, so that a node finds in
//! it what its last life knew of the back end beside it.

use super::Control;
use super::backoff::Backoff;
use rampthread_core::findings::Findings;
use rampthread_core::fleet::Machine;
use rampthread_http::{sleep, timeout};
use rampthread_platform::{
    Directory, DirectoryEntry, DirectoryRead, PlatformError, ReadAge, Registration,
};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

/// Life of a record without renewal: the longest that the platform grants. It
/// outlasts a restart, and a renewal costs the store a call, so few are best;
/// what a record of a machine that is gone costs its readers is some probes.
const RECORD_LIFE: Duration = Duration::from_secs(600);
/// Time between two renewals: a renewal that fails is tried again in time.
const RENEW_INTERVAL: Duration = Duration::from_secs(200);
/// Wait for the first report of the back end beside this node, so that its
/// record is written once. Twice the time between two heartbeats.
const FIRST_RECORD_WAIT: Duration = Duration::from_secs(3);
/// Time between two reads of the whole directory.
const LIST_INTERVAL: Duration = Duration::from_secs(6);
/// Characters of the findings that a line shows: a key has 200 bytes at most, so that the
/// first ten or more are named.
const FINDINGS_SHOWN: usize = 4_096;
/// For each so many nodes, the reads are one interval further apart.
const NODES_PER_INTERVAL: u32 = 50;
/// Time between two reads while this node knows nobody. Nodes that started
/// together have written their records by the second one.
const ALONE_INTERVAL: Duration = Duration::from_millis(3_500);

/// The loops that keep and read the directory.
pub(super) struct DirectoryKeeper {
    control: Weak<Control>,
    directory: Arc<dyn Directory>,
    me: Machine,
    registration: Mutex<Option<Registration>>,
    /// This node's record as the directory holds it.
    written: Mutex<Option<Machine>>,
    /// The items that could not be used at the last read.
    told_unusable: Mutex<Findings>,
    changed: async_channel::Sender<()>,
    changes: async_channel::Receiver<()>,
}

impl DirectoryKeeper {
    pub(super) fn new(control: Weak<Control>, directory: Arc<dyn Directory>, me: Machine) -> Self {
        let (changed, changes) = async_channel::bounded(1);
        Self {
            control,
            directory,
            me,
            registration: Mutex::default(),
            written: Mutex::default(),
            told_unusable: Mutex::default(),
            changed,
            changes,
        }
    }

    /// This node's record must be written again.
    pub(super) fn record_changed(&self) {
        // Full: a write waits already.
        let _ = self.changed.try_send(());
    }

    /// Reads the directory once, since this node's own record of its last life
    /// must be read before it is overwritten; then keeps and reads for ever.
    pub(super) async fn run(self: Arc<Self>) {
        self.list().await;
        futures_lite::future::zip(self.keep_registered(), self.keep_listed()).await;
    }

    /// Writes the record whenever it has changed or its lease is over, and renews
    /// the lease otherwise. A record that still stands from this node's last life
    /// is kept.
    async fn keep_registered(&self) {
        let mut backoff = Backoff::patient();
        if self.registration().is_none() {
            let _ = timeout(jittered(FIRST_RECORD_WAIT), self.changes.recv()).await;
        }
        loop {
            let kept = if self.registration().is_some() && self.is_written() {
                self.renew().await
            } else {
                self.write().await
            };
            match kept {
                Ok(()) => {
                    backoff.succeeded();
                    self.wait_for_change().await;
                }
                Err(error) => sleep(backoff.next_pause(&error)).await,
            }
        }
    }

    /// Ends when the record must be written again, or the lease renewed.
    async fn wait_for_change(&self) {
        let renewal = jittered(RENEW_INTERVAL);
        let changed = async { while self.changes.recv().await.is_ok() && self.is_written() {} };
        let _ = timeout(renewal, changed).await;
    }

    /// This node's record as it should stand.
    fn wanted(&self) -> Option<Machine> {
        let control = self.control.upgrade()?;
        Some(Machine {
            endpoint: control.with_agent(|agent| agent.endpoint().cloned()),
            ..self.me.clone()
        })
    }

    /// True when the directory holds the record as it should stand. How long a
    /// back end stays slow and the number of its heartbeat age by themselves.
    fn is_written(&self) -> bool {
        let written = lock(&self.written);
        match (&*written, &self.wanted()) {
            (Some(written), Some(wanted)) => same_record(written, wanted),
            (_, None) => true,
            (None, Some(_)) => false,
        }
    }

    /// Writes the record, under the present lease if it is still there.
    async fn write(&self) -> Result<(), PlatformError> {
        let Some(me) = self.wanted() else {
            return Ok(());
        };
        self.count_request();
        if let Some(registration) = self.registration()
            && self.directory.update(registration, &me).await?
        {
            *lock(&self.written) = Some(me);
            return Ok(());
        }
        self.set_registration(None);
        let registration = self.directory.register(&me, RECORD_LIFE).await?;
        self.set_registration(Some(registration));
        *lock(&self.written) = Some(me);
        Ok(())
    }

    /// Renews the lease; where there is none any more, the record is gone too.
    async fn renew(&self) -> Result<(), PlatformError> {
        let Some(registration) = self.registration() else {
            return Ok(());
        };
        self.count_request();
        if self.directory.renew(registration).await? {
            return Ok(());
        }
        self.set_registration(None);
        self.write().await
    }

    /// Reads the directory now and then. A node that others know hears from
    /// them who comes and goes: it reads seldom, for those whom a cut hides.
    async fn keep_listed(&self) {
        sleep(jittered(self.list_interval())).await;
        loop {
            self.list().await;
            sleep(jittered(self.list_interval())).await;
        }
    }

    /// Nodes alive, as far as this one knows.
    fn alive(&self) -> usize {
        let control = self.control.upgrade();
        control.map_or(0, |control| {
            control.with_agent(|agent| agent.membership().reachable_peers().count() + 1)
        })
    }

    /// A large fleet reads a long list: it does so less often.
    fn list_interval(&self) -> Duration {
        match self.alive() {
            0 | 1 => ALONE_INTERVAL,
            alive => LIST_INTERVAL * (1 + alive as u32 / NODES_PER_INTERVAL),
        }
    }

    /// Reads the directory until it answers. What is some seconds old will do:
    /// peers know the rest.
    async fn list(&self) {
        let mut backoff = Backoff::default();
        loop {
            self.count_request();
            match self.directory.read(ReadAge::MayBeOld).await {
                Ok(read) => return self.take(read),
                Err(error) => sleep(backoff.next_pause(&error)).await,
            }
        }
    }

    fn take(&self, read: DirectoryRead) {
        let Some(control) = self.control.upgrade() else {
            return;
        };
        self.tell_unusable(&control, read.unusable);
        control.on_recorded_crashes(&read.crashes);
        let entries = read.entries;
        let mine = entries.iter().find(|entry| entry.machine.id == self.me.id);
        let last_life = mine.filter(|_| self.registration().is_none()).cloned();
        let machines: Vec<Machine> = entries.into_iter().map(|entry| entry.machine).collect();
        control.on_machines(&machines);
        if let Some(entry) = last_life {
            self.take_up(&control, entry);
        }
    }

    /// Counts items that could not be used, and tells of them once as long as they stay
    /// the same.
    fn tell_unusable(&self, control: &Control, unusable: Findings) {
        control
            .metrics
            .unusable_entries
            .inc_by(unusable.len() as u64);
        let mut told = lock(&self.told_unusable);
        if *told == unusable {
            return;
        }
        if !unusable.is_empty() {
            let items = unusable.len();
            let text: String = unusable.to_string().chars().take(FINDINGS_SHOWN).collect();
            tracing::warn!(items, findings = %text, "items of the directory cannot be used");
        }
        *told = unusable;
    }

    /// Goes on with the record of this node's last life.
    fn take_up(&self, control: &Arc<Control>, entry: DirectoryEntry) {
        self.set_registration(Some(entry.registration));
        let endpoint = entry.machine.endpoint.clone();
        *lock(&self.written) = Some(entry.machine);
        if let Some(endpoint) = endpoint {
            control.remember_backend(endpoint);
        }
    }

    /// Takes the record away, for a node that leaves for good.
    pub(super) async fn withdraw(&self) {
        if let Some(registration) = self.registration()
            && let Err(error) = self.directory.withdraw(registration).await
        {
            tracing::debug!(%error, "record not withdrawn; it ends with its lease");
        }
    }

    fn count_request(&self) {
        if let Some(control) = self.control.upgrade() {
            control.metrics.store_requests.inc();
        }
    }

    fn registration(&self) -> Option<Registration> {
        *lock(&self.registration)
    }

    fn set_registration(&self, registration: Option<Registration>) {
        *lock(&self.registration) = registration;
    }
}

fn lock<T>(held: &Mutex<T>) -> MutexGuard<'_, T> {
    held.lock().unwrap_or_else(|broken| broken.into_inner())
}

fn same_record(written: &Machine, wanted: &Machine) -> bool {
    let without_age = |machine: &Machine| {
        let mut machine = machine.clone();
        if let Some(endpoint) = &mut machine.endpoint {
            endpoint.sequence = 0;
            endpoint.cold_ms = 0;
        }
        machine
    };
    without_age(written) == without_age(wanted)
}

fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.8..1.2))
}
