//! Identity of a request: a keyed digest of its content. A caller that retries sends the
//! same content under a new request id, so that only the identity shows which requests are
//! the same.
//!
//! The identity covers method, authority, path with query, and body, but not the caller: a
//! request that crashes a backend does so whoever sends it, and a caller that moves to
//! another machine must not appear as a new one.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Length of an identity in bytes: 128 bits, so that no second request with a given
/// identity can be found by search.
pub const IDENTITY_BYTES: usize = 16;
/// Context string that separates the key of identities from other keys derived from the
/// same secret.
const CONTEXT: &str = "rampthread 2026 request identity";

/// Keyed digest of a request's content; equal for requests with the same method, authority,
/// target and body.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestIdentity([u8; IDENTITY_BYTES]);

/// The text or bytes cannot be a request identity: they have another length, or the text is
/// not hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not the identity of a request: {IDENTITY_BYTES} bytes are wanted")]
pub struct InvalidIdentity;

impl RequestIdentity {
    /// Reads an identity in the binary form that nodes send to each other.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, InvalidIdentity> {
        bytes.try_into().map(Self).map_err(|_| InvalidIdentity)
    }

    /// Parses the hexadecimal form that logs and commands use.
    pub fn parse(text: &str) -> Result<Self, InvalidIdentity> {
        let mut bytes = [0; IDENTITY_BYTES];
        if text.len() != IDENTITY_BYTES * 2 || !text.is_ascii() {
            return Err(InvalidIdentity);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidIdentity)?;
        }
        Ok(Self(bytes))
    }

    /// The binary form that nodes send to each other.
    pub fn as_bytes(&self) -> &[u8; IDENTITY_BYTES] {
        &self.0
    }
}

impl fmt::Display for RequestIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl TryFrom<String> for RequestIdentity {
    type Error = InvalidIdentity;
    fn try_from(text: String) -> Result<Self, InvalidIdentity> {
        Self::parse(&text)
    }
}

impl From<RequestIdentity> for String {
    fn from(identity: RequestIdentity) -> String {
        identity.to_string()
    }
}

/// The parts of a request that its identity covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// HTTP method of the request, for example `GET`; hashed as sent, so that case matters.
    pub method: &'a str,
    /// Value of the request's `Host` header, as sent; empty if absent.
    pub authority: &'a str,
    /// Path and query of the request, as sent.
    pub target: &'a str,
    /// Complete body; requests with different bodies have different identities.
    pub body: &'a [u8],
}

/// Key with which a node computes identities. It is derived from a secret of the fleet, so
/// that a digest in a log reveals nothing of the request; all nodes must use the same key.
#[derive(Clone)]
pub struct IdentityKey([u8; blake3::KEY_LEN]);

impl IdentityKey {
    /// Derives the key from a secret that all nodes share.
    pub fn from_secret(secret: &[u8]) -> Self {
        Self(blake3::derive_key(CONTEXT, secret))
    }

    /// Hashes the content with the key. The same content gives the same identity at every
    /// node of the fleet.
    pub fn identify(&self, content: &RequestContent<'_>) -> RequestIdentity {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        let parts = [
            content.method.as_bytes(),
            content.authority.as_bytes(),
            content.target.as_bytes(),
            content.body,
        ];
        for part in parts {
            // The length prefix gives different digests if the same bytes are divided into
            // parts in another way.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut identity = [0; IDENTITY_BYTES];
        identity.copy_from_slice(&hasher.finalize().as_bytes()[..IDENTITY_BYTES]);
        RequestIdentity(identity)
    }
}

impl Default for IdentityKey {
    /// Key for a fleet whose nodes share no secret, since the network between them is
    /// trusted.
    fn default() -> Self {
        Self::from_secret(&[])
    }
}

impl fmt::Debug for IdentityKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("IdentityKey(..)")
    }
}
