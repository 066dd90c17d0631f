//! Detection of suspensions of the whole machine.

use std::time::{Duration, Instant, SystemTime};

use crate::clock::Clock;

/// How far the wall clock may run ahead of the monotonic one between two checks
/// before the machine counts as having been suspended.
const MAX_CLOCK_DIVERGENCE: Duration = Duration::from_secs(1);

/// Detects suspensions by comparing the wall clock with the monotonic one.
///
/// The monotonic clock stops while a machine is suspended, so a lease that is
/// timed with it alone would last too long.
#[derive(Debug, Clone, Copy)]
pub struct SuspensionDetector {
    last_now: Instant,
    last_wall: SystemTime,
}

impl SuspensionDetector {
    /// Creates a detector whose first check covers the time from now.
    #[must_use]
    pub fn new(clock: &dyn Clock) -> Self {
        Self {
            last_now: clock.now(),
            last_wall: clock.wall(),
        }
    }

    /// Returns about how long the machine was suspended since the last check, if
    /// it was.
    pub fn check(&mut self, clock: &dyn Clock) -> Option<Duration> {
        let (now, wall) = (clock.now(), clock.wall());
        let monotonic_elapsed = now.saturating_duration_since(self.last_now);
        let wall_elapsed = wall.duration_since(self.last_wall).unwrap_or_default();
        (self.last_now, self.last_wall) = (now, wall);
        (wall_elapsed > monotonic_elapsed + MAX_CLOCK_DIVERGENCE).then_some(wall_elapsed)
    }
}
