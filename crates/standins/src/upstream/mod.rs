//! A stand-in for an upstream instance with injected faults.

mod answers;
mod connection;
mod records;
mod settings;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use waxwingusher_core::CancelToken;

use crate::error::StandinError;
use crate::server::Server;
use records::Records;

pub use answers::body_pattern;
pub use records::{RequestOutcome, RequestRecord};
pub use settings::{Cut, Faults, GrayFailure, GrayKind, Phase, UpstreamSettings};

/// The header that identifies the operation of a request.
pub const OPERATION_HEADER: &str = "x-operation-id";
/// The header with the remaining time in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The header of an answer that marks the request as not run.
pub const SHED_HEADER: &str = "x-waxwingusher-shed";
/// The value of [`SHED_HEADER`].
pub const SHED_VALUE: &str = "not-run";
/// A request whose target or body contains this text crashes the instance.
pub const CRASH_MARKER: &str = "crash-the-instance";

/// A stand-in for one upstream instance.
///
/// A path segment selects the answer: `echo`, `status/<n>`, `bytes/<n>`,
/// `chunked/<n>`, `until-close/<n>`, `empty`, `die/<n>/<offset>` and
/// `die-chunked/<n>/<offset>`. `/health` and `/load` are probe endpoints.
/// Any other path answers like `echo`.
#[derive(Debug)]
pub struct UpstreamServer {
    shared: Arc<Shared>,
    server: Server,
}

impl UpstreamServer {
    /// Starts an instance on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be opened or a thread cannot be started.
    pub fn start(settings: UpstreamSettings, token: &CancelToken) -> Result<Self, StandinError> {
        let max_connections = settings.max_connections;
        let shared = Arc::new(Shared::new(settings));
        let instance = shared.clone();
        let server = Server::start(token, max_connections, |control| {
            Arc::new(move |stream| connection::serve_connection(&instance, &control, stream))
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address on which the instance listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.control().addr()
    }

    /// Returns the injected faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.shared.faults()
    }

    /// Replaces the injected faults; `Faults::default()` makes the instance healthy.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Starts or ends draining; a draining instance runs no new work.
    pub fn set_phase(&self, phase: Phase) {
        self.shared.lock().faults.phase = phase;
    }

    /// Closes all connections at once and refuses new ones for `down_time`. The
    /// instance is cold afterwards.
    pub fn crash(&self, down_time: Duration) {
        self.shared.set_restart(Instant::now() + down_time);
        self.server.control().refuse_for(down_time);
    }

    /// Ends the down time after a crash; returns when the port is listening.
    pub fn recover(&self) {
        self.shared.set_restart(Instant::now());
        self.server.control().open();
    }

    /// Returns all requests for work in order of arrival.
    #[must_use]
    pub fn requests(&self) -> Vec<RequestRecord> {
        self.shared.lock().records.all()
    }

    /// Returns how many requests of an operation were started.
    #[must_use]
    pub fn runs_of(&self, operation: &str) -> u64 {
        self.shared.lock().records.runs_of(operation)
    }

    /// Returns how many requests were started.
    #[must_use]
    pub fn runs(&self) -> u64 {
        self.shared.lock().records.runs()
    }

    /// Returns how many requests were refused with [`SHED_HEADER`].
    #[must_use]
    pub fn sheds(&self) -> u64 {
        self.shared.lock().records.sheds()
    }

    /// Reports whether any request, including probes, contained the bytes.
    #[must_use]
    pub fn has_seen(&self, needle: &[u8]) -> bool {
        self.shared.lock().records.has_seen(needle)
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.lock().in_flight
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.server.control().connections()
    }
}

#[derive(Debug)]
struct State {
    faults: Faults,
    in_flight: usize,
    warm_at: Instant,
    rng: fastrand::Rng,
    records: Records,
}

/// The state of an instance that is shared with its connections.
#[derive(Debug)]
struct Shared {
    settings: UpstreamSettings,
    state: Mutex<State>,
}

impl Shared {
    fn new(settings: UpstreamSettings) -> Self {
        let state = State {
            faults: Faults::default(),
            in_flight: 0,
            warm_at: Instant::now() + settings.cold_start,
            rng: fastrand::Rng::with_seed(settings.seed),
            records: Records::default(),
        };
        Self {
            settings,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> Faults {
        self.lock().faults
    }

    fn set_restart(&self, at: Instant) {
        self.lock().warm_at = at + self.settings.cold_start;
    }
}
