//! A request takes down each instance that runs it, after the instance has begun to answer,
//! and its client sends it again and again.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::Fleet;
use crate::net;
use crate::record::Record;
use crate::store::Store;

const HOSTS: usize = 4;
const INSTANCES: usize = 8;
/// The path of the request that takes instances down.
const CRASHING_PATH: &str = "/read/crash";
/// How long an instance is down.
const DOWN: Duration = Duration::from_secs(3);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// The time between two sends of the request.
const PAUSE: Duration = Duration::from_millis(1_000);
const SENDS: usize = 25;
/// The retries that the rule allows after the third crash and the stable window.
const ALLOWED: usize = 3;
const CALM: Duration = Duration::from_secs(5);
/// The Unix time of the first starts in milliseconds.
const BORN_MS: u64 = 1_780_000_000_000;

/// An arrival of the crashing request at an instance.
struct Arrival {
    at: Instant,
    instance: usize,
    attempt: String,
}

struct Shared {
    store: Store,
    has_trouble: bool,
    arrivals: Mutex<Vec<Arrival>>,
}

struct Instance {
    number: usize,
    addr: SocketAddr,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    starts: u64,
    is_down: bool,
    connections: Vec<TcpStream>,
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: io::Error| error.to_string();
    let (store, stores) = Store::start(HOSTS).map_err(text)?;
    let shared = Arc::new(Shared {
        store: store.clone(),
        has_trouble,
        arrivals: Mutex::default(),
    });
    for number in 0..INSTANCES {
        let (listener, addr) = net::listen().map_err(text)?;
        let instance = Arc::new(Instance {
            number,
            addr,
            state: Mutex::default(),
        });
        store.put(&instance.key(), &instance.entry());
        let shared = shared.clone();
        thread::spawn(move || accept(&instance, &shared, listener));
    }
    store.put("op/config", CONFIG);
    let fleet = Fleet::start(&stores).map_err(text)?;
    fleet.wait_until_ready()?;
    record.line(&format!("{HOSTS} hosts are ready"));
    thread::sleep(CALM);
    for number in 0..SENDS {
        let host = number % HOSTS;
        let attempt = format!("crash-{number}");
        let sent_at = Instant::now();
        let status = send(fleet.front(host), &attempt);
        record.line_at(
            sent_at,
            &format!("request {attempt} is sent to host {host} and answered {status}"),
        );
        thread::sleep(PAUSE);
    }
    let arrivals = shared.arrivals.lock().unwrap();
    for arrival in arrivals.iter() {
        let (attempt, instance) = (&arrival.attempt, arrival.instance);
        record.line_at(arrival.at, &format!("{attempt} reaches i-{instance}"));
    }
    if !has_trouble {
        record.line(&format!(
            "{} arrivals, no instance went down",
            arrivals.len()
        ));
        return Ok(Verdict::Held);
    }
    let Some(third) = arrivals.get(2) else {
        return Err("fewer than three instances went down".to_owned());
    };
    let bound = third.at + STABLE_WINDOW;
    let late = arrivals.iter().filter(|arrival| arrival.at > bound).count();
    record.line_at(third.at, "the third instance goes down");
    record.line(&format!(
        "{late} retries reached instances later than {} ms after that, {ALLOWED} are allowed",
        STABLE_WINDOW.as_millis()
    ));
    Ok(if late > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends the request once, and returns the status of the answer.
fn send(addr: SocketAddr, attempt: &str) -> u16 {
    let headers = [
        ("Host", "shop.example"),
        ("Attempt-Id", attempt),
        ("Time-Remaining", "4000"),
        ("Connection", "close"),
    ];
    let answer =
        net::connect(addr).and_then(|mut reader| net::get(&mut reader, CRASHING_PATH, &headers));
    answer.map_or(0, |answer| answer.status())
}

impl Instance {
    fn key(&self) -> String {
        format!("servers/i-{}", self.number)
    }

    fn entry(&self) -> String {
        let born = BORN_MS + self.state.lock().unwrap().starts;
        format!(
            r#"{{"address":"{}","born":{born},"information":{{"service":"svc","version":"v1","zone":"zone-a","slots":6}},"status":{{"state":"ready","sequence":1,"cold-remaining-ms":0}}}}"#,
            self.addr
        )
    }

    /// Ends all connections as a crash does. The instance starts again under the same id later.
    fn crash(&self) {
        let connections = {
            let mut state = self.state.lock().unwrap();
            state.is_down = true;
            std::mem::take(&mut state.connections)
        };
        for connection in connections {
            // The connection has ended already if this fails.
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the thread that listens.
        let _ = TcpStream::connect(self.addr);
    }
}

/// Accepts connections. While the instance is down, nothing listens at its address.
fn accept(instance: &Arc<Instance>, shared: &Arc<Shared>, first: TcpListener) {
    let mut listener = Some(first);
    loop {
        let Some(open) = listener
            .take()
            .or_else(|| TcpListener::bind(instance.addr).ok())
        else {
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        for stream in open.incoming().flatten() {
            let mut state = instance.state.lock().unwrap();
            if state.is_down {
                break;
            }
            if let Ok(copy) = stream.try_clone() {
                state.connections.push(copy);
            }
            drop(state);
            let (instance, shared) = (instance.clone(), shared.clone());
            thread::spawn(move || serve(&instance, &shared, stream));
        }
        drop(open);
        thread::sleep(DOWN);
        let mut state = instance.state.lock().unwrap();
        state.starts += 1;
        state.is_down = false;
        drop(state);
        shared.store.put(&instance.key(), &instance.entry());
    }
}

fn serve(instance: &Arc<Instance>, shared: &Arc<Shared>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    let id = format!("i-{}", instance.number);
    while let Ok(Some(request)) = net::read_message(&mut reader) {
        let expected = request.header("Expected-Instance");
        if !expected.is_empty() && expected != id {
            let headers = [("Instance-Id", id.as_str())];
            let status = "421 Misdirected Request";
            if net::write_answer(reader.get_mut(), status, &headers, "").is_err() {
                return;
            }
            continue;
        }
        let attempt = request.header("Attempt-Id").to_owned();
        shared.arrivals.lock().unwrap().push(Arrival {
            at: Instant::now(),
            instance: instance.number,
            attempt: attempt.clone(),
        });
        if shared.has_trouble {
            // The head and a part of the body are out before the process ends.
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: seal\r\nContent-Length: 1000\r\n\r\nthe first bytes"
            );
            let _ = reader.get_mut().write_all(head.as_bytes());
            thread::sleep(Duration::from_millis(50));
            instance.crash();
            return;
        }
        let headers = [("Attempt-Id", attempt.as_str()), ("Server-Seal", "seal")];
        if net::write_answer(reader.get_mut(), "200 OK", &headers, "done").is_err() {
            return;
        }
    }
}

const CONFIG: &str = r#"{"version":"r1","routes":[{"name":"read","host":"shop.example","prefix":"/read/","kind":"safe","timeout-ms":2000,"target-latency-ms":1000,"priority":1,"service":"svc","max-attempts":2,"allow-anonymous":true}],"services":[{"name":"svc","health-check-path":"/health","max-connections":330,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant","api-keys":["key"],"priority":1,"requests-per-s":0,"burst":0}]}"#;
