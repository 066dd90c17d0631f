//! A scenario, its measurements and their bounds.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A bound that follows from a stated target.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bound {
    /// The value may not be greater.
    AtMost(f64),
    /// The value may not be smaller.
    AtLeast(f64),
}

impl Bound {
    /// Reports whether a value keeps the bound.
    #[must_use]
    pub fn holds(self, value: f64) -> bool {
        match self {
            Self::AtMost(limit) => value <= limit,
            Self::AtLeast(limit) => value >= limit,
        }
    }
}

/// One measured value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Measurement {
    /// What was measured, in kebab case.
    pub name: Arc<str>,
    /// The value.
    pub value: f64,
    /// The unit, such as `ms` or `share`.
    pub unit: Arc<str>,
    /// The bound, unless the value is there for comparison only.
    pub bound: Option<Bound>,
    /// Whether a real clock or the process itself was measured, so that the
    /// value does not repeat.
    #[serde(default)]
    pub is_timed: bool,
}

impl Measurement {
    /// Creates a measurement that is there for comparison.
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

    /// Marks a value that does not repeat exactly.
    #[must_use]
    pub fn timed(mut self) -> Self {
        self.is_timed = true;
        self
    }

    /// Reports whether the value keeps its bound, if it has one.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.bound.is_none_or(|bound| bound.holds(self.value))
    }
}

/// What one run of a scenario measured.
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

/// A scenario that can be run from a seed.
pub trait Scenario: Send + Sync {
    /// Returns the name, in the form `topic/case`.
    fn name(&self) -> &'static str;

    /// Runs the scenario in virtual time. The same seed gives the same result.
    fn run(&self, seed: u64) -> ScenarioResult;
}
