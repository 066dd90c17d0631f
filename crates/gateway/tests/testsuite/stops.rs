//! A planned stop does not break off a request.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use waxwingusher_config::routing::RoutingDocument;
use waxwingusher_core::FeedPosition;
use waxwingusher_gateway::ports::{Changes, Listing, SourceError};
use waxwingusher_gateway::{Command, FeedSource};

use crate::harness::{
    Instance, StaticSource, TestHost, answer_with_proof, document, read_reply, request, roster,
};

/// The time from the stop command to the exit of the process.
const GRACE: Duration = Duration::from_secs(5);
/// The delay of a thread that is normal on a busy machine.
const BUSY_DELAY: Duration = Duration::from_millis(300);
/// How long a test waits for peers to exchange updates before it fails.
const PEER_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn a_request_that_is_being_read_as_the_host_closes_is_answered() {
    let instance = Instance::start(Arc::new(|request, _| {
        std::thread::sleep(Duration::from_millis(150));
        answer_with_proof(request, "200 OK", "done")
    }));
    let mut document = document();
    // The head is interrupted for as long as the host accepts connections.
    document.limits.header_timeout = 2 * GRACE;
    let host = TestHost::start_with(document, &[&instance], GRACE);
    let text = request("POST", "/book/1", "a", "body");
    let (head, rest) = text.split_at(20);
    let mut stream = host.connect();
    stream.write_all(head.as_bytes()).expect("the host reads");
    host.commands.send(Command::Stop).expect("the host runs");
    while TcpStream::connect(host.caller_addr).is_ok() {
        std::thread::sleep(Duration::from_millis(20));
    }
    stream.write_all(rest.as_bytes()).expect("the host reads");
    let reply = read_reply(&mut stream);
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection"), Some("close"));
    host.thread.join().expect("the host stops");
}

#[test]
fn a_draining_host_is_not_ready_but_serves() {
    let instance = Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "200 OK", "done")
    }));
    let host = TestHost::start(&[&instance], GRACE);
    host.commands.send(Command::Stop).expect("the host runs");
    while host.get_status("/ready").0 == 200 {
        std::thread::sleep(Duration::from_millis(5));
    }
    let reply = host.send(&request("GET", "/read/1", "a", ""));
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection"), Some("close"));
    host.thread.join().expect("the host stops");
}

/// Returns the number of hosts that a host knows, itself included.
fn known_hosts(host: &TestHost) -> Option<usize> {
    let (_, metrics) = host.get_status("/metrics");
    let known = metrics
        .lines()
        .find_map(|line| line.strip_prefix("waxwingusher_known_hosts "));
    known.and_then(|known| known.parse().ok())
}

fn wait_until_known(host: &TestHost, hosts: usize) {
    let started = Instant::now();
    while known_hosts(host) != Some(hosts) {
        assert!(started.elapsed() < PEER_TIMEOUT, "{:?}", known_hosts(host));
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_host_that_has_stopped_counts_no_more_at_its_peers() {
    let source = || StaticSource {
        document: document(),
        roster: Vec::new(),
    };
    let grace = Duration::from_secs(1);
    let first = TestHost::start_with_seeds(&[], source(), grace);
    let second = TestHost::start_with_seeds(&[first.peer_addr], source(), grace);
    wait_until_known(&first, 2);
    wait_until_known(&second, 2);
    second.commands.send(Command::Stop).expect("the host runs");
    second.thread.join().expect("the host stops");
    wait_until_known(&first, 1);
}

/// Guards against a host that goes on reading from a caller who always has a request under
/// way, and cuts that caller's last requests as the process ends.
#[test]
fn a_planned_stop_cuts_no_request_of_a_caller_that_pipelines() {
    const INTERVAL: Duration = Duration::from_millis(20);
    const RUN_TIME: Duration = Duration::from_millis(60);
    let instance = Instance::start(Arc::new(|request, _| {
        std::thread::sleep(RUN_TIME);
        answer_with_proof(request, "200 OK", "done")
    }));
    let grace = Duration::from_secs(2);
    let host = TestHost::start(&[&instance], grace);
    let stream = host.connect();
    let mut sending = stream.try_clone().expect("a second handle");
    let sender = std::thread::spawn(move || {
        for number in 0.. {
            let text = request("GET", "/read/1", &format!("r{number}"), "");
            if sending.write_all(text.as_bytes()).is_err() {
                return;
            }
            std::thread::sleep(INTERVAL);
        }
    });
    let mut stream = stream;
    read_reply(&mut stream);
    let mut answered = 1;
    host.commands.send(Command::Stop).expect("the host runs");
    let stopped_at = Instant::now();
    let mut has_closed = false;
    while !has_closed {
        let reply = read_reply(&mut stream);
        assert_eq!(reply.status, 200, "answer {answered}: {}", reply.head);
        answered += 1;
        has_closed = reply.header("connection") == Some("close");
    }
    let took = stopped_at.elapsed();
    assert!(took < grace / 2, "the connection closes after {took:?}");
    drop(stream);
    sender.join().expect("the caller ends");
    host.thread.join().expect("the host stops");
    assert_eq!(instance.request_count(), answered);
}

/// Guards against a request that runs although its caller sends it again, as it arrived behind
/// the answer that closes the connection.
#[test]
fn a_request_that_arrives_behind_the_closing_answer_does_not_run() {
    let body = "x".repeat(15 * 1024 * 1024);
    let instance = Instance::start(Arc::new(move |request, _| {
        std::thread::sleep(Duration::from_millis(200));
        answer_with_proof(request, "200 OK", &body)
    }));
    let host = TestHost::start(&[&instance], GRACE);
    let mut stream = host.connect();
    let next = request("POST", "/book/1", "next", "body");
    let (start, rest) = next.split_at(next.len() - 2);
    let first = request("GET", "/read/1", "first", "") + start;
    stream.write_all(first.as_bytes()).expect("the host reads");
    while instance.request_count() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    host.commands.send(Command::Stop).expect("the host runs");
    // The answer is larger than the buffers of the connection, so it is still being written
    // when its first byte has arrived.
    stream.peek(&mut [0]).expect("the answer begins");
    stream.write_all(rest.as_bytes()).expect("the host reads");
    std::thread::sleep(Duration::from_millis(200));
    let reply = read_reply(&mut stream);
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection"), Some("close"));
    assert_eq!(read_reply(&mut stream).status, 0);
    drop(stream);
    host.thread.join().expect("the host stops");
    assert_eq!(instance.request_count(), 1);
}

/// Guards against a request that is discarded, as the host begins to stop while an answer that
/// does not close the connection is being written.
#[test]
fn a_request_behind_an_answer_that_is_being_written_as_the_stop_begins_is_served() {
    let body = "x".repeat(15 * 1024 * 1024);
    let instance = Instance::start(Arc::new(move |request, _| {
        answer_with_proof(request, "200 OK", &body)
    }));
    let host = TestHost::start(&[&instance], GRACE);
    let mut stream = host.connect();
    let first = request("GET", "/read/1", "first", "");
    stream.write_all(first.as_bytes()).expect("the host reads");
    stream.peek(&mut [0]).expect("the answer begins");
    host.commands.send(Command::Stop).expect("the host runs");
    while host.get_status("/ready").0 == 200 {
        std::thread::sleep(Duration::from_millis(5));
    }
    let next = request("POST", "/book/1", "next", "body");
    stream.write_all(next.as_bytes()).expect("the host reads");
    std::thread::sleep(Duration::from_millis(200));
    let reply = read_reply(&mut stream);
    assert_eq!((reply.status, reply.header("connection")), (200, None));
    let reply = read_reply(&mut stream);
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection"), Some("close"));
    host.thread.join().expect("the host stops");
}

/// Starts an instance that runs each request for as many milliseconds as its path says.
fn timed_instance(body: String) -> Instance {
    Instance::start(Arc::new(move |request, _| {
        let target = request.head.split(' ').nth(1).unwrap_or("");
        let run_ms = target.rsplit('/').next().and_then(|ms| ms.parse().ok());
        std::thread::sleep(Duration::from_millis(run_ms.unwrap_or(0)));
        answer_with_proof(request, "200 OK", &body)
    }))
}

/// Returns a configuration whose routes take long, and a request whose caller waits for long.
fn slow_routes(latency_target: Duration) -> RoutingDocument {
    let mut document = document();
    for route in &mut document.routes {
        route.timeout = Some(Duration::from_secs(9));
        route.latency_target = latency_target;
    }
    document
}

fn patient(method: &str, path: &str, id: &str) -> String {
    request(method, path, id, "body").replace("time-left-ms: 4000", "time-left-ms: 20000")
}

/// Guards against a host that refuses requests of slow routes although it has the time.
#[test]
fn a_slow_route_is_served_while_connections_are_accepted() {
    let instance = timed_instance("done".to_owned());
    let document = slow_routes(Duration::from_secs(6));
    let host = TestHost::start_with(document, &[&instance], Duration::from_secs(6));
    host.commands.send(Command::Stop).expect("the host runs");
    std::thread::sleep(Duration::from_millis(50));
    for path in ["/book/100", "/book/1900"] {
        let reply = host.send(&patient("POST", path, path));
        assert_eq!(reply.status, 200, "{path}: {}", reply.head);
        assert_eq!(reply.header("connection"), Some("close"), "{path}");
    }
    host.thread.join().expect("the host stops");
}

/// Guards against a request that waits for a slot although it cannot start any more.
#[test]
fn a_queued_request_that_cannot_start_any_more_is_refused_at_once() {
    let instance = timed_instance("done".to_owned());
    let mut roster = roster(&[&instance]);
    roster[0].slots = 1;
    let document = slow_routes(Duration::from_secs(8));
    let host = TestHost::start_with_source(StaticSource { document, roster }, GRACE);
    let send = |path: &str, id: &str| {
        let mut stream = host.connect();
        let sent = stream.write_all(patient("POST", path, id).as_bytes());
        sent.map(|()| stream).expect("the host reads")
    };
    let _running = [send("/book/4500", "first"), send("/book/4500", "second")];
    std::thread::sleep(Duration::from_millis(100));
    let mut queued = send("/book/1000", "queued");
    std::thread::sleep(Duration::from_millis(100));
    host.commands.send(Command::Stop).expect("the host runs");
    let stopped_at = Instant::now();
    let reply = read_reply(&mut queued);
    let took = stopped_at.elapsed();
    assert_eq!(
        (reply.status, reply.body.as_slice()),
        (503, &b"stopping\n"[..])
    );
    assert!(took < Duration::from_millis(500), "{took:?}");
    host.thread.join().expect("the host stops");
    assert_eq!(instance.request_count(), 2);
}

/// Guards against a caller that keeps a stopping host, and with it all other callers, busy.
#[test]
fn a_flood_of_empty_lines_does_not_outlast_the_grace() {
    let grace = Duration::from_secs(3);
    let instance = timed_instance("done".to_owned());
    let host = TestHost::start(&[&instance], grace);
    let has_ended = Arc::new(AtomicBool::new(false));
    let flood = |mut stream: TcpStream, has_ended: Arc<AtomicBool>| {
        let lines = "\r\n".repeat(32 * 1024);
        while !has_ended.load(Ordering::SeqCst) && stream.write_all(lines.as_bytes()).is_ok() {}
    };
    let floods = [host.connect(), host.connect()].map(|stream| {
        let has_ended = has_ended.clone();
        std::thread::spawn(move || flood(stream, has_ended))
    });
    let mut stream = host.connect();
    let text = patient("POST", "/book/1800", "other");
    stream.write_all(text.as_bytes()).expect("the host reads");
    std::thread::sleep(Duration::from_millis(100));
    host.commands.send(Command::Stop).expect("the host runs");
    let stopped_at = Instant::now();
    while !host.thread.is_finished() && stopped_at.elapsed() < 2 * grace {
        std::thread::sleep(Duration::from_millis(10));
    }
    let took = stopped_at.elapsed();
    has_ended.store(true, Ordering::SeqCst);
    assert_eq!(read_reply(&mut stream).status, 200);
    for flood in floods {
        flood.join().expect("the caller ends");
    }
    assert!(took < grace + BUSY_DELAY, "{took:?}");
}

/// A source that holds up the event loop once, for the time that a test sets.
struct BlockingSource {
    listed: StaticSource,
    block_ms: Arc<AtomicU64>,
}

impl FeedSource for BlockingSource {
    async fn list(&self) -> Result<Listing, SourceError> {
        self.listed.list().await
    }

    async fn changes(&self, _: FeedPosition, _: Duration) -> Result<Changes, SourceError> {
        loop {
            let block_ms = self.block_ms.swap(0, Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(block_ms));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn reconnect(&self) {}
}

/// Guards against answers that are thrown away although they arrived while the process stood
/// still until the end of its grace.
#[test]
fn answers_that_arrived_while_the_process_stood_still_are_passed_on() {
    let instance = timed_instance("x".repeat(20_000));
    let block_ms = Arc::new(AtomicU64::new(0));
    let source = BlockingSource {
        listed: StaticSource {
            document: document(),
            roster: roster(&[&instance]),
        },
        block_ms: block_ms.clone(),
    };
    let host = TestHost::start_with_source(source, Duration::from_secs(4));
    let mut streams = Vec::new();
    for id in ["a", "b", "c", "d", "e"] {
        let mut stream = host.connect();
        let text = patient("POST", "/book/2600", id);
        stream.write_all(text.as_bytes()).expect("the host reads");
        streams.push(stream);
    }
    std::thread::sleep(Duration::from_millis(50));
    host.commands.send(Command::Stop).expect("the host runs");
    std::thread::sleep(Duration::from_millis(2_300));
    block_ms.store(1_400, Ordering::SeqCst);
    let statuses: Vec<u16> = streams
        .iter_mut()
        .map(|stream| read_reply(stream).status)
        .collect();
    assert_eq!(statuses, [200; 5]);
    drop(streams);
    host.thread.join().expect("the host stops");
}
