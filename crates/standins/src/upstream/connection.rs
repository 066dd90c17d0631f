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
enum RequestFault {
    Normal,
    Gray(GrayKind),
}

/// A request that holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Work {
    id: RecordId,
    fault: RequestFault,
    cut: Cut,
}

/// Why the work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorkEnd {
    Done,
    ClientClosed,
    DeadlineExceeded,
}

pub(super) fn serve_connection(shared: &Shared, control: &ServerControl, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = RequestReader::new(stream);
    loop {
        if shared.faults().cut == Cut::Requests {
            wait_until_cut_heals(shared, control, &reader);
        }
        let Ok(Some(request)) = reader.next_request() else {
            return;
        };
        if shared.faults().cut == Cut::Requests {
            wait_until_cut_heals(shared, control, &reader);
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
    if let Some(response) = answer_probe(shared, request) {
        return write_response(writer, request, &response).map_or(Connection::Close, keep_open);
    }
    let Some(work) = acquire_slot(shared, request) else {
        let response = HttpResponse::new(503, b"shed\n".to_vec());
        let response = response.with_header(SHED_HEADER, SHED_VALUE);
        return write_response(writer, request, &response).map_or(Connection::Close, keep_open);
    };
    let (outcome, next) = run_request(shared, control, request, work, reader, writer);
    let mut state = shared.lock();
    state.in_flight -= 1;
    state.records.finish(work.id, outcome);
    drop(state);
    if outcome == RequestOutcome::Crashed {
        let down_time = shared.settings.crash_down_time;
        shared.set_restart(Instant::now() + down_time);
        control.refuse_for(down_time);
    }
    next
}

fn keep_open(_written: ()) -> Connection {
    Connection::KeepOpen
}

fn answer_probe(shared: &Shared, request: &HttpRequest) -> Option<HttpResponse> {
    let mut state = shared.lock();
    let response = match request.path() {
        "/health" => answers::health(&state.faults),
        "/load" => answers::load(&state.faults, state.in_flight, shared.settings.slots),
        _ => return None,
    };
    state.records.record_probe(request);
    Some(response)
}

// Records the request; returns `None` if it is shed.
fn acquire_slot(shared: &Shared, request: &HttpRequest) -> Option<Work> {
    let mut state = shared.lock();
    let is_full = state.in_flight >= shared.settings.slots;
    if is_full || state.faults.phase == Phase::Draining {
        state.records.record_shed(request);
        return None;
    }
    state.in_flight += 1;
    let draw = state.rng.u8(0..PERCENT);
    let gray = state.faults.gray.filter(|gray| draw < gray.share_percent);
    let fault = gray.map_or(RequestFault::Normal, |gray| RequestFault::Gray(gray.kind));
    Some(Work {
        id: state.records.start(request),
        fault,
        cut: state.faults.cut,
    })
}

fn run_request(
    shared: &Shared,
    control: &ServerControl,
    request: &HttpRequest,
    work: Work,
    reader: &RequestReader,
    writer: &mut TcpStream,
) -> (RequestOutcome, Connection) {
    if has_crash_marker(request) {
        return (RequestOutcome::Crashed, Connection::Close);
    }
    let duration = work_duration(shared, work.fault);
    match wait_for_work(control, request, duration, reader) {
        WorkEnd::Done => {}
        WorkEnd::ClientClosed => return (RequestOutcome::Cancelled, Connection::Close),
        WorkEnd::DeadlineExceeded => {
            let response = HttpResponse::new(504, b"deadline exceeded\n".to_vec());
            let _ = write_response(writer, request, &response);
            return (RequestOutcome::DeadlineExceeded, Connection::Close);
        }
    }
    // A cut at the start of the request also applies if it was healed while the
    // request ran.
    if work.cut == Cut::Answers || shared.faults().cut == Cut::Answers {
        wait_until_cut_heals(shared, control, reader);
        return (RequestOutcome::CutShort, Connection::Close);
    }
    let mut answer = match work.fault {
        RequestFault::Gray(GrayKind::Errors) => {
            Answer::complete(HttpResponse::new(500, b"error\n".to_vec()))
        }
        RequestFault::Normal | RequestFault::Gray(_) => answers::for_request(request),
    };
    answer.truncate_at_bytes = answer
        .truncate_at_bytes
        .or(shared.faults().truncate_at_bytes);
    write_answer(writer, request, &answer)
}

fn has_crash_marker(request: &HttpRequest) -> bool {
    let marker = CRASH_MARKER.as_bytes();
    let mut windows = request.body.windows(marker.len());
    request.target.contains(CRASH_MARKER) || windows.any(|window| window == marker)
}

// Returns `None` for work that never ends.
fn work_duration(shared: &Shared, fault: RequestFault) -> Option<Duration> {
    let settings = &shared.settings;
    let is_cold = Instant::now() < shared.lock().warm_at;
    let factor = if is_cold { settings.cold_factor } else { 1 };
    let base = settings.service_time * factor;
    match fault {
        RequestFault::Gray(GrayKind::Hangs) => None,
        RequestFault::Gray(GrayKind::Slow(extra)) => Some(base + extra),
        RequestFault::Gray(GrayKind::Errors) | RequestFault::Normal => Some(base),
    }
}

fn wait_for_work(
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
        let remaining = duration.map_or(POLL_INTERVAL, |duration| duration - elapsed);
        let is_closed = reader.poll_for_close(remaining.min(POLL_INTERVAL)) == ClientState::Closed;
        if is_closed || control.token().is_cancelled() {
            return WorkEnd::ClientClosed;
        }
    }
}

fn wait_until_cut_heals(shared: &Shared, control: &ServerControl, reader: &RequestReader) {
    while shared.faults().cut != Cut::None && !control.token().is_cancelled() {
        if reader.poll_for_close(POLL_INTERVAL) == ClientState::Closed {
            return;
        }
    }
}

fn write_response(
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
    let end = answer.truncate_at_bytes.map(|at| at.min(last_byte));
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
