//! Tokens that authenticate a call forwarded between nodes as coming from a fleet member.

use crate::keyring::{KEY_BYTES, Keyring};
use rampthread_core::ids::NodeId;
use zeroize::Zeroize;

const PURPOSE: &str = "rampthread 2026 call hops";

/// Creates and verifies hop tokens: keyed hashes of the receiving node and the call id. A replayed
/// call has the same call id and is rejected by the fence table.
pub struct HopKeys {
    keys: Vec<[u8; KEY_BYTES]>,
}

impl HopKeys {
    /// Derives the hop keys from the keys in `keyring`.
    pub fn new(keyring: &Keyring) -> Self {
        let keys = keyring.all().map(|key| key.derive(PURPOSE)).collect();
        Self { keys }
    }

    /// Returns the token of a call forwarded to `receiver`.
    pub fn token(&self, receiver: &NodeId, call_id: &str) -> String {
        hash(&self.keys[0], receiver, call_id).to_hex().to_string()
    }

    /// Returns whether `token` was created with an accepted key.
    pub fn accepts(&self, receiver: &NodeId, call_id: &str, token: &str) -> bool {
        let Ok(token) = blake3::Hash::from_hex(token.as_bytes()) else {
            return false;
        };
        // blake3::Hash compares in constant time.
        self.keys
            .iter()
            .any(|key| hash(key, receiver, call_id) == token)
    }
}

impl Drop for HopKeys {
    fn drop(&mut self) {
        self.keys.zeroize();
    }
}

fn hash(key: &[u8; KEY_BYTES], receiver: &NodeId, call_id: &str) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(receiver.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(call_id.as_bytes());
    hasher.finalize()
}
