//! What can go wrong in a stand-in.

use std::io;

/// An error of a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// A socket could not be opened.
    #[error("socket: {0}")]
    Io(#[from] io::Error),
    /// A value is larger than the service holds.
    #[error("a value of {len_bytes} bytes is over the limit of {limit_bytes} bytes")]
    TooLarge {
        /// The value's size.
        len_bytes: usize,
        /// The largest size that is accepted.
        limit_bytes: usize,
    },
    /// A host list could not be written as JSON.
    #[error("host list: {0}")]
    Json(#[from] serde_json::Error),
}
