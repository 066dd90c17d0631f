//! Committed figures that later runs are compared with.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::{fs, io};

use serde::{Deserialize, Serialize};

use crate::runner::BenchResults;
use crate::scenario::{Bound, Measurement};

/// How much worse than the baseline a value may be, as a part of the baseline.
pub const MARGIN_OF_VALUE: f64 = 0.1;
/// The same as a part of the bound. The larger of both counts.
pub const MARGIN_OF_BOUND: f64 = 0.02;

/// The largest relative error of a value that is written as text and read.
const TEXT_ERROR: f64 = 1e-12;

/// A baseline cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum BaselineError {
    /// The file cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not a baseline.
    #[error("{}: {source}", path.display())]
    Format {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
}

/// The values of one run of a scenario, by measurement.
type Values = BTreeMap<Arc<str>, f64>;

/// Values by scenario and seed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Baseline {
    scenarios: BTreeMap<Arc<str>, BTreeMap<u64, Values>>,
}

/// A value that is worse than the baseline by more than the margin.
#[derive(Debug, Clone, PartialEq)]
pub struct Regression {
    /// The scenario and the measurement.
    pub name: String,
    /// The seed of the run.
    pub seed: u64,
    /// The value of the baseline.
    pub before: f64,
    /// The value of this run.
    pub now: f64,
}

/// How a run differs from the baseline.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Comparison {
    /// Values with a bound that are worse by more than the margin.
    pub regressions: Vec<Regression>,
    /// Values that the baseline has and the run lacks.
    pub missing: Vec<String>,
    /// How many values are the same.
    pub equal: usize,
    /// How many values differ and are no regressions.
    pub changed: usize,
    /// How many values the baseline lacks.
    pub new: usize,
}

impl Baseline {
    /// Reads a baseline.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such file or it is not a baseline.
    pub fn read(path: &Path) -> Result<Self, BaselineError> {
        let bytes = fs::read(path).map_err(|source| file_error(path, source))?;
        serde_json::from_slice(&bytes).map_err(|source| BaselineError::Format {
            path: path.to_owned(),
            source,
        })
    }

    /// Writes the baseline.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), BaselineError> {
        let format_error = |source| BaselineError::Format {
            path: path.to_owned(),
            source,
        };
        let mut bytes = serde_json::to_vec_pretty(self).map_err(format_error)?;
        bytes.push(b'\n');
        fs::write(path, bytes).map_err(|source| file_error(path, source))
    }

    /// Takes the values of a run in place of those of the same scenarios and
    /// seeds. Values measured by a real clock do not repeat and are left out.
    pub fn take(&mut self, results: &BenchResults) {
        for result in &results.results {
            let mut values = Values::new();
            for measurement in &result.measurements {
                if !measurement.is_timed {
                    values.insert(measurement.name.clone(), measurement.value);
                }
            }
            let seeds = self.scenarios.entry(result.scenario.clone()).or_default();
            seeds.insert(result.seed, values);
        }
    }

    /// Compares a run with the baseline.
    #[must_use]
    pub fn compare(&self, results: &BenchResults) -> Comparison {
        let mut comparison = Comparison::default();
        for result in &results.results {
            let seeds = self.scenarios.get(&result.scenario);
            let values = seeds.and_then(|seeds| seeds.get(&result.seed));
            let mut missing = values.cloned().unwrap_or_default();
            for measurement in &result.measurements {
                if measurement.is_timed {
                    continue;
                }
                let Some(before) = missing.remove(&measurement.name) else {
                    comparison.new += 1;
                    continue;
                };
                if is_worse(measurement, before) {
                    comparison.regressions.push(Regression {
                        name: format!("{} {}", result.scenario, measurement.name),
                        seed: result.seed,
                        before,
                        now: measurement.value,
                    });
                } else if is_same(measurement.value, before) {
                    comparison.equal += 1;
                } else {
                    comparison.changed += 1;
                }
            }
            for name in missing.keys() {
                let name = format!("{} {name}", result.scenario);
                comparison.missing.push(name);
            }
        }
        comparison
    }
}

impl Comparison {
    /// Reports whether nothing is worse and nothing is gone.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.regressions.is_empty() && self.missing.is_empty()
    }
}

/// Reports whether a value with a bound is worse by more than the margin. A
/// value without one is there for comparison, and has no better or worse.
fn is_worse(measurement: &Measurement, before: f64) -> bool {
    let Some(bound) = measurement.bound else {
        return false;
    };
    let (loss, limit) = match bound {
        Bound::AtMost(limit) => (measurement.value - before, limit),
        Bound::AtLeast(limit) => (before - measurement.value, limit),
    };
    let margin = (before.abs() * MARGIN_OF_VALUE).max(limit.abs() * MARGIN_OF_BOUND);
    loss > margin || loss.is_nan()
}

/// Reports whether a value is equal but for its way through a text file.
fn is_same(value: f64, before: f64) -> bool {
    (value - before).abs() <= before.abs() * TEXT_ERROR
}

fn file_error(path: &Path, source: io::Error) -> BaselineError {
    BaselineError::File {
        path: path.to_owned(),
        source,
    }
}
