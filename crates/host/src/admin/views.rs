//! The JSON documents of the administration API.

use std::collections::BTreeMap;

use serde::Serialize;
use waxwingusher_config::{Access, Route, Workspace};
use waxwingusher_core::{FailureDomain, HostId, HostState as Listed, RouteName, WorkspaceName};
use waxwingusher_limits::{LimitKey, LimitReport};

use crate::state::HostState;

/// This host.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct HostView {
    host: HostId,
    failure_domain: FailureDomain,
    version: &'static str,
    is_ready: bool,
    is_draining: bool,
    reads_config_service: bool,
    config_version: Option<u64>,
    host_list_version: u64,
    holder_rights_in_force: bool,
    waiting_shares: usize,
    attempt_records: usize,
    attempt_memory_bytes: usize,
    vouches_for_attempts: bool,
    quarantined_requests: usize,
    capped_peer_messages: u64,
}

/// A host of the fleet, as known to this host.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct PeerView {
    host: HostId,
    failure_domain: FailureDomain,
    listed_as: Listed,
    liveness: &'static str,
    config_version: Option<u64>,
}

/// A route in force.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RouteView {
    route: RouteName,
    service: String,
    path_prefix: String,
    methods: Vec<String>,
    idempotent_methods: Vec<String>,
    access: Access,
    deadline_ms: u64,
}

/// A workspace with its tokens on this host.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct WorkspaceView {
    workspace: WorkspaceName,
    valid_keys: usize,
    rate_per_s: f64,
    burst: u32,
    weight: u32,
    tokens: Option<TokenView>,
}

/// The tokens of a limit that this host holds, has lent and has borrowed.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct TokenView {
    is_holder: bool,
    share_tokens: f64,
    lent_room: f64,
    lent_rate_per_s: f64,
    borrowers: usize,
    borrowed_tokens: f64,
    borrowed_rate_per_s: f64,
    demand_per_s: f64,
}

pub(super) fn host(state: &HostState) -> HostView {
    let active = state.active();
    let limits = state.limits.lock().report();
    let attempts = state.attempts.lock().registry.report();
    let vouches_for_attempts = state.attempts.lock().registry.vouches_for_all();
    let reads_config_service = state.config.lock().is_reader();
    HostView {
        host: state.settings.host_id.clone(),
        failure_domain: state.settings.failure_domain.clone(),
        version: env!("CARGO_PKG_VERSION"),
        is_ready: state.is_ready(),
        is_draining: state.is_draining(),
        reads_config_service,
        config_version: active.map(|active| active.snapshot.version),
        host_list_version: limits.list_version,
        holder_rights_in_force: limits.has_valid_rights,
        waiting_shares: limits.waiting_shares,
        attempt_records: attempts.records,
        attempt_memory_bytes: attempts.memory_bytes,
        vouches_for_attempts,
        quarantined_requests: state.quarantine.lock().report().quarantined,
        capped_peer_messages: state.peers.capped_messages(),
    }
}

pub(super) fn hosts(state: &HostState) -> Vec<PeerView> {
    let versions: BTreeMap<HostId, u64> = state.config.lock().config_versions();
    let own_version = state.active().map(|active| active.snapshot.version);
    let list = state.host_list();
    let liveness = state.lock_liveness();
    let mut views = Vec::new();
    for entry in &list.hosts {
        let is_self = entry.id == state.settings.host_id;
        let known = versions.get(&entry.id).copied();
        views.push(PeerView {
            host: entry.id.clone(),
            failure_domain: entry.failure_domain.clone(),
            listed_as: entry.state,
            liveness: if is_self {
                "self"
            } else {
                liveness.state(&entry.id).name()
            },
            config_version: if is_self { own_version } else { known },
        });
    }
    views
}

pub(super) fn routes(state: &HostState) -> Vec<RouteView> {
    let Some(active) = state.active() else {
        return Vec::new();
    };
    let routes = active.snapshot.routes.values();
    routes.map(|route| route_view(route)).collect()
}

pub(super) fn workspaces(state: &HostState) -> Vec<WorkspaceView> {
    let Some(active) = state.active() else {
        return Vec::new();
    };
    let report = state.limits.lock().report();
    let mut tokens: BTreeMap<&LimitKey, &LimitReport> = BTreeMap::new();
    for limit in &report.limits {
        tokens.insert(&limit.key, limit);
    }
    let mut views = Vec::new();
    for workspace in active.snapshot.workspaces.values() {
        let key = LimitKey::Workspace(workspace.name.clone());
        views.push(workspace_view(workspace, tokens.get(&key).copied()));
    }
    views
}

fn route_view(route: &Route) -> RouteView {
    let texts = |names: &[std::sync::Arc<str>]| names.iter().map(ToString::to_string).collect();
    RouteView {
        route: route.name.clone(),
        service: route.service.to_string(),
        path_prefix: route.path_prefix.to_string(),
        methods: texts(&route.methods),
        idempotent_methods: texts(&route.idempotent_methods),
        access: route.access,
        deadline_ms: u64::try_from(route.deadline.as_millis()).unwrap_or(u64::MAX),
    }
}

fn workspace_view(workspace: &Workspace, limit: Option<&LimitReport>) -> WorkspaceView {
    WorkspaceView {
        workspace: workspace.name.clone(),
        valid_keys: workspace.key_digests.len(),
        rate_per_s: from_millis(workspace.limit.rate_millis_per_s),
        burst: workspace.limit.burst,
        weight: workspace.weight,
        tokens: limit.map(token_view),
    }
}

fn token_view(limit: &LimitReport) -> TokenView {
    TokenView {
        is_holder: limit.is_holder,
        share_tokens: from_millis(limit.share_tokens_millis),
        lent_room: from_millis(limit.lent_capacity_millis),
        lent_rate_per_s: from_millis(limit.lent_rate_millis_per_s),
        borrowers: limit.borrowers,
        borrowed_tokens: from_millis(limit.borrowed_tokens_millis),
        borrowed_rate_per_s: from_millis(limit.borrowed_rate_millis_per_s),
        demand_per_s: from_millis(limit.demand_millis_per_s),
    }
}

fn from_millis(millis: u64) -> f64 {
    millis as f64 / 1_000.0
}
