//! Keeps this node's record in the directory and reads the others'.
//!
//! The directory only introduces nodes to each other: who is alive is the
//! membership's to say. A record ends with its lease, so that a machine that is
//! gone for good is forgotten; it outlasts a restart, so that a node finds in
//! it what its last life knew of the back end beside it.

use super::Control;
use super::backoff::Backoff;
use async_std::future::timeout;
use async_std::task::sleep;
use rampthread_core::fleet::Machine;
use rampthread_platform::{Directory, ListAge, PlatformError, Registration};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// Life of a record without renewal. It outlasts a restart.
const RECORD_LIFE: Duration = Duration::from_secs(30);
/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(8);
/// Time between two reads of the whole directory.
const LIST_INTERVAL: Duration = Duration::from_secs(6);
/// For each so many nodes, the reads are one interval further apart.
const NODES_PER_INTERVAL: u32 = 50;
/// Time until the second read: nodes that started together have registered.
const SECOND_LIST: Duration = Duration::from_millis(700);

/// The loops that keep and read the directory.
pub(super) struct DirectoryKeeper {
    control: Weak<Control>,
    directory: Arc<dyn Directory>,
    me: Machine,
    registration: Mutex<Option<Registration>>,
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
        self.list(ListAge::Current).await;
        futures_lite::future::zip(self.keep_registered(), self.keep_listed()).await;
    }

    /// Writes the record whenever it has changed or its lease is over, and renews
    /// the lease otherwise.
    async fn keep_registered(&self) {
        let mut backoff = Backoff::default();
        let mut written = false;
        loop {
            let kept = if written {
                self.renew().await
            } else {
                self.write().await.map(|()| true)
            };
            match kept {
                Ok(true) => {
                    backoff.succeeded();
                    let changed = timeout(jittered(RENEW_INTERVAL), self.changes.recv()).await;
                    written = changed.is_err();
                }
                Ok(false) => written = false,
                Err(error) => sleep(backoff.next_pause(&error)).await,
            }
        }
    }

    /// Writes the record, under the present lease if it is still there.
    async fn write(&self) -> Result<(), PlatformError> {
        let Some(control) = self.control.upgrade() else {
            return Ok(());
        };
        control.metrics.store_requests.inc();
        let me = Machine {
            endpoint: control.with_agent(|agent| agent.endpoint().cloned()),
            ..self.me.clone()
        };
        if let Some(registration) = self.registration()
            && self.directory.update(registration, &me).await?
        {
            return Ok(());
        }
        self.set_registration(None);
        let registration = self.directory.register(&me, RECORD_LIFE).await?;
        self.set_registration(Some(registration));
        Ok(())
    }

    /// Renews the lease; false when there is none any more.
    async fn renew(&self) -> Result<bool, PlatformError> {
        let Some(registration) = self.registration() else {
            return Ok(false);
        };
        self.count_request();
        let renewed = self.directory.renew(registration).await?;
        if !renewed {
            self.set_registration(None);
        }
        Ok(renewed)
    }

    async fn keep_listed(&self) {
        sleep(jittered(SECOND_LIST)).await;
        loop {
            self.list(ListAge::MayBeOld).await;
            sleep(jittered(self.list_interval())).await;
        }
    }

    /// A large fleet reads a long list: it does so less often.
    fn list_interval(&self) -> Duration {
        let alive = self
            .control
            .upgrade()
            .map_or(0, |control| control.endpoints().alive);
        LIST_INTERVAL * (1 + alive as u32 / NODES_PER_INTERVAL)
    }

    /// Reads the directory until it answers.
    async fn list(&self, age: ListAge) {
        let mut backoff = Backoff::default();
        loop {
            self.count_request();
            match self.directory.machines(age).await {
                Ok(machines) => return self.take(&machines),
                Err(error) => sleep(backoff.next_pause(&error)).await,
            }
        }
    }

    fn take(&self, machines: &[Machine]) {
        let Some(control) = self.control.upgrade() else {
            return;
        };
        control.on_machines(machines);
        let mine = machines.iter().find(|machine| machine.id == self.me.id);
        if let Some(endpoint) = mine.and_then(|machine| machine.endpoint.clone())
            && self.registration().is_none()
        {
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
        *self
            .registration
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    fn set_registration(&self, registration: Option<Registration>) {
        *self
            .registration
            .lock()
            .unwrap_or_else(|broken| broken.into_inner()) = registration;
    }
}

fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.8..1.2))
}
