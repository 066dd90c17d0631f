//! The manifest of a publication.

use serde::{Deserialize, Serialize};

use super::{BlobDigest, MAX_VALUE_BYTES, PublicationError};

/// The manifest format that this release writes and reads.
const FORMAT: u32 = 1;

/// The highest version. JSON readers that parse numbers as 64-bit floats keep it
/// exact, and each accepted version still has successors.
pub const MAX_VERSION: u64 = 1 << 52;

/// The version and the packs of a publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    /// The version, which only increases.
    pub version: u64,
    /// The packs in the order of their rows.
    pub packs: Vec<BlobDigest>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ManifestText {
    format: u32,
    version: u64,
    packs: Vec<String>,
}

impl Manifest {
    /// Parses the bytes of a manifest.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes cannot be decoded or the version is out of
    /// range.
    pub fn parse(bytes: &[u8]) -> Result<Self, PublicationError> {
        if bytes.len() > MAX_VALUE_BYTES {
            let size_bytes = bytes.len();
            return Err(PublicationError::TooLarge { size_bytes });
        }
        let bad_manifest = |message: String| PublicationError::BadManifest { message };
        let text: ManifestText =
            serde_json::from_slice(bytes).map_err(|e| bad_manifest(e.to_string()))?;
        let format = text.format;
        if format != FORMAT {
            return Err(PublicationError::UnknownFormat { format });
        }
        check_version(text.version)?;
        let digests = text.packs.iter().map(|digest| digest.parse());
        let packs = digests.collect::<Result<_, _>>().map_err(
            |e: waxwingusher_core::content::ParseContentDigestError| bad_manifest(e.to_string()),
        )?;
        Ok(Self {
            version: text.version,
            packs,
        })
    }

    /// Encodes the manifest.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is out of range or there are too many
    /// packs for one value.
    pub fn to_bytes(&self) -> Result<Vec<u8>, PublicationError> {
        check_version(self.version)?;
        let text = ManifestText {
            format: FORMAT,
            version: self.version,
            packs: self.packs.iter().map(ToString::to_string).collect(),
        };
        let bytes = serde_json::to_vec(&text).map_err(|e| PublicationError::Unencodable {
            message: e.to_string(),
        })?;
        if bytes.len() > MAX_VALUE_BYTES {
            let size_bytes = bytes.len();
            return Err(PublicationError::TooLarge { size_bytes });
        }
        Ok(bytes)
    }
}

fn check_version(version: u64) -> Result<(), PublicationError> {
    if (1..=MAX_VERSION).contains(&version) {
        return Ok(());
    }
    Err(PublicationError::BadVersion { version })
}
