//! Runs scenarios in parallel and collects the values that are out of bounds.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::scenario::{Scenario, ScenarioResult};
use crate::{attempts, capacity, config, limits, membership, upstreams};

/// The number of scenarios that run in parallel. Each uses one core.
const THREADS: usize = 4;

/// The results of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BenchResults {
    /// The results, ordered by scenario name.
    pub results: Vec<ScenarioResult>,
}

/// A value outside its bound.
#[derive(Debug, Clone, PartialEq)]
pub struct Shortfall {
    /// The names of the scenario and the measurement.
    pub name: String,
    /// The measured value.
    pub value: f64,
    /// The bound.
    pub bound: crate::Bound,
}

impl BenchResults {
    /// Returns the values outside their bounds.
    #[must_use]
    pub fn shortfalls(&self) -> Vec<Shortfall> {
        let mut shortfalls = Vec::new();
        for result in &self.results {
            for measurement in &result.measurements {
                let Some(bound) = measurement.bound else {
                    continue;
                };
                if measurement.is_within_bound() {
                    continue;
                }
                shortfalls.push(Shortfall {
                    name: format!("{} {}", result.scenario, measurement.name),
                    value: measurement.value,
                    bound,
                });
            }
        }
        shortfalls
    }
}

/// Returns the scenarios of all topics, ordered by name.
#[must_use]
pub fn all_scenarios() -> Vec<Box<dyn Scenario>> {
    let mut all = attempts::scenarios();
    all.extend(capacity::scenarios());
    all.extend(config::scenarios());
    all.extend(limits::scenarios());
    all.extend(membership::scenarios());
    all.extend(upstreams::scenarios());
    all.sort_by_key(|scenario| scenario.name());
    all
}

/// Runs scenarios and calls `on_end` when each has ended.
pub fn run(
    scenarios: &[Box<dyn Scenario>],
    seed: u64,
    on_end: impl Fn(&ScenarioResult, Duration) + Sync,
) -> BenchResults {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(scenario) = scenarios.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let started = Instant::now();
                    let result = scenario.run(seed);
                    on_end(&result, started.elapsed());
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push(result);
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by(|a, b| a.scenario.cmp(&b.scenario));
    BenchResults { results }
}
