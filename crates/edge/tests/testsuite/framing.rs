//! Requests with ambiguous framing are refused before they are forwarded.

use std::io::Write;

use http::{HeaderMap, StatusCode};
use waxwingusher_edge::{Answer, EdgeSettings, Exchange};

use crate::harness::{connect, read_answer, send_and_read_all, start_edge};

fn answer_ok(exchange: Exchange) {
    let answer = Answer::complete(StatusCode::OK, HeaderMap::new(), "taken");
    exchange.reply.send(answer);
}

#[test]
fn ambiguous_requests_are_refused() {
    let cases = [
        "content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        "content-length: 4, 3\r\n\r\nabcd",
        "content-length: -1\r\n\r\n",
        "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\nContent-LENGTH: 3\r\n\r\n0\r\n\r\n",
        "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: identity\r\n\r\n",
        "x-a : b\r\n\r\n",
    ];
    let (edge, _worker) = start_edge(EdgeSettings::default(), answer_ok);
    for case in cases {
        let request = format!("POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{case}");
        let answer = send_and_read_all(edge.local_addr(), request.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 400"), "{case:?}: {answer}");
    }
}

#[test]
fn consecutive_chunked_requests_are_accepted() {
    let (edge, _worker) = start_edge(EdgeSettings::default(), answer_ok);
    let mut stream = connect(edge.local_addr());
    for _ in 0..3 {
        stream
            .write_all(b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
            .expect("a request is sent");
        assert!(read_answer(&mut stream).starts_with("HTTP/1.1 200"));
    }
}

#[test]
fn tunnels_and_absolute_targets_are_refused() {
    let (edge, _worker) = start_edge(EdgeSettings::default(), answer_ok);
    for line in ["CONNECT a:80", "TRACE /", "GET http://other/"] {
        let request = format!("{line} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let answer = send_and_read_all(edge.local_addr(), request.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 400"), "{line}: {answer}");
    }
}
