//! Charges what connections hold to the account of the process, and closes those that the
//! account chooses.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use tokio::sync::Notify;
use waxwingusher_core::Clock;
use waxwingusher_resources::{
    Account, Admission, ConnectionId, Decision, Eviction, EvictionKind, Origin, Purpose,
    ResourceLimits, Ticket, WaitState,
};

use crate::answer::Answer;
use crate::journal::Event;
use crate::origin::RequestOrigin;
use crate::state::State;
use crate::units::millis;

/// What the process and the system hold for a connection, the bytes included that wait in the
/// system to be read or sent.
const CONNECTION_BYTES: usize = 16 * 1024 + UNREAD_BYTES + UNSENT_BYTES;
/// The receive buffer of a connection.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 32 * 1024;
/// The bytes that the system keeps of a connection that is not read; it may exceed the
/// receive buffer by half.
const UNREAD_BYTES: usize = RECEIVE_BUFFER_BYTES as usize / 2 * 3;
/// The bytes that the system takes to be sent while the client does not read. A send buffer of
/// a fixed size would slow all answers down.
pub(crate) const MAX_UNSENT_BYTES: u32 = 16 * 1024;
/// The bytes that it keeps then, as it takes them in segments.
const UNSENT_BYTES: usize = 64 * 1024;
/// What is charged for the answer to a request before the request is sent.
const RESERVED_ANSWER_BYTES: usize = 64 * 1024;
/// How often the account is asked what to close while a charge waits.
const RELIEF_INTERVAL: Duration = Duration::from_millis(50);
/// How long new connections wait for others to close before they are refused. Clients whose
/// requests stall are late only after a while.
const MAX_ADMISSION_WAIT: Duration = Duration::from_millis(600);
/// How often a new connection that waits is tried again.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(20);
/// What connections must have held, as a share of the account, for their memory to be returned
/// to the system once they hold half of it.
const MIN_PEAK_DIVISOR: usize = 16;
/// How often the allocator is asked to return memory then. It keeps freed pages for a while.
const RETURN_ATTEMPTS: u8 = 8;
/// A block of this size is not taken from pages that the allocator has at hand.
const LARGE_BLOCK_BYTES: usize = 4 * 1024 * 1024;
/// The mean `Retry-After` of a host without memory.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The outcome of a request that was refused as the account is spent.
pub(crate) const OVER_MEMORY: &str = "over-memory";

/// The account has no room for bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum NoMemory {
    /// The account is too small for them, whatever else is held.
    #[error("the bytes exceed the account")]
    ExceedsAccount,
    /// Others hold too much.
    #[error("the account is spent")]
    Spent,
}

impl NoMemory {
    /// Returns the cause as logs and metrics state it.
    fn as_str(self) -> &'static str {
        match self {
            Self::ExceedsAccount => "exceeds-account",
            Self::Spent => "account-spent",
        }
    }
}

/// The account of the process with its connections.
pub(crate) struct Resources {
    clock: Arc<dyn Clock>,
    account: RefCell<Account>,
    signals: RefCell<HashMap<ConnectionId, Rc<CloseSignal>>>,
    /// Notifies charges that wait that something was returned.
    returned: Notify,
    /// Notifies [`run`] that a charge waits.
    waiting: Notify,
    /// Since when no new connection was admitted.
    full_since: Cell<Option<Instant>>,
    /// The most bytes that were charged since memory was last returned to the system.
    peak_bytes: Cell<usize>,
    return_attempts_left: Cell<u8>,
}

impl Resources {
    pub(crate) fn new(limits: ResourceLimits, clock: Arc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            account: RefCell::new(Account::new(limits)),
            signals: RefCell::default(),
            returned: Notify::new(),
            waiting: Notify::new(),
            full_since: Cell::new(None),
            peak_bytes: Cell::new(0),
            return_attempts_left: Cell::new(0),
        })
    }

    /// Applies other limits of the machine.
    pub(crate) fn set_limits(&self, limits: ResourceLimits) {
        self.account.borrow_mut().set_limits(limits);
    }

    /// Returns the limits of the machine.
    pub(crate) fn limits(&self) -> ResourceLimits {
        *self.account.borrow().limits()
    }

    /// Returns the bytes that are charged.
    pub(crate) fn charged_bytes(&self) -> usize {
        self.account.borrow().charged_bytes()
    }

    /// Returns the number of open connections of callers and peers.
    pub(crate) fn open_connections(&self) -> usize {
        self.account.borrow().open_connections()
    }

    /// Makes the allocator return freed pages to the system after connections held much: it
    /// does so only as a large block is freed. Must be called several times a second.
    pub(crate) fn return_freed_memory(&self) {
        let (charged, account) = (self.charged_bytes(), self.limits().account_bytes());
        let peak = self.peak_bytes.get();
        if peak > account / MIN_PEAK_DIVISOR && charged < peak / 2 {
            self.peak_bytes.set(charged);
            self.return_attempts_left.set(RETURN_ATTEMPTS);
        }
        let attempts_left = self.return_attempts_left.get();
        if attempts_left > 0 {
            self.return_attempts_left.set(attempts_left - 1);
            drop(std::hint::black_box(Vec::<u8>::with_capacity(
                LARGE_BLOCK_BYTES,
            )));
        }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn record_peak(&self) {
        let peak = self.peak_bytes.get().max(self.charged_bytes());
        self.peak_bytes.set(peak);
    }

    fn open(&self, origin: Origin) -> Admission {
        let mut account = self.account.borrow_mut();
        account.open(self.now(), origin, CONNECTION_BYTES)
    }

    fn release(&self, id: ConnectionId, bytes: usize) {
        let mut account = self.account.borrow_mut();
        account.release(id, bytes);
        if account.has_waits() {
            self.returned.notify_waiters();
        }
    }

    async fn charge(
        &self,
        id: ConnectionId,
        purpose: Purpose,
        bytes: usize,
    ) -> Result<(), NoMemory> {
        let now = self.now();
        let decision = self.account.borrow_mut().charge(now, id, purpose, bytes);
        let ticket = match decision {
            Decision::Granted => {
                self.record_peak();
                return Ok(());
            }
            Decision::Refused => return Err(NoMemory::ExceedsAccount),
            Decision::Wait(ticket) => WaitingCharge {
                resources: self,
                ticket,
            },
        };
        self.waiting.notify_one();
        loop {
            let returned = self.returned.notified();
            let state = self.account.borrow_mut().retry(self.now(), ticket.ticket);
            let until = match state {
                WaitState::Granted => {
                    self.record_peak();
                    return Ok(());
                }
                WaitState::Expired => return Err(NoMemory::Spent),
                WaitState::Waiting { until } => until,
            };
            // Both outcomes lead to another attempt.
            let _ = tokio::time::timeout_at(until.into(), returned).await;
        }
    }
}

/// A charge that waits. Dropping it gives it up.
struct WaitingCharge<'a> {
    resources: &'a Resources,
    ticket: Ticket,
}

impl Drop for WaitingCharge<'_> {
    fn drop(&mut self) {
        let mut account = self.resources.account.borrow_mut();
        account.cancel(self.resources.now(), self.ticket);
        if account.has_waits() {
            // Another large body may be the first one now.
            self.resources.returned.notify_waiters();
        }
    }
}

/// Tells a connection to end.
#[derive(Debug, Default)]
pub(crate) struct CloseSignal {
    kind: Cell<Option<EvictionKind>>,
    changed: Notify,
    /// The id of the request that is being read, for the log.
    request_id: RefCell<String>,
}

impl CloseSignal {
    fn send(&self, kind: EvictionKind) {
        self.kind.set(Some(kind));
        self.changed.notify_waiters();
    }

    /// Reports whether the request that is being read must be refused.
    pub(crate) fn is_refused(&self) -> bool {
        self.kind.get() == Some(EvictionKind::Refuse)
    }

    /// Waits until the connection must end in this way.
    async fn wait_for(&self, kind: EvictionKind) {
        loop {
            let changed = self.changed.notified();
            if self.kind.get() == Some(kind) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the request that is being read is refused.
    pub(crate) async fn refused(&self) {
        self.wait_for(EvictionKind::Refuse).await;
    }

    /// Waits until the connection must close at once.
    pub(crate) async fn closed(&self) {
        self.wait_for(EvictionKind::Close).await;
    }
}

/// A connection in the account, until it is dropped.
pub(crate) struct ConnectionEntry {
    resources: Rc<Resources>,
    id: ConnectionId,
    pub(crate) signal: Rc<CloseSignal>,
    /// What the connection holds before it gets a request.
    _base: Charge,
}

impl ConnectionEntry {
    fn new(resources: &Rc<Resources>, id: ConnectionId) -> Self {
        let signal = Rc::new(CloseSignal::default());
        resources.signals.borrow_mut().insert(id, signal.clone());
        Self {
            resources: resources.clone(),
            id,
            signal,
            _base: Charge {
                resources: resources.clone(),
                id,
                bytes: Cell::new(CONNECTION_BYTES),
            },
        }
    }

    /// Returns an empty charge for the connection.
    pub(crate) fn empty_charge(&self) -> Charge {
        Charge {
            resources: self.resources.clone(),
            id: self.id,
            bytes: Cell::new(0),
        }
    }

    /// Records that bytes were read from the client or taken by it.
    pub(crate) fn record_progress(&self, bytes: usize) {
        let mut account = self.resources.account.borrow_mut();
        account.record_progress(self.resources.now(), self.id, bytes);
    }

    /// Records whether a request is being read, with its id once it is known.
    pub(crate) fn set_receiving(&self, is_receiving: bool, request_id: &str) {
        request_id.clone_into(&mut self.signal.request_id.borrow_mut());
        let mut account = self.resources.account.borrow_mut();
        account.set_receiving(self.resources.now(), self.id, is_receiving);
    }

    /// Records whether an answer is being written.
    pub(crate) fn set_sending(&self, is_sending: bool) {
        let mut account = self.resources.account.borrow_mut();
        account.set_sending(self.resources.now(), self.id, is_sending);
    }

    /// Records that a request was read whole.
    pub(crate) fn start_request(&self) {
        let mut account = self.resources.account.borrow_mut();
        account.start_request(self.resources.now(), self.id);
    }

    /// Records that a request was answered.
    pub(crate) fn end_request(&self) {
        let mut account = self.resources.account.borrow_mut();
        account.end_request(self.resources.now(), self.id);
    }

    /// Records that nothing is left to do but to let the client read.
    pub(crate) fn begin_close(&self) {
        let mut account = self.resources.account.borrow_mut();
        account.begin_close(self.resources.now(), self.id);
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.resources.signals.borrow_mut().remove(&self.id);
        self.resources.account.borrow_mut().close(self.id);
    }
}

/// Bytes that are charged to a connection, until it is dropped.
pub(crate) struct Charge {
    resources: Rc<Resources>,
    id: ConnectionId,
    bytes: Cell<usize>,
}

impl std::fmt::Debug for Charge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Charge({} bytes)", self.bytes.get())
    }
}

impl Charge {
    /// Charges what is lacking, and waits for it if others hold too much.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has no room.
    pub(crate) async fn grow_to(&self, purpose: Purpose, bytes: usize) -> Result<(), NoMemory> {
        let lacking = bytes.saturating_sub(self.bytes.get());
        if lacking > 0 {
            self.resources.charge(self.id, purpose, lacking).await?;
            self.bytes.set(self.bytes.get() + lacking);
        }
        Ok(())
    }

    /// Returns what is charged beyond `bytes`.
    pub(crate) fn shrink_to(&self, bytes: usize) {
        let excess = self.bytes.get().saturating_sub(bytes);
        if excess > 0 {
            self.bytes.set(bytes);
            self.resources.release(self.id, excess);
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// The memory for the answers of instances to one request. Part of it is charged before the
/// request is sent, so that an ordinary answer always finds room.
#[derive(Debug)]
pub(crate) struct AnswerMemory {
    charge: Charge,
    used_bytes: Cell<usize>,
}

impl AnswerMemory {
    /// Charges the memory for an ordinary answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has no room.
    pub(crate) async fn reserve(charge: Charge) -> Result<Rc<Self>, NoMemory> {
        charge
            .grow_to(Purpose::Request, RESERVED_ANSWER_BYTES)
            .await?;
        Ok(Rc::new(Self {
            charge,
            used_bytes: Cell::new(0),
        }))
    }

    /// Charges further bytes of an answer before they are kept.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has no room.
    pub(crate) async fn take(&self, bytes: usize) -> Result<(), NoMemory> {
        let used_bytes = self.used_bytes.get() + bytes;
        self.used_bytes.set(used_bytes);
        let grown = self.charge.grow_to(Purpose::Answer, used_bytes).await;
        if grown.is_err() {
            self.give_back(bytes);
        }
        grown
    }

    /// Returns the bytes of an answer that is given up.
    pub(crate) fn give_back(&self, bytes: usize) {
        let used_bytes = self.used_bytes.get() - bytes;
        self.used_bytes.set(used_bytes);
        self.charge.shrink_to(used_bytes.max(RESERVED_ANSWER_BYTES));
    }
}

/// Adds a new connection to the account; `None` if there is no room for it. Another connection
/// may close in its favour.
pub(crate) async fn admit(state: &State, origin: RequestOrigin) -> Option<ConnectionEntry> {
    let resources = &state.resources;
    let origin = match origin {
        RequestOrigin::Caller => Origin::Caller,
        RequestOrigin::Peer(_) => Origin::Peer,
    };
    loop {
        match resources.open(origin) {
            Admission::Admitted(id) => {
                resources.full_since.set(None);
                return Some(ConnectionEntry::new(resources, id));
            }
            // The connection that closes runs now.
            Admission::AfterClosing(eviction) => {
                if let Some(eviction) = eviction {
                    evict(state, eviction, "sockets");
                }
                tokio::task::yield_now().await;
            }
            Admission::Full => {
                let now = resources.now();
                let full_since = resources.full_since.get().unwrap_or(now);
                resources.full_since.set(Some(full_since));
                if now >= full_since + MAX_ADMISSION_WAIT {
                    break;
                }
                tokio::time::sleep(ADMISSION_INTERVAL).await;
            }
        }
    }
    record_refusal(state, "", 0, "no-connection-free");
    None
}

/// Returns the answer to a request that gets no memory, and logs it.
pub(crate) fn refuse(state: &State, request_id: &str, bytes: usize, cause: NoMemory) -> Answer {
    record_refusal(state, request_id, bytes, cause.as_str());
    refusal(state)
}

/// Returns the answer to a request whose connection was chosen to end. That was logged.
pub(crate) fn refusal(state: &State) -> Answer {
    let jitter = 0.5 + state.rng.borrow_mut().f64();
    let retry_after = RETRY_AFTER.mul_f64(jitter);
    Answer::refusal(StatusCode::SERVICE_UNAVAILABLE, OVER_MEMORY, retry_after)
}

fn record_refusal(state: &State, request_id: &str, bytes: usize, cause: &'static str) {
    state.metrics.record_resource_refusal(cause);
    let account = state.resources.account.borrow();
    state.journal.write(&Event::ResourceRefusal {
        request: request_id,
        cause,
        bytes,
        charged_bytes: account.charged_bytes(),
        account_bytes: account.limits().account_bytes(),
        connections: account.open_connections(),
    });
}

/// Ends connections in favour of charges that wait.
pub(crate) async fn run(state: Rc<State>) {
    let resources = &state.resources;
    loop {
        resources.waiting.notified().await;
        while resources.account.borrow().has_waits() {
            let evictions = resources.account.borrow_mut().relieve(resources.now());
            for eviction in evictions {
                evict(&state, eviction, "memory");
            }
            resources.returned.notify_waiters();
            tokio::time::sleep(RELIEF_INTERVAL).await;
        }
    }
}

fn evict(state: &State, eviction: Eviction, resource: &'static str) {
    let signal = state.resources.signals.borrow().get(&eviction.id).cloned();
    let Some(signal) = signal else {
        return;
    };
    let end = match eviction.kind {
        EvictionKind::Refuse => "refused",
        EvictionKind::Close => "closed",
    };
    state.metrics.record_eviction(resource, end);
    let account = state.resources.account.borrow();
    state.journal.write(&Event::Eviction {
        request: &signal.request_id.borrow(),
        resource,
        end,
        held_bytes: eviction.held_bytes,
        delay_ms: millis(eviction.delay),
        charged_bytes: account.charged_bytes(),
        account_bytes: account.limits().account_bytes(),
        connections: account.open_connections(),
    });
    drop(account);
    signal.send(eviction.kind);
}
