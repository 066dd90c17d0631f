//! The account of what connections hold.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::limits::{Class, Origin, Purpose, ResourceLimits, SMALL_CONNECTION_BYTES};
use crate::pace::Pace;

/// By how much a client must be late before its connection is closed for the sake of others.
const MIN_DELAY: Duration = Duration::from_millis(500);
/// How long a connection must be idle before it closes for a new one; a client needs a round
/// trip to send its first request.
const MIN_IDLE_TIME: Duration = Duration::from_millis(200);
/// By how much a client must be late in reading its answer before that gives way to another
/// one: an answer that waits for memory occupies its instance.
const MIN_READ_DELAY: Duration = Duration::from_millis(100);
/// How long a request waits for memory; callers abandon a host that does not read for a second.
const MAX_REQUEST_WAIT: Duration = Duration::from_secs(1);
/// How long an answer waits for memory.
const MAX_ANSWER_WAIT: Duration = Duration::from_secs(2);

/// Identifies a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// Identifies a charge that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What becomes of a charge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The bytes are charged.
    Granted,
    /// The connection must read no further until [`Account::retry`] grants the bytes.
    Wait(Ticket),
    /// The account is too small for the bytes, also if nobody else held any.
    Refused,
}

/// What has become of a charge that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitState {
    /// The bytes are charged, and the ticket is used up.
    Granted,
    /// It still waits, at most until this time.
    Waiting {
        /// When it expires.
        until: Instant,
    },
    /// It has waited for too long, and the ticket is used up.
    Expired,
}

/// How a connection ends that the account closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EvictionKind {
    /// The request that is being read is refused, then the connection closes.
    Refuse,
    /// The connection is closed at once: it is idle, its caller does not read, or it was
    /// refused before and still holds something.
    Close,
}

/// A connection that must end so that others can go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Eviction {
    /// The connection.
    pub id: ConnectionId,
    /// How it ends.
    pub kind: EvictionKind,
    /// What it holds.
    pub held_bytes: usize,
    /// By how much its client is late, or how long it has been idle or waited for memory.
    pub delay: Duration,
}

/// Whether a new connection is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is served.
    Admitted(ConnectionId),
    /// There is room once a connection has closed: this one, or one that was told so before.
    AfterClosing(Option<Eviction>),
    /// No connection can close in its favour.
    Full,
}

/// What a connection is told to do, as far as the account is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    None,
    /// It was refused, or closes by itself, since a time, and may be closed at once.
    Closing(Instant),
    /// It was told to close at once.
    Closed,
}

#[derive(Debug)]
struct Connection {
    origin: Origin,
    held_bytes: usize,
    /// Whether it is open; bytes may be returned later.
    is_open: bool,
    ending: Ending,
    /// Whether a request is being read.
    is_receiving: bool,
    /// Whether an answer is being written.
    is_sending: bool,
    /// Requests that were read and not answered.
    requests: usize,
    /// Charges for a request that wait; its client is not awaited meanwhile.
    waiting_requests: usize,
    last_active_at: Instant,
    pace: Pace,
}

impl Connection {
    fn new(now: Instant, origin: Origin) -> Self {
        Self {
            origin,
            held_bytes: 0,
            is_open: true,
            ending: Ending::None,
            is_receiving: false,
            is_sending: false,
            requests: 0,
            waiting_requests: 0,
            last_active_at: now,
            pace: Pace::default(),
        }
    }

    fn is_idle(&self) -> bool {
        !self.is_receiving && !self.is_sending && self.requests == 0
    }

    fn update_pace(&mut self, now: Instant) {
        let is_awaited = self.is_sending || self.is_receiving && self.waiting_requests == 0;
        if is_awaited != self.pace.is_awaited() {
            self.pace.set_awaited(now, is_awaited);
        }
        if !self.is_sending && !self.is_receiving {
            self.pace.reset();
        }
    }

    /// Reports since when nothing is left to do but to let its client read, if it is so.
    fn lingers_since(&self) -> Option<Instant> {
        match self.ending {
            Ending::Closing(since) if self.requests == 0 => Some(since),
            _ => None,
        }
    }

    /// Returns how it ends if it must.
    fn eviction_kind(&self) -> EvictionKind {
        let is_refusable = self.is_receiving && !self.is_sending && self.ending == Ending::None;
        if is_refusable {
            EvictionKind::Refuse
        } else {
            EvictionKind::Close
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Wait {
    id: ConnectionId,
    purpose: Purpose,
    class: Class,
    bytes: usize,
    since: Instant,
    /// Whether it was given up in favour of others.
    is_refused: bool,
}

impl Wait {
    fn expires_at(&self) -> Instant {
        self.since
            + match self.purpose {
                Purpose::Request => MAX_REQUEST_WAIT,
                Purpose::Answer => MAX_ANSWER_WAIT,
            }
    }
}

/// The account of one process.
#[derive(Debug)]
pub struct Account {
    limits: ResourceLimits,
    charged_bytes: usize,
    connections: HashMap<ConnectionId, Connection>,
    open_connections: usize,
    waits: BTreeMap<Ticket, Wait>,
    next_number: u64,
}

impl Account {
    /// Creates an empty account for a machine.
    #[must_use]
    pub fn new(limits: ResourceLimits) -> Self {
        Self {
            limits,
            charged_bytes: 0,
            connections: HashMap::new(),
            open_connections: 0,
            waits: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Applies other limits. What is charged already stays so.
    pub fn set_limits(&mut self, limits: ResourceLimits) {
        self.limits = limits;
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &ResourceLimits {
        &self.limits
    }

    /// Returns the bytes that all connections hold.
    #[must_use]
    pub fn charged_bytes(&self) -> usize {
        self.charged_bytes
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open_connections
    }

    /// Reports whether a charge waits.
    #[must_use]
    pub fn has_waits(&self) -> bool {
        !self.waits.is_empty()
    }

    /// Returns what a connection holds.
    #[must_use]
    pub fn held_bytes(&self, id: ConnectionId) -> usize {
        self.connections
            .get(&id)
            .map_or(0, |connection| connection.held_bytes)
    }

    /// Adds a connection and charges `bytes` to it, if there is room for both. If there is
    /// not, another connection may close in its favour; then it should be tried again.
    pub fn open(&mut self, now: Instant, origin: Origin, bytes: usize) -> Admission {
        let class = Class::of(origin, Purpose::Request, bytes);
        let has_socket = self.open_connections < self.limits.max_connections(origin);
        if has_socket && self.fits(class, bytes) {
            let id = ConnectionId(self.draw_number());
            self.connections.insert(id, Connection::new(now, origin));
            self.open_connections += 1;
            self.add(id, bytes);
            return Admission::Admitted(id);
        }
        let mut connections = self.connections.values();
        if connections.any(|it| it.is_open && it.ending == Ending::Closed) {
            return Admission::AfterClosing(None);
        }
        match self.evict_for_newcomer(now) {
            Some(eviction) => Admission::AfterClosing(Some(eviction)),
            None => Admission::Full,
        }
    }

    /// Records that a connection has closed. What it still holds is returned later.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut connection.is_open, false) {
            self.open_connections -= 1;
        }
        self.waits.retain(|_, wait| wait.id != id);
        self.forget_if_unused(id);
    }

    /// Charges bytes to a connection before it reads or allocates them.
    pub fn charge(
        &mut self,
        now: Instant,
        id: ConnectionId,
        purpose: Purpose,
        bytes: usize,
    ) -> Decision {
        let Some(connection) = self.connections.get(&id) else {
            return Decision::Refused;
        };
        let class = Class::of(connection.origin, purpose, connection.held_bytes + bytes);
        if connection.held_bytes + bytes > self.limits.class_bytes(class) {
            return Decision::Refused;
        }
        let is_first = !class.is_in_order() || self.oldest_wait(class).is_none();
        if is_first && self.fits(class, bytes) {
            self.add(id, bytes);
            return Decision::Granted;
        }
        let ticket = Ticket(self.draw_number());
        let wait = Wait {
            id,
            purpose,
            class,
            bytes,
            since: now,
            is_refused: false,
        };
        self.waits.insert(ticket, wait);
        self.count_waiting(now, wait, 1);
        Decision::Wait(ticket)
    }

    /// Tries a charge again that waits.
    pub fn retry(&mut self, now: Instant, ticket: Ticket) -> WaitState {
        let Some(wait) = self.waits.get(&ticket).copied() else {
            return WaitState::Expired;
        };
        let is_first = !wait.class.is_in_order() || self.oldest_wait(wait.class) == Some(ticket);
        if is_first && self.fits(wait.class, wait.bytes) {
            self.cancel(now, ticket);
            self.add(wait.id, wait.bytes);
            return WaitState::Granted;
        }
        let until = wait.expires_at();
        if now < until && !wait.is_refused {
            return WaitState::Waiting { until };
        }
        self.cancel(now, ticket);
        WaitState::Expired
    }

    /// Gives up a charge that waits.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) {
        if let Some(wait) = self.waits.remove(&ticket) {
            self.count_waiting(now, wait, -1);
        }
    }

    /// Returns bytes that were charged.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let released = bytes.min(connection.held_bytes);
        connection.held_bytes -= released;
        self.charged_bytes -= released;
        self.forget_if_unused(id);
    }

    /// Records that a client has sent bytes that were read, or taken bytes that were written.
    pub fn record_progress(&mut self, now: Instant, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.last_active_at = now;
            let held_bytes = connection.held_bytes;
            connection.pace.record_progress(now, bytes, held_bytes);
        }
    }

    /// Records whether a request is being read from a connection.
    pub fn set_receiving(&mut self, now: Instant, id: ConnectionId, is_receiving: bool) {
        self.update(now, id, |connection| connection.is_receiving = is_receiving);
    }

    /// Records whether an answer is being written to a connection.
    pub fn set_sending(&mut self, now: Instant, id: ConnectionId, is_sending: bool) {
        self.update(now, id, |connection| connection.is_sending = is_sending);
    }

    /// Records that a request was read whole.
    pub fn start_request(&mut self, now: Instant, id: ConnectionId) {
        self.update(now, id, |connection| connection.requests += 1);
    }

    /// Records that a request was answered.
    pub fn end_request(&mut self, now: Instant, id: ConnectionId) {
        self.update(now, id, |connection| {
            connection.requests = connection.requests.saturating_sub(1);
        });
    }

    /// Records that nothing is left to do on a connection but to let its client read.
    pub fn begin_close(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id)
            && connection.ending == Ending::None
        {
            connection.ending = Ending::Closing(now);
        }
    }

    /// Chooses the connections that must end so that charges which wait can be granted: first
    /// those that hold most and whose clients are most behind. Charges that wait should be tried
    /// again afterwards.
    pub fn relieve(&mut self, now: Instant) -> Vec<Eviction> {
        let mut evictions = Vec::new();
        for class in [Class::Peer, Class::Caller, Class::Answer, Class::Large] {
            let Some(ticket) = self.oldest_wait(class) else {
                continue;
            };
            self.relieve_wait(now, self.waits[&ticket], &mut evictions);
        }
        evictions
    }

    fn relieve_wait(&mut self, now: Instant, wait: Wait, evictions: &mut Vec<Eviction>) {
        let waits = self.waits.values();
        let waits = waits.filter(|other| other.class == wait.class && !other.is_refused);
        let wanted_bytes = waits.map(|other| other.bytes).sum();
        let mut shortage = self
            .shortage(wait.class, wanted_bytes)
            .saturating_sub(self.ending_bytes(now));
        if shortage == 0 {
            return;
        }
        let mut candidates = self.late_connections(now, wait);
        if candidates.is_empty() && wait.class == Class::Answer {
            self.refuse_newest_answer(now, wait);
        } else if candidates.is_empty() {
            candidates.extend(self.blocked_connection(now, wait));
        }
        candidates.sort_unstable_by_key(|eviction| {
            Reverse(eviction.delay.as_millis() * eviction.held_bytes as u128)
        });
        for eviction in candidates {
            if shortage == 0 {
                break;
            }
            shortage = shortage.saturating_sub(eviction.held_bytes);
            self.begin_eviction(now, eviction);
            evictions.push(eviction);
        }
    }

    /// Returns the connections that wait for their clients for too long, or only let them read
    /// a last answer. For a large charge only other large connections are closed.
    fn late_connections(&self, now: Instant, wait: Wait) -> Vec<Eviction> {
        let min_bytes = match wait.class {
            Class::Large => SMALL_CONNECTION_BYTES,
            _ => 0,
        };
        let mut late = Vec::new();
        for (id, connection) in &self.connections {
            let delay = connection.pace.delay(now);
            let min_delay = match wait.class {
                Class::Answer if connection.is_sending => MIN_READ_DELAY,
                _ => MIN_DELAY,
            };
            let linger_time = connection
                .lingers_since()
                .map(|since| now.saturating_duration_since(since));
            let delay = linger_time.map_or(delay, |time| time.max(delay));
            let is_late =
                delay >= min_delay && (connection.pace.is_awaited() || linger_time.is_some());
            let may_end = match connection.ending {
                Ending::None => connection.is_open,
                Ending::Closing(since) => connection.is_open && now >= since + MIN_DELAY,
                Ending::Closed => false,
            };
            if !is_late || !may_end || connection.held_bytes <= min_bytes {
                continue;
            }
            late.push(Eviction {
                id: *id,
                kind: connection.eviction_kind(),
                held_bytes: connection.held_bytes,
                delay,
            });
        }
        late
    }

    /// Returns the connection that holds most of those whose requests wait for each other's
    /// memory.
    fn blocked_connection(&self, now: Instant, first: Wait) -> Option<Eviction> {
        if now < first.since + MIN_DELAY {
            return None;
        }
        let waits = self.waits.values();
        let waits = waits.filter(|wait| wait.purpose == Purpose::Request);
        let candidates = waits.filter_map(|wait| {
            let connection = self.connections.get(&wait.id)?;
            let is_blocking = wait.id != first.id
                && connection.ending == Ending::None
                && connection.held_bytes > SMALL_CONNECTION_BYTES;
            is_blocking.then(|| Eviction {
                id: wait.id,
                kind: connection.eviction_kind(),
                held_bytes: connection.held_bytes,
                delay: now.saturating_duration_since(wait.since),
            })
        });
        candidates.max_by_key(|eviction| eviction.held_bytes)
    }

    /// Gives up the answer that came last of those that wait for each other's memory.
    fn refuse_newest_answer(&mut self, now: Instant, first: Wait) {
        if now < first.since + MIN_READ_DELAY {
            return;
        }
        let mut waits = self.waits.values_mut().rev();
        let newest = waits.find(|wait| wait.class == Class::Answer && !wait.is_refused);
        if let Some(newest) = newest.filter(|newest| newest.id != first.id) {
            newest.is_refused = true;
        }
    }

    /// Chooses a connection that closes in favour of a new one: one that only lets its client
    /// read a last answer, else the one that has been idle for longest, else the one whose
    /// client is most behind.
    fn evict_for_newcomer(&mut self, now: Instant) -> Option<Eviction> {
        let ranked = self.connections.iter().filter_map(|(id, connection)| {
            let idle_time = now.saturating_duration_since(connection.last_active_at);
            let late_by = connection.pace.delay(now);
            let is_late = connection.pace.is_awaited() && late_by >= MIN_DELAY;
            let (rank, delay) = match connection {
                _ if !connection.is_open => return None,
                _ if connection.lingers_since().is_some() => (2, idle_time),
                _ if connection.is_idle() && idle_time >= MIN_IDLE_TIME => (1, idle_time),
                _ if is_late => (0, late_by),
                _ => return None,
            };
            let eviction = Eviction {
                id: *id,
                kind: EvictionKind::Close,
                held_bytes: connection.held_bytes,
                delay,
            };
            Some((rank, delay, eviction))
        });
        let chosen = ranked.max_by_key(|(rank, delay, _)| (*rank, *delay));
        let (_, _, eviction) = chosen?;
        self.begin_eviction(now, eviction);
        Some(eviction)
    }

    fn begin_eviction(&mut self, now: Instant, eviction: Eviction) {
        if let Some(connection) = self.connections.get_mut(&eviction.id) {
            connection.ending = match eviction.kind {
                EvictionKind::Refuse => Ending::Closing(now),
                EvictionKind::Close => Ending::Closed,
            };
        }
    }

    /// Returns what connections hold that will soon have ended.
    fn ending_bytes(&self, now: Instant) -> usize {
        let connections = self.connections.values();
        let ending = connections.filter(|connection| match connection.ending {
            Ending::None => false,
            Ending::Closing(since) => now < since + MIN_DELAY,
            Ending::Closed => true,
        });
        ending.map(|connection| connection.held_bytes).sum()
    }

    fn fits(&self, class: Class, bytes: usize) -> bool {
        self.shortage(class, bytes) == 0
    }

    /// Returns how many bytes must be returned before a class gets some.
    fn shortage(&self, class: Class, bytes: usize) -> usize {
        (self.charged_bytes + bytes).saturating_sub(self.limits.class_bytes(class))
    }

    fn oldest_wait(&self, class: Class) -> Option<Ticket> {
        let mut waits = self.waits.iter();
        waits
            .find(|(_, wait)| wait.class == class)
            .map(|(ticket, _)| *ticket)
    }

    fn add(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held_bytes += bytes;
            self.charged_bytes += bytes;
        }
    }

    fn count_waiting(&mut self, now: Instant, wait: Wait, change: isize) {
        if wait.purpose == Purpose::Answer {
            return;
        }
        self.update(now, wait.id, |connection| {
            let count = connection.waiting_requests.saturating_add_signed(change);
            connection.waiting_requests = count;
        });
    }

    fn update(&mut self, now: Instant, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        if let Some(connection) = self.connections.get_mut(&id) {
            change(connection);
            connection.update_pace(now);
        }
    }

    fn forget_if_unused(&mut self, id: ConnectionId) {
        let connection = self.connections.get(&id);
        if connection.is_some_and(|it| !it.is_open && it.held_bytes == 0) {
            self.connections.remove(&id);
        }
    }

    fn draw_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}
