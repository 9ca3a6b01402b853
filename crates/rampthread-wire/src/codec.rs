//! Encoding of messages between nodes as datagrams: sealed with the fleet key, or plain.
//!
//! Plain messages are for networks that only the operator's nodes reach, where a node without
//! any stored state must receive messages before it has read a key. See `docs/DESIGN.md`.

use crate::seal::{OpenError, Opened, Sealer};
use crate::{decode, encode};
use rampthread_core::fleet::Envelope;
use rampthread_core::ids::NodeId;

/// Encodes and decodes control messages.
pub enum Codec {
    /// Messages are encrypted and authenticated with the fleet key.
    Sealed(Box<Sealer>),
    /// Messages are neither encrypted nor authenticated.
    Plain,
}

impl Codec {
    /// Encodes `envelope` as a datagram for the node `to`.
    pub fn write(&self, to: &NodeId, envelope: &Envelope) -> Vec<u8> {
        match self {
            Codec::Sealed(sealer) => sealer.seal(to, envelope),
            Codec::Plain => encode(envelope),
        }
    }

    /// Decodes a datagram received from a peer.
    pub fn read(&self, bytes: &[u8]) -> Opened {
        match self {
            Codec::Sealed(sealer) => sealer.open(bytes),
            Codec::Plain => decode(bytes).map_err(OpenError::Decode),
        }
    }
}
