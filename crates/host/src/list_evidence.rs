//! Decides what is evidence that the host list is current.

use std::collections::BTreeMap;
use std::time::Instant;

use waxwingusher_core::{FailureDomain, HostId, HostList};
use waxwingusher_membership::distribution::ListFreshness;

/// Returns the latest instant at which the list in force was surely the newest
/// one: a reader had it from the configuration service, or, if the service is
/// away, hosts in a majority of the failure domains had heard of no newer one.
#[must_use]
pub(crate) fn confirmed_at(
    freshness: &ListFreshness,
    list: &HostList,
    self_id: &HostId,
    now: Instant,
) -> Option<Instant> {
    if freshness.seen_version > freshness.version || list.version != freshness.version {
        return None;
    }
    let by_peers = majority_word(freshness, list, self_id, now);
    freshness.confirmed_at.into_iter().chain(by_peers).max()
}

/// Returns the instant since which a majority of the failure domains has given
/// word, each by the latest of its hosts.
fn majority_word(
    freshness: &ListFreshness,
    list: &HostList,
    self_id: &HostId,
    now: Instant,
) -> Option<Instant> {
    let mut by_domain: BTreeMap<&FailureDomain, Instant> = BTreeMap::new();
    if let Some(own) = list.get(self_id) {
        by_domain.insert(&own.failure_domain, now);
    }
    for word in &freshness.words {
        if word.seen_version > freshness.version {
            return None;
        }
        let Some(entry) = list.get(&word.host) else {
            continue;
        };
        let latest = by_domain
            .entry(&entry.failure_domain)
            .or_insert(word.asked_at);
        *latest = (*latest).max(word.asked_at);
    }
    let majority = list.failure_domains().len() / 2 + 1;
    let mut instants: Vec<Instant> = by_domain.into_values().collect();
    instants.sort_unstable_by(|a, b| b.cmp(a));
    instants.get(majority - 1).copied()
}
