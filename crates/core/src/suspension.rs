//! Notices that the machine was suspended.

use std::time::{Duration, Instant, SystemTime};

use crate::clock::Clock;

/// How far the wall clock may run ahead of the monotonic one between two looks
/// before the machine counts as having been suspended.
const SLACK: Duration = Duration::from_secs(1);

/// Compares the clocks. The monotonic one stands while a machine is suspended,
/// so that rights which count on it last too long.
#[derive(Debug, Clone, Copy)]
pub struct SuspensionWatch {
    seen: Instant,
    seen_wall: SystemTime,
}

impl SuspensionWatch {
    /// Starts to watch.
    #[must_use]
    pub fn new(clock: &dyn Clock) -> Self {
        Self {
            seen: clock.now(),
            seen_wall: clock.wall(),
        }
    }

    /// Returns about how long the machine was suspended since the last look, if
    /// it was.
    pub fn look(&mut self, clock: &dyn Clock) -> Option<Duration> {
        let (now, wall) = (clock.now(), clock.wall());
        let counted = now.saturating_duration_since(self.seen);
        let passed = wall.duration_since(self.seen_wall).unwrap_or_default();
        (self.seen, self.seen_wall) = (now, wall);
        (passed > counted + SLACK).then_some(passed)
    }
}
