//! Which hosts read the source of published changes.
//!
//! Each call to the source costs, so a few hosts read it and pass the changes on.
//! All hosts rank the reachable hosts in the same order; the first [`READERS`] of
//! them read. A host that receives no updates reads for itself, the later the
//! further behind its rank, so that hosts which lose their readers together do not
//! call the source together.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The hosts that read the source at the same time. One of them may lose the source
/// or stop without notice.
pub const READERS: usize = 3;
/// How long a host waits for an update: two intervals of the readers and some delay.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// The additional wait for each host of a better rank.
const RANK_DELAY: Duration = Duration::from_millis(15);

/// Decides whether this host reads the source itself.
#[derive(Debug, Default)]
pub struct ReaderSchedule {
    /// When the last update of any reader arrived.
    updated_at: Option<Instant>,
    /// The same for readers that precede this host in the order of readers. Updates
    /// of others do not keep it from reading, so that of several hosts which have
    /// replaced the readers only the first one continues.
    preceded_at: Option<Instant>,
}

impl ReaderSchedule {
    /// Records that this host has listed everything itself and may now rely on
    /// readers.
    pub fn record_listing(&mut self, now: Instant) {
        self.preceded_at = Some(now);
    }

    /// Records an update of a reader.
    pub fn record_update(&mut self, now: Instant, own_addr: SocketAddr, reader: SocketAddr) {
        self.updated_at = Some(now);
        if order_key(reader) < order_key(own_addr) {
            self.preceded_at = Some(now);
        }
    }

    /// Does not count a pause of this process as silence of the readers.
    pub fn exclude_pause(&mut self, now: Instant, pause: Duration) {
        for at in [&mut self.updated_at, &mut self.preceded_at] {
            *at = at.map(|at| (at + pause).min(now));
        }
    }

    /// Reports whether an update arrived lately.
    #[must_use]
    pub fn is_fed(&self, now: Instant) -> bool {
        self.updated_at
            .is_some_and(|at| now.saturating_duration_since(at) < SILENCE_TIMEOUT)
    }

    /// Returns from when on this host reads the source; `None` if at once. `rank` is
    /// the number of reachable hosts before this one.
    #[must_use]
    pub fn reads_from(&self, rank: usize) -> Option<Instant> {
        if rank < READERS {
            return None;
        }
        let behind = u32::try_from(rank - READERS).unwrap_or(u32::MAX);
        let wait = SILENCE_TIMEOUT + RANK_DELAY.saturating_mul(behind);
        self.preceded_at.map(|at| at + wait)
    }
}

/// Returns the number of hosts that precede a host in the order of readers.
pub fn reader_rank(own_addr: SocketAddr, peers: impl IntoIterator<Item = SocketAddr>) -> usize {
    let own = order_key(own_addr);
    let before = peers.into_iter().filter(|peer| order_key(*peer) < own);
    before.count()
}

/// Orders hosts by their addresses at random, but the same on all hosts.
pub(crate) fn order_key(addr: SocketAddr) -> u64 {
    match addr {
        SocketAddr::V4(addr) => xxh3_64_with_seed(&addr.ip().octets(), addr.port().into()),
        SocketAddr::V6(addr) => xxh3_64_with_seed(&addr.ip().octets(), addr.port().into()),
    }
}
