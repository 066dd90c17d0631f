//! Counters of the datagrams that a host sends, receives and drops.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::codec::DecodeError;
use crate::message::MessageKind;

/// Why a datagram was not sent, or not delivered after it was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropCause {
    /// A received datagram was rejected.
    Decode(DecodeError),
    /// The receive queue was full.
    RingFull,
    /// The rate limit on sent bytes was reached.
    RateCap,
    /// The receiver's address is unknown.
    UnknownHost,
    /// The message does not fit a datagram.
    TooLarge,
    /// The operating system returned an error.
    SendFailed,
}

impl DropCause {
    /// Returns the cause's name for metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Decode(DecodeError::TooLarge) => "received-too-large",
            Self::Decode(DecodeError::TooShort) => "received-too-short",
            Self::Decode(DecodeError::UnknownVersion) => "unknown-version",
            Self::Decode(DecodeError::BadTag) => "bad-tag",
            Self::Decode(DecodeError::Replayed) => "replayed",
            Self::Decode(DecodeError::FromSelf) => "from-self",
            Self::Decode(DecodeError::UnknownMessage) => "unknown-message",
            Self::Decode(DecodeError::Malformed) => "malformed",
            Self::RingFull => "ring-full",
            Self::RateCap => "rate-cap",
            Self::UnknownHost => "unknown-host",
            Self::TooLarge => "too-large",
            Self::SendFailed => "send-failed",
        }
    }
}

/// A number of datagrams and of their bytes, including the headers of IPv4 and
/// UDP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of datagrams.
    pub datagrams: u64,
    /// The number of bytes.
    pub bytes: u64,
}

impl Traffic {
    fn add(&mut self, len_bytes: usize) {
        self.datagrams += 1;
        self.bytes += len_bytes as u64;
    }

    fn remove(&mut self, len_bytes: usize) {
        self.datagrams -= 1;
        self.bytes -= len_bytes as u64;
    }
}

/// All counters since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SocketCounters {
    sent: BTreeMap<MessageKind, Traffic>,
    received: BTreeMap<MessageKind, Traffic>,
    dropped: BTreeMap<&'static str, u64>,
}

impl SocketCounters {
    /// Returns the datagrams of one kind that were sent.
    #[must_use]
    pub fn sent(&self, kind: MessageKind) -> Traffic {
        self.sent.get(&kind).copied().unwrap_or_default()
    }

    /// Returns the datagrams of one kind that were received and delivered.
    #[must_use]
    pub fn received(&self, kind: MessageKind) -> Traffic {
        self.received.get(&kind).copied().unwrap_or_default()
    }

    /// Returns how many datagrams were dropped for one cause.
    #[must_use]
    pub fn dropped(&self, cause: DropCause) -> u64 {
        self.dropped.get(cause.name()).copied().unwrap_or(0)
    }

    /// Returns the names and counts of all causes for which a datagram was
    /// dropped, sorted by name.
    pub fn drops(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.dropped.iter().map(|(name, count)| (*name, *count))
    }
}

/// Counters that several threads increment.
#[derive(Debug, Default)]
pub(super) struct SharedCounters {
    counters: Mutex<SocketCounters>,
}

impl SharedCounters {
    pub(super) fn snapshot(&self) -> SocketCounters {
        self.lock().clone()
    }

    pub(super) fn record_sent(&self, kind: MessageKind, len_bytes: usize) {
        self.lock().sent.entry(kind).or_default().add(len_bytes);
    }

    pub(super) fn record_received(&self, kind: MessageKind, len_bytes: usize) {
        self.lock().received.entry(kind).or_default().add(len_bytes);
    }

    /// Takes back [`Self::record_received`] for a datagram that was not delivered.
    pub(super) fn revoke_received(&self, kind: MessageKind, len_bytes: usize) {
        self.lock()
            .received
            .entry(kind)
            .or_default()
            .remove(len_bytes);
    }

    pub(super) fn record_dropped(&self, cause: DropCause) {
        *self.lock().dropped.entry(cause.name()).or_default() += 1;
    }

    fn lock(&self) -> MutexGuard<'_, SocketCounters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
