//! Content-defined division of rows into packs.
//!
//! A pack ends before a row whose key hashes to a boundary, so boundaries depend
//! only on nearby keys: adding or removing a row changes one pack, or two if the
//! row is itself a boundary. Finding them needs no earlier publication.

use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use waxwingusher_core::rendezvous;

use super::{BlobDigest, MAX_VALUE_BYTES, Manifest, Pack, Publication, PublicationError};

/// The mean number of rows in a pack.
const MEAN_ROWS_PER_PACK: u64 = 128;

/// The size at which a pack ends regardless of its keys, in bytes before
/// compression.
const PACK_SPLIT_BYTES: usize = 256 * 1024;

/// The salt of the hash that determines boundaries.
const BOUNDARY_SALT: &str = "pack-cut";

/// The encoding of a pack's rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Encoding {
    /// Lines of JSON.
    Plain,
    /// Lines of JSON, compressed together with zlib.
    Zlib,
}

/// How rows are divided into packs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Packing {
    /// The mean number of rows in a pack.
    pub mean_rows_per_pack: u64,
    /// The encoding of a pack's rows.
    pub encoding: Encoding,
}

impl Default for Packing {
    fn default() -> Self {
        Self {
            mean_rows_per_pack: MEAN_ROWS_PER_PACK,
            encoding: Encoding::Zlib,
        }
    }
}

/// Encodes sorted rows as a publication.
pub fn publish_rows<R: Serialize>(
    version: u64,
    rows: impl Iterator<Item = (String, R)>,
    packing: Packing,
) -> Result<Publication, PublicationError> {
    let mut packs = Vec::new();
    let mut lines = Vec::new();
    for (key, row) in rows {
        let is_boundary =
            rendezvous::weight(BOUNDARY_SALT, &key).is_multiple_of(packing.mean_rows_per_pack);
        if !lines.is_empty() && (is_boundary || lines.len() > PACK_SPLIT_BYTES) {
            packs.push(pack_of(&lines, packing.encoding)?);
            lines.clear();
        }
        serde_json::to_writer(&mut lines, &row).map_err(|e| unencodable(&e))?;
        lines.push(b'\n');
    }
    if !lines.is_empty() {
        packs.push(pack_of(&lines, packing.encoding)?);
    }
    let manifest = Manifest {
        version,
        packs: packs.iter().map(|pack| pack.digest).collect(),
    };
    Ok(Publication {
        manifest: manifest.to_bytes()?.into(),
        packs,
    })
}

/// Decodes all rows of a publication after checking each pack's digest.
pub fn read_rows<R: DeserializeOwned>(
    manifest: &Manifest,
    packs: &[Pack],
) -> Result<Vec<R>, PublicationError> {
    let by_digest: HashMap<_, _> = packs.iter().map(|pack| (pack.digest, pack)).collect();
    let mut rows = Vec::new();
    for digest in &manifest.packs {
        let digest = *digest;
        let Some(pack) = by_digest.get(&digest) else {
            return Err(PublicationError::MissingPack { digest });
        };
        if BlobDigest::of(&pack.bytes) != digest {
            return Err(PublicationError::WrongDigest { digest });
        }
        read_pack(pack, &mut rows)?;
    }
    Ok(rows)
}

/// Returns an error if two rows have the same key.
pub fn reject_duplicate_keys(keys: impl Iterator<Item = String>) -> Result<(), PublicationError> {
    let mut seen = HashSet::new();
    for key in keys {
        if !seen.insert(key.clone()) {
            return Err(PublicationError::RepeatedRow { key });
        }
    }
    Ok(())
}

fn pack_of(lines: &[u8], encoding: Encoding) -> Result<Pack, PublicationError> {
    let bytes: Arc<[u8]> = match encoding {
        Encoding::Plain => Arc::from(lines),
        Encoding::Zlib => compress(lines)?.into(),
    };
    if bytes.len() > MAX_VALUE_BYTES {
        let size_bytes = bytes.len();
        return Err(PublicationError::TooLarge { size_bytes });
    }
    Ok(Pack::new(bytes))
}

fn compress(lines: &[u8]) -> Result<Vec<u8>, PublicationError> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::best());
    let written = encoder.write_all(lines).and_then(|()| encoder.finish());
    written.map_err(|e| unencodable(&e))
}

fn unencodable(cause: &impl ToString) -> PublicationError {
    PublicationError::Unencodable {
        message: cause.to_string(),
    }
}

fn read_pack<R: DeserializeOwned>(pack: &Pack, rows: &mut Vec<R>) -> Result<(), PublicationError> {
    let bad_pack = |message: String| PublicationError::BadPack {
        digest: pack.digest,
        message,
    };
    let mut lines = Vec::new();
    let limit = MAX_VALUE_BYTES as u64 + 1;
    if pack.bytes.first() == Some(&b'{') {
        lines.extend_from_slice(&pack.bytes);
    } else {
        let mut decoder = ZlibDecoder::new(&*pack.bytes).take(limit);
        decoder
            .read_to_end(&mut lines)
            .map_err(|e| bad_pack(e.to_string()))?;
    }
    if lines.len() > MAX_VALUE_BYTES {
        return Err(bad_pack(format!(
            "it has more than {MAX_VALUE_BYTES} bytes"
        )));
    }
    for line in lines.split(|b| *b == b'\n').filter(|line| !line.is_empty()) {
        rows.push(serde_json::from_slice(line).map_err(|e| bad_pack(e.to_string()))?);
    }
    Ok(())
}
