//! Requests that crash instances are quarantined, and no others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_attempts::{LostInstance, Quarantine, QuarantineSettings};
use waxwingusher_core::{
    BodyDigest, Clock, HostId, InstanceId, ManualClock, RouteName, ServiceName, WorkspaceName,
};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::attempt::{AttemptKey, AttemptMessage};
use waxwingusher_standins::{LinkFaults, Links};

use crate::cluster::host_list;

const TICK: Duration = Duration::from_millis(100);

struct Fleet {
    clock: ManualClock,
    links: Links<AttemptMessage>,
    hosts: BTreeMap<HostId, Quarantine>,
    sent: usize,
}

fn fingerprint(workspace: &str, body: &str) -> AttemptKey {
    let body = BodyDigest::of_request("POST", "/leaves", body.as_bytes());
    Quarantine::fingerprint(
        &WorkspaceName::new(workspace),
        &RouteName::new("leaves"),
        &body,
    )
}

fn lost(instance: &str, in_flight: &[AttemptKey]) -> LostInstance {
    LostInstance {
        service: ServiceName::new("approval-desk"),
        instance: InstanceId::new(instance),
        in_flight: in_flight.to_vec(),
    }
}

impl Fleet {
    fn new(hosts: usize, loss: f64) -> Self {
        let clock = ManualClock::new();
        let list = host_list(1, hosts, 4);
        let faults = LinkFaults {
            loss,
            ..LinkFaults::default()
        };
        let mut fleet = Self {
            links: Links::new(3, faults),
            hosts: BTreeMap::new(),
            sent: 0,
            clock,
        };
        for (index, entry) in list.hosts.iter().enumerate() {
            let clock: Arc<dyn Clock> = Arc::new(fleet.clock.clone());
            let rng = fastrand::Rng::with_seed(index as u64);
            let settings = QuarantineSettings::default();
            let mut quarantine = Quarantine::new(entry.id.clone(), clock, rng, settings);
            quarantine.apply_host_list(&list);
            fleet.hosts.insert(entry.id.clone(), quarantine);
        }
        fleet
    }

    fn send(&mut self, from: &HostId, outgoing: Vec<Outgoing<AttemptMessage>>) {
        for Outgoing { to, message } in outgoing {
            self.sent += 1;
            self.links.send(self.clock.now(), from, &to, message);
        }
    }

    fn lose_instance(&mut self, host: usize, lost: &LostInstance) {
        let id = self.hosts.keys().nth(host).cloned().expect("a host");
        let outgoing = self.hosts.get_mut(&id).map(|q| q.on_instance_lost(lost));
        self.send(&id, outgoing.unwrap_or_default());
    }

    fn run(&mut self, time: Duration) {
        let until = self.clock.now() + time;
        while self.clock.now() < until {
            self.clock.advance(TICK);
            let ids: Vec<_> = self.hosts.keys().cloned().collect();
            for id in ids {
                let outgoing = self.hosts.get_mut(&id).map(Quarantine::tick);
                self.send(&id, outgoing.unwrap_or_default());
            }
            while let Some(delivery) = self.links.receive(self.clock.now()) {
                let AttemptMessage::Quarantine(message) = delivery.message else {
                    panic!("not a quarantine message");
                };
                let to = self.hosts.get_mut(&delivery.to);
                let outgoing = to.map(|host| host.on_message(message));
                self.send(&delivery.to, outgoing.unwrap_or_default());
            }
        }
    }

    fn refusing_hosts(&mut self, fingerprint: AttemptKey) -> usize {
        let hosts = self.hosts.values_mut();
        hosts
            .map(|host| usize::from(host.is_quarantined(&fingerprint)))
            .sum()
    }
}

#[test]
fn a_request_that_crashed_two_instances_is_quarantined_on_all_hosts_within_seconds() {
    for loss in [0.0, 0.05] {
        let mut fleet = Fleet::new(440, loss);
        let poison = fingerprint("staff", "poison");
        let unrelated: Vec<_> = (0..10)
            .map(|i| fingerprint("staff", &i.to_string()))
            .collect();
        fleet.lose_instance(3, &lost("a1", &[poison, unrelated[0], unrelated[1]]));
        fleet.run(Duration::from_secs(3));
        assert_eq!(
            fleet.refusing_hosts(poison),
            0,
            "one crash does not quarantine a request"
        );
        fleet.lose_instance(200, &lost("a2", &[unrelated[2], poison]));
        fleet.run(Duration::from_secs(6));
        assert_eq!(fleet.refusing_hosts(poison), 440, "at loss {loss}");
        for fingerprint in unrelated {
            assert_eq!(fleet.refusing_hosts(fingerprint), 0);
        }
        let crashed: BTreeSet<InstanceId> = [InstanceId::new("a1"), InstanceId::new("a2")].into();
        for host in fleet.hosts.values_mut() {
            let attributed: BTreeSet<_> = host.take_attributed_crashes().into_iter().collect();
            assert_eq!(attributed, crashed);
        }
    }
}

#[test]
fn no_messages_are_sent_without_crashes() {
    let mut fleet = Fleet::new(40, 0.0);
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.sent, 0);
}

#[test]
fn the_quarantine_ends_and_a_repeated_one_lasts_longer() {
    let term = QuarantineSettings::default().term;
    let mut fleet = Fleet::new(12, 0.0);
    let poison = fingerprint("staff", "poison");
    fleet.lose_instance(3, &lost("a1", &[poison]));
    fleet.lose_instance(4, &lost("a2", &[poison]));
    fleet.run(term - Duration::from_secs(1));
    assert_eq!(fleet.refusing_hosts(poison), 12);
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.refusing_hosts(poison), 0);
    fleet.lose_instance(5, &lost("a3", &[poison]));
    fleet.run(term + Duration::from_secs(1));
    assert_eq!(fleet.refusing_hosts(poison), 12);
    fleet.run(term);
    assert_eq!(fleet.refusing_hosts(poison), 0);
}

#[test]
fn a_request_that_completes_elsewhere_is_not_the_cause() {
    let mut fleet = Fleet::new(12, 0.0);
    let popular = fingerprint("staff", "calendar");
    for host in fleet.hosts.values_mut() {
        host.on_completed(popular);
    }
    for (host, instance) in [(1, "a1"), (2, "a2"), (3, "a3")] {
        let unique = fingerprint("staff", instance);
        fleet.lose_instance(host, &lost(instance, &[popular, unique]));
    }
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.refusing_hosts(popular), 0);
}

#[test]
fn a_tie_between_requests_is_decided_by_the_next_crash() {
    let mut fleet = Fleet::new(12, 0.0);
    let poison = fingerprint("staff", "poison");
    let unrelated = fingerprint("payroll", "innocent");
    fleet.lose_instance(1, &lost("a1", &[poison, unrelated]));
    fleet.lose_instance(2, &lost("a2", &[poison, unrelated]));
    fleet.run(Duration::from_secs(5));
    assert_eq!(
        (
            fleet.refusing_hosts(poison),
            fleet.refusing_hosts(unrelated)
        ),
        (0, 0)
    );
    fleet.lose_instance(3, &lost("a3", &[poison]));
    fleet.run(Duration::from_secs(5));
    assert_eq!(
        (
            fleet.refusing_hosts(poison),
            fleet.refusing_hosts(unrelated)
        ),
        (12, 0)
    );
    fleet.lose_instance(4, &lost("a4", &[unrelated]));
    fleet.run(Duration::from_secs(5));
    assert_eq!(
        fleet.refusing_hosts(unrelated),
        0,
        "explained crashes do not count again"
    );
}

#[test]
fn repeated_reports_on_one_instance_count_as_one_instance() {
    let mut fleet = Fleet::new(12, 0.0);
    let suspect = fingerprint("staff", "unlucky");
    for host in 0..5 {
        fleet.lose_instance(host, &lost("a1", &[suspect]));
    }
    fleet.run(Duration::from_secs(20));
    fleet.lose_instance(6, &lost("a1", &[suspect]));
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.refusing_hosts(suspect), 0);
}

#[test]
fn a_network_cut_that_disconnects_many_instances_quarantines_nothing() {
    let mut fleet = Fleet::new(12, 0.0);
    let retried = fingerprint("staff", "retried");
    for index in 0..8 {
        let unique = fingerprint("staff", &index.to_string());
        let in_flight = if index < 3 {
            vec![unique, retried]
        } else {
            vec![unique]
        };
        fleet.lose_instance(index, &lost(&format!("a{index}"), &in_flight));
        if index == 2 {
            fleet.run(Duration::from_millis(300));
        }
    }
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.refusing_hosts(retried), 0);
}

#[test]
fn workspaces_and_bodies_have_their_own_fingerprints() {
    let one = fingerprint("staff", "x");
    assert_ne!(one, fingerprint("payroll", "x"));
    assert_ne!(one, fingerprint("staff", "y"));
    assert_eq!(one, fingerprint("staff", "x"));
}
