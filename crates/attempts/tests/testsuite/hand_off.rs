//! A planned stop loses no records.

use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_attempts::{AttemptResult, Permission};
use waxwingusher_core::HostId;

use crate::cluster::{Cluster, answer, host, request};

const KEYS: usize = 120;

/// Hands off a host's records and ends its process.
fn stop(cluster: &mut Cluster, id: &HostId) {
    let outgoing = cluster.registry(id).hand_off();
    cluster.deliver(id, outgoing);
    for _ in 0..20 {
        cluster.advance(Duration::from_millis(250));
    }
    let progress = cluster.registry(id).hand_off_progress();
    assert!(progress.receivers > 0 && progress.is_done(), "{progress:?}");
    cluster.hosts.remove(id);
}

fn run_keys(cluster: &mut Cluster) {
    for key in 0..KEYS {
        let first = request(&key.to_string(), "x", &cluster.clock);
        let ticket = cluster.dispatch(&host(0), &first);
        let result = AttemptResult::Answered(answer(key.to_string().as_bytes()));
        let outgoing = cluster.registry(&host(0)).finish(ticket, result);
        cluster.deliver(&host(0), outgoing);
    }
}

fn expect_first_answers(cluster: &mut Cluster, via: &HostId) {
    for key in 0..KEYS {
        let repeat = request(&key.to_string(), "x", &cluster.clock);
        let (_, permission) = cluster.begin(via, &repeat);
        let expected = answer(key.to_string().as_bytes());
        assert_eq!(permission, Permission::FirstAnswer(expected), "key {key}");
    }
}

#[test]
fn restarted_hosts_vouch_with_the_records_of_their_former_process() {
    let mut cluster = Cluster::warm(6, 3);
    run_keys(&mut cluster);
    for index in 0..6 {
        stop(&mut cluster, &host(index));
        cluster.start(&host(index));
        let settle = cluster.settings.list_settle;
        cluster.advance(settle + Duration::from_secs(1));
        assert!(cluster.registry(&host(index)).report().is_covered);
    }
    expect_first_answers(&mut cluster, &host(0));
    let fresh = request("fresh", "x", &cluster.clock);
    cluster.dispatch(&host(0), &fresh);
}

#[test]
fn crashed_hosts_do_not_vouch_after_a_restart() {
    let mut cluster = Cluster::warm(6, 3);
    run_keys(&mut cluster);
    for index in 0..6 {
        cluster.start(&host(index));
    }
    let settle = cluster.settings.list_settle;
    cluster.advance(settle + Duration::from_secs(1));
    let repeat = request("0", "x", &cluster.clock);
    let (_, permission) = cluster.begin(&host(0), &repeat);
    assert_matches!(permission, Permission::Unknown(_));
}

#[test]
fn successors_replace_stopped_hosts_once_the_list_drops_them() {
    let mut cluster = Cluster::warm(9, 3);
    run_keys(&mut cluster);
    for index in [0, 1, 2] {
        stop(&mut cluster, &host(index));
    }
    cluster.list.version += 1;
    cluster.list.hosts.drain(0..3);
    let settle = cluster.settings.list_settle;
    cluster.advance(settle + Duration::from_secs(1));
    expect_first_answers(&mut cluster, &host(3));
    for key in 0..KEYS {
        let fresh = request(&format!("fresh {key}"), "x", &cluster.clock);
        cluster.dispatch(&host(3), &fresh);
    }
}

#[test]
fn no_host_replaces_a_witness_after_an_incomplete_hand_off() {
    let mut cluster = Cluster::warm(9, 3);
    run_keys(&mut cluster);
    for index in [0, 1, 2] {
        let outgoing = cluster.registry(&host(index)).hand_off();
        cluster.disconnected.push(host(index));
        cluster.deliver(&host(index), outgoing);
        cluster.advance(Duration::from_secs(1));
        let progress = cluster.registry(&host(index)).hand_off_progress();
        assert!(!progress.is_done(), "{progress:?}");
        cluster.hosts.remove(&host(index));
    }
    cluster.list.version += 1;
    cluster.list.hosts.drain(0..3);
    let settle = cluster.settings.list_settle;
    cluster.advance(settle + Duration::from_secs(1));
    let mut unknown = 0;
    for key in 0..KEYS {
        let repeat = request(&key.to_string(), "x", &cluster.clock);
        let (_, permission) = cluster.begin(&host(3), &repeat);
        assert_ne!(permission, Permission::Run, "key {key}");
        unknown += usize::from(matches!(permission, Permission::Unknown(_)));
    }
    assert!(unknown > 0);
}

#[test]
fn a_restart_keeps_its_records_although_the_list_changes() {
    let mut cluster = Cluster::warm(12, 3);
    run_keys(&mut cluster);
    let settle = cluster.settings.list_settle + Duration::from_secs(1);
    let grown = cluster.list.clone();
    cluster.list.version += 1;
    cluster.list.hosts.truncate(11);
    cluster.advance(settle);
    for index in [0, 1, 2] {
        stop(&mut cluster, &host(index));
        cluster.start(&host(index));
        cluster.advance(settle);
        assert!(cluster.registry(&host(index)).report().is_covered);
    }
    cluster.list.version += 1;
    cluster.list.hosts = grown.hosts;
    cluster.advance(settle);
    for key in 0..KEYS {
        let repeat = request(&key.to_string(), "x", &cluster.clock);
        let (_, permission) = cluster.begin(&host(3), &repeat);
        assert_matches!(
            permission,
            Permission::FirstAnswer(_) | Permission::Unknown(_),
            "key {key}"
        );
    }
}

#[test]
fn the_hand_off_of_a_host_without_coverage_gives_no_coverage() {
    let mut cluster = Cluster::warm(6, 3);
    let settle = cluster.settings.list_settle;
    cluster.start(&host(0));
    cluster.advance(settle + Duration::from_secs(1));
    stop(&mut cluster, &host(0));
    cluster.start(&host(0));
    cluster.advance(settle + Duration::from_secs(1));
    assert!(!cluster.registry(&host(0)).report().is_covered);
}

#[test]
fn no_host_replaces_a_witness_that_got_its_records_back() {
    let mut cluster = Cluster::warm(9, 3);
    let settle = cluster.settings.list_settle + Duration::from_secs(1);
    stop(&mut cluster, &host(0));
    cluster.start(&host(0));
    cluster.advance(settle);
    cluster.disconnected = vec![host(2), host(5), host(8)];
    run_keys(&mut cluster);
    cluster.disconnected.clear();
    for index in [1, 4, 7] {
        cluster.start(&host(index));
    }
    cluster.hosts.remove(&host(0));
    cluster.list.version += 1;
    cluster.list.hosts.remove(0);
    cluster.advance(settle);
    for key in 0..KEYS {
        let repeat = request(&key.to_string(), "x", &cluster.clock);
        let (_, permission) = cluster.begin(&host(5), &repeat);
        assert_ne!(permission, Permission::Run, "key {key}");
    }
}

#[test]
fn a_host_does_not_vouch_after_its_hand_off() {
    let mut cluster = Cluster::warm(3, 3);
    cluster.registry(&host(0)).hand_off();
    cluster.disconnected.push(host(1));
    let first = request("a", "x", &cluster.clock);
    let (_, permission) = cluster.begin(&host(2), &first);
    assert_matches!(permission, Permission::Unknown(_));
}

#[test]
fn partly_returned_records_give_no_coverage() {
    let mut cluster = Cluster::warm(9, 3);
    run_keys(&mut cluster);
    stop(&mut cluster, &host(0));
    cluster.hosts.remove(&host(3));
    cluster.start(&host(0));
    cluster.advance(Duration::from_secs(60));
    assert!(!cluster.registry(&host(0)).report().is_covered);
}

#[test]
fn a_host_that_was_off_the_list_gets_no_records_back() {
    let mut cluster = Cluster::warm(9, 3);
    run_keys(&mut cluster);
    let settle = cluster.settings.list_settle + Duration::from_secs(1);
    let full = cluster.list.hosts.clone();
    stop(&mut cluster, &host(0));
    cluster.list.version += 1;
    cluster.list.hosts.remove(0);
    cluster.advance(settle);
    cluster.list.version += 1;
    cluster.list.hosts = full;
    cluster.start(&host(0));
    cluster.advance(Duration::from_secs(60));
    assert!(!cluster.registry(&host(0)).report().is_covered);
}

#[test]
fn only_the_receiver_of_a_record_replaces_its_witness() {
    let mut cluster = Cluster::warm(12, 3);
    cluster.disconnected = [2, 5, 8, 11].map(host).to_vec();
    run_keys(&mut cluster);
    cluster.disconnected.clear();
    stop(&mut cluster, &host(0));
    cluster.hosts.remove(&host(3));
    for index in [1, 4, 7, 10] {
        cluster.start(&host(index));
    }
    cluster.list.version += 1;
    cluster
        .list
        .hosts
        .retain(|entry| entry.id != host(0) && entry.id != host(3));
    let settle = cluster.settings.list_settle + Duration::from_secs(1);
    cluster.advance(settle);
    for key in 0..KEYS {
        let repeat = request(&key.to_string(), "x", &cluster.clock);
        let (_, permission) = cluster.begin(&host(5), &repeat);
        assert_ne!(permission, Permission::Run, "key {key}");
    }
}

#[test]
fn a_restarted_host_does_not_vouch_for_keys_that_it_was_assigned_since() {
    let mut cluster = Cluster::warm(12, 3);
    let settle = cluster.settings.list_settle + Duration::from_secs(1);
    cluster.disconnected = [1, 4, 7, 10].map(host).to_vec();
    run_keys(&mut cluster);
    cluster.disconnected.clear();
    cluster.hosts.remove(&host(11));
    cluster.list.version += 1;
    cluster.list.hosts.retain(|entry| entry.id != host(11));
    cluster.advance(settle);
    stop(&mut cluster, &host(2));
    cluster.start(&host(2));
    cluster.advance(settle);
    assert!(cluster.registry(&host(2)).report().is_covered);
    for index in [0, 3, 6, 9] {
        cluster.start(&host(index));
    }
    cluster.advance(settle);
    for key in 0..KEYS {
        let repeat = request(&key.to_string(), "x", &cluster.clock);
        let (_, permission) = cluster.begin(&host(1), &repeat);
        assert_ne!(permission, Permission::Run, "key {key}");
    }
}

#[test]
fn peers_that_do_not_know_the_earlier_lists_return_no_records() {
    let mut cluster = Cluster::warm(12, 3);
    let settle = cluster.settings.list_settle + Duration::from_secs(1);
    cluster.list.version += 1;
    cluster.list.hosts.truncate(11);
    cluster.hosts.remove(&host(11));
    cluster.advance(settle);
    for index in [5, 8] {
        cluster.start(&host(index));
    }
    cluster.advance(settle);
    stop(&mut cluster, &host(2));
    cluster.start(&host(2));
    cluster.advance(Duration::from_secs(60));
    assert!(!cluster.registry(&host(2)).report().is_covered);
}
