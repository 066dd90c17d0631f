//! What an adapter plugs in: names of headers, orders to a running host, and the
//! source of what is published.

use std::net::SocketAddr;

use http::HeaderName;
use waxwingusher_attempts::FleetRetryBudgetSettings;

pub use crate::feed::{Change, Changes, FeedSource, Listing, Published, SourceError};

/// What the headers between callers, hosts and instances are called.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// The identity of one request, chosen by its caller and echoed by the
    /// instance.
    pub request_id: HeaderName,
    /// How many milliseconds the sender will wait.
    pub time_left_ms: HeaderName,
    /// The caller's key; it never reaches an instance.
    pub key: HeaderName,
    /// The workspace for which an instance runs a request.
    pub workspace: HeaderName,
    /// The identity of the instance that a request is meant for.
    pub expected_instance: HeaderName,
    /// Set by an instance that did not run the request.
    pub not_run: HeaderName,
    /// Set by an instance on each answer of its own making.
    pub proof: HeaderName,
    /// The path at which a host says whether it takes callers.
    pub readiness_path: String,
    /// The path at which a host serves its metrics.
    pub metrics_path: String,
}

/// What a running host is told to do.
#[derive(Debug)]
pub enum Order {
    /// Stop without cutting a request.
    Stop,
    /// Use settings that have changed.
    Reload(ChangedSettings),
}

/// The settings that may change while a host runs.
#[derive(Debug, Clone)]
pub struct ChangedSettings {
    /// Peers to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The bound on repeated sends over the fleet.
    pub retry_budget: FleetRetryBudgetSettings,
}
