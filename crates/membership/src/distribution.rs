//! Distribution of the configuration and of the host list.
//!
//! A few hosts of each failure domain watch the configuration service. The
//! others learn of new versions from peers and fetch only the packs that they
//! lack. A host adopts the highest version that it can fetch completely, and
//! never an older one than it has.

mod action;
mod agent;
mod document;
mod evidence;
mod follow;
mod followers;
mod freshness;
mod peers;
mod replica;
mod roles;
mod settings;
mod survey;
mod trust;
mod version_fetch;
mod watch;

pub use action::{AgentAction, DocumentKind, Refusal, ServiceRead, Watch};
pub use agent::{AgentCounters, ConfigAgent};
pub use evidence::ListEvidence;
pub use freshness::{ListFreshness, PeerAnswer};
pub use settings::DistributionSettings;
pub use trust::ConfigTrust;
