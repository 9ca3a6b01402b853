//! Options and dependencies of the control side.

use rampthread_core::call::identity::IdentityKey;
use rampthread_core::fleet::{AgentIdentity, FleetSettings, Machine};
use rampthread_platform::{
    Directory, DocumentSource, LogStore, MachineList, RolloutStore, StoreEras,
};
use rampthread_wire::Codec;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Error at the start of the control side.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The UDP socket for messages between nodes cannot be bound.
    #[error("cannot bind UDP {address}: {source}")]
    Bind {
        /// UDP address that was tried.
        address: SocketAddr,
        /// Error of the operating system, e.g. that the address is in use.
        source: std::io::Error,
    },
}

/// Options and dependencies of [`Control`](super::Control).
pub struct ControlOptions {
    /// Id and location of the node; `address` is the address to listen on.
    pub identity: AgentIdentity,
    /// Timing and limits of the protocols between nodes.
    pub fleet: FleetSettings,
    /// Nodes that are known at startup.
    pub seeds: Vec<Machine>,
    /// Secret key that hashes requests to their identities.
    pub identity_key: IdentityKey,
    /// Encodes and authenticates control messages.
    pub codec: Codec,
    /// Sources of the configuration and of the list of nodes.
    pub source: SourceOptions,
    /// Seed of the agent's random choices; tests set it to a fixed value.
    pub seed: u64,
}

/// Sources of the configuration and of the list of nodes.
pub enum SourceOptions {
    /// The built-in change log and a list of machines.
    ChangeLog {
        /// Executes requests to the change log.
        log_store: LogStore,
        /// The platform's list of the machines that run nodes.
        machines: Arc<dyn MachineList>,
        /// Time between two reads of the machine list by a log reader.
        machine_interval: Duration,
    },
    /// A configuration document and a directory of nodes, both in the platform's store.
    Document {
        /// Source of the operators' configuration document.
        documents: Arc<dyn DocumentSource>,
        /// Directory in which nodes find each other.
        directory: Arc<dyn Directory>,
        /// Store of rollouts; `None` if rollouts are disabled.
        roll_outs: Option<Arc<dyn RolloutStore>>,
        /// Eras of the store, a number that the store raises each time it is restored from
        /// an older backup.
        eras: Arc<StoreEras>,
    },
}
