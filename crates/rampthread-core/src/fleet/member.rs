//! Records that nodes exchange about cluster members and their backends.

use crate::ids::{InstanceId, NodeId, Region, ResourceName, SoftwareVersion, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Incarnation number of a node id (SWIM). A process starts with its wall clock in seconds, so
/// that a later run outranks an earlier one. It is incremented to refute suspicions and to
/// announce changes.
pub type Incarnation = u64;

/// State of a member according to the failure detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// The member answers probes.
    Alive,
    /// The member answered neither direct nor indirect probes.
    Suspect,
    /// The member stayed suspect until the suspicion timeout, and counts as failed.
    Dead,
    /// The member announced its departure.
    Left,
}

/// Roles and conditions that a node announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Hash, Serialize, Deserialize)]
pub struct Conditions {
    /// The store answers the node: it holds a lease to read the log there or, if the
    /// configuration is a document, its last call succeeded.
    pub reader: bool,
    /// The node accepts no new work for its backend.
    pub draining: bool,
    /// The node has an active configuration and serves calls.
    pub ready: bool,
    /// The backend of the node answers.
    pub backend_up: bool,
}

/// State of a backend as reported in its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Name of the incarnation. It differs for every start, even under the same id.
    pub instance: InstanceId,
    /// Service that the backend serves.
    pub service: ResourceName,
    /// Address at which the local node reaches the backend.
    pub address: SocketAddr,
    /// Number of calls that the backend can run concurrently.
    pub slots: u32,
    /// The backend is departing or has departed, and gets no new work.
    pub draining: bool,
    /// Sequence number of the heartbeat. Lower numbers are stale.
    pub sequence: u64,
    /// Remaining warm-up time in milliseconds, as of the heartbeat that last changed this
    /// record.
    pub cold_ms: u64,
    /// Software version, if the backend reports one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
    /// Relative speed of the backend as measured by its node, in percent of the service's usual
    /// speed: at 200 the same work takes half the time. Absent until measured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed_percent: Option<u16>,
}

/// Gossip record of a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Id of the member's node.
    pub id: NodeId,
    /// Address for peers: UDP for control messages, TCP for calls.
    pub address: SocketAddr,
    /// Zone of the member.
    pub zone: Zone,
    /// Region of the member.
    pub region: Region,
    /// Incarnation to which this record applies.
    pub incarnation: Incarnation,
    /// Result of failure detection at the node that sends the record.
    pub status: Status,
    /// Conditions announced by the member.
    pub conditions: Conditions,
    /// Local backend of the member. Absent if backends do not report their own state, or none
    /// has.
    pub endpoint: Option<EndpointRecord>,
}

impl MemberRecord {
    /// Returns true if this record replaces `known` (SWIM, section 4.2).
    pub fn outranks(&self, known: &MemberRecord) -> bool {
        if self.incarnation != known.incarnation {
            return self.incarnation > known.incarnation;
        }
        self.status > known.status
    }

    /// Returns true if the member may receive calls and messages.
    pub fn reachable(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }
}

/// A machine named in the platform's list or in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Id of the node on the machine.
    pub id: NodeId,
    /// Address of the node for peers.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: Zone,
    /// Region of the machine.
    pub region: Region,
    /// The platform is about to remove the machine.
    #[serde(default)]
    pub leaving: bool,
    /// Last reported state of the machine's backend. A restarted node restores it from its own
    /// entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointRecord>,
}
