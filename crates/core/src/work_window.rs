//! Which work may still start while a host shuts down.

use std::time::{Duration, Instant};

/// How many times its usual duration must be left for work that may outlast the window, while
/// connections are still accepted.
const ACCEPTING_FACTOR: u32 = 2;
/// The same once no more are accepted. Callers whose requests arrive then use another host
/// for the next ones anyway.
const CLOSING_FACTOR: u32 = 3;
/// The share of the window that must also be left then.
const CLOSING_MIN_SHARE: f64 = 1.0 / 3.0;

/// The time from the beginning of a shutdown until the last answers are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkWindow {
    accept_until: Instant,
    ends_at: Instant,
    closing_min_time_left: Duration,
}

impl WorkWindow {
    /// Creates the window of a shutdown that takes `duration`, accepts connections until
    /// `accept_until`, and whose last answers are due at `ends_at`.
    #[must_use]
    pub fn new(duration: Duration, accept_until: Instant, ends_at: Instant) -> Self {
        Self {
            accept_until,
            ends_at,
            closing_min_time_left: duration.mul_f64(CLOSING_MIN_SHARE),
        }
    }

    /// Returns when the last connections are accepted.
    #[must_use]
    pub fn accept_until(&self) -> Instant {
        self.accept_until
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
        let (factor, min_time_left) = if now < self.accept_until {
            (ACCEPTING_FACTOR, Duration::ZERO)
        } else {
            (CLOSING_FACTOR, self.closing_min_time_left)
        };
        usual_duration.is_some_and(|usual_duration| {
            time_left >= min_time_left.max(usual_duration.saturating_mul(factor))
        })
    }
}
