//! Answers to callers, depending on what instances do.

use std::sync::Arc;
use std::time::Duration;

use crate::harness::{Instance, Received, Reply, TestHost, Then, answer_with_proof, request};

const GRACE: Duration = Duration::from_secs(1);

fn failing() -> Instance {
    Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "500 Error", "failed")
    }))
}

fn healthy() -> Instance {
    Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "200 OK", "done")
    }))
}

#[test]
fn the_key_is_replaced_by_the_workspace() {
    let instance = healthy();
    let host = TestHost::start(&[&instance], GRACE);
    let forged = request("GET", "/read/1", "a", "").replace(
        "request-id",
        "workspace: other\r\nexpected-instance: other\r\nrequest-id",
    );
    assert_eq!(host.send(&forged).status, 200);
    let received = instance.received.lock().expect("not poisoned")[0].clone();
    assert_eq!(received.header("workspace"), Some("acme"));
    assert_eq!(received.header("expected-instance"), Some("i-0"));
    assert_eq!(received.header("key"), None);
    assert_eq!(received.header("request-id"), Some("a"));
    let left: u64 = received
        .header("time-left-ms")
        .expect("the host forwards the time left")
        .parse()
        .expect("a number");
    assert!(left <= 4_000, "{left} ms");
}

#[test]
fn an_idempotent_request_is_retried_at_another_instance_after_a_failure() {
    let (failing, healthy) = (failing(), healthy());
    let host = TestHost::start(&[&failing, &healthy], GRACE);
    for number in 0..20 {
        let reply = host.send(&request("GET", "/read/1", &format!("r{number}"), ""));
        assert_eq!(reply.status, 200);
    }
    assert!(
        failing.request_count() >= 1,
        "the failing instance got an attempt"
    );
}

#[test]
fn a_non_idempotent_request_is_sent_once() {
    let failing = [failing(), failing(), failing()];
    let host = TestHost::start(&[&failing[0], &failing[1], &failing[2]], GRACE);
    let reply = host.send(&request("POST", "/book/1", "once", "body"));
    assert_eq!(reply.status, 500);
    assert_eq!(reply.header("proof"), Some("p"));
    let request_count: usize = failing.iter().map(Instance::request_count).sum();
    assert_eq!(request_count, 1);
}

#[test]
fn a_non_idempotent_request_on_a_broken_connection_is_not_reported_as_not_run() {
    let dying = [
        Instance::start(Arc::new(|_, _| Vec::new())),
        Instance::start(Arc::new(|_, _| Vec::new())),
    ];
    let host = TestHost::start(&[&dying[0], &dying[1]], GRACE);
    let reply = host.send(&request("POST", "/book/1", "once", "body"));
    assert_eq!(reply.status, 502);
    assert_eq!(dying[0].request_count() + dying[1].request_count(), 1);
}

#[test]
fn a_request_that_no_instance_ran_is_refused_with_retry_after() {
    let full = |request: &Received, _| {
        let id = request.header("request-id").unwrap_or("").to_owned();
        format!(
            "HTTP/1.1 503 Full\r\nrequest-id: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\
             connection: close\r\n\r\n"
        )
        .into_bytes()
    };
    let instances = [
        Instance::start(Arc::new(full)),
        Instance::start(Arc::new(full)),
    ];
    let host = TestHost::start(&[&instances[0], &instances[1]], GRACE);
    let reply = host.send(&request("POST", "/book/1", "once", "body"));
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some(), "{}", reply.head);
}

#[test]
fn a_truncated_answer_is_not_relayed() {
    let cut = Instance::start(Arc::new(|request, _| {
        let mut answer = answer_with_proof(request, "200 OK", "a whole body");
        answer.truncate(answer.len() - 4);
        answer
    }));
    let host = TestHost::start(&[&cut], GRACE);
    let reply = host.send(&request("POST", "/book/1", "once", "body"));
    assert_eq!(reply.status, 502);
    assert_eq!(reply.header("proof"), None);
}

/// Answers that are complete only as a whole; `{id}` stands for the request's id.
const WHOLE_ANSWERS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nproof: p\r\ncontent-length: 4\r\n\r\ndone",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nrequest-id: {id}\r\nproof: p\r\n\r\n2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n",
    "HTTP/1.1 302 Found\r\nlocation: /read/2\r\nrequest-id: {id}\r\ncontent-length: 0\r\nproof: p\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: /a\r\n\r\nHTTP/1.1 200 OK\r\nrequest-id: {id}\r\nproof: p\r\ncontent-length: 0\r\n\r\n",
];
/// An answer that ends with its connection.
const UNFRAMED_ANSWER: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nproof: p\r\n\r\ndone";

/// Sends a request whose answer is cut after `bytes`, and then a request for the whole answer.
fn send_cut(answer: &'static str, bytes: usize, then: Then, is_kept: bool) -> (Reply, Reply) {
    let cut = Instance::start_keeping(move |request: &Received, _| {
        let id = request.header("request-id").unwrap_or("");
        let whole = answer.replace("{id}", id).into_bytes();
        match id {
            "x" => (vec![whole[..bytes].to_vec()], then),
            _ if answer == UNFRAMED_ANSWER => (vec![whole], Then::Close),
            _ => (vec![whole], Then::Keep),
        }
    });
    let host = TestHost::start(&[&cut], GRACE);
    if is_kept {
        host.send(&request("GET", "/read/1", "a", ""));
    }
    let reply = host.send(&request("GET", "/read/1", "x", ""));
    (reply, host.send(&request("GET", "/read/1", "b", "")))
}

/// Guards against an answer that breaks off in its head or its body and reaches the caller as
/// a complete one.
#[test]
fn an_answer_that_is_cut_anywhere_never_looks_complete() {
    let whole_bytes = |answer: &str| answer.replace("{id}", "x").len();
    let mut cases = Vec::new();
    for answer in WHOLE_ANSWERS {
        for bytes in 0..whole_bytes(answer) {
            let then = [Then::Close, Then::Reset][bytes % 2];
            cases.push((answer, bytes, then));
        }
    }
    for bytes in 0..=whole_bytes(UNFRAMED_ANSWER) {
        cases.push((UNFRAMED_ANSWER, bytes, Then::Reset));
    }
    for bytes in 0..whole_bytes(UNFRAMED_ANSWER) - "done".len() {
        cases.push((UNFRAMED_ANSWER, bytes, Then::Close));
    }
    for (number, (answer, bytes, then)) in cases.into_iter().enumerate() {
        let (reply, next) = send_cut(answer, bytes, then, number % 3 > 0);
        let part = answer[..].replace("{id}", "x")[..bytes].to_owned();
        assert_eq!(reply.status, 502, "{then:?} after {part:?}: {}", reply.head);
        assert_eq!(reply.header("proof"), None, "{}", reply.head);
        assert!(matches!(next.status, 200 | 302), "{part:?}: {}", next.head);
    }
}

#[test]
fn an_answer_to_another_request_is_not_relayed() {
    let crossed = Instance::start(Arc::new(|request, _| {
        let mut other = request.clone();
        other.head = other.head.replace("request-id: mine", "request-id: other");
        answer_with_proof(&other, "200 OK", "of another request")
    }));
    let host = TestHost::start(&[&crossed], GRACE);
    let reply = host.send(&request("POST", "/book/1", "mine", "body"));
    assert_eq!(reply.status, 502);
}

#[test]
fn a_success_without_proof_or_with_an_encoding_is_not_relayed() {
    for extra in ["x: y", "proof: p\r\ncontent-encoding: gzip"] {
        let foreign = Instance::start(Arc::new(move |request, _| {
            let id = request.header("request-id").unwrap_or("").to_owned();
            format!(
                "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n{extra}\r\ncontent-length: 2\r\n\
                 connection: close\r\n\r\nok"
            )
            .into_bytes()
        }));
        let host = TestHost::start(&[&foreign], GRACE);
        let reply = host.send(&request("POST", "/book/1", "mine", "body"));
        assert_eq!(reply.status, 502, "{extra}");
    }
}

#[test]
fn an_unknown_key_and_an_unknown_path_get_different_statuses() {
    let instance = healthy();
    let host = TestHost::start(&[&instance], GRACE);
    let wrong = request("GET", "/read/1", "a", "").replace("key: a-key", "key: withdrawn");
    assert_eq!(host.send(&wrong).status, 401);
    assert_eq!(
        host.send(&request("GET", "/nowhere/1", "a", "")).status,
        404
    );
    assert_eq!(instance.request_count(), 0);
}

#[test]
fn metrics_name_the_route_and_the_outcome() {
    let instance = healthy();
    let host = TestHost::start(&[&instance], GRACE);
    assert_eq!(host.send(&request("GET", "/read/1", "a", "")).status, 200);
    let (status, text) = host.get_status("/metrics");
    assert_eq!(status, 200);
    let line = "waxwingusher_requests_total{route=\"read\",outcome=\"answered\"} 1";
    assert!(text.contains(line), "{text}");
}

#[test]
fn an_idempotent_request_that_hangs_is_hedged_at_a_second_instance() {
    let hanging = Instance::start(Arc::new(|request, _| {
        std::thread::sleep(Duration::from_secs(8));
        answer_with_proof(request, "200 OK", "late")
    }));
    let healthy = healthy();
    let host = TestHost::start(&[&hanging, &healthy], GRACE);
    for number in 0..10 {
        let reply = host.send(&request("GET", "/read/1", &format!("r{number}"), ""));
        assert_eq!(reply.status, 200);
        assert_eq!(reply.body, b"done");
    }
    assert!(
        hanging.request_count() >= 1,
        "the hanging instance got an attempt"
    );
}

/// The connection of the first attempt breaks while the hedged attempt is still in
/// flight; then the second instance answers that it did not run the request. The
/// first one may have run it, so the caller must not be told that it did not run.
#[test]
fn a_hedged_request_that_may_have_run_is_not_reported_as_not_run() {
    let arrivals = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let (second_came, wait_for_second) = std::sync::mpsc::channel();
    let wait_for_second = std::sync::Mutex::new(wait_for_second);
    let behaviour = move |request: &Received, _| {
        if arrivals.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0 {
            let waiting = wait_for_second.lock().expect("not poisoned");
            waiting.recv().expect("the second attempt arrives");
            return Vec::new();
        }
        second_came.send(()).expect("the first attempt waits");
        // Gives the host time to see the end of the first attempt.
        std::thread::sleep(Duration::from_millis(500));
        let id = request.header("request-id").unwrap_or("");
        format!(
            "HTTP/1.1 503 Full\r\nrequest-id: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\
             connection: close\r\n\r\n"
        )
        .into_bytes()
    };
    let behaviour: crate::harness::Behaviour = Arc::new(behaviour);
    let instances = [
        Instance::start(behaviour.clone()),
        Instance::start(behaviour),
    ];
    let mut document = crate::harness::document();
    document.routes[0].latency_target = Duration::from_millis(400);
    let host = TestHost::start_with(document, &[&instances[0], &instances[1]], GRACE);
    let reply = host.send(&request("GET", "/read/1", "hedged", ""));
    assert_eq!(reply.status, 502, "{}", reply.head);
}

/// Returns an instance that answers with an additional header line.
fn with_header(status: &'static str, line: &'static str) -> Instance {
    Instance::start(Arc::new(move |request, _| {
        let answer = answer_with_proof(request, status, "done");
        let text = String::from_utf8(answer).expect("text");
        text.replacen("proof: p", line, 1).into_bytes()
    }))
}

/// Sends requests until an instance has received one.
fn send_until_received(host: &TestHost, instance: &Instance) {
    for number in 0..100 {
        host.send(&request("GET", "/read/1", &format!("u{number}"), ""));
        if instance.request_count() > 0 {
            return;
        }
    }
    panic!("the instance gets no request");
}

#[test]
fn an_instance_that_says_it_leaves_gets_no_further_request() {
    let (leaving, healthy) = (with_header("200 OK", "proof: p\r\nleaving: 1"), healthy());
    let host = TestHost::start(&[&leaving, &healthy], GRACE);
    send_until_received(&host, &leaving);
    for number in 0..20 {
        let reply = host.send(&request("POST", "/book/1", &format!("r{number}"), "body"));
        assert_eq!(reply.status, 200);
    }
    assert_eq!(leaving.request_count(), 1);
}

#[test]
fn an_instance_that_asks_for_no_requests_gets_none_until_its_time_is_over() {
    let line = "not-run: 1\r\nretry-after: 30";
    let (busy, healthy) = (with_header("503 Busy", line), healthy());
    let host = TestHost::start(&[&busy, &healthy], GRACE);
    send_until_received(&host, &busy);
    for number in 0..20 {
        let reply = host.send(&request("GET", "/read/1", &format!("r{number}"), ""));
        assert_eq!(reply.status, 200);
    }
    assert_eq!(busy.request_count(), 1);
}

#[test]
fn callers_are_told_when_the_first_instance_takes_requests_again() {
    let busy = with_header("503 Busy", "not-run: 1\r\nretry-after: 2.5");
    let host = TestHost::start(&[&busy], GRACE);
    let started = std::time::Instant::now();
    assert_eq!(host.send(&request("POST", "/book/1", "a", "")).status, 503);
    let reply = host.send(&request("POST", "/book/1", "b", ""));
    assert_eq!(reply.status, 503);
    let retry_after = reply.header("retry-after").expect("a time to return");
    let retry_after_s: f64 = retry_after.parse().expect("seconds");
    let spent_s = started.elapsed().as_secs_f64();
    assert!(
        retry_after_s > 2.5 - spent_s && retry_after_s < 3.5,
        "{retry_after}"
    );
    assert_eq!(busy.request_count(), 1);
}

#[test]
fn an_unusable_retry_after_of_an_instance_is_ignored() {
    for line in ["-3", "soon", "1e30", "NaN", "inf"] {
        let line = format!("not-run: 1\r\nretry-after: {line}");
        let busy = with_header("503 Busy", line.leak());
        let host = TestHost::start(&[&busy], GRACE);
        for id in ["a", "b"] {
            assert_eq!(host.send(&request("POST", "/book/1", id, "")).status, 503);
            // The pause after a refusal.
            std::thread::sleep(Duration::from_millis(100));
        }
        assert!(busy.request_count() >= 2);
    }
}

/// An instance sends a copy of its answer while the connection waits for the next
/// request.
#[test]
fn a_late_second_copy_of_an_answer_reaches_no_other_caller() {
    let instance = Instance::start_sending_copies(Duration::from_millis(30));
    let host = TestHost::start(&[&instance], GRACE);
    for number in 0..10 {
        let id = format!("r{number}");
        let reply = host.send(&request("GET", "/read/1", &id, ""));
        if reply.status == 200 {
            assert_eq!(reply.header("request-id"), Some(id.as_str()));
            assert_eq!(reply.body, id.as_bytes());
        }
        std::thread::sleep(Duration::from_millis(10 * (number % 6)));
    }
    assert!(instance.request_count() >= 10);
}
