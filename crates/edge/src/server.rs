//! The HTTP server for callers, which runs on one event loop.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError};
use std::sync::{Arc, OnceLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use waxwingusher_core::Clock;

use crate::exchange::{Exchange, RequestId};

mod body_memory;
mod connection;
mod drain_plan;
mod request_reader;

use body_memory::BodyMemory;
pub use drain_plan::DrainPlan;
pub(crate) use request_reader::RejectReason;

/// Settings of the callers' edge.
#[derive(Debug, Clone)]
pub struct EdgeSettings {
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// Connections that may be open at once.
    pub max_connections: usize,
    /// The longest head of a request.
    pub max_head_bytes: usize,
    /// The longest body of a request.
    pub max_body_bytes: usize,
    /// The memory that the bodies of all requests may take together.
    pub max_total_body_bytes: usize,
    /// The longest time that a caller may take to send a head.
    pub head_timeout: Duration,
    /// The longest time that a caller may take to send a body.
    pub body_timeout: Duration,
    /// How long keep-alive connections are answered with `Connection: close`
    /// before idle ones are closed in a graceful shutdown.
    pub drain_notice: Duration,
    /// The longest time to complete the last requests in a graceful shutdown.
    pub drain_timeout: Duration,
}

impl Default for EdgeSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_connections: 4_096,
            max_head_bytes: 32 * 1024,
            max_body_bytes: 16 * 1024 * 1024,
            max_total_body_bytes: 256 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            drain_notice: Duration::from_secs(3),
            drain_timeout: Duration::from_secs(30),
        }
    }
}

/// The callers' edge could not start.
#[derive(Debug, thiserror::Error)]
pub enum EdgeError {
    /// The address cannot be listened on.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The event loop or its thread cannot be started.
    #[error("cannot start the event loop: {0}")]
    Start(io::Error),
}

/// The phase of the edge; a graceful shutdown goes through the first three.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    Serving,
    /// Every answer closes its connection; new connections are still accepted.
    Draining,
    /// New connections are no longer accepted, and idle ones are closed.
    Closing,
    /// All connections are closed immediately.
    Aborted,
}

/// State shared by all connections.
pub(crate) struct Shared {
    pub(crate) settings: EdgeSettings,
    pub(crate) queue: SyncSender<Exchange>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: u64,
    /// Set before the phase changes to [`Phase::Draining`].
    drain: Arc<OnceLock<DrainPlan>>,
    sequence: AtomicU64,
    open_connections: AtomicUsize,
    body_memory: BodyMemory,
}

impl Shared {
    pub(crate) fn next_id(&self) -> RequestId {
        RequestId {
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Returns the time left until `instant`.
    pub(crate) fn time_until(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.clock.now())
    }

    /// Puts an exchange into the workers' queue.
    pub(crate) fn submit(&self, exchange: Exchange) -> Result<(), RejectReason> {
        self.queue.try_send(exchange).map_err(|e| match e {
            TrySendError::Full(_) => RejectReason::QueueFull,
            TrySendError::Disconnected(_) => RejectReason::Stopped,
        })
    }
}

/// A running HTTP server for callers.
pub struct CallerEdge {
    local_addr: SocketAddr,
    clock: Arc<dyn Clock>,
    drain: Arc<OnceLock<DrainPlan>>,
    phase: watch::Sender<Phase>,
    settings: EdgeSettings,
    thread: Option<JoinHandle<()>>,
}

impl CallerEdge {
    /// Starts the event loop on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on or no thread can
    /// be started.
    pub fn start(
        settings: EdgeSettings,
        queue: SyncSender<Exchange>,
        clock: Arc<dyn Clock>,
        incarnation: u64,
    ) -> Result<Self, EdgeError> {
        let (listener, local_addr) = bind(settings.listen)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(EdgeError::Start)?;
        let (phase, phases) = watch::channel(Phase::Serving);
        let drain = Arc::new(OnceLock::new());
        let shared = Arc::new(Shared {
            settings: settings.clone(),
            queue,
            clock: clock.clone(),
            incarnation,
            drain: drain.clone(),
            sequence: AtomicU64::new(0),
            open_connections: AtomicUsize::new(0),
            body_memory: BodyMemory::new(settings.max_total_body_bytes),
        });
        let thread = std::thread::Builder::new()
            .name("edge".to_owned())
            .spawn(move || runtime.block_on(serve(listener, shared, phases)))
            .map_err(EdgeError::Start)?;
        Ok(Self {
            local_addr,
            clock,
            drain,
            phase,
            settings,
            thread: Some(thread),
        })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Closes all connections immediately, as a crash would.
    pub fn abort(mut self) {
        self.phase.send_replace(Phase::Aborted);
        self.join();
    }

    /// Begins a graceful shutdown, and returns its plan: answers close their
    /// connections.
    pub fn begin_drain(&self) -> DrainPlan {
        let new_plan = || DrainPlan::new(self.clock.now(), &self.settings);
        let plan = *self.drain.get_or_init(new_plan);
        self.phase.send_replace(Phase::Draining);
        plan
    }

    /// Stops gracefully: every request that a caller has sent is answered, with
    /// a refusal if it does not end before the drain timeout.
    /// Returns when the last connection is closed or the drain timeout expires.
    pub fn shut_down(mut self) {
        self.begin_drain();
        std::thread::sleep(self.settings.drain_notice);
        self.phase.send_replace(Phase::Closing);
        self.join();
    }

    fn join(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        if thread.join().is_err() {
            log::error!("edge: The event loop panicked.");
        }
    }
}

fn bind(addr: SocketAddr) -> Result<(std::net::TcpListener, SocketAddr), EdgeError> {
    let listen = || -> io::Result<(std::net::TcpListener, SocketAddr)> {
        let listener = std::net::TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let local_addr = listener.local_addr()?;
        Ok((listener, local_addr))
    };
    listen().map_err(|source| EdgeError::Listen { addr, source })
}

async fn serve(
    listener: std::net::TcpListener,
    shared: Arc<Shared>,
    phases: watch::Receiver<Phase>,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log::error!("edge: The listener cannot be used: {e}.");
            return;
        }
    };
    let connections = tokio::task::LocalSet::new();
    connections
        .run_until(accept_until_closing(&listener, &shared, &phases))
        .await;
    if *phases.borrow() == Phase::Aborted {
        return;
    }
    accept_backlog(&connections, &listener, &shared, &phases).await;
    drop(listener);
    let plan = shared.drain.get();
    let timeout = plan.map_or(shared.settings.drain_timeout, |plan| {
        shared.time_until(plan.ends_at())
    });
    if tokio::time::timeout(timeout, connections).await.is_err() {
        log::warn!("edge: Connections were still open after the drain timeout and were closed.");
    }
}

async fn accept_until_closing(
    listener: &TcpListener,
    shared: &Arc<Shared>,
    phases: &watch::Receiver<Phase>,
) {
    let mut closing = phases.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, caller)) => spawn_connection(stream, caller, shared, phases),
                Err(e) => {
                    log::warn!("edge: A connection could not be accepted: {e}.");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            },
            _ = closing.wait_for(|phase| *phase >= Phase::Closing) => return,
        }
    }
}

/// Accepts the connections that the kernel has completed before the listener
/// closes.
async fn accept_backlog(
    connections: &tokio::task::LocalSet,
    listener: &TcpListener,
    shared: &Arc<Shared>,
    phases: &watch::Receiver<Phase>,
) {
    let accept_all = async {
        let idle_limit = Duration::from_millis(20);
        while let Ok(Ok((stream, caller))) =
            tokio::time::timeout(idle_limit, listener.accept()).await
        {
            spawn_connection(stream, caller, shared, phases);
        }
    };
    connections.run_until(accept_all).await;
}

fn spawn_connection(
    stream: TcpStream,
    caller: SocketAddr,
    shared: &Arc<Shared>,
    phases: &watch::Receiver<Phase>,
) {
    if shared.open_connections.load(Ordering::Relaxed) >= shared.settings.max_connections {
        log::warn!("edge: The connection of {caller} was refused: too many connections are open.");
        return;
    }
    shared.open_connections.fetch_add(1, Ordering::Relaxed);
    let shared = shared.clone();
    let phases = phases.clone();
    tokio::task::spawn_local(async move {
        connection::serve(stream, caller, &shared, phases).await;
        shared.open_connections.fetch_sub(1, Ordering::Relaxed);
    });
}
