//! Calls to instances over pooled connections.
//!
//! An answer is read to its end before any of it goes to the caller, so that a
//! truncated answer never looks complete.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// How long opening a connection may take. Instances are milliseconds away; TCP
/// retransmits a lost SYN after a second, too late for most requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// The largest head of an answer. An instance may send bytes without end.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The largest answer that is read.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// The most bytes of unfinished answers, over all instances.
const MAX_UNFINISHED_BYTES: usize = 32 * 1024 * 1024;
/// What a chunk of an answer counts at least, so that small chunks without end are not
/// read for long.
const MIN_CHUNK_BYTES: usize = 256;
/// How long a connection may be idle and still be reused: instances close idle
/// connections without notice.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1_500);
/// The bytes around the name and the value of a header.
const HEADER_SEPARATOR_BYTES: usize = 4;
/// Idle connections that are kept for one instance.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// The refusals after which a connection is not kept.
const MAX_REFUSALS: usize = 16;

/// A request as it is sent to an instance.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) addr: SocketAddr,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The request's id, if it may go over a connection that was in use before. An instance
    /// may repeat an answer there, so each request of a connection needs an id of its own.
    pub(crate) reuse_as: Option<String>,
}

impl Call {
    /// Returns the size of the head and the body.
    pub(crate) fn bytes(&self) -> usize {
        let line = self.method.as_str().len() + self.target.len();
        line + header_bytes(&self.headers) + self.body.len()
    }
}

/// A complete answer of an instance.
#[derive(Debug, Clone)]
pub(crate) struct InstanceAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the connection was opened for the call. The first answer on a new connection
    /// is certainly the answer to its request.
    pub(crate) is_connection_new: bool,
}

/// A call with a complete answer.
pub(crate) struct CompletedCall {
    pub(crate) answer: InstanceAnswer,
    /// The connection, if it may be kept. Dropping it closes it.
    pub(crate) connection: Option<OpenConnection>,
}

impl InstanceAnswer {
    /// Returns the size of the head and the body.
    pub(crate) fn bytes(&self) -> usize {
        header_bytes(&self.headers) + self.body.len()
    }
}

/// Returns the size of headers as they are sent, each with a colon, a space and the end
/// of its line.
fn header_bytes(headers: &HeaderMap) -> usize {
    let headers = headers.iter();
    headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_SEPARATOR_BYTES)
        .sum()
}

/// The call gave no complete answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// No connection could be opened; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The connection was not open in time; nothing was sent.
    #[error("no connection after {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    /// The request is not valid HTTP; nothing was sent.
    #[error("the request is invalid: {0}")]
    Invalid(http::Error),
    /// The connection ended or broke the protocol; the request may have run.
    #[error("the connection failed: {0}")]
    Broken(hyper::Error),
    /// The answer is truncated; the request may have run.
    #[error("the answer is incomplete: {0}")]
    Partial(hyper::Error),
    /// The answer exceeds a bound; the request may have run.
    #[error("the answer or all unfinished ones are too large")]
    TooLarge,
}

impl CallError {
    /// Returns whether the instance may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        matches!(self, Self::Broken(_) | Self::Partial(_) | Self::TooLarge)
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// An open connection to an instance.
pub(crate) struct OpenConnection {
    addr: SocketAddr,
    sender: Sender,
    /// Closes the connection on drop.
    _task: ConnectionTask,
    idle_since: Instant,
    /// The ids of the requests that the instance has refused here. A refusal that it repeats
    /// could be taken for the answer to such a request if that came again.
    refused_ids: Vec<String>,
}

impl OpenConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now - self.idle_since < MAX_IDLE_TIME && self.sender.is_ready()
    }
}

/// Idle connections to instances, by address.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<OpenConnection>>>,
    /// The bytes of unfinished answers.
    unfinished_bytes: Cell<usize>,
}

/// The bytes of an unfinished answer, which count until it is dropped.
struct UnfinishedAnswer<'a> {
    total: &'a Cell<usize>,
    counted: usize,
}

impl UnfinishedAnswer<'_> {
    /// Counts a chunk, unless a bound would be exceeded.
    fn count_chunk(&mut self, bytes: usize) -> Result<(), CallError> {
        let bytes = bytes.max(MIN_CHUNK_BYTES);
        let (counted, total) = (self.counted + bytes, self.total.get() + bytes);
        if counted > MAX_ANSWER_BYTES || total > MAX_UNFINISHED_BYTES {
            return Err(CallError::TooLarge);
        }
        self.counted = counted;
        self.total.set(total);
        Ok(())
    }
}

impl Drop for UnfinishedAnswer<'_> {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.counted);
    }
}

/// The task that drives a connection. Dropping it aborts the task and so closes
/// the connection.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ConnectionPool {
    /// Sends a request and reads the complete answer. Dropping the future closes
    /// the connection, which lets the instance stop.
    pub(crate) async fn call(&self, call: Call) -> Result<CompletedCall, CallError> {
        let request = build_request(&call)?;
        let idle = call.reuse_as.as_deref();
        let idle = idle.and_then(|id| self.take_idle(call.addr, id));
        let is_connection_new = idle.is_none();
        let mut connection = match idle {
            Some(connection) => connection,
            None => open(call.addr).await?,
        };
        let answer = connection
            .sender
            .send_request(request)
            .await
            .map_err(CallError::Broken)?;
        let (parts, body) = answer.into_parts();
        let body = self.read_body(body).await?;
        let is_last = parts.headers.get(header::CONNECTION).is_some_and(|value| {
            value
                .to_str()
                .is_ok_and(|text| text.eq_ignore_ascii_case("close"))
        });
        let may_keep = call.reuse_as.is_some() && !is_last;
        Ok(CompletedCall {
            answer: InstanceAnswer {
                status: parts.status,
                headers: parts.headers,
                body,
                is_connection_new,
            },
            connection: may_keep.then_some(connection),
        })
    }

    /// Keeps a connection whose last answer was certainly that to its last request.
    pub(crate) fn keep(&self, mut connection: OpenConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.addr).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connection.idle_since = Instant::now();
            connections.push(connection);
        }
    }

    /// Keeps a connection on which the instance has refused a request.
    pub(crate) fn keep_after_refusal(&self, mut connection: OpenConnection, id: &str) {
        connection.refused_ids.push(id.to_owned());
        if connection.refused_ids.len() < MAX_REFUSALS {
            self.keep(connection);
        }
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, CallError> {
        let mut unfinished = UnfinishedAnswer {
            total: &self.unfinished_bytes,
            counted: 0,
        };
        // Small chunks are copied, since each would keep a whole read buffer.
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(CallError::Partial)?;
            let chunk = frame.data_ref().map_or(&[][..], |data| data);
            unfinished.count_chunk(chunk.len())?;
            bytes.extend_from_slice(chunk);
        }
        Ok(bytes.freeze())
    }

    /// Closes connections that have been idle for longer than [`MAX_IDLE_TIME`].
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| now - connection.idle_since < MAX_IDLE_TIME);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Takes an idle connection for a request, none that has refused it before.
    fn take_idle(&self, addr: SocketAddr, id: &str) -> Option<OpenConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        connections.retain(|connection| connection.is_usable(now));
        let has_refused = |connection: &OpenConnection| {
            let mut refused_ids = connection.refused_ids.iter();
            refused_ids.any(|refused| refused == id)
        };
        let position = connections.iter().rposition(|it| !has_refused(it))?;
        Some(connections.remove(position))
    }
}

fn build_request(call: &Call) -> Result<Request<Full<Bytes>>, CallError> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.target)
        .body(Full::new(call.body.clone()))
        .map_err(CallError::Invalid)?;
    *request.headers_mut() = call.headers.clone();
    Ok(request)
}

async fn open(addr: SocketAddr) -> Result<OpenConnection, CallError> {
    let connect = TcpStream::connect(addr);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
    let stream = stream.map_err(|_| CallError::ConnectTimeout)?;
    let stream = stream.map_err(CallError::Connect)?;
    stream.set_nodelay(true).map_err(CallError::Connect)?;
    let handshake = http1::Builder::new()
        .preserve_header_case(true)
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(CallError::Broken)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            // The call that used the connection reports the same error.
            log::debug!("upstream: The connection to {addr} failed: {error}.");
        }
    });
    Ok(OpenConnection {
        addr,
        sender,
        _task: ConnectionTask(task.abort_handle()),
        idle_since: Instant::now(),
        refused_ids: Vec::new(),
    })
}
