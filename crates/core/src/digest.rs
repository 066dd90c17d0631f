//! SHA-256 digests of keys and of request bodies.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The prefix of a key digest in a configuration file.
pub const DIGEST_PREFIX: &str = "sha256:";

const SHA256_BYTES: usize = 32;

/// The digest of a caller's key. The key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; SHA256_BYTES]);

/// The text is not a key digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a key digest must be `sha256:` and 64 hexadecimal digits")]
pub struct ParseKeyDigestError;

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of_key(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Compares two digests in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Parses the format that [`fmt::Display`] writes.
    ///
    /// # Errors
    ///
    /// Returns an error unless the text is the prefix and 64 hexadecimal digits.
    pub fn parse(text: &str) -> Result<Self, ParseKeyDigestError> {
        let hex = text
            .strip_prefix(DIGEST_PREFIX)
            .ok_or(ParseKeyDigestError)?;
        if hex.len() != 2 * SHA256_BYTES || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseKeyDigestError);
        }
        let mut bytes = [0; SHA256_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let digits = &hex[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseKeyDigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(DIGEST_PREFIX)?;
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

/// A digest of a request's method, target and body.
///
/// Its `Debug` output, with the type's name, is hashed into request fingerprints
/// that hosts exchange, so it must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BodyDigest([u8; 16]);

impl BodyDigest {
    /// Returns the digest of a request. Each part is hashed with its length, so
    /// that bytes cannot move from one part to the next.
    #[must_use]
    pub fn of_request(method: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), target.as_bytes(), body] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let full: [u8; SHA256_BYTES] = hasher.finalize().into();
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&full[..16]);
        Self(truncated)
    }
}
