//! Which work may still start while a host shuts down.

use std::time::{Duration, Instant};

/// The share of the window that must be left for work that may outlast it.
const MIN_TIME_LEFT_SHARE: f64 = 1.0 / 3.0;
/// How many times its usual duration must be left for work that may outlast the window.
const USUAL_DURATION_FACTOR: u32 = 3;

/// The time from the beginning of a shutdown until the last answers are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkWindow {
    ends_at: Instant,
    min_time_left: Duration,
}

impl WorkWindow {
    /// Creates the window of a shutdown that takes `duration` and whose last answers are due
    /// at `ends_at`.
    #[must_use]
    pub fn new(duration: Duration, ends_at: Instant) -> Self {
        Self {
            ends_at,
            min_time_left: duration.mul_f64(MIN_TIME_LEFT_SHARE),
        }
    }

    /// Returns when the last answers are due.
    #[must_use]
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Decides whether work may start. What must be over before the end may; what has a later
    /// deadline only if its usual duration is known and it is likely to be over before.
    #[must_use]
    pub fn allows(
        &self,
        now: Instant,
        deadline: Instant,
        usual_duration: Option<Duration>,
    ) -> bool {
        if deadline <= self.ends_at {
            return true;
        }
        let time_left = self.ends_at.saturating_duration_since(now);
        usual_duration.is_some_and(|usual_duration| {
            let likely_duration = usual_duration.saturating_mul(USUAL_DURATION_FACTOR);
            time_left >= self.min_time_left.max(likely_duration)
        })
    }
}
