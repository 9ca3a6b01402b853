//! Encryption of secrets' values, in the store and between nodes.

use crate::keyring::Keyring;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use chacha20poly1305::aead::{Aead, Payload};
use chacha20poly1305::{KeyInit, XChaCha20Poly1305, XNonce};
use rampthread_core::config::SealedValue;
use rampthread_core::ids::ResourceName;
use rand::RngCore;
use secrecy::{ExposeSecret, SecretString};
use zeroize::Zeroize;

const NONCE_BYTES: usize = 24;
const PURPOSE: &str = "rampthread 2026 secret values";

/// Error of opening a secret's sealed value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SecretError {
    /// The value is sealed with a key that this node does not accept.
    #[error("sealed with key {key_id}, which is not accepted here")]
    UnknownKey {
        /// Id of that key.
        key_id: String,
    },
    /// The value was altered, or is that of another secret.
    #[error("the seal of secret {name} does not hold")]
    Seal {
        /// Name of the secret.
        name: ResourceName,
    },
}

struct SecretKey {
    id: String,
    cipher: XChaCha20Poly1305,
}

/// Encrypts and decrypts the values of secrets.
pub struct SecretKeeper {
    keys: Vec<SecretKey>,
}

impl SecretKeeper {
    /// Derives the keys for secrets from `keyring`.
    pub fn new(keyring: &Keyring) -> Self {
        let keys = keyring
            .all()
            .map(|key| SecretKey {
                id: key.id_text(),
                cipher: XChaCha20Poly1305::new(&key.derive(PURPOSE).into()),
            })
            .collect();
        Self { keys }
    }

    /// Seals `value` as the value of the secret `name`.
    pub fn seal(&self, name: &ResourceName, value: &SecretString) -> SealedValue {
        let key = &self.keys[0];
        let mut nonce = [0_u8; NONCE_BYTES];
        rand::rng().fill_bytes(&mut nonce);
        let payload = Payload {
            msg: value.expose_secret().as_bytes(),
            aad: name.as_str().as_bytes(),
        };
        let ciphertext = key
            .cipher
            .encrypt(XNonce::from_slice(&nonce), payload)
            .expect("values are far below the cipher's length limit");
        let mut sealed = nonce.to_vec();
        sealed.extend_from_slice(&ciphertext);
        SealedValue {
            key_id: key.id.clone(),
            ciphertext: STANDARD.encode(sealed),
        }
    }

    /// Opens the value of the secret `name`.
    pub fn open(
        &self,
        name: &ResourceName,
        sealed: &SealedValue,
    ) -> Result<SecretString, SecretError> {
        let key = self
            .keys
            .iter()
            .find(|key| key.id == sealed.key_id)
            .ok_or_else(|| SecretError::UnknownKey {
                key_id: sealed.key_id.clone(),
            })?;
        let broken = || SecretError::Seal { name: name.clone() };
        let bytes = STANDARD.decode(&sealed.ciphertext).map_err(|_| broken())?;
        let (nonce, ciphertext) = bytes
            .split_first_chunk::<NONCE_BYTES>()
            .ok_or_else(broken)?;
        let payload = Payload {
            msg: ciphertext,
            aad: name.as_str().as_bytes(),
        };
        let plaintext = key
            .cipher
            .decrypt(XNonce::from_slice(nonce), payload)
            .map_err(|_| broken())?;
        String::from_utf8(plaintext)
            .map(SecretString::from)
            .map_err(|error| {
                error.into_bytes().zeroize();
                broken()
            })
    }
}
