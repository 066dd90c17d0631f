//! Callers of the rows.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::hosts::Setup;
use super::{
    Expected, FIRST_ATTEMPT_TIME, GRACE, HANG_TIME, LARGE_BODY_BYTES, LONG_RUN_TIME_MS,
    RUN_TIME_MS, SECOND_RUN_TIME_MS, SHORT_RUN_TIME_MS, Way,
};
use crate::harness::{Reply, read_reply, request};

const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How long before its first request a young connection is opened.
const YOUNG_SHARE: f64 = 0.065;

/// A row's request of one method at one moment.
#[derive(Clone, Copy)]
pub struct Case {
    pub setup: &'static Setup,
    pub name: &'static str,
    pub way: Way,
    pub method: &'static str,
    pub moment: f64,
    pub expected: Expected,
}

impl Case {
    pub fn id(&self, number: usize) -> String {
        let id = format!("{}-{}-{}-{number}", self.name, self.method, self.moment);
        id.to_lowercase()
    }

    /// Returns the id of requests behind the answer that closes the connection.
    pub fn id_behind(&self) -> String {
        format!("{}-behind", self.id(0))
    }

    fn text(&self, number: usize) -> String {
        let terms = match self.way {
            Way::SlowReader | Way::SlowReaderSends => "0/large".to_owned(),
            Way::InQueue => SECOND_RUN_TIME_MS.to_string(),
            Way::Refused => format!("{SECOND_RUN_TIME_MS}/refuse"),
            Way::Failed => format!("{SECOND_RUN_TIME_MS}/fail"),
            Way::LongRequest => LONG_RUN_TIME_MS.to_string(),
            _ => RUN_TIME_MS.to_string(),
        };
        let text = request_of(self.method, &terms, &self.id(number));
        let with_header =
            |line: &str| text.replace("content-length", &format!("{line}\r\ncontent-length"));
        match self.way {
            Way::ExpectWithBody | Way::ExpectThenBody => with_header("expect: 100-continue"),
            Way::LastInParts => with_header("connection: close"),
            Way::Http10InParts => text.replace("HTTP/1.1", "HTTP/1.0"),
            Way::ChunkedInParts => text
                .replace("content-length: 4", "transfer-encoding: chunked")
                .replace("\r\n\r\nbody", "\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"),
            Way::Pipelined if number < 2 => text + &self.text(number + 1),
            _ => text,
        }
    }

    /// Returns how many bytes of the request are sent long before it becomes whole.
    fn early_length(&self, text: &str) -> usize {
        let body_at = text.find("\r\n\r\n").expect("a head") + 4;
        match self.way {
            Way::HeadInParts | Way::Http10InParts => 20,
            Way::BodyInParts | Way::LastInParts => body_at + 2,
            Way::ChunkedInParts => body_at + 7,
            Way::ExpectThenBody => body_at,
            _ => 0,
        }
    }

    /// Returns how long the request may be held until it is known that it cannot be served.
    pub fn held_for(&self) -> Duration {
        match self.way {
            Way::InQueue => Duration::from_millis(LONG_RUN_TIME_MS),
            Way::Refused | Way::Failed => FIRST_ATTEMPT_TIME,
            _ if self.setup.hangs => HANG_TIME,
            _ => Duration::ZERO,
        }
    }
}

pub fn request_of(method: &str, terms: &str, id: &str) -> String {
    let route = if method == "POST" { "book" } else { "read" };
    let text = request(method, &format!("/{route}/{terms}"), id, "body");
    // The route's timeout, which ends after the stop, is the limit.
    text.replace("time-left-ms: 4000", "time-left-ms: 9000")
}

/// What a caller saw of a request.
pub struct Seen {
    pub id: String,
    pub method: &'static str,
    /// When its last byte was sent, and when its answer or the end of the connection came.
    pub whole_at: Option<Instant>,
    pub ended_at: Instant,
    pub reply: Reply,
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(addr).ok()?;
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a socket option");
    Some(stream)
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("the host reads");
}

fn read_final_reply(stream: &mut TcpStream) -> Reply {
    loop {
        let reply = read_reply(stream);
        if reply.status != 100 {
            return reply;
        }
    }
}

/// Reads a large answer in the middle of the grace, and ends before the last answers are due.
/// Sends `behind` again and again after the answer has begun.
fn read_slowly(stream: &mut TcpStream, stop_at: Instant, behind: &str) -> Reply {
    const PIECE_BYTES: u64 = 512 * 1024;
    sleep_until(stop_at + GRACE.mul_f64(0.4));
    let mut head = [0; 1024];
    let length = stream.peek(&mut head).unwrap_or(0);
    let head = String::from_utf8_lossy(&head[..length]).to_lowercase();
    let (head, _) = head.split_once("\r\n\r\n").unwrap_or_default();
    let answer_bytes = head.len() + 4 + LARGE_BODY_BYTES;
    let mut bytes = Vec::new();
    while bytes.len() < answer_bytes
        && matches!(stream.take(PIECE_BYTES).read_to_end(&mut bytes), Ok(1..))
    {
        // The host may have closed the connection.
        let _ = stream.write_all(behind.as_bytes());
        std::thread::sleep(GRACE / 75);
    }
    let is_complete = head.starts_with("http/1.1 200") && bytes.len() == answer_bytes;
    Reply {
        status: if is_complete { 200 } else { 0 },
        head: format!("{head}\r\n"),
        body: Vec::new(),
    }
}

/// Sends the requests of a case and returns what its caller sees; nothing if no connection
/// could be opened.
pub fn perform(case: &Case, addr: SocketAddr, stop_at: Instant) -> Vec<Seen> {
    let at = |share: f64| {
        let before = GRACE.mul_f64((-share).max(0.0));
        stop_at + GRACE.mul_f64(share.max(0.0)) - before
    };
    let text = case.text(0);
    let (early, late) = text.split_at(case.early_length(&text));
    match case.way {
        Way::NewConnection => sleep_until(at(case.moment)),
        Way::YoungConnection => sleep_until(at(case.moment - YOUNG_SHARE)),
        _ => {}
    }
    let Some(mut stream) = connect(addr) else {
        return Vec::new();
    };
    let mut requests = vec![(case.id(0), case.method)];
    match case.way {
        Way::KeptConnection => {
            let id = format!("{}-first", case.id(0));
            send(
                &mut stream,
                &request_of("GET", &SHORT_RUN_TIME_MS.to_string(), &id),
            );
            assert_eq!(read_reply(&mut stream).status, 200);
        }
        Way::Pipelined => requests.extend([1, 2].map(|number| (case.id(number), case.method))),
        Way::BehindLongRequest => {
            requests.insert(0, (format!("{}-long", case.id(0)), "GET"));
            sleep_until(at(-0.1));
            send(
                &mut stream,
                &request_of("GET", &LONG_RUN_TIME_MS.to_string(), &requests[0].0),
            );
        }
        Way::SlowReader | Way::SlowReaderSends => socket2::SockRef::from(&stream)
            .set_recv_buffer_size(64 * 1024)
            .expect("a socket option"),
        _ => {}
    }
    send(&mut stream, early);
    if case.way == Way::ExpectThenBody {
        assert_eq!(read_reply(&mut stream).status, 100);
    }
    sleep_until(at(case.moment));
    let sent = stream.write_all(late.as_bytes());
    let whole_at = sent.is_ok().then(Instant::now);
    let mut seen = Vec::new();
    for (id, method) in requests {
        let reply = match case.way {
            Way::SlowReader => read_slowly(&mut stream, stop_at, ""),
            Way::SlowReaderSends => {
                let behind = request_of(case.method, "0", &case.id_behind());
                read_slowly(&mut stream, stop_at, &behind)
            }
            _ => read_final_reply(&mut stream),
        };
        seen.push(Seen {
            id,
            method,
            whole_at,
            ended_at: Instant::now(),
            reply,
        });
    }
    seen
}

/// Sends requests one after the other until no connection opens; each becomes whole after a
/// pause.
pub fn call_until_gone(
    addr: SocketAddr,
    name: &str,
    method: &'static str,
    pause: Duration,
) -> Vec<Seen> {
    let mut seen: Vec<Seen> = Vec::new();
    while let Some(mut stream) = connect(addr) {
        let mut is_open = true;
        while is_open {
            let id = format!("{name}-{}", seen.len());
            let text = request_of(method, &SHORT_RUN_TIME_MS.to_string(), &id);
            let (early, late) = text.split_at(text.len() - 2);
            let mut sent = stream.write_all(early.as_bytes());
            std::thread::sleep(pause);
            sent = sent.and_then(|()| stream.write_all(late.as_bytes()));
            let whole_at = sent.is_ok().then(Instant::now);
            let reply = read_reply(&mut stream);
            is_open = reply.status != 0 && reply.header("connection") != Some("close");
            seen.push(Seen {
                id,
                method,
                whole_at,
                ended_at: Instant::now(),
                reply,
            });
        }
    }
    seen
}
