//! Clients that send requests to one host each, one after the other.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::net;

/// The pause between two requests.
const PAUSE: Duration = Duration::from_millis(10);

/// A request and the status of its answer; 0 without one.
#[derive(Clone)]
pub struct Sent {
    pub host: usize,
    pub request: String,
    pub sent_at: Instant,
    pub status: u16,
}

/// Clients that run until they are stopped.
pub struct Load {
    is_stopped: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts a client for each host. They send safe requests with a key.
    pub fn start(name: &str, hosts: &[(usize, SocketAddr)], key: &str) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let start = |&(host, addr): &(usize, SocketAddr)| {
            let (is_stopped, sent) = (is_stopped.clone(), sent.clone());
            let (name, key) = (name.to_owned(), key.to_owned());
            thread::spawn(move || run(&name, host, addr, &key, &is_stopped, &sent))
        };
        let threads = hosts.iter().map(start).collect();
        Self {
            is_stopped,
            sent,
            threads,
        }
    }

    /// Stops the clients and returns what they sent.
    pub fn stop(self) -> Vec<Sent> {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut sent = std::mem::take(&mut *self.sent.lock().unwrap());
        sent.sort_by_key(|sent| sent.sent_at);
        sent
    }
}

fn run(
    name: &str,
    host: usize,
    addr: SocketAddr,
    key: &str,
    is_stopped: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
) {
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut number = 0;
    while !is_stopped.load(Ordering::Relaxed) {
        number += 1;
        let request = format!("{name}-{host}-{number}");
        let sent_at = Instant::now();
        let headers = [
            ("Host", "shop.example"),
            ("Attempt-Id", request.as_str()),
            ("Time-Remaining", "4000"),
            ("Api-Key", key),
        ];
        let reader = match connection.take() {
            Some(reader) => Ok(reader),
            None => net::connect(addr),
        };
        let answer = reader.and_then(|mut reader| {
            let answer = net::get(&mut reader, "/read/1", &headers)?;
            Ok((reader, answer))
        });
        let status = match answer {
            Ok((reader, answer)) => {
                let is_last = answer.header("connection").eq_ignore_ascii_case("close");
                connection = Some(reader).filter(|_| !is_last);
                answer.status()
            }
            Err(_) => 0,
        };
        sent.lock().unwrap().push(Sent {
            host,
            request,
            sent_at,
            status,
        });
        thread::sleep(PAUSE);
    }
}
