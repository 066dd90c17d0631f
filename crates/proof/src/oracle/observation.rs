//! What the oracle is shown.

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_config::Snapshot;
use waxwingusher_core::{HostId, InstanceId, WorkspaceName};

/// What is seen of one process at one instant.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The host.
    pub host: HostId,
    /// Identifies the process.
    pub incarnation: u64,
    /// Whether the process runs at this instant.
    pub is_running: bool,
    /// The configuration in force.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Instances that the process takes for ejected.
    pub ejected: Vec<InstanceId>,
    /// Instances that it takes for cold or closed.
    pub unavailable: Vec<InstanceId>,
    /// The tokens in thousandths, and the rates in thousandths a second, by
    /// workspace.
    pub rights: Vec<(WorkspaceName, u64, u64)>,
    /// Processes that it knows and reaches in both directions, by index.
    pub reachable: Vec<usize>,
}

impl Observation {
    /// Returns the version in force; zero if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |one| one.version)
    }
}

/// How links and processes are.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Since when no link has been cut or mended and no process was stopped,
    /// started, paused or woken.
    pub stable_since: Duration,
    /// Since when no link has been cut and no process was stopped or started.
    pub linked_since: Duration,
    /// Whether messages are lost.
    pub is_lossy: bool,
}
