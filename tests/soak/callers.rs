//! Callers that record each request and its answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time that callers allow in their requests, in the `time-remaining` header.
pub const TIME_REMAINING_MS: u64 = 1_500;
/// One in this many callers sends further requests before the first is answered.
const PIPELINING_CALLERS: usize = 3;
/// How many requests such a caller sends at once.
const PIPELINED_REQUESTS: usize = 3;

/// The result of one request.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    pub is_idempotent: bool,
    /// The host that it was sent to.
    pub host: usize,
    /// When its last byte was written; `None` if it was not sent whole.
    pub sent_at: Option<Instant>,
    /// When its answer was read or its connection had ended.
    pub ended_at: Instant,
    /// 0 if no complete answer arrived.
    pub status: u16,
    pub has_seal: bool,
    pub body: String,
    /// Whether it was sent behind an answer that closed the connection, so that it must not
    /// run.
    pub is_behind_close: bool,
}

impl Outcome {
    /// Returns a request that has not been sent.
    pub fn new(id: String, is_idempotent: bool, host: usize, is_behind_close: bool) -> Self {
        Self {
            id,
            is_idempotent,
            host,
            sent_at: None,
            ended_at: Instant::now(),
            status: 0,
            has_seal: false,
            body: String::new(),
            is_behind_close,
        }
    }
}

/// A connection to a host.
pub struct Connection {
    pub host: usize,
    pub stream: TcpStream,
}

impl Connection {
    /// Connects to any host; waits a little if that fails.
    pub fn open(shared: &SharedState, rng: &mut fastrand::Rng) -> Option<Self> {
        let host = rng.usize(..shared.caller_addrs.len());
        let addr = &shared.caller_addrs[host];
        let stream = TcpStream::connect_timeout(addr, Duration::from_millis(300)).ok();
        if stream.is_none() {
            std::thread::sleep(Duration::from_millis(20));
        }
        stream.map(|stream| Self { host, stream })
    }
}

/// State that all callers share.
pub struct SharedState {
    pub caller_addrs: Vec<SocketAddr>,
    pub key: Mutex<String>,
    pub is_stopping: AtomicBool,
    pub outcomes: Mutex<Vec<Outcome>>,
}

/// Sends requests until `is_stopping` is set. A connection is reused after nine
/// in ten complete answers.
pub fn run(shared: &Arc<SharedState>, number: usize, mut rng: fastrand::Rng) {
    let mut connection: Option<Connection> = None;
    let batch = match number % PIPELINING_CALLERS {
        0 => PIPELINED_REQUESTS,
        _ => 1,
    };
    let mut count = 0;
    while !shared.is_stopping.load(Ordering::SeqCst) {
        let kept = connection.take();
        let Some(mut current) = kept.or_else(|| Connection::open(shared, &mut rng)) else {
            continue;
        };
        let mut requests = Vec::new();
        for _ in 0..batch {
            count += 1;
            requests.push((format!("{number}-{count}"), rng.bool()));
        }
        let outcomes = exchange(&mut current, shared, requests);
        let is_whole = outcomes.iter().all(|outcome| outcome.status != 0);
        if is_whole && rng.u8(..10) > 0 {
            connection = Some(current);
        }
        shared
            .outcomes
            .lock()
            .expect("not poisoned")
            .extend(outcomes);
        std::thread::sleep(Duration::from_millis(rng.u64(..30)));
    }
}

/// Sends requests at once, given as ids and whether they may repeat, and reads the answers.
fn exchange(
    Connection { host, stream }: &mut Connection,
    shared: &SharedState,
    requests: Vec<(String, bool)>,
) -> Vec<Outcome> {
    let key = shared.key.lock().expect("not poisoned").clone();
    let mut text = String::new();
    for (id, is_idempotent) in &requests {
        let (method, path, body) = if *is_idempotent {
            ("GET", "/read/1", "")
        } else {
            ("POST", "/book/1", "a booking")
        };
        let length = body.len();
        text += &format!(
            "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nattempt-id: {id}\r\n\
             time-remaining: {TIME_REMAINING_MS}\r\napi-key: {key}\r\ncontent-length: {length}\r\n\r\n{body}"
        );
    }
    let read_timeout = Duration::from_millis(TIME_REMAINING_MS + 500);
    let write_result = stream
        .set_read_timeout(Some(read_timeout))
        .and_then(|()| stream.write_all(text.as_bytes()));
    let mut may_read = write_result.is_ok();
    let sent_at = may_read.then(Instant::now);
    let mut is_behind_close = false;
    let mut outcomes = Vec::new();
    for (id, is_idempotent) in requests {
        let mut outcome = Outcome::new(id, is_idempotent, *host, is_behind_close);
        outcome.sent_at = sent_at;
        if may_read {
            is_behind_close = read_answer(stream, &mut outcome);
            may_read = outcome.status != 0 && !is_behind_close;
        }
        outcome.ended_at = Instant::now();
        outcomes.push(outcome);
    }
    outcomes
}

/// Reads an answer, and reports whether it is complete and closes the connection.
pub fn read_answer(stream: &mut TcpStream, outcome: &mut Outcome) -> bool {
    let Some(mut head) = read_head(stream) else {
        return false;
    };
    while head.starts_with("http/1.1 100") {
        let Some(next) = read_head(stream) else {
            return false;
        };
        head = next;
    }
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let length = field("content-length: ")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    if stream.read_exact(&mut body).is_err() {
        return false;
    }
    outcome.status = head
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    outcome.has_seal = field("server-seal: ").is_some();
    outcome.body = String::from_utf8_lossy(&body).into_owned();
    field("connection: ") == Some("close")
}

/// Reads the head of an answer, in lower case; `None` if none arrives.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&bytes).to_lowercase())
}
