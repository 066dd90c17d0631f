//! The byte budget of the failure detector.

use std::time::Instant;

const PUSH_SHARE: f64 = 0.5;
const LOW_PRIORITY_SHARE: f64 = 0.85;

/// A token bucket of bytes that may be overdrawn by answers.
#[derive(Debug)]
pub(super) struct GossipBudget {
    bytes_per_s: f64,
    burst_bytes: f64,
    available_bytes: f64,
    refilled_at: Instant,
}

impl GossipBudget {
    pub(super) fn new(bytes_per_s: u32, burst_bytes: u32, now: Instant) -> Self {
        Self {
            bytes_per_s: f64::from(bytes_per_s),
            burst_bytes: f64::from(burst_bytes),
            available_bytes: f64::from(burst_bytes),
            refilled_at: now,
        }
    }

    pub(super) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let refilled = self.available_bytes + elapsed.as_secs_f64() * self.bytes_per_s;
        self.available_bytes = refilled.min(self.burst_bytes);
    }

    pub(super) fn spend(&mut self, len_bytes: usize) {
        let spent = self.available_bytes - len_bytes as f64;
        self.available_bytes = spent.max(-self.burst_bytes);
    }

    /// Reports whether new messages may be started.
    pub(super) fn has_credit(&self) -> bool {
        self.available_bytes >= 0.0
    }

    /// Reports whether there is room for messages that carry only updates.
    pub(super) fn allows_push(&self) -> bool {
        self.available_bytes >= self.burst_bytes * PUSH_SHARE
    }

    /// Reports whether there is room for updates that can wait, with enough left
    /// for messages with urgent updates.
    pub(super) fn allows_low_priority(&self) -> bool {
        self.available_bytes >= self.burst_bytes * LOW_PRIORITY_SHARE
    }
}
