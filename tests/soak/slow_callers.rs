//! Callers that send requests in parts, keep connections idle, and ask for long work.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::callers::{Connection, Outcome, SharedState, TIME_REMAINING_MS, read_answer, read_head};

/// What the ids of their requests begin with.
pub const ID_PREFIX: &str = "slow-";
/// Their workspace, which has no rate.
pub const WORKSPACE: &str = "patient";
pub const KEY: &str = "patient-key";
/// The longest time to send a request, the grace period of a host. The configuration allows
/// 3 s for a head.
const MAX_SENDING_MS: u64 = 2_900;
/// The longest work of instances, which is less than the time that callers allow.
const MAX_WORK_MS: u64 = 1_000;
const MAX_IDLE_MS: u64 = 2_000;
/// How soon callers notice that the run is over.
const MAX_WAIT_STEP: Duration = Duration::from_millis(100);
const BODY: &str = "a booking that arrives in parts";

/// Sends requests until `is_stopping` is set. A connection is reused after all complete
/// answers but those that close it, and after some of these too: the host must not run
/// what is sent behind them.
pub fn run(shared: &SharedState, number: usize, mut rng: fastrand::Rng) {
    let mut connection: Option<Connection> = None;
    let mut is_behind_close = false;
    let mut count = 0;
    while !shared.is_stopping.load(Ordering::SeqCst) {
        let Some(mut current) = connection.take().or_else(|| {
            is_behind_close = false;
            Connection::open(shared, &mut rng)
        }) else {
            continue;
        };
        let max_idle_ms = if rng.bool() { 30 } else { MAX_IDLE_MS };
        let idle_until = Instant::now() + Duration::from_millis(rng.u64(..max_idle_ms));
        while let Some(step) = next_wait(shared, idle_until) {
            std::thread::sleep(step);
        }
        count += 1;
        let id = format!("{ID_PREFIX}{number}-{count}");
        let mut outcome = Outcome::new(id, rng.bool(), current.host, is_behind_close);
        let sending_time = Duration::from_millis(rng.u64(..MAX_SENDING_MS));
        let parts = draw_parts(&outcome, &mut rng);
        let is_sent = send(&mut current.stream, shared, &parts, sending_time);
        outcome.sent_at = is_sent.then(Instant::now);
        let read_timeout = Duration::from_millis(TIME_REMAINING_MS + 500);
        is_behind_close = current.stream.set_read_timeout(Some(read_timeout)).is_ok()
            && read_answer(&mut current.stream, &mut outcome);
        outcome.ended_at = Instant::now();
        if is_sent && outcome.status != 0 && (!is_behind_close || rng.u8(..4) == 0) {
            connection = Some(current);
        }
        shared.outcomes.lock().expect("not poisoned").push(outcome);
    }
}

/// Returns a request in the parts in which it is sent: a head in parts, or a body by length,
/// in chunks or behind `100 Continue`.
fn draw_parts(outcome: &Outcome, rng: &mut fastrand::Rng) -> Vec<Vec<u8>> {
    let (method, path) = if outcome.is_idempotent {
        ("PUT", "/read/1")
    } else {
        ("POST", "/book/1")
    };
    let work_ms = if rng.bool() {
        rng.u64(..MAX_WORK_MS)
    } else {
        0
    };
    let form = rng.usize(..4);
    let framing = match form {
        2 => "transfer-encoding: chunked".to_owned(),
        3 => format!("expect: 100-continue\r\ncontent-length: {}", BODY.len()),
        _ => format!("content-length: {}", BODY.len()),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nattempt-id: {}\r\n\
         time-remaining: {TIME_REMAINING_MS}\r\nwork-ms: {work_ms}\r\napi-key: {KEY}\r\n\
         {framing}\r\n\r\n",
        outcome.id
    );
    let (whole_part, split) = match form {
        0 => (String::new(), head + BODY),
        _ => (head, BODY.to_owned()),
    };
    let part_bytes = split.len().div_ceil(rng.usize(1..=5));
    let split = split.as_bytes().chunks(part_bytes);
    let mut parts = vec![whole_part.into_bytes()];
    if form == 2 {
        parts.extend(split.map(|part| {
            let size = format!("{:x}\r\n", part.len());
            [size.as_bytes(), part, b"\r\n"].concat()
        }));
        parts.push(b"0\r\n\r\n".to_vec());
    } else {
        parts.extend(split.map(<[u8]>::to_vec));
    }
    parts
}

/// Sends parts over a time; reports `false` if the answer or the end of the connection
/// arrived before, or the run is over.
fn send(
    stream: &mut TcpStream,
    shared: &SharedState,
    parts: &[Vec<u8>],
    sending_time: Duration,
) -> bool {
    let pause = sending_time / u32::try_from(parts.len()).expect("few parts");
    for (number, part) in parts.iter().enumerate() {
        if number > 0 && is_answered_within(stream, shared, pause) {
            return false;
        }
        if shared.is_stopping.load(Ordering::SeqCst) || stream.write_all(part).is_err() {
            return false;
        }
    }
    true
}

/// Waits, and reports whether an answer or the end of the connection arrives meanwhile.
/// `100 Continue` is no answer and ends the wait.
fn is_answered_within(stream: &mut TcpStream, shared: &SharedState, pause: Duration) -> bool {
    let end = Instant::now() + pause;
    let mut start = [0; 12];
    while let Some(step) = next_wait(shared, end) {
        if stream.set_read_timeout(Some(step)).is_err() {
            return true;
        }
        let Ok(length) = stream.peek(&mut start) else {
            continue;
        };
        if &start[..length] != b"HTTP/1.1 100" {
            return true;
        }
        return read_head(stream).is_none();
    }
    false
}

/// Returns how long to wait before looking again whether the run is over; `None` if it is,
/// or at the end of the wait.
fn next_wait(shared: &SharedState, end: Instant) -> Option<Duration> {
    let rest = end.saturating_duration_since(Instant::now());
    let is_over = rest.is_zero() || shared.is_stopping.load(Ordering::SeqCst);
    (!is_over).then(|| rest.min(MAX_WAIT_STEP))
}
