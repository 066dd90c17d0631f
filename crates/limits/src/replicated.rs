//! Fleet-wide rate limits with a replica of each workspace's whole token bucket
//! on every host.
//!
//! A host debits its replica for the requests that it admits and for those that
//! its peers report. The replicas differ by the reports still in transit, so a
//! bucket may fall below zero; later refills pay the debt. A host that does not
//! reach all of its peers refills in proportion to the reachable hosts, so that
//! the parts of a partitioned fleet together stay near the rate.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use waxwingusher_core::WorkspaceName;

/// How [`ReplicatedLimits`] uses the overshoot that a deployment tolerates.
#[derive(Debug, Clone, Copy)]
pub struct ReplicatedSettings {
    /// The refill beyond the rate, as a fraction of the rate. It compensates
    /// for the delay with which peers learn of refusals and must stay below
    /// the overshoot that the deployment tolerates.
    pub headroom: f64,
    /// The fraction of the burst that a new bucket holds. Hosts that start
    /// together must not each admit a whole burst.
    pub initial_burst_share: f64,
    /// The largest debt, in seconds of refill.
    pub max_debt_s: f64,
}

impl Default for ReplicatedSettings {
    fn default() -> Self {
        Self {
            headroom: 0.1,
            initial_burst_share: 0.25,
            max_debt_s: 3.0,
        }
    }
}

/// How much of the fleet a host reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetView {
    /// Hosts whose messages arrived lately, including this one.
    pub reachable_hosts: usize,
    /// All hosts that this one has ever learned of, including itself.
    pub known_hosts: usize,
}

impl FleetView {
    /// Returns the reachable fraction of the fleet, above 0 and at most 1.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "hosts are few")]
    pub fn reachable_share(self) -> f64 {
        let known = self.known_hosts.max(1);
        let reachable = self.reachable_hosts.clamp(1, known);
        reachable as f64 / known as f64
    }
}

/// A request is beyond its workspace's rate.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("the workspace is beyond its rate; next token in {retry_after:?}")]
pub struct OverRate {
    /// How long the caller should wait before a retry.
    pub retry_after: Duration,
    /// The tokens in this host's replica of the bucket; negative after overshoot.
    pub tokens: f64,
}

/// A request is within its workspace's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admitted {
    /// Whether the bucket is running low, so that the admissions should be
    /// reported to peers soon. Otherwise each host would admit a burst that
    /// arrives at all hosts at once until the next heartbeat.
    pub is_running_low: bool,
}

/// The requests of a workspace that a host has admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admissions {
    /// Requests since the host started.
    pub total: u32,
    /// Requests of the last one to two seconds.
    pub recent: u32,
}

/// The interval at which the window of [`Admissions::recent`] moves. Several
/// reports to peers fall within it, in case a message is lost.
const RECENT_STEP: Duration = Duration::from_secs(1);

/// The fraction of a bucket's capacity below which it is running low.
const RUNNING_LOW_SHARE: f64 = 0.75;

/// One host's replicas of all buckets.
#[derive(Debug)]
pub struct ReplicatedLimits {
    settings: ReplicatedSettings,
    buckets: HashMap<WorkspaceName, FleetBucket>,
}

/// A replica of a workspace's bucket.
#[derive(Debug)]
struct FleetBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
    /// The retry time given to the last refused caller.
    last_retry_at: Instant,
    /// Requests that this host has admitted since it started.
    admitted: u32,
    /// The value of `admitted` at the last two steps, the later one first.
    admitted_at_steps: [u32; 2],
    recent_step_at: Instant,
}

impl ReplicatedLimits {
    /// Creates an instance that knows no workspace.
    #[must_use]
    pub fn new(settings: ReplicatedSettings) -> Self {
        Self {
            settings,
            buckets: HashMap::new(),
        }
    }

    /// Sets a workspace's rate and burst. A rate of 0 means no limit.
    pub fn set_limit(&mut self, now: Instant, name: &WorkspaceName, rate_per_s: f64, burst: f64) {
        let capacity = burst.max(1.0);
        let initial = (capacity * self.settings.initial_burst_share).max(1.0);
        let bucket = self.buckets.entry(name.clone());
        let bucket = bucket.or_insert_with(|| FleetBucket {
            rate_per_s,
            burst: capacity,
            tokens: initial,
            refilled_at: now,
            last_retry_at: now,
            admitted: 0,
            admitted_at_steps: [0; 2],
            recent_step_at: now,
        });
        bucket.rate_per_s = rate_per_s;
        bucket.burst = capacity;
        bucket.tokens = bucket.tokens.min(capacity);
    }

    /// Removes the workspaces for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceName) -> bool) {
        self.buckets.retain(|name, _| keep(name));
    }

    /// Excludes a pause of this process from the refill, because the peers have
    /// already used those tokens.
    pub fn exclude_pause(&mut self, now: Instant, pause: Duration) {
        for bucket in self.buckets.values_mut() {
            bucket.refilled_at = (bucket.refilled_at + pause).min(now);
        }
    }

    /// Takes a token for a request.
    ///
    /// # Errors
    ///
    /// Returns when to retry if there is no token.
    pub fn admit(
        &mut self,
        now: Instant,
        name: &WorkspaceName,
        view: FleetView,
    ) -> Result<Admitted, OverRate> {
        let settings = self.settings;
        let unlimited = Admitted {
            is_running_low: false,
        };
        let Some(bucket) = self.buckets.get_mut(name) else {
            return Ok(unlimited);
        };
        bucket.update_recent(now);
        if bucket.rate_per_s <= 0.0 {
            bucket.admitted = bucket.admitted.wrapping_add(1);
            return Ok(unlimited);
        }
        bucket.refill(now, &settings, view);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            bucket.admitted = bucket.admitted.wrapping_add(1);
            return Ok(Admitted {
                is_running_low: bucket.tokens
                    < bucket.capacity(&settings, view) * RUNNING_LOW_SHARE,
            });
        }
        Err(bucket.schedule_retry(now, &settings, view))
    }

    /// Returns the token of a request that was not sent to any instance.
    pub fn refund(&mut self, name: &WorkspaceName) {
        let Some(bucket) = self.buckets.get_mut(name) else {
            return;
        };
        bucket.tokens = (bucket.tokens + 1.0).min(bucket.burst);
        bucket.admitted = bucket.admitted.wrapping_sub(1);
    }

    /// Removes the tokens of requests that a peer has admitted.
    pub fn debit(&mut self, now: Instant, name: &WorkspaceName, count: u32, view: FleetView) {
        let settings = self.settings;
        let Some(bucket) = self.buckets.get_mut(name) else {
            return;
        };
        bucket.refill(now, &settings, view);
        let floor = -bucket.rate_per_s * settings.max_debt_s - bucket.burst;
        bucket.tokens = (bucket.tokens - f64::from(count)).max(floor);
    }

    /// Returns this host's admissions for each workspace.
    pub fn admitted(&mut self, now: Instant) -> impl Iterator<Item = (&WorkspaceName, Admissions)> {
        let buckets = self.buckets.iter_mut();
        buckets.map(move |(name, bucket)| {
            bucket.update_recent(now);
            (name, bucket.admissions())
        })
    }
}

impl FleetBucket {
    /// Moves the window of [`Admissions::recent`] on to `now`.
    fn update_recent(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.recent_step_at);
        if age < RECENT_STEP {
            return;
        }
        let [last, _] = self.admitted_at_steps;
        let before = if age < 2 * RECENT_STEP {
            last
        } else {
            self.admitted
        };
        self.admitted_at_steps = [self.admitted, before];
        self.recent_step_at = now;
    }

    fn admissions(&self) -> Admissions {
        let [_, before] = self.admitted_at_steps;
        // Refunds may exceed the admissions since that step.
        Admissions {
            total: self.admitted,
            recent: self.admitted.saturating_sub(before),
        }
    }

    fn refill(&mut self, now: Instant, settings: &ReplicatedSettings, view: FleetView) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let refilled = self.refill_per_s(settings, view) * elapsed.as_secs_f64();
        self.tokens = (self.tokens + refilled).min(self.capacity(settings, view));
    }

    fn refill_per_s(&self, settings: &ReplicatedSettings, view: FleetView) -> f64 {
        self.rate_per_s * (1.0 + settings.headroom) * view.reachable_share()
    }

    /// Returns the most tokens that the bucket may hold: the burst in proportion
    /// to the reachable hosts, but at least one token.
    fn capacity(&self, settings: &ReplicatedSettings, view: FleetView) -> f64 {
        let share = view.reachable_share() * (1.0 + settings.headroom);
        (self.burst * share.min(1.0)).max(1.0)
    }

    /// Spreads the retries of refused callers over the coming refills, of which
    /// this host admits its own part.
    fn schedule_retry(
        &mut self,
        now: Instant,
        settings: &ReplicatedSettings,
        view: FleetView,
    ) -> OverRate {
        let refill_per_s = self.refill_per_s(settings, view).max(f64::MIN_POSITIVE);
        let first_token =
            Duration::from_secs_f64(((1.0 - self.tokens) / refill_per_s).min(MAX_RETRY_AFTER_S));
        let hosts = u32::try_from(view.reachable_hosts.max(1)).unwrap_or(u32::MAX);
        let spacing =
            Duration::from_secs_f64((f64::from(hosts) / refill_per_s).min(MAX_RETRY_AFTER_S));
        let earliest = now + first_token;
        let latest = now + Duration::from_secs_f64(MAX_RETRY_AFTER_S);
        self.last_retry_at = (self.last_retry_at + spacing).clamp(earliest, latest.max(earliest));
        OverRate {
            retry_after: self.last_retry_at.saturating_duration_since(now),
            tokens: self.tokens,
        }
    }
}

/// The longest `retry_after`, in seconds; callers give up when they have to wait
/// longer.
const MAX_RETRY_AFTER_S: f64 = 5.0;
