//! The change log, its snapshots and the readers' leases, kept in a [`Store`].
//!
//! Keys: `log/NNNNNNNNNNNNNNNNNNNN` (create-if-absent decides the order),
//! `snapshot/N…`, `reader/P`. Numbers have 20 digits, so that the order of the
//! keys is the order of the versions.

use crate::error::PlatformError;
use crate::store::{CreateOutcome, Range, Store, WatchOutcome};
use rampthread_core::config::ConfigState;
use rampthread_core::fleet::{SharedBytes, StoreAnswer, StoreFailure, StoreRequest};
use rampthread_core::ids::{NodeId, Version};
use std::sync::Arc;

const LOG_PREFIX: &str = "log/";
const SNAPSHOT_PREFIX: &str = "snapshot/";
const READER_PREFIX: &str = "reader/";
/// Entries read at once.
const READ_LIMIT: usize = 256;
/// Removals per snapshot, so that none takes long.
const REMOVE_LIMIT: usize = 256;

fn log_key(version: Version) -> String {
    format!("{LOG_PREFIX}{:020}", version.0)
}

fn snapshot_key(version: Version) -> String {
    format!("{SNAPSHOT_PREFIX}{:020}", version.0)
}

fn version_of(key: &str, prefix: &str) -> Option<Version> {
    key.strip_prefix(prefix)?.parse().ok().map(Version)
}

/// Carries out an agent's store requests.
#[derive(Clone)]
pub struct LogStore {
    store: Arc<dyn Store>,
    owner: NodeId,
}

impl LogStore {
    /// Requests are made in the name of `owner`.
    pub fn new(store: Arc<dyn Store>, owner: NodeId) -> Self {
        Self { store, owner }
    }

    /// Carries out one request.
    pub async fn execute(&self, request: StoreRequest) -> Result<StoreAnswer, StoreFailure> {
        let result = match request {
            StoreRequest::AcquireLease { reader_slot, ttl } => self.acquire(reader_slot, ttl).await,
            StoreRequest::RenewLease { lease } => self.renew(lease).await,
            StoreRequest::ReleaseLease { lease, .. } => self.release(lease).await,
            StoreRequest::Append { version, entry } => self.append(version, entry).await,
            StoreRequest::ReadLog { after } => self.read(after).await,
            StoreRequest::WatchLog { after, wait } => self.watch(after, wait).await,
            StoreRequest::ReadSnapshot => self.read_snapshot().await,
            StoreRequest::WriteSnapshot {
                version,
                snapshot,
                truncate_to,
            } => self.write_snapshot(version, snapshot, truncate_to).await,
        };
        result.map_err(|error| {
            tracing::debug!(%error, "store request failed");
            to_failure(&error)
        })
    }

    async fn acquire(
        &self,
        reader_slot: usize,
        ttl: std::time::Duration,
    ) -> Result<StoreAnswer, PlatformError> {
        let key = format!("{READER_PREFIX}{reader_slot}");
        if self.store.get(&key).await?.is_some() {
            return Ok(StoreAnswer::LeaseTaken);
        }
        let lease = self.store.grant_lease(ttl).await?;
        let value = self.owner.as_str().as_bytes().to_vec();
        match self.store.create(&key, value, Some(lease)).await? {
            CreateOutcome::Created => Ok(StoreAnswer::LeaseGranted { lease }),
            CreateOutcome::Exists => {
                self.store.end_lease(lease).await?;
                Ok(StoreAnswer::LeaseTaken)
            }
        }
    }

    async fn renew(&self, lease: u64) -> Result<StoreAnswer, PlatformError> {
        if self.store.renew_lease(lease).await? {
            Ok(StoreAnswer::LeaseKept)
        } else {
            Ok(StoreAnswer::LeaseLost)
        }
    }

    async fn release(&self, lease: u64) -> Result<StoreAnswer, PlatformError> {
        self.store.end_lease(lease).await?;
        Ok(StoreAnswer::LeaseKept)
    }

    async fn append(
        &self,
        version: Version,
        entry: SharedBytes,
    ) -> Result<StoreAnswer, PlatformError> {
        let outcome = self
            .store
            .create(&log_key(version), entry.to_vec(), None)
            .await?;
        Ok(match outcome {
            CreateOutcome::Created => StoreAnswer::Appended,
            CreateOutcome::Exists => StoreAnswer::SlotTaken,
        })
    }

    async fn read(&self, after: Version) -> Result<StoreAnswer, PlatformError> {
        let range = self
            .store
            .range(LOG_PREFIX, &log_key(after), READ_LIMIT)
            .await?;
        Ok(entries(range, after))
    }

    async fn watch(
        &self,
        after: Version,
        wait: std::time::Duration,
    ) -> Result<StoreAnswer, PlatformError> {
        let outcome = self
            .store
            .watch(LOG_PREFIX, &log_key(after), READ_LIMIT, wait)
            .await?;
        Ok(match outcome {
            WatchOutcome::Keys(range) => entries(range, after),
            WatchOutcome::Compacted => StoreAnswer::Truncated,
        })
    }

    async fn read_snapshot(&self) -> Result<StoreAnswer, PlatformError> {
        let mut after = String::new();
        let mut newest = None;
        loop {
            let range = self
                .store
                .range(SNAPSHOT_PREFIX, &after, READ_LIMIT)
                .await?;
            let Some((key, value)) = range.items.into_iter().next_back() else {
                break;
            };
            let last = range.last_key.as_ref() == Some(&key);
            newest = Some(value);
            after = key;
            if last {
                break;
            }
        }
        Ok(StoreAnswer::Snapshot(newest.map(SharedBytes::from)))
    }

    /// Entries go only behind a snapshot that was read back and checked.
    async fn write_snapshot(
        &self,
        version: Version,
        snapshot: SharedBytes,
        truncate_to: Version,
    ) -> Result<StoreAnswer, PlatformError> {
        let key = snapshot_key(version);
        self.store.create(&key, snapshot.to_vec(), None).await?;
        let read_back = self.store.get(&key).await?.unwrap_or_default();
        let readable =
            ConfigState::decode_snapshot(&read_back).is_ok_and(|state| state.version() == version);
        if !readable {
            return Err(PlatformError::Protocol {
                reason: format!("snapshot {version} cannot be read back"),
            });
        }
        self.remove_up_to(LOG_PREFIX, truncate_to).await?;
        self.remove_up_to(SNAPSHOT_PREFIX, truncate_to).await?;
        Ok(StoreAnswer::SnapshotWritten)
    }

    async fn remove_up_to(&self, prefix: &str, last: Version) -> Result<(), PlatformError> {
        let range = self.store.range(prefix, prefix, REMOVE_LIMIT).await?;
        for (key, _) in range.items {
            if version_of(&key, prefix).is_some_and(|version| version <= last) {
                self.store.remove(&key).await?;
            }
        }
        Ok(())
    }
}

/// Entries right after `after`; a gap means that they were removed.
fn entries(range: Range, after: Version) -> StoreAnswer {
    let head = range
        .last_key
        .as_deref()
        .and_then(|key| version_of(key, LOG_PREFIX))
        .unwrap_or(Version::ZERO);
    let first = after.next();
    let mut wanted = first;
    let mut entries = Vec::with_capacity(range.items.len());
    for (key, value) in range.items {
        if version_of(&key, LOG_PREFIX) != Some(wanted) {
            if entries.is_empty() {
                return StoreAnswer::Truncated;
            }
            break;
        }
        wanted = wanted.next();
        entries.push(SharedBytes::from(value));
    }
    StoreAnswer::Entries {
        first,
        entries,
        head,
    }
}

fn to_failure(error: &PlatformError) -> StoreFailure {
    match error {
        PlatformError::NotRun { retry_after, .. } => StoreFailure::NotRun {
            retry_after: *retry_after,
        },
        PlatformError::Unknown { .. }
        | PlatformError::Silent { .. }
        | PlatformError::Protocol { .. } => StoreFailure::Unknown,
    }
}
