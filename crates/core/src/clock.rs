//! The clock interface, which lets tests and simulations run in virtual time.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic and wall-clock time.
///
/// `now` never goes backwards. On Linux it does not advance while the whole
/// machine is suspended, so every lease also compares [`Clock::wall`] before it
/// relies on a right that it has held for long.
pub trait Clock: Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which may be stepped in either direction.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clocks.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that advances only through [`ManualClock::advance`].
#[derive(Debug, Clone)]
pub struct ManualClock {
    base: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Creates a clock that starts at an arbitrary instant.
    #[must_use]
    pub fn new() -> Self {
        Self {
            base: Instant::now(),
            elapsed: Arc::new(Mutex::new(Duration::ZERO)),
        }
    }

    /// Creates a second clock at the same instant that then advances
    /// independently.
    #[must_use]
    pub fn fork(&self) -> Self {
        Self {
            base: self.base,
            elapsed: Arc::new(Mutex::new(self.elapsed())),
        }
    }

    /// Advances the clock and all its clones.
    pub fn advance(&self, step: Duration) {
        let mut elapsed = self.elapsed.lock().unwrap_or_else(PoisonError::into_inner);
        *elapsed += step;
    }

    /// Returns the time since the clock was created.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.base + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
