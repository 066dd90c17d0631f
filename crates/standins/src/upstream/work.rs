//! Serves one connection to an instance.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{ClientState, Framing, HttpRequest, HttpResponse, RequestReader, write_parts};
use crate::server::ServerControl;

use super::answers::{self, Answer};
use super::records::{RecordId, RequestOutcome};
use super::settings::{Cut, GrayKind, Phase};
use super::{CRASH_MARKER, DEADLINE_HEADER, SHED_HEADER, SHED_VALUE, Shared};

const POLL_INTERVAL: Duration = Duration::from_millis(5);
const PERCENT: u8 = 100;

/// Whether the connection stays open for another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connection {
    KeepOpen,
    Close,
}

/// Whether a request is processed normally or fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Normal,
    Gray(GrayKind),
}

/// A request that holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Work {
    id: RecordId,
    fate: Fate,
    cut: Cut,
}

/// Why the work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorkEnd {
    Done,
    ClientGone,
    DeadlineExceeded,
}

pub(super) fn serve_connection(shared: &Shared, control: &ServerControl, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = RequestReader::new(stream);
    loop {
        if shared.faults().cut == Cut::Requests {
            wait_out_cut(shared, control, &reader);
        }
        let Ok(Some(request)) = reader.next_request() else {
            return;
        };
        if shared.faults().cut == Cut::Requests {
            wait_out_cut(shared, control, &reader);
            return;
        }
        let next = serve_request(shared, control, &request, &reader, &mut writer);
        if next == Connection::Close || request.wants_close() {
            let _ = writer.shutdown(Shutdown::Both);
            return;
        }
    }
}

fn serve_request(
    shared: &Shared,
    control: &ServerControl,
    request: &HttpRequest,
    reader: &RequestReader,
    writer: &mut TcpStream,
) -> Connection {
    if let Some(response) = hint(shared, request) {
        return write_whole(writer, request, &response).map_or(Connection::Close, keep_open);
    }
    let Some(begun) = take_slot(shared, request) else {
        let response = HttpResponse::new(503, b"shed\n".to_vec());
        let response = response.with_header(SHED_HEADER, SHED_VALUE);
        return write_whole(writer, request, &response).map_or(Connection::Close, keep_open);
    };
    let (outcome, next) = run(shared, control, request, begun, reader, writer);
    let mut state = shared.lock();
    state.in_flight -= 1;
    state.records.finish(begun.id, outcome);
    drop(state);
    if outcome == RequestOutcome::Crashed {
        let down_time = shared.settings.crash_down_time;
        shared.restart_at(Instant::now() + down_time);
        control.refuse_for(down_time);
    }
    next
}

fn keep_open(_written: ()) -> Connection {
    Connection::KeepOpen
}

fn hint(shared: &Shared, request: &HttpRequest) -> Option<HttpResponse> {
    let mut state = shared.lock();
    let response = match request.path() {
        "/health" => answers::health(&state.faults),
        "/load" => answers::load(&state.faults, state.in_flight, shared.settings.slots),
        _ => return None,
    };
    state.records.hint(request);
    Some(response)
}

// Records the request; returns `None` if it is shed.
fn take_slot(shared: &Shared, request: &HttpRequest) -> Option<Work> {
    let mut state = shared.lock();
    let is_full = state.in_flight >= shared.settings.slots;
    if is_full || state.faults.phase == Phase::Draining {
        state.records.shed(request);
        return None;
    }
    state.in_flight += 1;
    let draw = state.rng.u8(0..PERCENT);
    let gray = state.faults.gray.filter(|gray| draw < gray.share_percent);
    let fate = gray.map_or(Fate::Normal, |gray| Fate::Gray(gray.kind));
    Some(Work {
        id: state.records.begin(request),
        fate,
        cut: state.faults.cut,
    })
}

fn run(
    shared: &Shared,
    control: &ServerControl,
    request: &HttpRequest,
    begun: Work,
    reader: &RequestReader,
    writer: &mut TcpStream,
) -> (RequestOutcome, Connection) {
    if is_marked(request) {
        return (RequestOutcome::Crashed, Connection::Close);
    }
    let duration = work_duration(shared, begun.fate);
    match work(control, request, duration, reader) {
        WorkEnd::Done => {}
        WorkEnd::ClientGone => return (RequestOutcome::Cancelled, Connection::Close),
        WorkEnd::DeadlineExceeded => {
            let response = HttpResponse::new(504, b"deadline exceeded\n".to_vec());
            let _ = write_whole(writer, request, &response);
            return (RequestOutcome::DeadlineExceeded, Connection::Close);
        }
    }
    // A cut at the start of the request also applies if it was healed while the request ran.
    if begun.cut == Cut::Answers || shared.faults().cut == Cut::Answers {
        wait_out_cut(shared, control, reader);
        return (RequestOutcome::CutShort, Connection::Close);
    }
    let mut answer = match begun.fate {
        Fate::Gray(GrayKind::Errors) => Answer::whole(HttpResponse::new(500, b"error\n".to_vec())),
        Fate::Normal | Fate::Gray(_) => answers::for_request(request),
    };
    answer.die_at_bytes = answer.die_at_bytes.or(shared.faults().die_at_bytes);
    write_answer(writer, request, &answer)
}

fn is_marked(request: &HttpRequest) -> bool {
    let marker = CRASH_MARKER.as_bytes();
    let mut windows = request.body.windows(marker.len());
    request.target.contains(CRASH_MARKER) || windows.any(|window| window == marker)
}

// Returns `None` for work that never ends.
fn work_duration(shared: &Shared, fate: Fate) -> Option<Duration> {
    let settings = &shared.settings;
    let is_cold = Instant::now() < shared.lock().warm_at;
    let factor = if is_cold { settings.cold_factor } else { 1 };
    let normal = settings.service_time * factor;
    match fate {
        Fate::Gray(GrayKind::Hangs) => None,
        Fate::Gray(GrayKind::Slow(extra)) => Some(normal + extra),
        Fate::Gray(GrayKind::Errors) | Fate::Normal => Some(normal),
    }
}

fn work(
    control: &ServerControl,
    request: &HttpRequest,
    duration: Option<Duration>,
    reader: &RequestReader,
) -> WorkEnd {
    let start = Instant::now();
    let deadline_ms = request.header(DEADLINE_HEADER);
    let deadline = deadline_ms.and_then(|text| text.parse().ok());
    let deadline = deadline.map(Duration::from_millis);
    loop {
        let elapsed = start.elapsed();
        if duration.is_some_and(|duration| elapsed >= duration) {
            return WorkEnd::Done;
        }
        if deadline.is_some_and(|deadline| elapsed >= deadline) {
            return WorkEnd::DeadlineExceeded;
        }
        let left = duration.map_or(POLL_INTERVAL, |duration| duration - elapsed);
        let gone = reader.wait_for_close(left.min(POLL_INTERVAL)) == ClientState::Gone;
        if gone || control.token().is_cancelled() {
            return WorkEnd::ClientGone;
        }
    }
}

fn wait_out_cut(shared: &Shared, control: &ServerControl, reader: &RequestReader) {
    while shared.faults().cut != Cut::None && !control.token().is_cancelled() {
        if reader.wait_for_close(POLL_INTERVAL) == ClientState::Gone {
            return;
        }
    }
}

fn write_whole(
    writer: &mut TcpStream,
    request: &HttpRequest,
    response: &HttpResponse,
) -> io::Result<()> {
    let (head, body) = response.encode(&request.method);
    write_parts(writer, &head, &body)
}

fn write_answer(
    writer: &mut TcpStream,
    request: &HttpRequest,
    answer: &Answer,
) -> (RequestOutcome, Connection) {
    let (head, body) = answer.response.encode(&request.method);
    let last_byte = body.len().saturating_sub(1);
    let end = answer.die_at_bytes.map(|at| at.min(last_byte));
    let sent = write_parts(writer, &head, &body[..end.unwrap_or(body.len())]);
    if sent.is_err() || end.is_some() {
        return (RequestOutcome::CutShort, Connection::Close);
    }
    let next = match answer.response.framing {
        Framing::ContentLength | Framing::Chunked => Connection::KeepOpen,
        Framing::UntilClose => Connection::Close,
    };
    (RequestOutcome::Answered(answer.response.status), next)
}
