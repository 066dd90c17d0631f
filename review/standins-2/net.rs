//! The small part of HTTP/1.1 that the stand-ins speak.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

/// The head and body of a message.
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header's value; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a message whose body has a stated length; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let mut message = Message {
        first_line: first_line.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes an answer.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())
}

/// Sends a GET on a connection and reads the answer.
pub fn get(
    reader: &mut BufReader<TcpStream>,
    target: &str,
    headers: &[(&str, &str)],
) -> io::Result<Message> {
    let mut text = format!("GET {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    reader.get_mut().write_all(text.as_bytes())?;
    read_message(reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Opens a connection for [`get`].
pub fn connect(addr: SocketAddr) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    Ok(BufReader::new(stream))
}

/// Listens on a free loopback port.
pub fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

/// Returns loopback addresses that are free for connections and datagrams.
pub fn free_addrs(count: usize) -> io::Result<Vec<SocketAddr>> {
    // All stay bound until the last one is found, so that none is returned twice.
    let mut held = Vec::new();
    let mut addrs = Vec::new();
    while addrs.len() < count {
        let (listener, addr) = listen()?;
        if let Ok(socket) = UdpSocket::bind(addr) {
            addrs.push(addr);
            held.push((listener, socket));
        }
    }
    Ok(addrs)
}
