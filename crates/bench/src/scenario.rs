//! Scenarios, their measurements and the bounds on them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A bound that is derived from a stated target.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bound {
    /// The largest value that is allowed.
    AtMost(f64),
    /// The smallest value that is allowed.
    AtLeast(f64),
}

impl Bound {
    /// Reports whether a value is within the bound.
    #[must_use]
    pub fn allows(self, value: f64) -> bool {
        match self {
            Self::AtMost(limit) => value <= limit,
            Self::AtLeast(limit) => value >= limit,
        }
    }
}

/// A measured value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Measurement {
    /// The name of the measured quantity, in kebab case.
    pub name: Arc<str>,
    /// The value.
    pub value: f64,
    /// The unit, such as `ms` or `share`.
    pub unit: Arc<str>,
    /// The bound, unless the value is only for comparison.
    pub bound: Option<Bound>,
    /// Whether the value was measured by a real clock or of the process itself,
    /// so that it is not repeatable.
    #[serde(default)]
    pub is_timed: bool,
}

impl Measurement {
    /// Creates a measurement without a bound, for comparison.
    #[must_use]
    pub fn new(name: &str, value: f64, unit: &str) -> Self {
        Self {
            name: Arc::from(name),
            value,
            unit: Arc::from(unit),
            bound: None,
            is_timed: false,
        }
    }

    /// Adds a bound.
    #[must_use]
    pub fn bounded(mut self, bound: Bound) -> Self {
        self.bound = Some(bound);
        self
    }

    /// Marks the value as not exactly repeatable.
    #[must_use]
    pub fn timed(mut self) -> Self {
        self.is_timed = true;
        self
    }

    /// Reports whether the value is within its bound, if it has one.
    #[must_use]
    pub fn is_within_bound(&self) -> bool {
        self.bound.is_none_or(|bound| bound.allows(self.value))
    }
}

/// The measurements of one run of a scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ScenarioResult {
    /// The scenario's name.
    pub scenario: Arc<str>,
    /// The seed of the run.
    pub seed: u64,
    /// All measurements.
    pub measurements: Vec<Measurement>,
}

/// A scenario whose run is determined by a seed.
pub trait Scenario: Send + Sync {
    /// Returns the name in the form `topic/case`.
    fn name(&self) -> &'static str;

    /// Runs the scenario in virtual time. The same seed gives the same result.
    fn run(&self, seed: u64) -> ScenarioResult;
}
