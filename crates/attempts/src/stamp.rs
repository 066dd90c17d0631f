//! Timestamps that also count the time for which the machine was suspended.

use std::time::{Duration, Instant, SystemTime};

use waxwingusher_core::Clock;

/// The time of the monotonic and of the wall clock.
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

    /// Returns the time since the stamp by the clock that advanced more. The
    /// monotonic clock does not advance while the machine is suspended, so the
    /// term of a lease must be measured by this.
    pub(crate) fn longest_age(&self, clock: &dyn Clock) -> Duration {
        let wall = clock.wall().duration_since(self.wall).unwrap_or_default();
        self.shortest_age(clock).max(wall)
    }

    /// Returns the time since the stamp by the monotonic clock. The retention of
    /// records must be measured by this.
    pub(crate) fn shortest_age(&self, clock: &dyn Clock) -> Duration {
        clock.now().saturating_duration_since(self.monotonic)
    }
}
