//! What changes from one whole state to a later one, so that a peer that holds
//! the earlier one need not be sent everything.

use super::resource::{CallerLimits, Resource, ResourceKey};
use super::state::{ConfigState, StoredResource};
use crate::compression::{DecompressError, compress, decompress};
use crate::findings::Findings;
use crate::ids::Version;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The difference between two states.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDelta {
    /// The state that it applies to.
    pub base: Version,
    /// The state that it leads to.
    pub version: Version,
    /// Resources that are new or changed.
    put: Vec<Arc<Resource>>,
    /// Resources that are gone.
    removed: Vec<ResourceKey>,
    /// Resources in the later state, as a check.
    resources: usize,
    /// Limits of the later state.
    caller_limits: Option<CallerLimits>,
    /// Digest of the later state's content: two writers may have used the number of the
    /// base. None from a node that does not know of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    digest: Option<String>,
}

/// Why a delta was not applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The bytes cannot be read.
    #[error("unreadable delta: {reason}")]
    Unreadable {
        /// What the decoder found.
        reason: String,
    },
    /// The bytes cannot be unpacked.
    #[error("unreadable delta: {0}")]
    Decompress(#[from] DecompressError),
    /// It applies to another version.
    #[error("the delta applies to version {base}, not to {held}")]
    BaseMismatch {
        /// What it applies to.
        base: Version,
        /// What is held.
        held: Version,
    },
    /// The result has another number of resources than the sender's.
    #[error("the delta leads to {found} resources in place of {expected}")]
    ResourceCountMismatch {
        /// Resources after it.
        found: usize,
        /// Resources that the sender has.
        expected: usize,
    },
    /// The base has another content here than at the sender.
    #[error("the delta applies to another state of version {base}")]
    ContentMismatch {
        /// Version of the base.
        base: Version,
    },
    /// The result breaks a rule of the configuration.
    #[error("the delta breaks a rule: {findings}")]
    Invalid {
        /// What is wrong.
        findings: Findings,
    },
}

impl StateDelta {
    /// What leads from `base` to `later`.
    pub fn between(base: &ConfigState, later: &ConfigState) -> StateDelta {
        Self::with_digest(base, later, later.content_digest())
    }

    /// The same where the content digest of `later` is known: it takes 3.1 of 4.6 ms
    /// for 3,000 routes (release build, mean of 20).
    pub fn with_digest(base: &ConfigState, later: &ConfigState, digest: String) -> StateDelta {
        let put = later
            .resources()
            .filter(|stored| !holds(base, stored))
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

    /// Encodes it for a peer, compressed.
    pub fn encode(&self) -> Vec<u8> {
        let content = serde_json::to_vec(self).expect("deltas hold only types that JSON can carry");
        compress(&content)
    }

    /// Reads what a peer sent.
    pub fn decode(bytes: &[u8]) -> Result<StateDelta, DeltaError> {
        let content = decompress(bytes)?;
        serde_json::from_slice(&content).map_err(|error| DeltaError::Unreadable {
            reason: error.to_string(),
        })
    }

    /// The later state, whole, or the reason why there is none.
    pub fn apply_to(&self, base: &ConfigState) -> Result<ConfigState, DeltaError> {
        if self.base != base.version() {
            return Err(DeltaError::BaseMismatch {
                base: self.base,
                held: base.version(),
            });
        }
        let later = base
            .changed(self.version, &self.put, &self.removed, self.caller_limits)
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

fn holds(state: &ConfigState, stored: &StoredResource) -> bool {
    state.get(&stored.resource.key()).is_some_and(|known| {
        Arc::ptr_eq(&known.resource, &stored.resource) || known.resource == stored.resource
    })
}
