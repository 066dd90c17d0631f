//! The settings of a host's data path.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use waxwingusher_attempts::FleetRetryBudgetSettings;
use waxwingusher_core::{FailureDomain, Region};
use waxwingusher_resources::ResourceLimits;

/// The settings of a host's data path.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The name of the host, for logs.
    pub host_name: String,
    /// The failure domain of the host.
    pub failure_domain: FailureDomain,
    /// The region of the host, if it is known.
    pub region: Option<Region>,
    /// The regions of failure domains.
    pub region_by_domain: BTreeMap<FailureDomain, Region>,
    /// How much of its peers' traffic the host can take on, relative to other hosts.
    pub capacity: u16,
    /// The address at which callers connect.
    pub caller_addr: SocketAddr,
    /// The address at which readiness and metrics are served.
    pub status_addr: SocketAddr,
    /// The address to which peers send their messages.
    pub peer_addr: SocketAddr,
    /// Peers that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// The retry budget of the fleet.
    pub retry_budget: FleetRetryBudgetSettings,
    /// The time from the stop command to the exit of the process.
    pub stop_grace: Duration,
    /// The limits of the machine for this process.
    pub resources: ResourceLimits,
    /// Whether the deployment asks for shares of a service that is short of capacity: by
    /// urgency, by workspace and by the worth of retries.
    pub shares_scarce_capacity: bool,
}
