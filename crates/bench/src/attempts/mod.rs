//! Scenarios of attempt records under faults: duplicate runs, false refusals,
//! unknown outcomes and cost.

pub(crate) mod cost;
pub mod fault;
mod fault_events;
pub mod fleet;
pub mod member;
pub mod oracle;
mod process_events;
mod resilience;
pub mod scenarios;
pub mod schedule;
pub mod traffic;
mod unknown_share;

pub use fault::Fault;
pub use fleet::{Fleet, FleetSettings};
pub use oracle::{Oracle, Tally, Violation};
pub use scenarios::scenarios;
pub use schedule::run_schedule;
