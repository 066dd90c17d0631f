//! How far a client is behind the pace that it must keep for what it holds.

use std::time::{Duration, Instant};

/// The time in which a client should send or take as many bytes as it holds.
const TURNOVER_TIME: Duration = Duration::from_secs(30);
/// What a client counts as holding at least.
const MIN_HELD_BYTES: usize = 64 * 1024;

/// The time by which a client is late. It runs while the client is awaited, and each byte
/// that it sends or takes reduces it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pace {
    /// The delay when it was last updated.
    delay: Duration,
    /// Since when the client is awaited.
    awaited_since: Option<Instant>,
}

impl Pace {
    /// Begins or ceases to wait for the client.
    pub(crate) fn set_awaited(&mut self, now: Instant, is_awaited: bool) {
        self.delay = self.delay(now);
        self.awaited_since = is_awaited.then_some(now);
    }

    /// Records that the client has sent or taken bytes.
    pub(crate) fn record_progress(&mut self, now: Instant, bytes: usize, held_bytes: usize) {
        let held_bytes = held_bytes.max(MIN_HELD_BYTES);
        let earned = TURNOVER_TIME.mul_f64(bytes as f64 / held_bytes as f64);
        self.delay = self.delay(now).saturating_sub(earned);
        self.awaited_since = self.awaited_since.map(|_| now);
    }

    /// Forgets a delay, as the client owes nothing more.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns by how much the client is late.
    pub(crate) fn delay(&self, now: Instant) -> Duration {
        let awaited = self.awaited_since;
        self.delay + awaited.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns whether the client is awaited.
    pub(crate) fn is_awaited(&self) -> bool {
        self.awaited_since.is_some()
    }
}
