//! A caller's request together with the place for its answer.

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
    /// The random number of the host's process.
    pub incarnation: u64,
    /// The count of the request within the process.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation, self.sequence)
    }
}

/// A request that was read whole.
#[derive(Debug)]
pub struct CallerRequest {
    /// The request's identity.
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
    /// When the request had been read.
    pub received_at: Instant,
    /// Cancelled when the caller hangs up.
    pub cancel: CancelToken,
}

/// The place for one answer.
#[derive(Debug)]
pub struct Reply(oneshot::Sender<Answer>);

impl Reply {
    /// Creates a place for an answer, and the end at which it arrives.
    #[must_use]
    pub(crate) fn new() -> (Self, oneshot::Receiver<Answer>) {
        let (sender, receiver) = oneshot::channel();
        (Self(sender), receiver)
    }

    /// Hands the answer to the caller, if it still waits.
    pub fn send(self, answer: Answer) {
        // A caller that hung up needs no answer.
        drop(self.0.send(answer));
    }
}

/// A request and the place for its answer.
#[derive(Debug)]
pub struct Exchange {
    /// The request.
    pub request: CallerRequest,
    /// The place for the answer.
    pub reply: Reply,
}
