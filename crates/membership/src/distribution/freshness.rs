//! Evidence that the host list is current.

use std::time::Instant;

use waxwingusher_core::HostId;

/// What a peer last answered to a poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAnswer {
    /// The peer.
    pub host: HostId,
    /// The highest version of the host list known to the peer.
    pub seen_version: u64,
    /// When the poll was sent. The answer is no older.
    pub asked_at: Instant,
}

/// Evidence that the host list is current.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListFreshness {
    /// The version in force; zero if there is none.
    pub version: u64,
    /// The highest version known to this host from any source.
    pub seen_version: u64,
    /// An instant at or after which the configuration service still had the
    /// version in force as its newest, by a read of this host or of a peer.
    pub confirmed_at: Option<Instant>,
    /// What listed peers last answered.
    pub answers: Vec<PeerAnswer>,
}
