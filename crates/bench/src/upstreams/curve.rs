//! False ejections and their trade-off against detection time.
//!
//! The simulation steps the cumulative sum of one instance from failure to failure,
//! because the number of successes between two failures is geometric. That makes
//! many instance-hours cheap. Exoneration of origins, which only lowers the sum, is
//! left out.

use waxwingusher_config::Detection;
use waxwingusher_upstreams::settings::TestThresholds;
use waxwingusher_upstreams::steps::TestSteps;

use crate::{Bound, Measurement, Scenario, ScenarioResult};

const REQUESTS_PER_S: f64 = 5.0;
const SECONDS_PER_HOUR: f64 = 3_600.0;
const HEALTHY_FAILURE_RATES: [f64; 4] = [0.000_5, 0.001, 0.002, 0.005];
const CURVE_FAILURE_RATE: f64 = 0.001;
const HEALTHY_SLOW_RATE: f64 = 0.01;
const CAREFUL_HOURS: f64 = 1_000_000.0;
const FAST_HOURS: f64 = 30_000.0;
const CURVE_HOURS: f64 = 50_000.0;
const DETECTION_RUNS: usize = 2_000;
/// The mean of a Poisson distribution that yields zero with a probability of 5%.
const ZERO_COUNT_MEAN: f64 = 3.0;

/// Measures false ejections of healthy instances at each detection setting.
pub struct FalseEjections;

impl Scenario for FalseEjections {
    fn name(&self) -> &'static str {
        "upstreams/false-ejections"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut measurements = Vec::new();
        for (label, detection, hours, target) in [
            ("careful", Detection::Careful, CAREFUL_HOURS, 1e-5),
            ("fast", Detection::Fast, FAST_HOURS, 1e-3),
        ] {
            let thresholds = TestThresholds::of(detection);
            let slow = HealthyInstance {
                steps: TestSteps::for_slow(HEALTHY_SLOW_RATE),
                bad_rate: HEALTHY_SLOW_RATE,
                threshold: thresholds.slow,
            };
            let by_slowness = slow.false_ejections(hours, &mut rng);
            let hours_text = format!("{label}-instance-hours");
            measurements.push(Measurement::new(&hours_text, hours, "h"));
            let slow_text = format!("{label}-by-slowness");
            measurements.push(Measurement::new(
                &slow_text,
                by_slowness as f64,
                "ejections",
            ));
            for rate in HEALTHY_FAILURE_RATES {
                let steps = TestSteps::for_failures(rate);
                let failing = HealthyInstance {
                    steps,
                    bad_rate: rate,
                    threshold: steps.threshold(thresholds.failure, rate),
                };
                let by_failures = failing.false_ejections(hours, &mut rng);
                let observed = (by_failures + by_slowness) as f64;
                let upper = upper_bound(observed) / hours;
                let name = |text: &str| format!("{label}-base-{}-{text}", rate * 100.0);
                let bound = Bound::AtMost(target);
                measurements.extend([
                    Measurement::new(&name("threshold"), failing.threshold, "score"),
                    Measurement::new(&name("by-failures"), by_failures as f64, "ejections"),
                    Measurement::new(&name("rate"), observed / hours, "per-hour").bounded(bound),
                    Measurement::new(&name("rate-upper-95"), upper, "per-hour").bounded(bound),
                ]);
            }
        }
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

/// Measures detection time and false ejections over a range of thresholds.
pub struct TradeOff;

impl Scenario for TradeOff {
    fn name(&self) -> &'static str {
        "upstreams/trade-off"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut rng = fastrand::Rng::with_seed(seed);
        let steps = TestSteps::for_failures(CURVE_FAILURE_RATE);
        let mut measurements = Vec::new();
        for exponent in [8.0, 11.0, 13.0, 14.8, 17.0, 20.0, 24.0, 30.0] {
            let threshold = steps.threshold(exponent, CURVE_FAILURE_RATE);
            let healthy = HealthyInstance {
                steps,
                bad_rate: CURVE_FAILURE_RATE,
                threshold,
            };
            let rate = healthy.false_ejections(CURVE_HOURS, &mut rng) as f64 / CURVE_HOURS;
            let name = |text: &str| format!("exponent-{exponent}-{text}");
            measurements.push(Measurement::new(&name("threshold"), threshold, "score"));
            measurements.push(Measurement::new(&name("false"), rate, "per-hour"));
            for share in [1.0, 0.3, 0.1] {
                let mut samples: Vec<u32> = (0..DETECTION_RUNS)
                    .map(|_| samples_to_detect(steps, threshold, share, &mut rng))
                    .collect();
                samples.sort_unstable();
                let percent = share * 100.0;
                for (label, quantile) in [("median", 0.5), ("p95", 0.95)] {
                    let index = (samples.len() as f64 * quantile) as usize;
                    let seconds = f64::from(samples[index]) / REQUESTS_PER_S;
                    let text = format!("failing-{percent}-{label}");
                    measurements.push(Measurement::new(&name(&text), seconds, "s"));
                }
            }
        }
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

struct HealthyInstance {
    steps: TestSteps,
    bad_rate: f64,
    threshold: f64,
}

impl HealthyInstance {
    fn false_ejections(&self, hours: f64, rng: &mut fastrand::Rng) -> u64 {
        let mut left = hours * SECONDS_PER_HOUR * REQUESTS_PER_S;
        let log_good = (1.0 - self.bad_rate).ln();
        let mut sum = 0.0_f64;
        let mut ejections = 0;
        while left > 0.0 {
            let good = (rng.f64().max(f64::MIN_POSITIVE).ln() / log_good).floor();
            left -= good + 1.0;
            sum = (sum + good * self.steps.good).max(0.0) + self.steps.bad;
            if sum >= self.threshold {
                ejections += 1;
                sum = 0.0;
            }
        }
        ejections
    }
}

fn samples_to_detect(
    steps: TestSteps,
    threshold: f64,
    failing: f64,
    rng: &mut fastrand::Rng,
) -> u32 {
    let mut sum = 0.0_f64;
    let mut samples = 0;
    while sum < threshold {
        samples += 1;
        let is_failure = rng.f64() < failing;
        sum = (sum + if is_failure { steps.bad } else { steps.good }).max(0.0);
    }
    samples
}

/// Returns the mean of a Poisson distribution that yields at most `observed` with a
/// probability of 5%.
fn upper_bound(observed: f64) -> f64 {
    let mut mean = observed.max(ZERO_COUNT_MEAN);
    while poisson_at_most(observed, mean) > 0.05 {
        mean += 0.01;
    }
    mean
}

fn poisson_at_most(observed: f64, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut sum = term;
    let mut count = 1.0;
    while count <= observed {
        term *= mean / count;
        sum += term;
        count += 1.0;
    }
    sum
}
