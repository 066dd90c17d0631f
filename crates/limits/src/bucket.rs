//! A token bucket whose rate and capacity change as parts of them are lent.

use std::time::Instant;

/// Billionths of a token in a token.
pub const NANOS_PER_TOKEN: u64 = 1_000_000_000;
/// Billionths of a token in a thousandth of a token.
const NANOS_PER_MILLI: u64 = 1_000_000;
/// Divides thousandths per second times nanoseconds into billionths of a token.
const NANOS_PER_RATE_NANO: u128 = 1000;

/// A token bucket.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    tokens_nanos: u64,
    capacity_nanos: u64,
    rate_millis_per_s: u64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates an empty bucket without capacity or rate.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens_nanos: 0,
            capacity_nanos: 0,
            rate_millis_per_s: 0,
            refilled_at: now,
        }
    }

    /// Adds the refill up to `now`.
    pub fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let refill = u128::from(self.rate_millis_per_s) * elapsed.as_nanos() / NANOS_PER_RATE_NANO;
        let refill = u64::try_from(refill).unwrap_or(u64::MAX);
        self.tokens_nanos = self
            .tokens_nanos
            .saturating_add(refill)
            .min(self.capacity_nanos);
    }

    /// Restarts the refill at `now`; the time before adds no tokens.
    pub fn restart_refill(&mut self, now: Instant) {
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, now: Instant, rate_millis_per_s: u64) {
        self.refill(now);
        self.rate_millis_per_s = rate_millis_per_s;
    }

    /// Changes the capacity from `now` on; tokens beyond it are lost.
    pub fn set_capacity(&mut self, now: Instant, capacity_millis: u64) {
        self.refill(now);
        self.capacity_nanos = capacity_millis.saturating_mul(NANOS_PER_MILLI);
        self.tokens_nanos = self.tokens_nanos.min(self.capacity_nanos);
    }

    /// Adds tokens up to the capacity.
    pub fn add(&mut self, tokens_millis: u64) {
        let added = tokens_millis.saturating_mul(NANOS_PER_MILLI);
        self.tokens_nanos = self
            .tokens_nanos
            .saturating_add(added)
            .min(self.capacity_nanos);
    }

    /// Removes up to this many tokens and returns how many were there.
    pub fn remove(&mut self, tokens_millis: u64) -> u64 {
        let removed = tokens_millis.min(self.tokens_millis());
        self.tokens_nanos -= removed * NANOS_PER_MILLI;
        removed
    }

    /// Takes up to `needed_nanos` billionths of a token and returns how many
    /// are still needed.
    pub fn take_up_to(&mut self, needed_nanos: u64) -> u64 {
        let taken = needed_nanos.min(self.tokens_nanos);
        self.tokens_nanos -= taken;
        needed_nanos - taken
    }

    /// Removes all tokens and sets capacity and rate to zero.
    pub fn clear(&mut self, now: Instant) {
        *self = Self::new(self.refilled_at.max(now));
    }

    /// Returns the tokens as of the last refill, rounded down to thousandths.
    #[must_use]
    pub fn tokens_millis(&self) -> u64 {
        self.tokens_nanos / NANOS_PER_MILLI
    }

    /// Returns the tokens as of the last refill, in billionths.
    #[must_use]
    pub fn tokens_nanos(&self) -> u64 {
        self.tokens_nanos
    }

    /// Returns the capacity.
    #[must_use]
    pub fn capacity_millis(&self) -> u64 {
        self.capacity_nanos / NANOS_PER_MILLI
    }

    /// Returns the rate.
    #[must_use]
    pub fn rate_millis_per_s(&self) -> u64 {
        self.rate_millis_per_s
    }
}
