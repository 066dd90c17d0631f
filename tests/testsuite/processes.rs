//! Hosts as separate processes that reach the stand-ins over sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::ScopedJoinHandle;
use std::time::{Duration, Instant, SystemTime};

use waxwingusher_config::publication::MANIFEST_KEY;
use waxwingusher_config::resolve::{TeamText, resolve};
use waxwingusher_config::{Pack, publish};
use waxwingusher_core::{
    CancelToken, FailureDomain, HostEntry, HostId, HostList, HostState, KeyDigest,
};
use waxwingusher_emulator::fleet::wait_until;
use waxwingusher_emulator::{Caller, Operation};
use waxwingusher_standins::upstream::{Faults, GrayFailure, GrayKind};
use waxwingusher_standins::{ConfigService, UpstreamServer, UpstreamSettings};

const TIMEOUT: Duration = Duration::from_secs(90);
/// Hosts end this long after the 3 s for which they only announce a stop.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time that the slow upstream takes, longer than a whole stop.
const SLOW_WORK: Duration = Duration::from_secs(6);
const KEY: &str = "a-key-for-separate-processes";
const SECRET: &str = "a secret for separate processes, not a real one";

/// A host in a separate process, which is killed on drop.
struct HostProcess {
    child: Child,
    entry: HostEntry,
    caller_addr: SocketAddr,
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // Errors are ignored: the process may have already ended.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn start_host(name: &str, domain: &str, service: SocketAddr, opens_at_s: u64) -> HostProcess {
    let mut child = Command::new(env!("CARGO_BIN_EXE_waxwingusher"))
        .args(["serve", "--host-id", name, "--failure-domain", domain])
        .args(["--failure-domains", "north,south", "--workers", "8"])
        .args([
            "--caller-addr",
            "127.0.0.1:0",
            "--operator-addr",
            "127.0.0.1:0",
        ])
        .args([
            "--peer-addr",
            "127.0.0.1:0",
            "--config-service",
            &service.to_string(),
        ])
        .args([
            "--loan-term-ms",
            "1000",
            "--fleet-opens-at",
            &opens_at_s.to_string(),
            "--drain-timeout-ms",
            &DRAIN_TIMEOUT.as_millis().to_string(),
        ])
        .env("WAXWINGUSHER_FLEET_SECRET", SECRET)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let stderr = child.stderr.take().expect("the log is piped");
    let mut lines = BufReader::new(stderr).lines();
    let started = lines
        .by_ref()
        .map_while(Result::ok)
        .find(|line| line.contains("serves callers on"))
        .expect("the host logs its addresses");
    // Drains the pipe, so that the host does not block on a full one.
    std::thread::spawn(move || lines.for_each(drop));
    let addr_after = |label: &str| -> SocketAddr {
        let rest = started
            .split(label)
            .nth(1)
            .expect("the line holds the address");
        let text = rest
            .trim()
            .split([',', ' '])
            .next()
            .expect("the text before the separator");
        text.trim_end_matches('.').parse().expect("an address")
    };
    HostProcess {
        caller_addr: addr_after("callers on"),
        entry: HostEntry {
            id: HostId::new(name),
            peer_addr: addr_after("peers on"),
            failure_domain: FailureDomain::new(domain),
            state: HostState::Live,
        },
        child,
    }
}

/// Sends SIGTERM.
fn stop(host: &HostProcess) {
    let pid = host.child.id();
    let kill_status = Command::new("sh")
        .args(["-c", &format!("kill -TERM {pid}")])
        .status()
        .expect("the shell runs");
    assert!(kill_status.success());
}

fn publish_config(service: &ConfigService, upstream: &UpstreamServer) {
    let text = format!(
        "owner = \"desk\"\n[service.desk]\n[service.desk.instance.one]\naddr = \"{}\"\nslots = 6\n\
         failure-domain = \"north\"\n[route.desk]\nservice = \"desk\"\npath-prefix = \"/desk\"\n\
         [workspace.staff]\nkey-digests = [\"{}\"]\nrate-per-s = 500\nburst = 200\n",
        upstream.addr(),
        KeyDigest::of_key(KEY.as_bytes())
    );
    let path = PathBuf::from("desk.toml");
    let snapshot = resolve(&[TeamText { path, text }], 1).expect("the file is valid");
    let publication = publish(&snapshot).expect("the snapshot is published");
    for pack in &publication.packs {
        let key = Pack::service_key(&pack.digest);
        service.put(&key, &pack.bytes).expect("the pack is stored");
    }
    let stored = service.put(MANIFEST_KEY, &publication.manifest);
    stored.expect("the manifest is stored");
}

/// Starts four hosts, and waits until all of them serve requests.
fn start_hosts(service: &ConfigService, upstream: &UpstreamServer) -> (Vec<HostProcess>, HostList) {
    publish_config(service, upstream);
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let opens_at_s = now.expect("a time after 1970").as_secs() + 10;
    let hosts: Vec<HostProcess> = ["north-0", "north-1", "south-0", "south-1"]
        .iter()
        .map(|name| {
            let domain = name.split('-').next().expect("a domain");
            start_host(name, domain, service.addr(), opens_at_s)
        })
        .collect();
    let list = HostList {
        version: 1,
        hosts: hosts.iter().map(|host| host.entry.clone()).collect(),
    };
    service.put_hosts(&list).expect("the host list is stored");
    let caller = Caller::new();
    wait_until("answers from all processes", TIMEOUT, || {
        hosts.iter().all(|host| {
            let operation = Operation::submission("/desk/echo", KEY, "warm-up");
            let answer = caller.send(host.caller_addr, &operation);
            answer.is_ok_and(|answer| answer.status == 200)
        })
    })
    .expect("all processes serve requests");
    (hosts, list)
}

#[test]
fn a_request_is_served_by_separate_processes_and_a_planned_stop_ends_with_0() {
    let token = CancelToken::new();
    let service = ConfigService::start(&token).expect("the service starts");
    let upstream = UpstreamServer::start(UpstreamSettings::default(), &token);
    let upstream = upstream.expect("the upstream starts");
    let (mut hosts, mut list) = start_hosts(&service, &upstream);
    assert!(!upstream.has_seen(KEY.as_bytes()));

    let mut leaving = hosts.remove(0);
    list.version += 1;
    list.hosts[0].state = HostState::Leaving;
    service.put_hosts(&list).expect("the host list is stored");
    let status = leaving.child.wait().expect("the host ends");
    assert_eq!(status.code(), Some(0));

    stop(&hosts[0]);
    let status = hosts[0].child.wait().expect("the host ends");
    assert_eq!(status.code(), Some(0));
    let operation = Operation::read("/desk/echo?last", KEY, "last");
    let answer = Caller::new()
        .send(hosts[1].caller_addr, &operation)
        .expect("an answer");
    assert!(
        answer.status == 200 || answer.outcome.as_deref() == Some("not-run"),
        "{answer:?}"
    );
}

/// A request that a planned stop cannot let run to its end.
struct LateRequest {
    method: &'static str,
    /// When the request is whole, from 500 ms before the stop on; the head and
    /// half of the body are sent at once.
    whole_after: Option<Duration>,
    /// What the answer contains.
    answer: [&'static str; 3],
}

impl LateRequest {
    /// Sends the request, and returns all that the host sends.
    fn send(&self, addr: SocketAddr, operation: &str) -> String {
        let sent_at = Instant::now();
        let mut stream = TcpStream::connect(addr).expect("the host accepts the connection");
        let timeout = stream.set_read_timeout(Some(TIMEOUT));
        timeout.expect("a timeout is set");
        let head = format!(
            "{} /desk/echo HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
             x-operation-id: {operation}\r\ncontent-length: 8\r\n\r\nhalf",
            self.method
        );
        stream.write_all(head.as_bytes()).expect("half is sent");
        if let Some(whole_after) = self.whole_after {
            std::thread::sleep(whole_after.saturating_sub(sent_at.elapsed()));
            // An error is the host's end, which shows in the answer.
            drop(stream.write_all(b"rest"));
        }
        let mut answer = Vec::new();
        drop(stream.read_to_end(&mut answer));
        String::from_utf8_lossy(&answer).to_lowercase()
    }
}

/// Guards against requests that a planned stop cuts without an answer, and against ones that
/// it passes on although they cannot end in time.
#[test]
fn a_planned_stop_answers_what_cannot_end_in_time() {
    const NOT_RUN: [&str; 3] = ["http/1.1 503", "code: draining", "outcome: not-run"];
    const UNKNOWN: [&str; 3] = ["http/1.1 504", "code: drain-ended", "outcome: unknown"];
    let late = |method, whole_after_ms: Option<u64>, answer| LateRequest {
        method,
        whole_after: whole_after_ms.map(Duration::from_millis),
        answer,
    };
    let requests = [
        late("POST", Some(100), UNKNOWN),
        late("GET", Some(100), UNKNOWN),
        late("POST", Some(3_000), NOT_RUN),
        late("POST", Some(4_400), NOT_RUN),
        late("GET", Some(4_400), NOT_RUN),
        late("POST", None, NOT_RUN),
    ];
    let token = CancelToken::new();
    let service = ConfigService::start(&token).expect("the service starts");
    let upstream = UpstreamServer::start(UpstreamSettings::default(), &token);
    let upstream = upstream.expect("the upstream starts");
    let (mut hosts, _) = start_hosts(&service, &upstream);
    let mut host = hosts.remove(0);
    upstream.set_faults(Faults {
        gray: Some(GrayFailure {
            share_percent: 100,
            kind: GrayKind::Slow(SLOW_WORK),
        }),
        ..Faults::default()
    });

    let addr = host.caller_addr;
    let answers: Vec<String> = std::thread::scope(|scope| {
        let callers = requests.iter().enumerate();
        let callers: Vec<_> = callers
            .map(|(i, request)| scope.spawn(move || request.send(addr, &format!("late-{i}"))))
            .collect();
        std::thread::sleep(Duration::from_millis(500));
        stop(&host);
        let answers = callers.into_iter().map(ScopedJoinHandle::join);
        answers.map(|answer| answer.expect("it ends")).collect()
    });
    let status = host.child.wait().expect("the host ends");
    assert_eq!(status.code(), Some(0));
    let mut failed = Vec::new();
    for (i, (request, answer)) in requests.iter().zip(&answers).enumerate() {
        let runs = upstream.runs_of(&format!("late-{i}"));
        let is_expected = request.answer.iter().all(|part| answer.contains(part))
            && answer.contains("connection: close")
            && runs <= u64::from(request.answer == UNKNOWN);
        if !is_expected {
            let when = request.whole_after;
            failed.push((request.method, when, runs, answer));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
