//! Bytes and processor time of the control plane of upstreams at the design size.

use std::time::{Duration, Instant};

use waxwingusher_config::Detection;
use waxwingusher_core::ServiceName;
use waxwingusher_upstreams::{UpstreamResult, UpstreamSettings};

use super::fleet::Fleet;
use super::pool::PoolShape;
use crate::{Bound, Measurement, Scenario, ScenarioResult};

const SHAPE: PoolShape = PoolShape {
    hosts: 440,
    domains: 7,
    instances: 21,
    slots: 6,
    detection: Detection::Careful,
};
const SERVICES: usize = 250;
const SIMULATED_SERVICES: usize = 5;
const REQUESTS_PER_S: f64 = 130_000.0;
const LENGTH: Duration = Duration::from_secs(20);
const WARM_UP: Duration = Duration::from_secs(10);
const BASE_FAILURE_RATE: f64 = 0.001;
const MAX_BYTES_PER_HOST_S: f64 = 600.0;
const TICKS: u32 = 200;
const TICKS_PER_S: f64 = 20.0;
const CHOICES: u32 = 20_000;

/// 440 hosts with 5 of the 250 services, and one host with all of them.
pub struct ControlCost;

impl Scenario for ControlCost {
    fn name(&self) -> &'static str {
        "upstreams/control-cost"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let healthy = bytes_per_host_s(&SHAPE, seed, 0.0);
        let ejecting = bytes_per_host_s(&SHAPE, seed, 1.0);
        let (tick_core, choose_us) = processor_time(seed);
        let scale = SERVICES as f64 / SIMULATED_SERVICES as f64;
        let measurements = vec![
            Measurement::new("calm-bytes", healthy * scale, "B/s")
                .bounded(Bound::AtMost(MAX_BYTES_PER_HOST_S)),
            Measurement::new(
                "one-ejection-bytes",
                (ejecting - healthy) / SIMULATED_SERVICES as f64,
                "B/s",
            ),
            Measurement::new("tick-of-250-services", tick_core * 100.0, "percent-of-core").timed(),
            Measurement::new("choose-and-report", choose_us, "us").timed(),
        ];
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

/// Measures a fleet of a size with all services and only the base failure rate.
pub(crate) fn measure_hosts(hosts: usize, seed: u64) -> Vec<Measurement> {
    let shape = PoolShape { hosts, ..SHAPE };
    let scale = SERVICES as f64 / SIMULATED_SERVICES as f64;
    let healthy = bytes_per_host_s(&shape, seed, 0.0) * scale;
    vec![Measurement::new("calm-bytes", healthy, "B/s")]
}

/// Returns the bytes per second and host for the simulated services while one
/// instance of each fails the given share of its requests.
fn bytes_per_host_s(shape: &PoolShape, seed: u64, failing: f64) -> f64 {
    let mut fleet = Fleet::new(
        shape,
        SIMULATED_SERVICES,
        seed,
        &UpstreamSettings::default(),
    );
    let load = shape.hosts as f64 / SHAPE.hosts as f64;
    let rate = REQUESTS_PER_S * load * SIMULATED_SERVICES as f64 / SERVICES as f64;
    let names: Vec<_> = (0..SIMULATED_SERVICES)
        .map(|index| ServiceName::new(&format!("service-{index}")))
        .collect();
    let mut elapsed = Duration::ZERO;
    let mut bytes_before = 0;
    while elapsed < WARM_UP + LENGTH {
        if elapsed <= WARM_UP {
            bytes_before = fleet.sent_bytes;
        }
        for _ in 0..fleet.arrivals(rate) {
            let host = fleet.rng.usize(..shape.hosts);
            let service = &names[fleet.rng.usize(..names.len())];
            let origin = fleet.origin();
            let sent = fleet.request(host, service, origin, |instance, rng| {
                let latency = Duration::from_millis(15 + rng.u64(..10));
                let is_failing = instance.as_str() == "instance-003" && rng.f64() < failing;
                let result = if is_failing || rng.f64() < BASE_FAILURE_RATE {
                    UpstreamResult::ErrorStatus
                } else {
                    let load = None;
                    UpstreamResult::Success { latency, load }
                };
                (result, latency)
            });
            debug_assert!(sent.is_ok());
        }
        elapsed += fleet.step();
    }
    let sent = (fleet.sent_bytes - bytes_before) as f64;
    sent / LENGTH.as_secs_f64() / shape.hosts as f64
}

/// Returns the share of a core that ticks with all services take, and the time of
/// one choice with its report in microseconds.
fn processor_time(seed: u64) -> (f64, f64) {
    let shape = PoolShape { hosts: 1, ..SHAPE };
    let mut fleet = Fleet::new(&shape, SERVICES, seed, &UpstreamSettings::default());
    let names: Vec<_> = (0..SERVICES)
        .map(|index| ServiceName::new(&format!("service-{index}")))
        .collect();
    let started = Instant::now();
    for index in 0..CHOICES {
        let service = &names[index as usize % SERVICES];
        let origin = fleet.origin();
        let latency = Duration::from_millis(20);
        let result = UpstreamResult::Success {
            latency,
            load: None,
        };
        let sent = fleet.request(0, service, origin, |_, _| (result, Duration::ZERO));
        debug_assert!(sent.is_ok());
        fleet.step();
    }
    let with_steps = started.elapsed();
    let started = Instant::now();
    for _ in 0..TICKS {
        let _ = fleet.sets[0].tick();
    }
    let tick_s = started.elapsed().as_secs_f64() / f64::from(TICKS);
    let started = Instant::now();
    for _ in 0..CHOICES {
        fleet.step();
    }
    let steps_only = started.elapsed();
    let choose_s = with_steps.saturating_sub(steps_only).as_secs_f64() / f64::from(CHOICES);
    (tick_s * TICKS_PER_S, choose_s * 1e6)
}
