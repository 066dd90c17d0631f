//! Fresh hosts.

use std::time::Duration;

use waxwingusher_bench::config::fleet::Fleet;
use waxwingusher_bench::config::sample::{Size, host_id, host_list, snapshot};
use waxwingusher_bench::config::service::ServiceMode;
use waxwingusher_config::publish;
use waxwingusher_standins::LinkFaults;

use super::harness::{Harness, TARGET};

#[test]
fn a_restart_before_a_stale_service_takes_the_version_of_the_peers() {
    let mut test = Harness::new(12, 31);
    let old = publish(&test.snapshot).expect("it is good");
    test.publish();
    test.expect_everywhere(2, TARGET);
    test.fleet.service.publish(&old);
    for i in 0..12 {
        test.fleet.restart(&host_id(i));
        for _ in 0..200 {
            test.fleet.step();
            assert_ne!(test.version(&host_id(i)), 1, "an older version is in force");
        }
        assert_eq!(test.version(&host_id(i)), 2);
    }
}

#[test]
fn one_peer_with_the_newest_version_is_enough_for_all_others() {
    let mut test = Harness::new(12, 32);
    let old = publish(&test.snapshot).expect("it is good");
    test.publish();
    test.expect_everywhere(2, TARGET);
    test.fleet.service.publish(&old);
    for i in 1..12 {
        test.fleet.restart(&host_id(i));
    }
    for _ in 0..400 {
        test.fleet.step();
        assert!(
            !test.versions().contains(&1),
            "an older version is in force"
        );
    }
    assert_eq!(test.versions(), vec![2; 12]);
}

#[test]
fn a_fresh_host_waits_for_peers_that_are_slower_than_the_service() {
    let mut test = Harness::new(12, 37);
    let old = publish(&test.snapshot).expect("it is good");
    test.publish();
    test.expect_everywhere(2, TARGET);
    test.fleet.service.publish(&old);
    test.fleet.set_faults(LinkFaults {
        min_delay: Duration::from_millis(200),
        max_delay: Duration::from_millis(400),
        ..LinkFaults::default()
    });
    // Only one peer still has the newest version when the others ask.
    for i in 1..12 {
        test.fleet.restart(&host_id(i));
    }
    for _ in 0..400 {
        test.fleet.step();
        assert!(
            !test.versions().contains(&1),
            "an older version is in force"
        );
    }
    assert_eq!(test.versions(), vec![2; 12]);
}

#[test]
fn a_restart_without_the_service_finds_peers_by_its_seeds() {
    let mut test = Harness::new(12, 33);
    test.fleet.service.set_mode(ServiceMode::Unavailable);
    test.fleet.set_seeds(vec![host_id(1), host_id(7)]);
    test.fleet.stop(&host_id(1));
    test.fleet.restart(&host_id(4));
    test.fleet.run(Duration::from_secs(15));
    assert_eq!(test.version(&host_id(4)), 1);
    assert!(test.fleet.nodes[&host_id(4)].agent.is_ready());
}

#[test]
fn the_first_host_is_ready_once_its_peers_had_time_to_answer() {
    let list = host_list(40, 4, 1);
    let mut fleet = Fleet::new(&list, 34, LinkFaults::default());
    for host in &list.hosts[1..] {
        fleet.stop(&host.id);
    }
    let publication = publish(&snapshot(Size::SMALL, 1, 34)).expect("it is good");
    fleet.service.publish(&publication);
    fleet.run(Duration::from_secs(2));
    assert!(!fleet.nodes[&host_id(0)].agent.is_ready());
    fleet.run(Duration::from_secs(13));
    assert!(fleet.nodes[&host_id(0)].agent.is_ready());
}

#[test]
fn a_host_without_any_configuration_is_never_ready() {
    let list = host_list(4, 2, 1);
    let mut fleet = Fleet::new(&list, 35, LinkFaults::default());
    fleet.run(Duration::from_secs(120));
    assert!(fleet.nodes.values().all(|node| !node.agent.is_ready()));
    let publication = publish(&snapshot(Size::SMALL, 1, 35)).expect("it is good");
    fleet.service.publish(&publication);
    fleet.run(Duration::from_secs(40));
    assert!(fleet.nodes.values().all(|node| node.agent.is_ready()));
}

#[test]
fn a_host_that_joins_is_reached_when_the_list_names_it() {
    let mut test = Harness::new(12, 36);
    let list = host_list(13, super::harness::DOMAINS, 2);
    let new = &list.hosts[12];
    test.fleet.service.cut(&new.id);
    test.fleet.set_seeds(vec![host_id(0)]);
    test.fleet.start(&new.id, &new.failure_domain);
    test.fleet.run(Duration::from_secs(10));
    assert_eq!(test.version(&new.id), 1);
    test.fleet.service.put_hosts(&list);
    test.fleet.run(TARGET);
    for node in test.fleet.nodes.values() {
        assert_eq!(node.agent.hosts().map(|list| list.version), Some(2));
    }
    test.publish();
    test.expect_everywhere(2, TARGET);
}

/// Messages of peers arrive, but no peer can be reached. The host reads the service
/// 10 s after its start, and must not wait for the peers' packs then.
#[test]
fn a_fresh_host_whose_messages_are_lost_reads_the_packs_from_the_service() {
    const HOSTS: usize = 12;
    for seed in 41..45 {
        let mut test = Harness::new(HOSTS, seed);
        let fresh = host_id(0);
        for i in 1..HOSTS {
            test.fleet.cut_one_way(&fresh, &host_id(i));
        }
        test.fleet.restart(&fresh);
        test.publish();
        test.fleet.run(Duration::from_secs(11));
        assert_eq!(test.version(&fresh), 2, "seed {seed}");
    }
}
