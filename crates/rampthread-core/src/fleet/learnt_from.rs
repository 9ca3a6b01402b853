//! Where a node has a version from.

/// Where a version was learnt, which decides whom a node tells of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LearntFrom {
    /// The change log, or a peer that follows it: any node tells any other.
    Log,
    /// The store that holds the document: other zones may not know it.
    Store,
    /// A peer: other zones were told by whoever has it from the store.
    Peer,
}
