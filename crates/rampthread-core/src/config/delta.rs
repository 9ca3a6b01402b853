//! Differences between configuration states, so that a peer that holds an earlier state
//! does not need a full snapshot.

use super::resource::{CallerLimits, Resource, ResourceKey};
use super::state::{ConfigState, StoredResource};
use crate::compression::{DecompressError, compress, decompress};
use crate::findings::Findings;
use crate::ids::Version;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Difference between two configuration states, sent to peers that hold the earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDelta {
    /// Version of the configuration state to which the delta applies.
    pub base: Version,
    /// Version of the configuration state that the delta produces.
    pub version: Version,
    /// Resources that the delta adds or replaces.
    put: Vec<Arc<Resource>>,
    /// Keys of the resources that the delta deletes.
    removed: Vec<ResourceKey>,
    /// Number of resources after the delta, by which the receiver verifies the result.
    resources: usize,
    /// Limits on callers' requests after the delta; `None` if the configuration sets none.
    caller_limits: Option<CallerLimits>,
    /// Content digest of the resulting state, absent from older nodes. Detects a base that
    /// has the same version but other content, which two concurrent writers may produce.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    digest: Option<String>,
}

/// Reason why a [`StateDelta`] could not be decoded or applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The decompressed bytes are not valid JSON of a [`StateDelta`].
    #[error("cannot decode the delta: {reason}")]
    Unreadable {
        /// Error message of the JSON decoder for the delta.
        reason: String,
    },
    /// The bytes could not be decompressed with zstd.
    #[error("cannot decompress the delta: {0}")]
    Decompress(#[from] DecompressError),
    /// The delta applies to another version than that of the configuration state it was to
    /// be applied to.
    #[error("the delta applies to version {base}, not to {held}")]
    BaseMismatch {
        /// Version of the configuration state for which the sender made the delta.
        base: Version,
        /// Version of the configuration state that the delta was to be applied to.
        held: Version,
    },
    /// The resulting state has another number of resources than the sender's state.
    #[error("the delta produces {found} resources, expected {expected}")]
    ResourceCountMismatch {
        /// Number of resources that applying the delta produced.
        found: usize,
        /// Number of resources in the sender's configuration state.
        expected: usize,
    },
    /// The content digest after the delta differs from the sender's, because the two nodes
    /// hold different states of the base version.
    #[error("the delta applies to different content of version {base}")]
    ContentMismatch {
        /// Version of which sender and receiver hold different states.
        base: Version,
    },
    /// The resulting state violates a rule of the configuration.
    #[error("the delta produces an invalid configuration: {findings}")]
    Invalid {
        /// Rules that the configuration state after the delta would violate.
        findings: Findings,
    },
}

impl StateDelta {
    /// Collects the resources that differ between `base` and `later`, and the content
    /// digest of `later` as a check.
    pub fn between(base: &ConfigState, later: &ConfigState) -> StateDelta {
        Self::with_digest(base, later, later.content_digest())
    }

    /// Like [`StateDelta::between`], with a precomputed content digest of `later`. The
    /// digest takes most of the time.
    pub fn with_digest(base: &ConfigState, later: &ConfigState, digest: String) -> StateDelta {
        let put = later
            .resources()
            .filter(|stored| !contains_equal(base, stored))
            .map(|stored| stored.resource.clone())
            .collect();
        let removed = base
            .resources()
            .map(|stored| stored.resource.key())
            .filter(|key| later.get(key).is_none())
            .collect();
        StateDelta {
            base: base.version(),
            version: later.version(),
            put,
            removed,
            resources: later.resources().count(),
            caller_limits: later.caller_limits().copied(),
            digest: Some(digest),
        }
    }

    /// Encodes the delta as zstd-compressed JSON, to send it to a peer.
    pub fn encode(&self) -> Vec<u8> {
        let content = serde_json::to_vec(self).expect("a delta is serializable as JSON");
        compress(&content)
    }

    /// Decodes the zstd-compressed JSON of a delta that a peer sent.
    pub fn decode(bytes: &[u8]) -> Result<StateDelta, DeltaError> {
        let content = decompress(bytes)?;
        serde_json::from_slice(&content).map_err(|error| DeltaError::Unreadable {
            reason: error.to_string(),
        })
    }

    /// Applies the delta to `base` and validates the resulting state. `base` is not
    /// modified.
    pub fn apply_to(&self, base: &ConfigState) -> Result<ConfigState, DeltaError> {
        if self.base != base.version() {
            return Err(DeltaError::BaseMismatch {
                base: self.base,
                held: base.version(),
            });
        }
        let later = base
            .with_changes(self.version, &self.put, &self.removed, self.caller_limits)
            .map_err(|findings| DeltaError::Invalid { findings })?;
        let found = later.resources().count();
        if found != self.resources {
            return Err(DeltaError::ResourceCountMismatch {
                found,
                expected: self.resources,
            });
        }
        let digest = self.digest.as_ref();
        if digest.is_some_and(|digest| *digest != later.content_digest()) {
            return Err(DeltaError::ContentMismatch { base: self.base });
        }
        Ok(later)
    }
}

/// True when `state` contains `stored` with equal content, whatever its generation.
fn contains_equal(state: &ConfigState, stored: &StoredResource) -> bool {
    state.get(&stored.resource.key()).is_some_and(|known| {
        Arc::ptr_eq(&known.resource, &stored.resource) || known.resource == stored.resource
    })
}
