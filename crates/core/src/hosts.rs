//! The platform's list of the fleet's hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{FailureDomain, HostId};

/// What the platform says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host takes part in the fleet.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HostEntry {
    /// The host's name.
    pub id: HostId,
    /// Where the host takes messages from its peers (UDP and TCP).
    pub peer_addr: SocketAddr,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// What the platform says of the host.
    pub state: HostState,
}

/// The list of hosts, as read at one moment. It lags behind the truth.
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

    /// Returns the hosts that the platform calls live.
    pub fn live(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts
            .iter()
            .filter(|entry| entry.state == HostState::Live)
    }

    /// Returns the failure domains in order, each once.
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
