//! How fast a version comes into force on all hosts, and the cost of that.

use std::collections::BTreeMap;
use std::time::Duration;

use waxwingusher_config::publication::{Packing, publish_hosts, publish_with};
use waxwingusher_config::{Publication, Snapshot, publish};
use waxwingusher_core::{Clock, HostId};
use waxwingusher_standins::LinkFaults;

use super::fleet::Fleet;
use super::sample::{Size, change, host_list, snapshot};
use crate::{Bound, Measurement, Scenario, ScenarioResult};

/// The time within which an accepted configuration must be in force on all hosts.
const TARGET_TIME: Duration = Duration::from_secs(6);

/// The bytes per second that a host may send and receive for distribution.
const BUDGET_BYTES_PER_S: f64 = 400.0;

/// The number of changes that are published one after another.
const CHANGE_COUNT: u32 = 12;

/// The longest time to wait for a version.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The calls per second that the configuration service can serve.
const SERVICE_CALLS_PER_S: f64 = 2_000.0;

/// A configuration with about as many rows as there are packs at the design size.
const COLD_SIZE: Size = Size {
    services: 5,
    instances: 20,
    routes: 20,
    workspaces: 120,
};

/// The time without changes during which calls and bytes are counted.
const IDLE_TIME: Duration = Duration::from_secs(120);

/// The changes on an ordinary day at the design size.
const CHANGES_PER_DAY: f64 = 450.0;

/// Changes of the host list on an ordinary day: 7 hosts that fail and recover,
/// and 370 that are restarted or replaced, with two changes each.
const LIST_CHANGES_PER_DAY: f64 = 2.0 * (7.0 + 370.0);

/// The measurements that add up to the average traffic of a host.
const PARTS: [&str; 3] = [
    "message-bytes-per-host",
    "config-transfer-per-host",
    "list-transfer-per-host",
];

/// The number of samples of the age of the host list's confirmation.
const SAMPLE_COUNT: u32 = 60;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Publishes changes to a healthy fleet.
pub struct Propagation {
    name: &'static str,
    hosts: usize,
    domains: usize,
}

impl Propagation {
    /// The current size of the fleet.
    pub const CURRENT: Self = Self {
        name: "config/propagation-40",
        hosts: 40,
        domains: 4,
    };

    /// The design size of the fleet.
    pub const DESIGN: Self = Self {
        name: "config/propagation-440",
        hosts: 440,
        domains: 7,
    };
}

impl Scenario for Propagation {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut run = PropagationRun::start(self.hosts, self.domains, seed, LinkFaults::default());
        let mut measurements = run.measure_idle();
        measurements.extend(run.measure_changes("all"));
        run.isolate(0, 1);
        measurements.extend(run.measure_changes("one-cut-off"));
        measurements.extend(cold_start(self.hosts, self.domains, seed));
        measurements.extend(transfers(self.hosts, self.domains, seed));
        let parts = measurements.iter().filter(|m| PARTS.contains(&&*m.name));
        let total = parts.map(|part| part.value).sum();
        let total = Measurement::new("bytes-per-host-in-all", total, "bytes/s");
        measurements.push(total.bounded(Bound::AtMost(BUDGET_BYTES_PER_S)));
        ScenarioResult {
            scenario: self.name.into(),
            seed,
            measurements,
        }
    }
}

/// Publishes changes while one message in five is lost.
pub struct LossyPropagation;

impl Scenario for LossyPropagation {
    fn name(&self) -> &'static str {
        "config/propagation-440-loss-20"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let faults = LinkFaults {
            loss: 0.2,
            ..LinkFaults::default()
        };
        let mut run = PropagationRun::start(440, 7, seed, faults);
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements: run.measure_changes("all"),
        }
    }
}

/// Starts all hosts at once while a configuration with many packs is published.
fn cold_start(hosts: usize, domains: usize, seed: u64) -> Vec<Measurement> {
    let list = host_list(hosts, domains, 1);
    let mut fleet = Fleet::new(&list, seed, LinkFaults::default());
    let packing = Packing {
        mean_rows_per_pack: 1,
        ..Packing::default()
    };
    let Ok(publication) = publish_with(&snapshot(COLD_SIZE, 1, seed), packing) else {
        return Vec::new();
    };
    fleet.service.publish(&publication);
    let taken = fleet.run_until_version(1, MAX_WAIT);
    let seconds = taken.map_or(f64::MAX, |taken| taken.as_secs_f64());
    vec![
        Measurement::new("cold-start-packs", publication.packs.len() as f64, "packs"),
        Measurement::new("cold-start", seconds, "s"),
        Measurement::new("cold-start-calls", fleet.service.calls() as f64, "calls"),
        Measurement::new(
            "cold-start-peak",
            fleet.service.peak_calls() as f64,
            "calls/s",
        )
        .bounded(Bound::AtMost(SERVICE_CALLS_PER_S)),
    ]
}

/// Measures a fleet of a size without changes.
pub(crate) fn measure_hosts(hosts: usize, seed: u64) -> Vec<Measurement> {
    let domains = Propagation::DESIGN.domains;
    PropagationRun::start(hosts, domains, seed, LinkFaults::default()).measure_idle()
}

/// Bytes of datagrams by the kind of message.
type ByKind = BTreeMap<&'static str, u64>;

struct PropagationRun {
    fleet: Fleet,
    snapshot: Snapshot,
    rng: fastrand::Rng,
    hosts: usize,
}

impl PropagationRun {
    /// Starts a fleet and waits until its first configuration is in force.
    fn start(hosts: usize, domains: usize, seed: u64, faults: LinkFaults) -> Self {
        let list = host_list(hosts, domains, 1);
        let mut fleet = Fleet::new(&list, seed, faults);
        let snapshot = snapshot(Size::SMALL, 1, seed);
        if let Ok(publication) = publish(&snapshot) {
            fleet.service.publish(&publication);
        }
        fleet.run_until_version(1, MAX_WAIT);
        fleet.run(Duration::from_secs(30));
        Self {
            fleet,
            snapshot,
            rng: fastrand::Rng::with_seed(seed),
            hosts,
        }
    }

    /// Cuts a host off from the service and from all peers but one.
    fn isolate(&mut self, host: usize, only_peer: usize) {
        let ids: Vec<HostId> = self.fleet.nodes.keys().cloned().collect();
        self.fleet.service.cut(&ids[host]);
        for (i, id) in ids.iter().enumerate() {
            if i != host && i != only_peer {
                self.fleet.cut(&ids[host], id);
            }
        }
        self.fleet.run(Duration::from_secs(15));
    }

    /// Measures bytes and calls while nothing changes.
    fn measure_idle(&mut self) -> Vec<Measurement> {
        let before = self.message_bytes();
        let kinds_before = self.bytes_by_kind();
        let calls_before = self.fleet.service.calls();
        self.fleet.run(IDLE_TIME);
        let seconds = IDLE_TIME.as_secs_f64();
        let after = self.message_bytes();
        let spent = after
            .iter()
            .zip(before)
            .map(|(after, before)| after - before);
        let per_s: Vec<f64> = spent.map(|bytes| bytes as f64 / seconds).collect();
        let busiest_host = (0..per_s.len()).max_by(|a, b| per_s[*a].total_cmp(&per_s[*b]));
        let kinds = self.bytes_per_s_by_kind(&kinds_before, busiest_host.unwrap_or(0));
        let mean = per_s.iter().sum::<f64>() / self.hosts as f64;
        let busiest = per_s.iter().copied().fold(0.0, f64::max);
        let calls = (self.fleet.service.calls() - calls_before) as f64 / seconds;
        let oldest = self.oldest_confirmation().as_secs_f64();
        let mut measurements = vec![
            Measurement::new("list-confirmation-oldest", oldest, "s"),
            Measurement::new("message-bytes-per-host", mean, "bytes/s")
                .bounded(Bound::AtMost(BUDGET_BYTES_PER_S)),
            Measurement::new("message-bytes-busiest-host", busiest, "bytes/s")
                .bounded(Bound::AtMost(BUDGET_BYTES_PER_S)),
            Measurement::new("service-calls", calls, "calls/s").bounded(Bound::AtMost(20.0)),
        ];
        measurements.extend(kinds);
        measurements
    }

    /// Returns the bytes per second that a host sent and received of each kind of
    /// message.
    fn bytes_per_s_by_kind(&self, before: &[ByKind], host: usize) -> Vec<Measurement> {
        let after = self.bytes_by_kind();
        let mut measurements = Vec::new();
        for (kind, bytes) in &after[host] {
            let spent = bytes - before[host].get(kind).copied().unwrap_or(0);
            let per_s = spent as f64 / IDLE_TIME.as_secs_f64();
            let name = format!("busiest-host-{kind}");
            measurements.push(Measurement::new(&name, per_s, "bytes/s"));
        }
        measurements
    }

    /// Publishes changes and measures the time until each is in force on all hosts.
    fn measure_changes(&mut self, case: &str) -> Vec<Measurement> {
        let mut times_ms = Vec::new();
        let mut never_in_force = 0;
        let mut calls = 0;
        for _ in 0..CHANGE_COUNT {
            change(&mut self.snapshot, &mut self.rng);
            self.snapshot.version += 1;
            let Ok(publication) = publish(&self.snapshot) else {
                continue;
            };
            let calls_before = self.fleet.service.calls();
            let start = self.fleet.clock.now();
            self.fleet.service.publish(&publication);
            let version = self.snapshot.version;
            match self.fleet.run_until_version(version, MAX_WAIT) {
                Some(time) => times_ms.push(time.as_secs_f64() * 1_000.0),
                None => never_in_force += 1,
            }
            let left = TARGET_TIME.saturating_sub(self.fleet.clock.now() - start);
            self.fleet
                .run(left + Duration::from_millis(self.rng.u64(..2_000)));
            calls += self.fleet.service.calls() - calls_before;
        }
        times_ms.sort_by(f64::total_cmp);
        let median = times_ms
            .get(times_ms.len() / 2)
            .copied()
            .unwrap_or(f64::MAX);
        let slowest = times_ms.last().copied().unwrap_or(f64::MAX);
        let label = |what: &str| format!("{case}-{what}");
        let per_change = calls as f64 / f64::from(CHANGE_COUNT);
        vec![
            Measurement::new(&label("in-force-median"), median, "ms"),
            Measurement::new(&label("in-force-slowest"), slowest, "ms")
                .bounded(Bound::AtMost(TARGET_TIME.as_secs_f64() * 1_000.0)),
            Measurement::new(
                &label("never-in-force"),
                f64::from(never_in_force),
                "versions",
            )
            .bounded(Bound::AtMost(0.0)),
            Measurement::new(&label("calls-per-change"), per_change, "calls"),
        ]
    }

    /// Samples how long ago each host confirmed that its host list is current, and
    /// returns the longest time of any host.
    fn oldest_confirmation(&mut self) -> Duration {
        let mut oldest = Duration::ZERO;
        for _ in 0..SAMPLE_COUNT {
            self.fleet.run(Duration::from_millis(700));
            let now = self.fleet.clock.now();
            for node in self.fleet.nodes.values() {
                let confirmed = node.agent.list_freshness().confirmed_at;
                let age = confirmed.map_or(Duration::MAX, |at| now - at);
                oldest = oldest.max(age);
            }
        }
        oldest
    }

    fn bytes_by_kind(&self) -> Vec<ByKind> {
        let nodes = self.fleet.nodes.values();
        nodes.map(|node| node.bytes_by_kind.clone()).collect()
    }

    /// Returns the datagram bytes that each host has sent and received.
    fn message_bytes(&self) -> Vec<u64> {
        let nodes = self.fleet.nodes.values();
        nodes
            .map(|node| node.message_bytes + node.received_bytes)
            .collect()
    }
}

/// Computes the bytes per second that a host transfers for the changes of an
/// ordinary day from the bytes of one change at the design size.
fn transfers(hosts: usize, domains: usize, seed: u64) -> Vec<Measurement> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut snapshot = snapshot(Size::DESIGN, 1, seed);
    let mut config = 0.0;
    for _ in 0..CHANGE_COUNT {
        let old = publish(&snapshot).ok();
        change(&mut snapshot, &mut rng);
        snapshot.version += 1;
        config += new_bytes(old, publish(&snapshot).ok()) / f64::from(CHANGE_COUNT);
    }
    let old = host_list(hosts, domains, 1);
    let mut new = host_list(hosts, domains, 2);
    new.hosts.swap_remove(rng.usize(..hosts));
    let list = new_bytes(publish_hosts(&old).ok(), publish_hosts(&new).ok());
    // On average a host forwards once what it receives.
    let per_s = |bytes: f64, per_day: f64| 2.0 * bytes * per_day / SECONDS_PER_DAY;
    vec![
        Measurement::new("config-bytes-per-change", config, "bytes"),
        Measurement::new(
            "config-transfer-per-host",
            per_s(config, CHANGES_PER_DAY),
            "bytes/s",
        ),
        Measurement::new("list-bytes-per-change", list, "bytes"),
        Measurement::new(
            "list-transfer-per-host",
            per_s(list, LIST_CHANGES_PER_DAY),
            "bytes/s",
        ),
    ]
}

fn new_bytes(old: Option<Publication>, new: Option<Publication>) -> f64 {
    let (Some(old), Some(new)) = (old, new) else {
        return f64::MAX;
    };
    let fresh = new.packs.iter().filter(|pack| !old.packs.contains(pack));
    let bytes = fresh.map(|pack| pack.bytes.len()).sum::<usize>() + new.manifest.len();
    bytes as f64
}
