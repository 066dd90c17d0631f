//! The spread of requests by a fleet whose instances take time to answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId, ServiceName};
use waxwingusher_upstreams::{
    Evidence, LoadSharing, Observation, PlacementRequest, Roster, RosterEntry, RosterState, place,
};

const DOMAINS: [&str; 2] = ["north", "south"];
const HOSTS_PER_DOMAIN: usize = 4;
const INSTANCES: usize = 24;
const SLOTS: u32 = 6;
const STEP: Duration = Duration::from_millis(1);
/// How often hosts of another domain learn of starts and successes.
const REMOTE_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Each instance fails nine in ten requests for this share of each period.
const FAILURE_PERIOD: Duration = Duration::from_secs(9);
const FAILING_SHARE: f64 = 0.3;
const FAILED_SHARE_WHILE_FAILING: f64 = 0.9;
/// The users' floor: the share of sound instances that get requests within
/// [`WINDOW`]. An instance is sound if it has not failed for [`SOUND_AFTER`].
const FLOOR_SHARE: f64 = 0.7;
const WINDOW: Duration = Duration::from_secs(2);
const SOUND_AFTER: Duration = Duration::from_secs(2);

/// A kind of request to the service.
struct Kind {
    is_idempotent: bool,
    requests_per_s: f64,
    usual_time: Duration,
}

/// Requests of which one in three can be retried, at a third of the slots.
const KINDS: [Kind; 2] = [
    Kind {
        is_idempotent: true,
        requests_per_s: 2.0 * INSTANCES as f64,
        usual_time: Duration::from_millis(280),
    },
    Kind {
        is_idempotent: false,
        requests_per_s: 4.0 * INSTANCES as f64,
        usual_time: Duration::from_millis(380),
    },
];
const LATENCY_TARGET: Duration = Duration::from_millis(1_200);

struct SimulatedHost {
    addr: SocketAddr,
    domain: FailureDomain,
    evidence: Evidence,
}

struct RunningAttempt {
    ends_at: Instant,
    host: usize,
    instance: usize,
    observation: Observation,
}

struct Simulation {
    start: Instant,
    now: Instant,
    roster: Roster,
    ids: Vec<InstanceId>,
    hosts: Vec<SimulatedHost>,
    running: Vec<RunningAttempt>,
    /// When each instance got its requests.
    arrivals: Vec<Vec<Instant>>,
    rng: fastrand::Rng,
    load_sharing: LoadSharing,
}

impl Simulation {
    fn new(seed: u64, load_sharing: LoadSharing) -> Self {
        let start = Instant::now();
        let ids: Vec<InstanceId> = (0..INSTANCES)
            .map(|number| InstanceId::new(&format!("i-{number}")))
            .collect();
        let entries = ids.iter().enumerate().map(|(number, id)| RosterEntry {
            id: id.clone(),
            incarnation: 1,
            service: ServiceName::new("svc"),
            addr: "127.0.0.1:80".parse().expect("an address"),
            failure_domain: FailureDomain::new(DOMAINS[number % DOMAINS.len()]),
            software: Arc::from("v1"),
            slots: SLOTS,
            state: RosterState::Ready,
            cold_for: Duration::ZERO,
        });
        let mut roster = Roster::default();
        roster.replace(start, entries.collect(), FeedPosition::new(0, 1));
        let host_count = DOMAINS.len() * HOSTS_PER_DOMAIN;
        let hosts = (0..host_count).map(|number| SimulatedHost {
            addr: SocketAddr::from(([10, 0, 0, 1], u16::try_from(number).expect("few hosts"))),
            domain: FailureDomain::new(DOMAINS[number % DOMAINS.len()]),
            evidence: Evidence::default(),
        });
        Self {
            start,
            now: start,
            roster,
            ids,
            hosts: hosts.collect(),
            running: Vec::new(),
            arrivals: vec![Vec::new(); INSTANCES],
            rng: fastrand::Rng::with_seed(seed),
            load_sharing,
        }
    }

    fn run(&mut self, time: Duration) {
        let mut next_remote_report = self.start + REMOTE_REPORT_INTERVAL;
        while self.now < self.start + time {
            self.now += STEP;
            self.end_attempts();
            for kind in &KINDS {
                if self.rng.f64() < kind.requests_per_s * STEP.as_secs_f64() {
                    self.send(kind);
                }
            }
            if self.now >= next_remote_report {
                next_remote_report += REMOTE_REPORT_INTERVAL;
                for sender in 0..self.hosts.len() {
                    for instance in 0..INSTANCES {
                        self.report(sender, instance, true);
                    }
                }
            }
        }
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        let ended: Vec<RunningAttempt> = self
            .running
            .extract_if(.., |attempt| attempt.ends_at <= now)
            .collect();
        for attempt in ended {
            let id = &self.ids[attempt.instance];
            let evidence = &mut self.hosts[attempt.host].evidence;
            evidence.record_end(now, id, attempt.observation);
            let is_failure = attempt.observation == Observation::Failure;
            self.report(attempt.host, attempt.instance, is_failure);
        }
    }

    /// Sends a request from a random host. It is not retried.
    fn send(&mut self, kind: &Kind) {
        let host = self.rng.usize(..self.hosts.len());
        let request = PlacementRequest {
            refused_share: 0.0,
            service: &ServiceName::new("svc"),
            is_idempotent: kind.is_idempotent,
            attempts_left: 2,
            attempted: &[],
            failure_domain: &self.hosts[host].domain,
            allowed_domains: None,
            priority: 0,
            usual_time: kind.usual_time,
            latency_target: LATENCY_TARGET,
            room: None,
            load_sharing: self.load_sharing,
        };
        let evidence = &self.hosts[host].evidence;
        let Ok(placement) = place(self.now, &self.roster, evidence, &request, &mut self.rng) else {
            return;
        };
        let id = placement.instance.entry.id;
        let instance = self.ids.iter().position(|other| *other == id);
        let instance = instance.expect("the instance is listed");
        self.arrivals[instance].push(self.now);
        let fails =
            self.is_failing(instance, self.now) && self.rng.f64() < FAILED_SHARE_WHILE_FAILING;
        let (took, observation) = if fails {
            (STEP, Observation::Failure)
        } else {
            // Times are distributed exponentially.
            let slowness = -(1.0 - self.rng.f64()).ln();
            let took = kind.usual_time.mul_f64(slowness);
            (took, Observation::Success { slowness })
        };
        self.running.push(RunningAttempt {
            ends_at: self.now + took,
            host,
            instance,
            observation,
        });
        self.hosts[host].evidence.record_start(self.now, &id);
        self.report(host, instance, false);
    }

    /// Delivers a host's report on an instance to its domain, or to all hosts.
    fn report(&mut self, sender: usize, instance: usize, to_all: bool) {
        let id = &self.ids[instance];
        let report = self.hosts[sender].evidence.own_report(self.now, id);
        let (addr, domain) = (self.hosts[sender].addr, self.hosts[sender].domain.clone());
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if number == sender || !to_all && host.domain != domain {
                continue;
            }
            host.evidence.record_peer_report(self.now, addr, id, report);
        }
    }

    fn is_failing(&self, instance: usize, at: Instant) -> bool {
        let period_s = FAILURE_PERIOD.as_secs_f64();
        let offset_s = period_s * instance as f64 / INSTANCES as f64;
        let phase_s = ((at - self.start).as_secs_f64() + offset_s) % period_s;
        phase_s < FAILING_SHARE * period_s
    }

    fn is_sound(&self, instance: usize, window_start: Instant) -> bool {
        let mut at = window_start - SOUND_AFTER;
        while at <= window_start + WINDOW {
            if self.is_failing(instance, at) {
                return false;
            }
            at += WINDOW / 20;
        }
        true
    }

    /// Returns the least share of sound instances that got requests within a window.
    fn least_share_in_use(&self) -> f64 {
        let mut least: f64 = 1.0;
        let mut from = self.start + 3 * SOUND_AFTER;
        while from + WINDOW <= self.now {
            let sound: Vec<usize> = (0..INSTANCES)
                .filter(|instance| self.is_sound(*instance, from))
                .collect();
            let in_use = sound.iter().filter(|instance| {
                let mut arrivals = self.arrivals[**instance].iter();
                arrivals.any(|at| *at >= from && *at < from + WINDOW)
            });
            let share = in_use.count() as f64 / sound.len() as f64;
            least = least.min(share);
            from += WINDOW / 20;
        }
        least
    }
}

/// Four in eight sound instances got no request for two seconds (incident inc1): their
/// newest outcomes were recent, as earlier answers still arrived.
#[test]
fn sound_instances_are_not_left_idle_while_their_earlier_answers_arrive() {
    check_least_share_in_use(LoadSharing::for_hosts(1));
}

/// Guards against sound instances without requests while load is shared over hosts in
/// several failure domains.
#[test]
fn sound_instances_stay_in_use_while_load_is_shared() {
    check_least_share_in_use(LoadSharing::for_hosts(HOSTS_PER_DOMAIN));
}

fn check_least_share_in_use(load_sharing: LoadSharing) {
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed, load_sharing);
        simulation.run(Duration::from_secs(60));
        let least = simulation.least_share_in_use();
        assert!(least >= FLOOR_SHARE, "seed {seed}: {least:.2}");
    }
}
