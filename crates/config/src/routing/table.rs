//! The compiled form of a routing document: lookups by host name, path and key.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use waxwingusher_core::{KeyDigest, Region, RouteName, ServiceName, WorkspaceName};

use crate::routing::document::{
    CallerLimits, ColdStart, PublishedWorkspace, Route, RoutingDocument,
};

/// A routing document is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RoutingError {
    /// A prefix does not begin and end with a slash.
    #[error("route {route}: prefix `{prefix}` must begin and end with a slash")]
    Prefix {
        /// The route.
        route: RouteName,
        /// The prefix.
        prefix: String,
    },
    /// Two routes have the same host name and prefix.
    #[error("routes {first} and {second} have the same host name and prefix")]
    Overlap {
        /// The route that was read first.
        first: RouteName,
        /// The other route.
        second: RouteName,
    },
    /// A route names a service that the document lacks.
    #[error("route {route}: there is no service `{service}`")]
    UnknownService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// No service of a route has a weight above zero.
    #[error("route {route}: no service has a weight above zero")]
    NoWeight {
        /// The route.
        route: RouteName,
    },
    /// A route allows no attempt.
    #[error("route {route}: at least one attempt must be allowed")]
    NoAttempts {
        /// The route.
        route: RouteName,
    },
    /// Two workspaces hold the same key.
    #[error("workspaces {first} and {second} hold the same key")]
    SharedKey {
        /// The workspace that was read first.
        first: WorkspaceName,
        /// The other workspace.
        second: WorkspaceName,
    },
}

/// A workspace's priority and its rate limit over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspacePolicy {
    /// The name.
    pub name: WorkspaceName,
    /// A priority that overrides the route's.
    pub priority: Option<u32>,
    /// Requests per second over the whole fleet; unlimited if 0.
    pub rate_per_s: f64,
    /// Requests that may exceed the rate at once.
    pub burst: f64,
    /// The regions in which its requests may be processed; any if empty.
    pub home_regions: Vec<Region>,
}

/// Who sent a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Caller {
    /// No key is needed.
    Anonymous,
    /// The holder of a key.
    Workspace(Arc<WorkspacePolicy>),
    /// The key is missing, unknown or revoked.
    Unknown,
}

/// The routing configuration in force on a host.
#[derive(Debug)]
pub struct RoutingTable {
    version: u64,
    limits: CallerLimits,
    routes_by_host: HashMap<String, HashMap<String, Arc<Route>>>,
    workspaces_by_key: HashMap<KeyDigest, Arc<WorkspacePolicy>>,
    workspaces: Vec<Arc<WorkspacePolicy>>,
    cold_starts: HashMap<ServiceName, ColdStart>,
}

impl RoutingTable {
    /// Checks and compiles a document.
    ///
    /// # Errors
    ///
    /// Returns the first error in the document.
    pub fn build(document: RoutingDocument) -> Result<Self, RoutingError> {
        let service_names: HashSet<&ServiceName> =
            document.services.iter().map(|s| &s.name).collect();
        let mut routes_by_host: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in document.routes {
            check_route(&route, &service_names)?;
            let host = route.host.to_ascii_lowercase();
            let prefix = route.prefix.clone();
            let compiled = Arc::new(route);
            let previous = routes_by_host
                .entry(host)
                .or_default()
                .insert(prefix, compiled.clone());
            if let Some(previous) = previous {
                return Err(RoutingError::Overlap {
                    first: previous.name.clone(),
                    second: compiled.name.clone(),
                });
            }
        }
        let services = document.services.iter();
        let cold_starts = services.filter_map(|service| {
            let cold_start = service.cold_start?;
            Some((service.name.clone(), cold_start))
        });
        let cold_starts = cold_starts.collect();
        let (workspaces, workspaces_by_key) = index_keys(document.workspaces)?;
        Ok(Self {
            version: document.version,
            limits: document.limits,
            routes_by_host,
            workspaces_by_key,
            workspaces,
            cold_starts,
        })
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the size limits and timeouts for callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns all workspaces.
    #[must_use]
    pub fn workspaces(&self) -> &[Arc<WorkspacePolicy>] {
        &self.workspaces
    }

    /// Returns what the instances of a service take while they are cold, if that is
    /// limited.
    #[must_use]
    pub fn cold_start(&self, service: &ServiceName) -> Option<ColdStart> {
        self.cold_starts.get(service).copied()
    }

    /// Returns the route of `host` with the longest prefix of `path`. `host` may
    /// include a port.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes_by_host.get(&host.to_ascii_lowercase())?;
        let mut rest = path.split(['?', '#']).next().unwrap_or(path);
        loop {
            let end = rest.rfind('/')?;
            if let Some(route) = routes.get(&rest[..=end]) {
                return Some(route);
            }
            rest = &rest[..end];
        }
    }

    /// Identifies a caller by its key. Open routes, and tables without
    /// workspaces, also accept callers without a known key.
    #[must_use]
    pub fn caller(&self, route: &Route, key: Option<&[u8]>) -> Caller {
        let holder = key.and_then(|key| self.workspaces_by_key.get(&KeyDigest::of_key(key)));
        match holder {
            Some(workspace) => Caller::Workspace(workspace.clone()),
            None if route.is_open || self.workspaces.is_empty() => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }
}

pub(super) fn check_route(
    route: &Route,
    services: &HashSet<&ServiceName>,
) -> Result<(), RoutingError> {
    let name = || route.name.clone();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let prefix = route.prefix.clone();
        return Err(RoutingError::Prefix {
            route: name(),
            prefix,
        });
    }
    for share in &route.split {
        if services.contains(&share.service) {
            continue;
        }
        return Err(RoutingError::UnknownService {
            route: name(),
            service: share.service.clone(),
        });
    }
    if route.split.iter().all(|share| share.weight == 0) {
        return Err(RoutingError::NoWeight { route: name() });
    }
    if route.max_attempts == 0 {
        return Err(RoutingError::NoAttempts { route: name() });
    }
    Ok(())
}

type KeyIndex = HashMap<KeyDigest, Arc<WorkspacePolicy>>;

fn index_keys(
    published: Vec<PublishedWorkspace>,
) -> Result<(Vec<Arc<WorkspacePolicy>>, KeyIndex), RoutingError> {
    let mut workspaces = Vec::with_capacity(published.len());
    let mut keys = KeyIndex::new();
    for workspace in published {
        let policy = Arc::new(WorkspacePolicy {
            name: workspace.name,
            priority: workspace.priority,
            rate_per_s: workspace.rate_per_s,
            burst: workspace.burst,
            home_regions: workspace.home_regions,
        });
        for digest in workspace.keys {
            let previous = keys.insert(digest, policy.clone());
            let Some(previous) = previous.filter(|previous| previous.name != policy.name) else {
                continue;
            };
            return Err(RoutingError::SharedKey {
                first: previous.name.clone(),
                second: policy.name.clone(),
            });
        }
        workspaces.push(policy);
    }
    Ok((workspaces, keys))
}
