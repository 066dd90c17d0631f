//! A service that is unavailable, stale, or reachable by some hosts only.

use std::time::Duration;

use waxwingusher_bench::config::sample::host_id;
use waxwingusher_bench::config::service::ServiceMode;
use waxwingusher_config::publish;

use super::harness::{Harness, TARGET, in_domain};

/// The longest backoff of a reader whose calls failed.
const MAX_READER_BACKOFF: Duration = Duration::from_secs(30);

#[test]
fn hosts_keep_and_share_their_configuration_while_the_service_is_unavailable_for_hours() {
    let mut test = Harness::new(12, 11);
    test.publish();
    test.expect_everywhere(2, TARGET);
    test.fleet.service.set_mode(ServiceMode::Unavailable);
    test.fleet.set_tick(Duration::from_millis(500));
    let calls = test.fleet.service.calls();
    for i in 0..12 {
        test.fleet.run(Duration::from_secs(900));
        test.fleet.restart(&host_id(i));
        test.expect_everywhere(2, Duration::from_secs(20));
    }
    let calls_per_s = (test.fleet.service.calls() - calls) as f64 / (12.0 * 900.0);
    assert!(calls_per_s < 2.0, "{calls_per_s} calls a second");
    test.publish();
    test.fleet.service.set_mode(ServiceMode::Current);
    test.expect_everywhere(3, MAX_READER_BACKOFF + TARGET);
}

#[test]
fn an_older_version_of_a_stale_replica_changes_nothing() {
    let mut test = Harness::new(12, 12);
    let old = publish(&test.snapshot).expect("it is good");
    test.publish();
    test.expect_everywhere(2, TARGET);
    test.fleet.service.publish(&old);
    test.fleet.run(Duration::from_secs(60));
    assert_eq!(test.versions(), vec![2; 12]);
    assert_eq!(test.refusals(), 0);
    let stale: u64 = test
        .fleet
        .nodes
        .values()
        .map(|n| n.agent.counters().stale_reads)
        .sum();
    assert!(stale > 0);
    test.publish();
    test.expect_everywhere(3, TARGET);
}

#[test]
fn a_failure_domain_cut_off_from_the_service_learns_from_peers() {
    let mut test = Harness::new(12, 13);
    for i in 0..12 {
        if in_domain(&host_id(i), 0) {
            test.fleet.service.cut(&host_id(i));
        }
    }
    for version in 2..6 {
        test.publish();
        test.expect_everywhere(version, TARGET);
        test.fleet.run(Duration::from_secs(7));
    }
}

#[test]
fn a_host_that_reaches_only_one_peer_stays_current() {
    let mut test = Harness::new(40, 14);
    let (isolated, peer) = (host_id(5), host_id(23));
    test.fleet.service.cut(&isolated);
    test.fleet.partition(|id| *id == isolated);
    test.fleet.heal(&isolated, &peer);
    for version in 2..8 {
        test.publish();
        test.expect_everywhere(version, TARGET);
        test.fleet.run(Duration::from_millis(test.rng.u64(..9_000)));
    }
}

#[test]
fn partitioned_peers_catch_up_when_the_partition_ends() {
    let mut test = Harness::new(12, 15);
    for i in 0..12 {
        if in_domain(&host_id(i), 1) {
            test.fleet.service.cut(&host_id(i));
        }
    }
    test.fleet.partition(|id| in_domain(id, 1));
    test.publish();
    test.publish();
    test.fleet.run(Duration::from_secs(120));
    for (id, node) in &test.fleet.nodes {
        let expected = if in_domain(id, 1) { 1 } else { 3 };
        let version = node.agent.current().map(|snapshot| snapshot.version);
        assert_eq!(version, Some(expected), "{id}");
    }
    test.fleet.heal_all();
    test.expect_everywhere(3, TARGET);
}

#[test]
fn a_version_that_skips_numbers_is_in_force_like_any_other() {
    let mut test = Harness::new(12, 16);
    test.snapshot.version = 1_000_000;
    test.publish();
    test.expect_everywhere(1_000_001, TARGET);
    test.publish();
    test.expect_everywhere(1_000_002, TARGET);
}

#[test]
fn only_missing_packs_are_fetched() {
    let mut test = Harness::new(12, 17);
    let before = test
        .fleet
        .nodes
        .values()
        .map(|n| n.agent.counters().peer_fetches)
        .sum::<u64>();
    test.publish();
    test.expect_everywhere(2, TARGET);
    let after = test
        .fleet
        .nodes
        .values()
        .map(|n| n.agent.counters().peer_fetches)
        .sum::<u64>();
    // A manifest and the one pack that changed.
    assert!(after - before <= 12 * 2, "{} fetches", after - before);
}
