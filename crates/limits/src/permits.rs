//! Permits for requests to instances that limit the requests of all hosts together.
//!
//! One host issues the permits of an instance for the whole fleet, from a token bucket
//! with the rate that the instance names. A host that cannot reach its peers issues its
//! own permits, for a part of the rate, so that the parts of a partitioned fleet
//! together stay near it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use waxwingusher_core::InstanceId;

use crate::replicated::FleetView;

/// The permits that may be saved up, in seconds of the rate.
const BURST_S: f64 = 0.25;
/// The same at least, so that the requests that come just after a pause use it.
const MIN_BURST: f64 = 2.0;
/// How long a small part of the fleet keeps a saved permit, in intervals of the whole
/// fleet. Otherwise each of many parts could save one, and use it at the same time.
const SAVED_PERMIT_INTERVALS: f64 = 2.0;
/// The permits ahead of a denied host are at most so many, as some hosts do not use
/// theirs.
const MAX_PERMITS_AHEAD: f64 = 4.0;
/// The shortest and the longest time after which a denied host asks again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(5);
const MAX_RETRY_AFTER_S: f64 = 10.0;

/// No permit is left for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no permit is left; next one in {retry_after:?}")]
pub struct PermitDenied {
    /// When to ask again.
    pub retry_after: Duration,
}

/// The permits that one host issues.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    buckets: HashMap<InstanceId, PermitBucket>,
}

#[derive(Debug)]
struct PermitBucket {
    permits: f64,
    refilled_at: Instant,
    /// When the host that was denied last may ask again.
    last_retry_at: Instant,
}

impl PermitIssuer {
    /// Issues a permit for one request to an instance that takes `rate_per_s` requests
    /// from all hosts together.
    ///
    /// # Errors
    ///
    /// Returns when to ask again if no permit is left.
    pub fn issue(
        &mut self,
        now: Instant,
        id: &InstanceId,
        rate_per_s: f64,
        view: FleetView,
        rng: &mut fastrand::Rng,
    ) -> Result<(), PermitDenied> {
        let bucket = self.buckets.entry(id.clone());
        // Another host may have issued permits until now, and hosts that are all alone
        // must not get their permits at the same time.
        let bucket = bucket.or_insert_with(|| PermitBucket {
            permits: rng.f64(),
            refilled_at: now,
            last_retry_at: now,
        });
        let share = view.reachable_share();
        bucket.refill(now, rate_per_s, share);
        if bucket.permits >= 1.0 {
            bucket.permits -= 1.0;
            return Ok(());
        }
        let refill_per_s = (rate_per_s * share).max(f64::MIN_POSITIVE);
        Err(bucket.schedule_retry(now, refill_per_s))
    }

    /// Removes the permits of instances for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&InstanceId) -> bool) {
        self.buckets.retain(|id, _| keep(id));
    }
}

impl PermitBucket {
    fn refill(&mut self, now: Instant, rate_per_s: f64, share: f64) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.permits += rate_per_s * share * elapsed.as_secs_f64();
        let capacity = (rate_per_s * BURST_S).max(MIN_BURST) * share;
        if capacity >= 1.0 || share > 0.5 {
            self.permits = self.permits.min(capacity.max(1.0));
            return;
        }
        let expires_at = 1.0 + SAVED_PERMIT_INTERVALS * share;
        if self.permits >= expires_at {
            self.permits %= expires_at;
        }
    }

    /// Spreads denied hosts over the coming permits.
    fn schedule_retry(&mut self, now: Instant, refill_per_s: f64) -> PermitDenied {
        let after = |permits: f64| {
            let time_s = (permits / refill_per_s).clamp(0.0, MAX_RETRY_AFTER_S);
            now + Duration::from_secs_f64(time_s)
        };
        let interval = after(1.0) - now;
        let earliest = after(1.0 - self.permits);
        let latest = after(MAX_PERMITS_AHEAD).max(earliest);
        self.last_retry_at = (self.last_retry_at + interval).clamp(earliest, latest);
        let retry_after = self.last_retry_at.saturating_duration_since(now);
        PermitDenied {
            retry_after: retry_after.max(MIN_RETRY_AFTER),
        }
    }
}
