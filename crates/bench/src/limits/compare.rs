//! Compares methods of rate limiting under the same load.

use std::time::Duration;

use waxwingusher_config::RateLimit;

use super::fleet::{Fleet, Shape, WARM_UP};
use super::load::{Demand, Driver, Load, Outcome, STEP, Way, skewed_weights};
use super::rivals::{EvenSplit, GossipedCounters, SingleHome};
use crate::{Bound, Measurement, Scenario, ScenarioResult};

/// How long the load runs before the measurement starts.
const SETTLING: Duration = Duration::from_secs(10);
/// How long the load is measured.
const MEASURED: Duration = Duration::from_secs(60);
/// The share of its rate that a workspace uses.
const USED_SHARE: f64 = 0.7;
/// The workspace that exceeds its rate.
const FLOODING: usize = 2;
/// The factor by which it does.
const FLOOD_FACTOR: f64 = 5.0;
/// The rates in requests per second and the bursts of eight workspaces.
const LIMITS: [(u64, u32); 8] = [
    (400, 400),
    (300, 300),
    (200, 200),
    (100, 100),
    (50, 50),
    (20, 40),
    (10, 20),
    (2, 5),
];

/// Returns the demand of eight workspaces, a few of them large.
#[must_use]
pub fn demands(flood: bool) -> Vec<Demand> {
    let demand = |(i, (rate_per_s, burst)): (usize, &(u64, u32))| {
        let rate = *rate_per_s as f64;
        let floods = flood && i == FLOODING;
        Demand {
            limit: RateLimit {
                rate_millis_per_s: rate_per_s * 1000,
                burst: *burst,
            },
            per_s: if floods {
                rate * FLOOD_FACTOR
            } else {
                rate * USED_SHARE
            },
        }
    };
    LIMITS.iter().enumerate().map(demand).collect()
}

/// A method of rate limiting.
#[derive(Debug, Clone, Copy)]
enum Kind {
    EvenSplit,
    SingleHome,
    GossipedCounters,
    Lending,
}

/// One method under one load.
struct Compare {
    name: &'static str,
    kind: Kind,
    flood: bool,
}

/// Returns the comparisons.
#[must_use]
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    let compare =
        |name, kind, flood| -> Box<dyn Scenario> { Box::new(Compare { name, kind, flood }) };
    vec![
        compare("limits/calm-even-split", Kind::EvenSplit, false),
        compare("limits/calm-single-home", Kind::SingleHome, false),
        compare(
            "limits/calm-gossiped-counters",
            Kind::GossipedCounters,
            false,
        ),
        compare("limits/calm-lending", Kind::Lending, false),
        compare("limits/flood-even-split", Kind::EvenSplit, true),
        compare("limits/flood-single-home", Kind::SingleHome, true),
        compare(
            "limits/flood-gossiped-counters",
            Kind::GossipedCounters,
            true,
        ),
        compare("limits/flood-lending", Kind::Lending, true),
    ]
}

impl Scenario for Compare {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let demands = demands(self.flood);
        let hosts = Shape::TODAY.hosts();
        let mut way: Box<dyn Way> = match self.kind {
            Kind::EvenSplit => Box::new(EvenSplit::new(&demands, hosts)),
            Kind::SingleHome => Box::new(SingleHome::new(&demands, hosts)),
            Kind::GossipedCounters => Box::new(GossipedCounters::new(&demands, hosts)),
            Kind::Lending => Box::new(Fleet::new(&Shape::TODAY, &demands, seed)),
        };
        let load = Load {
            demands,
            connections: Vec::new(),
            host_weights: skewed_weights(hosts, seed),
        };
        let mut now = Duration::ZERO;
        while now < WARM_UP {
            now += STEP;
            way.step(now);
        }
        let mut driver = Driver::new(load, seed, now);
        run_for(&mut driver, way.as_mut(), &mut now, SETTLING);
        driver.reset_outcomes();
        run_for(&mut driver, way.as_mut(), &mut now, MEASURED);
        let bounded = matches!(self.kind, Kind::Lending);
        let mut measurements = measurements(driver.outcomes(), self.flood, bounded);
        if bounded {
            measurements.extend(by_workspace(driver.outcomes()));
        }
        ScenarioResult {
            scenario: self.name.into(),
            seed,
            measurements,
        }
    }
}

/// Runs a load for a duration.
pub fn run_for(driver: &mut Driver, way: &mut dyn Way, now: &mut Duration, time: Duration) {
    let end = *now + time;
    while *now < end {
        *now += STEP;
        driver.step(way, *now);
    }
}

fn measurements(outcomes: &[Outcome], flood: bool, bounded: bool) -> Vec<Measurement> {
    let flooding = |i: usize| flood && i == FLOODING;
    let in_rate = outcomes.iter().enumerate().filter(|(i, _)| !flooding(*i));
    let in_rate: Vec<_> = in_rate.map(|(_, outcome)| *outcome).collect();
    let refused = refused_share(&in_rate);
    let worst = outcomes
        .iter()
        .map(Outcome::served_share)
        .fold(f64::INFINITY, f64::min);
    let excess = outcomes
        .iter()
        .map(|outcome| outcome.excess)
        .fold(0.0, f64::max);
    let waited: u64 = in_rate.iter().map(|outcome| outcome.waited).sum();
    let offered: u64 = in_rate.iter().map(|outcome| outcome.offered).sum();
    let waited = waited as f64 / offered.max(1) as f64;
    let refused_bound = if flood { 0.01 } else { 0.0 };
    let bound = |measurement: Measurement, bound: Bound| {
        if bounded {
            measurement.bounded(bound)
        } else {
            measurement
        }
    };
    vec![
        bound(
            Measurement::new("in-rate-refused", refused, "share"),
            Bound::AtMost(refused_bound),
        ),
        Measurement::new("worst-served", worst, "share"),
        bound(
            Measurement::new("requests-over-the-limit", excess, "requests"),
            Bound::AtMost(0.0),
        ),
        bound(
            Measurement::new("waited-for-a-loan", waited, "share"),
            Bound::AtMost(0.01),
        ),
    ]
}

/// Returns the refused and delayed requests of each workspace.
fn by_workspace(outcomes: &[Outcome]) -> Vec<Measurement> {
    let mut measurements = Vec::new();
    for ((rate_per_s, burst), outcome) in LIMITS.iter().zip(outcomes) {
        let name = |what: &str| format!("{what}-{rate_per_s}-per-s-burst-{burst}");
        let refused = outcome.in_rate_refused as f64;
        measurements.push(Measurement::new(&name("refused"), refused, "requests"));
        let waited = outcome.waited as f64 / outcome.offered.max(1) as f64;
        measurements.push(Measurement::new(&name("waited"), waited, "share"));
    }
    measurements
}

/// Returns the refused share of all requests within the rate.
#[must_use]
pub fn refused_share(outcomes: &[Outcome]) -> f64 {
    let refused: u64 = outcomes.iter().map(|outcome| outcome.in_rate_refused).sum();
    let in_rate: u64 = outcomes.iter().map(|outcome| outcome.in_rate).sum();
    refused as f64 / in_rate.max(1) as f64
}
