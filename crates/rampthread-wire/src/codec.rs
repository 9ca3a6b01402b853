//! How messages between nodes are made into datagrams: sealed with the fleet
//! key, or plain where the network between the nodes is the operator's own and
//! a node that has forgotten everything must be reachable before it can read a
//! key (`docs/DESIGN.md` weighs this).

use crate::seal::{OpenError, Opened, Sealer};
use crate::{decode, encode};
use rampthread_core::fleet::Envelope;
use rampthread_core::ids::NodeId;

/// Encodes and decodes control messages.
pub enum Codec {
    /// Encrypted and authenticated.
    Sealed(Box<Sealer>),
    /// Neither.
    Plain,
}

impl Codec {
    /// Encodes `envelope` for `to`.
    pub fn write(&self, to: &NodeId, envelope: &Envelope) -> Vec<u8> {
        match self {
            Codec::Sealed(sealer) => sealer.seal(to, envelope),
            Codec::Plain => encode(envelope),
        }
    }

    /// Decodes what a peer sent.
    pub fn read(&self, bytes: &[u8]) -> Opened {
        match self {
            Codec::Sealed(sealer) => sealer.open(bytes),
            Codec::Plain => decode(bytes).map_err(OpenError::Decode),
        }
    }
}
