//! Instants that also notice a suspended machine.

use std::time::{Duration, Instant, SystemTime};

use waxwingusher_core::Clock;

/// A moment by both clocks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stamp {
    monotonic: Instant,
    wall: SystemTime,
}

impl Stamp {
    pub(crate) fn now(clock: &dyn Clock) -> Self {
        Self {
            monotonic: clock.now(),
            wall: clock.wall(),
        }
    }

    pub(crate) const fn monotonic(&self) -> Instant {
        self.monotonic
    }

    /// Returns the time since the stamp by the clock that has moved further.
    /// The monotonic clock stands while a machine is suspended, so a lease
    /// must be measured by this.
    pub(crate) fn longest_age(&self, clock: &dyn Clock) -> Duration {
        let wall = clock.wall().duration_since(self.wall).unwrap_or_default();
        self.shortest_age(clock).max(wall)
    }

    /// Returns the time since the stamp by the monotonic clock. Memory must be
    /// kept by this.
    pub(crate) fn shortest_age(&self, clock: &dyn Clock) -> Duration {
        clock.now().saturating_duration_since(self.monotonic)
    }
}
