//! The steps and thresholds of the sequential test (CUSUM).

const MIN_FAILURE_RATE: f64 = 0.02;
const MIN_SLOW_RATE: f64 = 0.05;
const FAULTY_FAILURE_RATE: f64 = 0.25;
const FAULTY_SLOW_RATE: f64 = 0.5;
const POOL_RATE_FACTOR: f64 = 2.0;
const MAX_INFORMATIVE_RATE: f64 = 0.45;
const MIN_THRESHOLD_RATE: f64 = 0.000_5;
/// An ejection needs more failures than this, whatever the rate.
const MIN_FAILURES_TO_EJECT: f64 = 2.2;
const MAX_ADJUSTMENT: f64 = 5.0;
const MIN_ADJUSTMENT: f64 = 0.5;
const BISECTION_STEPS: usize = 30;

/// The steps of one cumulative sum against a base rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TestSteps {
    /// The step of a good outcome, which is negative.
    pub good: f64,
    /// The step of a bad outcome.
    pub bad: f64,
}

impl TestSteps {
    /// Returns the steps for failures in a pool with this failure rate.
    #[must_use]
    pub fn for_failures(pool_rate: f64) -> Self {
        Self::new(Self::failure_base(pool_rate), FAULTY_FAILURE_RATE)
    }

    /// Returns the steps for slow successes in a pool with this rate of slow ones.
    #[must_use]
    pub fn for_slow(pool_rate: f64) -> Self {
        let base = (pool_rate * POOL_RATE_FACTOR).max(MIN_SLOW_RATE);
        Self::new(base, FAULTY_SLOW_RATE)
    }

    /// Returns the threshold that a healthy instance exceeds with a probability of
    /// about `exp(-exponent)` at each outcome, if the share `bad_rate` of its
    /// outcomes is bad.
    #[must_use]
    pub fn threshold(self, exponent: f64, bad_rate: f64) -> f64 {
        let bad_rate = bad_rate.max(MIN_THRESHOLD_RATE);
        let mut low = 0.0;
        let mut high = MAX_ADJUSTMENT;
        for _ in 0..BISECTION_STEPS {
            let middle = f64::midpoint(low, high);
            let growth = bad_rate * (middle * self.bad).exp()
                + (1.0 - bad_rate) * (middle * self.good).exp();
            if growth > 1.0 {
                high = middle;
            } else {
                low = middle;
            }
        }
        (exponent / low.max(MIN_ADJUSTMENT)).max(self.bad * MIN_FAILURES_TO_EJECT)
    }

    /// Returns the failure rate that is assumed for healthy instances of a pool.
    #[must_use]
    pub fn failure_base(pool_rate: f64) -> f64 {
        (pool_rate * POOL_RATE_FACTOR).max(MIN_FAILURE_RATE)
    }

    /// Returns the step of a failure whose origin fails at the rate `base`.
    #[must_use]
    pub fn failure_at(base: f64) -> f64 {
        bad_step(base, FAULTY_FAILURE_RATE)
    }

    fn new(base: f64, faulty: f64) -> Self {
        Self {
            good: good_step(base, faulty),
            bad: bad_step(base, faulty),
        }
    }
}

fn faulty_rate(base: f64, faulty: f64) -> f64 {
    if base * POOL_RATE_FACTOR < faulty {
        faulty
    } else {
        0.9
    }
}

fn bad_step(base: f64, faulty: f64) -> f64 {
    if base > MAX_INFORMATIVE_RATE {
        return 0.0;
    }
    (faulty_rate(base, faulty) / base).ln()
}

fn good_step(base: f64, faulty: f64) -> f64 {
    if base > MAX_INFORMATIVE_RATE {
        return -1.0;
    }
    ((1.0 - faulty_rate(base, faulty)) / (1.0 - base)).ln()
}
