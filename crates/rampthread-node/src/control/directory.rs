//! Reads the directory of nodes in the store, and maintains this node's part of it.
//!
//! The directory only introduces nodes to each other; which nodes are alive is decided by
//! the membership. [`ZoneDirectory`] decides what has to be written, by which node and
//! when; this module sends the store requests.

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

/// TTL of a zone's snapshot without renewal: the maximum that the platform grants. It
/// outlasts a restart of all nodes, and each renewal costs a store request.
const SNAPSHOT_TTL: Duration = Duration::from_secs(600);
/// Time between two checks whether this node has to read or write the zone's snapshot.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Delay from the first write of a zone's snapshot to a read of the other zones' snapshots.
const FIRST_READ_DELAY: Duration = Duration::from_secs(1);
/// Time between two reads of the whole directory in a small fleet.
const READ_INTERVAL: Duration = Duration::from_secs(6);
/// The time between reads grows by one interval per this many nodes.
const NODES_PER_INTERVAL: u32 = 50;
/// Maximum characters of findings in a log line. Keys have at most 200 bytes, so that the
/// line shows at least the first ten findings.
const MAX_FINDINGS_CHARS: usize = 4_096;
/// Maximum number of backend departures queued for the store. An incarnation of a backend
/// departs once.
const MAX_QUEUED_DEPARTURES: usize = 16;
/// Maximum attempts to persist a departure. With the delays between them they last about 20
/// s, longer than the store is usually unavailable.
const MAX_DEPARTURE_ATTEMPTS: u32 = 32;

/// Tasks that read the directory and maintain this node's part of it.
pub(super) struct DirectoryKeeper {
    control: Weak<Control>,
    directory: Arc<dyn Directory>,
    eras: Arc<StoreEras>,
    id: NodeId,
    zone: Zone,
    zone_directory: Mutex<ZoneDirectory>,
    /// Whether the directory was read at least once.
    listed: AtomicBool,
    /// Unusable items of the last read, to log them only once.
    logged_unusable: Mutex<Findings>,
    departure_sender: async_channel::Sender<EndpointRecord>,
    departures: async_channel::Receiver<EndpointRecord>,
    /// The last departure of the local backend that this node had to persist.
    last_departure: Mutex<Option<EndpointRecord>>,
}

impl DirectoryKeeper {
    pub(super) fn new(
        control: Weak<Control>,
        directory: Arc<dyn Directory>,
        eras: Arc<StoreEras>,
        id: NodeId,
        zone: Zone,
    ) -> Self {
        let (departure_sender, departures) = async_channel::bounded(MAX_QUEUED_DEPARTURES);
        Self {
            control,
            directory,
            eras,
            id,
            zone_directory: Mutex::new(ZoneDirectory::new(zone.clone())),
            zone,
            listed: AtomicBool::new(false),
            logged_unusable: Mutex::default(),
            departure_sender,
            departures,
            last_departure: Mutex::default(),
        }
    }

    /// Persists the departure of the local backend, which this node has acknowledged.
    pub(super) fn record_departure(&self, endpoint: EndpointRecord) {
        *lock(&self.last_departure) = Some(endpoint.clone());
        self.queue_departure(endpoint);
    }

    /// Handles a restore of the store from an older backup: the zone's snapshot is read
    /// again, and a departure that still holds is persisted again.
    pub(super) fn on_store_restored(&self, now: Moment) {
        self.zone_directory().on_store_restored(now);
        let Some(control) = self.control.upgrade() else {
            return;
        };
        let Some(departed) = lock(&self.last_departure).clone() else {
            return;
        };
        let still_holds = control.with_agent(|agent| {
            let endpoint = agent.endpoint();
            endpoint.is_some_and(|now| now.draining && now.instance == departed.instance)
        });
        if still_holds {
            self.queue_departure(departed);
        }
    }

    /// Handles a peer's notice that the store was restored from an older backup.
    pub(super) fn on_restore_notice(&self) {
        if let Some(control) = self.control.upgrade() {
            control.with_agent(|agent| self.zone_directory().on_restore_notice(agent.membership()));
        }
    }

    /// Queues a departure of the local backend; drops the departure if the queue is full.
    fn queue_departure(&self, endpoint: EndpointRecord) {
        if self.departure_sender.try_send(endpoint).is_err() {
            tracing::warn!("departure not persisted: too many are queued for the store");
        }
    }

    /// Returns whether the directory was read at least once.
    pub(super) fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    /// Reads the directory, then maintains it until the task is canceled.
    pub(super) async fn run(self: Arc<Self>) {
        self.read_with_retries(ReadAge::MayBeOld).await;
        let maintaining =
            futures_lite::future::zip(self.maintain_zone_snapshot(), self.write_departures());
        futures_lite::future::zip(maintaining, self.read_periodically()).await;
    }

    /// Reads the directory periodically. A node that others know learns from them of joins
    /// and departures. It reads the directory only to find nodes that a partition hides.
    async fn read_periodically(&self) {
        loop {
            sleep(jittered(self.read_interval())).await;
            self.read_with_retries(ReadAge::MayBeOld).await;
        }
    }

    /// Time between two reads of the directory; longer in a large fleet, whose list is
    /// longer.
    fn read_interval(&self) -> Duration {
        let alive = self.control.upgrade().map_or(0, |control| {
            control.with_agent(|agent| agent.membership().reachable_peers().count() + 1)
        });
        READ_INTERVAL * (1 + alive as u32 / NODES_PER_INTERVAL)
    }

    /// Executes the steps that the zone's snapshot requires from this node.
    async fn maintain_zone_snapshot(&self) {
        let mut backoff = Backoff::for_background();
        loop {
            sleep(jittered(STEP_INTERVAL)).await;
            let done = match self.next_step() {
                None => continue,
                Some(ZoneStep::Read { consistent }) => self.read_zones(consistent).await,
                Some(ZoneStep::Write(write)) => self.write(&write).await,
                Some(ZoneStep::Renew(lease)) => self.renew(lease).await,
            };
            match done {
                Ok(()) => backoff.reset(),
                Err(error) => self.delay(&mut backoff, &error).await,
            }
        }
    }

    /// Waits after a failed store request; only the first failure of a series is logged.
    async fn delay(&self, backoff: &mut Backoff, error: &PlatformError) {
        if backoff.has_no_failure() {
            tracing::warn!(zone = %self.zone, %error, "a request to the directory failed; retrying");
        }
        sleep(backoff.next_delay(error)).await;
    }

    /// Returns the next read or write that the zone's snapshot requires from this node, if
    /// any.
    fn next_step(&self) -> Option<ZoneStep> {
        let control = self.control.upgrade()?;
        let now = control.clock.now();
        control.with_agent(|agent| self.zone_directory().next_step(now, agent.membership()))
    }

    /// Reads the directory once, for a step of the zone's snapshot.
    async fn read_zones(&self, current: bool) -> Result<(), PlatformError> {
        let age = match current {
            true => ReadAge::Current,
            false => ReadAge::MayBeOld,
        };
        let read = self.read(age).await?;
        self.apply(read);
        Ok(())
    }

    /// Writes the snapshot of the zone.
    async fn write(&self, write: &ZoneWrite) -> Result<(), PlatformError> {
        let first = self.zone_directory().is_first();
        self.count_request("zone-write");
        let writing = self.directory.write_zone(&self.zone, write, SNAPSHOT_TTL);
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
            sleep(FIRST_READ_DELAY).await;
            return self.read_zones(true).await;
        }
        Ok(())
    }

    /// Renews the lease that keeps the snapshot of the zone.
    async fn renew(&self, lease: LeaseId) -> Result<(), PlatformError> {
        self.count_request("lease-renewal");
        let is_valid = within_era(&self.eras, self.directory.renew(lease)).await?;
        if let Some(control) = self.control.upgrade() {
            let now = control.clock.now();
            self.zone_directory().on_renewed(is_valid, now);
        }
        Ok(())
    }

    /// Persists queued departures one by one. The zone's snapshot contains them only
    /// seconds later.
    async fn write_departures(&self) {
        while let Ok(endpoint) = self.departures.recv().await {
            let departure = RecordedLeave {
                node: self.id.clone(),
                endpoint,
            };
            self.write_departure(&departure).await;
        }
    }

    /// Persists one departure of the local backend, with retries.
    async fn write_departure(&self, departure: &RecordedLeave) {
        let mut backoff = Backoff::default();
        for _ in 0..MAX_DEPARTURE_ATTEMPTS {
            self.count_request("leave-record");
            match self.directory.record_leave(departure).await {
                Ok(()) => return,
                Err(error) => self.delay(&mut backoff, &error).await,
            }
        }
        tracing::warn!("departure not persisted: the store failed all attempts");
    }

    /// Reads the directory, with retries until the store responds. The result may be some
    /// seconds old, since peers know the rest.
    async fn read_with_retries(&self, age: ReadAge) {
        let mut backoff = Backoff::default();
        loop {
            match self.read(age).await {
                Ok(read) => return self.apply(read),
                Err(error) => self.delay(&mut backoff, &error).await,
            }
        }
    }

    /// Reads the directory; `age` says whether the result may be some seconds old.
    async fn read(&self, age: ReadAge) -> Result<DirectoryRead, PlatformError> {
        self.count_request("directory-read");
        within_era(&self.eras, self.directory.read(age)).await
    }

    /// Applies the directory's nodes, departures and crashes that were read.
    fn apply(&self, read: DirectoryRead) {
        let Some(control) = self.control.upgrade() else {
            return;
        };
        let first = !self.listed.swap(true, Ordering::AcqRel);
        let machines: Vec<Machine> = read.machines().cloned().collect();
        control.on_machines(&machines);
        if first {
            self.restore_local_backend(&control, &read);
        }
        control.on_recorded_crashes(&read.crashes);
        let departures = read.leaves.iter().map(RecordedLeave::id);
        self.zone_directory().on_read(
            read.zones.get(&self.zone),
            departures,
            control.clock.now(),
            &mut rand::rng(),
        );
        self.log_unusable(&control, read.unusable);
        if first {
            // If the channel is full, a wake-up is pending already.
            let _ = control.document_wake.try_send(());
        }
    }

    /// Restores what an earlier process of this node knew of the local backend.
    fn restore_local_backend(&self, control: &Arc<Control>, read: &DirectoryRead) {
        let mine = read.machines().find(|machine| machine.id == self.id);
        let snapshot = mine.and_then(|machine| machine.endpoint.clone());
        let departures = read
            .leaves
            .iter()
            .filter(|departure| departure.node == self.id);
        let departures = departures.map(|departure| departure.endpoint.clone());
        if let Some(endpoint) = recorded_backend(snapshot, departures) {
            control.restore_backend(endpoint);
        }
    }

    /// Counts unusable items of the directory, and logs them when they change.
    fn log_unusable(&self, control: &Control, unusable: Findings) {
        control
            .metrics
            .unusable_entries
            .inc_by(unusable.len() as u64);
        let mut logged = lock(&self.logged_unusable);
        if *logged == unusable {
            return;
        }
        if !unusable.is_empty() {
            let items = unusable.len();
            let text: String = unusable
                .to_string()
                .chars()
                .take(MAX_FINDINGS_CHARS)
                .collect();
            tracing::warn!(items, findings = %text, "unusable items in the directory");
        }
        *logged = unusable;
    }

    /// Counts a store request by its kind.
    fn count_request(&self, kind: &'static str) {
        if let Some(control) = self.control.upgrade() {
            control.metrics.count_store_request(kind);
        }
    }

    /// Locks the decisions about the zone's snapshot.
    fn zone_directory(&self) -> MutexGuard<'_, ZoneDirectory> {
        lock(&self.zone_directory)
    }
}

/// Locks a mutex, also after a panic of another thread.
fn lock<T>(held: &Mutex<T>) -> MutexGuard<'_, T> {
    held.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// Varies an interval by 20 %, so that nodes don't act in step.
fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.8..1.2))
}
