//! The settings of a host's data path.

use std::net::SocketAddr;
use std::time::Duration;

use waxwingusher_attempts::FleetRetryBudgetSettings;
use waxwingusher_core::FailureDomain;

/// The settings of a host's data path.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The name of the host, for logs.
    pub host_name: String,
    /// Where the host runs.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where readiness and metrics are served.
    pub side_addr: SocketAddr,
    /// Where peers send their messages.
    pub peer_addr: SocketAddr,
    /// Peers to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The bound on repeated sends over the fleet.
    pub retry_budget: FleetRetryBudgetSettings,
    /// The time from the order to stop to the end of the process.
    pub stop_grace: Duration,
}
