//! Health estimates of instances from the outcomes of real requests.
//!
//! Every host sends few requests to each instance, so the estimates combine its
//! own outcomes with those that its peers report. An instance is healthy or
//! unhealthy and changes between the two at random while its health checks pass.
//! The probability that it is unhealthy follows from each success and failure by
//! Bayes' rule, and decays to that of an unknown instance over time.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_core::InstanceId;

use crate::rate_limit::{RateLimit, RateLimitChange};

/// The probability that an unknown instance is unhealthy: in the users' pools
/// about a quarter fail part of their requests at any time.
const UNKNOWN_RISK: f64 = 0.25;
/// The time constant with which a high risk returns to [`UNKNOWN_RISK`]: users
/// report that instances fail and recover within several seconds.
const RISK_DECAY_TIME: Duration = Duration::from_secs(4);
/// The same for a low risk. Instances start to fail less often than they recover.
const HEALTH_DECAY_TIME: Duration = Duration::from_secs(12);
/// The share of requests that an unhealthy instance fails.
const UNHEALTHY_FAILURE_SHARE: f64 = 0.8;
/// The share of requests that a healthy instance fails: some requests fail on
/// every instance.
const HEALTHY_FAILURE_SHARE: f64 = 0.02;
/// The bounds of the risk, so that later outcomes can still change it.
const MIN_RISK: f64 = 0.004;
const MAX_RISK: f64 = 0.98;
/// The risk above which an instance is a suspect. A single failure right after
/// successes stays below it and is attributed to the request.
const SUSPECT_RISK: f64 = 0.4;
/// How long a suspect gets no requests after a failure.
pub const SUSPECT_PAUSE: Duration = Duration::from_millis(400);
/// The longest pause: a recovered instance must get requests again within two
/// seconds.
const MAX_SUSPECT_PAUSE: Duration = Duration::from_millis(800);
/// How long an instance gets no requests after it refused one as it was full.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// The weight of the newest sample in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// The time constant with which the slowness returns to 1. Without it, an instance
/// that got one long request would stay without requests, and so without new samples.
const SLOWNESS_DECAY_TIME: Duration = Duration::from_secs(3);
/// The same two for the mean slowness. Times of requests vary by about their mean, so a
/// short average differs between equal instances by as much as their load does.
const MEAN_SLOWNESS_WEIGHT: f64 = 0.03;
const MEAN_SLOWNESS_DECAY_TIME: Duration = Duration::from_secs(10);
/// The age up to which a peer's requests in flight count.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_secs(3);
/// The age up to which outcomes in the first report of a peer count.
const FIRST_REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// How long a peer's report is kept to compare the next one with. Without it, the
/// next report counts as the peer's first.
const PEER_REPORT_RETENTION: Duration = Duration::from_secs(30);
/// The age up to which a success shows that a peer has a path to instances.
const RECENT_SUCCESS_MAX_AGE: Duration = Duration::from_secs(1);
/// The most successes or failures that one report can add.
const MAX_OUTCOMES_PER_REPORT: u8 = 8;

/// How a request to an instance ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// A complete answer arrived.
    Success {
        /// The ratio of the time taken to the usual time of such requests.
        slowness: f64,
    },
    /// The instance failed the request.
    Failure,
    /// The instance was full and did not run the request.
    Full,
    /// No connection could be opened, which concerns this host's path only.
    Unreachable,
    /// The request was cancelled, or its outcome does not depend on the instance.
    Inconclusive,
}

/// What a host reports to its peers about an instance. The counts start with the
/// host's process and wrap around.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct InstanceReport {
    /// The host's requests in flight.
    pub in_flight: u8,
    /// The host's successful requests.
    pub successes: u8,
    /// The host's failed requests.
    pub failures: u8,
    /// The slowness of the host's last success, in sixteenths.
    pub slowness_16ths: u8,
    /// The age of the host's last success.
    pub success_age: Option<Duration>,
    /// The age of the host's last failure.
    pub failure_age: Option<Duration>,
}

/// The outcomes at one instance and the estimate that follows from them.
#[derive(Debug)]
struct InstanceEstimate {
    /// The probability that the instance is unhealthy, as of `risk_at`.
    risk: f64,
    risk_at: Option<Instant>,
    outcome_at: Option<Instant>,
    /// When this host or a peer last started an attempt.
    attempt_at: Option<Instant>,
    failure_at: Option<Instant>,
    /// Failures since the last success.
    consecutive_failures: u32,
    own: InstanceReport,
    own_success_at: Option<Instant>,
    own_failure_at: Option<Instant>,
    own_in_flight: u32,
    peers: HashMap<SocketAddr, PeerReport>,
    /// The peers that have requests in flight here. They are few, so the load is
    /// summed over them and not over all peers.
    peer_loads: Vec<PeerLoad>,
    /// The moving average of the slowness, as of `slowness_at`.
    slowness: f64,
    /// The same over more answers, as of `slowness_at`.
    mean_slowness: f64,
    slowness_at: Option<Instant>,
    /// Whether no connection could be opened. Requests avoid the instance until a
    /// probe connects.
    is_path_blocked: bool,
    full_until: Option<Instant>,
    /// Until when the instance wants no requests from this host.
    backs_off_until: Option<Instant>,
    /// The rate that the instance takes from all hosts together.
    rate_limit: Option<RateLimit>,
    /// Until when this host gets no permit for a request there.
    no_permit_until: Option<Instant>,
    /// Why requests there needed a permit when this host last got none.
    no_permit_reason: PermitReason,
    /// When a blocked path was found open again.
    path_opened_at: Option<Instant>,
}

/// Why requests to an instance need permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PermitReason {
    /// The instance names the rate that it takes.
    #[default]
    RateLimit,
    /// The instance counts as cold.
    Cold,
}

/// The latest report of a peer.
#[derive(Debug, Clone, Copy)]
struct PeerReport {
    report: InstanceReport,
    received_at: Instant,
}

/// A peer's requests in flight.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    peer: SocketAddr,
    in_flight: u8,
    reported_at: Instant,
}

impl PeerLoad {
    fn counts(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported_at) < PEER_LOAD_MAX_AGE
    }
}

impl Default for InstanceEstimate {
    fn default() -> Self {
        Self {
            risk: UNKNOWN_RISK,
            risk_at: None,
            outcome_at: None,
            attempt_at: None,
            failure_at: None,
            consecutive_failures: 0,
            own: InstanceReport::default(),
            own_success_at: None,
            own_failure_at: None,
            own_in_flight: 0,
            peers: HashMap::new(),
            peer_loads: Vec::new(),
            slowness: 1.0,
            mean_slowness: 1.0,
            slowness_at: None,
            is_path_blocked: false,
            full_until: None,
            backs_off_until: None,
            rate_limit: None,
            no_permit_until: None,
            no_permit_reason: PermitReason::default(),
            path_opened_at: None,
        }
    }
}

/// The outcomes and estimates of all instances.
#[derive(Debug, Default)]
pub struct Evidence {
    estimates: HashMap<InstanceId, InstanceEstimate>,
}

/// The estimated health and load of one instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceHealth {
    /// The probability that the instance is unhealthy.
    pub risk: f64,
    /// Whether the risk is high enough to prefer other instances.
    pub is_suspect: bool,
    /// Whether the instance gets no requests for now.
    pub is_paused: bool,
    /// Whether no connection could be opened to it.
    pub is_path_blocked: bool,
    /// How long the instance wants no requests from this host, if it said so.
    pub backs_off_for: Option<Duration>,
    /// The rate that the instance takes from all hosts together, if it limits it.
    pub rate_limit: Option<RateLimit>,
    /// How long this host gets no permit for a request there.
    pub no_permit_for: Option<Duration>,
    /// Why requests there needed a permit when this host last got none.
    pub no_permit_reason: PermitReason,
    /// The age of the newest outcome, if there is one.
    pub outcome_age: Option<Duration>,
    /// The time since this host or a peer last started an attempt, if one has.
    pub attempt_age: Option<Duration>,
    /// Requests in flight of all hosts.
    pub in_flight: u32,
    /// The moving average of the ratio of its times to the usual times.
    pub slowness: f64,
    /// The same over more answers.
    pub mean_slowness: f64,
}

impl Evidence {
    /// Discards the outcomes of an instance's former incarnation.
    pub fn reset(&mut self, id: &InstanceId) {
        let Some(estimate) = self.estimates.get_mut(id) else {
            return;
        };
        // The counts continue, as peers compare them with those of earlier reports.
        *estimate = InstanceEstimate {
            own: estimate.own,
            own_in_flight: estimate.own_in_flight,
            peers: std::mem::take(&mut estimate.peers),
            peer_loads: std::mem::take(&mut estimate.peer_loads),
            ..InstanceEstimate::default()
        };
    }

    /// Removes the instances for which `keep` is false and that have no requests
    /// in flight.
    pub fn retain(&mut self, keep: impl Fn(&InstanceId) -> bool) {
        self.estimates
            .retain(|id, estimate| estimate.own_in_flight > 0 || keep(id));
    }

    /// Removes the reports of a peer whose process has restarted.
    pub fn forget_peer(&mut self, peer: SocketAddr) {
        for estimate in self.estimates.values_mut() {
            estimate.peers.remove(&peer);
            estimate.peer_loads.retain(|load| load.peer != peer);
        }
    }

    /// Drops reports of peers that no longer matter, which bounds the memory by the
    /// requests of the last seconds.
    pub fn expire_reports(&mut self, now: Instant) {
        for estimate in self.estimates.values_mut() {
            estimate.peer_loads.retain(|load| load.counts(now));
            estimate.peers.retain(|_, peer| {
                now.saturating_duration_since(peer.received_at) < PEER_REPORT_RETENTION
            });
        }
    }

    /// Counts a request that is about to be sent.
    pub fn record_start(&mut self, now: Instant, id: &InstanceId) {
        let estimate = self.estimates.entry(id.clone()).or_default();
        estimate.own_in_flight += 1;
        estimate.attempt_at = Some(now);
    }

    /// Records that a probe could connect to an instance.
    pub fn record_open_path(&mut self, now: Instant, id: &InstanceId) {
        if let Some(estimate) = self.estimates.get_mut(id) {
            estimate.record_open_path(now);
        }
    }

    /// Returns when a blocked path to an instance was found open again, if one was.
    #[must_use]
    pub fn path_opened_at(&self, id: &InstanceId) -> Option<Instant> {
        self.estimates.get(id)?.path_opened_at
    }

    /// Returns the instances to which no connection could be opened.
    pub fn blocked_paths(&self) -> impl Iterator<Item = &InstanceId> {
        let blocked = self
            .estimates
            .iter()
            .filter(|(_, estimate)| estimate.is_path_blocked);
        blocked.map(|(id, _)| id)
    }

    /// Records that a request takes so long that the instance is likely unhealthy.
    pub fn record_overdue(&mut self, now: Instant, id: &InstanceId) {
        if let Some(estimate) = self.estimates.get_mut(id) {
            estimate.record_own_failure(now);
        }
    }

    /// Records the outcome of a request that was counted by
    /// [`Evidence::record_start`].
    pub fn record_end(&mut self, now: Instant, id: &InstanceId, observation: Observation) {
        let Some(estimate) = self.estimates.get_mut(id) else {
            return;
        };
        estimate.own_in_flight = estimate.own_in_flight.saturating_sub(1);
        match observation {
            Observation::Success { slowness } => estimate.record_own_success(now, slowness),
            Observation::Failure => estimate.record_own_failure(now),
            Observation::Full => estimate.full_until = Some(now + FULL_PAUSE),
            Observation::Unreachable => estimate.is_path_blocked = true,
            Observation::Inconclusive => {}
        }
    }

    /// Records that an instance wants no requests from this host for `time`.
    pub fn record_back_off(&mut self, now: Instant, id: &InstanceId, time: Duration) {
        let estimate = self.estimates.entry(id.clone()).or_default();
        estimate.backs_off_until = estimate.backs_off_until.max(Some(now + time));
    }

    /// Records the limit that an instance names, and returns whether it has changed.
    pub fn record_rate_limit(&mut self, id: &InstanceId, change: RateLimitChange) -> bool {
        let limit = change.limit();
        if limit.is_none() && !self.estimates.contains_key(id) {
            return false;
        }
        let estimate = self.estimates.entry(id.clone()).or_default();
        // A cold instance goes on needing permits, though it names no limit.
        if limit.is_none() && estimate.no_permit_reason == PermitReason::RateLimit {
            estimate.no_permit_until = None;
        }
        std::mem::replace(&mut estimate.rate_limit, limit) != limit
    }

    /// Records that this host gets no permit for a request to an instance for `time`.
    pub fn record_permit_denied(
        &mut self,
        now: Instant,
        id: &InstanceId,
        time: Duration,
        reason: PermitReason,
    ) {
        // A cold instance may have had no requests yet.
        let estimate = self.estimates.entry(id.clone()).or_default();
        estimate.no_permit_until = Some(now + time);
        estimate.no_permit_reason = reason;
    }

    /// Returns the instances that limit their rate.
    pub fn rate_limits(&self) -> impl Iterator<Item = (&InstanceId, RateLimit)> {
        let estimates = self.estimates.iter();
        estimates.filter_map(|(id, estimate)| Some((id, estimate.rate_limit?)))
    }

    /// Returns the rate that an instance takes from all hosts together, if it limits it.
    #[must_use]
    pub fn rate_limit(&self, id: &InstanceId) -> Option<RateLimit> {
        self.estimates.get(id)?.rate_limit
    }

    /// Applies what a peer's report adds to its former one.
    pub fn record_peer_report(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        id: &InstanceId,
        report: InstanceReport,
    ) {
        let estimate = self.estimates.entry(id.clone()).or_default();
        estimate.set_peer_load(now, peer, report.in_flight);
        let received_at = now;
        let former = estimate.peers.insert(
            peer,
            PeerReport {
                report,
                received_at,
            },
        );
        let (successes, failures) = match former {
            Some(former) => (
                report.successes.wrapping_sub(former.report.successes),
                report.failures.wrapping_sub(former.report.failures),
            ),
            None => (
                counts_on_first_report(report.success_age).into(),
                counts_on_first_report(report.failure_age).into(),
            ),
        };
        let former_in_flight = former.map_or(0, |former| former.report.in_flight);
        // More have ended or are in flight than were in flight before.
        let has_new_attempt =
            u32::from(successes) + u32::from(failures) + u32::from(report.in_flight)
                > u32::from(former_in_flight);
        if has_new_attempt {
            estimate.attempt_at = estimate.attempt_at.max(Some(now));
        }
        if successes > 0 {
            estimate.update_slowness(now, f64::from(report.slowness_16ths) / 16.0);
        }
        // The older outcomes are applied first, so that the newer ones weigh more.
        let is_failure_newer = match (report.success_age, report.failure_age) {
            (Some(success), Some(failure)) => failure <= success,
            (success, _) => success.is_none(),
        };
        for has_failed in [!is_failure_newer, is_failure_newer] {
            let (count, age) = if has_failed {
                (failures, report.failure_age)
            } else {
                (successes, report.success_age)
            };
            let at = now.checked_sub(age.unwrap_or_default()).unwrap_or(now);
            for _ in 0..count.min(MAX_OUTCOMES_PER_REPORT) {
                estimate.apply_outcome(at, has_failed);
            }
        }
    }

    /// Returns the peers that lately reported a success at one of some instances.
    pub fn recently_successful_peers<'a>(
        &self,
        now: Instant,
        ids: impl IntoIterator<Item = &'a InstanceId>,
    ) -> HashSet<SocketAddr> {
        let estimates = ids.into_iter().filter_map(|id| self.estimates.get(id));
        let reports = estimates.flat_map(|estimate| &estimate.peers);
        let recent = reports.filter(|(_, peer)| {
            let since_report = now.saturating_duration_since(peer.received_at);
            let age = peer.report.success_age.map(|age| age + since_report);
            age.is_some_and(|age| age < RECENT_SUCCESS_MAX_AGE)
        });
        recent.map(|(peer, _)| *peer).collect()
    }

    /// Returns this host's report on an instance for its peers.
    #[must_use]
    pub fn own_report(&self, now: Instant, id: &InstanceId) -> InstanceReport {
        let Some(estimate) = self.estimates.get(id) else {
            return InstanceReport::default();
        };
        InstanceReport {
            in_flight: u8::try_from(estimate.own_in_flight).unwrap_or(u8::MAX),
            success_age: age(now, estimate.own_success_at),
            failure_age: age(now, estimate.own_failure_at),
            ..estimate.own
        }
    }

    /// Returns the requests in flight of all hosts at an instance, and the time since one
    /// of them last started an attempt there. Returns `None` for a suspect, and for an
    /// instance that is unreachable or wants no requests. Costs less than
    /// [`Evidence::health`].
    #[must_use]
    pub fn healthy_load(&self, now: Instant, id: &InstanceId) -> Option<(u32, Option<Duration>)> {
        let Some(estimate) = self.estimates.get(id) else {
            return Some((0, None));
        };
        // A risk at or below the limit stays there without new outcomes.
        let is_suspect = estimate.risk > SUSPECT_RISK && estimate.risk(now) > SUSPECT_RISK;
        let backs_off = estimate.backs_off_until.is_some_and(|until| now < until);
        if is_suspect || backs_off || estimate.is_path_blocked {
            return None;
        }
        Some((estimate.in_flight(now), age(now, estimate.attempt_at)))
    }

    /// Returns the estimated health of an instance.
    #[must_use]
    pub fn health(&self, now: Instant, id: &InstanceId) -> InstanceHealth {
        let Some(estimate) = self.estimates.get(id) else {
            return InstanceHealth {
                risk: UNKNOWN_RISK,
                is_suspect: false,
                is_paused: false,
                is_path_blocked: false,
                backs_off_for: None,
                rate_limit: None,
                no_permit_for: None,
                no_permit_reason: PermitReason::default(),
                outcome_age: None,
                attempt_age: None,
                in_flight: 0,
                slowness: 1.0,
                mean_slowness: 1.0,
            };
        };
        let risk = estimate.risk(now);
        let is_suspect = risk > SUSPECT_RISK;
        InstanceHealth {
            risk,
            is_suspect,
            is_paused: estimate.is_paused(now, is_suspect),
            is_path_blocked: estimate.is_path_blocked,
            backs_off_for: time_until(now, estimate.backs_off_until),
            rate_limit: estimate.rate_limit,
            no_permit_for: time_until(now, estimate.no_permit_until),
            no_permit_reason: estimate.no_permit_reason,
            outcome_age: age(now, estimate.outcome_at),
            attempt_age: age(now, estimate.attempt_at),
            in_flight: estimate.in_flight(now),
            slowness: estimate.slowness(now),
            mean_slowness: estimate.mean_slowness(now),
        }
    }
}

fn age(now: Instant, at: Option<Instant>) -> Option<Duration> {
    at.map(|at| now.saturating_duration_since(at))
}

/// Returns the time until an instant that has not passed.
fn time_until(now: Instant, until: Option<Instant>) -> Option<Duration> {
    let left = until?.saturating_duration_since(now);
    (!left.is_zero()).then_some(left)
}

fn counts_on_first_report(age: Option<Duration>) -> bool {
    age.is_some_and(|age| age < FIRST_REPORT_MAX_AGE)
}

/// Returns a ratio in sixteenths, limited to the range of the type.
fn to_16ths(ratio: f64) -> u8 {
    let sixteenths = (ratio * 16.0).clamp(0.0, f64::from(u8::MAX));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range"
    )]
    let sixteenths = sixteenths as u8;
    sixteenths
}

impl InstanceEstimate {
    fn record_own_success(&mut self, now: Instant, slowness: f64) {
        self.own.successes = self.own.successes.wrapping_add(1);
        self.own_success_at = Some(now);
        self.record_open_path(now);
        self.own.slowness_16ths = to_16ths(slowness);
        self.update_slowness(now, slowness);
        self.apply_outcome(now, false);
    }

    fn record_open_path(&mut self, now: Instant) {
        if std::mem::replace(&mut self.is_path_blocked, false) {
            self.path_opened_at = Some(now);
        }
    }

    fn update_slowness(&mut self, now: Instant, slowness: f64) {
        let former = self.slowness(now);
        self.slowness = former + SLOWNESS_WEIGHT * (slowness - former);
        let former = self.mean_slowness(now);
        self.mean_slowness = former + MEAN_SLOWNESS_WEIGHT * (slowness - former);
        self.slowness_at = Some(now);
    }

    fn slowness(&self, now: Instant) -> f64 {
        1.0 + (self.slowness - 1.0) * self.slowness_decay(now, SLOWNESS_DECAY_TIME)
    }

    fn mean_slowness(&self, now: Instant) -> f64 {
        1.0 + (self.mean_slowness - 1.0) * self.slowness_decay(now, MEAN_SLOWNESS_DECAY_TIME)
    }

    fn slowness_decay(&self, now: Instant, decay_time: Duration) -> f64 {
        let age = self.slowness_at.map(|at| now.saturating_duration_since(at));
        (-age.unwrap_or_default().as_secs_f64() / decay_time.as_secs_f64()).exp()
    }

    fn record_own_failure(&mut self, now: Instant) {
        self.own.failures = self.own.failures.wrapping_add(1);
        self.own_failure_at = Some(now);
        self.apply_outcome(now, true);
    }

    /// Updates the risk by one success or failure at `at`.
    fn apply_outcome(&mut self, at: Instant, has_failed: bool) {
        let prior = self.risk(at);
        let (unhealthy, healthy) = if has_failed {
            (UNHEALTHY_FAILURE_SHARE, HEALTHY_FAILURE_SHARE)
        } else {
            (1.0 - UNHEALTHY_FAILURE_SHARE, 1.0 - HEALTHY_FAILURE_SHARE)
        };
        let posterior = prior * unhealthy / (prior * unhealthy + (1.0 - prior) * healthy);
        self.risk = posterior.clamp(MIN_RISK, MAX_RISK);
        self.risk_at = self.risk_at.max(Some(at));
        self.outcome_at = self.outcome_at.max(Some(at));
        if has_failed {
            self.failure_at = self.failure_at.max(Some(at));
            self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        } else {
            self.consecutive_failures = 0;
        }
    }

    fn set_peer_load(&mut self, now: Instant, peer: SocketAddr, in_flight: u8) {
        self.peer_loads.retain(|load| load.peer != peer);
        if in_flight > 0 {
            self.peer_loads.push(PeerLoad {
                peer,
                in_flight,
                reported_at: now,
            });
        }
    }

    fn is_paused(&self, now: Instant, is_suspect: bool) -> bool {
        let after = |until: Option<Instant>| until.is_some_and(|until| now < until);
        if self.is_path_blocked || after(self.full_until) {
            return true;
        }
        let pause = (SUSPECT_PAUSE * self.consecutive_failures.clamp(1, 2)).min(MAX_SUSPECT_PAUSE);
        is_suspect && after(self.failure_at.map(|at| at + pause))
    }

    /// Returns the probability that the instance is unhealthy at `now`.
    fn risk(&self, now: Instant) -> f64 {
        let Some(risk_at) = self.risk_at else {
            return UNKNOWN_RISK;
        };
        let age_s = now.saturating_duration_since(risk_at).as_secs_f64();
        let decay_time = if self.risk > UNKNOWN_RISK {
            RISK_DECAY_TIME
        } else {
            HEALTH_DECAY_TIME
        };
        let decay = (-age_s / decay_time.as_secs_f64()).exp();
        UNKNOWN_RISK + (self.risk - UNKNOWN_RISK) * decay
    }

    fn in_flight(&self, now: Instant) -> u32 {
        let loads = self.peer_loads.iter().filter(|load| load.counts(now));
        self.own_in_flight + loads.map(|load| u32::from(load.in_flight)).sum::<u32>()
    }
}
