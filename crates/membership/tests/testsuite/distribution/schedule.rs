//! Random schedules of faults, checked by an oracle after each step.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_bench::config::sample::host_id;
use waxwingusher_bench::config::service::ServiceMode;
use waxwingusher_config::publication::MANIFEST_KEY;
use waxwingusher_config::{Pack, Publication, Snapshot, publish};
use waxwingusher_core::HostId;
use waxwingusher_standins::LinkFaults;

use super::harness::{Harness, TARGET, in_domain};

const HOSTS: usize = 12;
const EVENTS: usize = 60;

/// The longest backoff of a reader after failed calls, or between scans of peers,
/// with a margin.
const SETTLE: Duration = Duration::from_secs(70);

/// A restarted host with nothing in force yet.
struct Restarted {
    /// The version that the host had in force before.
    before: u64,
    /// Peers that the host can reach, with their versions.
    reachable: BTreeMap<HostId, u64>,
}

/// Checks the versions that the hosts have in force.
#[derive(Default)]
struct Oracle {
    published: BTreeMap<u64, Arc<Snapshot>>,
    in_force: BTreeMap<HostId, u64>,
    restarted: BTreeMap<HostId, Restarted>,
}

impl Oracle {
    fn check(&mut self, test: &Harness, seed: u64) {
        for id in test.fleet.nodes.keys() {
            let Some(current) = test.fleet.current(id) else {
                continue;
            };
            let expected = self.published.get(&current.version);
            assert_eq!(
                Some(&current),
                expected,
                "seed {seed}: {id} has an unknown version"
            );
            let before = self.in_force.insert(id.clone(), current.version);
            assert!(
                before <= Some(current.version),
                "seed {seed}: {id} adopted an older version"
            );
            if let Some(restarted) = self.restarted.remove(id) {
                let best = restarted.reachable.values().max().copied().unwrap_or(0);
                let least = best.min(restarted.before);
                assert!(
                    current.version >= least,
                    "seed {seed}: {id} restarted with {} instead of {least}",
                    current.version
                );
            }
        }
    }

    fn on_restart(&mut self, test: &Harness, id: &HostId) {
        let earlier = self.restarted.remove(id).map_or(0, |r| r.before);
        let before = self.in_force.remove(id).unwrap_or(earlier);
        let others = test.fleet.nodes.keys().filter(|other| *other != id);
        let reachable = others
            .filter(|other| test.fleet.reaches(id, other))
            .map(|other| (other.clone(), test.version(other)))
            .collect();
        for restarted in self.restarted.values_mut() {
            restarted.reachable.remove(id);
        }
        self.restarted
            .insert(id.clone(), Restarted { before, reachable });
    }

    /// Removes peers that are no longer reachable.
    fn on_cut(&mut self, test: &Harness) {
        for (id, restarted) in &mut self.restarted {
            restarted
                .reachable
                .retain(|other, _| test.fleet.reaches(id, other));
        }
    }
}

struct Schedule {
    test: Harness,
    oracle: Oracle,
    seed: u64,
    rng: fastrand::Rng,
    older: Vec<Publication>,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let test = Harness::new(HOSTS, seed);
        let mut oracle = Oracle::default();
        oracle.published.insert(1, Arc::new(test.snapshot.clone()));
        Self {
            older: vec![publish(&test.snapshot).expect("it is good")],
            test,
            oracle,
            seed,
            rng: fastrand::Rng::with_seed(seed ^ 0xface),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.test.fleet.clock.elapsed() + span;
        while self.test.fleet.clock.elapsed() < end {
            self.test.fleet.step();
            self.oracle.check(&self.test, self.seed);
        }
    }

    fn event(&mut self) {
        let host = host_id(self.rng.usize(..HOSTS));
        let other = host_id(self.rng.usize(..HOSTS));
        match self.rng.u8(..13) {
            0..3 => self.publish_good(),
            3 => self.publish_bad(),
            4 => self.publish_old(),
            5 | 6 => {
                self.oracle.on_restart(&self.test, &host);
                self.test.fleet.restart(&host);
            }
            7 => self.test.fleet.cut(&host, &other),
            8 => {
                let domain = self.rng.usize(..super::harness::DOMAINS);
                self.test.fleet.partition(|id| in_domain(id, domain));
            }
            9 => self.test.fleet.heal_all(),
            10 => self.test.fleet.service.cut(&host),
            11 => {
                let modes = [
                    ServiceMode::Current,
                    ServiceMode::Stale,
                    ServiceMode::Unavailable,
                ];
                let mode = modes[self.rng.usize(..modes.len())];
                self.test.fleet.service.set_mode(mode);
            }
            _ => self.test.fleet.set_faults(LinkFaults {
                loss: 0.02 * self.rng.f64(),
                duplication: 0.1 * self.rng.f64(),
                max_delay: Duration::from_millis(self.rng.u64(2..400)),
                ..LinkFaults::default()
            }),
        }
        self.oracle.on_cut(&self.test);
    }

    fn publish_good(&mut self) {
        let publication = self.test.next();
        let snapshot = Arc::new(self.test.snapshot.clone());
        self.oracle.published.insert(snapshot.version, snapshot);
        self.test.fleet.service.publish(&publication);
        self.older.push(publication);
    }

    /// Publishes a version that no host may adopt.
    fn publish_bad(&mut self) {
        let before = self.test.snapshot.clone();
        let publication = self.test.next();
        let version = self.test.snapshot.version;
        match self.rng.u8(..4) {
            0 => {
                let mut bad = self.test.snapshot.clone();
                bad.services.clear();
                let publication = publish(&bad).expect("publishing checks sizes only");
                self.test.fleet.service.publish(&publication);
            }
            1 => {
                // Packs that are good, but not the ones that the manifest names.
                // A host that holds the right ones may adopt the version, with
                // exactly their content.
                let snapshot = Arc::new(self.test.snapshot.clone());
                self.oracle.published.insert(version, snapshot);
                let other = &self.older[0].packs[0];
                for pack in &publication.packs {
                    let key = Pack::service_key(&pack.digest);
                    self.test.fleet.service.put(&key, other.bytes.clone());
                }
                let manifest = publication.manifest;
                self.test.fleet.service.put(MANIFEST_KEY, manifest);
            }
            2 => {
                let text = format!(r#"{{"format":9,"version":{version},"packs":[]}}"#);
                self.test
                    .fleet
                    .service
                    .put(MANIFEST_KEY, text.into_bytes().into());
            }
            _ => {
                let altered = format!(
                    r#"{{"format":1,"version":{version},"packs":["{}"]}}"#,
                    "0".repeat(32)
                );
                self.test
                    .fleet
                    .service
                    .put(MANIFEST_KEY, altered.into_bytes().into());
            }
        }
        self.test.snapshot = Snapshot { version, ..before };
    }

    /// Publishes an earlier version again.
    fn publish_old(&mut self) {
        let at = self.rng.usize(..self.older.len());
        self.test.fleet.service.publish(&self.older[at]);
    }

    /// Ends all faults, and expects each new version in force everywhere in time.
    fn settle(&mut self) {
        self.test.fleet.heal_all();
        self.test.fleet.service.heal_all();
        self.test.fleet.service.set_mode(ServiceMode::Current);
        self.test.fleet.set_faults(LinkFaults::default());
        self.publish_good();
        self.run(SETTLE);
        for _ in 0..2 {
            self.publish_good();
            self.run(TARGET);
            let expected = self.test.snapshot.version;
            let versions = self.test.versions();
            assert_eq!(versions, vec![expected; HOSTS], "seed {}", self.seed);
        }
    }
}

fn run_seed(seed: u64) {
    let mut schedule = Schedule::new(seed);
    for _ in 0..EVENTS {
        schedule.event();
        let span_ms = schedule.rng.u64(50..4_000);
        schedule.run(Duration::from_millis(span_ms));
    }
    schedule.settle();
}

#[test]
fn versions_never_go_back_and_are_in_force_in_time() {
    for seed in 1..=20 {
        run_seed(seed);
    }
}
