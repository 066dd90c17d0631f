//! When a host that is behind its peers asks one of them for what it missed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_core::FeedPosition;

/// How long a change may be under way after a peer has applied it.
const GRACE: Duration = Duration::from_millis(50);
/// How long an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// The longest time between two requests.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// The peers ahead of this host that are remembered.
const MAX_PEERS_AHEAD: usize = 16;

/// Decides when to ask peers for missed changes.
#[derive(Debug, Default)]
pub struct GapRepair {
    ask_at: Option<Instant>,
    requests: u32,
    ahead: VecDeque<(SocketAddr, FeedPosition)>,
}

impl GapRepair {
    /// Records the position of a peer.
    pub fn record_position(&mut self, peer: SocketAddr, position: FeedPosition, own: FeedPosition) {
        self.ahead.retain(|(known, _)| *known != peer);
        if position <= own {
            return;
        }
        if self.ahead.len() >= MAX_PEERS_AHEAD {
            self.ahead.pop_front();
        }
        self.ahead.push_back((peer, position));
    }

    /// Returns the peers that are ahead of a position.
    #[must_use]
    pub fn peers_ahead(&self, own: FeedPosition) -> Vec<SocketAddr> {
        let ahead = self.ahead.iter();
        let ahead = ahead.filter(|(_, position)| *position > own);
        ahead.map(|(peer, _)| *peer).collect()
    }

    /// Schedules a request if this host is behind, and none otherwise. The delay is
    /// jittered, so that hosts which have missed the same change ask one after another.
    pub fn check(&mut self, now: Instant, is_behind: bool, rng: &mut fastrand::Rng) {
        if !is_behind {
            self.ask_at = None;
            self.requests = 0;
        } else if self.ask_at.is_none() {
            self.ask_at = Some(now + GRACE.mul_f64(1.0 + rng.f64()));
        }
    }

    /// Schedules a request at once.
    pub fn ask_now(&mut self, now: Instant) {
        self.ask_at = Some(now);
    }

    /// Records that an answer arrived. A peer answers a request in part if much is missing,
    /// so the next request is due soon if this host is still behind.
    pub fn record_progress(&mut self, now: Instant) {
        self.requests = 0;
        self.ask_at = Some(now + GRACE);
    }

    /// Returns when the next request is due.
    #[must_use]
    pub fn next_at(&self) -> Option<Instant> {
        self.ask_at
    }

    /// Reports whether a request is due, and schedules the next one.
    pub fn take_due(&mut self, now: Instant, rng: &mut fastrand::Rng) -> bool {
        if self.ask_at.is_none_or(|at| now < at) {
            return false;
        }
        let interval = ANSWER_TIMEOUT.saturating_mul(1 << self.requests.min(4));
        self.requests = self.requests.saturating_add(1);
        self.ask_at = Some(now + interval.min(MAX_INTERVAL).mul_f64(1.0 + 0.5 * rng.f64()));
        true
    }
}
