//! Distribution of reports by collectors in a failure domain of many hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_core::FeedPosition;
use waxwingusher_membership::seeded::collector::{Candidate, CollectorLink, Gatherer};
use waxwingusher_membership::seeded::{HostReport, InstanceStats};

const HOSTS: u8 = 49;
const STEP: Duration = Duration::from_millis(20);

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn stats(instance: u32, successes: u8) -> InstanceStats {
    InstanceStats {
        instance,
        in_flight: 0,
        successes,
        failures: 0,
        slowness_16ths: 16,
        success_age_ms: Some(0),
        failure_age_ms: None,
    }
}

fn report(host: u8, sequence: u32, instances: Vec<InstanceStats>) -> HostReport {
    HostReport {
        origin: addr(host),
        incarnation: 1,
        sequence,
        relay: false,
        feed_position: FeedPosition::default(),
        gapless_position: FeedPosition::default(),
        instances,
        admitted: Vec::new(),
        crashes: Vec::new(),
        disowned: Vec::new(),
    }
}

/// Hosts of one failure domain in virtual time; their datagrams arrive in the next
/// step.
struct Domain {
    now: Instant,
    links: Vec<CollectorLink>,
    gatherers: Vec<Gatherer>,
    /// The highest sequence of each host that each host has received.
    known: Vec<BTreeMap<u8, u32>>,
    dead: Vec<u8>,
    datagrams: usize,
}

impl Domain {
    fn new() -> Self {
        let hosts = usize::from(HOSTS);
        Self {
            now: Instant::now(),
            links: (0..hosts).map(|_| CollectorLink::default()).collect(),
            gatherers: (0..hosts).map(|_| Gatherer::default()).collect(),
            known: vec![BTreeMap::new(); hosts],
            dead: Vec::new(),
            datagrams: 0,
        }
    }

    /// Dead hosts stay candidates, as nobody has noticed yet.
    fn candidates() -> Vec<Candidate> {
        let capacity = |host: u8| if host.is_multiple_of(16) { 5 } else { 1 };
        let hosts = 0..HOSTS;
        hosts
            .map(|host| Candidate {
                addr: addr(host),
                capacity: capacity(host),
            })
            .collect()
    }

    fn is_dead(&self, host: u8) -> bool {
        self.dead.contains(&host)
    }

    fn send(&mut self, host: u8, sequence: u32) -> u8 {
        let report = report(host, sequence, Vec::new());
        let link = &mut self.links[usize::from(host)];
        let collector = link.choose(self.now, addr(host), &Self::candidates());
        let collector = collector.expect("there are candidates");
        let SocketAddr::V4(v4) = collector else {
            panic!("an address of version 4")
        };
        let number = v4.ip().octets()[3];
        if number == host {
            self.gatherers[usize::from(host)].add(report);
            return number;
        }
        link.record_sent(self.now, collector, report.clone());
        self.datagrams += 1;
        if !self.is_dead(number) {
            self.known[usize::from(number)].insert(host, sequence);
            self.gatherers[usize::from(number)].add(report);
        }
        number
    }

    fn deliver(&mut self, reports: &[HostReport], from: u8) {
        for host in (0..HOSTS).filter(|host| *host != from) {
            self.datagrams += 1;
            if self.is_dead(host) {
                continue;
            }
            for report in reports {
                let SocketAddr::V4(origin) = report.origin else {
                    continue;
                };
                let origin = origin.ip().octets()[3];
                if origin == host {
                    self.links[usize::from(host)].record_acknowledged(report.sequence);
                }
                let known = self.known[usize::from(host)].entry(origin).or_default();
                *known = report.sequence.max(*known);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for host in (0..HOSTS)
            .filter(|host| !self.dead.contains(host))
            .collect::<Vec<_>>()
        {
            let reports = self.gatherers[usize::from(host)].take();
            if !reports.is_empty() {
                self.deliver(&reports, host);
            }
            if let Some(report) = self.links[usize::from(host)].take_overdue(self.now) {
                self.deliver(&[report], host);
            }
        }
    }

    fn assert_all_know(&self, sequence: u32) {
        for host in (0..HOSTS).filter(|host| !self.is_dead(*host)) {
            for origin in (0..HOSTS).filter(|other| *other != host && !self.is_dead(*other)) {
                let known = self.known[usize::from(host)].get(&origin);
                assert_eq!(known, Some(&sequence), "{host} about {origin}");
            }
        }
    }
}

/// Each host of a domain of 49 sent each change to 48 neighbours: 800 datagrams a
/// second and host, which took half of a small host's processor.
#[test]
fn a_round_of_reports_costs_a_few_datagrams_a_host() {
    let mut domain = Domain::new();
    for host in 0..HOSTS {
        domain.send(host, 1);
    }
    domain.step();
    domain.assert_all_know(1);
    // One datagram to the collector, and one from each of two collectors.
    assert!(
        domain.datagrams <= 3 * usize::from(HOSTS),
        "{}",
        domain.datagrams
    );
}

#[test]
fn collectors_are_the_hosts_with_the_largest_capacity() {
    let mut domain = Domain::new();
    let mut used: Vec<u8> = (0..HOSTS).map(|host| domain.send(host, 1)).collect();
    used.sort_unstable();
    used.dedup();
    assert!(
        used.len() <= 2 && used.iter().all(|host| host % 16 == 0),
        "{used:?}"
    );
}

/// All collectors in use lose power at once; nobody has noticed yet.
#[test]
fn reports_that_a_dead_collector_has_swallowed_arrive_within_200_ms() {
    let mut domain = Domain::new();
    let mut collectors: Vec<u8> = (0..HOSTS).map(|host| domain.send(host, 1)).collect();
    domain.step();
    collectors.sort_unstable();
    collectors.dedup();
    domain.dead = collectors;
    for host in (0..HOSTS)
        .filter(|host| !domain.dead.contains(host))
        .collect::<Vec<_>>()
    {
        domain.send(host, 2);
    }
    for _ in 0..10 {
        domain.step();
    }
    domain.assert_all_know(2);
}

#[test]
fn a_host_avoids_a_collector_that_misses_its_reports() {
    let mut domain = Domain::new();
    let first = domain.send(1, 1);
    domain.dead = vec![first];
    for sequence in 2..5 {
        for _ in 0..10 {
            domain.step();
        }
        domain.send(1, sequence);
    }
    let second = domain.send(1, 6);
    assert_ne!(first, second);
}

/// A collector merges what a host reports within one interval.
#[test]
fn gathered_reports_keep_the_newest_figures_whatever_their_order() {
    let mut gatherer = Gatherer::default();
    gatherer.add(report(1, 2, vec![stats(7, 3), stats(8, 1)]));
    gatherer.add(report(1, 1, vec![stats(7, 2), stats(9, 5)]));
    let reports = gatherer.take();
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].sequence, 2);
    let mut figures: Vec<(u32, u8)> = reports[0]
        .instances
        .iter()
        .map(|item| (item.instance, item.successes))
        .collect();
    figures.sort_unstable();
    assert_eq!(figures, [(7, 3), (8, 1), (9, 5)]);
    assert!(gatherer.is_empty());
}

#[test]
fn only_fresh_failures_crashes_and_disowned_instances_are_urgent() {
    let failed = |age_ms| InstanceStats {
        failure_age_ms: Some(age_ms),
        ..stats(7, 0)
    };
    assert!(report(1, 1, vec![failed(2)]).is_urgent());
    assert!(!report(1, 1, vec![failed(900), stats(8, 1)]).is_urgent());
    let disowned = HostReport {
        disowned: vec![7],
        ..report(1, 1, Vec::new())
    };
    assert!(disowned.is_urgent());
}
