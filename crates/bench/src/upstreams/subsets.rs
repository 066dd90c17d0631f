//! Balance and stability of subsetting at the design size.

use std::collections::HashSet;
use std::time::Instant;

use waxwingusher_config::{Detection, Instance};
use waxwingusher_core::{HostId, InstanceId};
use waxwingusher_upstreams::subset::{MAX_CONNECTIONS_PER_PAIR, all_subsets, subset_size};

use super::pool::{PoolShape, host_id};
use crate::{Bound, Measurement, Scenario, ScenarioResult};

const HOSTS: usize = 440;
const SERVICES: usize = 250;
const PREFERRED_SUBSET_SIZE: usize = 12;
/// Pool sizes that add up to 5,300 instances in 250 services.
const POOL_SIZES: [usize; 5] = [8, 15, 21, 24, 38];
const MAX_CONNECTIONS_PER_INSTANCE: f64 = 330.0;

/// 440 hosts in front of 250 services with 5,300 instances.
pub struct Subsets;

type Pair = (HostId, InstanceId);

impl Scenario for Subsets {
    fn name(&self) -> &'static str {
        "upstreams/subsets"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let hosts: Vec<HostId> = (0..HOSTS).map(host_id).collect();
        let mut totals = Totals::default();
        let started = Instant::now();
        let mut pools = Vec::with_capacity(SERVICES);
        for service in 0..SERVICES {
            let instances = pool(seed, service, POOL_SIZES[service % POOL_SIZES.len()]);
            let subsets = all_subsets(&hosts, &instances, PREFERRED_SUBSET_SIZE);
            pools.push((instances, subsets));
        }
        let placement_s = started.elapsed().as_secs_f64();
        for (instances, subsets) in &pools {
            totals.add(instances, subsets);
        }
        let moved = measure_moves(&hosts, &pools);
        let measurements = vec![
            Measurement::new("instances", totals.instances as f64, "instances"),
            Measurement::new("lowest-over-even", totals.lowest, "ratio")
                .bounded(Bound::AtLeast(0.75)),
            Measurement::new("highest-over-even", totals.highest, "ratio")
                .bounded(Bound::AtMost(1.25)),
            Measurement::new("most-connections", totals.connections, "connections")
                .bounded(Bound::AtMost(MAX_CONNECTIONS_PER_INSTANCE)),
            Measurement::new("fewest-domains", totals.fewest_domains as f64, "domains"),
            Measurement::new("instances-a-host", totals.pairs / HOSTS as f64, "instances"),
            Measurement::new("moved-over-least-host-leaves", moved.0, "ratio"),
            Measurement::new("moved-over-least-instance-added", moved.1, "ratio"),
            Measurement::new("moved-share-host-leaves", moved.2, "share"),
            Measurement::new("placement-wall", placement_s, "s").timed(),
        ];
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

#[derive(Debug)]
struct Totals {
    instances: usize,
    lowest: f64,
    highest: f64,
    connections: f64,
    fewest_domains: usize,
    pairs: f64,
}

impl Default for Totals {
    fn default() -> Self {
        Self {
            instances: 0,
            lowest: f64::MAX,
            highest: 0.0,
            connections: 0.0,
            fewest_domains: usize::MAX,
            pairs: 0.0,
        }
    }
}

impl Totals {
    fn add(&mut self, instances: &[Instance], subsets: &[Vec<usize>]) {
        let mut load = vec![0_usize; instances.len()];
        for subset in subsets {
            let domains: HashSet<_> = subset
                .iter()
                .map(|index| &instances[*index].failure_domain)
                .collect();
            self.fewest_domains = self.fewest_domains.min(domains.len());
            for index in subset {
                load[*index] += 1;
            }
        }
        let pairs: usize = load.iter().sum();
        let even = pairs as f64 / instances.len() as f64;
        for hosts in load {
            self.lowest = self.lowest.min(hosts as f64 / even);
            self.highest = self.highest.max(hosts as f64 / even);
            self.connections = self
                .connections
                .max((hosts * MAX_CONNECTIONS_PER_PAIR) as f64);
        }
        self.instances += instances.len();
        self.pairs += pairs as f64;
    }
}

fn pool(seed: u64, service: usize, size: usize) -> Vec<Instance> {
    let shape = PoolShape {
        hosts: HOSTS,
        domains: 7,
        instances: size,
        slots: 6,
        detection: Detection::Careful,
    };
    let mut instances = shape.instances();
    for instance in &mut instances {
        let name = format!("{seed}-service-{service}-{}", instance.id);
        instance.id = InstanceId::new(&name);
    }
    instances
}

/// Returns the moved pairs relative to the minimum when a host leaves and when an
/// instance is added, and the share of all pairs that move when a host leaves.
fn measure_moves(hosts: &[HostId], pools: &[(Vec<Instance>, Vec<Vec<usize>>)]) -> (f64, f64, f64) {
    let remaining_hosts = &hosts[..HOSTS - 1];
    let mut lost_by_host = 0;
    let mut minimum_by_host = 0;
    let mut changed_by_instance = 0;
    let mut minimum_by_instance = 0;
    let mut all = 0;
    for (service, (instances, subsets)) in pools.iter().enumerate().take(25) {
        let before = pairs(hosts, instances, subsets);
        all += before.len();
        let after = pairs(
            remaining_hosts,
            instances,
            &all_subsets(remaining_hosts, instances, PREFERRED_SUBSET_SIZE),
        );
        let leaving_host = &hosts[HOSTS - 1];
        let kept = before.iter().filter(|pair| &pair.0 != leaving_host);
        lost_by_host += kept.filter(|pair| !after.contains(*pair)).count();
        minimum_by_host += subset_size(HOSTS, instances.len(), PREFERRED_SUBSET_SIZE);
        let larger_pool = pool(0, service, instances.len() + 1);
        let mut grown_pool = instances.clone();
        grown_pool.extend(larger_pool.last().cloned());
        let after = pairs(
            hosts,
            &grown_pool,
            &all_subsets(hosts, &grown_pool, PREFERRED_SUBSET_SIZE),
        );
        changed_by_instance += before.iter().filter(|pair| !after.contains(*pair)).count();
        minimum_by_instance += before.len() / grown_pool.len();
    }
    (
        lost_by_host as f64 / minimum_by_host as f64,
        changed_by_instance as f64 / minimum_by_instance as f64,
        lost_by_host as f64 / all as f64,
    )
}

fn pairs(hosts: &[HostId], instances: &[Instance], subsets: &[Vec<usize>]) -> HashSet<Pair> {
    let mut pairs = HashSet::new();
    for (host, subset) in hosts.iter().zip(subsets) {
        for index in subset {
            pairs.insert((host.clone(), instances[*index].id.clone()));
        }
    }
    pairs
}
