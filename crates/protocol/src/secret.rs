//! The fleet secret and the authentication tags made with it.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

/// The shortest secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 32;

/// The length of an authentication tag, in bytes.
pub const TAG_BYTES: usize = 16;

// The block size of SHA-256, to which HMAC pads a shorter key with zeros.
const KEY_BYTES: usize = 64;

type Key = [u8; KEY_BYTES];

/// A secret that all hosts of the fleet share. It is never printed.
///
/// While the fleet rotates its secret, a host accepts tags made with a second
/// one as well. It makes tags with the first one only.
#[derive(Clone)]
pub struct FleetSecret {
    key: Key,
    accepted: Option<Key>,
}

/// The fleet secret is too short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a fleet secret must have at least {MIN_SECRET_BYTES} bytes, this one has {len_bytes}")]
pub struct SecretTooShort {
    /// The length of the given secret.
    pub len_bytes: usize,
}

impl FleetSecret {
    /// Derives the secret from the text of a setting.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is shorter than [`MIN_SECRET_BYTES`].
    pub fn new(text: &str) -> Result<Self, SecretTooShort> {
        if text.len() < MIN_SECRET_BYTES {
            return Err(SecretTooShort {
                len_bytes: text.len(),
            });
        }
        let digest = Sha256::digest(text.as_bytes());
        let mut key = [0; KEY_BYTES];
        key[..digest.len()].copy_from_slice(&digest);
        Ok(Self {
            key,
            accepted: None,
        })
    }

    /// Returns the secret with another one whose tags are accepted as well.
    #[must_use]
    pub fn accepting(&self, other: &Self) -> Self {
        Self {
            key: self.key,
            accepted: Some(other.key),
        }
    }

    /// Returns the tag of several parts, each hashed with its length.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let full = mac(&self.key, parts).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full[..TAG_BYTES]);
        tag
    }

    /// Returns whether the tag was made with an accepted secret. Each comparison
    /// takes constant time.
    pub(crate) fn is_valid_tag(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        if tag.len() != TAG_BYTES {
            return false;
        }
        let mut keys = std::iter::once(&self.key).chain(&self.accepted);
        keys.any(|key| mac(key, parts).verify_truncated_left(tag).is_ok())
    }
}

fn mac(key: &Key, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new(&(*key).into());
    for part in parts {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}
