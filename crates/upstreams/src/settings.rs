//! Settings and terms of detection, ejection and recovery.

use std::time::Duration;

use waxwingusher_config::Detection;

use crate::balance::BalancePolicy;

/// How long an ejection is in force at a host, from the vote that it is granted
/// under.
pub const EJECTION_TERM: Duration = Duration::from_secs(3);

/// How long a vote binds a host to one coordinator: two ejection terms, and a margin
/// for clocks that run at different rates.
pub const VOTE_TERM: Duration = Duration::from_millis(6_200);

/// How often a coordinator renews its votes and ejections.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(900);

/// How long a leaving or draining instance stays a last resort before it gets no
/// requests at all. Ejections that would break the floor have ended by then.
pub const DRAIN_DEFERRAL: Duration = Duration::from_secs(4);

/// Settings of one fleet's upstream handling.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// How often a host reports evidence.
    pub report_interval: Duration,
    /// How long a watch lasts, during which hosts report all outcomes at an instance.
    pub watch_term: Duration,
    /// The length of the first ejection, which doubles with each further one.
    pub first_ejection_term: Duration,
    /// The maximum length of an ejection.
    pub max_ejection_term: Duration,
    /// How long a new or returned instance counts as cold.
    pub cold_term: Duration,
    /// How long an instance counts as draining after it refused a request for that
    /// reason.
    pub drain_term: Duration,
    /// How long a backup waits before it acts in place of the primary coordinator.
    pub backup_delay: Duration,
    /// Trials per second of one ejected instance over all hosts.
    pub trials_per_s: f64,
    /// The number of instances that one host uses of a large pool.
    pub subset_size: usize,
    /// How an instance is chosen among those with room.
    pub balance: BalancePolicy,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(200),
            watch_term: Duration::from_secs(6),
            first_ejection_term: Duration::from_secs(10),
            max_ejection_term: Duration::from_secs(300),
            cold_term: Duration::from_secs(10),
            drain_term: Duration::from_secs(60),
            backup_delay: Duration::from_millis(1_500),
            trials_per_s: 2.0,
            subset_size: 12,
            balance: BalancePolicy::default(),
        }
    }
}

/// Thresholds of the sequential test.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TestThresholds {
    /// The negative logarithm of the probability that a healthy instance reaches the
    /// ejecting failure score at an outcome. The score follows from this and from the
    /// usual failure rate of the pool.
    pub failure: f64,
    /// The score of all failures from which an instance is a suspect.
    pub suspicion: f64,
    /// The log-likelihood ratio of slow successes from which an instance is ejected.
    pub slow: f64,
}

impl TestThresholds {
    /// Returns the thresholds of a service's detection setting.
    #[must_use]
    pub fn of(detection: Detection) -> Self {
        match detection {
            Detection::Careful => Self {
                failure: 24.0,
                suspicion: 4.5,
                slow: 16.0,
            },
            Detection::Fast => Self {
                failure: 15.6,
                suspicion: 3.2,
                slow: 11.0,
            },
        }
    }
}
