//! How all hosts together keep the rate that an instance names, in virtual time.
//!
//! Seeded schedules split the fleet into parts, down to single hosts, join it again, and
//! restart hosts, one after the other or all at once.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_core::InstanceId;
use waxwingusher_limits::{FleetView, PermitIssuer};
use waxwingusher_membership::seeded::issuers::permit_issuer;
use waxwingusher_membership::seeded::name_hash;

const STEP: Duration = Duration::from_millis(20);
const RUN_TIME: Duration = Duration::from_secs(40);
/// The window of the users' rule, the factor and the requests that it allows.
const WINDOW: Duration = Duration::from_secs(4);
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// How long hosts take to notice that a peer is silent, or that it is back.
const SILENT_AFTER: Duration = Duration::from_millis(1_600);
const BACK_AFTER: Duration = Duration::from_millis(400);
/// The interval at which a host forgets the permits of instances that others issue.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(240);
/// All hosts together ask for this many times the rate.
const DEMAND: f64 = 3.0;

struct SimulatedHost {
    issuer: PermitIssuer,
    /// When the host may ask again.
    denied_until: Instant,
    /// When its next request arrives.
    asks_at: Instant,
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
    granted: Vec<Instant>,
}

fn addr(host: usize) -> SocketAddr {
    let number = u8::try_from(host).expect("few hosts");
    SocketAddr::from(([10, 0, 0, number], 1))
}

impl Simulation {
    fn new(hosts: usize, rate_per_s: f64, seed: u64) -> Self {
        let now = Instant::now();
        let host = || SimulatedHost {
            issuer: PermitIssuer::default(),
            denied_until: now,
            asks_at: now,
        };
        Self {
            id: InstanceId::new("i-1"),
            rate_per_s,
            hosts: (0..hosts).map(|_| host()).collect(),
            parts: vec![0; hosts],
            split_at: now,
            former_parts: vec![0; hosts],
            started_at: now,
            now,
            rng: fastrand::Rng::with_seed(seed),
            granted: Vec::new(),
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
        if self.now.saturating_duration_since(self.split_at) < notices_after {
            was_connected
        } else {
            is_connected
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
        let hosts = 0..self.hosts.len();
        FleetView {
            reachable_hosts: hosts
                .filter(|other| self.believes_reachable(host, *other))
                .count(),
            known_hosts: self.hosts.len(),
        }
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
            Ok(()) => self.granted.push(self.now),
            Err(denied) => self.hosts[host].denied_until = self.now + denied.retry_after,
        }
    }

    fn split(&mut self, parts: usize) {
        self.former_parts.clone_from(&self.parts);
        let rng = &mut self.rng;
        self.parts
            .iter_mut()
            .for_each(|part| *part = rng.usize(..parts));
        self.split_at = self.now;
    }

    fn step(&mut self) {
        self.now += STEP;
        let mean_interval_s = count(self.hosts.len()) / (DEMAND * self.rate_per_s);
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
        let elapsed = self.now.saturating_duration_since(self.started_at);
        if elapsed
            .as_millis()
            .is_multiple_of(MAINTENANCE_INTERVAL.as_millis())
        {
            self.forget_former_issuers();
        }
    }

    fn forget_former_issuers(&mut self) {
        for host in 0..self.hosts.len() {
            if self.issuer_of(host) != host {
                self.hosts[host].issuer = PermitIssuer::default();
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Returns the most permits in any window.
    fn most_in_window(&self) -> f64 {
        let windows = self.granted.iter().enumerate().map(|(first, start)| {
            let rest = &self.granted[first..];
            rest.iter().filter(|at| **at - *start < WINDOW).count()
        });
        count(windows.max().unwrap_or(0))
    }

    fn check(&self, seed: u64) {
        let most = self.most_in_window();
        let allowed = OVERSHOOT * self.rate_per_s * WINDOW.as_secs_f64() + SLACK;
        let rate_per_s = self.rate_per_s;
        assert!(
            most <= allowed,
            "seed {seed}, {rate_per_s}/s: {most} requests in {WINDOW:?}, allowed {allowed}"
        );
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("small numbers"))
}

/// Returns the seeds to run, by default few.
fn seeds() -> std::ops::Range<u64> {
    let last = std::env::var("PERMIT_SEEDS").ok();
    0..last.and_then(|text| text.parse().ok()).unwrap_or(12)
}

fn rates() -> impl Iterator<Item = f64> {
    [0.5, 1.0, 6.5, 40.0].into_iter()
}

#[test]
fn the_instance_gets_its_rate_while_all_hosts_reach_each_other() {
    for rate_per_s in rates() {
        let mut simulation = Simulation::new(32, rate_per_s, 1);
        simulation.run(RUN_TIME);
        simulation.check(1);
        let rate = count(simulation.granted.len()) / RUN_TIME.as_secs_f64();
        assert!(rate >= 0.8 * rate_per_s, "{rate}/s of {rate_per_s}/s");
        assert!(
            rate <= 1.1 * rate_per_s + 0.05,
            "{rate}/s of {rate_per_s}/s"
        );
    }
}

/// Guards against hosts that each grant a whole permit when they are cut off together, or
/// keep what they have saved until they come back together.
#[test]
fn hosts_that_are_split_restarted_and_joined_keep_the_rate() {
    for seed in seeds() {
        for rate_per_s in rates() {
            let mut simulation = Simulation::new(32, rate_per_s, seed);
            simulation.run(Duration::from_secs(4));
            for _ in 0..6 {
                let parts = match simulation.rng.u8(..4) {
                    0 => 1,
                    1 => 2,
                    2 => 5,
                    _ => 1_000,
                };
                simulation.split(parts);
                for host in 0..simulation.hosts.len() {
                    if simulation.rng.u8(..10) == 0 {
                        simulation.hosts[host].issuer = PermitIssuer::default();
                    }
                }
                let time_ms = simulation.rng.u64(200..6_000);
                simulation.run(Duration::from_millis(time_ms));
            }
            simulation.check(seed);
        }
    }
}

/// Guards against a start of all hosts at once, each of which knows no other at first.
#[test]
fn hosts_that_start_together_keep_the_rate() {
    for seed in seeds() {
        for rate_per_s in rates() {
            let mut simulation = Simulation::new(32, rate_per_s, seed);
            simulation.split(1_000);
            simulation.former_parts.clone_from(&simulation.parts);
            simulation.run(Duration::from_secs(3));
            simulation.split(1);
            simulation.run(Duration::from_secs(6));
            simulation.check(seed);
        }
    }
}
