//! Settings and terms of detection, ejection and recovery.

use std::time::Duration;

use waxwingusher_config::Detection;

use crate::balance::BalancePolicy;

/// How long an ejection holds at a host after the vote that it rests on.
pub const EJECTION_TERM: Duration = Duration::from_secs(3);

/// How long a vote binds a host to one coordinator: two ejection terms and a margin
/// for clocks that run at different rates.
pub const VOTE_TERM: Duration = Duration::from_millis(6_200);

/// How often a coordinator renews its votes and ejections.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(900);

/// How long a leaving or draining instance stays a last resort before it gets
/// no work at all; ejections that would break the floor have ended by then.
pub const DRAIN_DEFERRAL: Duration = Duration::from_secs(4);

/// Terms of one fleet's upstream handling.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// How often evidence leaves a host.
    pub report_interval: Duration,
    /// How long a coordinator has an instance reported in full.
    pub watch_term: Duration,
    /// The first ejection's length; it doubles with each further one.
    pub first_ejection_term: Duration,
    /// The longest ejection.
    pub max_ejection_term: Duration,
    /// How long a new or returned instance counts as cold.
    pub cold_term: Duration,
    /// How long an instance that says that it drains is taken at its word.
    pub drain_term: Duration,
    /// How long a backup waits before it coordinators in place of the first host.
    pub backup_delay: Duration,
    /// Trials a second of one ejected instance over all hosts.
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
    /// The logarithm of how unlikely the failures of an ejected instance must
    /// be if it is healthy. The score that this takes follows from the rate at
    /// which the pool usually fails.
    pub failure: f64,
    /// The score of all failures that makes an instance a suspect.
    pub suspicion: f64,
    /// The log-likelihood ratio of slow answers that ejects.
    pub slow: f64,
}

impl TestThresholds {
    /// Returns the thresholds of a service's setting.
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
