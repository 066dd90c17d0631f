//! Placement of the witnesses of a key.
//!
//! Witnesses are distinct hosts, in distinct failure domains if there are enough
//! of them.

use std::collections::BTreeMap;

use waxwingusher_core::rendezvous;
use waxwingusher_core::{FailureDomain, HostId, HostList};
use waxwingusher_protocol::attempt::FormerHost;

use crate::buckets::Bucket;

/// A bucket as the key of rendezvous hashing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HashKey(String);

impl HashKey {
    pub(crate) fn of_bucket(bucket: Bucket) -> Self {
        Self(format!("{:03x}", bucket.number()))
    }

    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }
}

/// The hosts of one list by failure domain. Leaving hosts are included until the
/// list drops them, so that a restart does not move keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Topology {
    domains: BTreeMap<FailureDomain, Vec<HostId>>,
}

/// The witnesses of one key in the order in which they are asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WitnessSet {
    hosts: Vec<HostId>,
}

impl Topology {
    pub(crate) fn new(list: &HostList) -> Self {
        let mut domains: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for entry in &list.hosts {
            let hosts = domains.entry(entry.failure_domain.clone()).or_default();
            hosts.push(entry.id.clone());
        }
        Self { domains }
    }

    /// Returns up to `count` witnesses of a key.
    pub(crate) fn witnesses(&self, key: &HashKey, count: usize) -> WitnessSet {
        self.witnesses_without(key, count, None)
    }

    /// Reports whether a host is one of a key's witnesses. If there are enough
    /// failure domains, the hosts of the other ones are not examined.
    pub(crate) fn is_witness(&self, key: &HashKey, count: usize, host: &HostId) -> bool {
        if self.domains.len() < count {
            return self.witnesses(key, count).contains(host);
        }
        let Some((domain, hosts)) = self.domains.iter().find(|(_, hosts)| hosts.contains(host))
        else {
            return false;
        };
        let ranked = self.ranked_domains(key);
        if !ranked.into_iter().take(count).any(|top| top == domain) {
            return false;
        }
        let first = rendezvous::pick(key.as_str(), hosts.iter(), |host| host.as_str());
        first == Some(host)
    }

    /// Returns the number of witnesses of each key.
    pub(crate) fn witness_count(&self, count: usize) -> usize {
        self.hosts().take(count).count()
    }

    /// Returns the host that becomes a witness of the key once `leaving` is
    /// dropped from the list.
    pub(crate) fn successor(
        &self,
        key: &HashKey,
        count: usize,
        leaving: &HostId,
    ) -> Option<HostId> {
        let before = self.witnesses(key, count);
        let after = self.witnesses_without(key, count, Some(leaving));
        after.hosts.into_iter().find(|host| !before.contains(host))
    }

    /// Returns the other hosts in the failure domain of a host.
    pub(crate) fn domain_peers(&self, host: &HostId) -> Vec<HostId> {
        let domain = self.domains.values().find(|hosts| hosts.contains(host));
        let others = domain.into_iter().flatten().filter(|other| *other != host);
        others.cloned().collect()
    }

    /// Returns every host that may become a witness of a key in place of
    /// `leaving`.
    pub(crate) fn successors(&self, count: usize, leaving: &HostId) -> Vec<HostId> {
        let has_spares = |hosts: &&Vec<HostId>| hosts.contains(leaving) && hosts.len() > 1;
        let domain = self.domains.values().find(has_spares);
        let candidates: Vec<_> = match domain {
            Some(hosts) if self.domains.len() >= count => hosts.iter().collect(),
            _ => self.hosts().collect(),
        };
        let others = candidates.into_iter().filter(|host| *host != leaving);
        others.cloned().collect()
    }

    /// Returns the hosts, with their failure domains, that `other` lacks.
    pub(crate) fn hosts_missing_in(&self, other: &Self) -> Vec<FormerHost> {
        let mut missing = Vec::new();
        for (domain, hosts) in &self.domains {
            let others = other.domains.get(domain);
            for host in hosts {
                if others.is_some_and(|others| others.contains(host)) {
                    continue;
                }
                missing.push(FormerHost {
                    id: host.clone(),
                    failure_domain: domain.clone(),
                });
            }
        }
        missing
    }

    /// Returns the list with further hosts added.
    pub(crate) fn with_hosts(&self, further: &[FormerHost]) -> Self {
        let mut domains = self.domains.clone();
        for host in further {
            let hosts = domains.entry(host.failure_domain.clone()).or_default();
            if !hosts.contains(&host.id) {
                hosts.push(host.id.clone());
            }
        }
        Self { domains }
    }

    /// Reports whether both lists have the same failure domains, and enough of
    /// them for `count` witnesses. A host that is a witness under a list is then
    /// also one under each smaller list that contains it.
    pub(crate) fn has_same_domains(&self, other: &Self, count: usize) -> bool {
        self.domains.len() >= count && self.domains.keys().eq(other.domains.keys())
    }

    /// Reports whether the host is in the list.
    pub(crate) fn contains(&self, host: &HostId) -> bool {
        self.hosts().any(|listed| listed == host)
    }

    /// Returns a hash of all hosts and their failure domains.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut text = String::new();
        for (domain, hosts) in &self.domains {
            text.push_str(domain.as_str());
            for host in hosts {
                text.push('\t');
                text.push_str(host.as_str());
            }
            text.push('\n');
        }
        rendezvous::weight("topology", &text)
    }

    /// Returns all hosts.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.domains.values().flatten()
    }

    fn witnesses_without(
        &self,
        key: &HashKey,
        count: usize,
        excluded: Option<&HostId>,
    ) -> WitnessSet {
        let ranked = self.ranked_domains(key);
        let mut hosts: Vec<HostId> = Vec::with_capacity(count);
        for domain in ranked {
            if hosts.len() == count {
                break;
            }
            let candidates = self.domains[domain]
                .iter()
                .filter(|host| Some(*host) != excluded);
            hosts.extend(rendezvous::pick(key.as_str(), candidates, |host| host.as_str()).cloned());
        }
        if hosts.len() < count {
            self.add_remaining(key, count, excluded, &mut hosts);
        }
        WitnessSet { hosts }
    }

    fn ranked_domains(&self, key: &HashKey) -> Vec<&FailureDomain> {
        rendezvous::rank(key.as_str(), self.domains.keys(), |domain| domain.as_str())
    }

    fn add_remaining(
        &self,
        key: &HashKey,
        count: usize,
        excluded: Option<&HostId>,
        hosts: &mut Vec<HostId>,
    ) {
        let others = self
            .hosts()
            .filter(|host| Some(*host) != excluded && !hosts.contains(host));
        let ranked = rendezvous::rank(key.as_str(), others, |host| host.as_str());
        let missing = count - hosts.len();
        let added: Vec<_> = ranked.into_iter().take(missing).cloned().collect();
        hosts.extend(added);
    }
}

/// Returns how many of `witnesses` must grant. Any two quorums share a witness.
pub(crate) const fn quorum_of(witnesses: usize) -> usize {
    witnesses / 2 + 1
}

impl WitnessSet {
    /// Returns how many of the witnesses must grant.
    pub(crate) fn quorum(&self) -> usize {
        quorum_of(self.hosts.len())
    }

    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    pub(crate) fn contains(&self, host: &HostId) -> bool {
        self.hosts.contains(host)
    }

    pub(crate) fn hosts(&self) -> &[HostId] {
        &self.hosts
    }

    /// Returns a hash by which a claimant and a witness compare their sets.
    pub(crate) fn fingerprint(&self) -> u32 {
        let mut names: Vec<_> = self.hosts.iter().map(HostId::as_str).collect();
        names.sort_unstable();
        let weight = rendezvous::weight("witnesses", &names.join("\n"));
        u32::try_from(weight >> 32).unwrap_or(u32::MAX)
    }
}
