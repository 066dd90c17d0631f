//! A minimal HTTP/1.1 implementation in which a stand-in controls each byte of an
//! answer.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const MAX_HEAD_BYTES: u64 = 64 * 1024;
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
const CHUNK_BYTES: usize = 16 * 1024;

/// A request as read from the connection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method, as sent.
    pub method: String,
    /// The request target, as sent.
    pub target: String,
    /// Header names and values in order, as sent.
    pub headers: Vec<(String, String)>,
    /// The decoded body.
    pub body: Vec<u8>,
    /// All bytes before the body.
    pub raw_head: Vec<u8>,
}

impl HttpRequest {
    /// Returns the first value of a header. The name is case-insensitive.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut matching = self
            .headers
            .iter()
            .filter(|(header, _)| header.eq_ignore_ascii_case(name));
        matching.next().map(|(_, value)| value.as_str())
    }

    /// Returns the target's path.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a query parameter without percent-decoding it.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Reports whether the client asks to close the connection after the answer.
    #[must_use]
    pub fn wants_close(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    ContentLength,
    Chunked,
    UntilClose,
}

/// An answer before it is encoded.
#[derive(Debug, Clone)]
pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) framing: Framing,
}

impl HttpResponse {
    pub(crate) fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body,
            framing: Framing::ContentLength,
        }
    }

    pub(crate) fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub(crate) fn with_framing(mut self, framing: Framing) -> Self {
        self.framing = framing;
        self
    }

    /// Encodes the answer and returns the head and the framed body.
    pub(crate) fn encode(&self, method: &str) -> (Vec<u8>, Vec<u8>) {
        let has_no_body = self.status < 200 || self.status == 204 || self.status == 304;
        let mut head = format!(
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        match self.framing {
            _ if has_no_body => {}
            Framing::ContentLength => {
                head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
            }
            Framing::Chunked => head.push_str("Transfer-Encoding: chunked\r\n"),
            Framing::UntilClose => head.push_str("Connection: close\r\n"),
        }
        head.push_str("\r\n");
        if has_no_body || method.eq_ignore_ascii_case("HEAD") {
            return (head.into_bytes(), Vec::new());
        }
        let body = match self.framing {
            Framing::Chunked => encode_chunks(&self.body),
            Framing::ContentLength | Framing::UntilClose => self.body.clone(),
        };
        (head.into_bytes(), body)
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        304 => "Not Modified",
        404 => "Not Found",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

fn encode_chunks(body: &[u8]) -> Vec<u8> {
    let mut framed = Vec::with_capacity(body.len() + 64);
    for chunk in body.chunks(CHUNK_BYTES) {
        framed.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        framed.extend_from_slice(chunk);
        framed.extend_from_slice(b"\r\n");
    }
    framed.extend_from_slice(b"0\r\n\r\n");
    framed
}

/// Whether the client of a connection is still connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClientState {
    Connected,
    Closed,
}

/// The read half of a server's connection.
#[derive(Debug)]
pub(crate) struct RequestReader {
    reader: BufReader<TcpStream>,
}

impl RequestReader {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            reader: BufReader::new(stream),
        }
    }

    /// Reads the next request; returns `None` once the client has closed.
    pub(crate) fn next_request(&mut self) -> io::Result<Option<HttpRequest>> {
        let raw_head = self.read_head()?;
        if raw_head.is_empty() {
            return Ok(None);
        }
        let mut request = parse_head(raw_head)?;
        request.body = self.read_body(&request)?;
        Ok(Some(request))
    }

    /// Sleeps for `timeout`, then reports whether the client has closed.
    pub(crate) fn poll_for_close(&self, timeout: Duration) -> ClientState {
        std::thread::sleep(timeout);
        if !self.reader.buffer().is_empty() {
            return ClientState::Connected;
        }
        let stream = self.reader.get_ref();
        if stream.set_nonblocking(true).is_err() {
            return ClientState::Closed;
        }
        let peeked = stream.peek(&mut [0]);
        if stream.set_nonblocking(false).is_err() {
            return ClientState::Closed;
        }
        match peeked {
            Ok(0) => ClientState::Closed,
            Ok(_) => ClientState::Connected,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ClientState::Connected,
            Err(_) => ClientState::Closed,
        }
    }

    fn read_head(&mut self) -> io::Result<Vec<u8>> {
        let mut head = Vec::new();
        let mut limited = (&mut self.reader).take(MAX_HEAD_BYTES);
        loop {
            let line_start = head.len();
            limited.read_until(b'\n', &mut head)?;
            let line = &head[line_start..];
            if line.is_empty() && line_start == 0 {
                return Ok(head);
            }
            if !line.ends_with(b"\n") {
                return Err(invalid("request head is truncated or too long"));
            }
            if line == b"\r\n" || line == b"\n" {
                return Ok(head);
            }
        }
    }

    fn read_body(&mut self, request: &HttpRequest) -> io::Result<Vec<u8>> {
        if request.header("transfer-encoding").is_some() {
            return self.read_chunks();
        }
        let Some(length) = request.header("content-length") else {
            return Ok(Vec::new());
        };
        let length: u64 = length
            .parse()
            .map_err(|_| invalid("Content-Length is not a number"))?;
        if length > MAX_BODY_BYTES {
            return Err(invalid("request body is too long"));
        }
        self.read_exactly(length)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let digits = line.split(';').next().unwrap_or_default().trim();
            let length = u64::from_str_radix(digits, 16)
                .map_err(|_| invalid("chunk size is not a hexadecimal number"))?;
            if body.len() as u64 + length > MAX_BODY_BYTES {
                return Err(invalid("request body is too long"));
            }
            if length == 0 {
                while !self.read_line()?.trim().is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_exactly(length)?);
            self.read_line()?;
        }
    }

    fn read_exactly(&mut self, length: u64) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        (&mut self.reader).take(length).read_to_end(&mut body)?;
        if body.len() as u64 != length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(body)
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        (&mut self.reader)
            .take(MAX_HEAD_BYTES)
            .read_until(b'\n', &mut line)?;
        if line.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        String::from_utf8(line).map_err(|_| invalid("chunk line is not UTF-8"))
    }
}

fn parse_head(raw_head: Vec<u8>) -> io::Result<HttpRequest> {
    let text = String::from_utf8_lossy(&raw_head).into_owned();
    let mut lines = text.lines();
    let mut parts = lines.next().unwrap_or_default().split(' ');
    let (Some(method), Some(target), Some(_)) = (parts.next(), parts.next(), parts.next()) else {
        return Err(invalid("request line lacks a method, target or version"));
    };
    let mut headers = Vec::new();
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            continue;
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Ok(HttpRequest {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body: Vec::new(),
        raw_head,
    })
}

fn invalid(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// Writes the head and the body of an answer.
pub(crate) fn write_parts(writer: &mut TcpStream, head: &[u8], body: &[u8]) -> io::Result<()> {
    writer.write_all(head)?;
    writer.write_all(body)
}
