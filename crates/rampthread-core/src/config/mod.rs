//! Configuration model: resources, change sets, the change log and the state it produces.
//!
//! Operators submit a [`ChangeSet`], which is written to one slot of the change log; the
//! number of the slot is the [`Version`](crate::ids::Version). [`ConfigState::apply`] is
//! deterministic, so nodes that hold the same log hold the same state and reject the same
//! entries.

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
