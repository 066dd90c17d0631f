//! Which hosts of a failure domain watch the configuration service.

use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, HostEntry, HostId, HostList, rendezvous};

use super::peers::Peers;

/// The namespace of the hash that ranks readers.
const READER_KEY: &str = "config-reader";

/// The silence after which a higher-ranked host no longer counts.
const SILENT_AFTER: Duration = Duration::from_secs(25);

/// The age of a reader's last answer from the service up to which it counts.
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

/// How a host shares its polls between `Near::hosts` and all peers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Tier {
    /// The host polls all peers only.
    #[default]
    Reader,
    /// The host polls readers each time, and all peers now and then.
    Relay,
    /// The host polls relays and all peers in turn.
    Leaf,
}

/// The peers whose word on the service a host asks for.
#[derive(Debug, Default)]
pub struct Near {
    /// How polls are shared.
    pub tier: Tier,
    /// The readers or relays of the failure domain.
    pub hosts: Vec<HostId>,
}

/// Returns the live hosts of a failure domain by falling rank.
pub fn ranked(list: &HostList, domain: &FailureDomain) -> Vec<HostId> {
    let in_domain = list.live().filter(|host| host.failure_domain == *domain);
    rendezvous::rank(READER_KEY, in_domain, |host: &HostEntry| host.id.as_str())
        .into_iter()
        .map(|host| host.id.clone())
        .collect()
}

/// Returns whose word a host asks for. Relays keep the load of the readers and
/// their own near the root of the domain's size.
pub fn near(self_id: &HostId, ranked: &[HostId], readers: usize) -> Near {
    let (readers, others) = ranked.split_at(readers.min(ranked.len()));
    let relays = others.len().isqrt() + 1;
    let (relays, _) = others.split_at(relays.min(others.len()));
    if readers.contains(self_id) {
        return Near::default();
    }
    if relays.contains(self_id) {
        return Near {
            tier: Tier::Relay,
            hosts: readers.to_vec(),
        };
    }
    Near {
        tier: Tier::Leaf,
        hosts: relays.to_vec(),
    }
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

/// Reports whether a host answers and the service answers it.
fn is_reading(host: &HostId, peers: &Peers, now: Instant) -> bool {
    // Hosts that start together have not read yet when they first hear of each
    // other.
    let is_new = now < peers.started_at() + SILENT_AFTER;
    let Some(heard) = peers.heard(host) else {
        return is_new;
    };
    let is_silent = now >= heard.at + SILENT_AFTER;
    let age_ms = heard.summary.service_age_ms;
    !is_silent && age_ms.map_or(is_new, |age| age <= MAX_SERVICE_AGE_MS)
}
