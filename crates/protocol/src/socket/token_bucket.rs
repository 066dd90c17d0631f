//! The rate limit on the bytes that one host sends to its peers.

use std::sync::Arc;
use std::time::Instant;

use waxwingusher_core::Clock;

use crate::message::MessageKind;

// The part of the burst that is reserved for loans and attempts, which are more
// urgent than the other kinds.
const RESERVE_PERCENT: f64 = 25.0;
const FULL_PERCENT: f64 = 100.0;

/// A token bucket of bytes.
pub struct ByteTokenBucket {
    clock: Arc<dyn Clock>,
    bytes_per_s: f64,
    burst_bytes: f64,
    available_bytes: f64,
    refilled_at: Instant,
}

/// Whether a datagram may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may; its bytes have been taken.
    Granted,
    /// The rate limit is reached; nothing was taken.
    RateLimited,
}

impl ByteTokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, bytes_per_s: u32, burst_bytes: u32) -> Self {
        let refilled_at = clock.now();
        Self {
            clock,
            bytes_per_s: f64::from(bytes_per_s),
            burst_bytes: f64::from(burst_bytes),
            available_bytes: f64::from(burst_bytes),
            refilled_at,
        }
    }

    /// Takes the bytes of a datagram if the bucket holds enough.
    pub fn try_take(&mut self, kind: MessageKind, len_bytes: usize) -> Admission {
        self.refill();
        let wanted_bytes = len_bytes as f64;
        if self.available_bytes - wanted_bytes < self.reserve_bytes(kind) {
            return Admission::RateLimited;
        }
        self.available_bytes -= wanted_bytes;
        Admission::Granted
    }

    fn refill(&mut self) {
        let now = self.clock.now();
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let refilled = self.available_bytes + elapsed.as_secs_f64() * self.bytes_per_s;
        self.available_bytes = refilled.min(self.burst_bytes);
    }

    fn reserve_bytes(&self, kind: MessageKind) -> f64 {
        match kind {
            MessageKind::Loan | MessageKind::Attempt => 0.0,
            MessageKind::Health | MessageKind::Gossip | MessageKind::Config => {
                self.burst_bytes * RESERVE_PERCENT / FULL_PERCENT
            }
        }
    }
}
