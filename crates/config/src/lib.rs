//! The configuration of the fleet: the teams' files, the checks that they must
//! pass, and the model that every host works from.

pub mod file;
pub mod model;

pub use file::{FileError, TeamFile};
pub use model::{
    Access, Detection, Instance, InstanceState, RateLimit, Route, Service, Snapshot, Workspace,
};
