//! The platform's key-value service.

use crate::error::PlatformError;
use async_trait::async_trait;
use std::time::Duration;

/// Result of a create-if-absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The key was absent and now has the value.
    Created,
    /// The key was there already; nothing changed.
    Exists,
}

/// Keys and values in order.
#[derive(Debug, Clone, Default)]
pub struct Range {
    /// The pairs.
    pub items: Vec<(String, Vec<u8>)>,
    /// The last key under the prefix, beyond any limit.
    pub last_key: Option<String>,
}

/// Result of a watch.
#[derive(Debug, Clone)]
pub enum WatchOutcome {
    /// Keys after the one named; empty when the wait ended first.
    Keys(Range),
    /// Keys right after the one named were removed.
    Compacted,
}

/// What rampthread needs of a key-value service.
#[async_trait]
pub trait Store: Send + Sync {
    /// Creates `key` if it is absent; it ends with `lease`, if one is named.
    async fn create(
        &self,
        key: &str,
        value: Vec<u8>,
        lease: Option<u64>,
    ) -> Result<CreateOutcome, PlatformError>;
    /// Reads `key`.
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError>;
    /// Removes `key`.
    async fn remove(&self, key: &str) -> Result<(), PlatformError>;
    /// Reads at most `limit` keys under `prefix` after the key `after`.
    async fn range(&self, prefix: &str, after: &str, limit: usize) -> Result<Range, PlatformError>;
    /// Waits until there are keys under `prefix` after the key `after`.
    async fn watch(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        wait: Duration,
    ) -> Result<WatchOutcome, PlatformError>;
    /// Grants a lease.
    async fn grant_lease(&self, ttl: Duration) -> Result<u64, PlatformError>;
    /// Renews a lease; false when it is gone.
    async fn renew_lease(&self, lease: u64) -> Result<bool, PlatformError>;
    /// Ends a lease and the keys under it.
    async fn end_lease(&self, lease: u64) -> Result<(), PlatformError>;
}
