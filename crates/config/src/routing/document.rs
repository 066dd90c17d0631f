//! The published routing document, as it is deserialized.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use waxwingusher_core::{KeyDigest, Region, RouteName, ServiceName, WorkspaceName};

/// The complete configuration of one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingDocument {
    /// The version; a later configuration has a greater one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// The services that routes may name.
    pub services: Vec<PublishedService>,
    /// All workspaces; without any, no request needs a key.
    pub workspaces: Vec<PublishedWorkspace>,
    /// Size limits and timeouts for callers.
    pub limits: CallerLimits,
    /// Entries that could not be used as published; not part of the configuration.
    #[serde(skip)]
    pub findings: Vec<DocumentFinding>,
}

/// An entry of a published document that could not be used as it was published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentFinding {
    /// What kind of entry it is.
    pub entry: EntryKind,
    /// The name of the entry, or its position if it has no readable name.
    pub name: String,
    /// What is wrong with it.
    pub cause: String,
    /// What became of it.
    pub effect: FindingEffect,
}

/// The kinds of entries of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EntryKind {
    /// A route.
    Route,
    /// A service.
    Service,
    /// A workspace.
    Workspace,
    /// The limits for callers.
    Limits,
}

impl EntryKind {
    /// Returns the name of the kind in log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Service => "service",
            Self::Workspace => "workspace",
            Self::Limits => "limits",
        }
    }
}

/// What became of an entry that could not be used as it was published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FindingEffect {
    /// The entry was left out.
    LeftOut,
    /// The entry is in force with a safe value in place of the one that was not
    /// understood.
    Restricted,
    /// The entry is in force without a field that is not known.
    Ignored,
}

impl FindingEffect {
    /// Returns the name of the effect in log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeftOut => "left-out",
            Self::Restricted => "restricted",
            Self::Ignored => "ignored",
        }
    }
}

/// A route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name, unique in a document.
    pub name: RouteName,
    /// The host name of the requests, without a port, in lower case.
    pub host: String,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// The longest time to the answer; unlimited if absent.
    pub timeout: Option<Duration>,
    /// The target response time; an answer within it has its full value.
    pub latency_target: Duration,
    /// The priority of the requests; 0 is the highest.
    pub priority: u32,
    /// The services that the requests are split over, by weight.
    pub split: Vec<ServiceShare>,
    /// The most instances that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
    /// The regions in which requests may be processed; any if empty.
    pub home_regions: Vec<Region>,
}

/// The share of a route's requests that one service receives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// The weight relative to the route's other shares.
    pub weight: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedService {
    /// The name, unique in a document.
    pub name: ServiceName,
    /// The path of the health check.
    pub health_path: String,
    /// The most connections to one instance from all hosts together.
    pub max_connections: u32,
    /// The limit for instances that are cold; none if they take any rate.
    pub cold_start: Option<ColdStart>,
}

/// What the instances of a service take while they are cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// How long an instance is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold instance takes from all hosts together.
    pub rate_per_s: f64,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedWorkspace {
    /// The name, unique in a document.
    pub name: WorkspaceName,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// A priority that overrides the route's.
    pub priority: Option<u32>,
    /// Requests per second over the whole fleet; unlimited if 0.
    pub rate_per_s: f64,
    /// Requests that may exceed the rate at once.
    pub burst: f64,
    /// The regions in which its requests may be processed; any if empty.
    pub home_regions: Vec<Region>,
}

/// Size limits and timeouts for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub max_header_bytes: usize,
    /// The largest body of a request.
    pub max_body_bytes: usize,
    /// The longest time from the first byte of a head to its end.
    pub header_timeout: Duration,
    /// How long a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 16 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
