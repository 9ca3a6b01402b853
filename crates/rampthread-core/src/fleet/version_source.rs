//! Where a node got a version of the configuration.

/// Where a node got a version of the configuration, which decides which peers it notifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionSource {
    /// The change log, directly or through a peer. Any node may be notified.
    Log,
    /// The document store. Other zones may not have the version yet.
    Store,
    /// A peer. Nodes that read the version from the store notify the other zones.
    Peer,
}
