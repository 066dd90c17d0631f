//! Which instances count as cold, and the rate that they take from all hosts together.
//!
//! An instance crashes under requests well above its cold rate, and its roster entry may
//! state up to 1.5 s late that it is cold. What this host knows beside the entry therefore
//! counts as well, and the latest end of all of these applies.

use std::time::{Duration, Instant};

use waxwingusher_config::routing::ColdStart;

use crate::evacuation::Evacuations;
use crate::rate_limit::RateLimit;
use crate::roster::ListedInstance;

/// What the instances of a service take while they are cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdPolicy {
    /// How long an instance is cold after its start.
    pub duration: Duration,
    /// The rate that a cold instance takes from all hosts together.
    pub rate: RateLimit,
}

/// Why an instance counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdCause {
    /// Its roster entry states it.
    Entry,
    /// It was listed for the first time.
    Joined,
    /// The evacuation of its failure domain has ended.
    EvacuationEnded,
    /// It accepted no connections from this host, and accepts them again.
    PathReopened,
}

impl ColdCause {
    /// Returns the cause for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Joined => "joined",
            Self::EvacuationEnded => "evacuation-ended",
            Self::PathReopened => "path-reopened",
        }
    }
}

/// The limit of an instance that counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// The cause that ends last.
    pub cause: ColdCause,
    /// When the instance counts as warm.
    pub warm_at: Instant,
    /// The rate that it takes from all hosts together until then.
    pub rate: RateLimit,
}

impl From<ColdStart> for ColdPolicy {
    fn from(cold_start: ColdStart) -> Self {
        Self {
            duration: cold_start.duration,
            rate: RateLimit::from_per_s(cold_start.rate_per_s),
        }
    }
}

impl ColdPolicy {
    /// Returns the limit of an instance if it counts as cold at `now`. `path_opened_at` is
    /// when this host found a blocked path to it open again.
    #[must_use]
    pub fn limit(
        &self,
        now: Instant,
        listed: &ListedInstance,
        evacuations: &Evacuations,
        path_opened_at: Option<Instant>,
    ) -> Option<ColdLimit> {
        let ended_at = evacuations.ended_at(&listed.entry.failure_domain);
        let end = |since: Option<Instant>| since.map(|since| since + self.duration);
        let causes = [
            (ColdCause::Entry, Some(listed.warm_at)),
            (ColdCause::Joined, end(listed.joined_at)),
            (ColdCause::EvacuationEnded, end(ended_at)),
            (ColdCause::PathReopened, end(path_opened_at)),
        ];
        let causes = causes
            .into_iter()
            .filter_map(|(cause, end)| Some((cause, end?)));
        let (cause, warm_at) = causes.max_by_key(|(_, end)| *end)?;
        (now < warm_at).then_some(ColdLimit {
            cause,
            warm_at,
            rate: self.rate,
        })
    }
}
