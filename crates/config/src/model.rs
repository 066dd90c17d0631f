//! The checked configuration that a host works from.

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
    /// Only callers that show a key of a workspace.
    Keyed,
    /// Everybody; the route has a limit of its own.
    Open,
}

/// What a service prefers when an instance looks sick.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Detection {
    /// Few false ejections at the price of slower detection.
    #[default]
    Careful,
    /// Quick detection at the price of more false ejections.
    Fast,
}

/// What the operators say of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance takes work.
    #[default]
    Live,
    /// The instance takes no new work.
    Leaving,
}

/// A rate and a burst that hold over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RateLimit {
    /// Thousandths of a request that are granted each second.
    pub rate_millis_per_s: u64,
    /// Requests that may arrive at once.
    pub burst: u32,
}

/// A route from a path prefix to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: RouteName,
    /// The service that answers.
    pub service: ServiceName,
    /// The path prefix, which matches whole segments.
    pub path_prefix: Arc<str>,
    /// Upper-case methods; empty for all.
    pub methods: Vec<Arc<str>>,
    /// Methods whose requests may be repeated.
    pub idempotent_methods: Vec<Arc<str>>,
    /// Who may use the route.
    pub access: Access,
    /// The limit of an open route.
    pub open_limit: Option<RateLimit>,
    /// Workspaces that may use a keyed route; empty for all.
    pub workspaces: Vec<WorkspaceName>,
    /// How long a request may take.
    pub deadline: Duration,
}

impl Route {
    /// Reports whether requests with this method may be repeated.
    #[must_use]
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent_methods.iter().any(|m| &**m == method)
    }

    /// Reports whether the route takes a request.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.methods.is_empty() || self.methods.iter().any(|m| &**m == method);
        method_fits && prefix_matches(&self.path_prefix, path)
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
    /// Digests of the keys that are valid now.
    #[serde(with = "crate::rows::digest_texts")]
    pub key_digests: Vec<KeyDigest>,
    /// The rate and burst over all hosts together.
    pub limit: RateLimit,
    /// The share of a loaded host relative to other workspaces.
    pub weight: u32,
}

/// One instance of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub id: InstanceId,
    /// Where the instance takes requests.
    pub addr: SocketAddr,
    /// Requests that the instance works on at once.
    pub slots: u32,
    /// The instance's failure domain.
    pub failure_domain: FailureDomain,
    /// What the operators say of the instance.
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
    /// The part of all slots that ejections must leave in use, in percent.
    pub floor_percent: u8,
    /// The trade of detection time against false ejections.
    pub detection: Detection,
    /// The path of the health endpoint.
    pub health_path: Arc<str>,
}

/// One accepted configuration. It never changes once built.
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
