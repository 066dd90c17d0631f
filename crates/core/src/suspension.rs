//! Detection of suspensions of the whole machine.

use std::time::{Duration, Instant, SystemTime};

use crate::clock::Clock;

/// How far the wall clock may run ahead of the monotonic one between two checks
/// before the machine counts as having been suspended.
const SLACK: Duration = Duration::from_secs(1);

/// Detects suspensions by comparing the wall clock with the monotonic one.
///
/// The monotonic clock stops while a machine is suspended, so a lease that is
/// timed with it alone would last too long.
#[derive(Debug, Clone, Copy)]
pub struct SuspensionWatch {
    seen: Instant,
    seen_wall: SystemTime,
}

impl SuspensionWatch {
    /// Creates a detector whose first check covers the time from now.
    #[must_use]
    pub fn new(clock: &dyn Clock) -> Self {
        Self {
            seen: clock.now(),
            seen_wall: clock.wall(),
        }
    }

    /// Returns about how long the machine was suspended since the last check, if
    /// it was.
    pub fn look(&mut self, clock: &dyn Clock) -> Option<Duration> {
        let (now, wall) = (clock.now(), clock.wall());
        let counted = now.saturating_duration_since(self.seen);
        let passed = wall.duration_since(self.seen_wall).unwrap_or_default();
        (self.seen, self.seen_wall) = (now, wall);
        (passed > counted + SLACK).then_some(passed)
    }
}
