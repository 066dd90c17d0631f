//! Attempt records under faults: doubled runs, false refusals, unknown answers
//! and cost.

pub mod fault;
mod fault_events;
pub mod fleet;
pub mod member;
pub mod oracle;
mod process_events;
pub mod schedule;
pub mod traffic;

pub use fault::Fault;
pub use fleet::{Fleet, FleetSettings};
pub use oracle::{Oracle, Tally, Violation};
pub use schedule::run_schedule;
