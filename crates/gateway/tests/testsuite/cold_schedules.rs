//! How all hosts together keep the rate of cold instances, in virtual time.
//!
//! Seeded schedules start the fleet as a whole or host by host, split it into parts, down
//! to single hosts, and join it again, while an instance is cold.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_core::InstanceId;
use waxwingusher_gateway::cold_instances::{MAX_PAUSE, cautious_view};
use waxwingusher_limits::{FleetView, PermitIssuer};
use waxwingusher_membership::seeded::issuers::permit_issuer;
use waxwingusher_membership::seeded::name_hash;

const STEP: Duration = Duration::from_millis(20);
const HOSTS: usize = 129;
/// The largest fleets, the size that a host assumes until it knows its own.
const MOST_HOSTS: usize = 300;
/// The window of the users' bound, the factor and the requests that it allows.
const WINDOW: Duration = Duration::from_secs(1);
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 8.0;
/// How long hosts take to notice that a peer is silent, or that it is back.
const SILENT_AFTER: Duration = Duration::from_millis(1_600);
const BACK_AFTER: Duration = Duration::from_millis(400);
/// The interval at which a host forgets the permits of instances that others issue.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(240);
/// The longest time from a permit to the arrival of its request: a new connection.
const MAX_TRAVEL: Duration = Duration::from_millis(120);
/// What a host that knows no peer takes for the size of its fleet, as `PeerTable` does.
const ASSUMED_HOSTS: usize = 32;
/// All hosts together ask for this many times the rate of the instance.
const DEMAND: f64 = 6.0;

struct SimulatedHost {
    issuer: PermitIssuer,
    started_at: Instant,
    first_peer_at: Option<Instant>,
    /// The peers that it has heard from since its start.
    known: Vec<bool>,
    denied_until: Instant,
    /// When its next request arrives.
    asks_at: Instant,
}

impl SimulatedHost {
    fn new(now: Instant, fleet_size: usize) -> Self {
        Self {
            issuer: PermitIssuer::default(),
            started_at: now,
            first_peer_at: None,
            known: vec![false; fleet_size],
            denied_until: now,
            asks_at: now,
        }
    }
}

struct Simulation {
    id: InstanceId,
    rate_per_s: f64,
    hosts: Vec<SimulatedHost>,
    /// The part of the fleet that each host is in.
    parts: Vec<usize>,
    /// The same before the last change, and when that was.
    former_parts: Vec<usize>,
    split_at: Instant,
    started_at: Instant,
    now: Instant,
    rng: fastrand::Rng,
    arrivals: Vec<Instant>,
}

fn addr(host: usize) -> SocketAddr {
    let port = u16::try_from(host + 1).expect("few hosts");
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("small numbers"))
}

impl Simulation {
    /// Creates a fleet whose hosts all start now, and reach each other.
    fn new(fleet_size: usize, rate_per_s: f64, seed: u64) -> Self {
        let host = |now| SimulatedHost::new(now, fleet_size);
        let now = Instant::now();
        Self {
            id: InstanceId::new(&format!("i-{seed}")),
            rate_per_s,
            hosts: (0..fleet_size).map(|_| host(now)).collect(),
            parts: vec![0; fleet_size],
            former_parts: vec![0; fleet_size],
            split_at: now,
            started_at: now,
            now,
            rng: fastrand::Rng::with_seed(seed),
            arrivals: Vec::new(),
        }
    }

    /// Reports whether a host takes another one for reachable: it notices changes late.
    fn believes_reachable(&self, host: usize, other: usize) -> bool {
        let is_connected = self.parts[host] == self.parts[other];
        let was_connected = self.former_parts[host] == self.former_parts[other];
        let notices_after = if is_connected {
            BACK_AFTER
        } else {
            SILENT_AFTER
        };
        let has_noticed = self.now.saturating_duration_since(self.split_at) >= notices_after;
        let is_reachable = if has_noticed {
            is_connected
        } else {
            was_connected
        };
        is_reachable && self.hosts[host].known[other]
    }

    /// Lets the hosts learn of the peers whose messages arrive.
    fn learn(&mut self) {
        for host in 0..self.hosts.len() {
            for other in 0..self.hosts.len() {
                let has_heard = |start: Instant| self.now >= start + BACK_AFTER;
                let may_hear = self.parts[host] == self.parts[other]
                    && has_heard(self.split_at)
                    && has_heard(self.hosts[host].started_at)
                    && has_heard(self.hosts[other].started_at);
                if host == other || !may_hear {
                    continue;
                }
                let now = self.now;
                let host = &mut self.hosts[host];
                host.known[other] = true;
                host.first_peer_at.get_or_insert(now);
            }
        }
    }

    fn issuer_of(&self, host: usize) -> usize {
        let others = (0..self.hosts.len()).filter(|other| *other != host);
        let reachable = others.filter(|other| self.believes_reachable(host, *other));
        let issuer = permit_issuer(name_hash(self.id.as_str()), addr(host), reachable.map(addr));
        let found = (0..self.hosts.len()).find(|other| addr(*other) == issuer);
        found.expect("the issuer is a host")
    }

    fn view(&self, host: usize) -> FleetView {
        let others = (0..self.hosts.len()).filter(|other| *other != host);
        let known = self.hosts[host].known.iter();
        let known_hosts = match known.filter(|is_known| **is_known).count() {
            0 => ASSUMED_HOSTS,
            peers => peers + 1,
        };
        let view = FleetView {
            reachable_hosts: 1 + others
                .filter(|other| self.believes_reachable(host, *other))
                .count(),
            known_hosts,
        };
        let since = |at| self.now.saturating_duration_since(at);
        let host = &self.hosts[host];
        cautious_view(view, since(host.started_at), host.first_peer_at.map(since))
    }

    fn ask(&mut self, host: usize) {
        let issuer = self.issuer_of(host);
        let is_answered =
            self.parts[host] == self.parts[issuer] && self.issuer_of(issuer) == issuer;
        if !is_answered {
            self.hosts[host].denied_until = self.now + Duration::from_millis(150);
            return;
        }
        let view = self.view(issuer);
        let issued = self.hosts[issuer].issuer.issue(
            self.now,
            &self.id,
            self.rate_per_s,
            view,
            &mut self.rng,
        );
        match issued {
            Ok(()) => {
                let travel = MAX_TRAVEL.mul_f64(self.rng.f64().powi(4));
                self.arrivals.push(self.now + travel);
            }
            Err(denied) => {
                let pause = denied.retry_after.min(MAX_PAUSE);
                self.hosts[host].denied_until = self.now + pause;
            }
        }
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host] = SimulatedHost::new(self.now, self.hosts.len());
    }

    fn split(&mut self, parts: usize) {
        self.former_parts.clone_from(&self.parts);
        for part in &mut self.parts {
            *part = self.rng.usize(..parts);
        }
        self.split_at = self.now;
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        let mean_interval_s = count(self.hosts.len()) / (DEMAND * self.rate_per_s);
        while self.now < until {
            self.now += STEP;
            let elapsed_ms = (self.now - self.started_at).as_millis();
            if elapsed_ms.is_multiple_of(100) {
                self.learn();
            }
            for host in 0..self.hosts.len() {
                if self.hosts[host].asks_at > self.now {
                    continue;
                }
                let wait_s = mean_interval_s * 2.0 * self.rng.f64();
                self.hosts[host].asks_at = self.now + Duration::from_secs_f64(wait_s);
                if self.hosts[host].denied_until <= self.now {
                    self.ask(host);
                }
            }
            if elapsed_ms.is_multiple_of(MAINTENANCE_INTERVAL.as_millis()) {
                for host in 0..self.hosts.len() {
                    if self.issuer_of(host) != host {
                        self.hosts[host].issuer = PermitIssuer::default();
                    }
                }
            }
        }
    }

    /// Checks that the instance got no more requests in any window than is allowed.
    fn check(&mut self, seed: u64) {
        self.arrivals.sort();
        let windows = self.arrivals.iter().enumerate().map(|(first, start)| {
            let rest = &self.arrivals[first..];
            rest.iter().filter(|at| **at - *start < WINDOW).count()
        });
        let most = count(windows.max().unwrap_or(0));
        let allowed = OVERSHOOT * self.rate_per_s * WINDOW.as_secs_f64() + SLACK;
        let rate_per_s = self.rate_per_s;
        assert!(
            most <= allowed,
            "seed {seed}, {rate_per_s}/s: {most} requests in {WINDOW:?}, allowed {allowed}"
        );
    }
}

/// Returns the seeds to run, by default few.
fn seeds() -> std::ops::Range<u64> {
    let last = std::env::var("PERMIT_SEEDS").ok();
    0..last.and_then(|text| text.parse().ok()).unwrap_or(6)
}

fn rates() -> impl Iterator<Item = f64> {
    [0.5, 3.3, 12.0, 40.0].into_iter()
}

/// Guards against hosts that each grant a whole permit as they start, before they know
/// each other, and against a fleet that is larger than each host assumes.
#[test]
fn hosts_that_start_together_keep_the_cold_rate() {
    for seed in seeds() {
        for rate_per_s in rates() {
            let mut simulation = Simulation::new(HOSTS, rate_per_s, seed);
            simulation.run(Duration::from_secs(6));
            simulation.check(seed);
        }
    }
}

/// Guards against hosts that start alone, each of which knows no other, and meet later.
#[test]
fn hosts_that_start_alone_and_meet_later_keep_the_cold_rate() {
    for seed in seeds() {
        for rate_per_s in rates() {
            let mut simulation = Simulation::new(HOSTS, rate_per_s, seed);
            simulation.split(1_000);
            simulation.former_parts.clone_from(&simulation.parts);
            simulation.run(Duration::from_secs(4));
            simulation.split(1);
            simulation.run(Duration::from_secs(5));
            simulation.check(seed);
        }
    }
}

/// Guards against the largest fleet, of which each host assumes that it is alone.
#[test]
fn hosts_of_the_largest_fleet_that_start_alone_keep_the_cold_rate() {
    for rate_per_s in rates() {
        let mut simulation = Simulation::new(MOST_HOSTS, rate_per_s, 1);
        simulation.split(100_000);
        simulation.former_parts.clone_from(&simulation.parts);
        simulation.run(Duration::from_secs(4));
        simulation.check(1);
    }
}

/// Guards against hosts that are cut off together, or keep what they have saved until they
/// come back together.
#[test]
fn hosts_that_are_split_restarted_and_joined_keep_the_cold_rate() {
    for seed in seeds() {
        for rate_per_s in rates() {
            let mut simulation = Simulation::new(HOSTS, rate_per_s, seed);
            simulation.run(Duration::from_secs(4));
            for _ in 0..4 {
                let parts = match simulation.rng.u8(..4) {
                    0 => 1,
                    1 => 2,
                    2 => 5,
                    _ => 1_000,
                };
                simulation.split(parts);
                for host in 0..HOSTS {
                    if simulation.rng.u8(..10) == 0 {
                        simulation.restart(host);
                    }
                }
                let time_ms = simulation.rng.u64(200..5_000);
                simulation.run(Duration::from_millis(time_ms));
            }
            simulation.check(seed);
        }
    }
}

/// Guards against a limit that keeps away requests which the instance would take: a domain
/// that returns as a whole is to be loaded at the pace of its instances.
#[test]
fn a_cold_instance_gets_its_rate_from_a_fleet_that_is_whole() {
    const TIME: Duration = Duration::from_secs(20);
    for rate_per_s in rates() {
        let mut simulation = Simulation::new(HOSTS, rate_per_s, 1);
        simulation.run(Duration::from_secs(12));
        let before = simulation.arrivals.len();
        simulation.run(TIME);
        simulation.check(1);
        let rate = count(simulation.arrivals.len() - before) / TIME.as_secs_f64();
        assert!(rate >= 0.8 * rate_per_s, "{rate}/s of {rate_per_s}/s");
        assert!(rate <= 1.1 * rate_per_s + 0.1, "{rate}/s of {rate_per_s}/s");
    }
}
