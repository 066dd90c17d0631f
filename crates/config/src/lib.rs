//! The configuration of the fleet: parsing and validation of the teams' files,
//! the published form, and the model that hosts use.

pub mod diff;
pub mod directory;
pub mod key;
pub mod model;
pub mod problem;
pub mod publication;
pub mod resolve;
pub mod routing;

mod location;
mod rows;
mod suggestion;
mod table;
mod team;
mod validate;

pub use diff::{Change, ChangeKind, Diff, FieldChange};
pub use directory::{DirectoryError, WriteSummary, read_publication, write_publication};
pub use model::{
    Access, Detection, Instance, InstanceState, RateLimit, Route, Service, Snapshot, Workspace,
};
pub use problem::{CheckErrors, Finding, Location, Problem, Severity};
pub use publication::{
    BlobDigest, Manifest, Pack, Publication, PublicationError, assemble, publish,
};
pub use resolve::{CheckReport, TeamText, check, resolve};
pub use suggestion::closest;
