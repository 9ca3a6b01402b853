//! Where a node got a version of the configuration.

/// Where a node got a version of the configuration. This determines to which peers the node
/// announces the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionSource {
    /// The change log, directly or through a peer. This node notifies peers in all zones.
    Log,
    /// The document store. This node notifies its own zone and also some nodes of other zones,
    /// which may not have the version yet.
    Store,
    /// A peer. This node notifies only its own zone, since nodes that read the version from the
    /// store notify the other zones.
    Peer,
}
