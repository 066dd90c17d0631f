//! The published form of a configuration: a manifest with a version, and packs
//! of rows, which are addressed by the digest of their content.
//!
//! Because a manifest names its packs by content digest, packs of different
//! publications never mix: a pack that does not match its digest is rejected.

mod hosts;
mod manifest;
mod packing;

use std::sync::Arc;

use waxwingusher_core::ContentDigest;

pub use hosts::{assemble_hosts, publish_hosts};
pub use manifest::{MAX_VERSION, Manifest};
pub use packing::{Encoding, Packing};

use crate::model::Snapshot;
use crate::problem::{CheckErrors, Finding, Severity};
use crate::rows::{OrphanInstance, Row, rows_of, snapshot_of};
use crate::validate::validate;

/// The digest that names a manifest or a pack.
pub type BlobDigest = ContentDigest;

/// The largest published value, in bytes. The configuration service stores
/// values of up to one megabyte.
pub const MAX_VALUE_BYTES: usize = 512 * 1024;

/// The configuration service's key of the manifest.
pub const MANIFEST_KEY: &str = "config/manifest";

/// The prefix of the configuration service's keys of packs.
pub const PACK_KEY_PREFIX: &str = "config/pack/";

/// The configuration service's key of the host list.
pub const HOSTS_KEY: &str = "hosts";

/// A content-addressed part of a publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pack {
    /// The digest of the bytes.
    pub digest: BlobDigest,
    /// The content.
    pub bytes: Arc<[u8]>,
}

impl Pack {
    /// Creates a pack and computes its digest.
    #[must_use]
    pub fn new(bytes: Arc<[u8]>) -> Self {
        Self {
            digest: BlobDigest::of(&bytes),
            bytes,
        }
    }

    /// Returns the configuration service's key of a pack.
    #[must_use]
    pub fn service_key(digest: &BlobDigest) -> String {
        format!("{PACK_KEY_PREFIX}{digest}")
    }
}

/// The manifest and all packs of one published version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Publication {
    /// The manifest's bytes.
    pub manifest: Arc<[u8]>,
    /// The packs, in the order of the manifest.
    pub packs: Vec<Pack>,
}

/// A configuration cannot be published, or a publication is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PublicationError {
    /// A value is too large for the configuration service.
    #[error("a value of {size_bytes} bytes is larger than {MAX_VALUE_BYTES} bytes")]
    TooLarge {
        /// The value's size.
        size_bytes: usize,
    },
    /// A value cannot be encoded.
    #[error("a value cannot be encoded: {message}")]
    Unencodable {
        /// The encoder's message.
        message: String,
    },
    /// The manifest cannot be decoded.
    #[error("the manifest cannot be decoded: {message}")]
    BadManifest {
        /// The decoder's message.
        message: String,
    },
    /// The manifest's format is not supported.
    #[error("the manifest has format {format}, which this release does not support")]
    UnknownFormat {
        /// The format number.
        format: u32,
    },
    /// The version is out of range.
    #[error("version {version} is out of range, allowed are 1 to {MAX_VERSION}")]
    BadVersion {
        /// The version.
        version: u64,
    },
    /// A pack's content does not match its digest.
    #[error("the content of pack {digest} does not match its digest")]
    WrongDigest {
        /// The digest in the manifest.
        digest: BlobDigest,
    },
    /// A pack is missing.
    #[error("pack {digest} is missing")]
    MissingPack {
        /// The digest in the manifest.
        digest: BlobDigest,
    },
    /// A pack cannot be decoded.
    #[error("pack {digest} cannot be decoded: {message}")]
    BadPack {
        /// The pack.
        digest: BlobDigest,
        /// The decoder's message.
        message: String,
    },
    /// Two rows have the same key.
    #[error("`{key}` is published twice")]
    RepeatedRow {
        /// The row's key.
        key: String,
    },
    /// An instance belongs to no service.
    #[error(transparent)]
    OrphanInstance(#[from] OrphanInstance),
    /// The configuration fails its checks.
    #[error("the configuration fails its checks: {0}")]
    Rejected(CheckErrors),
    /// The same version was published before with different content.
    #[error("version {version} was published before with different content")]
    ChangedContent {
        /// The version.
        version: u64,
    },
}

/// Encodes a configuration in its published form. Equal configurations give
/// equal bytes.
///
/// # Errors
///
/// Returns an error if the version is out of range or a value is too large.
pub fn publish(snapshot: &Snapshot) -> Result<Publication, PublicationError> {
    publish_with(snapshot, Packing::default())
}

/// Encodes a configuration in its published form with a given packing.
///
/// # Errors
///
/// As [`publish`].
pub fn publish_with(
    snapshot: &Snapshot,
    packing: Packing,
) -> Result<Publication, PublicationError> {
    let rows = rows_of(snapshot);
    let entries = rows.iter().map(|row| (row.key(), row));
    packing::publish_rows(snapshot.version, entries, packing)
}

/// Decodes a configuration from a manifest and its packs, and validates it.
///
/// # Errors
///
/// Returns an error if a pack is missing, altered or not decodable, or if the
/// configuration fails its checks.
pub fn assemble(manifest: &Manifest, packs: &[Pack]) -> Result<Snapshot, PublicationError> {
    let rows: Vec<Row> = packing::read_rows(manifest, packs)?;
    packing::reject_duplicate_keys(rows.iter().map(Row::key))?;
    let snapshot = snapshot_of(manifest.version, rows)?;
    let findings: Vec<_> = validate(&snapshot)
        .into_iter()
        .filter(|violation| violation.severity == Severity::Error)
        .map(|violation| Finding {
            severity: violation.severity,
            location: None,
            problem: violation.problem,
        })
        .collect();
    if findings.is_empty() {
        return Ok(snapshot);
    }
    Err(PublicationError::Rejected(CheckErrors { findings }))
}
