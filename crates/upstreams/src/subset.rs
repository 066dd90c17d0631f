//! Which instances of a large pool a host uses.
//!
//! Hosts and instances are matched greedily along falling rendezvous weights,
//! with room for a fixed number of instances at each host and of hosts at each
//! instance, apart for each failure domain of the instances. All hosts with
//! the same list find the same matching, and a change moves few pairs.

use std::collections::BTreeMap;

use waxwingusher_config::Instance;
use waxwingusher_core::{HostId, rendezvous};

/// The connections that one instance takes from the whole fleet.
pub const MAX_CONNECTIONS: usize = 330;

/// The connections that one host may need to one instance of its subset.
pub const CONNECTIONS_PER_PAIR: usize = 2;

const INSTANCE_SLACK: f64 = 1.05;
const LEAST_SUBSET: usize = 2;

/// Returns how many instances of a pool each host uses.
#[must_use]
pub fn subset_size(hosts: usize, instances: usize, preferred: usize) -> usize {
    let hosts_per_instance = MAX_CONNECTIONS as f64 / CONNECTIONS_PER_PAIR as f64 / INSTANCE_SLACK;
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
    if size == instances.len() || !hosts.contains(host) {
        return (0..instances.len()).collect();
    }
    let mut chosen = Vec::with_capacity(size);
    for (group, share) in domain_shares(instances, size) {
        chosen.extend(matched(host, hosts, instances, &group, share));
    }
    chosen.sort_unstable();
    chosen
}

/// Splits the subset's size over the failure domains by their instances.
fn domain_shares(instances: &[Instance], size: usize) -> Vec<(Vec<usize>, usize)> {
    let mut groups: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, instance) in instances.iter().enumerate() {
        let domain = instance.failure_domain.as_str();
        groups.entry(domain).or_default().push(index);
    }
    if groups.len() > size {
        return vec![((0..instances.len()).collect(), size)];
    }
    let total = instances.len();
    groups
        .into_values()
        .map(|group| {
            let share = (size * group.len() + total / 2) / total;
            let share = share.clamp(1, group.len());
            (group, share)
        })
        .collect()
}

fn matched(
    host: &HostId,
    hosts: &[HostId],
    instances: &[Instance],
    group: &[usize],
    share: usize,
) -> Vec<usize> {
    let mut pairs = Vec::with_capacity(hosts.len() * group.len());
    for (row, candidate) in hosts.iter().enumerate() {
        for &index in group {
            let weight = rendezvous::weight(candidate.as_str(), instances[index].id.as_str());
            pairs.push((weight, row, index));
        }
    }
    pairs.sort_unstable_by(|a, b| b.cmp(a));
    let even = hosts.len() as f64 * share as f64 / group.len() as f64;
    let instance_room = (even * INSTANCE_SLACK).ceil() as usize;
    let mut host_load = vec![0; hosts.len()];
    let mut instance_load = vec![0; instances.len()];
    let mut chosen = Vec::with_capacity(share);
    for (_, row, index) in pairs {
        if host_load[row] == share || instance_load[index] == instance_room {
            continue;
        }
        host_load[row] += 1;
        instance_load[index] += 1;
        if &hosts[row] == host {
            chosen.push(index);
        }
    }
    chosen
}
