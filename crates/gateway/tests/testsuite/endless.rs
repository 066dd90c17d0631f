//! Instances that send bytes without end, until their connection is closed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::harness::{Instance, TestHost, answer_with_proof, request};

const GRACE: Duration = Duration::from_secs(1);
/// The callers' time limit in [`request`] is 4 s. An answer that exceeds a bound ends the
/// request well before.
const ANSWERED_WITHIN: Duration = Duration::from_secs(3);
/// An answer of which only this much comes, below the bound for one answer.
const LARGE_PART_BYTES: usize = 12 * 1024 * 1024;

/// Sends a request that must not repeat, and one that may, to a host whose first instance
/// sends `start` and then `rest` without end.
fn check(start: &'static str, rest: &'static str) {
    let endless = Instance::start_endless(start, rest);
    let host = TestHost::start(&[&endless], GRACE);
    let sent_at = Instant::now();
    let reply = host.send(&request("POST", "/book/1", "once", "body"));
    assert_eq!(reply.status, 502, "the request may have run");
    assert_eq!(endless.request_count(), 1);
    assert!(
        sent_at.elapsed() < ANSWERED_WITHIN,
        "{:?}",
        sent_at.elapsed()
    );

    let endless = Instance::start_endless(start, rest);
    let healthy = Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "200 OK", "done")
    }));
    let host = TestHost::start(&[&endless, &healthy], GRACE);
    for number in 0..4 {
        let reply = host.send(&request("GET", "/read/1", &format!("r{number}"), ""));
        assert_eq!(reply.status, 200);
        assert_eq!(reply.body, b"done");
    }
}

/// A host that reads such bytes until the caller's time is over runs out of memory.
#[test]
fn bytes_that_are_no_head_are_not_read_without_end() {
    check("", "not an answer ");
}

#[test]
fn a_head_without_end_is_not_read_without_end() {
    check("HTTP/1.1 200 OK\r\n", "a-header: with a value\r\n");
    check("HTTP/1.1 200 OK\r\na-header: ", "value");
}

#[test]
fn a_body_without_end_is_not_read_without_end() {
    let head = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nproof: p\r\n\r\n";
    check(head, "of no length ");
    let head = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nproof: p\r\n\
                transfer-encoding: chunked\r\n\r\n";
    check(head, "4\r\nbody\r\n");
}

/// The bytes reach neither the next caller, nor are they read while the connection is idle.
#[test]
fn bytes_after_a_complete_answer_reach_no_other_caller() {
    let endless = Instance::start_endless(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nproof: p\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\n",
    );
    let host = TestHost::start(&[&endless], GRACE);
    for number in 0..10 {
        let id = format!("r{number}");
        let reply = host.send(&request("GET", "/read/1", &id, ""));
        if reply.status == 200 {
            assert_eq!(reply.header("request-id"), Some(id.as_str()));
            assert_eq!(reply.body, b"done");
        }
    }
}

/// Eight answers, each below the bound for one, that stop midway would together take more
/// memory than a small host has.
#[test]
fn unfinished_answers_are_bounded_together() {
    const REQUESTS: usize = 8;
    let stalled = Instance::start_stalling(LARGE_PART_BYTES);
    let host = TestHost::start(&[&stalled], GRACE);
    let started = Instant::now();
    let statuses: Vec<(u16, Duration)> = std::thread::scope(|scope| {
        let send = |number: usize| {
            let text = request("POST", "/book/1", &format!("r{number}"), "body");
            let reply = host.send(&text);
            (reply.status, started.elapsed())
        };
        let threads: Vec<_> = (0..REQUESTS)
            .map(|number| scope.spawn(move || send(number)))
            .collect();
        let replies = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        replies.map(|reply| reply.expect("an answer")).collect()
    });
    let refused = statuses
        .iter()
        .filter(|(status, after)| *status == 502 && *after < ANSWERED_WITHIN)
        .count();
    assert!(refused >= 3, "{statuses:?}");
    assert!(refused < REQUESTS, "{statuses:?}");
}
