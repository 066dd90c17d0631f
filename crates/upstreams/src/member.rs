//! One host's state of one instance, from its own requests.

use std::time::{Duration, Instant};

use waxwingusher_config::{Instance, InstanceState};
use waxwingusher_core::InstanceId;
use waxwingusher_protocol::health::{FailureKind, InstanceKey};

use crate::choice::{Blame, UpstreamResult};
use crate::settings::{DRAIN_DEFERRAL, UpstreamSettings};

const LIMIT_DECREASE_FACTOR: f64 = 0.7;
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
const FAILURES_TO_AVOID: u32 = 3;
const INITIAL_AVOIDANCE: Duration = Duration::from_secs(2);
const MAX_AVOIDANCE: Duration = Duration::from_secs(30);
const REPORTED_LOAD_MAX_AGE: Duration = Duration::from_millis(500);
const UNHEALTHY_HINT_TERM: Duration = Duration::from_secs(10);
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;
const INITIAL_CAPACITY_SHARE: f64 = 0.2;

/// Whether an instance takes requests, apart from ejections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Availability {
    /// The instance takes requests.
    Ready,
    /// The instance is new and starts slowly.
    Cold,
    /// The instance is leaving or draining, and is a last resort for a while.
    Closing,
    /// The instance is leaving or draining, and takes no new requests.
    Closed,
}

/// One host's state of one instance.
#[derive(Debug)]
pub struct Member {
    /// The configured instance.
    pub instance: Instance,
    /// The short hash of its name, which messages use as its key.
    pub key: InstanceKey,
    /// This host's requests in flight.
    pub in_flight: u32,
    /// When the next trial may start.
    pub next_trial_at: Instant,
    /// Until when one request is wanted there as a cross-check.
    pub cross_check_until: Option<Instant>,
    limit: f64,
    backoff_until: Instant,
    backoff: Duration,
    consecutive_failures: u32,
    avoid_until: Instant,
    avoidance: Duration,
    leaving_since: Option<Instant>,
    removed_since: Option<Instant>,
    draining: Option<(Instant, Instant)>,
    cold: Option<(Instant, Instant)>,
    slow_start: Option<(Instant, Instant)>,
    load: Option<(u32, Instant)>,
    unhealthy_until: Instant,
    latency_s: Option<f64>,
}

impl Member {
    /// Creates the state of a configured instance.
    #[must_use]
    pub fn new(instance: Instance, now: Instant, cold_term: Option<Duration>) -> Self {
        let mut member = Self {
            key: InstanceKey::of(&instance.id),
            in_flight: 0,
            next_trial_at: now,
            cross_check_until: None,
            limit: f64::from(instance.slots.max(1)),
            backoff_until: now,
            backoff: INITIAL_BACKOFF,
            consecutive_failures: 0,
            avoid_until: now,
            avoidance: INITIAL_AVOIDANCE,
            leaving_since: None,
            removed_since: None,
            draining: None,
            cold: cold_term.map(|term| (now, now + term)),
            slow_start: None,
            load: None,
            unhealthy_until: now,
            latency_s: None,
            instance: instance.clone(),
        };
        member.configure(instance, now);
        member
    }

    /// Applies a new configuration of the same instance.
    pub fn configure(&mut self, instance: Instance, now: Instant) {
        self.removed_since = None;
        self.leaving_since = match instance.state {
            InstanceState::Live => None,
            InstanceState::Leaving => self.leaving_since.or(Some(now)),
        };
        if instance.slots != self.instance.slots {
            self.limit = f64::from(instance.slots.max(1));
        }
        self.instance = instance;
    }

    /// Starts to close an instance that the configuration no longer lists.
    pub fn remove(&mut self, now: Instant) {
        self.instance.state = InstanceState::Leaving;
        self.leaving_since = self.leaving_since.or(Some(now));
        self.removed_since = self.removed_since.or(Some(now));
    }

    /// Reports whether the instance was removed so long ago that every host has
    /// learned of it.
    #[must_use]
    pub fn is_removal_complete(&self, now: Instant) -> bool {
        self.removed_since
            .is_some_and(|since| now >= since + DRAIN_DEFERRAL)
    }

    /// Returns the instance's identity.
    #[must_use]
    pub fn id(&self) -> &InstanceId {
        &self.instance.id
    }

    /// Returns whether the instance takes requests, apart from ejections.
    #[must_use]
    pub fn availability(&self, now: Instant) -> Availability {
        let draining = self.draining.filter(|(_, until)| now < *until);
        let closing_since = match (self.leaving_since, draining.map(|(since, _)| since)) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        if let Some(since) = closing_since {
            return if now >= since + DRAIN_DEFERRAL {
                Availability::Closed
            } else {
                Availability::Closing
            };
        }
        if self.cold.is_some_and(|(_, until)| now < until) {
            return Availability::Cold;
        }
        Availability::Ready
    }

    /// Begins the slow start of a returned instance, and ends its avoidance.
    pub fn begin_slow_start(&mut self, now: Instant, term: Duration) {
        self.slow_start = Some((now, now + term));
        self.consecutive_failures = 0;
        self.avoid_until = now;
        self.avoidance = INITIAL_AVOIDANCE;
    }

    /// Ends the slow start of a returned instance.
    pub fn end_slow_start(&mut self) {
        self.slow_start = None;
    }

    /// Reports whether this host backs off from the instance now.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant) -> bool {
        now < self.backoff_until
    }

    /// Returns how long this host still backs off from the instance.
    #[must_use]
    pub fn backoff_left(&self, now: Instant) -> Duration {
        self.backoff_until.saturating_duration_since(now)
    }

    /// Reports whether this host avoids the instance after consecutive failures, or
    /// as its health endpoint failed.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        now < self.avoid_until || now < self.unhealthy_until
    }

    /// Reports whether one more request fits under the limit.
    #[must_use]
    pub fn has_room(&self, now: Instant) -> bool {
        f64::from(self.in_flight + 1) <= (self.limit * self.capacity_share(now)).max(1.0)
    }

    /// Returns the concurrency limit of this host at the instance.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the load as a share of the slots: this host's requests in flight, or
    /// the load in the instance's latest answer if that is higher and recent.
    #[must_use]
    pub fn load(&self, now: Instant, uses_reported_load: bool) -> f64 {
        let own = f64::from(self.in_flight);
        let reported = self
            .load
            .filter(|(_, at)| {
                uses_reported_load && now.saturating_duration_since(*at) < REPORTED_LOAD_MAX_AGE
            })
            .map_or(0.0, |(load, at)| {
                let age = now.saturating_duration_since(at).as_secs_f64();
                f64::from(load) * (1.0 - age / REPORTED_LOAD_MAX_AGE.as_secs_f64())
            });
        let load = own.max(reported) / self.capacity_share(now);
        load / f64::from(self.instance.slots.max(1))
    }

    /// Returns the smoothed latency in seconds.
    #[must_use]
    pub fn latency_s(&self) -> Option<f64> {
        self.latency_s
    }

    /// Records the result of a request, and returns the outcome if it concerns the
    /// instance.
    pub fn on_result(
        &mut self,
        result: UpstreamResult,
        settings: &UpstreamSettings,
        jitter: f64,
        now: Instant,
    ) -> Option<Result<Duration, FailureKind>> {
        match result {
            UpstreamResult::Success { latency, load } => {
                self.on_success(latency, load, now);
                Some(Ok(latency))
            }
            UpstreamResult::ErrorStatus => Some(Err(FailureKind::Instance)),
            UpstreamResult::Timeout => {
                self.on_overload();
                Some(Err(FailureKind::Path))
            }
            UpstreamResult::ConnectFailure => Some(Err(FailureKind::Path)),
            UpstreamResult::ConnectionLost { blame } => {
                (blame == Blame::Instance).then_some(Err(FailureKind::Instance))
            }
            UpstreamResult::Shed { retry_after } => {
                self.on_shed(retry_after, jitter, now);
                None
            }
            UpstreamResult::Draining => {
                self.on_draining(now, settings.drain_term);
                None
            }
            UpstreamResult::Cancelled => None,
        }
    }

    fn on_success(&mut self, latency: Duration, load: Option<u32>, now: Instant) {
        self.consecutive_failures = 0;
        self.avoidance = INITIAL_AVOIDANCE;
        self.avoid_until = now;
        self.backoff = INITIAL_BACKOFF;
        let slots = f64::from(self.instance.slots.max(1));
        self.limit = (self.limit + 1.0 / self.limit).min(slots);
        let sample = latency.as_secs_f64();
        let known = self.latency_s.unwrap_or(sample);
        self.latency_s = Some(known + LATENCY_SAMPLE_WEIGHT * (sample - known));
        if let Some(load) = load {
            self.hint_load(load, now);
        }
    }

    /// Records a failed request, and reports whether the host begins to avoid the
    /// instance.
    pub fn on_failure(&mut self, now: Instant) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_AVOID || now < self.avoid_until {
            return false;
        }
        self.avoid_until = now + self.avoidance;
        self.avoidance = (self.avoidance * 2).min(MAX_AVOIDANCE);
        true
    }

    /// Lowers the concurrency limit after a shed or timed-out request.
    fn on_overload(&mut self) {
        self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(1.0);
    }

    /// Backs off after a shed request.
    fn on_shed(&mut self, retry_after: Option<Duration>, jitter: f64, now: Instant) {
        self.on_overload();
        let term = retry_after
            .unwrap_or(self.backoff)
            .min(MAX_BACKOFF)
            .mul_f64(1.0 + jitter / 2.0);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.backoff_until = self.backoff_until.max(now + term);
    }

    /// Records that the instance refused a request as it is draining.
    fn on_draining(&mut self, now: Instant, term: Duration) {
        let since = self
            .draining
            .filter(|(_, until)| now < *until)
            .map_or(now, |(since, _)| since);
        self.draining = Some((since, now + term));
    }

    /// Records the load from the load endpoint or an answer, at most the slots.
    pub fn hint_load(&mut self, load: u32, now: Instant) {
        self.load = Some((load.min(self.instance.slots), now));
    }

    /// Records the result of the health endpoint.
    pub fn hint_health(&mut self, is_healthy: bool, now: Instant) {
        self.unhealthy_until = if is_healthy {
            now
        } else {
            now + UNHEALTHY_HINT_TERM
        };
    }

    fn capacity_share(&self, now: Instant) -> f64 {
        let ramp = self.cold.or(self.slow_start);
        let Some((since, until)) = ramp.filter(|(_, until)| now < *until) else {
            return 1.0;
        };
        let age = now.saturating_duration_since(since).as_secs_f64();
        let term = until.saturating_duration_since(since).as_secs_f64();
        INITIAL_CAPACITY_SHARE + (1.0 - INITIAL_CAPACITY_SHARE) * (age / term).min(1.0)
    }
}
