//! Seeded scenarios with results, bounds and reports.
//!
//! Scenarios drive the decision logic in virtual time through small fakes and
//! are exactly repeatable. Each topic contributes its own list.

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
