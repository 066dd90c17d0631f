//! Which hosts of a failure domain watch the configuration service.

use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, HostEntry, HostId, HostList, rendezvous};

use super::peers::Peers;

/// The namespace of the hash that ranks readers.
const READER_KEY: &str = "config-reader";

/// Hosts that follow each host of a failure domain.
const FOLLOWERS_PER_HOST: usize = 3;

/// The silence after which a higher-ranked host no longer counts as a reader.
const SILENT_AFTER: Duration = Duration::from_secs(25);

/// The age of a host's last answer from the service up to which it counts as a
/// reader.
const MAX_SERVICE_AGE_MS: u32 = 30_000;

/// Whether a host watches the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The host watches the service.
    Reader,
    /// The host observes the hosts ranked above it, and replaces them.
    Standby,
    /// The host learns from peers only.
    Learner,
}

/// Returns the live hosts of a failure domain by descending rank.
pub fn ranked(list: &HostList, domain: &FailureDomain) -> Vec<HostId> {
    let in_domain = list.live().filter(|host| host.failure_domain == *domain);
    rendezvous::rank(READER_KEY, in_domain, |host: &HostEntry| host.id.as_str())
        .into_iter()
        .map(|host| host.id.clone())
        .collect()
}

/// Returns the host that a host follows. The hosts of a failure domain form a
/// tree in the order of their ranks, with the readers as its roots.
pub fn parent(self_id: &HostId, ranked: &[HostId], readers: usize) -> Option<HostId> {
    let rank = ranked.iter().position(|host| host == self_id);
    let below = rank.unwrap_or(ranked.len()).checked_sub(readers)?;
    ranked.get(below / FOLLOWERS_PER_HOST).cloned()
}

/// Returns a host's role.
pub fn role(
    self_id: &HostId,
    candidates: &[HostId],
    peers: &Peers,
    readers_per_domain: usize,
    now: Instant,
) -> Role {
    let Some(rank) = candidates.iter().position(|host| host == self_id) else {
        return Role::Learner;
    };
    let reading = candidates[..rank]
        .iter()
        .filter(|host| is_reading(host, peers, now))
        .count();
    if reading < readers_per_domain {
        return Role::Reader;
    }
    Role::Standby
}

/// Reports whether a host sends messages and the service answers it.
fn is_reading(host: &HostId, peers: &Peers, now: Instant) -> bool {
    // Hosts that start together have not read yet when their first messages
    // arrive.
    let is_new = now < peers.started_at() + SILENT_AFTER;
    let Some(message) = peers.last_message(host) else {
        return is_new;
    };
    let is_silent = now >= message.at + SILENT_AFTER;
    let age_ms = message.summary.service_age_ms;
    !is_silent && age_ms.map_or(is_new, |age| age <= MAX_SERVICE_AGE_MS)
}
