//! Admits requests by route, key and workspace, without blocking.

use std::sync::Arc;
use std::time::Instant;

use http::HeaderMap;
use http::uri::PathAndQuery;
use waxwingusher_attempts::Origin;
use waxwingusher_attempts::refusal::RefusalReason;
use waxwingusher_attempts::retry::RETRY_HEADER;
use waxwingusher_config::{Access, Route};
use waxwingusher_core::{KeyDigest, WorkspaceName};
use waxwingusher_edge::{CallerRequest, headers};
use waxwingusher_limits::LimitKey;
use waxwingusher_membership::distribution::ConfigTrust;

use crate::active_config::ActiveConfig;
use crate::credentials::{self, CredentialError, PresentedKey};
use crate::route_table::RouteMatch;
use crate::state::HostState;

/// The name under which requests on open routes are accounted.
const OPEN_ROUTE_WORKSPACE: &str = "(open)";

/// The workspace or open route that a request is accounted to.
#[derive(Debug, Clone)]
pub(crate) struct Principal {
    /// The workspace, or a fixed name on open routes.
    pub(crate) workspace: WorkspaceName,
    /// The weight in the fair queue.
    pub(crate) weight: u32,
    /// The limit from which the request's token is spent.
    pub(crate) limit: LimitKey,
    /// The digest of the key, on keyed routes.
    pub(crate) key: Option<KeyDigest>,
}

/// A request that passed admission.
#[derive(Debug, Clone)]
pub(crate) struct Admitted {
    pub(crate) route: Arc<Route>,
    pub(crate) principal: Principal,
    pub(crate) deadline: Instant,
    /// The target as sent to the upstream, without the key.
    pub(crate) target: PathAndQuery,
    pub(crate) headers: HeaderMap,
    /// The caller's key for an operation that must run at most once.
    pub(crate) idempotency_key: Option<String>,
    /// Whether the request carries the retry header, as the retry of another host
    /// does.
    pub(crate) origin: Origin,
}

/// Decides whether a request is admitted.
pub(crate) fn admit(state: &HostState, request: &CallerRequest) -> Result<Admitted, RefusalReason> {
    let active = state.active().ok_or(RefusalReason::Draining)?;
    let method = request.method.as_str();
    let route = match active.routes.find(method, request.target.path()) {
        RouteMatch::Found(route) => route,
        RouteMatch::MethodNotAllowed => return Err(RefusalReason::MethodNotAllowed),
        RouteMatch::NotFound => return Err(RefusalReason::UnknownRoute),
    };
    let mut forwarded = request.headers.clone();
    let (principal, target) = match route.access {
        Access::Open => (
            open_principal(&route),
            open_target(request, &mut forwarded)?,
        ),
        Access::Keyed if !state.config.is_trusted() => {
            return Err(RefusalReason::ConfigUnconfirmed {
                retry_after: ConfigTrust::CHECK_TIME,
            });
        }
        Access::Keyed => keyed_principal(&active, &route, request, &mut forwarded)?,
    };
    let deadline = request.received_at + allowed_time(&route, request);
    if !state.may_start(&route.service, deadline) {
        return Err(RefusalReason::Draining);
    }
    let idempotency_key = idempotency_key(&request.headers)?;
    prepare_headers(&mut forwarded, request, &principal);
    Ok(Admitted {
        route,
        principal,
        deadline,
        target,
        headers: forwarded,
        idempotency_key,
        origin: if request.headers.contains_key(RETRY_HEADER) {
            Origin::Retry
        } else {
            Origin::Caller
        },
    })
}

/// Reports whether the key that admitted a request is still valid.
pub(crate) fn is_key_still_valid(state: &HostState, principal: &Principal) -> bool {
    let Some(key) = principal.key else {
        return true;
    };
    let Some(active) = state.active() else {
        return false;
    };
    let workspace = active.keys.lookup_digest(&key);
    workspace.is_some_and(|workspace| workspace.name == principal.workspace)
}

fn open_principal(route: &Route) -> Principal {
    Principal {
        workspace: WorkspaceName::new(OPEN_ROUTE_WORKSPACE),
        weight: 1,
        limit: LimitKey::OpenRoute(route.name.clone()),
        key: None,
    }
}

/// A caller may send its key on an open route, too; it is removed there as well.
fn open_target(
    request: &CallerRequest,
    forwarded: &mut HeaderMap,
) -> Result<PathAndQuery, RefusalReason> {
    match credentials::take_key(forwarded) {
        Ok(key) => scrub(&key, request, forwarded),
        Err(_) => Ok(request.target.clone()),
    }
}

fn keyed_principal(
    active: &ActiveConfig,
    route: &Route,
    request: &CallerRequest,
    forwarded: &mut HeaderMap,
) -> Result<(Principal, PathAndQuery), RefusalReason> {
    let key = credentials::take_key(forwarded).map_err(refusal_reason)?;
    let digest = KeyDigest::of_key(key.as_bytes());
    let workspace = active
        .keys
        .lookup_digest(&digest)
        .ok_or(RefusalReason::Unauthorized)?;
    let is_allowed = route.workspaces.is_empty() || route.workspaces.contains(&workspace.name);
    if !is_allowed {
        return Err(RefusalReason::Forbidden);
    }
    let target = scrub(&key, request, forwarded)?;
    let principal = Principal {
        workspace: workspace.name.clone(),
        weight: workspace.weight,
        limit: LimitKey::Workspace(workspace.name.clone()),
        key: Some(digest),
    };
    Ok((principal, target))
}

fn scrub(
    key: &PresentedKey,
    request: &CallerRequest,
    forwarded: &mut HeaderMap,
) -> Result<PathAndQuery, RefusalReason> {
    credentials::scrub(key, &request.target, forwarded, &request.body).map_err(refusal_reason)
}

fn refusal_reason(error: CredentialError) -> RefusalReason {
    match error {
        CredentialError::Missing | CredentialError::Malformed => RefusalReason::Unauthorized,
        CredentialError::Ambiguous | CredentialError::Leaking => RefusalReason::Malformed,
    }
}

fn allowed_time(route: &Route, request: &CallerRequest) -> std::time::Duration {
    let requested = request.headers.get(headers::DEADLINE_MS);
    let requested_ms = requested.and_then(|value| value.to_str().ok()?.parse().ok());
    let requested = requested_ms.map(std::time::Duration::from_millis);
    requested.map_or(route.deadline, |requested| requested.min(route.deadline))
}

fn idempotency_key(request_headers: &HeaderMap) -> Result<Option<String>, RefusalReason> {
    const MAX_KEY_BYTES: usize = 256;
    let mut values = request_headers.get_all(headers::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| RefusalReason::Malformed)?;
    if values.next().is_some() || text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(RefusalReason::Malformed);
    }
    Ok(Some(text.to_owned()))
}

fn prepare_headers(forwarded: &mut HeaderMap, request: &CallerRequest, principal: &Principal) {
    headers::strip_hop_by_hop(forwarded);
    headers::strip_reserved(forwarded);
    forwarded.remove(http::header::EXPECT);
    let id = request.id.to_string();
    forwarded.insert(headers::REQUEST_ID, headers::value_or_empty(&id));
    if principal.key.is_some() {
        let name = headers::value_or_empty(principal.workspace.as_str());
        forwarded.insert(headers::WORKSPACE, name);
    }
}
