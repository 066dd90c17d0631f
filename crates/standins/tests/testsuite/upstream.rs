//! Tests of an instance: answers by path, records, slots, draining, deadlines and
//! cancellation.

use std::time::Duration;

use waxwingusher_core::CancelToken;
use waxwingusher_standins::upstream::body_pattern;
use waxwingusher_standins::{Faults, Phase, RequestOutcome, UpstreamServer, UpstreamSettings};

use crate::client;

pub fn start(settings: UpstreamSettings) -> UpstreamServer {
    UpstreamServer::start(settings, &CancelToken::new()).expect("the instance starts")
}

pub fn quick() -> UpstreamServer {
    start(UpstreamSettings {
        service_time: Duration::ZERO,
        ..UpstreamSettings::default()
    })
}

pub fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        std::thread::yield_now();
    }
}

#[test]
fn the_path_selects_the_answer() {
    let server = quick();
    let echo = client::receive(client::send(server.addr(), "POST", "/a/echo", "", b"hello"));
    assert_eq!(echo.expect("an answer").body, b"hello");
    assert_eq!(client::get(server.addr(), "/x/status/404").status(), 404);
    assert_eq!(client::get(server.addr(), "/status/204").body, b"");
    let redirect = client::get(server.addr(), "/status/307");
    assert_eq!(redirect.header("location"), Some("/echo"));
    assert_eq!(client::get(server.addr(), "/empty").body, b"");
    let large = client::get(server.addr(), "/bytes/10000000");
    assert!(large.body == body_pattern(10_000_000));
    let chunked = client::get(server.addr(), "/chunked/5");
    assert_eq!(chunked.body, b"5\r\n\x00\x01\x02\x03\x04\r\n0\r\n\r\n");
    let until_close = client::get(server.addr(), "/until-close/5");
    assert_eq!(until_close.header("content-length"), None);
    assert_eq!(until_close.body, body_pattern(5));
    let head = client::receive(client::send(server.addr(), "HEAD", "/bytes/7", "", b""));
    let head = head.expect("an answer");
    assert_eq!(head.header("content-length"), Some("7"));
    assert_eq!(head.body, b"");
}

#[test]
fn each_run_is_recorded_with_its_operation() {
    let server = quick();
    let headers = "X-Operation-Id: op-1\r\nX-Other: b\r\n";
    for _ in 0..2 {
        client::receive(client::send(
            server.addr(),
            "POST",
            "/echo?q=1",
            headers,
            b"secret-body",
        ))
        .expect("an answer");
    }
    client::get(server.addr(), "/health");
    assert_eq!(server.runs_of("op-1"), 2);
    assert_eq!(server.runs(), 2);
    let record = &server.requests()[0];
    assert_eq!(record.request.method, "POST");
    assert_eq!(record.request.target, "/echo?q=1");
    assert_eq!(record.request.header("x-other"), Some("b"));
    assert_eq!(record.outcome, RequestOutcome::Answered(200));
    assert!(server.has_seen(b"secret-body"));
    assert!(server.has_seen(b"GET /health"));
    assert!(!server.has_seen(b"another-secret"));
}

#[test]
fn work_beyond_the_slots_is_shed_and_not_run() {
    let server = start(UpstreamSettings {
        slots: 1,
        service_time: Duration::from_secs(600),
        ..UpstreamSettings::default()
    });
    let busy = client::send(server.addr(), "GET", "/echo", "", b"");
    wait_until(|| server.in_flight() == 1);
    let answer = client::get(server.addr(), "/echo");
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.header("x-waxwingusher-shed"), Some("not-run"));
    assert_eq!(server.runs(), 1);
    assert_eq!(server.sheds(), 1);
    drop(busy);
    wait_until(|| server.in_flight() == 0);
    assert_eq!(server.requests()[0].outcome, RequestOutcome::Cancelled);
}

#[test]
fn a_draining_instance_fails_health_checks_and_sheds_work() {
    let server = quick();
    server.set_phase(Phase::Draining);
    assert_eq!(client::get(server.addr(), "/health").status(), 503);
    let answer = client::get(server.addr(), "/echo");
    assert_eq!(answer.header("x-waxwingusher-shed"), Some("not-run"));
    assert_eq!(server.runs(), 0);
    server.set_phase(Phase::Live);
    assert_eq!(client::get(server.addr(), "/health").status(), 200);
}

#[test]
fn the_deadline_ends_the_work() {
    let server = start(UpstreamSettings {
        service_time: Duration::from_secs(600),
        ..UpstreamSettings::default()
    });
    let stream = client::send(server.addr(), "GET", "/echo", "x-deadline-ms: 20\r\n", b"");
    assert_eq!(client::receive(stream).expect("an answer").status(), 504);
    let outcome = server.requests()[0].outcome;
    assert_eq!(outcome, RequestOutcome::DeadlineExceeded);
}

#[test]
fn the_load_endpoint_can_report_a_false_load() {
    let server = quick();
    let actual = client::get(server.addr(), "/load");
    assert_eq!(actual.body, br#"{"in-flight":0,"slots":6}"#);
    server.set_faults(Faults {
        reported_in_flight: Some(5),
        ..Faults::default()
    });
    let false_load = client::get(server.addr(), "/load");
    assert_eq!(false_load.body, br#"{"in-flight":5,"slots":6}"#);
}
