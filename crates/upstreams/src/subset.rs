//! The subset of a large pool that each host uses.
//!
//! Hosts and instances are matched greedily in descending order of their rendezvous
//! weights, with limits on the instances of each host, on its instances of each
//! failure domain, and on the hosts of each instance. All hosts with the same list
//! compute the same matching, and a change of the list moves few pairs.

use waxwingusher_config::Instance;
use waxwingusher_core::{HostId, rendezvous};

/// The most connections that one instance accepts from the whole fleet.
pub const MAX_CONNECTIONS_PER_INSTANCE: usize = 330;

/// The most connections that one host needs to one instance of its subset.
pub const MAX_CONNECTIONS_PER_PAIR: usize = 2;

const INSTANCE_LOAD_SLACK: f64 = 1.05;
const MIN_SUBSET_SIZE: usize = 1;

/// Returns how many instances of a pool each host uses.
#[must_use]
pub fn subset_size(hosts: usize, instances: usize, preferred: usize) -> usize {
    let hosts_per_instance =
        MAX_CONNECTIONS_PER_INSTANCE as f64 / MAX_CONNECTIONS_PER_PAIR as f64 / INSTANCE_LOAD_SLACK;
    let affordable = (instances as f64 * hosts_per_instance / hosts.max(1) as f64) as usize;
    let wanted = if instances > 2 * preferred {
        preferred
    } else {
        instances
    };
    wanted.min(affordable).max(MIN_SUBSET_SIZE).min(instances)
}

/// Returns the indices of the instances that `host` uses, in ascending order.
#[must_use]
pub fn subset(
    host: &HostId,
    hosts: &[HostId],
    instances: &[Instance],
    preferred: usize,
) -> Vec<usize> {
    let size = subset_size(hosts.len(), instances.len(), preferred);
    let row = hosts.iter().position(|candidate| candidate == host);
    match row {
        Some(row) if size < instances.len() => {
            all_subsets(hosts, instances, preferred).swap_remove(row)
        }
        _ => (0..instances.len()).collect(),
    }
}

/// Returns the subsets of all hosts, in the order of the hosts.
#[must_use]
pub fn all_subsets(hosts: &[HostId], instances: &[Instance], preferred: usize) -> Vec<Vec<usize>> {
    let size = subset_size(hosts.len(), instances.len(), preferred);
    let mut matching = Matching::new(hosts.len(), instances, size);
    let pairs = ranked_pairs(hosts, instances);
    for (capacity, spread) in matching.passes() {
        matching.instance_capacity = capacity;
        for (_, host, instance) in &pairs {
            matching.match_pair(*host, *instance, spread);
        }
    }
    for subset in &mut matching.chosen {
        subset.sort_unstable();
    }
    matching.chosen
}

fn ranked_pairs(hosts: &[HostId], instances: &[Instance]) -> Vec<(u64, usize, usize)> {
    let mut pairs = Vec::with_capacity(hosts.len() * instances.len());
    for (row, host) in hosts.iter().enumerate() {
        for (index, instance) in instances.iter().enumerate() {
            let weight = rendezvous::weight(host.as_str(), instance.id.as_str());
            pairs.push((weight, row, index));
        }
    }
    pairs.sort_unstable_by(|a, b| b.cmp(a));
    pairs
}

/// Whether a host's instances must be spread over the failure domains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DomainSpread {
    Even,
    Any,
}

/// A partial matching with its limits.
struct Matching {
    size: usize,
    /// The hosts of each instance in an even matching.
    even_load: f64,
    instance_capacity: usize,
    instance_load: Vec<usize>,
    /// The failure domain of each instance, as an index.
    domain_of: Vec<usize>,
    /// The most instances of each failure domain that one host uses.
    domain_capacity: Vec<usize>,
    domain_load: Vec<Vec<usize>>,
    chosen: Vec<Vec<usize>>,
}

impl Matching {
    fn new(hosts: usize, instances: &[Instance], size: usize) -> Self {
        let mut domains: Vec<_> = instances.iter().map(|i| &i.failure_domain).collect();
        domains.sort();
        domains.dedup();
        let domain_of: Vec<usize> = instances
            .iter()
            .map(|i| domains.partition_point(|domain| *domain < &i.failure_domain))
            .collect();
        let mut domain_capacity = vec![0; domains.len()];
        for domain in &domain_of {
            domain_capacity[*domain] += 1;
        }
        for capacity in &mut domain_capacity {
            *capacity = (size * *capacity).div_ceil(instances.len().max(1));
        }
        let even_load = hosts as f64 * size as f64 / instances.len().max(1) as f64;
        Self {
            size,
            instance_capacity: 0,
            even_load,
            instance_load: vec![0; instances.len()],
            domain_load: vec![vec![0; domains.len()]; hosts],
            domain_of,
            domain_capacity,
            chosen: vec![Vec::with_capacity(size); hosts],
        }
    }

    /// Returns the limits of the passes over all pairs. The first passes give every
    /// instance an even load.
    fn passes(&self) -> [(usize, DomainSpread); 4] {
        let even_load = self.even_load as usize;
        let max_load = (self.even_load * INSTANCE_LOAD_SLACK) as usize;
        [
            (even_load, DomainSpread::Even),
            (even_load, DomainSpread::Any),
            (max_load, DomainSpread::Even),
            (max_load, DomainSpread::Any),
        ]
    }

    fn match_pair(&mut self, host: usize, instance: usize, spread: DomainSpread) {
        let domain = self.domain_of[instance];
        let is_domain_full = self.domain_load[host][domain] >= self.domain_capacity[domain];
        let is_full = self.chosen[host].len() == self.size
            || self.instance_load[instance] >= self.instance_capacity
            || (spread == DomainSpread::Even && is_domain_full);
        if is_full || self.chosen[host].contains(&instance) {
            return;
        }
        self.instance_load[instance] += 1;
        self.domain_load[host][domain] += 1;
        self.chosen[host].push(instance);
    }
}
