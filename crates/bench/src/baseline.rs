//! Committed measurements that later runs are compared with.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::{fs, io};

use serde::{Deserialize, Serialize};

use crate::runner::BenchResults;
use crate::scenario::{Bound, Measurement};

/// How much worse than the baseline a value may be, as a share of the baseline
/// value. The larger of this and [`MARGIN_OF_BOUND`] applies.
pub const MARGIN_OF_VALUE: f64 = 0.1;
/// How much worse than the baseline a value may be, as a share of the bound.
pub const MARGIN_OF_BOUND: f64 = 0.02;

/// The largest relative error of a value that is written as text and read back.
const TEXT_ERROR: f64 = 1e-12;

/// An error while a baseline was read or written.
#[derive(Debug, thiserror::Error)]
pub enum BaselineError {
    /// The file cannot be read or written.
    #[error("cannot access the baseline {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not a valid baseline.
    #[error("invalid baseline {}: {source}", path.display())]
    Format {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
}

/// The values of one run of a scenario, by measurement.
type Values = BTreeMap<Arc<str>, f64>;

/// Baseline values by scenario and seed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Baseline {
    scenarios: BTreeMap<Arc<str>, BTreeMap<u64, Values>>,
}

/// A value that is worse than the baseline by more than the margin.
#[derive(Debug, Clone, PartialEq)]
pub struct Regression {
    /// The names of the scenario and the measurement.
    pub name: String,
    /// The seed of the run.
    pub seed: u64,
    /// The value in the baseline.
    pub before: f64,
    /// The value in this run.
    pub now: f64,
}

/// The differences between a run and the baseline.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Comparison {
    /// Values with a bound that are worse by more than the margin.
    pub regressions: Vec<Regression>,
    /// The names of values that are in the baseline but not in the run.
    pub missing: Vec<String>,
    /// The number of values that are equal.
    pub equal: usize,
    /// The number of values that differ without being regressions.
    pub changed: usize,
    /// The number of values that are not in the baseline.
    pub new: usize,
}

impl Baseline {
    /// Reads a baseline from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is not a valid baseline.
    pub fn read(path: &Path) -> Result<Self, BaselineError> {
        let bytes = fs::read(path).map_err(|source| file_error(path, source))?;
        serde_json::from_slice(&bytes).map_err(|source| BaselineError::Format {
            path: path.to_owned(),
            source,
        })
    }

    /// Writes the baseline to a file.
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

    /// Replaces the values of the same scenarios and seeds by those of a run.
    /// Timed values are not repeatable and are left out.
    pub fn update(&mut self, results: &BenchResults) {
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
    /// Reports whether there is no regression and no missing value.
    #[must_use]
    pub fn passes(&self) -> bool {
        self.regressions.is_empty() && self.missing.is_empty()
    }
}

/// Reports whether a value is worse than the baseline by more than the margin.
/// Without a bound it is unknown which direction is worse, so it never is.
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

/// Reports whether a value is equal up to the error of the text format.
fn is_same(value: f64, before: f64) -> bool {
    (value - before).abs() <= before.abs() * TEXT_ERROR
}

fn file_error(path: &Path, source: io::Error) -> BaselineError {
    BaselineError::File {
        path: path.to_owned(),
        source,
    }
}
