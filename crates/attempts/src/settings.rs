//! Settings of attempt records.

use std::time::{Duration, SystemTime};

/// The largest relative error of a host's clock, in percent.
pub const MAX_CLOCK_DRIFT_PERCENT: u32 = 1;

/// How the registry asks for permission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WitnessPlan {
    /// One host remembers a key.
    Home,
    /// Two hosts remember a key and both must grant.
    Pair,
    /// Three hosts remember a key and two must grant.
    Majority,
}

impl WitnessPlan {
    /// Returns the number of witnesses for a key.
    #[must_use]
    pub const fn witnesses(self) -> usize {
        match self {
            Self::Home => 1,
            Self::Pair => 2,
            Self::Majority => 3,
        }
    }
}

/// Times and limits of attempt records. All hosts of a fleet must agree on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptSettings {
    /// How long a key runs at most once.
    pub window: Duration,
    /// How long a permission to dispatch lasts, from the first claim message.
    pub permit_term: Duration,
    /// How long after its publication a list may still be unseen by a reader
    /// whose reads succeed.
    pub list_lag: Duration,
    /// How long a host trusts its list after it was last confirmed.
    pub list_fence: Duration,
    /// How long a list must stand before it is used.
    pub list_settle: Duration,
    /// How long a claimant waits for verdicts before it sends its claim again.
    pub verdict_timeout: Duration,
    /// How often a claimant claims anew while another claim is in progress.
    pub claim_rounds: u32,
    /// The most records that a host keeps.
    pub max_records: usize,
    /// The most memory for stored answers, in bytes.
    pub max_answer_bytes: usize,
    /// How many buckets keys fall into; all keys of a bucket have the same
    /// witnesses.
    pub buckets: u16,
    /// How many witnesses a key has.
    pub plan: WitnessPlan,
    /// When the fleet opens for the first time. The operator states that no
    /// host ran a request before. Hosts that started earlier vouch from then
    /// on, and refuse requests with a key until then.
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

    /// Returns how long a witness must have covered a key before it vouches.
    #[must_use]
    pub fn coverage(&self) -> Duration {
        with_drift(self.retention() + self.list_change())
    }

    /// Returns for how long hosts may use different lists.
    #[must_use]
    pub fn list_change(&self) -> Duration {
        self.list_lag + self.list_fence + self.list_settle
    }

    /// Returns how long a witness may stand for a stopped host. It ends before
    /// a new process of that host can vouch by its own age.
    #[must_use]
    pub fn inheritance_term(&self) -> Duration {
        self.coverage() * (100 - 3 * MAX_CLOCK_DRIFT_PERCENT) / 100
    }

    /// Returns the longest time without a confirmed list in which no unseen
    /// list can have come into use.
    #[must_use]
    pub fn longest_unseen(&self) -> Duration {
        self.list_settle.saturating_sub(2 * self.list_lag)
    }
}

/// Lengthens a duration so that it holds between two clocks that drift apart.
fn with_drift(duration: Duration) -> Duration {
    duration + duration * (2 * MAX_CLOCK_DRIFT_PERCENT) / 100
}
