//! An estimate of the arrival rate of requests.

use std::time::{Duration, Instant};

/// The time constant of the estimate that follows a surge or a lull.
const FAST_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// The time constant of the estimate that loans are sized by.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// The factor between the two estimates from which on a surge or a lull is
/// assumed.
const SURGE_FACTOR: f64 = 1.5;
/// The difference, in requests per second, that the estimates may show by chance.
const SURGE_OFFSET_PER_S: f64 = 1.0;

/// Exponentially weighted arrival rates.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    fast_per_s: f64,
    slow_per_s: f64,
    estimated_at: Instant,
    last_arrival: Instant,
}

impl Demand {
    /// Creates an estimate of no demand.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            fast_per_s: 0.0,
            slow_per_s: 0.0,
            estimated_at: now,
            last_arrival: now,
        }
    }

    /// Counts one arrival.
    pub fn record(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.estimated_at);
        self.fast_per_s = decayed(self.fast_per_s, elapsed, FAST_TIME_CONSTANT)
            + 1.0 / FAST_TIME_CONSTANT.as_secs_f64();
        self.slow_per_s = decayed(self.slow_per_s, elapsed, SLOW_TIME_CONSTANT)
            + 1.0 / SLOW_TIME_CONSTANT.as_secs_f64();
        self.estimated_at = now;
        self.last_arrival = now;
    }

    /// Returns the estimate in requests per second: the slow one, or the fast one
    /// during a surge or a lull.
    #[must_use]
    pub fn per_s(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.estimated_at);
        let fast = decayed(self.fast_per_s, elapsed, FAST_TIME_CONSTANT);
        let slow = decayed(self.slow_per_s, elapsed, SLOW_TIME_CONSTANT);
        let is_surge = fast > slow * SURGE_FACTOR + SURGE_OFFSET_PER_S;
        let is_lull = slow > fast * SURGE_FACTOR + SURGE_OFFSET_PER_S;
        if is_surge || is_lull { fast } else { slow }
    }

    /// Returns the time since the last arrival.
    #[must_use]
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_arrival)
    }
}

fn decayed(per_s: f64, elapsed: Duration, time_constant: Duration) -> f64 {
    per_s * (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
