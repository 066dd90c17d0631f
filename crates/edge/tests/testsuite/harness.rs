//! Test harness: an edge whose exchanges a test answers, and raw HTTP over
//! sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

use waxwingusher_core::SystemClock;
use waxwingusher_edge::{CallerEdge, EdgeSettings, Exchange};

/// A time limit that only a hanging test exceeds.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);

pub fn start_edge(
    settings: EdgeSettings,
    answer: impl Fn(Exchange) + Send + 'static,
) -> (CallerEdge, JoinHandle<()>) {
    let (queue, exchanges): (_, Receiver<Exchange>) = sync_channel(1_024);
    let worker = std::thread::spawn(move || {
        for exchange in exchanges {
            answer(exchange);
        }
    });
    let edge =
        CallerEdge::start(settings, queue, Arc::new(SystemClock), 1).expect("the edge starts");
    (edge, worker)
}

pub fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the address accepts");
    stream
        .set_read_timeout(Some(HANG_TIMEOUT))
        .expect("a timeout is set");
    stream
}

/// Sends bytes and returns everything received until the peer closes.
pub fn send_and_read_all(addr: SocketAddr, request: &[u8]) -> String {
    let mut stream = connect(addr);
    stream.write_all(request).expect("the request is sent");
    let mut answer = Vec::new();
    // A reset after the answer also ends the connection.
    drop(stream.read_to_end(&mut answer));
    String::from_utf8_lossy(&answer).into_owned()
}

/// Reads one head and its body of the declared length.
pub fn read_answer(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                line.to_lowercase()
                    .strip_prefix("content-length: ")?
                    .parse()
                    .ok()
            });
            if body.len() >= length.unwrap_or(0) {
                return text;
            }
        }
        let amount = stream.read(&mut chunk).expect("an answer arrives in time");
        assert!(
            amount > 0,
            "closed before the answer was complete: {text:?}"
        );
        bytes.extend_from_slice(&chunk[..amount]);
    }
}

/// Reads a request's head and its body of the declared length.
pub fn read_request(stream: &mut TcpStream) -> String {
    read_answer(stream)
}

/// Accepts connections and serves each on a thread.
pub fn start_upstream(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let addr = listener.local_addr().expect("the listener has an address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    addr
}
