//! Processor time of one choice of an instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId, ServiceName};
use waxwingusher_upstreams::{
    Evidence, LoadSharing, Observation, PlacementRequest, Roster, RosterEntry, RosterState, place,
};

use crate::{Measurement, Scenario, ScenarioResult};

/// The instances of the largest service of the users' deployments.
const INSTANCES: usize = 285;
const DOMAINS: usize = 3;
const SLOTS: u32 = 6;
const CHOICES_PER_BATCH: u32 = 1_000;
const BATCHES: usize = 21;

/// Measures ordinary choices: warm instances, no limits, no evacuation.
pub struct PlacementTime;

impl Scenario for PlacementTime {
    fn name(&self) -> &'static str {
        "upstreams/placement-time"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut batches: Vec<f64> = (0..BATCHES).map(|_| measure_batch_us(seed)).collect();
        batches.sort_by(f64::total_cmp);
        let median = Measurement::new("choice-285-instances", batches[BATCHES / 2], "us");
        let least = Measurement::new("choice-285-instances-least", batches[0], "us");
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements: vec![least.timed(), median.timed()],
        }
    }
}

fn entry(number: usize) -> RosterEntry {
    RosterEntry {
        id: InstanceId::new(&format!("instance-{number}")),
        incarnation: 1,
        service: ServiceName::new("service"),
        addr: SocketAddr::from(([127, 0, 0, 1], 80)),
        failure_domain: FailureDomain::new(&format!("domain-{}", number % DOMAINS)),
        software: Arc::from("1"),
        slots: SLOTS,
        state: RosterState::Ready,
        cold_for: Duration::ZERO,
    }
}

/// Returns the mean time of one choice.
fn measure_batch_us(seed: u64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let now = Instant::now();
    let entries: Vec<RosterEntry> = (0..INSTANCES).map(entry).collect();
    let mut evidence = Evidence::default();
    for entry in &entries {
        evidence.record_start(now, &entry.id);
        let slowness = 0.5 + rng.f64();
        evidence.record_end(now, &entry.id, Observation::Success { slowness });
    }
    let mut roster = Roster::default();
    roster.replace(now, entries, FeedPosition::new(0, 1));
    let (service, failure_domain) = (ServiceName::new("service"), FailureDomain::new("domain-0"));
    let request = PlacementRequest {
        refused_share: 0.0,
        load_sharing: LoadSharing::for_hosts(1),
        room: None,
        service: &service,
        is_idempotent: true,
        attempts_left: 2,
        attempted: &[],
        failure_domain: &failure_domain,
        allowed_domains: None,
        priority: 0,
        usual_time: Duration::from_millis(100),
        latency_target: Duration::from_secs(1),
    };
    let started = Instant::now();
    for _ in 0..CHOICES_PER_BATCH {
        let placed = place(now, &roster, &evidence, &request, &mut rng);
        std::hint::black_box(&placed);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES_PER_BATCH)
}
