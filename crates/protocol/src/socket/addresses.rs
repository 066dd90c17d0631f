//! The addresses at which hosts receive datagrams.

use std::collections::HashMap;
use std::net::SocketAddr;

use waxwingusher_core::{HostId, HostList};

const MAX_LEARNED_ADDRESSES: usize = 1_024;

/// Addresses from the host list, and learned ones of hosts that the list does not
/// contain yet.
#[derive(Debug, Default)]
pub(super) struct Addresses {
    listed: HashMap<HostId, SocketAddr>,
    learned: HashMap<HostId, SocketAddr>,
}

impl Addresses {
    pub(super) fn set_listed(&mut self, list: &HostList) {
        let entries = list.hosts.iter();
        self.listed = entries
            .map(|entry| (entry.id.clone(), entry.peer_addr))
            .collect();
        self.learned
            .retain(|host, _| !self.listed.contains_key(host));
    }

    /// Stores the source address of an authenticated datagram, so that its sender
    /// can be answered.
    pub(super) fn learn(&mut self, host: &HostId, addr: SocketAddr) {
        if self.listed.contains_key(host) {
            return;
        }
        if self.learned.len() >= MAX_LEARNED_ADDRESSES {
            self.learned.clear();
        }
        self.learned.insert(host.clone(), addr);
    }

    pub(super) fn get(&self, host: &HostId) -> Option<SocketAddr> {
        let listed = self.listed.get(host);
        listed.or_else(|| self.learned.get(host)).copied()
    }
}
