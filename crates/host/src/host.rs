//! Starts and stops one host.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use waxwingusher_attempts::{
    AttemptRegistry, AttemptSettings, Quarantine, QuarantineSettings, RetryBudget, RetrySettings,
};
use waxwingusher_core::{CancelToken, Clock, HostEntry, HostList, HostState as HostEntryState};
use waxwingusher_edge::{CallerEdge, EdgeError, UpstreamClient};
use waxwingusher_limits::{Limiter, LimiterSettings};
use waxwingusher_membership::distribution::{ConfigAgent, DistributionSettings, ServiceRead};
use waxwingusher_membership::liveness::{Liveness, LivenessSettings};
use waxwingusher_protocol::rpc::{ClientSettings, ServerSettings, StartError};
use waxwingusher_protocol::{Envelope, Message};
use waxwingusher_protocol::{PeerClient, PeerServer, PeerSocket, SocketSettings};
use waxwingusher_upstreams::{UpstreamSet, UpstreamSettings};

use crate::crash_quarantine::CrashQuarantine;
use crate::metrics::{Metrics, MetricsError};
use crate::peer_sender::PeerSender;
use crate::settings::HostSettings;
use crate::shared_attempts::SharedAttempts;
use crate::shared_config_agent::{PeerFetch, PeerFileService, SharedConfigAgent};
use crate::shared_limiter::SharedLimiter;
use crate::state::{HostParts, HostState};
use crate::threads::operator_server::{OperatorServer, OperatorServerError};
use crate::threads::{
    admitter, peer_fetcher, peer_receiver, service_reader, spawn, ticker, worker,
};
use crate::work_queue::WorkQueue;

/// Requests that may wait between the edge and the admitter.
const EDGE_CHANNEL_CAPACITY: usize = 1_024;
/// The cap on datagrams to peers. Messages on loans and attempts grow with the
/// requests of callers, and each one dropped delays a request, so the cap is far
/// above the traffic of a busy host and only stops runaway sending.
const MAX_PEER_BYTES_PER_S: u32 = 1_000_000;
/// Bytes that may be sent to peers in a burst after an idle time.
const MAX_PEER_BURST_BYTES: u32 = 1_000_000;
/// The most attempts to find a port that is free for both UDP and TCP.
const MAX_PORT_ATTEMPTS: u32 = 16;
/// Calls to the configuration service that may wait.
const READ_CHANNEL_CAPACITY: usize = 64;
/// Fetches from peers that may wait.
const FETCH_CHANNEL_CAPACITY: usize = 64;
/// How long the host waits for peers to confirm the hand-off of its records.
const MAX_RECORD_HAND_OFF_TIME: Duration = Duration::from_secs(5);
/// How long the ticker repeats the hand-off of rights before the host stops.
const LOAN_HAND_OFF_TIME: Duration = Duration::from_millis(300);

/// Why a host could not start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The callers' edge could not start.
    #[error(transparent)]
    Edge(#[from] EdgeError),
    /// The peers' address could not be opened.
    #[error("cannot listen for peers on {addr}: {source}")]
    Peers {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The operators' address could not be opened.
    #[error(transparent)]
    Operators(#[from] OperatorServerError),
    /// The service for peers could not start.
    #[error(transparent)]
    PeerService(#[from] StartError),
    /// Metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}

/// A running host.
pub struct Host {
    state: Arc<HostState>,
    edge: CallerEdge,
    operator_addr: SocketAddr,
    peer_addr: SocketAddr,
    _peer_server: PeerServer,
    stop_workers: CancelToken,
    queue: Arc<WorkQueue>,
    admitter: JoinHandle<()>,
    workers: Vec<JoinHandle<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Host {
    /// Starts all threads of a host. `incarnation` must be a number that was
    /// drawn at random for this process.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be opened or a thread not started.
    pub fn start(
        settings: HostSettings,
        clock: Arc<dyn Clock>,
        incarnation: u64,
    ) -> Result<Self, HostError> {
        let stop = CancelToken::new();
        let peers = open_peer_sockets(&settings, &clock, incarnation, &stop)?;
        let metrics = match settings.statsd_addr {
            Some(addr) => Metrics::to_statsd(addr)?,
            None => Metrics::disabled(),
        };
        let (reads, read_requests) = sync_channel(READ_CHANNEL_CAPACITY);
        let (fetches, fetch_requests) = sync_channel(FETCH_CHANNEL_CAPACITY);
        let agent = new_agent(&settings, &clock, incarnation);
        let parts = HostParts {
            limits: SharedLimiter::new(new_limiter(&settings, &clock, incarnation), clock.clone()),
            attempts: SharedAttempts::new(
                new_registry(&settings, &clock, incarnation),
                clock.clone(),
            ),
            upstreams: new_upstreams(&settings, &clock, incarnation),
            quarantine: CrashQuarantine::new(new_quarantine(&settings, &clock, incarnation)),
            retries: RetryBudget::new(
                RetrySettings::default(),
                clock.clone(),
                fastrand::Rng::with_seed(incarnation),
            ),
            config: SharedConfigAgent::new(agent, reads, fetches),
            liveness: new_liveness(&settings, &clock, incarnation),
            peers: PeerSender::new(peers.socket),
            clock: clock.clone(),
            metrics,
            stop: stop.clone(),
        };
        let state = Arc::new(HostState::new(settings, parts));
        let peer_server = start_peer_server(&state, peers.listener)?;
        let operators = OperatorServer::bind(&state)?;
        let operator_addr = operators.local_addr();
        let channels = Channels {
            envelopes: peers.envelopes,
            reads: read_requests,
            fetches: fetch_requests,
        };
        let threads = start_threads(&state, channels, operators)?;

        let queue = Arc::new(WorkQueue::new(
            clock.clone(),
            state.settings.queue_per_workspace,
            state.settings.workers,
        ));
        let stop_workers = CancelToken::new();
        let workers = start_workers(&state, &queue, &stop_workers)?;
        let (edge_exchanges, exchanges) = sync_channel(EDGE_CHANNEL_CAPACITY);
        let edge = CallerEdge::start(
            state.settings.edge.clone(),
            edge_exchanges,
            clock,
            incarnation,
        )?;
        let shared = state.clone();
        let admitter_queue = queue.clone();
        let admitter = spawn("admitter", move || {
            admitter::run(&shared, &exchanges, &admitter_queue);
        })?;
        log::info!(
            "host: {} serves callers on {}, operators on {operator_addr}, peers on {}.",
            state.settings.host_id,
            edge.local_addr(),
            peers.addr
        );
        Ok(Self {
            state,
            edge,
            operator_addr,
            peer_addr: peers.addr,
            _peer_server: peer_server,
            stop_workers,
            queue,
            admitter,
            workers,
            threads,
        })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn caller_addr(&self) -> SocketAddr {
        self.edge.local_addr()
    }

    /// Returns the address that operators connect to.
    #[must_use]
    pub fn operator_addr(&self) -> SocketAddr {
        self.operator_addr
    }

    /// Returns the address that peers send to.
    #[must_use]
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Reports whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Reports whether this host vouches for all idempotency keys that the host
    /// list assigns to it, so that another host may be stopped.
    #[must_use]
    pub fn vouches_for_attempts(&self) -> bool {
        self.state.attempts.lock().registry.vouches_for_all()
    }

    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn config_version(&self) -> Option<u64> {
        let active = self.state.active()?;
        Some(active.snapshot.version)
    }

    /// Reports whether the host's records of keyed operations reach back over
    /// the whole window, so that it can vouch for new ones.
    #[must_use]
    pub fn covers_attempt_window(&self) -> bool {
        self.state.attempts.lock().registry.report().is_covered
    }

    /// Reports whether the host is stopping or should stop: an operator has asked
    /// for it, or the host list marks the host as leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state.is_draining()
    }

    /// Stops gracefully: the host reports itself as not ready, answers every
    /// request that it has accepted (with a refusal if the drain ends before the
    /// upstream's answer), and hands off its rights and records.
    pub fn shut_down(self) {
        let id = self.state.settings.host_id.clone();
        log::info!("host: {id} is draining.");
        self.state.draining.store(true, Ordering::SeqCst);
        // Set only here: the host is shut down once.
        let _ = self.state.drain.set(self.edge.begin_drain());
        self.edge.shut_down();
        join("admitter", self.admitter);
        self.stop_workers.cancel();
        self.queue.wake_all();
        for worker in self.workers {
            join("worker", worker);
        }
        hand_off(&self.state);
        self.state.stop.cancel();
        for thread in self.threads {
            join("duty", thread);
        }
        log::info!("host: {id} has stopped.");
    }

    /// Stops at once, as a crash would: connections are cut, and nothing is
    /// answered or handed over.
    pub fn kill(self) {
        self.state.stop.cancel();
        self.stop_workers.cancel();
        self.edge.abort();
    }
}

/// Hands off rights and records to peers.
fn hand_off(state: &HostState) {
    let loans = state.limits.lock().hand_off();
    state.peers.send_all(loans, Message::Loan);
    state
        .attempts
        .hand_off(&state.peers, MAX_RECORD_HAND_OFF_TIME);
    // Peers do not confirm loans, so the host only waits for them to arrive.
    state.stop.wait(LOAN_HAND_OFF_TIME);
}

fn join(name: &str, thread: JoinHandle<()>) {
    if thread.join().is_err() {
        log::error!("host: Thread {name} panicked.");
    }
}

fn start_workers(
    state: &Arc<HostState>,
    queue: &Arc<WorkQueue>,
    stop_workers: &CancelToken,
) -> Result<Vec<JoinHandle<()>>, HostError> {
    let client = UpstreamClient::new();
    let mut workers = Vec::new();
    for _ in 0..state.settings.workers {
        let state = state.clone();
        let queue = queue.clone();
        let client = client.clone();
        let stop = stop_workers.clone();
        let body = move || worker::run(&state, &queue, &client, &stop);
        workers.push(spawn("worker", body)?);
    }
    Ok(workers)
}

/// The sockets for peers, opened before everything else.
struct PeerSockets {
    socket: PeerSocket,
    envelopes: Receiver<Envelope>,
    listener: TcpListener,
    addr: SocketAddr,
}

/// The channels from which the threads receive their work.
struct Channels {
    envelopes: Receiver<Envelope>,
    reads: Receiver<ServiceRead>,
    fetches: Receiver<PeerFetch>,
}

fn open_peer_sockets(
    settings: &HostSettings,
    clock: &Arc<dyn Clock>,
    incarnation: u64,
    stop: &CancelToken,
) -> Result<PeerSockets, HostError> {
    let addr = settings.peer_addr;
    let mut attempts_left = if addr.port() == 0 {
        MAX_PORT_ATTEMPTS
    } else {
        1
    };
    loop {
        attempts_left -= 1;
        match open_peer_sockets_on_one_port(settings, clock, incarnation, stop) {
            Ok(peers) => {
                peers.socket.set_hosts(&seed_list(settings));
                return Ok(peers);
            }
            Err(_) if attempts_left > 0 => {}
            Err(source) => return Err(HostError::Peers { addr, source }),
        }
    }
}

/// Opens the same port for UDP and TCP.
fn open_peer_sockets_on_one_port(
    settings: &HostSettings,
    clock: &Arc<dyn Clock>,
    incarnation: u64,
    stop: &CancelToken,
) -> io::Result<PeerSockets> {
    let secret = settings.fleet_secret.clone();
    let id = settings.host_id.clone();
    let datagrams = SocketSettings {
        bytes_per_s: MAX_PEER_BYTES_PER_S,
        burst_bytes: MAX_PEER_BURST_BYTES,
        ..SocketSettings::new(id, incarnation, settings.peer_addr, secret)
    };
    let (socket, envelopes) = PeerSocket::open(&datagrams, clock.clone(), stop)?;
    let addr = socket.local_addr()?;
    let listener = TcpListener::bind(addr)?;
    Ok(PeerSockets {
        socket,
        envelopes,
        listener,
        addr,
    })
}

/// Returns the seed peers as a host list, used for addresses only; it gives no
/// rights.
fn seed_list(settings: &HostSettings) -> HostList {
    let mut list = HostList::default();
    for seed in &settings.seed_peers {
        list.hosts.push(HostEntry {
            id: seed.id.clone(),
            peer_addr: seed.addr,
            failure_domain: settings.failure_domain.clone(),
            state: HostEntryState::Live,
        });
    }
    list
}

/// Serves files to peers, over TCP on the port of the datagrams.
fn start_peer_server(
    state: &Arc<HostState>,
    listener: TcpListener,
) -> Result<PeerServer, HostError> {
    let settings = &state.settings;
    let id = settings.host_id.clone();
    let secret = settings.fleet_secret.clone();
    let server = ServerSettings::new(id, settings.peer_addr, secret);
    let files = PeerFileService {
        state: Arc::downgrade(state),
    };
    let files = Arc::new(files);
    Ok(PeerServer::start_on(listener, &server, files, &state.stop)?)
}

fn start_threads(
    state: &Arc<HostState>,
    channels: Channels,
    operators: OperatorServer,
) -> Result<Vec<JoinHandle<()>>, HostError> {
    let mut threads = Vec::new();
    let shared = state.clone();
    let envelopes = channels.envelopes;
    threads.push(spawn("peers", move || {
        peer_receiver::run(&shared, &envelopes);
    })?);
    let shared = state.clone();
    threads.push(spawn("ticker", move || ticker::run(&shared))?);
    let shared = state.clone();
    threads.push(spawn("operators", move || operators.run(&shared))?);
    let reads = Arc::new(Mutex::new(channels.reads));
    for _ in 0..service_reader::READER_THREADS {
        let shared = state.clone();
        let reads = reads.clone();
        // Not joined: a watch may block a reader for seconds, and a reader owns
        // nothing that must be released.
        drop(spawn("service", move || {
            service_reader::run(&shared, &reads);
        })?);
    }
    let settings = &state.settings;
    let client = ClientSettings::new(settings.host_id.clone(), settings.fleet_secret.clone());
    let client = PeerClient::start(client, &state.stop)?;
    let shared = state.clone();
    let fetches = channels.fetches;
    let fetch = move || peer_fetcher::run(&shared, &fetches, &client);
    threads.push(spawn("fetcher", fetch)?);
    Ok(threads)
}

fn new_agent(settings: &HostSettings, clock: &Arc<dyn Clock>, incarnation: u64) -> ConfigAgent {
    let seeds = settings.seed_peers.iter().map(|seed| seed.id.clone());
    let distribution = DistributionSettings {
        seeds: seeds.collect(),
        ..DistributionSettings::default()
    };
    ConfigAgent::new(
        settings.host_id.clone(),
        settings.failure_domain.clone(),
        clock.clone(),
        incarnation,
        distribution,
    )
}

fn new_liveness(settings: &HostSettings, clock: &Arc<dyn Clock>, incarnation: u64) -> Liveness {
    let id = settings.host_id.clone();
    let liveness = LivenessSettings::default();
    Liveness::new(id, incarnation, clock.clone(), incarnation, liveness)
}

fn new_limiter(settings: &HostSettings, clock: &Arc<dyn Clock>, incarnation: u64) -> Limiter {
    let limiter = LimiterSettings {
        loan_term: settings.loan_term,
        loan_wait: settings.loan_wait,
        opened_at: settings.fleet_opens_at,
        ..LimiterSettings::new(settings.failure_domains.clone())
    };
    Limiter::new(
        settings.host_id.clone(),
        incarnation,
        clock.clone(),
        limiter,
    )
}

fn new_registry(
    settings: &HostSettings,
    clock: &Arc<dyn Clock>,
    incarnation: u64,
) -> AttemptRegistry {
    let attempts = AttemptSettings {
        window: settings.attempt_window,
        opened_at: settings.fleet_opens_at,
        ..AttemptSettings::default()
    };
    let id = settings.host_id.clone();
    AttemptRegistry::new(id, incarnation, clock.clone(), incarnation, attempts)
}

fn new_quarantine(settings: &HostSettings, clock: &Arc<dyn Clock>, incarnation: u64) -> Quarantine {
    let rng = fastrand::Rng::with_seed(incarnation);
    let id = settings.host_id.clone();
    Quarantine::new(id, clock.clone(), rng, QuarantineSettings::default())
}

fn new_upstreams(settings: &HostSettings, clock: &Arc<dyn Clock>, incarnation: u64) -> UpstreamSet {
    UpstreamSet::new(
        settings.host_id.clone(),
        settings.failure_domain.clone(),
        incarnation,
        clock.clone(),
        incarnation,
        UpstreamSettings::default(),
    )
}
