//! The client that forwards one request to one instance of an upstream.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, StatusCode, Uri, Version};
use ureq::config::AutoHeaderValue;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::{Agent, AsSendBody, Body, SendBody};
use waxwingusher_core::CancelToken;

use crate::call::CallControl;
use crate::headers;
use crate::transport::UpstreamConnector;

/// Idle connections that are kept per instance.
const MAX_IDLE_PER_INSTANCE: usize = 4;
/// Idle connections that are kept in all.
const MAX_IDLE: usize = 256;
/// How long a connection may be idle before it is closed.
const MAX_IDLE_AGE: Duration = Duration::from_secs(10);
/// The longest head of an answer.
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;
/// The most bytes of an answer that are read at once.
const CHUNK_BYTES: usize = 64 * 1024;
/// The longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// One request to one instance.
#[derive(Debug)]
pub struct UpstreamCall {
    /// The instance's address.
    pub addr: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub target: PathAndQuery,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The time left until the answer must be complete.
    pub timeout: Duration,
    /// Whether the request may use a pooled connection. A request that must not
    /// be retried uses a new connection.
    pub may_use_pool: bool,
    /// Cancelled when the caller disconnects.
    pub cancel: CancelToken,
}

/// Why a call gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UpstreamError {
    /// No connection could be opened; nothing was sent.
    #[error("no connection: {0}")]
    Connect(Arc<str>),
    /// The check before the first byte refused the call; nothing was sent.
    #[error("refused by the check before the first byte")]
    SendRefused,
    /// The caller disconnected.
    #[error("cancelled because the caller disconnected")]
    Cancelled {
        /// Whether a byte may have been sent.
        was_sent: bool,
    },
    /// The timeout expired.
    #[error("no answer in time")]
    Timeout {
        /// Whether a byte may have been sent.
        was_sent: bool,
    },
    /// The connection ended before the answer was complete.
    #[error("connection ended before the answer was complete: {cause}")]
    ConnectionLost {
        /// Whether a byte may have been sent.
        was_sent: bool,
        /// What the transport reported.
        cause: Arc<str>,
    },
    /// The status ends no request: it announces a further answer, or HTTP does not have it.
    #[error("the answer has the status {0}, which is no final one")]
    NotFinal(StatusCode),
    /// The answer has no framing, so a truncated one would look complete.
    #[error("the answer has neither Content-Length nor Transfer-Encoding")]
    Unframed,
}

impl UpstreamError {
    /// Reports whether a byte of the request may have reached the upstream.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        match self {
            Self::Connect(_) | Self::SendRefused => false,
            Self::Cancelled { was_sent }
            | Self::Timeout { was_sent }
            | Self::ConnectionLost { was_sent, .. } => *was_sent,
            Self::NotFinal(_) | Self::Unframed => true,
        }
    }
}

/// The head of an answer and its unread body.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// The status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The unread body.
    pub body: UpstreamBody,
}

/// The unread body of an answer.
pub struct UpstreamBody {
    reader: ureq::BodyReader<'static>,
    control: Arc<CallControl>,
}

/// Forwards requests to instances.
#[derive(Debug, Clone)]
pub struct UpstreamClient {
    pooled: Agent,
    unpooled: Agent,
}

impl Default for UpstreamClient {
    fn default() -> Self {
        Self::new()
    }
}

impl UpstreamClient {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pooled: new_agent(MAX_IDLE, MAX_IDLE_PER_INSTANCE),
            unpooled: new_agent(0, 0),
        }
    }

    /// Sends the request and reads the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether a byte may have been sent.
    pub fn send(
        &self,
        call: UpstreamCall,
        control: &Arc<CallControl>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let control_to_cancel = control.clone();
        call.cancel.on_cancel(move || control_to_cancel.cancel());
        let result = self.exchange(call, control);
        if result.is_err() {
            control.finish();
        }
        result
    }

    fn exchange(
        &self,
        call: UpstreamCall,
        control: &Arc<CallControl>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let agent = if call.may_use_pool {
            &self.pooled
        } else {
            &self.unpooled
        };
        let is_head = call.method == Method::HEAD;
        let timeout = call.timeout;
        let (parts, body) = new_request(call)?;
        let response = control.enter(|| {
            if body.is_empty() {
                run(agent, Request::from_parts(parts, ()), timeout)
            } else {
                run(
                    agent,
                    Request::from_parts(
                        parts,
                        SendBody::from_owned_reader(std::io::Cursor::new(body)),
                    ),
                    timeout,
                )
            }
        });
        let response = response.map_err(|e| classify(&e, control))?;
        let (mut parts, body) = response.into_parts();
        if !is_final_status(parts.status) {
            control.cancel();
            return Err(UpstreamError::NotFinal(parts.status));
        }
        let is_framed = is_head
            || has_no_body(parts.status)
            || parts.headers.contains_key(CONTENT_LENGTH)
            || parts.headers.contains_key(TRANSFER_ENCODING);
        if !is_framed {
            control.cancel();
            return Err(UpstreamError::Unframed);
        }
        headers::strip_hop_by_hop(&mut parts.headers);
        Ok(UpstreamAnswer {
            status: parts.status,
            headers: parts.headers,
            body: UpstreamBody {
                reader: body.into_with_config().limit(u64::MAX).reader(),
                control: control.clone(),
            },
        })
    }
}

impl UpstreamBody {
    /// Reads the next chunk, or returns `None` at the end of a complete answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer ended before it was complete.
    pub fn next_chunk(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        let mut chunk = vec![0; CHUNK_BYTES];
        let reader = &mut self.reader;
        let read = self.control.enter(|| reader.read(&mut chunk));
        match read {
            Ok(_) if self.control.was_cancelled() => {
                Err(UpstreamError::Cancelled { was_sent: true })
            }
            Ok(0) => {
                self.control.finish();
                Ok(None)
            }
            Ok(amount) => {
                chunk.truncate(amount);
                Ok(Some(Bytes::from(chunk)))
            }
            Err(e) => Err(classify(&ureq::Error::from(e), &self.control)),
        }
    }
}

impl std::fmt::Debug for UpstreamBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UpstreamBody").finish_non_exhaustive()
    }
}

impl Drop for UpstreamBody {
    fn drop(&mut self) {
        // A connection whose answer was not read completely must not stay open.
        self.control.cancel();
    }
}

/// Reports whether a status ends a request.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

fn run<B: AsSendBody>(
    agent: &Agent,
    request: Request<B>,
    timeout: Duration,
) -> Result<http::Response<Body>, ureq::Error> {
    let request = agent
        .configure_request(request)
        .timeout_global(Some(timeout))
        .timeout_connect(Some(timeout.min(CONNECT_TIMEOUT)))
        .build();
    agent.run(request)
}

fn new_agent(max_idle: usize, max_idle_per_instance: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .user_agent(AutoHeaderValue::None)
        .accept(AutoHeaderValue::None)
        .accept_encoding(AutoHeaderValue::None)
        .allow_non_standard_methods(true)
        .max_response_header_size(MAX_ANSWER_HEAD_BYTES)
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle_per_instance)
        .max_idle_age(MAX_IDLE_AGE)
        .build();
    Agent::with_parts(config, UpstreamConnector, DefaultResolver::default())
}

fn new_request(call: UpstreamCall) -> Result<(http::request::Parts, Bytes), UpstreamError> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(call.addr.to_string())
        .path_and_query(call.target)
        .build()
        .map_err(|e| UpstreamError::Connect(Arc::from(e.to_string())))?;
    let mut request = Request::new(());
    *request.method_mut() = call.method;
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = call.headers;
    let headers = request.headers_mut();
    headers.remove(CONTENT_LENGTH);
    if !call.body.is_empty() {
        headers.insert(CONTENT_LENGTH, call.body.len().into());
    }
    Ok((request.into_parts().0, call.body))
}

fn has_no_body(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || status.is_informational()
}

fn classify(error: &ureq::Error, control: &CallControl) -> UpstreamError {
    let was_sent = control.was_sent();
    if control.was_send_refused() {
        return UpstreamError::SendRefused;
    }
    if control.was_cancelled() {
        return UpstreamError::Cancelled { was_sent };
    }
    if matches!(error, ureq::Error::Timeout(_)) {
        return UpstreamError::Timeout { was_sent };
    }
    let cause = Arc::from(error.to_string());
    if was_sent {
        UpstreamError::ConnectionLost { was_sent, cause }
    } else {
        UpstreamError::Connect(cause)
    }
}
