//! Tests of injected faults: gray failures, crashes, cuts in one direction and
//! truncated answers.

use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use waxwingusher_core::CancelToken;
use waxwingusher_standins::upstream::{CRASH_MARKER, body_pattern};
use waxwingusher_standins::{
    Cut, Faults, GrayFailure, GrayKind, RequestOutcome, UpstreamServer, UpstreamSettings,
};

use crate::client;
use crate::upstream::{quick, start, wait_until};

fn gray(share_percent: u8, kind: GrayKind) -> Faults {
    Faults {
        gray: Some(GrayFailure {
            share_percent,
            kind,
        }),
        ..Faults::default()
    }
}

#[test]
fn a_gray_failure_affects_its_share_of_requests_but_not_the_health_endpoint() {
    let server = quick();
    server.set_faults(gray(40, GrayKind::Errors));
    let mut failed = 0;
    for _ in 0..100 {
        assert_eq!(client::get(server.addr(), "/health").status(), 200);
        failed += u32::from(client::get(server.addr(), "/echo").status() == 500);
    }
    assert!((20..=60).contains(&failed), "{failed} of 100 failed");
}

#[test]
fn a_hanging_request_holds_its_slot_until_the_client_disconnects() {
    let server = quick();
    server.set_faults(gray(100, GrayKind::Hangs));
    let hanging = client::send(server.addr(), "GET", "/echo", "", b"");
    wait_until(|| server.in_flight() == 1);
    drop(hanging);
    wait_until(|| server.in_flight() == 0);
    assert_eq!(server.requests()[0].outcome, RequestOutcome::Cancelled);
}

#[test]
fn slow_work_and_cold_work_take_longer() {
    let server = quick();
    server.set_faults(gray(100, GrayKind::Slow(Duration::from_millis(50))));
    let begin = Instant::now();
    client::get(server.addr(), "/echo");
    assert!(begin.elapsed() >= Duration::from_millis(50));

    let cold = start(UpstreamSettings {
        service_time: Duration::from_millis(10),
        cold_start: Duration::from_secs(600),
        cold_factor: 5,
        ..UpstreamSettings::default()
    });
    let begin = Instant::now();
    client::get(cold.addr(), "/echo");
    assert!(begin.elapsed() >= Duration::from_millis(50));
}

#[test]
fn a_marked_request_crashes_the_instance_which_recovers_on_the_same_port() {
    let server = start(UpstreamSettings {
        service_time: Duration::from_secs(600),
        crash_down_time: Duration::from_secs(600),
        ..UpstreamSettings::default()
    });
    let other = client::send(server.addr(), "GET", "/echo", "", b"");
    wait_until(|| server.in_flight() == 1);
    let marked = CRASH_MARKER.as_bytes();
    let crashing = client::send(server.addr(), "POST", "/echo", "", marked);
    assert_eq!(client::receive(crashing), None);
    assert_eq!(client::receive(other), None);
    assert!(TcpStream::connect(server.addr()).is_err());
    server.recover();
    assert_eq!(client::get(server.addr(), "/health").status(), 200);
    assert_eq!(server.requests()[1].outcome, RequestOutcome::Crashed);
}

#[test]
fn a_cut_of_answers_runs_the_request_and_a_cut_of_requests_does_not() {
    let server = quick();
    server.set_faults(Faults {
        cut: Cut::Answers,
        ..Faults::default()
    });
    let unanswered = client::send(server.addr(), "GET", "/echo", "", b"");
    wait_until(|| server.runs() == 1);
    server.set_faults(Faults {
        cut: Cut::Requests,
        ..Faults::default()
    });
    let unread = client::send(server.addr(), "GET", "/echo", "", b"");
    unread
        .set_read_timeout(Some(Duration::from_millis(50)))
        .expect("a timeout");
    assert!((&unread).read(&mut [0]).is_err());
    assert_eq!(server.runs(), 1);
    server.set_faults(Faults::default());
    assert_eq!(client::receive(unanswered), None);
    assert_eq!(server.requests()[0].outcome, RequestOutcome::CutShort);
}

#[test]
fn an_answer_is_truncated_before_the_requested_byte() {
    let server = quick();
    let cut = client::get(server.addr(), "/die/100/40");
    assert_eq!(cut.header("content-length"), Some("100"));
    assert_eq!(cut.body, body_pattern(40));
    let cut = client::get(server.addr(), "/die-chunked/5/9");
    assert_eq!(cut.body, b"5\r\n\x00\x01\x02\x03\x04\r");
    server.set_faults(Faults {
        truncate_at_bytes: Some(1_000),
        ..Faults::default()
    });
    assert_eq!(client::get(server.addr(), "/bytes/10").body.len(), 9);
    assert_eq!(server.requests()[2].outcome, RequestOutcome::CutShort);
}

#[test]
fn cancelling_the_token_ends_work_and_connections() {
    let token = CancelToken::new();
    let settings = UpstreamSettings {
        service_time: Duration::from_secs(600),
        ..UpstreamSettings::default()
    };
    let server = UpstreamServer::start(settings, &token).expect("the instance starts");
    let addr = server.addr();
    let busy = client::send(addr, "GET", "/echo", "", b"");
    wait_until(|| server.in_flight() == 1);
    token.cancel();
    assert_eq!(client::receive(busy), None);
    drop(server);
    assert!(TcpStream::connect(addr).is_err());
}
