//! Times and proportions of the limiter.

use std::time::{Duration, SystemTime};

use waxwingusher_core::FailureDomain;

/// Thousandths in a whole.
const PER_MILLE: u32 = 1000;

/// Settings of the limiter. All hosts of a fleet use the same ones.
#[derive(Debug, Clone)]
pub struct LimiterSettings {
    /// The failure domains that hold one share of every limit each, in the
    /// same order on all hosts.
    pub share_domains: Vec<FailureDomain>,
    /// The longest term of a loan.
    pub loan_term: Duration,
    /// How long a holder may act after the last evidence that its host list is
    /// current.
    pub list_fence: Duration,
    /// How far a read of the host list may lag behind the newest read of
    /// another host.
    pub list_lag: Duration,
    /// How much faster or slower than real time a clock may run.
    pub clock_drift_per_mille: u32,
    /// How long a caller's request may wait for a loan.
    pub loan_wait: Duration,
    /// How long a borrower waits for a grant before it asks another holder.
    pub answer_timeout: Duration,
    /// The time of demand for which a borrower holds tokens.
    pub borrow_horizon: Duration,
    /// When the fleet opens for the first time. The operator guarantees that no
    /// host admitted a request before. Holders that started earlier, under a
    /// list that is still current afterwards, need not wait for former holders.
    pub opened_at: Option<SystemTime>,
}

impl LimiterSettings {
    /// Returns the settings for a fleet in the given failure domains.
    #[must_use]
    pub fn new(share_domains: Vec<FailureDomain>) -> Self {
        Self {
            share_domains,
            loan_term: Duration::from_secs(10),
            list_fence: Duration::from_secs(12),
            list_lag: Duration::from_secs(3),
            clock_drift_per_mille: 10,
            loan_wait: Duration::from_millis(300),
            answer_timeout: Duration::from_millis(40),
            borrow_horizon: Duration::from_millis(1500),
            opened_at: None,
        }
    }

    /// Returns a duration that has passed on every clock of the fleet once
    /// this host's clock has counted it.
    #[must_use]
    pub fn with_drift(&self, duration: Duration) -> Duration {
        let fast = PER_MILLE + self.clock_drift_per_mille;
        let slow = PER_MILLE.saturating_sub(self.clock_drift_per_mille).max(1);
        duration * fast / slow + Duration::from_millis(1)
    }

    /// Returns a rate that stays below the given one on a fast clock.
    #[must_use]
    pub fn safe_rate(&self, rate_millis_per_s: u64) -> u64 {
        let scaled = u128::from(rate_millis_per_s) * u128::from(PER_MILLE);
        let safe = scaled / u128::from(PER_MILLE + self.clock_drift_per_mille);
        u64::try_from(safe).unwrap_or(u64::MAX)
    }

    /// Returns how long after a restart the loans of this host's previous process
    /// may last.
    #[must_use]
    pub fn restart_wait(&self) -> Duration {
        self.with_drift(self.loan_term).max(self.list_lag)
    }

    /// Returns how long after a list change a former holder, or a borrower of
    /// it, may still spend.
    #[must_use]
    pub fn take_over_wait(&self) -> Duration {
        self.with_drift(self.list_lag + self.list_fence + self.with_drift(self.loan_term))
    }
}
