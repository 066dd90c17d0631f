//! Seeded scenarios with results, bounds and reports.
//!
//! Scenarios run the decision logic in virtual time against simulated links and
//! services, so that their results are exactly repeatable.

pub mod attempts;
pub mod baseline;
pub mod capacity;
pub mod config;
pub mod limits;
pub mod membership;
pub mod report;
pub mod runner;
pub mod scenario;
pub mod upstreams;

pub use scenario::{Bound, Measurement, Scenario, ScenarioResult};
