//! The observations that the oracle checks.

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_config::Snapshot;
use waxwingusher_core::{HostId, InstanceId, WorkspaceName};

/// The state of one process at one instant.
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
    /// Instances that the process regards as ejected.
    pub ejected: Vec<InstanceId>,
    /// Instances that the process regards as cold or closed.
    pub unavailable: Vec<InstanceId>,
    /// The tokens in thousandths, and the rate in thousandths per second, that
    /// the process holds of each workspace's limit.
    pub rights: Vec<(WorkspaceName, u64, u64)>,
    /// Processes that it knows and reaches in both directions, by index among
    /// the observations.
    pub reachable: Vec<usize>,
}

impl Observation {
    /// Returns the configuration version in force, or 0.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |one| one.version)
    }
}

/// The stability of links and processes.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Since when no link has been cut or restored and no process was stopped,
    /// started, paused or resumed.
    pub stable_since: Duration,
    /// Since when no link has been cut and no process was stopped or started.
    pub linked_since: Duration,
    /// Whether messages are lost.
    pub is_lossy: bool,
}
