//! Start and shutdown of a host's data path.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::{Arc, mpsc};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::MissedTickBehavior;
use waxwingusher_core::Clock;
use waxwingusher_limits::FleetView;
use waxwingusher_membership::seeded::{Member, PeerTable};

use crate::feed_source::FeedSource;
use crate::journal::{Event, Journal, write_lines};
use crate::ports::{Command, Dialect};
use crate::resources::{MAX_UNSENT_BYTES, RECEIVE_BUFFER_BYTES};
use crate::settings::GatewaySettings;
use crate::state::{Phase, State};
use crate::stop_plan::StopPlan;
use crate::{feed, listener, path_probe, peers, resources, status_server};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// The ports that are tried if any will do: one that is free for datagrams may be taken
/// by a connection.
const PORT_ATTEMPTS: usize = 16;
/// How often a stopping host checks whether connections are open.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The delay before a task that has failed starts again.
const TASK_RESTART_DELAY: Duration = Duration::from_millis(100);
/// How long the end of the process waits for the journal to be written.
const JOURNAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(50);
/// The interval of periodic maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// The data path of a host cannot start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// A socket cannot listen on its address.
    #[error("cannot listen on {addr} for {purpose}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the socket serves.
        purpose: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The event loop or a thread cannot be started.
    #[error("cannot start the event loop: {0}")]
    Runtime(io::Error),
}

/// The data path of a host, with its sockets bound.
pub struct Gateway {
    settings: GatewaySettings,
    callers: TcpListener,
    status_listener: TcpListener,
    peers: UdpSocket,
    /// Takes over requests of peers, at the address for their messages.
    takeovers: TcpListener,
    log: Box<dyn Write + Send>,
}

impl Gateway {
    /// Binds the sockets.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address that cannot be bound.
    pub fn bind(settings: GatewaySettings) -> Result<Self, GatewayError> {
        let callers = listen(settings.caller_addr, "callers")?;
        let status_listener = listen(settings.status_addr, "readiness")?;
        let (peers, takeovers) = bind_peer_sockets(settings.peer_addr)?;
        Ok(Self {
            settings,
            callers,
            status_listener,
            peers,
            takeovers,
            log: Box::new(io::stdout()),
        })
    }

    /// Writes the log to `out` instead of standard output.
    #[must_use]
    pub fn with_log(self, out: impl Write + Send + 'static) -> Self {
        Self {
            log: Box::new(out),
            ..self
        }
    }

    /// Returns the address for callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot report it.
    pub fn caller_addr(&self) -> io::Result<SocketAddr> {
        self.callers.local_addr()
    }

    /// Returns the address for readiness and metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot report it.
    pub fn status_addr(&self) -> io::Result<SocketAddr> {
        self.status_listener.local_addr()
    }

    /// Returns the address for peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot report it.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.peers.local_addr()
    }

    /// Serves until a stop command has been carried out.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop cannot be started.
    pub fn run<S: FeedSource + 'static>(
        mut self,
        dialect: Dialect,
        source: S,
        clock: Arc<dyn Clock>,
        incarnation: u64,
        commands: UnboundedReceiver<Command>,
    ) -> Result<(), GatewayError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(GatewayError::Runtime)?;
        let (journal, lines) = Journal::new(&self.settings.host_name, clock.clone());
        let log = std::mem::replace(&mut self.log, Box::new(io::sink()));
        let (flush_sender, flushed) = mpsc::channel::<()>();
        std::thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || {
                write_lines(&lines, log);
                drop(flush_sender);
            })
            .map_err(GatewayError::Runtime)?;
        let table = PeerTable::new(
            Member {
                addr: self.peers.local_addr().map_err(GatewayError::Runtime)?,
                failure_domain: self.settings.failure_domain.clone(),
                incarnation,
            },
            self.settings.capacity,
            self.settings.seeds.clone(),
            fastrand::Rng::with_seed(incarnation),
        );
        let rng = fastrand::Rng::with_seed(incarnation.rotate_left(32));
        let state = State::new(&self.settings, dialect, clock, journal, table, rng);
        let local = LocalSet::new();
        let result = local.block_on(&runtime, self.serve(state, source, commands, incarnation));
        // Drops the requests that are still under way, so that they are logged.
        drop(local);
        // An error means that all is written, or that nobody reads the log.
        let _ = flushed.recv_timeout(JOURNAL_FLUSH_TIMEOUT);
        result
    }

    async fn serve<S: FeedSource + 'static>(
        self,
        state: Rc<State>,
        source: S,
        commands: UnboundedReceiver<Command>,
        incarnation: u64,
    ) -> Result<(), GatewayError> {
        let callers = into_tokio(self.callers)?;
        let status_listener = into_tokio(self.status_listener)?;
        let takeovers = into_tokio(self.takeovers)?;
        let socket = tokio::net::UdpSocket::from_std(self.peers).map_err(GatewayError::Runtime)?;
        state.journal.write(&Event::Started {
            callers: &self.settings.caller_addr.to_string(),
            failure_domain: self.settings.failure_domain.as_str(),
            incarnation,
        });
        let (socket, source) = (Rc::new(socket), Rc::new(source));
        let (status_listener, callers) = (Rc::new(status_listener), Rc::new(callers));
        let takeovers = Rc::new(takeovers);
        supervise(&state, "peers", move |state| {
            peers::run(state, socket.clone())
        });
        supervise(&state, "feed", move |state| {
            feed::follow(state, source.clone())
        });
        supervise(&state, "status", move |state| {
            status_server::run(state, status_listener.clone())
        });
        supervise(&state, "path-probe", path_probe::run);
        supervise(&state, "resources", resources::run);
        supervise(&state, "maintenance", run_maintenance);
        let listeners = [
            supervise(&state, "takeovers", move |state| {
                listener::accept_peers(state, takeovers.clone())
            }),
            supervise(&state, "callers", move |state| {
                listener::accept_callers(state, callers.clone())
            }),
        ];
        let grace = wait_for_stop(&state, commands, self.settings.stop_grace).await;
        stop(&state, listeners, grace).await;
        Ok(())
    }
}

/// Runs a task until the host stops. If an unexpected error ends it, it is logged
/// and the task starts again. Listeners end as the host closes.
fn supervise<F>(
    state: &Rc<State>,
    name: &'static str,
    start: impl Fn(Rc<State>) -> F + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + 'static,
{
    let state = state.clone();
    tokio::task::spawn_local(async move {
        loop {
            let mut task = AbortOnDrop(tokio::task::spawn_local(start(state.clone())));
            let cause = match (&mut task.0).await {
                Ok(()) if state.phase() >= Phase::Closing => return,
                Ok(()) => "it has ended".to_owned(),
                Err(error) => error.to_string(),
            };
            state.journal.write(&Event::TaskFailed {
                task: name,
                cause: &cause,
            });
            tokio::time::sleep(TASK_RESTART_DELAY).await;
        }
    })
}

/// A task that ends with its owner.
pub(crate) struct AbortOnDrop(pub(crate) JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Carries out commands until a stop command arrives, and returns the grace that holds then.
async fn wait_for_stop(
    state: &State,
    mut commands: UnboundedReceiver<Command>,
    mut grace: Duration,
) -> Duration {
    while let Some(Command::Reload(changed)) = commands.recv().await {
        state.peers.borrow_mut().set_seeds(changed.seeds);
        state.retry_budget.borrow_mut().set(changed.retry_budget);
        state.resources.set_limits(changed.resources);
        grace = changed.stop_grace;
        state.journal.write(&Event::Reloaded);
    }
    grace
}

/// Shuts down without breaking off a request: the host first reports that it is
/// not ready, then accepts no more connections, and ends when the last request is
/// answered. Requests that are under way when the grace is nearly over are answered then.
async fn stop(state: &State, listeners: [JoinHandle<()>; 2], grace: Duration) {
    let plan = StopPlan::new(state.now(), grace);
    state.stop_plan.set(Some(plan));
    enter_phase(state, Phase::Draining);
    tokio::time::sleep_until(plan.accept_until().into()).await;
    enter_phase(state, Phase::Closing);
    for listener in listeners {
        // A listener that has failed has no connections to accept.
        let _ = listener.await;
    }
    // Idle connections close now; on the others a request is being read or handled.
    wait_for_connections(state, plan.answers_due_at()).await;
    enter_phase(state, Phase::Ending);
    wait_for_connections(state, plan.exit_at).await;
    state.outbox.announce_departure();
    // Gives the last answers and messages time to leave.
    tokio::time::sleep(Duration::from_millis(60)).await;
    state.has_stopped.set(true);
    log_stopping(state, "stopped");
}

/// Waits until no connection is open or a time is reached.
async fn wait_for_connections(state: &State, until: std::time::Instant) {
    while state.connections.get() > 0 && state.now() < until {
        tokio::time::sleep(CONNECTION_CHECK_INTERVAL).await;
    }
}

fn enter_phase(state: &State, phase: Phase) {
    state.phase.send_replace(phase);
    log_stopping(state, phase.as_str());
}

fn log_stopping(state: &State, phase: &str) {
    state.journal.write(&Event::Stopping {
        phase,
        in_flight: state.in_flight.get(),
        connections: state.connections.get(),
    });
}

async fn run_maintenance(state: Rc<State>) {
    let mut ticks = tokio::time::interval(MAINTENANCE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut view = state.fleet_view();
    let mut trusts_removals = false;
    loop {
        ticks.tick().await;
        log_fleet_view(&state, &mut view);
        feed::log_removal_trust(&state, &mut trusts_removals);
        feed::expire_roster(&state);
        let now = state.now();
        state.evidence.borrow_mut().expire_reports(now);
        state.expire_cold_limits();
        state.fair_shares.borrow_mut().expire(now);
        state.scarcity.borrow_mut().expire(now);
        state.pool.close_expired();
        state.resources.return_freed_memory();
        state.permits.retain(|id| state.permit_issuer(id).is_none());
        state.journal.report_suppressed();
    }
}

/// Logs the number of known and reachable hosts if it has changed, since rate
/// limits and the retry budget depend on it.
fn log_fleet_view(state: &State, former: &mut FleetView) {
    let view = state.fleet_view();
    if view != *former {
        *former = view;
        state.journal.write(&Event::Peers {
            reachable_hosts: view.reachable_hosts,
            known_hosts: view.known_hosts,
        });
    }
}

/// Binds the datagram socket and the listener for peers, which share an address.
fn bind_peer_sockets(addr: SocketAddr) -> Result<(UdpSocket, TcpListener), GatewayError> {
    let bind = || {
        let socket = UdpSocket::bind(addr)
            .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
            .and_then(|socket| Ok((socket.local_addr()?, socket)));
        let (bound_addr, socket) = socket.map_err(|source| GatewayError::Listen {
            addr,
            purpose: "peers",
            source,
        })?;
        Ok((socket, listen(bound_addr, "peers")?))
    };
    let attempts = if addr.port() == 0 { PORT_ATTEMPTS } else { 1 };
    let mut bound = bind();
    for _ in 1..attempts {
        if bound.is_ok() {
            break;
        }
        bound = bind();
    }
    bound
}

fn listen(addr: SocketAddr, purpose: &'static str) -> Result<TcpListener, GatewayError> {
    let open = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        // Connections inherit both. What callers send while they are not read, and answers that
        // they do not read, stay there.
        let bounded = socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES as usize)
            .and_then(|()| socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES));
        if let Err(error) = bounded {
            log::warn!("gateway: Buffers for {purpose} cannot be bounded: {error}.");
        }
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    };
    open().map_err(|source| GatewayError::Listen {
        addr,
        purpose,
        source,
    })
}

fn into_tokio(listener: TcpListener) -> Result<tokio::net::TcpListener, GatewayError> {
    tokio::net::TcpListener::from_std(listener).map_err(GatewayError::Runtime)
}
