//! One connection of a caller: reads ahead, runs requests side by side, and
//! cancels them when the caller leaves.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use waxwingusher_config::routing::CallerLimits;

use super::reader::{BodyReader, Head, ReadError, take_head};
use super::writer::{self, Place};
use crate::answer::Answer;
use crate::pipeline::{CallerRequest, PipelineOrder, handle};
use crate::state::{Phase, State};

/// Requests of one connection that may be without an answer; more are not read
/// until one is answered.
const MAX_AHEAD: usize = 32;
/// How long a connection that was closed from here is still read, so that bytes
/// which the caller has sent do not reset it before the answer has arrived.
const LINGER: Duration = Duration::from_secs(1);
/// The room that is made for each read.
const READ_BYTES: usize = 8 * 1024;

/// What the reading and the writing side of a connection share.
#[derive(Debug, Default)]
pub(super) struct Shared {
    /// Requests that were read and have no answer yet.
    pub(super) unanswered: Cell<usize>,
    /// Requests that were answered.
    answered_count: Cell<u64>,
    changed: Notify,
    is_closed: Cell<bool>,
}

impl Shared {
    /// Records that an answer was written.
    pub(super) fn answered(&self, state: &State) {
        self.unanswered.set(self.unanswered.get().saturating_sub(1));
        self.answered_count.set(self.answered_count.get() + 1);
        state.in_flight.set(state.in_flight.get().saturating_sub(1));
        self.changed.notify_waiters();
    }

    /// Ends the reading side.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
        self.changed.notify_waiters();
    }
}

struct ConnectionOrder {
    shared: Rc<Shared>,
    position: u64,
}

impl PipelineOrder for ConnectionOrder {
    async fn wait_for_earlier_answers(&self) {
        loop {
            let changed = self.shared.changed.notified();
            if self.shared.answered_count.get() >= self.position {
                return;
            }
            changed.await;
        }
    }
}

/// Why reading ended.
enum ReadEnd {
    /// The caller has left, or the connection was closed from here.
    Over,
    /// The bytes are no request that is taken.
    Refused(StatusCode, &'static str),
}

/// Serves a connection until it ends.
pub(crate) async fn serve(state: Rc<State>, stream: TcpStream) {
    state.connections.set(state.connections.get() + 1);
    converse(&state, stream).await;
    state
        .connections
        .set(state.connections.get().saturating_sub(1));
}

async fn converse(state: &Rc<State>, stream: TcpStream) {
    // Without it answers would only be a little later.
    let _ = stream.set_nodelay(true);
    let (read_half, write_half) = stream.into_split();
    let shared = Rc::new(Shared::default());
    let (places, queue) = unbounded_channel();
    let writing = writer::run(state.clone(), shared.clone(), write_half, queue);
    let mut writer = tokio::task::spawn_local(writing);
    let mut connection = Connection {
        phase: state.phase.subscribe(),
        state: state.clone(),
        stream: read_half,
        buffer: BytesMut::new(),
        shared,
        places,
        running: JoinSet::new(),
        read_count: 0,
        active_at: Instant::now(),
    };
    if let ReadEnd::Refused(status, outcome) = connection.read_requests().await {
        connection.queue_ready(Answer::own(status, outcome), true);
        // A writer that has ended already leaves nothing to wait for.
        let _ = (&mut writer).await;
    }
    let Connection {
        shared,
        running,
        stream,
        ..
    } = connection;
    if shared.is_closed.get() {
        linger(stream).await;
    }
    writer.abort();
    drop(running);
    let left = shared.unanswered.get();
    state
        .in_flight
        .set(state.in_flight.get().saturating_sub(left));
}

/// Reads and drops what the caller still sends, until it closes.
async fn linger(mut stream: OwnedReadHalf) {
    let mut rest = BytesMut::new();
    let drain = async {
        while let Ok(1..) = stream.read_buf(&mut rest).await {
            rest.clear();
        }
    };
    // A caller that keeps the connection open beyond that is cut off.
    let _ = tokio::time::timeout(LINGER, drain).await;
}

struct Connection {
    state: Rc<State>,
    stream: OwnedReadHalf,
    buffer: BytesMut,
    shared: Rc<Shared>,
    places: UnboundedSender<Place>,
    /// Requests under way; dropping it cancels them.
    running: JoinSet<()>,
    read_count: u64,
    active_at: Instant,
    phase: watch::Receiver<Phase>,
}

impl Connection {
    async fn read_requests(&mut self) -> ReadEnd {
        loop {
            let limits = self.state.caller_limits();
            let head = match self.read_head(&limits).await {
                Ok(Some(head)) => head,
                Ok(None) => return ReadEnd::Over,
                Err(end) => return end,
            };
            let body = match self.read_body(&head, &limits).await {
                Ok(Some(body)) => body,
                Ok(None) => return ReadEnd::Over,
                Err(end) => return end,
            };
            let is_last = head.is_last;
            self.start(head, body);
            while self.running.try_join_next().is_some() {}
            if is_last {
                return self.wait_for_end().await;
            }
        }
    }

    /// Reads a head; `None` if the connection is over.
    async fn read_head(&mut self, limits: &CallerLimits) -> Result<Option<Head>, ReadEnd> {
        let mut begun_at = None;
        loop {
            if self.shared.unanswered.get() < MAX_AHEAD {
                match take_head(&mut self.buffer, limits) {
                    Ok(Some(head)) => return Ok(Some(head)),
                    Ok(None) => {}
                    Err(error) => return Err(refused(error)),
                }
            }
            let is_idle = self.buffer.is_empty();
            if is_idle && self.may_close() {
                return Ok(None);
            }
            if !is_idle && begun_at.is_none() {
                begun_at = Some(Instant::now());
            }
            let is_waiting = self.shared.unanswered.get() > 0;
            let deadline = match begun_at {
                _ if is_waiting => None,
                Some(begun_at) => Some(begun_at + limits.header_timeout),
                None => Some(self.active_at + limits.idle_timeout),
            };
            match self.read_more(deadline).await {
                Progress::Bytes | Progress::Changed => {}
                Progress::Over => return Ok(None),
                Progress::TimedOut if is_idle => return Ok(None),
                Progress::TimedOut => {
                    return Err(ReadEnd::Refused(StatusCode::REQUEST_TIMEOUT, "slow-head"));
                }
            }
        }
    }

    /// Reads a body; `None` if the connection is over.
    async fn read_body(
        &mut self,
        head: &Head,
        limits: &CallerLimits,
    ) -> Result<Option<Bytes>, ReadEnd> {
        let mut body = BodyReader::new(head.body, limits);
        let mut may_ask = head.expects_continue;
        loop {
            match body.take(&mut self.buffer) {
                Ok(Some(body)) => return Ok(Some(body)),
                Ok(None) => {}
                Err(error) => return Err(refused(error)),
            }
            if std::mem::take(&mut may_ask) && self.shared.unanswered.get() == 0 {
                self.say_continue();
            }
            let deadline = Instant::now() + limits.idle_timeout;
            match self.read_more(Some(deadline)).await {
                Progress::Bytes | Progress::Changed => {}
                Progress::Over => return Ok(None),
                Progress::TimedOut => {
                    return Err(ReadEnd::Refused(StatusCode::REQUEST_TIMEOUT, "slow-body"));
                }
            }
        }
    }

    /// Lets a caller that waits for a go-ahead send its body.
    fn say_continue(&mut self) {
        let mut go_ahead = Answer::own(StatusCode::CONTINUE, "continue");
        go_ahead.body = Bytes::new();
        go_ahead.headers.clear();
        self.queue_ready(go_ahead, false);
    }

    /// Queues an answer that is there already.
    fn queue_ready(&mut self, answer: Answer, is_last: bool) {
        let (sender, receiver) = oneshot::channel();
        // The receiver is not dropped before it is queued.
        let _ = sender.send(answer);
        self.queue(Place {
            answer: receiver,
            method: http::Method::GET,
            is_last,
        });
    }

    fn start(&mut self, head: Head, body: Bytes) {
        let (sender, answer) = oneshot::channel();
        self.queue(Place {
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
        };
        let order = ConnectionOrder {
            shared: self.shared.clone(),
            position: self.read_count - 1,
        };
        let state = self.state.clone();
        self.running.spawn_local(async move {
            let answer = handle(&state, request, order).await;
            // The writer is gone only if the caller is.
            let _ = sender.send(answer);
        });
    }

    fn queue(&mut self, place: Place) {
        self.read_count += 1;
        self.shared.unanswered.set(self.shared.unanswered.get() + 1);
        self.state.in_flight.set(self.state.in_flight.get() + 1);
        // The writer ends only together with the connection.
        let _ = self.places.send(place);
    }

    /// Waits until the last answer is written or the caller leaves.
    async fn wait_for_end(&mut self) -> ReadEnd {
        loop {
            if self.shared.is_closed.get() {
                return ReadEnd::Over;
            }
            match self.read_more(None).await {
                Progress::Over => return ReadEnd::Over,
                Progress::Bytes => self.buffer.clear(),
                Progress::Changed | Progress::TimedOut => {}
            }
        }
    }

    /// An idle connection of a host that is closing ends.
    fn may_close(&self) -> bool {
        self.shared.unanswered.get() == 0 && *self.phase.borrow() == Phase::Closing
    }

    async fn read_more(&mut self, deadline: Option<Instant>) -> Progress {
        if self.shared.is_closed.get() {
            return Progress::Over;
        }
        let is_full = self.shared.unanswered.get() >= MAX_AHEAD;
        self.buffer.reserve(READ_BYTES);
        let timeout = async {
            match deadline {
                Some(deadline) => tokio::time::sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.buffer), if !is_full => match read {
                Ok(0) | Err(_) => Progress::Over,
                Ok(_) => {
                    self.active_at = Instant::now();
                    Progress::Bytes
                }
            },
            () = self.shared.changed.notified() => {
                self.active_at = Instant::now();
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
    Over,
    TimedOut,
}

fn refused(error: ReadError) -> ReadEnd {
    match error {
        ReadError::Malformed => ReadEnd::Refused(StatusCode::BAD_REQUEST, "malformed"),
        ReadError::HeadTooLarge => {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            ReadEnd::Refused(status, "head-too-large")
        }
        ReadError::BodyTooLarge => {
            ReadEnd::Refused(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large")
        }
    }
}
