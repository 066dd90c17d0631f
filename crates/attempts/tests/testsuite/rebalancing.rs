//! Hosts that become witnesses by a change of the list take over the records of
//! the former witnesses.

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
    cluster.advance(Duration::from_secs(1));
    assert!(cluster.registry(id).hand_off_progress().is_done());
    remove(cluster, id);
}

fn settle(cluster: &mut Cluster) {
    let settle = cluster.settings.list_settle + Duration::from_secs(2);
    cluster.advance(settle);
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
fn no_record_is_lost_when_all_hosts_are_replaced() {
    let mut cluster = Cluster::warm(HOSTS, DOMAINS);
    run_keys(&mut cluster, &host(0));
    for index in 0..HOSTS {
        add(&mut cluster, HOSTS + index);
        assert!(cluster.registry(&host(HOSTS + index)).vouches_for_all());
        stop(&mut cluster, &host(index));
    }
    for key in 0..KEYS {
        let permission = permission(&mut cluster, &host(HOSTS), &key.to_string());
        let expected = answer(key.to_string().as_bytes());
        assert_eq!(permission, Permission::FirstAnswer(expected), "key {key}");
    }
    for key in 0..KEYS {
        let fresh = request(&format!("fresh {key}"), "x", &cluster.clock);
        cluster.dispatch(&host(HOSTS), &fresh);
    }
}

/// Runs keys without the hosts of one failure domain. Then restarts these hosts,
/// and restarts or removes the added host, so that the records of both are lost.
fn lose_records(cluster: &mut Cluster, added: usize, is_same_name: bool) {
    cluster.disconnected = others(added);
    let via = host(added % DOMAINS);
    for key in 0..KEYS {
        let first = request(&key.to_string(), "x", &cluster.clock);
        let (ticket, permission) = cluster.begin(&via, &first);
        if permission == Permission::Run {
            let checked = cluster.registry(&via).check_before_dispatch(ticket);
            assert_eq!(checked, Ok(()));
        }
    }
    cluster.disconnected.clear();
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
        let permission = permission(cluster, &host(0), &key.to_string());
        again += usize::from(permission == Permission::Run);
    }
    again
}

#[test]
fn records_are_handed_off_to_one_process_only() {
    let mut cluster = Cluster::warm(HOSTS, DOMAINS);
    add(&mut cluster, HOSTS);
    lose_records(&mut cluster, HOSTS, true);
    assert!(!cluster.registry(&host(HOSTS)).vouches_for_all());
    assert_eq!(runs_again(&mut cluster), 0);
}

#[test]
fn a_former_witness_does_not_vouch_for_keys_that_it_handed_off() {
    let mut cluster = Cluster::warm(HOSTS, DOMAINS);
    add(&mut cluster, HOSTS);
    lose_records(&mut cluster, HOSTS, false);
    assert_eq!(runs_again(&mut cluster), 0);
}

#[test]
fn records_are_not_handed_off_to_a_host_that_vouched_with_its_own() {
    let mut cluster = Cluster::warm(HOSTS, DOMAINS);
    cluster.disconnected = (0..HOSTS).map(host).collect();
    add(&mut cluster, HOSTS);
    cluster.disconnected.clear();
    let coverage = cluster.settings.coverage();
    cluster.advance(coverage);
    assert!(cluster.registry(&host(HOSTS)).vouches_for_all());
    lose_records(&mut cluster, HOSTS, true);
    assert!(!cluster.registry(&host(HOSTS)).vouches_for_all());
    assert_eq!(runs_again(&mut cluster), 0);
}

#[test]
fn a_claim_on_a_stopped_witness_is_repeated_once_the_list_drops_it() {
    let mut cluster = Cluster::warm(HOSTS, DOMAINS);
    let outgoing = cluster.registry(&host(0)).hand_off();
    cluster.deliver(&host(0), outgoing);
    cluster.advance(Duration::from_secs(1));
    cluster.hosts.remove(&host(0));
    for other in others(0) {
        cluster.start(&other);
    }
    cluster.list.version += 1;
    cluster.list.hosts.remove(0);
    let settle = cluster.settings.list_settle;
    cluster.advance(settle.saturating_sub(Duration::from_millis(500)));
    let via = host(2);
    for key in 0..KEYS {
        let first = request(&key.to_string(), "x", &cluster.clock);
        let (_, outgoing) = cluster.registry(&via).begin(&first);
        cluster.deliver(&via, outgoing);
    }
    cluster.advance(Duration::from_secs(2));
    let decisions = cluster.registry(&via).take_decisions();
    let runs = decisions
        .iter()
        .filter(|decision| decision.permission == Permission::Run);
    assert_eq!(runs.count(), KEYS);
}
