//! Settings of attempt records.

use std::time::{Duration, SystemTime};

/// The largest relative error of a host's clock, in percent.
pub const MAX_CLOCK_DRIFT_PERCENT: u32 = 1;

/// How many witnesses a key has, and how many of them must grant a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WitnessPlan {
    /// One witness keeps the record of a key.
    Single,
    /// Two witnesses keep the record of a key and both must grant.
    Pair,
    /// Three witnesses keep the record of a key and two must grant.
    Majority,
}

impl WitnessPlan {
    /// Returns the number of witnesses for a key.
    #[must_use]
    pub const fn witness_count(self) -> usize {
        match self {
            Self::Single => 1,
            Self::Pair => 2,
            Self::Majority => 3,
        }
    }
}

/// Durations and limits of attempt records. They must be equal on all hosts of a
/// fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptSettings {
    /// For how long a request with a key runs at most once.
    pub window: Duration,
    /// How long a permission to dispatch lasts, from the first claim message.
    pub permit_term: Duration,
    /// The longest time from the publication of a list until a reader whose
    /// reads succeed has received it.
    pub list_lag: Duration,
    /// How long a host trusts its list after the last confirmation.
    pub list_fence: Duration,
    /// How long a host must have known a list before it uses the list.
    pub list_settle: Duration,
    /// How long a claimant waits for verdicts before it sends its claim again.
    pub verdict_timeout: Duration,
    /// The most claims that a claimant makes while another one is in progress.
    pub claim_rounds: u32,
    /// The most records that a host keeps.
    pub max_records: usize,
    /// The most memory that stored answers may take, in bytes.
    pub max_answer_bytes: usize,
    /// The number of buckets of keys; all keys of a bucket have the same
    /// witnesses.
    pub buckets: u16,
    /// How many witnesses a key has.
    pub plan: WitnessPlan,
    /// When the fleet opens for the first time; the operator asserts that no
    /// host ran a request before. Hosts that started earlier refuse requests
    /// with a key until then, and vouch from then on.
    pub opened_at: Option<SystemTime>,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(300),
            permit_term: Duration::from_secs(5),
            list_lag: Duration::from_secs(2),
            list_fence: Duration::from_secs(10),
            list_settle: Duration::from_secs(6),
            verdict_timeout: Duration::from_millis(40),
            claim_rounds: 4,
            max_records: 262_144,
            max_answer_bytes: 16 << 20,
            buckets: 4_096,
            plan: WitnessPlan::Majority,
            opened_at: None,
        }
    }
}

impl AttemptSettings {
    /// Returns how long a witness keeps a record.
    #[must_use]
    pub fn retention(&self) -> Duration {
        with_drift(self.window + self.permit_term)
    }

    /// Returns how long a witness must have kept records before it vouches that
    /// a key without a record is unused.
    #[must_use]
    pub fn coverage(&self) -> Duration {
        with_drift(self.retention() + self.list_change())
    }

    /// Returns the longest time for which hosts may use different lists.
    #[must_use]
    pub fn list_change(&self) -> Duration {
        self.list_lag + self.list_fence + self.list_settle
    }

    /// Returns how long a witness may replace a stopped one. The time ends
    /// before a new process of the stopped host can vouch with its own records.
    #[must_use]
    pub fn takeover_term(&self) -> Duration {
        self.coverage() * (100 - 3 * MAX_CLOCK_DRIFT_PERCENT) / 100
    }

    /// Returns the longest time without a confirmed list in which no list that
    /// this host has not received can have come into use.
    #[must_use]
    pub fn longest_unseen(&self) -> Duration {
        self.list_settle.saturating_sub(2 * self.list_lag)
    }
}

/// Extends a duration by the most that two clocks can drift apart during it.
fn with_drift(duration: Duration) -> Duration {
    duration + duration * (2 * MAX_CLOCK_DRIFT_PERCENT) / 100
}
