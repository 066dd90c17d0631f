//! Answers that arrive where another one is due, on connections that are kept open.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::harness::{Instance, Received, TestHost, Then, request};

const GRACE: Duration = Duration::from_secs(1);
/// Longer than a host leaves an instance alone after a refusal.
const PAUSE: Duration = Duration::from_millis(150);

const FULL: &str =
    "HTTP/1.1 503 Full\r\nrequest-id: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const FULL_WITHOUT_ID: &str = "HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const BAD_WITHOUT_ID: &str = "HTTP/1.1 400 Bad\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const MISDIRECTED_WITHOUT_ID: &str = "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n";

/// Starts an instance that refuses its first request, whose id is `a`, with `refusal`, and
/// writes `repeated` before the next answer on that connection.
fn start_repeating(refusal: &'static str, repeated: &'static str) -> Instance {
    let refusals = Arc::new(AtomicUsize::new(0));
    Instance::start_keeping(move |request: &Received, number| {
        let id = request.header("request-id").unwrap_or("");
        let refusal_of_a = |text: &str| text.replace("{id}", "a").into_bytes();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nproof: p\r\ncontent-length: {}\r\n\r\n{id}",
            id.len()
        );
        let parts = match (refusals.load(Ordering::SeqCst), number) {
            (0, _) => vec![refusal_of_a(refusal)],
            (1, 1..) => vec![refusal_of_a(repeated), answer.into_bytes()],
            _ => return (vec![Vec::new(), answer.into_bytes()], Then::Keep),
        };
        refusals.fetch_add(1, Ordering::SeqCst);
        (parts, Then::Keep)
    })
}

/// Guards against a caller that is told that its request has not run, or is served by a
/// connection out of step, as an instance repeats an earlier refusal on a kept connection.
#[test]
fn a_repeated_refusal_counts_for_no_later_request() {
    let refusals = [
        (FULL, FULL),
        (FULL, MISDIRECTED_WITHOUT_ID),
        (FULL_WITHOUT_ID, FULL_WITHOUT_ID),
        (BAD_WITHOUT_ID, BAD_WITHOUT_ID),
    ];
    let read = ("GET", "/read/1");
    // A caller may send a refused request again under its id.
    let nexts = [(read, "b"), (read, "a"), (("POST", "/book/1"), "b")];
    let mut failures = Vec::new();
    for (refusal, repeated) in refusals {
        for (next, next_id) in nexts {
            let instance = start_repeating(refusal, repeated);
            let host = TestHost::start(&[&instance], GRACE);
            let first = host.send(&request("GET", "/read/1", "a", ""));
            assert_ne!(first.status, 200);
            std::thread::sleep(PAUSE);
            let mut statuses = Vec::new();
            let mut is_crossed = false;
            for ((method, path), id) in [(next, next_id), (read, "c"), (read, "d")] {
                let reply = host.send(&request(method, path, id, ""));
                is_crossed |= reply.status == 200 && reply.body != id.as_bytes();
                statuses.push(reply.status);
            }
            let received = instance.received.lock().expect("not poisoned").len();
            // All have run. At most the one behind the refusal is lost.
            let is_refused = statuses
                .iter()
                .any(|status| [421, 429, 503].contains(status));
            let lost = statuses.iter().filter(|status| **status != 200).count();
            if is_crossed || is_refused || lost > 1 || received != 4 {
                let case = format!("{refusal:?}, {repeated:?}, {next:?} {next_id}");
                failures.push(format!("{case}: {statuses:?}, {received} arrived"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
