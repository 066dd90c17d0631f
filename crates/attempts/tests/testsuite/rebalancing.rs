//! Hosts that the list newly names witnesses take over the memory of the
//! former ones.

use std::time::Duration;

use waxwingusher_attempts::{AttemptResult, Permission};
use waxwingusher_core::{FailureDomain, HostEntry, HostId, HostState};

use crate::cluster::{Cluster, answer, host, request};

const KEYS: usize = 120;
const HOSTS: usize = 6;
const DOMAINS: usize = 3;

fn add(cluster: &mut Cluster, index: usize) {
    cluster.list.version += 1;
    cluster.list.hosts.push(HostEntry {
        id: host(index),
        peer_addr: cluster.list.hosts[0].peer_addr,
        failure_domain: FailureDomain::new(&format!("d{}", index % DOMAINS)),
        state: HostState::Live,
    });
    cluster.start(&host(index));
    settle(cluster);
}

fn remove(cluster: &mut Cluster, id: &HostId) {
    cluster.hosts.remove(id);
    cluster.list.version += 1;
    cluster.list.hosts.retain(|entry| entry.id != *id);
    settle(cluster);
}

fn stop(cluster: &mut Cluster, id: &HostId) {
    let outgoing = cluster.registry(id).hand_off();
    cluster.deliver(id, outgoing);
    cluster.pass(Duration::from_secs(1));
    assert!(cluster.registry(id).hand_off_progress().is_done());
    remove(cluster, id);
}

fn settle(cluster: &mut Cluster) {
    let settle = cluster.settings.list_settle + Duration::from_secs(2);
    cluster.pass(settle);
}

fn run_keys(cluster: &mut Cluster, via: &HostId) {
    for key in 0..KEYS {
        let first = request(&key.to_string(), "x", &cluster.clock);
        let ticket = cluster.dispatch(via, &first);
        let result = AttemptResult::Answered(answer(key.to_string().as_bytes()));
        let outgoing = cluster.registry(via).finish(ticket, result);
        cluster.deliver(via, outgoing);
    }
}

fn permission(cluster: &mut Cluster, via: &HostId, key: &str) -> Permission {
    let repeat = request(key, "x", &cluster.clock);
    cluster.begin(via, &repeat).1
}

#[test]
fn a_fleet_whose_hosts_all_get_other_names_forgets_nothing() {
    let mut cluster = Cluster::warm(HOSTS, DOMAINS);
    run_keys(&mut cluster, &host(0));
    for index in 0..HOSTS {
        add(&mut cluster, HOSTS + index);
        assert!(cluster.registry(&host(HOSTS + index)).vouches_for_all());
        stop(&mut cluster, &host(index));
    }
    for key in 0..KEYS {
        let told = permission(&mut cluster, &host(HOSTS), &key.to_string());
        let expected = answer(key.to_string().as_bytes());
        assert_eq!(told, Permission::FirstAnswer(expected), "key {key}");
    }
    for key in 0..KEYS {
        let fresh = request(&format!("fresh {key}"), "x", &cluster.clock);
        cluster.dispatch(&host(HOSTS), &fresh);
    }
}

/// Adds a host, lets it forget what it granted, and loses the memory of the
/// keys' other witnesses.
fn forget(cluster: &mut Cluster, added: usize, is_same_name: bool) {
    cluster.cut = others(added);
    let via = host(added % DOMAINS);
    for key in 0..KEYS {
        let first = request(&key.to_string(), "x", &cluster.clock);
        let (ticket, permission) = cluster.begin(&via, &first);
        if permission == Permission::Run {
            let checked = cluster.registry(&via).check_before_dispatch(ticket);
            assert_eq!(checked, Ok(()));
        }
    }
    cluster.cut.clear();
    for other in others(added) {
        cluster.start(&other);
    }
    if is_same_name {
        cluster.start(&host(added));
        settle(cluster);
    } else {
        remove(cluster, &host(added));
    }
}

/// The hosts of one of the other failure domains.
fn others(added: usize) -> Vec<HostId> {
    let domain = (added + 1) % DOMAINS;
    (0..HOSTS)
        .filter(|index| index % DOMAINS == domain)
        .map(host)
        .collect()
}

fn runs_again(cluster: &mut Cluster) -> usize {
    let mut again = 0;
    for key in 0..KEYS {
        let told = permission(cluster, &host(0), &key.to_string());
        again += usize::from(told == Permission::Run);
    }
    again
}

#[test]
fn memory_is_given_to_one_process_only() {
    let mut cluster = Cluster::warm(HOSTS, DOMAINS);
    add(&mut cluster, HOSTS);
    forget(&mut cluster, HOSTS, true);
    assert!(!cluster.registry(&host(HOSTS)).vouches_for_all());
    assert_eq!(runs_again(&mut cluster), 0);
}

#[test]
fn a_former_witness_does_not_vouch_for_what_it_gave() {
    let mut cluster = Cluster::warm(HOSTS, DOMAINS);
    add(&mut cluster, HOSTS);
    forget(&mut cluster, HOSTS, false);
    assert_eq!(runs_again(&mut cluster), 0);
}

#[test]
fn memory_of_a_host_that_vouches_by_its_age_is_not_given_again() {
    let mut cluster = Cluster::warm(HOSTS, DOMAINS);
    cluster.cut = (0..HOSTS).map(host).collect();
    add(&mut cluster, HOSTS);
    cluster.cut.clear();
    let coverage = cluster.settings.coverage();
    cluster.pass(coverage);
    assert!(cluster.registry(&host(HOSTS)).vouches_for_all());
    forget(&mut cluster, HOSTS, true);
    assert!(!cluster.registry(&host(HOSTS)).vouches_for_all());
    assert_eq!(runs_again(&mut cluster), 0);
}

#[test]
fn a_claim_on_a_stopped_witness_is_made_anew_once_the_list_drops_it() {
    let mut cluster = Cluster::warm(HOSTS, DOMAINS);
    let outgoing = cluster.registry(&host(0)).hand_off();
    cluster.deliver(&host(0), outgoing);
    cluster.pass(Duration::from_secs(1));
    cluster.hosts.remove(&host(0));
    for other in others(0) {
        cluster.start(&other);
    }
    cluster.list.version += 1;
    cluster.list.hosts.remove(0);
    let settle = cluster.settings.list_settle;
    cluster.pass(settle.saturating_sub(Duration::from_millis(500)));
    let via = host(2);
    for key in 0..KEYS {
        let first = request(&key.to_string(), "x", &cluster.clock);
        let (_, outgoing) = cluster.registry(&via).begin(&first);
        cluster.deliver(&via, outgoing);
    }
    cluster.pass(Duration::from_secs(2));
    let decisions = cluster.registry(&via).take_decisions();
    let runs = decisions
        .iter()
        .filter(|one| one.permission == Permission::Run);
    assert_eq!(runs.count(), KEYS);
}
