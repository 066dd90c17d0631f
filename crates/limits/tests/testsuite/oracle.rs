//! A token bucket that counts every admitted request of the whole fleet.

use std::collections::HashMap;
use std::time::Duration;

use waxwingusher_config::RateLimit;
use waxwingusher_limits::LimitKey;

/// More than the floating-point error, far less than a token.
const EPSILON: f64 = 1e-6;

#[derive(Debug)]
struct Bucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    at: Duration,
    admitted: u64,
}

/// The bound that must hold for every limit and every window.
#[derive(Debug, Default)]
pub struct Oracle {
    buckets: HashMap<LimitKey, Bucket>,
}

impl Oracle {
    /// Sets a limit. While a change propagates, the caller passes the larger of
    /// both values.
    pub fn set_limit(&mut self, key: &LimitKey, limit: RateLimit, at: Duration) {
        let burst = f64::from(limit.burst);
        let bucket = self.buckets.entry(key.clone()).or_insert(Bucket {
            rate_per_s: 0.0,
            burst: 0.0,
            tokens: burst,
            at,
            admitted: 0,
        });
        bucket.refill(at);
        bucket.tokens += (burst - bucket.burst).max(0.0);
        bucket.tokens = bucket.tokens.min(burst);
        bucket.burst = burst;
        bucket.rate_per_s = limit.rate_millis_per_s as f64 / 1000.0;
    }

    /// Counts an admitted request and reports whether the bound holds.
    pub fn admit(&mut self, key: &LimitKey, at: Duration) -> bool {
        let Some(bucket) = self.buckets.get_mut(key) else {
            return false;
        };
        bucket.refill(at);
        bucket.tokens -= 1.0;
        bucket.admitted += 1;
        bucket.tokens >= -EPSILON
    }

    /// Returns how many requests have been admitted.
    pub fn admitted(&self, key: &LimitKey) -> u64 {
        self.buckets.get(key).map_or(0, |bucket| bucket.admitted)
    }
}

impl Bucket {
    fn refill(&mut self, at: Duration) {
        let elapsed = (at - self.at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate_per_s).min(self.burst);
        self.at = at;
    }
}
