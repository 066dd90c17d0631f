//! Stand-ins of consumers.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::record::Record;

/// The host name and the key of the configuration in `main.rs`.
pub const HOST_NAME: &str = "portal.example";
pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
/// How long a consumer gives a new connection, as PROTOCOL.md says.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Returns a new attempt id.
pub fn new_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000 + LAST_ID.fetch_add(1, Ordering::SeqCst)
    )
}

/// How a request ended for its consumer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// A complete response with this status.
    Answered(u16),
    /// The connection ended without a complete response.
    Cut,
    /// The connection ended behind a response that said so; the request counts as not read.
    BehindClose,
    /// No connection could be opened.
    NotConnected,
}

/// A request as its consumer sees it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub host: SocketAddr,
    pub sent_at: Instant,
    pub ended_at: Option<Instant>,
    pub end: Option<End>,
}

/// All requests of all consumers.
#[derive(Clone, Default)]
pub struct Requests(Arc<Mutex<Vec<Sent>>>);

impl Requests {
    pub fn all(&self) -> Vec<Sent> {
        self.0.lock().expect("not poisoned").clone()
    }

    pub fn start(&self, id: &str, host: SocketAddr) -> usize {
        let mut requests = self.0.lock().expect("not poisoned");
        requests.push(Sent {
            id: id.to_owned(),
            host,
            sent_at: Instant::now(),
            ended_at: None,
            end: None,
        });
        requests.len() - 1
    }

    pub fn end(&self, number: usize, end: End, record: &Record) {
        let mut requests = self.0.lock().expect("not poisoned");
        let request = &mut requests[number];
        if request.end.is_some() {
            return;
        }
        request.ended_at = Some(Instant::now());
        request.end = Some(end);
        let took = request.sent_at.elapsed().as_millis();
        record.line(&format!(
            "request {} ends after {took} ms: {end:?}",
            request.id
        ));
    }
}

/// Opens a connection to a host.
pub fn connect(host: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&host, CONNECT_TIMEOUT).ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

/// Returns the head of a request.
pub fn head(method: &str, path: &str, id: &str, time_ms: u64, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {id}\r\n\
         Time-Remaining: {time_ms}\r\nApi-Key: {KEY}\r\n{more}\r\n"
    )
}

/// Sends one request on a connection of its own, and returns the response.
pub fn send_once(
    requests: &Requests,
    record: &Record,
    host: SocketAddr,
    head: &str,
    id: &str,
    body: &[u8],
) -> Option<Message> {
    let number = requests.start(id, host);
    record.line(&format!(
        "request {id} to {host}: {}",
        head.lines().next().unwrap_or_default()
    ));
    let Some(mut stream) = connect(host) else {
        requests.end(number, End::NotConnected, record);
        return None;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
    let sent = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
    let answer = sent
        .ok()
        .and_then(|()| read_message(&mut BufReader::new(stream)));
    let end = answer
        .as_ref()
        .map_or(End::Cut, |answer| End::Answered(answer.status()));
    requests.end(number, end, record);
    answer
}

/// A consumer that sends safe requests at a steady pace on one connection, also before
/// the earlier ones are answered. It returns once the connection has ended.
pub struct Pipeline {
    pub host: SocketAddr,
    pub path: String,
    pub time_ms: u64,
    pub interval: Duration,
    /// When it sends no further request.
    pub until: Instant,
}

impl Pipeline {
    /// Runs until the end of the connection.
    pub fn run(&self, requests: &Requests, record: &Record) {
        let Some(stream) = connect(self.host) else {
            std::thread::sleep(Duration::from_millis(100));
            return;
        };
        let unanswered: Arc<Mutex<VecDeque<usize>>> = Arc::default();
        let is_closing = Arc::new(Mutex::new(false));
        let reading = {
            let (requests, record) = (requests.clone(), record.clone());
            let (unanswered, is_closing) = (unanswered.clone(), is_closing.clone());
            let stream = stream.try_clone().expect("a second handle");
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(answer) = read_message(&mut reader) {
                    let Some(number) = unanswered.lock().expect("not poisoned").pop_front() else {
                        record.tell("a response arrives without a request");
                        continue;
                    };
                    requests.end(number, End::Answered(answer.status()), &record);
                    if answer.is_last() {
                        *is_closing.lock().expect("not poisoned") = true;
                        break;
                    }
                }
                let end = match *is_closing.lock().expect("not poisoned") {
                    true => End::BehindClose,
                    false => End::Cut,
                };
                for number in unanswered.lock().expect("not poisoned").drain(..) {
                    requests.end(number, end, &record);
                }
            })
        };
        self.send(
            &stream,
            requests,
            record,
            &unanswered,
            &is_closing,
            &reading,
        );
        if !reading.is_finished() {
            // All responses arrive before the consumer closes.
            let end = Instant::now() + Duration::from_millis(self.time_ms);
            while Instant::now() < end && !unanswered.lock().expect("not poisoned").is_empty() {
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        let _ = reading.join();
    }

    fn send(
        &self,
        mut stream: &TcpStream,
        requests: &Requests,
        record: &Record,
        unanswered: &Mutex<VecDeque<usize>>,
        is_closing: &Mutex<bool>,
        reading: &std::thread::JoinHandle<()>,
    ) {
        while Instant::now() < self.until && !reading.is_finished() {
            let id = new_id();
            let text = head("GET", &self.path, &id, self.time_ms, "");
            {
                let is_closing = is_closing.lock().expect("not poisoned");
                if *is_closing {
                    return;
                }
                let number = requests.start(&id, self.host);
                unanswered.lock().expect("not poisoned").push_back(number);
                record.line(&format!("request {id} to {}: GET {}", self.host, self.path));
            }
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            std::thread::sleep(self.interval);
        }
    }
}
