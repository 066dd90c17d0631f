//! The validated configuration that a host uses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use waxwingusher_core::{
    FailureDomain, InstanceId, KeyDigest, RouteName, ServiceName, WorkspaceName,
};

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Only callers that send a key of a workspace.
    Keyed,
    /// All callers; the route has its own rate limit.
    Open,
}

/// The trade-off between fast detection of failing instances and false
/// ejections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Detection {
    /// Few false ejections, at the cost of slower detection.
    #[default]
    Careful,
    /// Fast detection, at the cost of more false ejections.
    Fast,
}

/// The state of an instance as set by its operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance accepts requests.
    #[default]
    Live,
    /// The instance accepts no new requests.
    Leaving,
}

/// A rate and a burst that apply to all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RateLimit {
    /// The rate in thousandths of a request per second.
    pub rate_millis_per_s: u64,
    /// Requests that may arrive at once.
    pub burst: u32,
}

/// A route from a path prefix to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: RouteName,
    /// The service that requests are sent to.
    pub service: ServiceName,
    /// The path prefix, which matches complete segments.
    pub path_prefix: Arc<str>,
    /// The allowed methods in upper case; empty for all.
    pub methods: Vec<Arc<str>>,
    /// The methods whose requests may be retried.
    pub idempotent_methods: Vec<Arc<str>>,
    /// Who may use the route.
    pub access: Access,
    /// The rate limit of an open route.
    pub open_limit: Option<RateLimit>,
    /// Workspaces that may use a keyed route; empty for all.
    pub workspaces: Vec<WorkspaceName>,
    /// The longest time that a request may take.
    pub deadline: Duration,
}

impl Route {
    /// Reports whether requests with this method may be retried.
    #[must_use]
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent_methods.iter().any(|m| &**m == method)
    }

    /// Reports whether the route accepts a request with this method and path.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let is_method_allowed =
            self.methods.is_empty() || self.methods.iter().any(|m| &**m == method);
        is_method_allowed && prefix_matches(&self.path_prefix, path)
    }
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    let prefix = prefix.strip_suffix('/').unwrap_or(prefix);
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

/// A workspace with its keys and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The workspace's name.
    pub name: WorkspaceName,
    /// Digests of the valid keys.
    #[serde(with = "crate::rows::digest_strings")]
    pub key_digests: Vec<KeyDigest>,
    /// The rate and burst over all hosts together.
    pub limit: RateLimit,
    /// The weight of the workspace in fair queueing on a loaded host,
    /// relative to the other workspaces.
    pub weight: u32,
}

/// One instance of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub id: InstanceId,
    /// The address that the instance listens on.
    pub addr: SocketAddr,
    /// Requests that the instance processes at once.
    pub slots: u32,
    /// The instance's failure domain.
    pub failure_domain: FailureDomain,
    /// The state as set by the operators.
    pub state: InstanceState,
}

/// A service, whose instances form one upstream pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The team that owns the service.
    pub owner: Arc<str>,
    /// The instances, sorted by name.
    pub instances: Vec<Instance>,
    /// The percentage of all slots that ejections must leave in use.
    pub floor_percent: u8,
    /// The trade-off between detection time and false ejections.
    pub detection: Detection,
    /// The path of the health endpoint.
    pub health_path: Arc<str>,
}

/// One accepted configuration. It is immutable once built.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version, which only increases.
    pub version: u64,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Arc<Route>>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Arc<Workspace>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<Service>>,
}
