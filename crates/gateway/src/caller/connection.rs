//! One connection of a caller: reads pipelined requests, runs them concurrently,
//! and cancels them when the caller disconnects.

use std::cell::Cell;
use std::io::Read;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use waxwingusher_config::routing::CallerLimits;

use super::reader::{BodyReader, Head, ReadError, take_head};
use super::writer::{self, QueuedAnswer};
use crate::answer::Answer;
use crate::origin::RequestOrigin;
use crate::pipeline::{CallerRequest, PipelineOrder, handle, refuse_for_stop};
use crate::state::{Phase, State};
use crate::takeover;

/// Unanswered requests per connection; at this number no further request is read
/// until one is answered.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// How long the caller must send nothing on a connection that this host has closed before it
/// is dropped: bytes that arrive later cause a reset, which discards what is left of the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest time for which a connection is read after this host has closed it.
const MAX_LINGER_TIME: Duration = Duration::from_secs(10);
/// How long the first request of a new connection may take to arrive on a host that is closing.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The free buffer space that is reserved for each read.
const READ_BYTES: usize = 8 * 1024;

/// How far a connection is from its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum CloseState {
    #[default]
    Open,
    /// The answer that closes the connection is being written.
    Closing,
    /// Nothing more is written.
    Closed,
}

/// State that the reader and the writer of a connection share.
#[derive(Debug, Default)]
pub(super) struct ConnectionState {
    /// Requests that were read and not answered yet.
    pub(super) unanswered: Cell<usize>,
    /// The number of answers written so far.
    answered_count: Cell<u64>,
    changed: Notify,
    close_state: Cell<CloseState>,
}

impl ConnectionState {
    /// Records that the answer that closes the connection is about to be written. The caller
    /// sends all requests behind it again, so none of them may run.
    pub(super) fn begin_close(&self) {
        self.close_state.set(CloseState::Closing);
    }

    /// Records that an answer was written.
    pub(super) fn record_answered(&self, state: &State) {
        self.unanswered.set(self.unanswered.get().saturating_sub(1));
        self.answered_count.set(self.answered_count.get() + 1);
        state.in_flight.set(state.in_flight.get().saturating_sub(1));
        self.changed.notify_waiters();
    }

    /// Closes the connection for the reader.
    pub(super) fn close(&self) {
        self.close_state.set(CloseState::Closed);
        self.changed.notify_waiters();
    }

    /// Reports whether a request may still be started.
    fn is_open(&self) -> bool {
        self.close_state.get() == CloseState::Open
    }

    /// Reports whether nothing more is written.
    fn is_closed(&self) -> bool {
        self.close_state.get() == CloseState::Closed
    }
}

struct ConnectionOrder {
    shared: Rc<ConnectionState>,
    earlier_answers: u64,
}

impl PipelineOrder for ConnectionOrder {
    async fn wait_for_earlier_answers(&self) {
        loop {
            let changed = self.shared.changed.notified();
            if self.shared.answered_count.get() >= self.earlier_answers {
                return;
            }
            changed.await;
        }
    }
}

/// Why reading ended.
enum ReadEnd {
    /// The caller has disconnected, or this host has closed the connection.
    Closed,
    /// The request that is being read is answered before it is complete.
    Refused(Answer),
}

/// Counts a connection until it is dropped.
struct ConnectionGuard(Rc<State>);

impl ConnectionGuard {
    fn new(state: &Rc<State>) -> Self {
        state.connections.set(state.connections.get() + 1);
        Self(state.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let connections = &self.0.connections;
        connections.set(connections.get().saturating_sub(1));
    }
}

/// Serves a connection until it ends. It counts from now on, so that a host that stops waits
/// for it.
pub(crate) fn spawn(state: &Rc<State>, stream: TcpStream, origin: RequestOrigin) {
    let guard = ConnectionGuard::new(state);
    tokio::task::spawn_local(async move {
        run_connection(&guard.0, stream, origin).await;
    });
}

async fn run_connection(state: &Rc<State>, stream: TcpStream, origin: RequestOrigin) {
    // A failure only delays answers slightly.
    let _ = stream.set_nodelay(true);
    let (read_half, write_half) = stream.into_split();
    let shared = Rc::new(ConnectionState::default());
    let (answers, queue) = unbounded_channel();
    let writing = writer::run(state.clone(), shared.clone(), write_half, queue);
    let mut writer = tokio::task::spawn_local(writing);
    let mut connection = Connection {
        phase: state.phase.subscribe(),
        state: state.clone(),
        origin,
        stream: read_half,
        buffer: BytesMut::new(),
        shared,
        answers,
        request_tasks: JoinSet::new(),
        queued_count: 0,
        first_byte_at: None,
        last_byte_at: Instant::now(),
        last_active_at: Instant::now(),
        accepted_at: Instant::now(),
    };
    if let ReadEnd::Refused(mut answer) = connection.read_requests().await {
        if matches!(origin, RequestOrigin::Peer(_)) {
            takeover::add_result(&mut answer);
        }
        connection.queue_answer(answer, true);
        // An error means that the writer has ended already.
        let _ = (&mut writer).await;
    }
    let Connection {
        shared,
        request_tasks,
        stream,
        ..
    } = connection;
    if shared.is_closed() {
        linger(stream).await;
    }
    writer.abort();
    drop(request_tasks);
    let unanswered = shared.unanswered.get();
    state
        .in_flight
        .set(state.in_flight.get().saturating_sub(unanswered));
}

/// Reads and discards what the caller still sends, until it closes.
async fn linger(mut stream: OwnedReadHalf) {
    let mut rest = BytesMut::new();
    let drain = async {
        loop {
            let read = tokio::time::timeout(LINGER_TIMEOUT, stream.read_buf(&mut rest));
            let Ok(Ok(1..)) = read.await else {
                return;
            };
            rest.clear();
        }
    };
    // After the timeout the connection is dropped.
    let _ = tokio::time::timeout(MAX_LINGER_TIME, drain).await;
}

struct Connection {
    state: Rc<State>,
    origin: RequestOrigin,
    stream: OwnedReadHalf,
    buffer: BytesMut,
    shared: Rc<ConnectionState>,
    answers: UnboundedSender<QueuedAnswer>,
    /// The tasks of unanswered requests; dropping the set cancels them.
    request_tasks: JoinSet<()>,
    queued_count: u64,
    /// When the first byte was read that belongs to no request yet.
    first_byte_at: Option<Instant>,
    last_byte_at: Instant,
    last_active_at: Instant,
    accepted_at: Instant,
    phase: watch::Receiver<Phase>,
}

impl Connection {
    async fn read_requests(&mut self) -> ReadEnd {
        loop {
            let limits = self.state.caller_limits();
            let head = match self.read_head(&limits).await {
                Ok(Some(head)) => head,
                Ok(None) => return ReadEnd::Closed,
                Err(end) => return end,
            };
            let body = match self.read_body(&head, &limits).await {
                Ok(Some(body)) => body,
                Ok(None) => return ReadEnd::Closed,
                Err(end) => return end,
            };
            if self.shared.is_open() {
                let is_last = head.is_last;
                self.start(head, body);
                while self.request_tasks.try_join_next().is_some() {}
                if !is_last {
                    continue;
                }
            }
            self.wait_until_closed().await;
            return ReadEnd::Closed;
        }
    }

    /// Reads a head; `None` if the connection is closed.
    async fn read_head(&mut self, limits: &CallerLimits) -> Result<Option<Head>, ReadEnd> {
        let mut head_started_at = None;
        loop {
            if self.may_take_request() {
                match take_head(&mut self.buffer, limits) {
                    Ok(Some(head)) => return Ok(Some(head)),
                    Ok(None) => {}
                    Err(error) => return Err(refusal(error)),
                }
            }
            if self.is_closable() {
                if self.read_available() {
                    // A caller that sends without end must not hold up the event loop.
                    tokio::task::yield_now().await;
                    continue;
                }
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                if self.phase() == Phase::Ending {
                    return Err(ReadEnd::Refused(self.state.stop_refusal()));
                }
            }
            let is_idle = self.buffer.is_empty();
            if !is_idle && head_started_at.is_none() {
                head_started_at = Some(Instant::now());
            }
            let has_unanswered = self.shared.unanswered.get() > 0;
            let deadline = match head_started_at {
                _ if has_unanswered => None,
                Some(head_started_at) => Some(head_started_at + limits.header_timeout),
                None if self.awaits_first_request() => {
                    Some(self.accepted_at + FIRST_REQUEST_TIMEOUT.min(limits.idle_timeout))
                }
                None => Some(self.last_active_at + limits.idle_timeout),
            };
            match self.read_more(deadline).await {
                Progress::Bytes | Progress::Changed => {}
                Progress::Closed => return Ok(None),
                Progress::TimedOut if is_idle => return Ok(None),
                Progress::TimedOut => return Err(timeout("slow-head")),
            }
        }
    }

    /// Reads a body; `None` if the connection is closed.
    async fn read_body(
        &mut self,
        head: &Head,
        limits: &CallerLimits,
    ) -> Result<Option<Bytes>, ReadEnd> {
        let mut body = BodyReader::new(head.body, limits);
        let mut may_send_continue = head.expects_continue;
        loop {
            match body.take(&mut self.buffer) {
                Ok(Some(body)) => return Ok(Some(body)),
                Ok(None) => {}
                Err(error) => return Err(refusal(error)),
            }
            if self.phase() == Phase::Ending {
                return Err(ReadEnd::Refused(self.state.stop_refusal()));
            }
            if self.shared.unanswered.get() == 0 && std::mem::take(&mut may_send_continue) {
                if let Some(refusal) = refuse_for_stop(&self.state, &head.headers, &head.target) {
                    return Err(ReadEnd::Refused(refusal));
                }
                self.send_continue();
            }
            let deadline = Instant::now() + limits.idle_timeout;
            match self.read_more(Some(deadline)).await {
                Progress::Bytes | Progress::Changed => {}
                Progress::Closed => return Ok(None),
                Progress::TimedOut => return Err(timeout("slow-body")),
            }
        }
    }

    /// Sends `100 Continue` to a caller that waits for it before its body.
    fn send_continue(&mut self) {
        let mut interim = Answer::own(StatusCode::CONTINUE, "continue");
        interim.body = Bytes::new();
        interim.headers.clear();
        self.queue_answer(interim, false);
    }

    /// Queues an answer that is already complete.
    fn queue_answer(&mut self, answer: Answer, is_last: bool) {
        let (sender, receiver) = oneshot::channel();
        // Sending cannot fail: the receiver is still held here.
        let _ = sender.send(answer);
        self.queue(QueuedAnswer {
            answer: receiver,
            method: http::Method::GET,
            is_last,
        });
    }

    fn start(&mut self, head: Head, body: Bytes) {
        let ahead = self.shared.unanswered.get();
        let (sender, answer) = oneshot::channel();
        self.queue(QueuedAnswer {
            answer,
            method: head.method.clone(),
            is_last: head.is_last,
        });
        let request = CallerRequest {
            method: head.method,
            target: head.target,
            headers: head.headers,
            body,
            received_at: self.state.now(),
            read_time: self.take_read_time(),
            ahead,
        };
        let order = ConnectionOrder {
            shared: self.shared.clone(),
            earlier_answers: self.queued_count - 1,
        };
        let answer = handle(self.state.clone(), request, self.origin, order);
        self.request_tasks.spawn_local(async move {
            // Sending fails only if the caller has disconnected.
            let _ = sender.send(answer.await);
        });
    }

    /// Returns how long the bytes of the request that was just read took to arrive. What is
    /// left in the buffer belongs to the next one.
    fn take_read_time(&mut self) -> Duration {
        let next = (!self.buffer.is_empty()).then_some(self.last_byte_at);
        let first = std::mem::replace(&mut self.first_byte_at, next);
        first.map_or(Duration::ZERO, |at| self.last_byte_at - at)
    }

    fn queue(&mut self, queued: QueuedAnswer) {
        self.queued_count += 1;
        self.shared.unanswered.set(self.shared.unanswered.get() + 1);
        self.state.in_flight.set(self.state.in_flight.get() + 1);
        // Sending fails only if the writer has ended with the connection.
        let _ = self.answers.send(queued);
    }

    /// Waits until the last answer is written or the caller disconnects.
    async fn wait_until_closed(&mut self) {
        loop {
            match self.read_more(None).await {
                Progress::Closed => return,
                Progress::Bytes => self.buffer.clear(),
                Progress::Changed | Progress::TimedOut => {}
            }
        }
    }

    /// Returns whether a further request may be taken. A host that shuts down takes none while
    /// others are unanswered, so that the connection can close behind them: a caller that
    /// always has a request under way would keep it until the process ends.
    fn may_take_request(&self) -> bool {
        let max_unanswered = match self.phase() {
            Phase::Serving => MAX_PIPELINED_REQUESTS,
            Phase::Draining | Phase::Closing | Phase::Ending => 1,
        };
        self.shared.unanswered.get() < max_unanswered
    }

    /// Returns whether the connection closes once no request is being read.
    fn is_closable(&self) -> bool {
        self.shared.unanswered.get() == 0
            && self.phase() >= Phase::Closing
            && !self.awaits_first_request()
    }

    /// Returns whether the first request of a connection that was accepted shortly before the
    /// host closed its listeners may be on its way.
    fn awaits_first_request(&self) -> bool {
        self.queued_count == 0
            && self.phase() == Phase::Closing
            && self.accepted_at.elapsed() < FIRST_REQUEST_TIMEOUT
    }

    /// Reads bytes that have arrived, also before the event loop reports them.
    fn read_available(&mut self) -> bool {
        let mut bytes = [0; READ_BYTES];
        let socket = SockRef::from(self.stream.as_ref());
        // An error is found again when the connection is used.
        let Ok(read @ 1..) = (&*socket).read(&mut bytes) else {
            return false;
        };
        self.buffer.extend_from_slice(&bytes[..read]);
        self.record_bytes();
        true
    }

    fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Records that bytes were read.
    fn record_bytes(&mut self) {
        self.last_byte_at = Instant::now();
        self.last_active_at = self.last_byte_at;
        self.first_byte_at.get_or_insert(self.last_byte_at);
    }

    async fn read_more(&mut self, deadline: Option<Instant>) -> Progress {
        if self.shared.is_closed() {
            return Progress::Closed;
        }
        let is_pipeline_full = self.shared.unanswered.get() >= MAX_PIPELINED_REQUESTS;
        // Reading on shows whether the caller has disconnected.
        let is_buffer_full = !self.may_take_request() && self.buffer.len() >= READ_BYTES;
        let may_read = !is_pipeline_full && !is_buffer_full;
        self.buffer.reserve(READ_BYTES);
        let timeout = async {
            match deadline {
                Some(deadline) => tokio::time::sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.buffer), if may_read => match read {
                Ok(0) | Err(_) => Progress::Closed,
                Ok(_) => {
                    self.record_bytes();
                    Progress::Bytes
                }
            },
            () = self.shared.changed.notified() => {
                self.last_active_at = Instant::now();
                Progress::Changed
            }
            _ = self.phase.changed() => Progress::Changed,
            () = timeout => Progress::TimedOut,
        }
    }
}

enum Progress {
    Bytes,
    Changed,
    Closed,
    TimedOut,
}

fn refusal(error: ReadError) -> ReadEnd {
    let (status, outcome) = match error {
        ReadError::Malformed => (StatusCode::BAD_REQUEST, "malformed"),
        ReadError::HeadTooLarge => (
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head-too-large",
        ),
        ReadError::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
    };
    ReadEnd::Refused(Answer::own(status, outcome))
}

fn timeout(outcome: &'static str) -> ReadEnd {
    ReadEnd::Refused(Answer::own(StatusCode::REQUEST_TIMEOUT, outcome))
}
