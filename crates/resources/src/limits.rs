//! How much of a machine connections may hold, by what they hold it for.

/// The share of the machine's memory that connections may hold. The rest is for the process
/// itself: its configuration, its state, and what the allocator does not return at once.
const MEMORY_PERCENT: usize = 60;
/// The share of the account that each class may bring it to. The classes further down keep
/// room when one above has used up its own.
const LARGE_PERCENT: usize = 75;
const ANSWER_PERCENT: usize = 87;
const CALLER_PERCENT: usize = 95;
const PEER_PERCENT: usize = 100;
/// The share of the sockets for connections of callers, for those and connections of peers,
/// to instances, and of operators. The others are for the store and for listening.
const CALLER_SOCKETS_PERCENT: usize = 45;
const CONNECTION_SOCKETS_PERCENT: usize = 50;
const INSTANCE_SOCKETS_PERCENT: usize = 35;
const OPERATOR_SOCKETS_PERCENT: usize = 5;
/// The share for connections that are answered although there is no room for them.
const REFUSED_SOCKETS_PERCENT: usize = 4;

/// A connection that holds more than this competes with the other large ones.
pub(crate) const SMALL_CONNECTION_BYTES: usize = 512 * 1024;

/// The limits of the machine for one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceLimits {
    /// The memory that the process may use.
    pub memory_bytes: usize,
    /// The sockets that it may have open.
    pub sockets: usize,
}

impl Default for ResourceLimits {
    /// Returns limits for a machine that does not state its own.
    fn default() -> Self {
        Self {
            memory_bytes: 512 * 1024 * 1024,
            sockets: 4_096,
        }
    }
}

impl ResourceLimits {
    /// Returns the bytes that all connections together may hold.
    #[must_use]
    pub fn account_bytes(&self) -> usize {
        percent(self.memory_bytes, MEMORY_PERCENT)
    }

    /// Returns the size up to which a class may bring the account.
    #[must_use]
    pub fn class_bytes(&self, class: Class) -> usize {
        let share = match class {
            Class::Large => LARGE_PERCENT,
            Class::Answer => ANSWER_PERCENT,
            Class::Caller => CALLER_PERCENT,
            Class::Peer => PEER_PERCENT,
        };
        percent(self.account_bytes(), share)
    }

    /// Returns how many connections may be open when one of this origin is accepted.
    #[must_use]
    pub fn max_connections(&self, origin: Origin) -> usize {
        let share = match origin {
            Origin::Caller => CALLER_SOCKETS_PERCENT,
            Origin::Peer => CONNECTION_SOCKETS_PERCENT,
        };
        percent(self.sockets, share).max(1)
    }

    /// Returns how many connections to instances and peers may be open.
    #[must_use]
    pub fn max_instance_connections(&self) -> usize {
        percent(self.sockets, INSTANCE_SOCKETS_PERCENT).max(1)
    }

    /// Returns how many connections may be open that are only told that there is no room.
    #[must_use]
    pub fn max_refused_connections(&self) -> usize {
        percent(self.sockets, REFUSED_SOCKETS_PERCENT)
    }

    /// Returns how many connections may be open over which readiness and metrics are read.
    #[must_use]
    pub fn max_operator_connections(&self) -> usize {
        percent(self.sockets, OPERATOR_SOCKETS_PERCENT).max(1)
    }
}

fn percent(whole: usize, percent: usize) -> usize {
    whole.saturating_mul(percent) / 100
}

/// Who opened a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another host that passes a request on.
    Peer,
}

/// What bytes are charged for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// To read a request, and to handle it.
    Request,
    /// To read more of an instance's answer than was charged with the request.
    Answer,
}

/// Uses of the account in ascending order of the room that they find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// Requests on a connection that already holds much.
    Large,
    /// Large answers.
    Answer,
    /// Other requests of callers, with their ordinary answers.
    Caller,
    /// Other requests of peers.
    Peer,
}

impl Class {
    /// Reports whether charges are granted in the order in which they came, so that what needs
    /// much does not starve behind what needs less.
    pub(crate) fn is_in_order(self) -> bool {
        matches!(self, Self::Large | Self::Answer)
    }

    /// Returns the class of a charge that brings a connection to `held_bytes`.
    #[must_use]
    pub fn of(origin: Origin, purpose: Purpose, held_bytes: usize) -> Self {
        match (purpose, origin) {
            (Purpose::Answer, _) => Self::Answer,
            (Purpose::Request, _) if held_bytes > SMALL_CONNECTION_BYTES => Self::Large,
            (Purpose::Request, Origin::Caller) => Self::Caller,
            (Purpose::Request, Origin::Peer) => Self::Peer,
        }
    }
}
