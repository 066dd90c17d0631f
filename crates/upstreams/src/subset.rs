//! Which instances of a large pool a host uses.
//!
//! Hosts and instances are matched greedily along falling rendezvous weights,
//! with room for a fixed number of instances at each host, of each failure
//! domain at each host, and of hosts at each instance. All hosts with the same
//! list find the same matching, and a change moves few pairs.

use waxwingusher_config::Instance;
use waxwingusher_core::{HostId, rendezvous};

/// The connections that one instance takes from the whole fleet.
pub const MAX_CONNECTIONS_PER_INSTANCE: usize = 330;

/// The connections that one host may need to one instance of its subset.
pub const MAX_CONNECTIONS_PER_PAIR: usize = 2;

const INSTANCE_SLACK: f64 = 1.05;
const LEAST_SUBSET: usize = 1;

/// Returns how many instances of a pool each host uses.
#[must_use]
pub fn subset_size(hosts: usize, instances: usize, preferred: usize) -> usize {
    let hosts_per_instance =
        MAX_CONNECTIONS_PER_INSTANCE as f64 / MAX_CONNECTIONS_PER_PAIR as f64 / INSTANCE_SLACK;
    let affordable = (instances as f64 * hosts_per_instance / hosts.max(1) as f64) as usize;
    let wanted = if instances > 2 * preferred {
        preferred
    } else {
        instances
    };
    wanted.min(affordable).max(LEAST_SUBSET).min(instances)
}

/// Returns the indices of the instances that `host` uses, in order.
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
    for (room, spread) in matching.passes() {
        matching.instance_room = room;
        for (_, host, instance) in &pairs {
            matching.try_match(*host, *instance, spread);
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

/// A matching under way, with the room that is left.
struct Matching {
    size: usize,
    /// The hosts of each instance if all have as many.
    even: f64,
    instance_room: usize,
    instance_load: Vec<usize>,
    /// The failure domain of each instance, as an index.
    domain_of: Vec<usize>,
    /// The most instances of each failure domain at one host.
    domain_room: Vec<usize>,
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
        let mut domain_room = vec![0; domains.len()];
        for domain in &domain_of {
            domain_room[*domain] += 1;
        }
        for room in &mut domain_room {
            *room = (size * *room).div_ceil(instances.len().max(1));
        }
        let even = hosts as f64 * size as f64 / instances.len().max(1) as f64;
        Self {
            size,
            instance_room: 0,
            even,
            instance_load: vec![0; instances.len()],
            domain_load: vec![vec![0; domains.len()]; hosts],
            domain_of,
            domain_room,
            chosen: vec![Vec::with_capacity(size); hosts],
        }
    }

    /// Returns the passes over all pairs: first all instances get an even part.
    fn passes(&self) -> [(usize, DomainSpread); 4] {
        let even = self.even as usize;
        let most = (self.even * INSTANCE_SLACK) as usize;
        [
            (even, DomainSpread::Even),
            (even, DomainSpread::Any),
            (most, DomainSpread::Even),
            (most, DomainSpread::Any),
        ]
    }

    fn try_match(&mut self, host: usize, instance: usize, spread: DomainSpread) {
        let domain = self.domain_of[instance];
        let domain_full = self.domain_load[host][domain] >= self.domain_room[domain];
        let full = self.chosen[host].len() == self.size
            || self.instance_load[instance] >= self.instance_room
            || (spread == DomainSpread::Even && domain_full);
        if full || self.chosen[host].contains(&instance) {
            return;
        }
        self.instance_load[instance] += 1;
        self.domain_load[host][domain] += 1;
        self.chosen[host].push(instance);
    }
}
