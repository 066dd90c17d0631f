//! A fleet whose configuration changes.

use std::time::Duration;

use waxwingusher_bench::config::fleet::Fleet;
use waxwingusher_bench::config::sample::{Size, change, host_id, host_list, snapshot};
use waxwingusher_config::{Publication, Snapshot, publish};
use waxwingusher_core::HostId;
use waxwingusher_standins::LinkFaults;

/// The time within which an accepted configuration must be in force on all hosts.
pub const TARGET: Duration = Duration::from_secs(6);

pub const DOMAINS: usize = 3;

pub struct Harness {
    pub fleet: Fleet,
    pub snapshot: Snapshot,
    pub rng: fastrand::Rng,
}

impl Harness {
    /// Starts a fleet with version 1 in force on all hosts.
    pub fn new(hosts: usize, seed: u64) -> Self {
        let list = host_list(hosts, DOMAINS, 1);
        let mut fleet = Fleet::new(&list, seed, LinkFaults::default());
        let snapshot = snapshot(Size::SMALL, 1, seed);
        fleet
            .service
            .publish(&publish(&snapshot).expect("the sample is good"));
        let mut test = Self {
            fleet,
            snapshot,
            rng: fastrand::Rng::with_seed(seed),
        };
        test.expect_everywhere(1, Duration::from_secs(20));
        test.fleet.run(Duration::from_secs(15));
        test
    }

    /// Returns a publication of the next version.
    pub fn next(&mut self) -> Publication {
        change(&mut self.snapshot, &mut self.rng);
        self.snapshot.version += 1;
        publish(&self.snapshot).expect("the sample is good")
    }

    /// Publishes the next version and returns it.
    pub fn publish(&mut self) -> u64 {
        let publication = self.next();
        self.fleet.service.publish(&publication);
        self.snapshot.version
    }

    pub fn expect_everywhere(&mut self, version: u64, limit: Duration) {
        let taken = self.fleet.run_until_version(version, limit);
        let versions = self.versions();
        assert!(taken.is_some(), "not everywhere in {limit:?}: {versions:?}");
    }

    /// Returns the version in force on each host; zero for none.
    pub fn versions(&self) -> Vec<u64> {
        let ids = self.fleet.nodes.keys();
        ids.map(|id| self.version(id)).collect()
    }

    pub fn version(&self, id: &HostId) -> u64 {
        self.fleet
            .current(id)
            .map_or(0, |snapshot| snapshot.version)
    }

    /// Returns the refusals of all hosts since they started.
    pub fn refusals(&self) -> usize {
        self.fleet
            .nodes
            .values()
            .map(|node| node.refusals.len())
            .sum()
    }

    pub fn readers(&self) -> Vec<HostId> {
        let nodes = self.fleet.nodes.iter();
        let readers = nodes.filter(|(_, node)| node.agent.is_reader());
        readers.map(|(id, _)| id.clone()).collect()
    }
}

/// Reports whether a host belongs to a failure domain.
pub fn in_domain(id: &HostId, domain: usize) -> bool {
    (0..1_000).any(|i| i % DOMAINS == domain && host_id(i) == *id)
}
