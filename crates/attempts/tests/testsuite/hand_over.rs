//! Planned stops lose no memory.

use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_attempts::{AttemptResult, Permission};
use waxwingusher_core::HostId;

use crate::cluster::{Cluster, answer, host, request};

const KEYS: usize = 120;

/// Hands a host's records over and ends its process.
fn stop(cluster: &mut Cluster, id: &HostId) {
    let outgoing = cluster.registry(id).hand_over();
    cluster.deliver(id, outgoing);
    for _ in 0..20 {
        cluster.pass(Duration::from_millis(250));
    }
    let progress = cluster.registry(id).hand_over_progress();
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
fn restarted_hosts_vouch_at_once_with_the_records_of_their_former_process() {
    let mut cluster = Cluster::warm(6, 3);
    run_keys(&mut cluster);
    for index in 0..6 {
        stop(&mut cluster, &host(index));
        cluster.start(&host(index));
        let settle = cluster.settings.list_settle;
        cluster.pass(settle + Duration::from_secs(1));
        assert!(cluster.registry(&host(index)).report().is_covered);
    }
    expect_first_answers(&mut cluster, &host(0));
    let fresh = request("fresh", "x", &cluster.clock);
    cluster.dispatch(&host(0), &fresh);
}

#[test]
fn hosts_that_died_do_not_vouch_when_they_return() {
    let mut cluster = Cluster::warm(6, 3);
    run_keys(&mut cluster);
    for index in 0..6 {
        cluster.start(&host(index));
    }
    let settle = cluster.settings.list_settle;
    cluster.pass(settle + Duration::from_secs(1));
    let repeat = request("0", "x", &cluster.clock);
    let (_, permission) = cluster.begin(&host(0), &repeat);
    assert_matches!(permission, Permission::Unknown(_));
}

#[test]
fn successors_stand_for_stopped_hosts_once_the_list_drops_them() {
    let mut cluster = Cluster::warm(9, 3);
    run_keys(&mut cluster);
    for index in [0, 1, 2] {
        stop(&mut cluster, &host(index));
    }
    cluster.list.version += 1;
    cluster.list.hosts.drain(0..3);
    let settle = cluster.settings.list_settle;
    cluster.pass(settle + Duration::from_secs(1));
    expect_first_answers(&mut cluster, &host(3));
    for key in 0..KEYS {
        let fresh = request(&format!("fresh {key}"), "x", &cluster.clock);
        cluster.dispatch(&host(3), &fresh);
    }
}

#[test]
fn a_hand_over_that_is_cut_short_leaves_nobody_to_stand_in() {
    let mut cluster = Cluster::warm(9, 3);
    run_keys(&mut cluster);
    for index in [0, 1, 2] {
        let outgoing = cluster.registry(&host(index)).hand_over();
        cluster.cut.push(host(index));
        cluster.deliver(&host(index), outgoing);
        cluster.pass(Duration::from_secs(1));
        let progress = cluster.registry(&host(index)).hand_over_progress();
        assert!(!progress.is_done(), "{progress:?}");
        cluster.hosts.remove(&host(index));
    }
    cluster.list.version += 1;
    cluster.list.hosts.drain(0..3);
    let settle = cluster.settings.list_settle;
    cluster.pass(settle + Duration::from_secs(1));
    let mut unknown = 0;
    for key in 0..KEYS {
        let repeat = request(&key.to_string(), "x", &cluster.clock);
        let (_, permission) = cluster.begin(&host(3), &repeat);
        assert_ne!(permission, Permission::Run, "key {key}");
        unknown += usize::from(matches!(permission, Permission::Unknown(_)));
    }
    assert!(unknown > 0);
}
