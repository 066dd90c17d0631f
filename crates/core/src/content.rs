//! Digests that name published content.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const CONTENT_DIGEST_BYTES: usize = 16;

/// The first 128 bits of the SHA-256 digest of published bytes.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentDigest([u8; CONTENT_DIGEST_BYTES]);

/// The text is not a content digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a content digest must be 32 lower-case hexadecimal digits")]
pub struct ParseContentDigestError;

impl ContentDigest {
    /// Returns the digest of published bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let full: [u8; 32] = Sha256::digest(bytes).into();
        let mut truncated = [0; CONTENT_DIGEST_BYTES];
        truncated.copy_from_slice(&full[..CONTENT_DIGEST_BYTES]);
        Self(truncated)
    }

    /// Returns the first eight bytes, for comparisons in which a collision is
    /// harmless.
    #[must_use]
    pub fn prefix(&self) -> [u8; 8] {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.0[..8]);
        prefix
    }
}

impl FromStr for ContentDigest {
    type Err = ParseContentDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 2 * CONTENT_DIGEST_BYTES || !text.bytes().all(is_digit) {
            return Err(ParseContentDigestError);
        }
        let mut bytes = [0; CONTENT_DIGEST_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseContentDigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
