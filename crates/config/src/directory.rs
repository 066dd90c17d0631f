//! Publications stored in a directory.
//!
//! The directory contains the values under the configuration service's keys:
//! `config/manifest` and `config/pack/<digest>`.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde::Serialize;
use waxwingusher_core::ContentDigest;

use crate::model::Snapshot;
use crate::publication::{
    MANIFEST_KEY, Manifest, PACK_KEY_PREFIX, Pack, Publication, PublicationError, assemble, publish,
};

/// The version of the first publication.
const FIRST_VERSION: u64 = 1;

/// A directory cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum DirectoryError {
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The publication is invalid or cannot be created.
    #[error("{}: {source}", path.display())]
    Publication {
        /// The directory.
        path: PathBuf,
        /// The cause.
        source: PublicationError,
    },
}

/// The result of writing a publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct WriteSummary {
    /// The version that the directory contains.
    pub version: u64,
    /// Whether the version is new.
    pub is_new: bool,
    /// The number of packs of the version.
    pub packs: usize,
    /// The number of packs that were not present before.
    pub packs_written: usize,
    /// The total size of the packs that were not present before.
    pub bytes_written: usize,
}

/// Reads the publication in a directory, if there is one.
///
/// # Errors
///
/// Returns an error if a file cannot be read or the publication is invalid.
pub fn read_publication(dir: &Path) -> Result<Option<Snapshot>, DirectoryError> {
    let path = dir.join(MANIFEST_KEY);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(source) if source.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(DirectoryError::Io { path, source }),
    };
    let manifest = Manifest::parse(&bytes).map_err(|source| publication_error(dir, source))?;
    let mut packs = Vec::with_capacity(manifest.packs.len());
    for digest in &manifest.packs {
        let path = dir.join(Pack::service_key(digest));
        let bytes = fs::read(&path).map_err(|source| DirectoryError::Io { path, source })?;
        packs.push(Pack {
            digest: *digest,
            bytes: bytes.into(),
        });
    }
    let snapshot = assemble(&manifest, &packs).map_err(|source| publication_error(dir, source))?;
    Ok(Some(snapshot))
}

/// Writes a configuration with the next version, unless the directory already
/// contains an equal one.
///
/// Packs are written before the manifest, and each file is written atomically.
/// The packs of the previous version are kept for hosts that still read them;
/// older packs are removed.
///
/// # Errors
///
/// Returns an error if the previous publication is invalid or a file cannot be
/// written. The previous publication is then still in place.
pub fn write_publication(dir: &Path, snapshot: &Snapshot) -> Result<WriteSummary, DirectoryError> {
    let previous = read_publication(dir)?;
    let version = previous.as_ref().map_or(FIRST_VERSION, |old| old.version);
    let mut next = snapshot.clone();
    next.version = version;
    if previous.as_ref() == Some(&next) {
        return Ok(WriteSummary {
            version,
            is_new: false,
            packs: read_manifest(dir)?.map_or(0, |manifest| manifest.packs.len()),
            packs_written: 0,
            bytes_written: 0,
        });
    }
    if previous.is_some() {
        next.version += 1;
    }
    let publication = publish(&next).map_err(|source| publication_error(dir, source))?;
    write_values(dir, &publication, next.version)
}

fn write_values(
    dir: &Path,
    publication: &Publication,
    version: u64,
) -> Result<WriteSummary, DirectoryError> {
    let mut summary = WriteSummary {
        version,
        is_new: true,
        packs: publication.packs.len(),
        packs_written: 0,
        bytes_written: 0,
    };
    let mut kept: BTreeSet<ContentDigest> = publication.packs.iter().map(|p| p.digest).collect();
    if let Some(previous) = read_manifest(dir)? {
        kept.extend(previous.packs);
    }
    for pack in &publication.packs {
        let path = dir.join(Pack::service_key(&pack.digest));
        if fs::read(&path).is_ok_and(|bytes| *bytes == *pack.bytes) {
            continue;
        }
        write_atomically(&path, &pack.bytes)?;
        summary.packs_written += 1;
        summary.bytes_written += pack.bytes.len();
    }
    write_atomically(&dir.join(MANIFEST_KEY), &publication.manifest)?;
    remove_unreferenced_packs(dir, &kept)?;
    Ok(summary)
}

fn read_manifest(dir: &Path) -> Result<Option<Manifest>, DirectoryError> {
    let path = dir.join(MANIFEST_KEY);
    match fs::read(&path) {
        Ok(bytes) => Manifest::parse(&bytes)
            .map(Some)
            .map_err(|source| publication_error(dir, source)),
        Err(source) if source.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(DirectoryError::Io { path, source }),
    }
}

/// Writes a file atomically: under a temporary name first, which is renamed once
/// the content is on disk.
fn write_atomically(path: &Path, bytes: &[u8]) -> Result<(), DirectoryError> {
    let temporary = path.with_extension("tmp");
    let write = || {
        if let Some(parent) = path.parent() {
            fs::create_dir_all(parent)?;
        }
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, path)
    };
    write().map_err(|source| DirectoryError::Io {
        path: path.to_owned(),
        source,
    })
}

fn remove_unreferenced_packs(
    dir: &Path,
    kept: &BTreeSet<ContentDigest>,
) -> Result<(), DirectoryError> {
    let packs = dir.join(PACK_KEY_PREFIX);
    let io_error = |source| DirectoryError::Io {
        path: packs.clone(),
        source,
    };
    if !packs.exists() {
        return Ok(());
    }
    for entry in fs::read_dir(&packs).map_err(io_error)? {
        let entry = entry.map_err(io_error)?;
        let digest = entry.file_name().to_str().and_then(|n| n.parse().ok());
        if digest.is_none_or(|digest| kept.contains(&digest)) {
            continue;
        }
        fs::remove_file(entry.path()).map_err(io_error)?;
    }
    Ok(())
}

fn publication_error(path: &Path, source: PublicationError) -> DirectoryError {
    DirectoryError::Publication {
        path: path.to_owned(),
        source,
    }
}
