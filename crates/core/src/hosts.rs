//! The platform's list of the fleet's hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{FailureDomain, HostId};

/// The state of a host according to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host is a member of the fleet.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// The entry of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HostEntry {
    /// The host's name.
    pub id: HostId,
    /// The address at which the host receives messages from its peers (UDP and
    /// TCP).
    pub peer_addr: SocketAddr,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The host's state according to the platform.
    pub state: HostState,
}

/// The platform's list of hosts as read at one moment. It may lag behind the
/// actual fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HostList {
    /// The list's version, which only increases.
    pub version: u64,
    /// All hosts, sorted by name.
    pub hosts: Vec<HostEntry>,
}

impl HostList {
    /// Returns the entry of one host.
    #[must_use]
    pub fn get(&self, id: &HostId) -> Option<&HostEntry> {
        self.hosts.iter().find(|entry| &entry.id == id)
    }

    /// Returns the entries of hosts in state live.
    pub fn live(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts
            .iter()
            .filter(|entry| entry.state == HostState::Live)
    }

    /// Returns the distinct failure domains, sorted by name.
    #[must_use]
    pub fn failure_domains(&self) -> Vec<FailureDomain> {
        let mut domains: Vec<_> = self
            .hosts
            .iter()
            .map(|entry| entry.failure_domain.clone())
            .collect();
        domains.sort();
        domains.dedup();
        domains
    }
}
