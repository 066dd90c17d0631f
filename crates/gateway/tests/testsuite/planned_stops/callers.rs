//! Callers and instances of the rows.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{
    FIRST_ATTEMPT_TIME, GRACE, Kind, LARGE_BODY_BYTES, LONG_RUN_TIME_MS, Moment, RUN_TIME_MS, Row,
    SECOND_RUN_TIME_MS, SHORT_RUN_TIME_MS, Way,
};
use crate::harness::{Instance, Received, Reply, answer_with_proof, read_reply, request};

const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A row's request of one kind at one moment.
#[derive(Clone, Copy)]
pub struct Case {
    pub row: &'static Row,
    pub kind: Kind,
    pub moment: Moment,
    pub must_be_served: bool,
}

impl Case {
    pub fn id(&self, number: usize) -> String {
        let id = format!(
            "{}-{:?}-{:?}-{number}",
            self.row.name, self.kind, self.moment
        );
        id.to_lowercase()
    }

    fn text(&self, number: usize) -> String {
        let terms = match self.row.way {
            Way::SlowReader => "0/large".to_owned(),
            Way::InQueue => SECOND_RUN_TIME_MS.to_string(),
            Way::Refused => format!("{SECOND_RUN_TIME_MS}/refuse"),
            Way::Failed => format!("{SECOND_RUN_TIME_MS}/fail"),
            _ => RUN_TIME_MS.to_string(),
        };
        let text = request_of(self.kind, &terms, &self.id(number));
        match self.row.way {
            Way::ExpectWithBody | Way::ExpectThenBody => {
                text.replace("content-length", "expect: 100-continue\r\ncontent-length")
            }
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
        match self.row.way {
            Way::HeadInParts => 20,
            Way::BodyInParts => body_at + 2,
            Way::ChunkedInParts => body_at + 7,
            Way::ExpectThenBody => body_at,
            _ => 0,
        }
    }

    /// Returns how long the request may be held until it is known that it cannot be served.
    pub fn held_for(&self) -> Duration {
        match self.row.way {
            Way::InQueue => Duration::from_millis(LONG_RUN_TIME_MS),
            Way::Refused | Way::Failed => FIRST_ATTEMPT_TIME,
            _ => Duration::ZERO,
        }
    }
}

pub fn request_of(kind: Kind, terms: &str, id: &str) -> String {
    let (method, route) = match kind {
        Kind::Safe => ("GET", "read"),
        Kind::Idempotent => ("PUT", "read"),
        Kind::Unsafe => ("POST", "book"),
    };
    let text = request(method, &format!("/{route}/{terms}"), id, "body");
    // The route's timeout, which ends after the stop, is the limit.
    text.replace("time-left-ms: 4000", "time-left-ms: 9000")
}

/// What a caller saw of a request.
pub struct Seen {
    pub id: String,
    pub kind: Kind,
    /// When its last byte was sent, and when its answer or the end of the connection came.
    pub whole_at: Option<Instant>,
    pub ended_at: Instant,
    pub reply: Reply,
    /// Whether it was sent behind another request on its connection.
    pub is_behind: bool,
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

fn read_final_reply(stream: &mut TcpStream) -> Reply {
    loop {
        let reply = read_reply(stream);
        if reply.status != 100 {
            return reply;
        }
    }
}

/// Reads a large answer in the middle of the grace, and ends before the last answers are due.
fn read_slowly(stream: &mut TcpStream, stop_at: Instant) -> Reply {
    const PIECE_BYTES: u64 = 512 * 1024;
    sleep_until(Moment::ListenerOpen.at(stop_at));
    let mut head = [0; 1024];
    let length = stream.peek(&mut head).unwrap_or(0);
    let head = String::from_utf8_lossy(&head[..length]).to_lowercase();
    let (head, _) = head.split_once("\r\n\r\n").unwrap_or_default();
    let answer_bytes = head.len() + 4 + LARGE_BODY_BYTES;
    let mut bytes = Vec::new();
    while bytes.len() < answer_bytes
        && matches!(stream.take(PIECE_BYTES).read_to_end(&mut bytes), Ok(1..))
    {
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
    let (way, whole_at) = (case.row.way, case.moment.at(stop_at));
    let text = case.text(0);
    let (early, late) = text.split_at(case.early_length(&text));
    if way == Way::NewConnection {
        sleep_until(whole_at);
    }
    let Some(mut stream) = connect(addr) else {
        return Vec::new();
    };
    let mut ids = vec![case.id(0)];
    let long_terms = LONG_RUN_TIME_MS.to_string();
    match way {
        Way::KeptConnection => {
            let first = request_of(
                Kind::Safe,
                SHORT_RUN_TIME_MS,
                &format!("{}-first", case.id(0)),
            );
            stream.write_all(first.as_bytes()).expect("the host reads");
            assert_eq!(read_reply(&mut stream).status, 200);
        }
        Way::Pipelined => ids.extend([case.id(1), case.id(2)]),
        Way::BehindLongRequest => {
            ids.insert(0, format!("{}-long", case.id(0)));
            sleep_until(Moment::BeforeStop.at(stop_at));
            let first = request_of(Kind::Safe, &long_terms, &ids[0]);
            stream.write_all(first.as_bytes()).expect("the host reads");
        }
        Way::SlowReader => socket2::SockRef::from(&stream)
            .set_recv_buffer_size(64 * 1024)
            .expect("a socket option"),
        _ => {}
    }
    stream.write_all(early.as_bytes()).expect("the host reads");
    if way == Way::ExpectThenBody {
        assert_eq!(read_reply(&mut stream).status, 100);
    }
    sleep_until(whole_at);
    let sent = stream.write_all(late.as_bytes());
    let whole_at = sent.is_ok().then(Instant::now);
    let mut seen = Vec::new();
    for id in ids {
        let reply = match way {
            Way::SlowReader => read_slowly(&mut stream, stop_at),
            _ => read_final_reply(&mut stream),
        };
        seen.push(Seen {
            kind: if id.ends_with("-long") {
                Kind::Safe
            } else {
                case.kind
            },
            id,
            whole_at,
            ended_at: Instant::now(),
            reply,
            is_behind: !seen.is_empty(),
        });
    }
    seen
}

/// Sends requests one after the other until no connection opens; each becomes whole after a
/// pause.
pub fn call_until_gone(addr: SocketAddr, name: &str, kind: Kind, pause: Duration) -> Vec<Seen> {
    let mut seen: Vec<Seen> = Vec::new();
    while let Some(mut stream) = connect(addr) {
        loop {
            let id = format!("{name}-{}", seen.len());
            let text = request_of(kind, SHORT_RUN_TIME_MS, &id);
            let (early, late) = text.split_at(text.len() - 2);
            let mut sent = stream.write_all(early.as_bytes());
            std::thread::sleep(pause);
            sent = sent.and_then(|()| stream.write_all(late.as_bytes()));
            let whole_at = sent.is_ok().then(Instant::now);
            let reply = read_reply(&mut stream);
            let is_last = reply.status == 0 || reply.header("connection") == Some("close");
            seen.push(Seen {
                id,
                kind,
                whole_at,
                ended_at: Instant::now(),
                reply,
                is_behind: false,
            });
            if is_last {
                break;
            }
        }
    }
    seen
}

/// When each request began to run.
pub type Runs = Arc<Mutex<HashMap<String, Vec<Instant>>>>;

/// Starts an instance that runs requests as the second and third part of their path say.
pub fn start_instance(runs: &Runs, attempts: &Runs) -> Instance {
    let (runs, attempts) = (runs.clone(), attempts.clone());
    let large_body = "x".repeat(LARGE_BODY_BYTES);
    let count = |counts: &Runs, id: &str| {
        let mut counts = counts.lock().expect("not poisoned");
        let starts = counts.entry(id.to_owned()).or_default();
        starts.push(Instant::now());
        starts.len()
    };
    Instance::start(Arc::new(move |request: &Received, _| {
        let id = request.header("request-id").unwrap_or("");
        let target = request.head.split(' ').nth(1).unwrap_or("");
        let mut parts = target.split('/').skip(2);
        let run_time_ms = parts.next().and_then(|text| text.parse().ok());
        let run_time = Duration::from_millis(run_time_ms.expect("a run time"));
        let terms = parts.next().unwrap_or("");
        let is_first = count(&attempts, id) == 1;
        let is_refused = is_first && terms == "refuse";
        if !is_refused {
            count(&runs, id);
        }
        std::thread::sleep(match terms {
            "refuse" | "fail" if is_first => FIRST_ATTEMPT_TIME,
            _ => run_time,
        });
        match terms {
            "refuse" if is_refused => {
                let answer = answer_with_proof(request, "503 Full", "");
                let answer = String::from_utf8(answer).expect("text");
                answer.replace("proof: p", "not-run: 1").into_bytes()
            }
            "fail" if is_first => answer_with_proof(request, "500 Error", "failed"),
            "large" => answer_with_proof(request, "200 OK", &large_body),
            _ => answer_with_proof(request, "200 OK", "done"),
        }
    }))
}
