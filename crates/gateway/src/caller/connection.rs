//! One connection of a caller: reads pipelined requests, runs them concurrently,
//! and cancels them when the caller disconnects.

use std::cell::Cell;
use std::io::{ErrorKind, Read};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http::{HeaderMap, StatusCode};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use waxwingusher_config::routing::CallerLimits;
use waxwingusher_resources::Purpose;

use super::linger::{Unread, linger};
use super::reader::{BodyKind, BodyReader, Head, ReadError, take_head};
use super::writer::{self, QueuedAnswer};
use crate::answer::Answer;
use crate::body::{Body, BodyBuilder};
use crate::gateway::AbortOnDrop;
use crate::origin::RequestOrigin;
use crate::pipeline::{self, CallerRequest, PipelineOrder, handle, refuse_for_stop};
use crate::request_log::Receipt;
use crate::resources::{self, AnswerMemory, Charge, ConnectionEntry, NoMemory};
use crate::state::{Phase, State};
use crate::takeover;

/// Unanswered requests per connection; at this number no further request is read
/// until one is answered.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// How long the first request of a new connection may take to arrive on a host that is closing.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The free buffer space that is reserved for each read.
const READ_BYTES: usize = 16 * 1024;
/// What a request takes beside its head, its body and its answer: its tasks, and a connection
/// to an instance.
const REQUEST_BYTES: usize = 32 * 1024;
/// What a head takes for each of its bytes: it is kept parsed, and once more for an instance.
const HEAD_COST: usize = 8;

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
pub(super) struct ConnectionState {
    pub(super) entry: ConnectionEntry,
    /// Requests that were read and not answered yet.
    pub(super) unanswered: Cell<usize>,
    /// The number of answers written so far.
    answered_count: Cell<u64>,
    changed: Notify,
    close_state: Cell<CloseState>,
}

impl ConnectionState {
    fn new(entry: ConnectionEntry) -> Self {
        Self {
            entry,
            unanswered: Cell::new(0),
            answered_count: Cell::new(0),
            changed: Notify::new(),
            close_state: Cell::default(),
        }
    }

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
        self.entry.end_request();
        self.changed.notify_waiters();
    }

    /// Closes the connection for the reader.
    pub(super) fn close(&self) {
        self.entry.begin_close();
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
    Refused { answer: Answer, unread: Unread },
}

impl ReadEnd {
    /// Refuses a request of which nothing more is expected.
    fn refused(answer: Answer) -> Self {
        Self::Refused {
            answer,
            unread: Unread::Unknown,
        }
    }
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

/// Ceases to count the unanswered requests of a connection when it is dropped.
struct InFlightGuard {
    state: Rc<State>,
    shared: Rc<ConnectionState>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let in_flight = &self.state.in_flight;
        in_flight.set(in_flight.get().saturating_sub(self.shared.unanswered.get()));
    }
}

/// Serves a connection in a task of its own, or refuses it if there is no room for it. It
/// counts from now on, so that a host that stops waits for it.
pub(crate) async fn serve(state: &Rc<State>, stream: TcpStream, origin: RequestOrigin) {
    let guard = ConnectionGuard::new(state);
    let Some(entry) = resources::admit(state, origin).await else {
        refuse(guard, stream, origin);
        return;
    };
    tokio::task::spawn_local(async move {
        let signal = entry.signal.clone();
        tokio::select! {
            biased;
            () = signal.closed() => {}
            () = run_connection(&guard.0, stream, origin, entry) => {}
        }
    });
}

/// Answers a connection for which there is no room, unless many are being answered so.
fn refuse(guard: ConnectionGuard, stream: TcpStream, origin: RequestOrigin) {
    let refused = &guard.0.refused_connections;
    if refused.get() >= guard.0.resources.limits().max_refused_connections() {
        return;
    }
    refused.set(refused.get() + 1);
    tokio::task::spawn_local(async move {
        let state = &guard.0;
        let mut answer = resources::refusal(state);
        if matches!(origin, RequestOrigin::Peer(_)) {
            takeover::add_result(&mut answer);
        }
        let (read_half, write_half) = stream.into_split();
        if writer::write_last(write_half, &answer).await.is_ok() {
            linger(state, read_half, Unread::Unknown).await;
        }
        let refused = &state.refused_connections;
        refused.set(refused.get() - 1);
    });
}

async fn run_connection(
    state: &Rc<State>,
    stream: TcpStream,
    origin: RequestOrigin,
    entry: ConnectionEntry,
) {
    // A failure only delays answers slightly.
    let _ = stream.set_nodelay(true);
    let (read_half, write_half) = stream.into_split();
    let buffer_charge = entry.empty_charge();
    let shared = Rc::new(ConnectionState::new(entry));
    let (answers, queue) = unbounded_channel();
    let writing = writer::run(state.clone(), shared.clone(), write_half, queue);
    let mut writer = AbortOnDrop(tokio::task::spawn_local(writing));
    let _in_flight = InFlightGuard {
        state: state.clone(),
        shared: shared.clone(),
    };
    let mut connection = Connection {
        phase: state.phase.subscribe(),
        state: state.clone(),
        origin,
        stream: read_half,
        buffer: BytesMut::new(),
        buffer_charge,
        shared,
        answers,
        request_tasks: JoinSet::new(),
        queued_count: 0,
        is_readiness_uncertain: true,
        first_byte_at: None,
        last_byte_at: Instant::now(),
        last_active_at: Instant::now(),
        accepted_at: Instant::now(),
    };
    let mut unread = Unread::Unknown;
    if let ReadEnd::Refused {
        mut answer,
        unread: rest,
    } = connection.read_requests().await
    {
        if matches!(origin, RequestOrigin::Peer(_)) {
            takeover::add_result(&mut answer);
        }
        connection.release_buffer();
        connection.shared.entry.set_receiving(false, "");
        connection.queue_answer(answer, true);
        unread = rest;
        // An error means that the writer has ended already.
        let _ = (&mut writer.0).await;
    }
    let Connection {
        shared,
        request_tasks,
        stream,
        ..
    } = connection;
    if shared.is_closed() {
        linger(state, stream, unread).await;
    }
    drop(request_tasks);
}

struct Connection {
    state: Rc<State>,
    origin: RequestOrigin,
    stream: OwnedReadHalf,
    buffer: BytesMut,
    /// What is charged for the buffer.
    buffer_charge: Charge,
    shared: Rc<ConnectionState>,
    answers: UnboundedSender<QueuedAnswer>,
    /// The tasks of unanswered requests; dropping the set cancels them.
    request_tasks: JoinSet<()>,
    queued_count: u64,
    /// Whether the connection may count as readable although nothing has arrived, as a new one
    /// does until a read has found nothing.
    is_readiness_uncertain: bool,
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
            let head = match self.read_head().await {
                Ok(Some(head)) => head,
                Ok(None) => return ReadEnd::Closed,
                Err(end) => return end,
            };
            let request_id = pipeline::request_id(&self.state, &head.headers).to_owned();
            self.shared.entry.set_receiving(true, &request_id);
            let limits = self.state.caller_limits();
            let (body, answer_memory) = match self.read_rest(&head, &limits, &request_id).await {
                // It was chosen to end just before its last byte arrived, and has not run.
                Ok(Some(_)) if self.shared.entry.signal.is_refused() => {
                    let end = ReadEnd::refused(resources::refusal(&self.state));
                    self.log_refusal(&head.headers, &end);
                    return end;
                }
                Ok(Some(rest)) => rest,
                Ok(None) => return ReadEnd::Closed,
                Err(end) => {
                    self.log_refusal(&head.headers, &end);
                    return end;
                }
            };
            self.shared.entry.set_receiving(false, "");
            if self.shared.is_open() {
                let is_last = head.is_last;
                self.start(head, body, answer_memory);
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
    async fn read_head(&mut self) -> Result<Option<Head>, ReadEnd> {
        let mut head_started_at = None;
        loop {
            // A connection may be idle while another configuration comes into force.
            let limits = self.state.caller_limits();
            if self.may_take_request() {
                match take_head(&mut self.buffer, &limits) {
                    Ok(Some(head)) => return Ok(Some(head)),
                    Ok(None) => {}
                    Err(error) => return Err(ReadEnd::refused(refusal(error))),
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
                    return Err(ReadEnd::refused(self.state.stop_refusal()));
                }
            }
            let is_idle = self.buffer.is_empty();
            if is_idle {
                self.release_buffer();
            }
            let is_receiving = !is_idle && self.may_take_request();
            self.shared.entry.set_receiving(is_receiving, "");
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
                Progress::TimedOut => return Err(ReadEnd::refused(timeout("slow-head"))),
                Progress::Refused(answer) => return Err(ReadEnd::refused(answer)),
            }
        }
    }

    /// Reads what follows a head, and reserves memory for the answer; `None` if the connection
    /// is closed.
    async fn read_rest(
        &mut self,
        head: &Head,
        limits: &CallerLimits,
        request_id: &str,
    ) -> Result<Option<(Body, Rc<AnswerMemory>)>, ReadEnd> {
        let mut body = BodyReader::new(head.body, limits);
        let read = self.read_body(head, &mut body, limits, request_id).await;
        read.map_err(|answer| {
            // What is wrong with other requests is their bodies, or that they do not arrive.
            let unread = match answer.status {
                StatusCode::BAD_REQUEST
                | StatusCode::PAYLOAD_TOO_LARGE
                | StatusCode::REQUEST_TIMEOUT => Unread::Unknown,
                _ => Unread::Body {
                    bytes: body.missing_bytes().unwrap_or(usize::MAX),
                    idle_timeout: limits.idle_timeout,
                },
            };
            ReadEnd::Refused { answer, unread }
        })
    }

    async fn read_body(
        &mut self,
        head: &Head,
        body: &mut BodyReader,
        limits: &CallerLimits,
        request_id: &str,
    ) -> Result<Option<(Body, Rc<AnswerMemory>)>, Answer> {
        let is_long = matches!(head.body, BodyKind::Length(length) if length > self.buffer.len());
        if is_long && let Some(refusal) = self.refuse_early(head) {
            return Err(refusal);
        }
        let answer_charge = self.shared.entry.empty_charge();
        let answer_memory = AnswerMemory::reserve(answer_charge);
        let answer_memory = self.wait_for_memory(answer_memory, request_id, 0).await?;
        let charge = Rc::new(self.shared.entry.empty_charge());
        let base_bytes = REQUEST_BYTES + HEAD_COST * head.size_bytes;
        let mut read_bytes = self.buffer.len();
        let mut may_send_continue = head.expects_continue;
        let mut is_first = !is_long;
        loop {
            let body_bytes = BodyBuilder::memory_bytes(body.expected_bytes(read_bytes));
            let needed_bytes = base_bytes + body_bytes;
            let grown = charge.grow_to(Purpose::Request, needed_bytes);
            self.wait_for_memory(grown, request_id, needed_bytes)
                .await?;
            if let Some(body) = body.take(&mut self.buffer).map_err(refusal)? {
                return Ok(Some((body.with_charge(charge), answer_memory)));
            }
            if std::mem::take(&mut is_first)
                && let Some(refusal) = self.refuse_early(head)
            {
                return Err(refusal);
            }
            if self.phase() == Phase::Ending {
                return Err(self.state.stop_refusal());
            }
            if self.shared.unanswered.get() == 0 && std::mem::take(&mut may_send_continue) {
                if let Some(refusal) = refuse_for_stop(&self.state, &head.headers, &head.target) {
                    return Err(refusal);
                }
                self.send_continue();
            }
            let deadline = Instant::now() + limits.idle_timeout;
            match self.read_more(Some(deadline)).await {
                Progress::Bytes | Progress::Changed => {}
                Progress::Closed => return Ok(None),
                Progress::TimedOut => return Err(timeout("slow-body")),
                Progress::Refused(answer) => return Err(answer),
            }
            read_bytes = self.buffer.len();
        }
    }

    /// Refuses a request before its body is read, if it is refused whatever the body is.
    fn refuse_early(&self, head: &Head) -> Option<Answer> {
        pipeline::refuse_unread(&self.state, &head.headers, &head.target, self.origin)
    }

    /// Waits for memory, unless the request must be given up before.
    async fn wait_for_memory<T>(
        &self,
        memory: impl Future<Output = Result<T, NoMemory>>,
        request_id: &str,
        bytes: usize,
    ) -> Result<T, Answer> {
        tokio::select! {
            biased;
            memory = memory => {
                memory.map_err(|cause| resources::refuse(&self.state, request_id, bytes, cause))
            }
            () = self.shared.entry.signal.refused() => Err(resources::refusal(&self.state)),
            () = self.state.reach_phase(Phase::Ending) => Err(self.state.stop_refusal()),
        }
    }

    /// Logs a request that was refused before it was read whole.
    fn log_refusal(&mut self, headers: &HeaderMap, end: &ReadEnd) {
        if let ReadEnd::Refused { answer, .. } = end {
            let receipt = self.take_receipt();
            pipeline::log_refusal(&self.state, headers, &receipt, answer);
        }
    }

    /// Sends `100 Continue` to a caller that waits for it before its body.
    fn send_continue(&mut self) {
        let mut interim = Answer::own(StatusCode::CONTINUE, "continue");
        interim.body = Body::default();
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

    fn start(&mut self, head: Head, body: Body, answer_memory: Rc<AnswerMemory>) {
        let receipt = self.take_receipt();
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
            answer_memory,
            receipt,
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

    /// Returns how the request that was just read arrived. What is left in the buffer belongs
    /// to the next one.
    fn take_receipt(&mut self) -> Receipt {
        let next = (!self.buffer.is_empty()).then_some(self.last_byte_at);
        let first = std::mem::replace(&mut self.first_byte_at, next);
        Receipt {
            received_at: self.state.now(),
            read_time: first.map_or(Duration::ZERO, |at| self.last_byte_at - at),
            ahead: self.shared.unanswered.get(),
        }
    }

    /// Frees the buffer and what is charged for it.
    fn release_buffer(&mut self) {
        self.buffer = BytesMut::new();
        self.buffer_charge.shrink_to(0);
    }

    fn queue(&mut self, queued: QueuedAnswer) {
        self.queued_count += 1;
        self.shared.entry.start_request();
        self.shared.unanswered.set(self.shared.unanswered.get() + 1);
        self.state.in_flight.set(self.state.in_flight.get() + 1);
        // Sending fails only if the writer has ended with the connection.
        let _ = self.answers.send(queued);
    }

    /// Waits until the last answer is written or the caller disconnects. What it still sends
    /// is discarded.
    async fn wait_until_closed(&mut self) {
        self.release_buffer();
        while !self.shared.is_closed() {
            tokio::select! {
                biased;
                readable = self.stream.readable() => {
                    if readable.is_err() || has_disconnected(&self.stream) {
                        return;
                    }
                    tokio::task::consume_budget().await;
                }
                () = self.shared.changed.notified() => {}
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

    /// Returns the answer to a request for which not even a buffer is free.
    fn refuse_buffer(&self, cause: NoMemory) -> Answer {
        resources::refuse(&self.state, "", READ_BYTES, cause)
    }

    async fn read_more(&mut self, deadline: Option<Instant>) -> Progress {
        if self.shared.is_closed() {
            return Progress::Closed;
        }
        let is_pipeline_full = self.shared.unanswered.get() >= MAX_PIPELINED_REQUESTS;
        // Reading on shows whether the caller has disconnected.
        let is_buffer_full = !self.may_take_request() && self.buffer.len() >= READ_BYTES;
        let may_read = !is_pipeline_full && !is_buffer_full;
        let signal = &self.shared.entry.signal;
        let timeout = async {
            match deadline {
                Some(deadline) => tokio::time::sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            read = read(
                &mut self.stream,
                &mut self.buffer,
                &self.buffer_charge,
                &mut self.is_readiness_uncertain,
            ), if may_read => {
                match read {
                    Ok(0) => Progress::Closed,
                    Ok(count) => {
                        self.shared.entry.record_progress(count);
                        self.record_bytes();
                        Progress::Bytes
                    }
                    Err(cause) => Progress::Refused(self.refuse_buffer(cause)),
                }
            }
            () = self.shared.changed.notified() => {
                self.last_active_at = Instant::now();
                Progress::Changed
            }
            _ = self.phase.changed() => Progress::Changed,
            () = signal.refused() => Progress::Refused(resources::refusal(&self.state)),
            () = timeout => Progress::TimedOut,
        }
    }
}

/// Reads bytes once some have arrived and the account has room for them; 0 if the caller has
/// disconnected.
async fn read(
    stream: &mut OwnedReadHalf,
    buffer: &mut BytesMut,
    charge: &Charge,
    is_uncertain: &mut bool,
) -> Result<usize, NoMemory> {
    loop {
        // A caller that sends without end must not hold up the event loop.
        tokio::task::consume_budget().await;
        if stream.readable().await.is_err() {
            return Ok(0);
        }
        // A buffer that grows takes up to twice as much.
        let needed_bytes = 2 * (buffer.len() + READ_BYTES);
        charge.grow_to(Purpose::Request, needed_bytes).await?;
        buffer.reserve(READ_BYTES);
        if !*is_uncertain {
            return Ok(stream.read_buf(buffer).await.unwrap_or(0));
        }
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                *is_uncertain = false;
                if buffer.is_empty() {
                    *buffer = BytesMut::new();
                    charge.shrink_to(0);
                }
            }
            read => return Ok(read.unwrap_or(0)),
        }
    }
}

/// Discards what has arrived; reports whether the caller has disconnected.
fn has_disconnected(stream: &OwnedReadHalf) -> bool {
    match stream.try_read(&mut [0; READ_BYTES]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

enum Progress {
    Bytes,
    Changed,
    Closed,
    TimedOut,
    /// The request that is being read must be refused.
    Refused(Answer),
}

fn refusal(error: ReadError) -> Answer {
    let (status, outcome) = match error {
        ReadError::Malformed => (StatusCode::BAD_REQUEST, "malformed"),
        ReadError::HeadTooLarge => (
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head-too-large",
        ),
        ReadError::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
        ReadError::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, resources::OVER_MEMORY),
    };
    Answer::own(status, outcome)
}

fn timeout(outcome: &'static str) -> Answer {
    Answer::own(StatusCode::REQUEST_TIMEOUT, outcome)
}
