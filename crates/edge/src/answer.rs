//! Answers to callers, complete or streamed.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use tokio::sync::mpsc;

/// Chunks of a body that may be queued between the worker and the event loop.
const MAX_QUEUED_CHUNKS: usize = 4;

/// The upstream's answer ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the upstream's answer ended early")]
pub struct TruncatedBody;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// A complete body.
    Complete(Bytes),
    /// A streamed body; an error or a missing end breaks the caller's connection.
    Stream(BodyReceiver),
}

/// The receiving end of a streamed body.
#[derive(Debug)]
pub struct BodyReceiver(pub(crate) mpsc::Receiver<BodyEvent>);

/// An event of a streamed body.
#[derive(Debug)]
pub(crate) enum BodyEvent {
    Chunk(Bytes),
    End,
}

/// The sending end of a streamed body. Dropping it before [`BodySender::finish`]
/// breaks the caller's connection, so that a truncated answer never looks
/// complete.
#[derive(Debug)]
pub struct BodySender(mpsc::Sender<BodyEvent>);

/// The caller no longer reads the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller disconnected")]
pub struct CallerDisconnected;

impl BodySender {
    /// Creates both ends of a streamed body.
    #[must_use]
    pub fn channel() -> (Self, AnswerBody) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        (Self(sender), AnswerBody::Stream(BodyReceiver(receiver)))
    }

    /// Sends a chunk. Blocks while the channel is full.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller no longer reads.
    pub fn send(&self, chunk: Bytes) -> Result<(), CallerDisconnected> {
        self.0
            .blocking_send(BodyEvent::Chunk(chunk))
            .map_err(|_| CallerDisconnected)
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller no longer reads.
    pub fn finish(self) -> Result<(), CallerDisconnected> {
        self.0
            .blocking_send(BodyEvent::End)
            .map_err(|_| CallerDisconnected)
    }
}

/// An answer to a caller.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}

impl Answer {
    /// Creates an answer with a complete body.
    #[must_use]
    pub fn complete(status: StatusCode, headers: HeaderMap, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers,
            body: AnswerBody::Complete(body.into()),
        }
    }
}
