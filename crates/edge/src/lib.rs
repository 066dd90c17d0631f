//! The HTTP server for callers and the HTTP client for upstreams.
//!
//! One event loop ([`CallerEdge`]) serves all callers and puts every complete
//! request into a bounded queue. Workers take requests from the queue and forward
//! them with the blocking [`UpstreamClient`].

pub mod answer;
pub mod call;
pub mod exchange;
pub mod headers;
mod recording_stream;
pub mod server;
mod transport;
pub mod upstream;

pub use answer::{Answer, AnswerBody, BodySender, TruncatedBody};
pub use call::CallControl;
pub use exchange::{AnswerSender, CallerRequest, Exchange, RequestId};
pub use server::{CallerEdge, DrainPlan, EdgeError, EdgeSettings};
pub use upstream::{UpstreamAnswer, UpstreamBody, UpstreamCall, UpstreamClient, UpstreamError};
