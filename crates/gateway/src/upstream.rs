//! Calls to instances over pooled connections.
//!
//! An answer is read to its end before any of it goes to the caller, so that a
//! truncated answer never looks complete.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use waxwingusher_edge::upstream::is_final_status;

use crate::body::{Body, BodyBuilder};
use crate::resources::{AnswerMemory, NoMemory, RECEIVE_BUFFER_BYTES};

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
    pub(crate) body: Body,
    pub(crate) answer_memory: Rc<AnswerMemory>,
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
    pub(crate) body: Body,
    /// What is charged for the answer.
    pub(crate) memory: Rc<AnswerMemory>,
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
    /// The status ends no request: it announces a further answer, or HTTP does not have it. The
    /// request may have run.
    #[error("the status {0} is no final one")]
    NotFinal(StatusCode),
    /// The answer is truncated; the request may have run.
    #[error("the answer is incomplete: {0}")]
    Partial(hyper::Error),
    /// The answer exceeds a bound; the request may have run.
    #[error("the answer or all unfinished ones are too large")]
    TooLarge,
    /// There is no memory for the answer; the request may have run.
    #[error("no memory for the answer: {0}")]
    NoMemory(NoMemory),
    /// The system has no memory for the answer; the request may have run.
    #[error("no memory for the answer: {0}")]
    Allocation(std::io::Error),
    /// This host has too many connections open; nothing was sent.
    #[error("too many connections to instances are open")]
    NoSocket,
}

impl CallError {
    /// Returns whether the instance may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Self::Connect(_) | Self::ConnectTimeout | Self::Invalid(_) | Self::NoSocket
        )
    }
}

type Sender = SendRequest<Body>;

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
    _count: ConnectionCount,
}

/// Counts an open connection until it is dropped.
struct ConnectionCount(Rc<Cell<usize>>);

impl ConnectionCount {
    fn new(total: &Rc<Cell<usize>>) -> Self {
        total.set(total.get() + 1);
        Self(total.clone())
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
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
    /// The open connections, idle or in use.
    open_count: Rc<Cell<usize>>,
}

/// The bytes of an unfinished answer, which count until it is dropped.
struct UnfinishedAnswer<'a> {
    total: &'a Cell<usize>,
    counted: usize,
    memory: Rc<AnswerMemory>,
    /// What was taken of the memory, and goes back if the answer is given up.
    taken_bytes: usize,
}

impl UnfinishedAnswer<'_> {
    /// Charges bytes before they are kept.
    async fn take(&mut self, bytes: usize) -> Result<(), CallError> {
        self.memory.take(bytes).await.map_err(CallError::NoMemory)?;
        self.taken_bytes += bytes;
        Ok(())
    }

    /// Leaves what was taken to the complete answer.
    fn finish(mut self) {
        self.taken_bytes = 0;
    }

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
        self.memory.give_back(self.taken_bytes);
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
    pub(crate) async fn call(
        &self,
        call: Call,
        max_connections: usize,
    ) -> Result<CompletedCall, CallError> {
        let request = build_request(&call)?;
        let idle = call.reuse_as.as_deref();
        let idle = idle.and_then(|id| self.take_idle(call.addr, id));
        let is_connection_new = idle.is_none();
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.open(call.addr, max_connections).await?,
        };
        let answer = connection
            .sender
            .send_request(request)
            .await
            .map_err(CallError::Broken)?;
        let (parts, body) = answer.into_parts();
        if !is_final_status(parts.status) {
            return Err(CallError::NotFinal(parts.status));
        }
        let memory = call.answer_memory;
        let body = self.read_body(&parts.headers, body, &memory).await?;
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
                memory,
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

    async fn read_body(
        &self,
        headers: &HeaderMap,
        mut body: Incoming,
        memory: &Rc<AnswerMemory>,
    ) -> Result<Body, CallError> {
        let mut unfinished = UnfinishedAnswer {
            total: &self.unfinished_bytes,
            counted: 0,
            memory: memory.clone(),
            taken_bytes: 0,
        };
        unfinished.take(header_bytes(headers)).await?;
        let length = body.size_hint().exact();
        let length = length.and_then(|length| usize::try_from(length).ok());
        // Small chunks are copied, since each would keep a whole read buffer.
        let mut builder = BodyBuilder::new(length);
        // Answers that are read in part would wait for each other's memory.
        let mut taken_bytes = BodyBuilder::memory_bytes(length.unwrap_or(0).min(MAX_ANSWER_BYTES));
        unfinished.take(taken_bytes).await?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(CallError::Partial)?;
            let chunk = frame.data_ref().map_or(&[][..], |data| data);
            unfinished.count_chunk(chunk.len())?;
            let needed_bytes = BodyBuilder::memory_bytes(builder.len() + chunk.len());
            unfinished
                .take(needed_bytes.saturating_sub(taken_bytes))
                .await?;
            taken_bytes = taken_bytes.max(needed_bytes);
            builder.append(chunk).map_err(CallError::Allocation)?;
        }
        unfinished.finish();
        Ok(builder.finish())
    }

    /// Opens a connection. If too many are open, the idle ones are closed.
    async fn open(
        &self,
        addr: SocketAddr,
        max_connections: usize,
    ) -> Result<OpenConnection, CallError> {
        if self.open_count.get() >= max_connections {
            self.close_idle();
        }
        if self.open_count.get() >= max_connections {
            return Err(CallError::NoSocket);
        }
        open(addr, ConnectionCount::new(&self.open_count)).await
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

fn build_request(call: &Call) -> Result<Request<Body>, CallError> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.target)
        .body(call.body.clone())
        .map_err(CallError::Invalid)?;
    *request.headers_mut() = call.headers.clone();
    Ok(request)
}

async fn open(addr: SocketAddr, count: ConnectionCount) -> Result<OpenConnection, CallError> {
    let connect = connect(addr);
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
        _count: count,
    })
}

/// Connects with a receive buffer of a bounded size: what an instance sends while the account
/// is spent stays there unread.
async fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::debug!("upstream: The receive buffer for {addr} keeps its size: {error}.");
    }
    socket.connect(addr).await
}
