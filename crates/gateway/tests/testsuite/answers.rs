//! Answers to callers, depending on what instances do.

use std::sync::Arc;
use std::time::Duration;

use crate::harness::{Instance, TestHost, answer_with_proof, request};

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
    let full = |request: &crate::harness::Received, _| {
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
    let behaviour = move |request: &crate::harness::Received, _| {
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
