//! The protocol of the stand-ins: plain HTTP with JSON, keys in the path.

use serde::{Deserialize, Serialize};

/// Paths of the store and the machine list.
pub mod paths {
    /// `PUT`, `GET`, `DELETE` on one key.
    pub const KEY: &str = "/v1/key/";
    /// `GET` on a prefix.
    pub const RANGE: &str = "/v1/range";
    /// `GET`, waits for changes under a prefix.
    pub const WATCH: &str = "/v1/watch";
    /// `POST` grants a lease; `POST` and `DELETE` below it renew and end one.
    pub const LEASE: &str = "/v1/lease";
    /// `GET` the machine list.
    pub const MACHINES: &str = "/v1/machines";
    /// `GET` a back end's health.
    pub const HEALTH: &str = "/health";
}

/// Query of a create.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CreateQuery {
    /// The key ends with this lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// Query of a lease grant.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseQuery {
    /// Life of the lease, in milliseconds.
    pub ttl_ms: u64,
}

/// Answer to a lease grant.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantedLease {
    /// The lease.
    pub id: u64,
}

/// Query of a range read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RangeQuery {
    /// Keys that begin with this.
    pub prefix: String,
    /// Only keys after this one.
    #[serde(default)]
    pub after: String,
    /// At most this many.
    pub limit: usize,
}

/// One key and its value, as text.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value, base64.
    pub value: String,
}

/// Answer to a range read.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RangeReply {
    /// Keys in order.
    pub items: Vec<KeyValue>,
    /// The last key under the prefix, limit or not.
    pub last_key: Option<String>,
}

/// Query of a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchQuery {
    /// Keys that begin with this.
    pub prefix: String,
    /// Only keys after this one.
    pub after: String,
    /// Longest wait, in milliseconds.
    pub wait_ms: u64,
    /// At most this many keys.
    pub limit: usize,
}

/// Answer to a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WatchReply {
    /// Keys after the one named; empty when the wait ended.
    Keys(RangeReply),
    /// Keys right after the one named were removed.
    Compacted,
}
