//! What a control side is made of.

use rampthread_core::call::identity::IdentityKey;
use rampthread_core::fleet::{AgentIdentity, FleetSettings, Machine};
use rampthread_platform::{
    Directory, DocumentSource, LogStore, MachineList, RolloutStore, StoreEras,
};
use rampthread_wire::Codec;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Why the control side cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The datagram socket cannot be bound.
    #[error("cannot bind UDP {address}: {source}")]
    Bind {
        /// Where.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
}

/// What a control side is made of.
pub struct ControlOptions {
    /// Who the node is; `address` is where it listens.
    pub identity: AgentIdentity,
    /// Intervals of the protocol.
    pub fleet: FleetSettings,
    /// Nodes to begin with.
    pub seeds: Vec<Machine>,
    /// Names requests by what they ask for.
    pub identity_key: IdentityKey,
    /// Encodes messages.
    pub codec: Codec,
    /// Where the configuration and the other nodes are found.
    pub source: SourceOptions,
    /// Seed of the agent's random choices.
    pub seed: u64,
}

/// Where the configuration and the other nodes are found.
pub enum SourceOptions {
    /// The product's change log and a machine list.
    ChangeLog {
        /// Carries out store requests.
        log_store: LogStore,
        /// The platform's machine list.
        machines: Arc<dyn MachineList>,
        /// Time between two looks of a reader at the machine list.
        machine_interval: Duration,
    },
    /// A document and a directory, both in the platform's store.
    Document {
        /// The operators' document.
        documents: Arc<dyn DocumentSource>,
        /// Where nodes find each other.
        directory: Arc<dyn Directory>,
        /// Decisions on roll-outs; none where orders are not carried out.
        roll_outs: Option<Arc<dyn RolloutStore>>,
        /// The eras of the store behind all of these.
        eras: Arc<StoreEras>,
    },
}
