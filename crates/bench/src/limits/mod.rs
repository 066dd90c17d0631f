//! Scenarios of fleet-wide rate limits: refusals within the rate, the worst-served
//! workspace, messages and cost.

pub mod alternatives;
pub mod compare;
pub mod cost;
pub mod design_size;
pub mod fair_queue;
pub mod faults;
pub mod fleet;
pub mod load;

use crate::Scenario;

/// Returns the scenarios of rate limits.
#[must_use]
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    let mut all: Vec<Box<dyn Scenario>> = Vec::new();
    all.extend(compare::scenarios());
    all.extend(faults::scenarios());
    all.extend(fair_queue::scenarios());
    all.push(Box::new(design_size::DesignSize::SLICE));
    all.push(Box::new(cost::Cost));
    all
}
