//! A failure domain that returns from an evacuation as a whole, in virtual time.
//!
//! All of its instances are cold at once, and the whole fleet has more requests than they
//! take. No other domain has instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId, ServiceName};
use waxwingusher_limits::{FleetView, PermitIssuer};
use waxwingusher_membership::seeded::issuers::permit_issuer;
use waxwingusher_membership::seeded::name_hash;
use waxwingusher_upstreams::{
    ColdPolicy, Evidence, LoadSharing, Observation, PermitReason, PlacementError, PlacementRequest,
    RateLimit, Roster, RosterEntry, RosterState, place,
};

const HOSTS: usize = 24;
const INSTANCES: usize = 20;
const COLD_PER_S: f64 = 3.3;
const COLD_FOR: Duration = Duration::from_secs(8);
/// The requests of the whole fleet, over what the cold instances take.
const DEMAND: f64 = 4.0;
const STEP: Duration = Duration::from_millis(5);
const WORK_TIME: Duration = Duration::from_millis(100);
const WINDOW: Duration = Duration::from_secs(1);

struct SimulatedHost {
    evidence: Evidence,
    issuer: PermitIssuer,
    /// When its requests end, and at which instances.
    running: Vec<(Instant, InstanceId)>,
}

struct Simulation {
    now: Instant,
    roster: Roster,
    hosts: Vec<SimulatedHost>,
    arrivals: Vec<(Instant, InstanceId)>,
    /// The times after which callers of refused requests were told to return.
    retry_afters: Vec<Duration>,
    rng: fastrand::Rng,
}

fn instance(number: usize) -> InstanceId {
    InstanceId::new(&format!("i-{number}"))
}

fn addr(host: usize) -> SocketAddr {
    let number = u8::try_from(host).expect("few hosts");
    SocketAddr::from(([10, 0, 0, number], 1))
}

fn entry(number: usize) -> RosterEntry {
    RosterEntry {
        id: instance(number),
        incarnation: 1,
        service: ServiceName::new("svc"),
        addr: "127.0.0.1:80".parse().expect("an address"),
        failure_domain: FailureDomain::new("north"),
        software: Arc::from("v1"),
        slots: 6,
        state: RosterState::Ready,
        cold_for: Duration::ZERO,
    }
}

impl Simulation {
    /// Creates a fleet at the end of an evacuation, of which the entries state nothing.
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let north = FailureDomain::new("north");
        let mut roster = Roster::default();
        roster.evacuations_mut().order(north.clone());
        let entries = (0..INSTANCES).map(entry).collect();
        roster.replace(now, entries, FeedPosition::new(0, 1));
        let now = now + Duration::from_secs(30);
        roster.evacuations_mut().take_back(now, &north);
        let host = |_| SimulatedHost {
            evidence: Evidence::default(),
            issuer: PermitIssuer::default(),
            running: Vec::new(),
        };
        Self {
            now,
            roster,
            hosts: (0..HOSTS).map(host).collect(),
            arrivals: Vec::new(),
            retry_afters: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Handles a request as `gateway::dispatch` does.
    fn send(&mut self, host: usize) {
        let (service, domain) = (ServiceName::new("svc"), FailureDomain::new("north"));
        let request = PlacementRequest {
            refused_share: 0.0,
            load_sharing: LoadSharing::for_hosts(1),
            room: None,
            service: &service,
            is_idempotent: false,
            attempts_left: 1,
            attempted: &[],
            failure_domain: &domain,
            allowed_domains: None,
            priority: 0,
            usual_time: WORK_TIME,
            latency_target: Duration::from_secs(1),
        };
        loop {
            let evidence = &self.hosts[host].evidence;
            let placed = place(self.now, &self.roster, evidence, &request, &mut self.rng);
            let chosen = match placed {
                Ok(placement) => placement.instance,
                Err(PlacementError::AllBackOff { retry_after }) => {
                    self.retry_afters.push(retry_after);
                    return;
                }
                Err(error) => panic!("the instances are idle: {error}"),
            };
            let policy = ColdPolicy {
                duration: COLD_FOR,
                rate: RateLimit::from_per_s(COLD_PER_S),
            };
            let limit = policy.limit(self.now, &chosen, self.roster.evacuations(), None);
            let limit = limit.expect("all are cold");
            if self.acquire(host, &chosen.entry.id, limit.rate) {
                let id = chosen.entry.id;
                let host = &mut self.hosts[host];
                host.evidence.record_start(self.now, &id);
                host.running.push((self.now + WORK_TIME, id.clone()));
                self.arrivals.push((self.now, id));
                return;
            }
        }
    }

    fn acquire(&mut self, host: usize, id: &InstanceId, rate: RateLimit) -> bool {
        let peers = (0..HOSTS).filter(|peer| *peer != host).map(addr);
        let issuer = permit_issuer(name_hash(id.as_str()), addr(host), peers);
        let issuer = (0..HOSTS).find(|number| addr(*number) == issuer);
        let view = FleetView {
            reachable_hosts: HOSTS,
            known_hosts: HOSTS,
        };
        let issuer = &mut self.hosts[issuer.expect("a host")].issuer;
        let issued = issuer.issue(self.now, id, rate.per_s(), view, &mut self.rng);
        let Err(denied) = issued else {
            return true;
        };
        let evidence = &mut self.hosts[host].evidence;
        let reason = PermitReason::Cold;
        evidence.record_permit_denied(self.now, id, denied.retry_after, reason);
        false
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        let instances = f64::from(u32::try_from(INSTANCES).expect("few instances"));
        let per_step = DEMAND * COLD_PER_S * instances * STEP.as_secs_f64();
        while self.now < until {
            self.now += STEP;
            let now = self.now;
            for host in &mut self.hosts {
                let ended = host.running.extract_if(.., |(end, _)| *end <= now);
                for (_, id) in ended {
                    let success = Observation::Success { slowness: 1.0 };
                    host.evidence.record_end(now, &id, success);
                }
            }
            let mut left = per_step;
            while self.rng.f64() < left {
                let host = self.rng.usize(..HOSTS);
                self.send(host);
                left -= 1.0;
            }
        }
    }

    /// Returns how many requests an instance got, and the most in any window.
    fn counts(&self, id: &InstanceId) -> (usize, usize) {
        let times: Vec<Instant> = self
            .arrivals
            .iter()
            .filter(|(_, to)| to == id)
            .map(|(at, _)| *at)
            .collect();
        let windows = times.iter().enumerate().map(|(first, start)| {
            let rest = times[first..].iter();
            rest.filter(|at| **at - *start < WINDOW).count()
        });
        (times.len(), windows.max().unwrap_or(0))
    }
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("few requests"))
}

/// Guards against instances that crash one after the other as the domain returns, and
/// against a domain that gets less than its instances take. The rest is refused at once.
#[test]
fn a_domain_that_returns_as_a_whole_is_loaded_at_the_pace_of_its_instances() {
    const TIME: Duration = Duration::from_secs(6);
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed);
        simulation.run(TIME);
        let taken = COLD_PER_S * TIME.as_secs_f64();
        for number in 0..INSTANCES {
            let (count, most) = simulation.counts(&instance(number));
            let allowed = 1.5 * COLD_PER_S + 8.0;
            assert!(to_f64(most) <= allowed, "seed {seed}: {most} in {WINDOW:?}");
            assert!(
                to_f64(count) >= 0.7 * taken,
                "seed {seed}: i-{number} got {count} of {taken}"
            );
        }
        let total = to_f64(simulation.arrivals.len()) / (taken * to_f64(INSTANCES));
        assert!(total >= 0.85, "seed {seed}: {total} of the rate is used");
        assert!(!simulation.retry_afters.is_empty(), "the rest is refused");
        let longest = simulation.retry_afters.iter().max();
        assert!(longest <= Some(&Duration::from_secs(2)), "{longest:?}");
    }
}
