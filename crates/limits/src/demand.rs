//! An estimate of how many requests arrive each second.

use std::time::{Duration, Instant};

/// The time constant of the estimate.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// An exponentially weighted rate of arrivals.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    per_s: f64,
    estimated_at: Instant,
    last_arrival: Instant,
}

impl Demand {
    /// Creates an estimate of no demand.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            per_s: 0.0,
            estimated_at: now,
            last_arrival: now,
        }
    }

    /// Counts one arrival.
    pub fn record(&mut self, now: Instant) {
        self.per_s = self.per_s(now) + 1.0 / TIME_CONSTANT.as_secs_f64();
        self.estimated_at = now;
        self.last_arrival = now;
    }

    /// Returns the estimate in requests a second.
    #[must_use]
    pub fn per_s(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.estimated_at);
        self.per_s * (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the time since the last arrival.
    #[must_use]
    pub fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_arrival)
    }
}
