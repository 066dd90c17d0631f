//! Sliding counters in two generations.

use std::time::{Duration, Instant};

/// Counters that cover between one and two spans of time.
#[derive(Debug, Clone)]
pub struct Generations<T> {
    span: Duration,
    started: Instant,
    current: T,
    previous: T,
}

impl<T: Default> Generations<T> {
    /// Creates empty counters.
    #[must_use]
    pub fn new(now: Instant, span: Duration) -> Self {
        Self {
            span,
            started: now,
            current: T::default(),
            previous: T::default(),
        }
    }

    /// Returns the current generation.
    pub fn current(&mut self, now: Instant) -> &mut T {
        self.rotate(now);
        &mut self.current
    }

    /// Returns both generations, the older one first.
    pub fn generations(&mut self, now: Instant) -> (&T, &T) {
        self.rotate(now);
        (&self.previous, &self.current)
    }

    /// Empties the counters and returns both generations.
    pub fn take(&mut self, now: Instant) -> (T, T) {
        self.rotate(now);
        (
            std::mem::take(&mut self.previous),
            std::mem::take(&mut self.current),
        )
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.started);
        if age < self.span {
            return;
        }
        let last = std::mem::take(&mut self.current);
        self.previous = if age < self.span * 2 {
            last
        } else {
            T::default()
        };
        self.started = now;
    }
}
