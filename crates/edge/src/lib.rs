//! The callers' HTTP edge and the client that forwards to upstreams.
//!
//! Callers are served by one event loop ([`CallerEdge`]), which hands every
//! complete request to a bounded ring. Workers take requests from the ring and
//! forward them with the blocking [`UpstreamClient`].

pub mod answer;
pub mod call;
pub mod exchange;
mod head_guard;
pub mod headers;
pub mod server;
mod transport;
pub mod upstream;

pub use answer::{Answer, AnswerBody, BodyCut, BodySender};
pub use call::CallControl;
pub use exchange::{CallerRequest, Exchange, Reply, RequestId};
pub use server::{CallerEdge, EdgeError, EdgeSettings};
pub use upstream::{UpstreamAnswer, UpstreamBody, UpstreamCall, UpstreamClient, UpstreamError};
