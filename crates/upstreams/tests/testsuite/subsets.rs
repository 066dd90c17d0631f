//! Subsets of large pools.

use std::collections::HashSet;

use waxwingusher_config::Instance;
use waxwingusher_core::HostId;
use waxwingusher_upstreams::subset::{
    MAX_CONNECTIONS_PER_INSTANCE, MAX_CONNECTIONS_PER_PAIR, all_subsets, subset,
};

use crate::fleet::{host_id, instance};

const PREFERRED: usize = 12;

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(host_id).collect()
}

fn instances(count: usize) -> Vec<Instance> {
    (0..count).map(|index| instance(index, 6)).collect()
}

#[test]
fn subsets_are_even_and_within_the_connection_limit() {
    for size in [5, 8, 15, 21, 24, 38, 90] {
        let subsets = all_subsets(&hosts(440), &instances(size), PREFERRED);
        let mut load = vec![0_usize; size];
        for index in subsets.iter().flatten() {
            load[*index] += 1;
        }
        let even = load.iter().sum::<usize>() as f64 / size as f64;
        for hosts in load {
            assert!(
                (hosts as f64 - even).abs() <= even / 4.0,
                "{size}: {hosts} of {even}"
            );
            assert!(hosts * MAX_CONNECTIONS_PER_PAIR <= MAX_CONNECTIONS_PER_INSTANCE);
        }
    }
}

#[test]
fn every_host_computes_the_same_subsets() {
    let (hosts, instances) = (hosts(440), instances(38));
    let all = all_subsets(&hosts, &instances, PREFERRED);
    for row in [0, 7, 439] {
        assert_eq!(subset(&hosts[row], &hosts, &instances, PREFERRED), all[row]);
    }
}

#[test]
fn a_removed_host_moves_few_pairs() {
    let instances = instances(38);
    let before = all_subsets(&hosts(440), &instances, PREFERRED);
    let after = all_subsets(&hosts(439), &instances, PREFERRED);
    let mut moved = 0;
    for (old, new) in before.iter().zip(&after) {
        let old: HashSet<_> = old.iter().collect();
        moved += new.iter().filter(|index| !old.contains(index)).count();
    }
    let pairs = 439 * PREFERRED;
    assert!(moved * 20 <= pairs, "{moved} of {pairs} pairs moved");
}
