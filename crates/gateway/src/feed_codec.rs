//! The encoded form of changes between hosts of protocol 3.
//!
//! A field that is added to a type in here changes the encoding, so it needs a new
//! protocol and messages of their own; a test compares the encoding with a recorded one.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use waxwingusher_upstreams::RosterChange;

use crate::feed_delta::ConfigurationDelta;
use crate::feed_source::EvacuationChange;

/// The largest content of one message; with the headers it fits into a datagram without
/// fragmentation.
pub const MAX_PART_BYTES: usize = 1_200;
/// The largest delta that is sent; hosts request a larger change as a document.
pub const MAX_DELTA_BYTES: usize = 8_000;
/// The largest decoded changes of one message.
const MAX_DECODED_BYTES: u64 = 256 * 1024;
/// The shortest encoding that is compressed.
const MIN_COMPRESSED_BYTES: usize = 200;

/// The first byte of encoded changes.
const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;

/// A change as it is sent to peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum WireChange {
    /// The difference between the configuration and its predecessor.
    Configuration(Box<ConfigurationDelta>),
    /// A configuration was published that hosts request as a document.
    Document {
        /// The version.
        version: u64,
        /// The digest of the configuration.
        digest: u64,
    },
    /// A configuration was published that cannot be read, for this reason.
    Unreadable(String),
    /// An instance's entry changed.
    Roster(RosterChange),
    /// An evacuation was ordered or taken back.
    Evacuation(EvacuationChange),
}

/// A change as it is sent to peers, and its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisedWireChange {
    /// The revision.
    pub revision: u64,
    /// The change.
    pub change: WireChange,
}

/// Encoded changes cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The compressed form is damaged or too large.
    #[error("the compressed form is damaged: {0}")]
    Compression(#[from] std::io::Error),
    /// The first byte names no known form.
    #[error("the form {0} is not known")]
    UnknownForm(u8),
    /// The content is longer than accepted.
    #[error("the content is longer than {0} bytes")]
    TooLong(u64),
    /// The content is malformed.
    #[error("the content is malformed: {0}")]
    Content(#[from] postcard::Error),
}

/// Encodes changes, compressed if that is shorter.
///
/// # Errors
///
/// Returns an error if a value has no encoding.
pub fn encode(changes: &[RevisedWireChange]) -> Result<Vec<u8>, CodecError> {
    if changes.is_empty() {
        return Ok(Vec::new());
    }
    let plain = postcard::to_allocvec(changes)?;
    let form = |kind, content: &[u8]| [&[kind], content].concat();
    if plain.len() < MIN_COMPRESSED_BYTES {
        return Ok(form(PLAIN, &plain));
    }
    let deflated = deflate(&plain)?;
    if deflated.len() < plain.len() {
        Ok(form(DEFLATED, &deflated))
    } else {
        Ok(form(PLAIN, &plain))
    }
}

/// Decodes changes.
///
/// # Errors
///
/// Returns an error if the bytes are malformed, or longer than 256 KiB when decoded.
pub fn decode(bytes: &[u8]) -> Result<Vec<RevisedWireChange>, CodecError> {
    let Some((form, content)) = bytes.split_first() else {
        return Ok(Vec::new());
    };
    match *form {
        PLAIN => Ok(postcard::from_bytes(content)?),
        DEFLATED => Ok(postcard::from_bytes(&inflate(content, MAX_DECODED_BYTES)?)?),
        other => Err(CodecError::UnknownForm(other)),
    }
}

/// Compresses bytes.
///
/// # Errors
///
/// Returns an error if the compressor fails.
pub fn deflate(bytes: &[u8]) -> Result<Vec<u8>, CodecError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    Ok(encoder.finish()?)
}

/// Decompresses at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns an error if the bytes are damaged or the result is longer.
pub fn inflate(bytes: &[u8], max_bytes: u64) -> Result<Vec<u8>, CodecError> {
    let mut inflated = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(max_bytes + 1);
    decoder.read_to_end(&mut inflated)?;
    if inflated.len() as u64 > max_bytes {
        return Err(CodecError::TooLong(max_bytes));
    }
    Ok(inflated)
}

/// Some changes and their encoding.
#[derive(Debug)]
pub struct EncodedPart<'a> {
    /// The changes.
    pub changes: &'a [RevisedWireChange],
    /// Their encoding.
    pub bytes: Vec<u8>,
}

/// Splits changes into parts whose encoding fits into one datagram. A single change that
/// does not is a part of its own.
///
/// # Errors
///
/// Returns an error if a value has no encoding.
pub fn into_parts(changes: &[RevisedWireChange]) -> Result<Vec<EncodedPart<'_>>, CodecError> {
    let mut parts = Vec::new();
    let mut pending = vec![changes];
    while let Some(changes) = pending.pop() {
        let bytes = encode(changes)?;
        if bytes.len() <= MAX_PART_BYTES || changes.len() <= 1 {
            parts.push(EncodedPart { changes, bytes });
            continue;
        }
        let (first, second) = changes.split_at(changes.len() / 2);
        pending.push(second);
        pending.push(first);
    }
    Ok(parts)
}
