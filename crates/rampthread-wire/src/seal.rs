//! Encryption and authentication of control messages with the fleet key.
//!
//! Layout: format (1 byte), key id (4), nonce (24), ciphertext and tag. The
//! plaintext begins with the sender's sequence number; the receiver's id is
//! authenticated too, so that a message cannot be redirected to another node.

use crate::keyring::Keyring;
use crate::replay::ReplayGuard;
use crate::{DecodeError, decode, encode};
use chacha20poly1305::aead::{Aead, Payload};
use chacha20poly1305::{KeyInit, XChaCha20Poly1305, XNonce};
use rampthread_core::fleet::Envelope;
use rampthread_core::ids::NodeId;
use rand::RngCore;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

const FORMAT: u8 = 1;
const KEY_ID_BYTES: usize = 4;
const NONCE_BYTES: usize = 24;
const SEQUENCE_BYTES: usize = 8;
const HEADER_BYTES: usize = 1 + KEY_ID_BYTES + NONCE_BYTES;
const PURPOSE: &str = "rampthread 2026 control messages";

/// Error of opening a sealed message, which is dropped then.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The input is not a sealed message.
    #[error("not a sealed control message")]
    Format,
    /// The message is sealed with a key that this node does not accept.
    #[error("sealed with an unknown key")]
    UnknownKey,
    /// The message was altered, or is for another node.
    #[error("the seal does not hold")]
    Seal,
    /// The message was received before, or is older than the replay window.
    #[error("seen before")]
    Replay,
    /// The decrypted content is not a message.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

/// A message that was decrypted and authenticated.
pub type Opened = Result<Envelope, OpenError>;

struct ControlKey {
    id: [u8; KEY_ID_BYTES],
    cipher: XChaCha20Poly1305,
}

/// Seals the messages that a node sends, and opens those that it receives.
pub struct Sealer {
    me: NodeId,
    keys: Vec<ControlKey>,
    sequence: AtomicU64,
    replay: Mutex<ReplayGuard>,
}

impl Sealer {
    /// Derives the keys for control messages of the node `me` from `keyring`.
    pub fn new(me: NodeId, keyring: &Keyring) -> Self {
        let keys = keyring
            .all()
            .map(|key| ControlKey {
                id: key.id(),
                cipher: XChaCha20Poly1305::new(&key.derive(PURPOSE).into()),
            })
            .collect();
        Self {
            me,
            keys,
            sequence: AtomicU64::new(1),
            replay: Mutex::new(ReplayGuard::default()),
        }
    }

    /// Seals `envelope` for the node `to`.
    pub fn seal(&self, to: &NodeId, envelope: &Envelope) -> Vec<u8> {
        let key = &self.keys[0];
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let mut plaintext = sequence.to_le_bytes().to_vec();
        plaintext.extend_from_slice(&encode(envelope));
        let mut nonce = [0_u8; NONCE_BYTES];
        rand::rng().fill_bytes(&mut nonce);
        let payload = Payload {
            msg: &plaintext,
            aad: to.as_str().as_bytes(),
        };
        let ciphertext = key
            .cipher
            .encrypt(XNonce::from_slice(&nonce), payload)
            .expect("messages are far below the cipher's length limit");
        let mut sealed = Vec::with_capacity(HEADER_BYTES + ciphertext.len());
        sealed.push(FORMAT);
        sealed.extend_from_slice(&key.id);
        sealed.extend_from_slice(&nonce);
        sealed.extend_from_slice(&ciphertext);
        sealed
    }

    /// Opens a message that was sealed for this node.
    pub fn open(&self, sealed: &[u8]) -> Opened {
        if sealed.len() < HEADER_BYTES || sealed[0] != FORMAT {
            return Err(OpenError::Format);
        }
        let (header, ciphertext) = sealed.split_at(HEADER_BYTES);
        let (key_id, nonce) = header[1..].split_at(KEY_ID_BYTES);
        let key = self
            .keys
            .iter()
            .find(|key| key.id == *key_id)
            .ok_or(OpenError::UnknownKey)?;
        let payload = Payload {
            msg: ciphertext,
            aad: self.me.as_str().as_bytes(),
        };
        let plaintext = key
            .cipher
            .decrypt(XNonce::from_slice(nonce), payload)
            .map_err(|_| OpenError::Seal)?;
        let (sequence, message) = plaintext
            .split_first_chunk::<SEQUENCE_BYTES>()
            .ok_or(OpenError::Format)?;
        let envelope = decode(message)?;
        let sequence = u64::from_le_bytes(*sequence);
        let mut replay = self
            .replay
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        if !replay.accept(&envelope.from, envelope.process_epoch, sequence) {
            return Err(OpenError::Replay);
        }
        Ok(envelope)
    }
}
