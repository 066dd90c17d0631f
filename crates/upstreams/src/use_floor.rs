//! The share of a service's instances that stays in use although some are suspects.
//!
//! A request that cannot be retried avoids suspects, and a service without retryable
//! requests has no others that would try them. An instance that failed for a moment
//! would get nothing for seconds, until its risk has decayed. While so many instances
//! are left out that fewer than the floor are in use, the least suspect ones are tried.

use std::time::Duration;

use crate::evidence::InstanceHealth;

/// The share of instances that stays in use: seven in ten of the healthy ones must get
/// requests, and hosts do not know which ones are healthy.
const MIN_SHARE_IN_USE: f64 = 0.7;
/// An instance is in use if its newest attempt is not older. Healthy ones must get
/// requests within two seconds, and the trial takes a moment to arrive.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1_600);

/// Counts the instances of a service that are in use.
#[derive(Debug, Clone, Copy, Default)]
pub struct UseFloor {
    listed: u32,
    in_use: u32,
}

impl UseFloor {
    /// Counts an instance that takes requests.
    pub fn record(&mut self, health: &InstanceHealth) {
        self.listed += 1;
        self.in_use += u32::from(!is_idle(health));
    }

    /// Reports whether fewer instances are in use than the floor requires.
    #[must_use]
    pub fn is_below(&self) -> bool {
        f64::from(self.in_use) < MIN_SHARE_IN_USE * f64::from(self.listed)
    }

    /// Reports whether an instance may be tried to reach the floor: a suspect that has
    /// got no request for a while and is neither paused nor out of reach.
    #[must_use]
    pub fn is_candidate(health: &InstanceHealth) -> bool {
        health.is_suspect && !health.is_paused && is_idle(health)
    }
}

fn is_idle(health: &InstanceHealth) -> bool {
    health.attempt_age.is_none_or(|age| age > MAX_IDLE_TIME)
}
