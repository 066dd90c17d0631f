//! Keeps the instances of a service in use while many requests are refused.
//!
//! A suspect gets no request that cannot be retried, so a service without retryable ones
//! leaves an instance idle for seconds after it has recovered, and one that was never used
//! until others are busy. That is the better choice as long as the others serve nearly all
//! requests. While many are refused and few instances are in use, idle ones get trials.

use std::time::{Duration, Instant};

/// The time constant of the counts: that within which instances must be in use.
const COUNT_DECAY_TIME: Duration = Duration::from_secs(2);
/// Requests that are assumed not to be refused before the first ones, so that few requests
/// do not make a large share.
const ASSUMED_REQUESTS: f64 = 4.0;
/// The share of refused requests from which idle instances get trials: a tenth of requests
/// that are not served, less those that usually fail.
const MAX_REFUSED_SHARE: f64 = 0.06;
/// The share of the instances that are to be in use then: a little more than the seven in
/// ten healthy ones that users ask for, since some of those in use are unhealthy.
const MIN_SHARE_IN_USE: f64 = 0.75;

/// Events of the last seconds; older ones count less.
#[derive(Debug, Clone, Copy, Default)]
struct RecentCount {
    count: f64,
    at: Option<Instant>,
}

impl RecentCount {
    fn add(&mut self, now: Instant) {
        self.count = self.get(now) + 1.0;
        self.at = Some(now);
    }

    fn get(&self, now: Instant) -> f64 {
        let age = self.at.map(|at| now.saturating_duration_since(at));
        let age_s = age.unwrap_or_default().as_secs_f64();
        self.count * (-age_s / COUNT_DECAY_TIME.as_secs_f64()).exp()
    }
}

/// The share of the requests at this host that it lately refused.
#[derive(Debug, Default)]
pub struct RefusalMonitor {
    requests: RecentCount,
    refused: RecentCount,
}

impl RefusalMonitor {
    /// Records a request that was refused or sent to an instance.
    pub fn record(&mut self, now: Instant, is_refused: bool) {
        self.requests.add(now);
        if is_refused {
            self.refused.add(now);
        }
    }

    /// Returns the share of requests that were refused.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        self.refused.get(now) / (self.requests.get(now) + ASSUMED_REQUESTS)
    }
}

/// The use of a service's instances by all hosts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceUsage {
    /// The instances that may get requests.
    pub(crate) ready: usize,
    /// Those that lately got one.
    pub(crate) in_use: usize,
}

impl ServiceUsage {
    /// Reports whether idle instances should get trials.
    pub(crate) fn needs_trials(&self, refused_share: f64) -> bool {
        let min_in_use = MIN_SHARE_IN_USE * self.ready as f64;
        refused_share >= MAX_REFUSED_SHARE && (self.in_use as f64) < min_in_use
    }
}
