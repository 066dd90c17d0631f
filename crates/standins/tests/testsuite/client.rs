//! A raw HTTP client that returns each byte of an answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

// Only prevents a test from hanging; no assertion depends on it.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// An answer, split into head and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn status(&self) -> u16 {
        let code = self.head.split(' ').nth(1).expect("a status line");
        code.parse().expect("a numeric status")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.head.lines().filter_map(|line| line.split_once(": "));
        headers
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

/// Sends a request without waiting for the answer.
pub fn send(addr: SocketAddr, method: &str, target: &str, headers: &str, body: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).expect("the stand-in listens");
    stream
        .set_read_timeout(Some(HANG_TIMEOUT))
        .expect("a timeout");
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("the head is sent");
    stream.write_all(body).expect("the body is sent");
    stream
}

/// Reads to the end of the connection; returns `None` if no complete head arrived.
pub fn receive(mut stream: TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    // The bytes that were read before a connection reset are kept.
    let _ = stream.read_to_end(&mut bytes);
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(Answer {
        head: String::from_utf8(bytes[..end].to_vec()).expect("the head is text"),
        body: bytes[end + 4..].to_vec(),
    })
}

pub fn get(addr: SocketAddr, target: &str) -> Answer {
    receive(send(addr, "GET", target, "", b"")).expect("an answer")
}
