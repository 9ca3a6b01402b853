//! Change sets, which operators submit, and the log entries in which the change log stores them.

use super::resource::{Resource, ResourceKey};
use crate::ids::{NodeId, OperationId, Version};
use serde::{Deserialize, Serialize};

/// Maximum size of an encoded log entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = 1 << 20;

/// One step of a change set: creating, replacing or deleting a resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "action", deny_unknown_fields)]
pub enum Operation {
    /// Creates the resource, or replaces the resource of the same kind and name.
    Put {
        /// Complete new content of the resource.
        resource: Box<Resource>,
        /// Generation that the resource must currently have (`If-Match`); `Version(0)`
        /// requires that it does not exist.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        if_generation: Option<Version>,
    },
    /// Deletes a resource; the change set is rejected if the resource does not exist or
    /// others refer to it.
    Delete {
        /// Kind and name of the resource to delete.
        key: ResourceKey,
        /// Generation that the resource must currently have (`If-Match`).
        #[serde(default, skip_serializing_if = "Option::is_none")]
        if_generation: Option<Version>,
    },
}

impl Operation {
    /// Kind and name of the resource that the operation creates, replaces or deletes.
    pub fn key(&self) -> ResourceKey {
        match self {
            Operation::Put { resource, .. } => resource.key(),
            Operation::Delete { key, .. } => key.clone(),
        }
    }
}

/// Operations that an operator submits together and that are applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// Idempotency key of the change: unique across nodes, and equal in repeated
    /// submissions.
    pub operation_id: OperationId,
    /// Operations in the order in which they are applied.
    pub operations: Vec<Operation>,
}

/// Content of one slot of the change log: a change set and the node that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// Id of the node that wrote the entry as a log reader; shown by `explain`.
    pub author: NodeId,
    /// Change set of the operator, which is applied completely or not at all.
    pub change: ChangeSet,
}

/// Reason why the bytes in a slot of the change log are not a valid [`LogEntry`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The encoded entry is larger than [`MAX_ENTRY_BYTES`].
    #[error("entry of {length} bytes is larger than {MAX_ENTRY_BYTES}")]
    TooLarge {
        /// Length of the rejected log entry, in bytes.
        length: usize,
    },
    /// The encoded entry is not valid JSON of a [`LogEntry`].
    #[error("unreadable entry: {reason}")]
    Unreadable {
        /// Error message of the JSON decoder for the log entry.
        reason: String,
    },
}

impl LogEntry {
    /// Encodes the log entry as JSON, the format in which the store holds it.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a log entry is serializable as JSON")
    }

    /// Decodes a log entry that was read from the store or received from a peer.
    pub fn decode(bytes: &[u8]) -> Result<LogEntry, EntryError> {
        if bytes.len() > MAX_ENTRY_BYTES {
            return Err(EntryError::TooLarge {
                length: bytes.len(),
            });
        }
        serde_json::from_slice(bytes).map_err(|error| EntryError::Unreadable {
            reason: error.to_string(),
        })
    }
}
