//! Runs a small fleet in one process: hosts, stand-ins for the platform and the
//! upstreams, callers and faults, with checks of the users' promises.

pub mod balancer;
pub mod caller;
pub mod connections;
pub mod demo;
pub mod fleet;
pub mod load;
pub mod plan;
pub mod promises;
pub mod rolling;
pub mod steady;
mod team_file;

pub use caller::{Caller, CallerAnswer, CallerError, Operation};
pub use fleet::{EmulatorError, Fleet};
pub use plan::FleetPlan;
