//! Errors of the stand-ins.

use std::io;

/// An error of a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// A socket or thread could not be created.
    #[error("cannot open a socket or start a thread: {0}")]
    Io(#[from] io::Error),
    /// A value is larger than the configuration service accepts.
    #[error("a value of {len_bytes} bytes exceeds the limit of {limit_bytes} bytes")]
    TooLarge {
        /// The value's size.
        len_bytes: usize,
        /// The largest size that is accepted.
        limit_bytes: usize,
    },
    /// A host list could not be serialized as JSON.
    #[error("cannot serialize the host list: {0}")]
    Json(#[from] serde_json::Error),
}
