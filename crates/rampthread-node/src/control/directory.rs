//! Reads the directory, and does this node's part in keeping it.
//!
//! The directory only introduces nodes to each other: who is alive is the
//! membership's to say. What must be written, by whom and when, is decided by
//! [`ZoneDirectory`]; this module makes the calls.

use super::Control;
use super::backoff::Backoff;
use super::store_era::within_era;
use rampthread_core::findings::Findings;
use rampthread_core::fleet::{
    EndpointRecord, LeaseId, Machine, ZoneDirectory, ZoneStep, ZoneWrite, recorded_backend,
};
use rampthread_core::ids::{NodeId, Zone};
use rampthread_core::time::Moment;
use rampthread_http::sleep;
use rampthread_platform::{
    Directory, DirectoryRead, PlatformError, ReadAge, RecordedLeave, StoreEras, ZoneWritten,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

/// Life of a snapshot without renewal: the longest that the platform grants. It
/// outlasts a restart of all, and a renewal costs the store a call.
const SNAPSHOT_LIFE: Duration = Duration::from_secs(600);
/// Time between two looks whether this node must do something at the store.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time from the first write of a zone's snapshot to a look at the other zones'.
const FIRST_LOOK_PAUSE: Duration = Duration::from_secs(1);
/// Time between two reads of the whole directory.
const LIST_INTERVAL: Duration = Duration::from_secs(6);
/// For each so many nodes, the reads are one interval further apart.
const NODES_PER_INTERVAL: u32 = 50;
/// Characters of the findings that a line shows: a key has 200 bytes at most, so that the
/// first ten or more are named.
const FINDINGS_SHOWN: usize = 4_096;
/// Leaves that wait for the store, at most. A back end leaves once in its life.
const MAX_WAITING_LEAVES: usize = 16;
/// Tries to put a leave on record: with the pauses between them about 20 s, longer than
/// the users' store is away on their days.
const MAX_LEAVE_TRIES: u32 = 32;

/// The loops that keep and read the directory.
pub(super) struct DirectoryKeeper {
    control: Weak<Control>,
    directory: Arc<dyn Directory>,
    eras: Arc<StoreEras>,
    id: NodeId,
    zone: Zone,
    zone_directory: Mutex<ZoneDirectory>,
    /// The directory was read at least once.
    listed: AtomicBool,
    /// The items that could not be used at the last read.
    told_unusable: Mutex<Findings>,
    leave_sender: async_channel::Sender<EndpointRecord>,
    leaves: async_channel::Receiver<EndpointRecord>,
    /// The leave that was to be put on record last.
    last_leave: Mutex<Option<EndpointRecord>>,
}

impl DirectoryKeeper {
    pub(super) fn new(
        control: Weak<Control>,
        directory: Arc<dyn Directory>,
        eras: Arc<StoreEras>,
        id: NodeId,
        zone: Zone,
    ) -> Self {
        let (leave_sender, leaves) = async_channel::bounded(MAX_WAITING_LEAVES);
        Self {
            control,
            directory,
            eras,
            id,
            zone_directory: Mutex::new(ZoneDirectory::new(zone.clone())),
            zone,
            listed: AtomicBool::new(false),
            told_unusable: Mutex::default(),
            leave_sender,
            leaves,
            last_leave: Mutex::default(),
        }
    }

    /// The back end beside this node leaves, and that was acknowledged.
    pub(super) fn record_leave(&self, endpoint: EndpointRecord) {
        *lock(&self.last_leave) = Some(endpoint.clone());
        self.queue_leave(endpoint);
    }

    /// The store came back from an older copy: what stands there is looked at again, and
    /// a leave that still holds is put on record again.
    pub(super) fn on_store_restored(&self, now: Moment) {
        self.zone_directory().on_store_restored(now);
        let Some(control) = self.control.upgrade() else {
            return;
        };
        let Some(left) = lock(&self.last_leave).clone() else {
            return;
        };
        let holds = control.with_agent(|agent| {
            let endpoint = agent.endpoint();
            endpoint.is_some_and(|now| now.draining && now.instance == left.instance)
        });
        if holds {
            self.queue_leave(left);
        }
    }

    /// The store is said to have come back from an older copy.
    pub(super) fn on_restore_told(&self) {
        if let Some(control) = self.control.upgrade() {
            control.with_agent(|agent| self.zone_directory().on_restore_notice(agent.membership()));
        }
    }

    fn queue_leave(&self, endpoint: EndpointRecord) {
        if self.leave_sender.try_send(endpoint).is_err() {
            tracing::warn!("leave not put on record: too many wait for the store");
        }
    }

    /// True once the directory was read.
    pub(super) fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    /// Reads the directory, then keeps it for ever.
    pub(super) async fn run(self: Arc<Self>) {
        self.list(ReadAge::MayBeOld).await;
        let keeping = futures_lite::future::zip(self.keep_zone(), self.keep_leaves());
        futures_lite::future::zip(keeping, self.keep_listed()).await;
    }

    /// Reads the directory now and then. A node that others know hears from
    /// them who comes and goes: it reads seldom, for those whom a cut hides.
    async fn keep_listed(&self) {
        loop {
            sleep(jittered(self.list_interval())).await;
            self.list(ReadAge::MayBeOld).await;
        }
    }

    /// A large fleet reads a long list: it does so less often.
    fn list_interval(&self) -> Duration {
        let alive = self.control.upgrade().map_or(0, |control| {
            control.with_agent(|agent| agent.membership().reachable_peers().count() + 1)
        });
        LIST_INTERVAL * (1 + alive as u32 / NODES_PER_INTERVAL)
    }

    /// Does what this node must do for the snapshot of its zone.
    async fn keep_zone(&self) {
        let mut backoff = Backoff::patient();
        loop {
            sleep(jittered(STEP_INTERVAL)).await;
            let done = match self.next_step() {
                None => continue,
                Some(ZoneStep::Read { consistent }) => self.look(consistent).await,
                Some(ZoneStep::Write(write)) => self.write(&write).await,
                Some(ZoneStep::Renew(lease)) => self.renew(lease).await,
            };
            match done {
                Ok(()) => backoff.succeeded(),
                Err(error) => self.pause(&mut backoff, &error).await,
            }
        }
    }

    /// Waits after a failed call; the first failure of a series is told.
    async fn pause(&self, backoff: &mut Backoff, error: &PlatformError) {
        if backoff.is_first() {
            tracing::warn!(zone = %self.zone, %error, "the directory cannot be kept or read");
        }
        sleep(backoff.next_pause(error)).await;
    }

    fn next_step(&self) -> Option<ZoneStep> {
        let control = self.control.upgrade()?;
        let now = control.clock.now();
        control.with_agent(|agent| self.zone_directory().next_step(now, agent.membership()))
    }

    async fn look(&self, current: bool) -> Result<(), PlatformError> {
        let age = match current {
            true => ReadAge::Current,
            false => ReadAge::MayBeOld,
        };
        let read = self.read(age).await?;
        self.take(read);
        Ok(())
    }

    async fn write(&self, write: &ZoneWrite) -> Result<(), PlatformError> {
        let first = self.zone_directory().is_first();
        self.count("zone-write");
        let writing = self.directory.write_zone(&self.zone, write, SNAPSHOT_LIFE);
        let written = within_era(&self.eras, writing).await.inspect_err(|error| {
            if !matches!(error, PlatformError::NotRun { .. }) {
                self.zone_directory().on_write_unknown();
            }
        })?;
        let Some(control) = self.control.upgrade() else {
            return Ok(());
        };
        let now = control.clock.now();
        match written {
            ZoneWritten::Done(snapshot) => {
                let members = snapshot.members.len();
                tracing::info!(zone = %self.zone, members, "snapshot of the zone written");
                self.zone_directory().on_written(snapshot, now);
            }
            ZoneWritten::Conflict(current) => {
                let members = current.as_ref().map(|snapshot| snapshot.members.len());
                tracing::info!(zone = %self.zone, ?members, "snapshot of the zone has changed");
                self.zone_directory().on_conflict(current.as_ref(), now);
                let members = current.into_iter().flat_map(|snapshot| snapshot.members);
                let members: Vec<Machine> = members.map(|(_, machine)| machine).collect();
                control.on_further_machines(&members);
            }
        }
        if first {
            sleep(FIRST_LOOK_PAUSE).await;
            return self.look(true).await;
        }
        Ok(())
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), PlatformError> {
        self.count("lease-renewal");
        let stands = within_era(&self.eras, self.directory.renew(lease)).await?;
        if let Some(control) = self.control.upgrade() {
            let now = control.clock.now();
            self.zone_directory().on_renewed(stands, now);
        }
        Ok(())
    }

    /// Puts leaves on record as they come: a snapshot tells them seconds later.
    async fn keep_leaves(&self) {
        while let Ok(endpoint) = self.leaves.recv().await {
            let leave = RecordedLeave {
                node: self.id.clone(),
                endpoint,
            };
            self.write_leave(&leave).await;
        }
    }

    async fn write_leave(&self, leave: &RecordedLeave) {
        let mut backoff = Backoff::default();
        for _ in 0..MAX_LEAVE_TRIES {
            self.count("leave-record");
            match self.directory.record_leave(leave).await {
                Ok(()) => return,
                Err(error) => self.pause(&mut backoff, &error).await,
            }
        }
        tracing::warn!("leave not put on record: the store does not take it");
    }

    /// Reads the directory until it answers. What is some seconds old will do:
    /// peers know the rest.
    async fn list(&self, age: ReadAge) {
        let mut backoff = Backoff::default();
        loop {
            match self.read(age).await {
                Ok(read) => return self.take(read),
                Err(error) => self.pause(&mut backoff, &error).await,
            }
        }
    }

    async fn read(&self, age: ReadAge) -> Result<DirectoryRead, PlatformError> {
        self.count("directory-read");
        within_era(&self.eras, self.directory.read(age)).await
    }

    fn take(&self, read: DirectoryRead) {
        let Some(control) = self.control.upgrade() else {
            return;
        };
        let first = !self.listed.swap(true, Ordering::AcqRel);
        let machines: Vec<Machine> = read.machines().cloned().collect();
        control.on_machines(&machines);
        if first {
            self.take_up(&control, &read);
        }
        control.on_recorded_crashes(&read.crashes);
        let leaves = read.leaves.iter().map(RecordedLeave::id);
        self.zone_directory().on_read(
            read.zones.get(&self.zone),
            leaves,
            control.clock.now(),
            &mut rand::rng(),
        );
        self.tell_unusable(&control, read.unusable);
        if first {
            // Full: a wake-up waits already.
            let _ = control.document_wake.try_send(());
        }
    }

    /// Takes up what the last life of this node knew of the back end beside it.
    fn take_up(&self, control: &Arc<Control>, read: &DirectoryRead) {
        let mine = read.machines().find(|machine| machine.id == self.id);
        let snapshot = mine.and_then(|machine| machine.endpoint.clone());
        let leaves = read.leaves.iter().filter(|leave| leave.node == self.id);
        let leaves = leaves.map(|leave| leave.endpoint.clone());
        if let Some(endpoint) = recorded_backend(snapshot, leaves) {
            control.restore_backend(endpoint);
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

    fn count(&self, kind: &'static str) {
        if let Some(control) = self.control.upgrade() {
            control.metrics.count_store_request(kind);
        }
    }

    fn zone_directory(&self) -> MutexGuard<'_, ZoneDirectory> {
        lock(&self.zone_directory)
    }
}

fn lock<T>(held: &Mutex<T>) -> MutexGuard<'_, T> {
    held.lock().unwrap_or_else(|broken| broken.into_inner())
}

fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.8..1.2))
}
