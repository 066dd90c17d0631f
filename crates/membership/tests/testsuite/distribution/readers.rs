//! Which hosts read the service, and the age of the list that they report.

use std::collections::BTreeSet;
use std::time::Duration;

use waxwingusher_bench::config::sample::{host_id, host_list};
use waxwingusher_bench::config::service::ServiceMode;
use waxwingusher_core::Clock;
use waxwingusher_membership::distribution::DistributionSettings;

use super::lab::{DOMAINS, Lab, TARGET, in_domain};

const READERS_PER_DOMAIN: usize = 2;

#[test]
fn each_failure_domain_has_two_readers() {
    let lab = Lab::new(30, 41);
    let readers = lab.readers();
    for domain in 0..DOMAINS {
        let count = readers.iter().filter(|id| in_domain(id, domain)).count();
        assert_eq!(count, READERS_PER_DOMAIN);
    }
}

#[test]
fn silent_readers_are_replaced() {
    let mut lab = Lab::new(30, 42);
    let gone: Vec<_> = lab.readers();
    for id in &gone {
        lab.fleet.stop(id);
    }
    lab.fleet.run(Duration::from_secs(60));
    assert_eq!(lab.readers().len(), DOMAINS * READERS_PER_DOMAIN);
    lab.publish();
    lab.expect_everywhere(2, TARGET);
    for (i, id) in gone.iter().enumerate() {
        let domain = (0..DOMAINS).find(|d| in_domain(id, *d)).unwrap_or(i);
        lab.fleet
            .start(id, &format!("domain-{domain}").as_str().into());
    }
    lab.fleet.run(Duration::from_secs(60));
    assert_eq!(lab.readers(), gone, "the first readers read again");
}

#[test]
fn readers_without_answers_of_the_service_are_replaced() {
    let mut lab = Lab::new(30, 43);
    for id in lab.readers() {
        lab.fleet.service.cut(&id);
    }
    lab.fleet.run(Duration::from_secs(90));
    lab.publish();
    lab.expect_everywhere(2, TARGET);
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
    let mut lab = Lab::new(40, 44);
    for mode in [ServiceMode::Current, ServiceMode::Away, ServiceMode::Stale] {
        lab.fleet.service.set_mode(mode);
        let calls = lab.fleet.service.calls();
        lab.fleet.run(Duration::from_secs(300));
        let per_s = (lab.fleet.service.calls() - calls) as f64 / 300.0;
        let limit = calls_of_readers_per_s() * 1.1;
        assert!(per_s < limit, "{per_s} calls a second in {mode:?}");
    }
}

#[test]
fn the_age_of_the_list_is_never_understated() {
    let mut lab = Lab::new(12, 45);
    lab.fleet.run(Duration::from_secs(60));
    let away_at = lab.fleet.clock.now();
    for node in lab.fleet.nodes.values() {
        let freshness = node.agent.list_freshness();
        let confirmed = freshness.confirmed_at.expect("a reader has read");
        assert!(confirmed <= away_at && away_at - confirmed < Duration::from_secs(25));
    }
    lab.fleet.service.set_mode(ServiceMode::Away);
    lab.fleet.run(Duration::from_secs(300));
    for node in lab.fleet.nodes.values() {
        let last = node.agent.list_freshness().confirmed_at;
        assert!(
            last <= Some(away_at),
            "the service has confirmed nothing since"
        );
    }
}

#[test]
fn a_newer_list_known_to_peers_is_reported() {
    let mut lab = Lab::new(12, 46);
    let list = host_list(12, DOMAINS, 7);
    lab.fleet.service.put_hosts(&list);
    lab.fleet.run(TARGET);
    let spread_at = lab.fleet.clock.now();
    lab.fleet.run(Duration::from_secs(90));
    let now = lab.fleet.clock.now();
    for node in lab.fleet.nodes.values() {
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
    let silent = host_id(0);
    lab.fleet.partition(|id| *id == silent);
    let cut_at = lab.fleet.clock.now();
    lab.fleet.run(Duration::from_secs(60));
    let answers = lab.fleet.nodes[&silent].agent.list_freshness().answers;
    assert!(answers.iter().all(|answer| answer.asked_at <= cut_at));
}
