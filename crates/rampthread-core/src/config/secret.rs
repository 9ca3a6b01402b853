//! Sealed form of a secret's value, the only form that is sent or stored.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Encrypted value of a secret, with the id of the key that sealed it.
///
/// Only a node's secret keeper can decrypt it. `Debug` does not print the ciphertext.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SealedValue {
    /// Id of the configured key that sealed the value. Two keys are accepted during a key
    /// rotation.
    pub key_id: String,
    /// Nonce and ciphertext, base64-encoded.
    pub ciphertext: String,
}

impl fmt::Debug for SealedValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SealedValue(key {}, sealed)", self.key_id)
    }
}
