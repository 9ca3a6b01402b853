//! Keeps this node's record in the directory and reads the others'.
//!
//! The directory only introduces nodes to each other: who is alive is the
//! membership's to say. A record ends with its lease, so that a machine that is
//! gone for good is forgotten.

use super::Control;
use super::document_watch::Backoff;
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
/// Time until the second read: nodes that started together have registered.
const SECOND_LIST: Duration = Duration::from_millis(700);

/// The loops that keep and read the directory.
pub(super) struct DirectoryKeeper {
    control: Weak<Control>,
    directory: Arc<dyn Directory>,
    me: Machine,
    registration: Mutex<Option<Registration>>,
}

impl DirectoryKeeper {
    pub(super) fn new(control: Weak<Control>, directory: Arc<dyn Directory>, me: Machine) -> Self {
        Self {
            control,
            directory,
            me,
            registration: Mutex::default(),
        }
    }

    /// Registers and renews for ever.
    pub(super) async fn keep_registered(self: Arc<Self>) {
        let mut backoff = Backoff::default();
        loop {
            match self.refresh().await {
                Ok(()) => {
                    backoff.succeeded();
                    sleep(jittered(RENEW_INTERVAL)).await;
                }
                Err(error) => sleep(backoff.next_pause(&error)).await,
            }
        }
    }

    async fn refresh(&self) -> Result<(), PlatformError> {
        self.count_request();
        if let Some(registration) = self.registration()
            && self.directory.renew(registration).await?
        {
            return Ok(());
        }
        self.set_registration(None);
        let registration = self.directory.register(&self.me, RECORD_LIFE).await?;
        self.set_registration(Some(registration));
        Ok(())
    }

    /// Reads the directory for ever.
    pub(super) async fn keep_listed(self: Arc<Self>) {
        let mut backoff = Backoff::default();
        let mut age = ListAge::Current;
        let mut pause = SECOND_LIST;
        loop {
            self.count_request();
            match self.directory.machines(age).await {
                Ok(machines) => {
                    backoff.succeeded();
                    if let Some(control) = self.control.upgrade() {
                        control.on_machines(&machines);
                    }
                    sleep(jittered(pause)).await;
                    pause = LIST_INTERVAL;
                    age = ListAge::MayBeOld;
                }
                Err(error) => sleep(backoff.next_pause(&error)).await,
            }
        }
    }

    /// Takes the record away, for a node that stops.
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
