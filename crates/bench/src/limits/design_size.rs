//! Rate limiting at the design size: 440 hosts and 13,000 workspaces.

use std::time::{Duration, Instant};

use waxwingusher_config::RateLimit;

use super::compare::{refused_share, run_for};
use super::fleet::{Fleet, Shape, WARM_UP};
use super::load::{Demand, Driver, Load, RateLimiter, STEP};
use crate::{Bound, Measurement, Scenario, ScenarioResult};

/// Workspaces for each host.
const WORKSPACES_PER_HOST: usize = 30;
/// Requests per second and host.
const REQUESTS_PER_HOST_PER_S: f64 = 295.0;
/// The share of its rate that a workspace uses.
const USED_SHARE: f64 = 0.7;
/// Requests per second on one connection of a caller, which stays on one host.
const REQUESTS_PER_CONNECTION_PER_S: f64 = 5.0;
/// The fewest connections of a workspace.
const MIN_CONNECTIONS: usize = 2;
/// How long the load runs before the measurement starts.
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// How long the load is measured.
const MEASURED_TIME: Duration = Duration::from_secs(13);
/// Bytes per second that a host may send for loans.
const MAX_BYTES_PER_S: f64 = 1200.0;
/// The share of a core that a host may use for control, in percent.
const MAX_CORE_PERCENT: f64 = 4.2;

/// A fleet whose hosts carry the load of the design size, with callers that keep
/// connections open.
pub struct DesignSize {
    name: &'static str,
    shape: Shape,
}

impl DesignSize {
    /// All 441 hosts in seven failure domains with 13,230 workspaces. A run
    /// takes minutes.
    pub const WHOLE: Self = Self {
        name: "limits/design-size",
        shape: Shape {
            domains: 7,
            hosts_per_domain: 63,
            readers_per_domain: 3,
        },
    };

    /// A seventh of the hosts and workspaces, with the same load for each host.
    pub const SLICE: Self = Self {
        name: "limits/design-slice",
        shape: Shape {
            domains: 7,
            hosts_per_domain: 9,
            readers_per_domain: 3,
        },
    };
}

/// Measures a fleet whose hosts carry the load of the design size.
pub(crate) fn measure_hosts(hosts_per_domain: usize, seed: u64) -> Vec<Measurement> {
    let shape = Shape {
        hosts_per_domain,
        ..DesignSize::WHOLE.shape
    };
    let name = DesignSize::WHOLE.name;
    DesignSize { name, shape }.run(seed).measurements
}

impl Scenario for DesignSize {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let hosts = self.shape.hosts();
        let demands = zipf_demands(hosts);
        let mut fleet = Fleet::new(&self.shape, &demands, seed);
        let mut now = Duration::ZERO;
        while now < WARM_UP {
            now += STEP * 5;
            fleet.step(now);
        }
        let load = Load {
            connections: connections(&demands, hosts, seed),
            demands,
            host_weights: Vec::new(),
        };
        let mut driver = Driver::new(load, seed, now);
        run_for(&mut driver, &mut fleet, &mut now, SETTLING_TIME);
        driver.reset_outcomes();
        fleet.take_traffic();
        fleet.reset_processor_time();
        let start = Instant::now();
        run_for(&mut driver, &mut fleet, &mut now, MEASURED_TIME);
        let elapsed = start.elapsed();
        let mut measurements = traffic(&mut fleet, hosts);
        measurements.extend(outcomes(&driver));
        let core =
            fleet.processor_time().as_secs_f64() / (MEASURED_TIME.as_secs_f64() * hosts as f64);
        let core = Measurement::new("control-of-a-core", core * 100.0, "percent").timed();
        measurements.push(core.bounded(Bound::AtMost(MAX_CORE_PERCENT)));
        measurements.push(Measurement::new("run-time", elapsed.as_secs_f64(), "s").timed());
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

fn traffic(fleet: &mut Fleet, hosts: usize) -> Vec<Measurement> {
    let traffic = fleet.take_traffic();
    let per_host_second = |count: u64| count as f64 / hosts as f64 / MEASURED_TIME.as_secs_f64();
    vec![
        Measurement::new(
            "bytes-sent",
            per_host_second(traffic.bytes),
            "bytes/s a host",
        )
        .bounded(Bound::AtMost(MAX_BYTES_PER_S)),
        Measurement::new(
            "datagrams-sent",
            per_host_second(traffic.datagrams),
            "1/s a host",
        ),
        Measurement::new(
            "list-datagrams-sent",
            per_host_second(traffic.list_datagrams),
            "1/s a host",
        ),
    ]
}

fn outcomes(driver: &Driver) -> Vec<Measurement> {
    let outcomes = driver.outcomes();
    let waited: u64 = outcomes.iter().map(|outcome| outcome.waited).sum();
    let offered: u64 = outcomes.iter().map(|outcome| outcome.offered).sum();
    let excess = outcomes.iter().map(|outcome| outcome.excess);
    vec![
        Measurement::new("in-rate-refused", refused_share(outcomes), "share")
            .bounded(Bound::AtMost(0.0)),
        Measurement::new("waited-for-a-loan", waited as f64 / offered as f64, "share")
            .bounded(Bound::AtMost(0.01)),
        Measurement::new(
            "requests-over-the-limit",
            excess.fold(0.0, f64::max),
            "requests",
        )
        .bounded(Bound::AtMost(0.0)),
    ]
}

/// Returns demands with a Zipf distribution: the n-th is proportional to 1/n.
fn zipf_demands(hosts: usize) -> Vec<Demand> {
    let workspaces = WORKSPACES_PER_HOST * hosts;
    let total: f64 = (1..=workspaces).map(|n| 1.0 / n as f64).sum();
    let demand = |n: usize| {
        let per_s = REQUESTS_PER_HOST_PER_S * hosts as f64 / total / n as f64;
        let rate_per_s = per_s / USED_SHARE;
        Demand {
            limit: RateLimit {
                rate_millis_per_s: (rate_per_s * 1000.0) as u64,
                burst: (rate_per_s as u32).max(20),
            },
            per_s,
        }
    };
    (1..=workspaces).map(demand).collect()
}

/// Returns the hosts to which each workspace's connections lead.
fn connections(demands: &[Demand], hosts: usize, seed: u64) -> Vec<Vec<usize>> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut all = Vec::new();
    for demand in demands {
        let count = (demand.per_s / REQUESTS_PER_CONNECTION_PER_S) as usize;
        let count = count.max(MIN_CONNECTIONS);
        all.push((0..count).map(|_| rng.usize(..hosts)).collect());
    }
    all
}
