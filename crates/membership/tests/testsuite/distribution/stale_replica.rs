//! The evidence that a stale replica of the service can give.

use std::time::{Duration, Instant};

use waxwingusher_bench::config::sample::{host_id, host_list};
use waxwingusher_bench::config::service::{OldValues, ServiceMode};
use waxwingusher_core::Clock;
use waxwingusher_protocol::{ConfigMessage, ConfigSummary};

use super::harness::{DOMAINS, Harness, TARGET};

const HOSTS: usize = 12;

/// The age of evidence that users of the host list accept.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(10);

/// Returns a fleet with list 2 in force, and the earlier values of the service.
fn harness(seed: u64) -> (Harness, OldValues) {
    let mut test = Harness::new(HOSTS, seed);
    let old = test.fleet.service.snapshot();
    test.fleet.service.put_hosts(&host_list(HOSTS, DOMAINS, 2));
    test.fleet.run(TARGET);
    assert_eq!(list_versions(&test), vec![2; HOSTS]);
    (test, old)
}

fn list_versions(test: &Harness) -> Vec<u64> {
    let nodes = test.fleet.nodes.values();
    nodes
        .map(|node| node.agent.list_freshness().version)
        .collect()
}

/// Returns the latest evidence of any host that its list is current.
fn latest_evidence(test: &Harness) -> Option<Instant> {
    let nodes = test.fleet.nodes.values();
    let evidence = nodes.map(|node| node.agent.list_freshness().confirmed_at);
    evidence.max().flatten()
}

#[test]
fn a_watch_that_ends_at_an_older_revision_is_no_evidence() {
    let (mut test, old) = harness(61);
    test.fleet.service.serve_old(&old);
    // A newer list that no host can see.
    test.fleet.service.put_hosts(&host_list(HOSTS, DOMAINS, 3));
    let stale_since = test.fleet.clock.now();
    test.fleet.run(Duration::from_secs(60));
    assert_eq!(list_versions(&test), vec![2; HOSTS]);
    let latest = latest_evidence(&test);
    assert!(
        latest <= Some(stale_since),
        "{:?} too late",
        latest.map(|at| at - stale_since)
    );

    test.fleet.service.set_mode(ServiceMode::Current);
    test.fleet.run(TARGET);
    assert_eq!(list_versions(&test), vec![3; HOSTS]);
    let now = test.fleet.clock.now();
    for node in test.fleet.nodes.values() {
        let confirmed = node.agent.list_freshness().confirmed_at;
        assert!(confirmed.is_some_and(|at| now - at < MAX_EVIDENCE_AGE));
    }
}

#[test]
fn a_watch_whose_answer_names_no_revision_is_no_evidence() {
    let (mut test, _) = harness(62);
    test.fleet.service.set_hides_revisions(true);
    let since = test.fleet.clock.now();
    test.fleet.run(Duration::from_secs(60));
    assert!(latest_evidence(&test) <= Some(since));
}

#[test]
fn a_watch_that_ends_early_is_no_evidence_for_the_rest_of_its_wait() {
    let (mut test, _) = harness(63);
    test.fleet
        .service
        .set_longest_wait(Duration::from_millis(100));
    for _ in 0..100 {
        test.fleet.run(Duration::from_millis(150));
        assert!(latest_evidence(&test) <= Some(test.fleet.clock.now()));
    }
}

#[test]
fn evidence_of_a_list_ends_when_a_peer_knows_of_a_newer_one() {
    let (mut test, _) = harness(64);
    let node = test.fleet.nodes.get_mut(&host_id(0)).expect("it runs");
    let agent = &mut node.agent;
    assert!(agent.list_freshness().confirmed_at.is_some());
    let summary = ConfigSummary {
        seen_hosts_version: 3,
        ..ConfigSummary::default()
    };
    agent.on_message(&host_id(1), 1, &ConfigMessage::Announce { summary });
    assert_eq!(agent.list_freshness().confirmed_at, None);
}
