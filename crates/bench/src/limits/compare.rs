//! Compares methods of rate limiting under the same load.

use std::time::Duration;

use waxwingusher_config::RateLimit;

use super::alternatives::{EvenSplit, GossipedCounters, SingleHome};
use super::fleet::{Fleet, Shape, WARM_UP};
use super::load::{Demand, Driver, Load, Outcome, RateLimiter, STEP, skewed_weights};
use crate::{Bound, Measurement, Scenario, ScenarioResult};

/// How long the load runs before the measurement starts.
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// How long the load is measured.
const MEASURED_TIME: Duration = Duration::from_secs(60);
/// The share of its rate that a workspace uses.
const USED_SHARE: f64 = 0.7;
/// The workspace that exceeds its rate.
const OVER_RATE_WORKSPACE: usize = 2;
/// The factor by which it does.
const OVER_RATE_FACTOR: f64 = 5.0;
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
pub fn demands(has_overload: bool) -> Vec<Demand> {
    let demand = |(i, (rate_per_s, burst)): (usize, &(u64, u32))| {
        let rate = *rate_per_s as f64;
        let exceeds_rate = has_overload && i == OVER_RATE_WORKSPACE;
        Demand {
            limit: RateLimit {
                rate_millis_per_s: rate_per_s * 1000,
                burst: *burst,
            },
            per_s: if exceeds_rate {
                rate * OVER_RATE_FACTOR
            } else {
                rate * USED_SHARE
            },
        }
    };
    LIMITS.iter().enumerate().map(demand).collect()
}

/// A method of rate limiting.
#[derive(Debug, Clone, Copy)]
enum Method {
    EvenSplit,
    SingleHome,
    GossipedCounters,
    Lending,
}

/// One method under one load.
struct Compare {
    name: &'static str,
    method: Method,
    has_overload: bool,
}

/// Returns the comparisons.
#[must_use]
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    let compare = |name, method, has_overload| -> Box<dyn Scenario> {
        Box::new(Compare {
            name,
            method,
            has_overload,
        })
    };
    vec![
        compare("limits/calm-even-split", Method::EvenSplit, false),
        compare("limits/calm-single-home", Method::SingleHome, false),
        compare(
            "limits/calm-gossiped-counters",
            Method::GossipedCounters,
            false,
        ),
        compare("limits/calm-lending", Method::Lending, false),
        compare("limits/flood-even-split", Method::EvenSplit, true),
        compare("limits/flood-single-home", Method::SingleHome, true),
        compare(
            "limits/flood-gossiped-counters",
            Method::GossipedCounters,
            true,
        ),
        compare("limits/flood-lending", Method::Lending, true),
    ]
}

impl Scenario for Compare {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let demands = demands(self.has_overload);
        let hosts = Shape::CURRENT.hosts();
        let mut limiter: Box<dyn RateLimiter> = match self.method {
            Method::EvenSplit => Box::new(EvenSplit::new(&demands, hosts)),
            Method::SingleHome => Box::new(SingleHome::new(&demands, hosts)),
            Method::GossipedCounters => Box::new(GossipedCounters::new(&demands, hosts)),
            Method::Lending => Box::new(Fleet::new(&Shape::CURRENT, &demands, seed)),
        };
        let load = Load {
            demands,
            connections: Vec::new(),
            host_weights: skewed_weights(hosts, seed),
        };
        let mut now = Duration::ZERO;
        while now < WARM_UP {
            now += STEP;
            limiter.step(now);
        }
        let mut driver = Driver::new(load, seed, now);
        run_for(&mut driver, limiter.as_mut(), &mut now, SETTLING_TIME);
        driver.reset_outcomes();
        run_for(&mut driver, limiter.as_mut(), &mut now, MEASURED_TIME);
        let is_bounded = matches!(self.method, Method::Lending);
        let mut measurements = measurements(driver.outcomes(), self.has_overload, is_bounded);
        if is_bounded {
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
pub fn run_for(
    driver: &mut Driver,
    limiter: &mut dyn RateLimiter,
    now: &mut Duration,
    time: Duration,
) {
    let end = *now + time;
    while *now < end {
        *now += STEP;
        driver.step(limiter, *now);
    }
}

fn measurements(outcomes: &[Outcome], has_overload: bool, is_bounded: bool) -> Vec<Measurement> {
    let exceeds_rate = |i: usize| has_overload && i == OVER_RATE_WORKSPACE;
    let in_rate = outcomes
        .iter()
        .enumerate()
        .filter(|(i, _)| !exceeds_rate(*i));
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
    let refused_bound = if has_overload { 0.01 } else { 0.0 };
    let bound = |measurement: Measurement, bound: Bound| {
        if is_bounded {
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
