//! Starts and stops the data path of a host.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::LocalSet;
use tokio::time::{Instant, MissedTickBehavior};
use waxwingusher_core::Clock;
use waxwingusher_limits::FleetView;
use waxwingusher_membership::seeded::{Member, PeerTable};

use crate::feed::{self, FeedSource};
use crate::journal::{Event, Journal, write_lines};
use crate::ports::{Dialect, Order};
use crate::settings::GatewaySettings;
use crate::state::{Phase, State};
use crate::{caller, path_probe, peers, side_door};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// The part of the grace during which connections are still taken. The balancer
/// asks once a second and needs two refusals.
const DRAIN_SHARE: f64 = 0.5;
/// What is left of the grace for the end of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// How often periodic work is done.
const TICK: Duration = Duration::from_millis(250);

/// A host's data path cannot start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address cannot be opened.
    #[error("cannot listen on {addr} for {purpose}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The event loop or a thread cannot be started.
    #[error("cannot start the event loop: {0}")]
    Runtime(io::Error),
}

/// The data path of a host, with its addresses open.
pub struct Gateway {
    settings: GatewaySettings,
    callers: TcpListener,
    side: TcpListener,
    peers: UdpSocket,
}

impl Gateway {
    /// Opens the addresses.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address that cannot be opened.
    pub fn bind(settings: GatewaySettings) -> Result<Self, GatewayError> {
        let callers = listen(settings.caller_addr, "callers")?;
        let side = listen(settings.side_addr, "readiness")?;
        let peers = UdpSocket::bind(settings.peer_addr)
            .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
            .map_err(|source| GatewayError::Listen {
                addr: settings.peer_addr,
                purpose: "peers",
                source,
            })?;
        Ok(Self {
            settings,
            callers,
            side,
            peers,
        })
    }

    /// Returns the address for callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not tell it.
    pub fn caller_addr(&self) -> io::Result<SocketAddr> {
        self.callers.local_addr()
    }

    /// Returns the address for readiness and metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not tell it.
    pub fn side_addr(&self) -> io::Result<SocketAddr> {
        self.side.local_addr()
    }

    /// Returns the address for peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not tell it.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.peers.local_addr()
    }

    /// Serves until an order to stop has been carried out.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop cannot be started.
    pub fn run<S: FeedSource + 'static>(
        self,
        dialect: Dialect,
        source: S,
        clock: Arc<dyn Clock>,
        incarnation: u64,
        orders: UnboundedReceiver<Order>,
    ) -> Result<(), GatewayError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(GatewayError::Runtime)?;
        let (journal, lines) = Journal::new(&self.settings.host_name, clock.clone());
        std::thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || write_lines(&lines, io::stdout()))
            .map_err(GatewayError::Runtime)?;
        let table = PeerTable::new(
            Member {
                addr: self.peers.local_addr().map_err(GatewayError::Runtime)?,
                failure_domain: self.settings.failure_domain.clone(),
                incarnation,
            },
            self.settings.seeds.clone(),
            fastrand::Rng::with_seed(incarnation),
        );
        let rng = fastrand::Rng::with_seed(incarnation.rotate_left(32));
        let state = State::new(&self.settings, dialect, clock, journal, table, rng);
        let local = LocalSet::new();
        local.block_on(&runtime, self.serve(state, source, orders, incarnation))
    }

    async fn serve<S: FeedSource + 'static>(
        self,
        state: Rc<State>,
        source: S,
        orders: UnboundedReceiver<Order>,
        incarnation: u64,
    ) -> Result<(), GatewayError> {
        let callers = into_tokio(self.callers)?;
        let side = into_tokio(self.side)?;
        let socket = tokio::net::UdpSocket::from_std(self.peers).map_err(GatewayError::Runtime)?;
        state.journal.write(&Event::Started {
            callers: &self.settings.caller_addr.to_string(),
            failure_domain: self.settings.failure_domain.as_str(),
            incarnation,
        });
        tokio::task::spawn_local(peers::run(state.clone(), socket));
        tokio::task::spawn_local(feed::follow(state.clone(), source));
        tokio::task::spawn_local(side_door::run(state.clone(), side));
        tokio::task::spawn_local(path_probe::run(state.clone()));
        tokio::task::spawn_local(tick(state.clone()));
        let accepting = tokio::task::spawn_local(accept(state.clone(), callers));
        wait_for_stop(&state, orders).await;
        stop(&state, &accepting, self.settings.stop_grace).await;
        Ok(())
    }
}

/// Carries out orders until one is to stop.
async fn wait_for_stop(state: &State, mut orders: UnboundedReceiver<Order>) {
    while let Some(order) = orders.recv().await {
        match order {
            Order::Stop => return,
            Order::Reload(changed) => {
                state.peers.borrow_mut().set_seeds(changed.seeds);
                state.budget.borrow_mut().set(changed.retry_budget);
                state.journal.write(&Event::Reloaded);
            }
        }
    }
}

/// Stops without cutting a request: callers are first sent elsewhere, then no
/// more are taken, and the process ends when the last request is answered.
async fn stop(state: &State, accepting: &tokio::task::JoinHandle<()>, grace: Duration) {
    let started = Instant::now();
    enter(state, Phase::Draining, "draining");
    tokio::time::sleep_until(started + grace.mul_f64(DRAIN_SHARE)).await;
    accepting.abort();
    enter(state, Phase::Closing, "closing");
    let end = started + grace.saturating_sub(EXIT_MARGIN);
    // Idle connections end now; on the others a request is read or under way.
    while state.connections.get() > 0 && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    state.journal.write(&Event::Stopping {
        phase: "stopped",
        in_flight: state.in_flight.get(),
    });
    state.journal.report_suppressed();
    state.outbox.say_farewell();
    // Lets the last answers and messages leave and the journal's thread write.
    tokio::time::sleep(Duration::from_millis(60)).await;
}

fn enter(state: &State, phase: Phase, name: &str) {
    state.phase.send_replace(phase);
    state.journal.write(&Event::Stopping {
        phase: name,
        in_flight: state.in_flight.get(),
    });
}

async fn accept(state: Rc<State>, listener: tokio::net::TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors; a little later there may be some.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        tokio::task::spawn_local(caller::serve(state.clone(), stream));
    }
}

async fn tick(state: Rc<State>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut view = state.fleet_view();
    loop {
        ticks.tick().await;
        report_peers(&state, &mut view);
        feed::expire_roster(&state);
        state.pool.sweep();
        state.journal.report_suppressed();
    }
}

/// Logs how much of the fleet is heard, if that has changed: rates and repeats
/// are granted by it.
fn report_peers(state: &State, former: &mut FleetView) {
    let view = state.fleet_view();
    if view != *former {
        *former = view;
        state.journal.write(&Event::Peers {
            heard: view.reachable_hosts,
            known: view.known_hosts,
        });
    }
}

fn listen(addr: SocketAddr, purpose: &'static str) -> Result<TcpListener, GatewayError> {
    let open = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
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
