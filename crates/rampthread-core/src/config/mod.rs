//! The configuration: resources, change sets, the log and its state.
//!
//! Operators send a [`ChangeSet`]. It is written whole into one slot of the
//! change log; the slot number is the [`Version`](crate::ids::Version).
//! [`ConfigState::apply`] is deterministic, so that every node that holds the
//! same log holds the same state and refuses the same entries.

mod change;
mod delta;
mod resource;
mod secret;
mod state;
mod tenant;
mod validate;

pub use crate::compression::{DecompressError, MAX_CONTENT_BYTES};
pub use change::{ChangeSet, EntryError, LogEntry, MAX_ENTRY_BYTES, Operation};
pub use delta::{DeltaError, StateDelta};
pub use resource::{
    Backend, CallerLimits, Destination, HeaderMatch, PathMatch, Repeatability, Resource,
    ResourceKey, ResourceKind, Route, Secret, Service, default_connections, default_max_attempts,
    default_priority, default_retry_percent, default_secret_header, default_slow_start_ms,
};
pub use secret::SealedValue;
pub use state::{ConfigState, Outcome, RecordedOperation, SnapshotError, StoredResource};
pub use tenant::{
    InvalidKeyDigest, InvalidRequestCount, KeyDigest, RateLimit, RequestCount, Tenant,
};
pub use validate::validate_resource;
