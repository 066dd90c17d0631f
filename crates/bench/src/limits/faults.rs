//! Refusals within the rate while hosts restart and while a failure domain is cut
//! off.

use std::time::Duration;

use super::compare::{demands, refused_share, run_for};
use super::fleet::{Fleet, Shape, WARM_UP};
use super::load::{Demand, Driver, Load, Outcome, RateLimiter, STEP, skewed_weights};
use crate::{Bound, Measurement, Scenario, ScenarioResult};

/// The time between restarts.
const RESTART_INTERVAL: Duration = Duration::from_secs(60);
/// How long a restarting host is down.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// The number of hosts that restart one after another.
const RESTARTS: usize = 10;
/// The failure domain that is cut off.
const CUT_DOMAIN: usize = 0;
/// How long the cut lasts before the load is measured: longer than the term of any
/// loan.
const CUT_SETTLING_TIME: Duration = Duration::from_secs(60);
/// How long the load is measured during the cut.
const CUT_MEASURED_TIME: Duration = Duration::from_secs(60);
/// The load during the cut, relative to the rate.
const CUT_LOAD: f64 = 3.0;
/// The share of its rate that each side must serve. Rates are reduced so that
/// hosts whose clocks run 1% fast do not exceed them.
const MIN_CUT_SHARE: f64 = 1000.0 / 1010.0;

/// Returns the scenarios of rate limits with faults.
#[must_use]
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    vec![Box::new(Restarts), Box::new(DomainCut)]
}

/// One host in 36 is killed each minute and restarts without state.
struct Restarts;

impl Scenario for Restarts {
    fn name(&self) -> &'static str {
        "limits/restarts"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let demands = demands(false);
        let weights = skewed_weights(Shape::CURRENT.hosts(), seed);
        let mut fleet = Fleet::new(&Shape::CURRENT, &demands, seed);
        let mut now = warm_up(&mut fleet);
        let load = Load {
            demands,
            connections: Vec::new(),
            host_weights: weights.clone(),
        };
        let mut driver = Driver::new(load, seed, now);
        run_for(&mut driver, &mut fleet, &mut now, Duration::from_secs(10));
        driver.reset_outcomes();
        let mut rng = fastrand::Rng::with_seed(seed);
        for _ in 0..RESTARTS {
            let host = rng.usize(..weights.len());
            fleet.kill(host);
            driver.set_host_weight(host, 0.0);
            run_for(&mut driver, &mut fleet, &mut now, DOWN_TIME);
            fleet.start(host);
            driver.set_host_weight(host, weights[host]);
            run_for(
                &mut driver,
                &mut fleet,
                &mut now,
                RESTART_INTERVAL - DOWN_TIME,
            );
        }
        let refused = refused_share(driver.outcomes());
        let served = driver.outcomes().iter().map(Outcome::served_share);
        let excess = driver.outcomes().iter().map(|outcome| outcome.excess);
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements: vec![
                Measurement::new("in-rate-refused", refused, "share").bounded(Bound::AtMost(0.001)),
                Measurement::new(
                    "worst-served",
                    served.fold(f64::INFINITY, f64::min),
                    "share",
                ),
                Measurement::new(
                    "requests-over-the-limit",
                    excess.fold(0.0, f64::max),
                    "requests",
                )
                .bounded(Bound::AtMost(0.0)),
            ],
        }
    }
}

/// One failure domain is cut off while callers exceed the rate on both sides.
struct DomainCut;

impl Scenario for DomainCut {
    fn name(&self) -> &'static str {
        "limits/domain-cut"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let shape = Shape::CURRENT;
        let mut demands = demands(false);
        for demand in &mut demands {
            demand.per_s = demand.limit.rate_millis_per_s as f64 / 1000.0 * CUT_LOAD;
        }
        let mut measurements = Vec::new();
        let mut excess: f64 = 0.0;
        for (name, cut_side) in [("cut-off-side", true), ("other-side", false)] {
            let (share, over) = served_on_side(&shape, &demands, cut_side, seed);
            excess = excess.max(over);
            let measurement = Measurement::new(name, share, "share of its domains' part");
            measurements.push(measurement.bounded(Bound::AtLeast(MIN_CUT_SHARE)));
        }
        let measurement = Measurement::new("requests-over-the-limit", excess, "requests");
        measurements.push(measurement.bounded(Bound::AtMost(0.0)));
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

/// Returns the rate at which the worst-served workspace is served on one side,
/// relative to the side's share of the rate, and by how much a limit is exceeded.
fn served_on_side(shape: &Shape, demands: &[Demand], cut_side: bool, seed: u64) -> (f64, f64) {
    let mut fleet = Fleet::new(shape, demands, seed);
    let mut now = warm_up(&mut fleet);
    let on_side = |host: usize| (host % shape.domains == CUT_DOMAIN) == cut_side;
    let weight = |host: usize| if on_side(host) { 1.0 } else { 0.0 };
    let load = Load {
        demands: demands.to_vec(),
        connections: Vec::new(),
        host_weights: (0..shape.hosts()).map(weight).collect(),
    };
    fleet.cut_domain(CUT_DOMAIN, shape.domains);
    fleet.set_readers(|host| host % shape.domains != CUT_DOMAIN);
    let mut driver = Driver::new(load, seed, now);
    run_for(&mut driver, &mut fleet, &mut now, CUT_SETTLING_TIME);
    driver.reset_outcomes();
    run_for(&mut driver, &mut fleet, &mut now, CUT_MEASURED_TIME);
    let domains = if cut_side { 1 } else { shape.domains - 1 };
    let part = domains as f64 / shape.domains as f64 * CUT_MEASURED_TIME.as_secs_f64();
    let mut min_share = f64::INFINITY;
    let mut excess: f64 = 0.0;
    for (demand, outcome) in demands.iter().zip(driver.outcomes()) {
        let rate_per_s = demand.limit.rate_millis_per_s as f64 / 1000.0;
        min_share = min_share.min(outcome.admitted as f64 / (rate_per_s * part));
        excess = excess.max(outcome.excess);
    }
    (min_share, excess)
}

fn warm_up(fleet: &mut Fleet) -> Duration {
    let mut now = Duration::ZERO;
    while now < WARM_UP {
        now += STEP;
        fleet.step(now);
    }
    now
}
