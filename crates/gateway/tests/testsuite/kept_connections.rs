//! Answers that arrive where another one is due, on connections that are kept open.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::harness::{Instance, Received, TestHost, read_request, request};

const GRACE: Duration = Duration::from_secs(1);
/// How long the instance runs a request.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Longer than a host leaves an instance alone after a refusal.
const PAUSE: Duration = Duration::from_millis(150);

/// What an instance says in place of an answer, with `{id}` for the id of its first request.
struct Refusals {
    /// The answer to its first request.
    first: &'static str,
    /// What it writes before each later answer on the same connection.
    repeated: &'static str,
}

impl Refusals {
    /// Starts an instance that keeps its connections open.
    fn start_instance(&'static self) -> Instance {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let received: Arc<Mutex<Vec<Received>>> = Arc::default();
        let log = received.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let log = log.clone();
                std::thread::spawn(move || self.serve(stream, &log, number == 0));
            }
        });
        Instance { addr, received }
    }

    /// Serves a connection until its end. Writing fails if the host has closed it; the tests
    /// check what the caller gets.
    fn serve(&self, mut stream: TcpStream, log: &Mutex<Vec<Received>>, is_first: bool) {
        let mut repeated = None;
        while let Some(request) = read_request(&mut stream) {
            log.lock().expect("not poisoned").push(request.clone());
            let id = request.header("request-id").unwrap_or("").to_owned();
            if is_first && repeated.is_none() {
                let _ = stream.write_all(self.first.replace("{id}", &id).as_bytes());
                repeated = Some(self.repeated.replace("{id}", &id));
                continue;
            }
            let _ = stream.write_all(repeated.as_deref().unwrap_or_default().as_bytes());
            std::thread::sleep(RUN_TIME);
            let length = id.len();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nproof: p\r\ncontent-length: {length}\r\n\r\n{id}"
            );
            let _ = stream.write_all(answer.as_bytes());
        }
    }
}

const FULL: &str =
    "HTTP/1.1 503 Full\r\nrequest-id: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const FULL_WITHOUT_ID: &str = "HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const BAD_WITHOUT_ID: &str = "HTTP/1.1 400 Bad\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const MISDIRECTED_WITHOUT_ID: &str = "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n";

static REFUSALS: [Refusals; 4] = [
    Refusals {
        first: FULL,
        repeated: FULL,
    },
    Refusals {
        first: FULL,
        repeated: MISDIRECTED_WITHOUT_ID,
    },
    Refusals {
        first: FULL_WITHOUT_ID,
        repeated: FULL_WITHOUT_ID,
    },
    Refusals {
        first: BAD_WITHOUT_ID,
        repeated: BAD_WITHOUT_ID,
    },
];

/// Guards against a caller that is told that its request has not run, or is served by a
/// connection out of step, as an instance repeats an earlier refusal on a kept connection.
#[test]
fn a_repeated_refusal_counts_for_no_later_request() {
    // A caller may send a refused request again under its id.
    let seconds = [
        ("GET", "/read/1", "b"),
        ("GET", "/read/1", "a"),
        ("POST", "/book/1", "b"),
    ];
    let mut failures = Vec::new();
    for (number, refusals) in REFUSALS.iter().enumerate() {
        for (method, path, second_id) in seconds {
            let instance = refusals.start_instance();
            let host = TestHost::start(&[&instance], GRACE);
            let first = host.send(&request("GET", "/read/1", "a", ""));
            assert_ne!(first.status, 200);
            std::thread::sleep(PAUSE);
            let mut replies = Vec::new();
            for (method, path, id) in [
                (method, path, second_id),
                ("GET", "/read/1", "c"),
                ("GET", "/read/1", "d"),
            ] {
                let reply = host.send(&request(method, path, id, ""));
                if matches!(reply.status, 421 | 429 | 503) {
                    failures.push(format!("{number} {method} {second_id}: {id} has run"));
                }
                if reply.status == 200 && reply.body != id.as_bytes() {
                    failures.push(format!("{number} {method} {second_id}: {id} is crossed"));
                }
                replies.push(reply.status);
            }
            // At most the request behind the refusal is lost, on whose connection it arrived.
            let lost = replies.iter().filter(|status| **status != 200);
            if lost.count() > 1 {
                failures.push(format!("{number} {method} {second_id}: {replies:?}"));
            }
            let received = instance.received.lock().expect("not poisoned");
            if received.len() != 4 {
                failures.push(format!("{number} {method} {second_id}: {}", received.len()));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
