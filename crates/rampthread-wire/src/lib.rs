//! Encoding of control messages: packed Cap'n Proto, then sealed.
//!
//! [`encode`] and [`decode`] translate between `rampthread-core` messages and
//! bytes, with limits on everything that is decoded. [`Sealer`] encrypts and
//! authenticates them with the fleet key and drops replayed messages. [`SecretKeeper`]
//! seals the values of secrets with a key derived from the same key ring.

#[allow(missing_docs, clippy::all, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/control_capnp.rs"]
mod control_capnp;

mod codec;
mod decode;
mod encode;
mod hop;
mod keyring;
mod load_message;
mod replay;
mod rollout_message;
mod seal;
mod secret;
mod token_message;

pub use codec::Codec;
pub use decode::{DecodeError, decode};
pub use encode::encode;
pub use hop::HopKeys;
pub use keyring::{FleetKey, InvalidKey, KEY_BYTES, Keyring};
pub use seal::{OpenError, Opened, Sealer};
pub use secret::{SecretError, SecretKeeper};

/// Maximum size of a sealed message that is sent as one datagram, in bytes: an Ethernet frame
/// less the IPv6 and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Maximum size of an encoded message that is accepted, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;
