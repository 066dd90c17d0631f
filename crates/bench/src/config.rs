//! Scenarios of the configuration: sizes of packs, propagation and calls to the
//! configuration service.

pub mod fleet;
pub mod sample;
pub mod service;

mod packs;
pub(crate) mod propagation;

use crate::Scenario;

/// Returns all scenarios of the configuration.
#[must_use]
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    vec![
        Box::new(packs::PackSizes),
        Box::new(propagation::Propagation::CURRENT),
        Box::new(propagation::Propagation::DESIGN),
        Box::new(propagation::LossyPropagation),
    ]
}
