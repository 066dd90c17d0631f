//! Hosts whose paths to all instances are refused or reset at random, while callers send
//! requests to all hosts.
//!
//! `TAKEOVER_SEEDS=20 cargo test -p waxwingusher-gateway takeover_schedules` runs more seeds.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use waxwingusher_upstreams::RosterEntry;

use crate::harness::{
    Instance, StaticSource, TestHost, answer_with_proof, document, request, roster,
};

const GRACE: Duration = Duration::from_secs(1);
const HOSTS: usize = 4;
const INSTANCES: usize = 4;
const CALLERS: usize = 6;
const RUN_TIME: Duration = Duration::from_secs(6);
/// How long a host may take to notice that its paths were cut; the users allow 3 s.
const NOTICED_WITHIN: Duration = Duration::from_secs(1);
/// The users' rule: callers of cut-off hosts are served two thirds as often as others.
const MIN_SERVED_RATIO: f64 = 2.0 / 3.0;
const CALLER_PAUSE: Duration = Duration::from_millis(15);
const ACCEPT_POLL: Duration = Duration::from_millis(2);
/// The address of the gates, which no other test uses: while a gate refuses connections, an
/// instance of another test could otherwise take its port and answer in its place.
const GATE_IP: Ipv4Addr = Ipv4Addr::new(127, 77, 0, 1);

/// How the connections of one host to one instance are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GateState {
    Open,
    /// New connections are refused, and open ones live on.
    Refusing,
    /// New connections are refused, and open ones are reset.
    Resetting,
}

/// The path from one host to one instance.
struct Gate {
    addr: SocketAddr,
    state: Arc<Mutex<GateState>>,
    is_stopping: Arc<AtomicBool>,
}

impl Gate {
    fn start(target: SocketAddr) -> Self {
        let listener = listen(SocketAddr::from((GATE_IP, 0))).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(GateState::Open));
        let is_stopping = Arc::new(AtomicBool::new(false));
        let (shared, stop) = (state.clone(), is_stopping.clone());
        std::thread::spawn(move || run_gate(addr, listener, target, &shared, &stop));
        Self {
            addr,
            state,
            is_stopping,
        }
    }

    fn set(&self, state: GateState) {
        *self.state.lock().expect("not poisoned") = state;
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }
}

fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(64)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

fn run_gate(
    addr: SocketAddr,
    listener: TcpListener,
    target: SocketAddr,
    state: &Mutex<GateState>,
    is_stopping: &AtomicBool,
) {
    let mut listener = Some(listener);
    let mut open: Vec<TcpStream> = Vec::new();
    while !is_stopping.load(Ordering::SeqCst) {
        let current = *state.lock().expect("not poisoned");
        if current != GateState::Open {
            listener = None;
        }
        if current == GateState::Resetting {
            open.drain(..).for_each(|stream| reset(&stream));
        }
        if current == GateState::Open && listener.is_none() {
            // The port may be taken for a moment; the next pass tries again.
            listener = listen(addr).ok();
        }
        while let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
            open.extend(connect(stream, target));
        }
        std::thread::sleep(ACCEPT_POLL);
    }
}

/// Copies both directions in threads, and returns a handle of the host's side.
fn connect(host_side: TcpStream, target: SocketAddr) -> Option<TcpStream> {
    host_side.set_nonblocking(false).ok()?;
    let target_side = TcpStream::connect(target).ok()?;
    let handle = host_side.try_clone().ok()?;
    for (mut from, mut to) in [
        (host_side.try_clone().ok()?, target_side.try_clone().ok()?),
        (target_side, host_side),
    ] {
        std::thread::spawn(move || {
            let mut chunk = [0; 4_096];
            while let Ok(length @ 1..) = from.read(&mut chunk) {
                if to.write_all(&chunk[..length]).is_err() {
                    break;
                }
            }
            // Errors are ignored: either side may already be closed.
            let _ = to.shutdown(Shutdown::Write);
        });
    }
    Some(handle)
}

fn reset(stream: &TcpStream) {
    // Errors are ignored: the connection may already be closed.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

/// A request and its answer.
struct Sent {
    id: String,
    is_idempotent: bool,
    status: u16,
    /// Whether its host was cut off, and had time to notice it.
    was_cut_off: bool,
    /// Whether its host's paths had lately changed, or those of all others were cut.
    is_excused: bool,
}

/// When the paths of each host were cut, or opened again.
#[derive(Debug, Clone, Copy)]
struct Cut {
    is_cut: bool,
    since: Instant,
}

struct Fleet {
    instances: Vec<Instance>,
    gates: Vec<Vec<Gate>>,
    hosts: Vec<TestHost>,
    cuts: Mutex<Vec<Cut>>,
}

impl Fleet {
    fn start() -> Self {
        let instances: Vec<Instance> = (0..INSTANCES)
            .map(|_| {
                Instance::start(Arc::new(|request, _| {
                    answer_with_proof(request, "200 OK", "done")
                }))
            })
            .collect();
        let entries = roster(&instances.iter().collect::<Vec<_>>());
        let (mut gates, mut hosts, mut seeds) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..HOSTS {
            let own: Vec<Gate> = entries
                .iter()
                .map(|entry| Gate::start(entry.addr))
                .collect();
            let paths = entries.iter().zip(&own);
            let roster: Vec<RosterEntry> = paths
                .map(|(entry, gate)| RosterEntry {
                    addr: gate.addr,
                    ..entry.clone()
                })
                .collect();
            let source = StaticSource {
                document: document(),
                roster,
            };
            let host = TestHost::start_with_seeds(&seeds, source, GRACE);
            seeds = vec![host.peer_addr];
            gates.push(own);
            hosts.push(host);
        }
        let open = Cut {
            is_cut: false,
            since: Instant::now(),
        };
        Self {
            instances,
            gates,
            hosts,
            cuts: Mutex::new(vec![open; HOSTS]),
        }
    }

    fn set(&self, host: usize, state: GateState) {
        self.cuts.lock().expect("not poisoned")[host] = Cut {
            is_cut: state != GateState::Open,
            since: Instant::now(),
        };
        self.gates[host].iter().for_each(|gate| gate.set(state));
    }

    /// Cuts hosts off and joins them again at random times.
    fn inject_faults(&self, rng: &mut fastrand::Rng) {
        let end = Instant::now() + RUN_TIME;
        while Instant::now() < end {
            let state = match rng.u8(..5) {
                0 | 1 => GateState::Refusing,
                2 | 3 => GateState::Resetting,
                _ => GateState::Open,
            };
            self.set(rng.usize(..HOSTS), state);
            std::thread::sleep(Duration::from_millis(rng.u64(100..900)));
        }
    }

    fn send(&self, number: usize, rng: &mut fastrand::Rng) -> Sent {
        let host = rng.usize(..HOSTS);
        let is_idempotent = rng.bool();
        let (method, path) = if is_idempotent {
            ("GET", "/read/1")
        } else {
            ("POST", "/book/1")
        };
        let id = format!("r{number}-{}", rng.u32(..));
        let before = self.cuts.lock().expect("not poisoned").clone();
        let reply = self.hosts[host].send(&request(method, path, &id, "body"));
        let after = self.cuts.lock().expect("not poisoned").clone();
        if reply.status == 200 {
            assert_eq!(reply.header("request-id"), Some(id.as_str()));
            assert_eq!(reply.body, b"done");
        }
        let now = Instant::now();
        let is_steady = |cut: &Cut| now - cut.since > NOTICED_WITHIN;
        let has_path = |cuts: &[Cut]| cuts.iter().any(|cut| !cut.is_cut && is_steady(cut));
        Sent {
            id,
            is_idempotent,
            status: reply.status,
            was_cut_off: after[host].is_cut && is_steady(&after[host]),
            is_excused: !is_steady(&after[host]) || !has_path(&before) || !has_path(&after),
        }
    }

    fn runs(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for instance in &self.instances {
            for request in instance.received.lock().expect("not poisoned").iter() {
                assert_eq!(request.header("key"), None, "an instance saw a key");
                assert_eq!(request.header("workspace"), Some("acme"));
                let id = request.header("request-id").unwrap_or("").to_owned();
                *runs.entry(id).or_default() += 1;
            }
        }
        runs
    }
}

fn check(seed: u64) -> [(usize, usize); 2] {
    let mut rng = fastrand::Rng::with_seed(seed);
    let fleet = Fleet::start();
    let is_stopping = AtomicBool::new(false);
    let sent: Vec<Sent> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (mut rng, fleet, is_stopping) = (rng.fork(), &fleet, &is_stopping);
                scope.spawn(move || {
                    let mut sent = Vec::new();
                    while !is_stopping.load(Ordering::SeqCst) {
                        sent.push(fleet.send(caller, &mut rng));
                        std::thread::sleep(CALLER_PAUSE);
                    }
                    sent
                })
            })
            .collect();
        fleet.inject_faults(&mut rng);
        is_stopping.store(true, Ordering::SeqCst);
        let sent = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        sent.flat_map(|sent| sent.expect("a caller")).collect()
    });
    let runs = fleet.runs();
    let mut served = [(0, 0); 2];
    for request in &sent {
        let Sent { id, status, .. } = request;
        let count = runs.get(id).copied().unwrap_or(0);
        if !request.is_idempotent {
            assert!(count <= 1, "seed {seed}: {id} ran {count} times");
            let is_refused = matches!(status, 408 | 421 | 429 | 503);
            assert!(
                !is_refused || count == 0,
                "seed {seed}: {id} got {status} and ran"
            );
        }
        if *status == 200 {
            assert!(count > 0, "seed {seed}: {id} was answered without a run");
        }
        if request.is_excused {
            continue;
        }
        let (answered, total) = &mut served[usize::from(request.was_cut_off)];
        *answered += usize::from(*status == 200);
        *total += 1;
    }
    served
}

fn ratio((answered, total): (usize, usize)) -> f64 {
    let to_f64 = |number: usize| f64::from(u32::try_from(number).expect("few requests"));
    to_f64(answered) / to_f64(total.max(1))
}

/// Guards against requests that run twice, are refused although they ran, or are not served
/// as they move from a host that is cut off to another one.
#[test]
fn requests_of_cut_off_hosts_are_served_once() {
    let seeds = std::env::var("TAKEOVER_SEEDS").ok();
    let seeds: u64 = seeds.and_then(|text| text.parse().ok()).unwrap_or(3);
    let mut served = [(0, 0); 2];
    for seed in 0..seeds {
        for (sum, of_seed) in served.iter_mut().zip(check(seed)) {
            sum.0 += of_seed.0;
            sum.1 += of_seed.1;
        }
    }
    let [others, cut_off] = served;
    println!("served of others and of cut-off hosts: {served:?}");
    assert!(cut_off.1 > 20, "few requests to cut-off hosts: {served:?}");
    assert!(
        ratio(cut_off) >= MIN_SERVED_RATIO * ratio(others),
        "{served:?}"
    );
}
