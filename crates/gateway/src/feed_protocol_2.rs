//! The form in which hosts of builds until b65f8d3 (protocol 2 and below) encode changes
//! of the feed and configurations.
//!
//! These types do not change. In postcard a field that is added to a structure makes it
//! unreadable to other builds, so the types in use are converted to and from these.
//! Evacuations, home regions and cold limits have no form here and are left out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use waxwingusher_config::routing::{
    CallerLimits, PublishedService, PublishedWorkspace, Route, RoutingDocument, ServiceShare,
};
use waxwingusher_core::{
    FailureDomain, InstanceId, KeyDigest, RouteName, ServiceName, WorkspaceName,
};
use waxwingusher_upstreams::{RosterChange, RosterEntry, RosterState};

use crate::feed_log::RevisedChange;
use crate::feed_source::Change;

#[derive(Debug, Serialize, Deserialize)]
struct FormerDocument {
    version: u64,
    routes: Vec<FormerRoute>,
    services: Vec<FormerService>,
    workspaces: Vec<FormerWorkspace>,
    limits: FormerLimits,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerRoute {
    name: RouteName,
    host: String,
    prefix: String,
    is_idempotent: bool,
    timeout: Option<Duration>,
    latency_target: Duration,
    priority: u32,
    split: Vec<FormerShare>,
    max_attempts: u32,
    is_open: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerShare {
    service: ServiceName,
    weight: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerService {
    name: ServiceName,
    health_path: String,
    max_connections: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerWorkspace {
    name: WorkspaceName,
    keys: Vec<KeyDigest>,
    priority: Option<u32>,
    rate_per_s: f64,
    burst: f64,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout: Duration,
    idle_timeout: Duration,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerRevisedChange {
    revision: u64,
    change: FormerChange,
}

#[derive(Debug, Serialize, Deserialize)]
enum FormerChange {
    Routing(Result<FormerDocument, String>),
    Roster(FormerRosterChange),
}

#[derive(Debug, Serialize, Deserialize)]
enum FormerRosterChange {
    Put(FormerRosterEntry),
    Removed(InstanceId),
    Unusable(InstanceId),
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerRosterEntry {
    id: InstanceId,
    incarnation: u64,
    service: ServiceName,
    addr: SocketAddr,
    failure_domain: FailureDomain,
    software: Arc<str>,
    slots: u32,
    state: FormerRosterState,
    cold_for: Duration,
}

#[derive(Debug, Serialize, Deserialize)]
enum FormerRosterState {
    Ready,
    Draining,
}

/// Encodes a configuration for hosts of protocol 2 and below.
///
/// # Errors
///
/// Returns an error if a value has no encoding.
pub fn encode_configuration(document: &RoutingDocument) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_allocvec(&FormerDocument::from(document))
}

/// Decodes a configuration of a host of protocol 2 and below.
///
/// # Errors
///
/// Returns an error if the bytes are no such configuration.
pub fn decode_configuration(bytes: &[u8]) -> Result<RoutingDocument, postcard::Error> {
    let document: FormerDocument = postcard::from_bytes(bytes)?;
    Ok(document.into())
}

/// Encodes changes for hosts of protocol 2 and below. Evacuations are left out, since
/// these hosts have none.
///
/// # Errors
///
/// Returns an error if a value has no encoding.
pub fn encode_changes(changes: &[RevisedChange]) -> Result<Vec<u8>, postcard::Error> {
    let changes = changes
        .iter()
        .filter_map(|RevisedChange { revision, change }| {
            let change = match change {
                Change::Routing(Ok(document)) => FormerChange::Routing(Ok(document.into())),
                Change::Routing(Err(cause)) => FormerChange::Routing(Err(cause.clone())),
                Change::Roster(change) => FormerChange::Roster(change.into()),
                Change::Evacuation(_) => return None,
            };
            Some(FormerRevisedChange {
                revision: *revision,
                change,
            })
        });
    let changes: Vec<FormerRevisedChange> = changes.collect();
    postcard::to_allocvec(&changes)
}

/// Decodes changes of a host of protocol 2 and below.
///
/// # Errors
///
/// Returns an error if the bytes are no such changes.
pub fn decode_changes(bytes: &[u8]) -> Result<Vec<RevisedChange>, postcard::Error> {
    let changes: Vec<FormerRevisedChange> = postcard::from_bytes(bytes)?;
    let changes = changes
        .into_iter()
        .map(|FormerRevisedChange { revision, change }| {
            let change = match change {
                FormerChange::Routing(published) => Change::Routing(published.map(Into::into)),
                FormerChange::Roster(change) => Change::Roster(change.into()),
            };
            RevisedChange { revision, change }
        });
    Ok(changes.collect())
}

impl From<&RoutingDocument> for FormerDocument {
    fn from(document: &RoutingDocument) -> Self {
        Self {
            version: document.version,
            routes: document.routes.iter().map(Into::into).collect(),
            services: document.services.iter().map(Into::into).collect(),
            workspaces: document.workspaces.iter().map(Into::into).collect(),
            limits: document.limits.into(),
        }
    }
}

impl From<FormerDocument> for RoutingDocument {
    fn from(former: FormerDocument) -> Self {
        Self {
            version: former.version,
            routes: former.routes.into_iter().map(Into::into).collect(),
            services: former.services.into_iter().map(Into::into).collect(),
            workspaces: former.workspaces.into_iter().map(Into::into).collect(),
            limits: former.limits.into(),
            findings: Vec::new(),
        }
    }
}

impl From<&Route> for FormerRoute {
    fn from(route: &Route) -> Self {
        let share = |share: &ServiceShare| FormerShare {
            service: share.service.clone(),
            weight: share.weight,
        };
        Self {
            name: route.name.clone(),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            is_idempotent: route.is_idempotent,
            timeout: route.timeout,
            latency_target: route.latency_target,
            priority: route.priority,
            split: route.split.iter().map(share).collect(),
            max_attempts: route.max_attempts,
            is_open: route.is_open,
        }
    }
}

impl From<FormerRoute> for Route {
    fn from(former: FormerRoute) -> Self {
        let share = |share: FormerShare| ServiceShare {
            service: share.service,
            weight: share.weight,
        };
        Self {
            name: former.name,
            host: former.host,
            prefix: former.prefix,
            is_idempotent: former.is_idempotent,
            timeout: former.timeout,
            latency_target: former.latency_target,
            priority: former.priority,
            split: former.split.into_iter().map(share).collect(),
            max_attempts: former.max_attempts,
            is_open: former.is_open,
            home_regions: Vec::new(),
        }
    }
}

impl From<&PublishedService> for FormerService {
    fn from(service: &PublishedService) -> Self {
        Self {
            name: service.name.clone(),
            health_path: service.health_path.clone(),
            max_connections: service.max_connections,
        }
    }
}

impl From<FormerService> for PublishedService {
    fn from(former: FormerService) -> Self {
        Self {
            name: former.name,
            health_path: former.health_path,
            max_connections: former.max_connections,
            cold_start: None,
        }
    }
}

impl From<&PublishedWorkspace> for FormerWorkspace {
    fn from(workspace: &PublishedWorkspace) -> Self {
        Self {
            name: workspace.name.clone(),
            keys: workspace.keys.clone(),
            priority: workspace.priority,
            rate_per_s: workspace.rate_per_s,
            burst: workspace.burst,
        }
    }
}

impl From<FormerWorkspace> for PublishedWorkspace {
    fn from(former: FormerWorkspace) -> Self {
        Self {
            name: former.name,
            keys: former.keys,
            priority: former.priority,
            rate_per_s: former.rate_per_s,
            burst: former.burst,
            home_regions: Vec::new(),
        }
    }
}

impl From<CallerLimits> for FormerLimits {
    fn from(limits: CallerLimits) -> Self {
        Self {
            max_header_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }
}

impl From<FormerLimits> for CallerLimits {
    fn from(former: FormerLimits) -> Self {
        Self {
            max_header_bytes: former.max_header_bytes,
            max_body_bytes: former.max_body_bytes,
            header_timeout: former.header_timeout,
            idle_timeout: former.idle_timeout,
        }
    }
}

impl From<&RosterChange> for FormerRosterChange {
    fn from(change: &RosterChange) -> Self {
        match change {
            RosterChange::Put(entry) => Self::Put(entry.into()),
            RosterChange::Removed(id) => Self::Removed(id.clone()),
            RosterChange::Unusable(id) => Self::Unusable(id.clone()),
        }
    }
}

impl From<FormerRosterChange> for RosterChange {
    fn from(former: FormerRosterChange) -> Self {
        match former {
            FormerRosterChange::Put(entry) => Self::Put(entry.into()),
            FormerRosterChange::Removed(id) => Self::Removed(id),
            FormerRosterChange::Unusable(id) => Self::Unusable(id),
        }
    }
}

impl From<&RosterEntry> for FormerRosterEntry {
    fn from(entry: &RosterEntry) -> Self {
        Self {
            id: entry.id.clone(),
            incarnation: entry.incarnation,
            service: entry.service.clone(),
            addr: entry.addr,
            failure_domain: entry.failure_domain.clone(),
            software: entry.software.clone(),
            slots: entry.slots,
            state: match entry.state {
                RosterState::Ready => FormerRosterState::Ready,
                RosterState::Draining => FormerRosterState::Draining,
            },
            cold_for: entry.cold_for,
        }
    }
}

impl From<FormerRosterEntry> for RosterEntry {
    fn from(former: FormerRosterEntry) -> Self {
        Self {
            id: former.id,
            incarnation: former.incarnation,
            service: former.service,
            addr: former.addr,
            failure_domain: former.failure_domain,
            software: former.software,
            slots: former.slots,
            state: match former.state {
                FormerRosterState::Ready => RosterState::Ready,
                FormerRosterState::Draining => RosterState::Draining,
            },
            cold_for: former.cold_for,
        }
    }
}
