//! The fleet's keys: one is used for new messages, and another one is accepted during key rotation.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rampthread_core::call::identity::IdentityKey;
use secrecy::{ExposeSecret, SecretBox};
use std::fmt;
use zeroize::Zeroize;

/// Length of a fleet key, in bytes.
pub const KEY_BYTES: usize = 32;
const KEY_ID_BYTES: usize = 4;
/// Derivation context of the key for request identities.
const IDENTITY_PURPOSE: &str = "rampthread 2026 key of request identities";

/// Error of parsing a fleet key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a key: {KEY_BYTES} bytes in base64 are wanted")]
pub struct InvalidKey;

/// One fleet key with its public id.
pub struct FleetKey {
    id: [u8; KEY_ID_BYTES],
    bytes: SecretBox<[u8; KEY_BYTES]>,
}

impl FleetKey {
    /// Parses a key from base64.
    pub fn from_base64(text: &str) -> Result<Self, InvalidKey> {
        let mut decoded = STANDARD.decode(text.trim()).map_err(|_| InvalidKey)?;
        let bytes = <[u8; KEY_BYTES]>::try_from(decoded.as_slice()).map_err(|_| InvalidKey);
        decoded.zeroize();
        Ok(Self::from_bytes(bytes?))
    }

    /// Wraps raw key bytes.
    pub fn from_bytes(bytes: [u8; KEY_BYTES]) -> Self {
        let hash = blake3::derive_key("rampthread 2026 key id", &bytes);
        let mut id = [0; KEY_ID_BYTES];
        id.copy_from_slice(&hash[..KEY_ID_BYTES]);
        Self {
            id,
            bytes: SecretBox::new(Box::new(bytes)),
        }
    }

    /// Returns the key's id, which is sent unencrypted with each message sealed by the key.
    pub fn id(&self) -> [u8; KEY_ID_BYTES] {
        self.id
    }

    /// Returns the id in hexadecimal.
    pub fn id_text(&self) -> String {
        self.id.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Derives a key for one purpose, so that no key is used for two.
    pub(crate) fn derive(&self, purpose: &str) -> [u8; KEY_BYTES] {
        blake3::derive_key(purpose, self.bytes.expose_secret())
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "FleetKey({})", self.id_text())
    }
}

/// Fleet keys that a node accepts, beginning with the one that it uses for new messages.
#[derive(Debug)]
pub struct Keyring {
    keys: Vec<FleetKey>,
}

impl Keyring {
    /// Creates a key ring that seals with `current` and also opens messages sealed with `accepted`.
    pub fn new(current: FleetKey, accepted: Vec<FleetKey>) -> Self {
        let mut keys = vec![current];
        keys.extend(accepted);
        Self { keys }
    }

    /// Returns the key for new messages.
    pub fn current(&self) -> &FleetKey {
        &self.keys[0]
    }

    /// Returns the key for request identities. During key rotation nodes that use different keys
    /// compute different identities of the same request, and count its crashes separately.
    pub fn identity_key(&self) -> IdentityKey {
        IdentityKey::from_secret(&self.current().derive(IDENTITY_PURPOSE))
    }

    /// Returns all accepted keys, beginning with the one for new messages.
    pub fn all(&self) -> impl Iterator<Item = &FleetKey> {
        self.keys.iter()
    }
}
