//! Assigns the shares of limits to hosts.

use waxwingusher_core::{FailureDomain, HostId, HostList, rendezvous};

use crate::limit_key::LimitKey;

/// The live hosts of each failure domain that has a share.
#[derive(Debug, Default)]
pub struct Holders {
    version: u64,
    by_share: Vec<Vec<HostId>>,
}

impl Holders {
    /// Groups the live hosts of a list by failure domain.
    #[must_use]
    pub fn new(list: &HostList, share_domains: &[FailureDomain]) -> Self {
        let live_in = |domain: &FailureDomain| {
            let hosts = list.live().filter(|entry| entry.failure_domain == *domain);
            hosts.map(|entry| entry.id.clone()).collect()
        };
        Self {
            version: list.version,
            by_share: share_domains.iter().map(live_in).collect(),
        }
    }

    /// Returns the version of the host list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the holder of one share of a limit.
    #[must_use]
    pub fn of_share(&self, key: &LimitKey, share: usize) -> Option<&HostId> {
        let hosts = self.by_share.get(share)?;
        rendezvous::pick(key.name(), hosts.iter(), HostId::as_str)
    }

    /// Returns the holder of each share of a limit, with `None` for `except`.
    #[must_use]
    pub fn of_all(&self, key: &LimitKey, except: &HostId) -> Vec<Option<HostId>> {
        let shares = 0..self.by_share.len();
        let holder = |share| self.of_share(key, share).filter(|host| *host != except);
        shares.map(|share| holder(share).cloned()).collect()
    }
}
