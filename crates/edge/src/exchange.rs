//! A caller's request and the channel for its answer.

use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method};
use tokio::sync::oneshot;
use waxwingusher_core::CancelToken;

use crate::answer::Answer;

/// Identifies one request in logs and answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// The random number that identifies the host's process.
    pub incarnation: u64,
    /// The number of the request within the process.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation, self.sequence)
    }
}

/// A complete request.
#[derive(Debug)]
pub struct CallerRequest {
    /// The request's identifier.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub target: PathAndQuery,
    /// All headers as the caller sent them.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The caller's address.
    pub caller: SocketAddr,
    /// When the complete request had been read.
    pub received_at: Instant,
    /// Cancelled when the caller disconnects.
    pub cancel: CancelToken,
}

/// The sending end of the channel for one answer.
#[derive(Debug)]
pub struct AnswerSender(oneshot::Sender<Answer>);

impl AnswerSender {
    /// Creates the channel for one answer.
    #[must_use]
    pub(crate) fn new() -> (Self, oneshot::Receiver<Answer>) {
        let (sender, receiver) = oneshot::channel();
        (Self(sender), receiver)
    }

    /// Sends the answer, unless the caller has disconnected.
    pub fn send(self, answer: Answer) {
        // An error means that the caller has disconnected.
        drop(self.0.send(answer));
    }
}

/// A request and the channel for its answer.
#[derive(Debug)]
pub struct Exchange {
    /// The request.
    pub request: CallerRequest,
    /// Sends the answer.
    pub reply: AnswerSender,
}
