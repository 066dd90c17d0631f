//! The interface for adapters: names of headers and paths, commands to a running
//! host, and the source of configuration and instances.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderName;
use waxwingusher_attempts::FleetRetryBudgetSettings;
use waxwingusher_resources::ResourceLimits;

pub use crate::feed_source::{
    Change, Changes, EvacuationChange, FeedSource, Listing, PublishedConfig, SourceError,
};

/// The names of headers between callers, hosts and instances, and of paths.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// The id of a request, chosen by its caller and echoed by the instance.
    pub request_id: HeaderName,
    /// How many milliseconds the sender still waits.
    pub time_left_ms: HeaderName,
    /// The caller's key, which is never sent to an instance.
    pub key: HeaderName,
    /// The workspace for which an instance runs a request.
    pub workspace: HeaderName,
    /// The id of the instance to which a request is addressed.
    pub expected_instance: HeaderName,
    /// Set by an instance that did not run the request.
    pub not_run: HeaderName,
    /// Set by an instance on each answer that it generates itself.
    pub proof: HeaderName,
    /// `1` in the answers of an instance that leaves.
    pub leaving: HeaderName,
    /// The requests a second that the instance takes from all hosts together, in the
    /// answers of an instance that limits them.
    pub rate_limit: HeaderName,
    /// The path at which a host reports whether it is ready for callers.
    pub readiness_path: String,
    /// The path at which a host serves its metrics.
    pub metrics_path: String,
}

/// A command to a running host.
#[derive(Debug)]
pub enum Command {
    /// Shut down without breaking off a request.
    Stop,
    /// Apply changed settings.
    Reload(ReloadableSettings),
}

/// The settings that may change while a host runs.
#[derive(Debug, Clone)]
pub struct ReloadableSettings {
    /// Peers that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// The retry budget of the fleet.
    pub retry_budget: FleetRetryBudgetSettings,
    /// The time from the stop command to the exit of the process.
    pub stop_grace: Duration,
    /// The limits of the machine for this process.
    pub resources: ResourceLimits,
}
