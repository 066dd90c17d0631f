//! Evidence that the host list in force is current.

use std::collections::BTreeMap;
use std::time::Instant;

use super::freshness::ListFreshness;
use waxwingusher_core::{FailureDomain, HostId, HostList};

/// What is known of how current the list in force is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListEvidence {
    /// The latest instant at which a reader is certain to have had the list from
    /// the configuration service.
    pub read_at: Option<Instant>,
    /// The same, or the instant since which hosts in a majority of the failure
    /// domains know of no newer list. It is used while the configuration service
    /// is unavailable.
    pub known_at: Option<Instant>,
}

impl ListEvidence {
    /// Derives the evidence from what this host and its peers know.
    #[must_use]
    pub fn new(freshness: &ListFreshness, list: &HostList, self_id: &HostId, now: Instant) -> Self {
        if freshness.seen_version > freshness.version || list.version != freshness.version {
            return Self {
                read_at: None,
                known_at: None,
            };
        }
        let read_at = freshness.confirmed_at;
        let by_quorum = quorum_instant(freshness, list, self_id, now);
        Self {
            read_at,
            known_at: read_at.into_iter().chain(by_quorum).max(),
        }
    }
}

/// Returns the instant since which a majority of the failure domains has answered,
/// each represented by the latest answer of its hosts.
fn quorum_instant(
    freshness: &ListFreshness,
    list: &HostList,
    self_id: &HostId,
    now: Instant,
) -> Option<Instant> {
    let mut by_domain: BTreeMap<&FailureDomain, Instant> = BTreeMap::new();
    if let Some(own) = list.get(self_id) {
        by_domain.insert(&own.failure_domain, now);
    }
    for answer in &freshness.answers {
        if answer.seen_version > freshness.version {
            return None;
        }
        let Some(entry) = list.get(&answer.host) else {
            continue;
        };
        let latest = by_domain
            .entry(&entry.failure_domain)
            .or_insert(answer.asked_at);
        *latest = (*latest).max(answer.asked_at);
    }
    let majority = list.failure_domains().len() / 2 + 1;
    let mut instants: Vec<Instant> = by_domain.into_values().collect();
    instants.sort_unstable_by(|a, b| b.cmp(a));
    instants.get(majority - 1).copied()
}
