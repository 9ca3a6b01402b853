//! Tenants: groups of callers with their keys and rate limits.
//!
//! Only digests of keys are kept: no version, message or log contains a key, and a key
//! cannot be recovered from its digest.

use crate::ids::ResourceName;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Length of the digest of a tenant's key in bytes, long enough to rule out collisions.
const DIGEST_BYTES: usize = 16;
/// Key derivation context that separates these digests from other digests of the same text.
const KEY_DERIVATION_CONTEXT: &str = "rampthread 2026 keys of tenants";
/// Maximum rate (requests per second) or burst (requests) of a tenant's limit.
const MAX_REQUESTS: f64 = 1e9;
/// Number of units in which a [`RequestCount`] counts one request.
const UNITS_PER_REQUEST: f64 = 1_000.0;

/// BLAKE3 digest of a tenant's key, which identifies the key without revealing it. `Debug`
/// and error messages do not show it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// Error for a text that is not a key digest. It does not contain the text, which may be a
/// key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not the digest of a key")]
pub struct InvalidKeyDigest;

impl KeyDigest {
    /// Derives the digest from the plaintext `key`.
    pub fn of(key: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(KEY_DERIVATION_CONTEXT);
        hasher.update(key.as_bytes());
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = InvalidKeyDigest;
    fn try_from(text: String) -> Result<Self, InvalidKeyDigest> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| InvalidKeyDigest)?;
        let bytes = bytes.try_into().map_err(|_| InvalidKeyDigest)?;
        Ok(Self(bytes))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        URL_SAFE_NO_PAD.encode(digest.0)
    }
}

/// A number of requests with a resolution of 1/1000, for rates and bursts of tenants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestCount(u64);

/// Error for a number that is negative, too large or not finite, and so is no
/// [`RequestCount`].
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{0} is not a number from 0 to 1000000000")]
pub struct InvalidRequestCount(pub f64);

impl RequestCount {
    /// True for zero requests, which as the rate of a tenant stands for "no limit".
    pub fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl TryFrom<f64> for RequestCount {
    type Error = InvalidRequestCount;
    fn try_from(requests: f64) -> Result<Self, InvalidRequestCount> {
        if !(0.0..=MAX_REQUESTS).contains(&requests) {
            return Err(InvalidRequestCount(requests));
        }
        let min = u64::from(requests > 0.0);
        Ok(Self(
            ((requests * UNITS_PER_REQUEST).round() as u64).max(min),
        ))
    }
}

impl From<RequestCount> for f64 {
    fn from(count: RequestCount) -> f64 {
        count.0 as f64 / UNITS_PER_REQUEST
    }
}

/// Rate limit of one tenant, summed over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Average number of requests per second that the tenant may send.
    pub rate: f64,
    /// Number of requests that the tenant may send beyond the rate after a period without
    /// requests.
    pub burst: f64,
}

/// A group of callers that is identified by its keys and shares one rate limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Unique among tenants; shown by the API and in metrics.
    pub name: ResourceName,
    /// Digests of the tenant's keys; calls with any of them count toward the same limit.
    pub keys: Vec<KeyDigest>,
    /// Priority of its calls when a backend is at capacity, instead of the priority of the
    /// route; 0 is the highest. `None` uses the priority of the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// Average number of requests per second that the tenant may send; 0 means no limit.
    #[serde(default, skip_serializing_if = "RequestCount::is_zero")]
    pub rate: RequestCount,
    /// Number of requests that the tenant may send beyond the rate after a period without
    /// requests.
    #[serde(default, skip_serializing_if = "RequestCount::is_zero")]
    pub burst: RequestCount,
}

impl Tenant {
    /// Rate limit of the tenant; `None` if its rate is 0, which means "no limit".
    pub fn limit(&self) -> Option<RateLimit> {
        let limit = RateLimit {
            rate: self.rate.into(),
            burst: self.burst.into(),
        };
        (!self.rate.is_zero()).then_some(limit)
    }
}
