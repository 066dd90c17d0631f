//! Which hosts read the service, and the age of the list that they report.

use std::collections::BTreeSet;
use std::time::Duration;

use waxwingusher_bench::config::sample::{host_id, host_list};
use waxwingusher_bench::config::service::ServiceMode;
use waxwingusher_core::Clock;
use waxwingusher_membership::distribution::DistributionSettings;

use super::harness::{DOMAINS, Harness, TARGET, in_domain};

const READERS_PER_DOMAIN: usize = 2;

#[test]
fn each_failure_domain_has_two_readers() {
    let test = Harness::new(30, 41);
    let readers = test.readers();
    for domain in 0..DOMAINS {
        let count = readers.iter().filter(|id| in_domain(id, domain)).count();
        assert_eq!(count, READERS_PER_DOMAIN);
    }
}

#[test]
fn silent_readers_are_replaced() {
    let mut test = Harness::new(30, 42);
    let stopped: Vec<_> = test.readers();
    for id in &stopped {
        test.fleet.stop(id);
    }
    test.fleet.run(Duration::from_secs(60));
    assert_eq!(test.readers().len(), DOMAINS * READERS_PER_DOMAIN);
    test.publish();
    test.expect_everywhere(2, TARGET);
    for (i, id) in stopped.iter().enumerate() {
        let domain = (0..DOMAINS).find(|d| in_domain(id, *d)).unwrap_or(i);
        test.fleet
            .start(id, &format!("domain-{domain}").as_str().into());
    }
    test.fleet.run(Duration::from_secs(60));
    assert_eq!(test.readers(), stopped, "the first readers read again");
}

#[test]
fn readers_without_answers_of_the_service_are_replaced() {
    let mut test = Harness::new(30, 43);
    for id in test.readers() {
        test.fleet.service.cut(&id);
    }
    test.fleet.run(Duration::from_secs(90));
    test.publish();
    test.expect_everywhere(2, TARGET);
}

/// Returns the call rate of two readers per failure domain that watch two values
/// each. It does not depend on the number of hosts.
fn calls_of_readers_per_s() -> f64 {
    let settings = DistributionSettings::default();
    let waits = [settings.watch_wait, settings.list_watch_wait];
    let per_reader: f64 = waits.iter().map(|wait| 1.0 / wait.as_secs_f64()).sum();
    per_reader * (READERS_PER_DOMAIN * DOMAINS) as f64
}

#[test]
fn the_call_rate_is_bounded_in_each_service_mode() {
    let mut test = Harness::new(40, 44);
    for mode in [
        ServiceMode::Current,
        ServiceMode::Unavailable,
        ServiceMode::Stale,
    ] {
        test.fleet.service.set_mode(mode);
        let calls = test.fleet.service.calls();
        test.fleet.run(Duration::from_secs(300));
        let per_s = (test.fleet.service.calls() - calls) as f64 / 300.0;
        let limit = calls_of_readers_per_s() * 1.1;
        assert!(per_s < limit, "{per_s} calls a second in {mode:?}");
    }
}

#[test]
fn the_age_of_the_list_is_never_understated() {
    let mut test = Harness::new(12, 45);
    test.fleet.run(Duration::from_secs(60));
    let away_at = test.fleet.clock.now();
    for node in test.fleet.nodes.values() {
        let freshness = node.agent.list_freshness();
        let confirmed = freshness.confirmed_at.expect("a reader has read");
        assert!(confirmed <= away_at && away_at - confirmed < Duration::from_secs(25));
    }
    test.fleet.service.set_mode(ServiceMode::Unavailable);
    test.fleet.run(Duration::from_secs(300));
    for node in test.fleet.nodes.values() {
        let last = node.agent.list_freshness().confirmed_at;
        assert!(
            last <= Some(away_at),
            "the service has confirmed nothing since"
        );
    }
}

#[test]
fn a_newer_list_known_to_peers_is_reported() {
    let mut test = Harness::new(12, 46);
    let list = host_list(12, DOMAINS, 7);
    test.fleet.service.put_hosts(&list);
    test.fleet.run(TARGET);
    let spread_at = test.fleet.clock.now();
    test.fleet.run(Duration::from_secs(90));
    let now = test.fleet.clock.now();
    for node in test.fleet.nodes.values() {
        let freshness = node.agent.list_freshness();
        assert_eq!((freshness.version, freshness.seen_version), (7, 7));
        let answers = freshness
            .answers
            .iter()
            .filter(|answer| answer.seen_version == 7);
        let domains: BTreeSet<_> = answers
            .filter_map(|answer| Some(&list.get(&answer.host)?.failure_domain))
            .collect();
        let expected: BTreeSet<_> = list.hosts.iter().map(|host| &host.failure_domain).collect();
        assert_eq!(domains, expected, "peers of every domain have answered");
        assert!(
            freshness
                .answers
                .iter()
                .all(|answer| answer.asked_at <= now)
        );
        let recent = freshness
            .answers
            .iter()
            .filter(|answer| answer.asked_at >= spread_at);
        let seen: Vec<_> = recent.map(|answer| answer.seen_version).collect();
        assert!(
            seen.len() >= 3 && seen.iter().all(|seen| *seen == 7),
            "{seen:?}"
        );
    }
    let isolated = host_id(0);
    test.fleet.partition(|id| *id == isolated);
    let cut_at = test.fleet.clock.now();
    test.fleet.run(Duration::from_secs(60));
    let answers = test.fleet.nodes[&isolated].agent.list_freshness().answers;
    assert!(answers.iter().all(|answer| answer.asked_at <= cut_at));
}
