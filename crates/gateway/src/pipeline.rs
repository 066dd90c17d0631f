//! The way of one request: admission, then dispatch, then its log line.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use waxwingusher_config::routing::{Caller, Route, SplitPicker, WorkspaceRight};
use waxwingusher_core::ServiceName;
use waxwingusher_edge::headers::strip_hop_by_hop;
use xxhash_rust::xxh3::Xxh3;

use crate::answer::Answer;
use crate::attempt::{Sent, header_value, millis};
use crate::dispatch::Dispatch;
use crate::journal::Event;
use crate::state::State;

/// What is left of a caller's time when it gets its final answer, so that the
/// answer arrives before the caller gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);
/// How long a caller waits that does not say so.
const DEFAULT_TIME: Duration = Duration::from_secs(30);
/// When a caller should come back to a host that cannot serve yet.
const UNREADY_RETRY: Duration = Duration::from_millis(500);
/// The part of the latency target that a route's requests take before any was
/// seen.
const FIRST_USUAL_SHARE: f64 = 0.33;

/// A whole request of a caller.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// When its last byte was read.
    pub(crate) received_at: Instant,
}

/// Lets a request that must not repeat wait until all requests before it on its
/// connection are answered.
pub(crate) trait Turn {
    /// Returns when it is the request's turn.
    async fn wait(&self);
}

/// What is told of a request in its log line.
#[derive(Debug, Default)]
struct Trace {
    route: String,
    workspace: String,
    version: u64,
    tries: usize,
    tokens: Option<f64>,
    left: Duration,
}

/// Serves one request.
pub(crate) async fn handle(state: &Rc<State>, request: CallerRequest, turn: impl Turn) -> Answer {
    let request_id = text(&request.headers, &state.dialect.request_id).to_owned();
    let received_at = request.received_at;
    let mut trace = Trace::default();
    let answer = serve(state, request, turn, &mut trace).await;
    let took = state.now().saturating_duration_since(received_at);
    state.metrics.request(&trace.route, answer.outcome, took);
    state.journal.write(&Event::Request {
        request: &request_id,
        route: &trace.route,
        workspace: &trace.workspace,
        version: trace.version,
        status: answer.status.as_u16(),
        outcome: answer.outcome,
        tries: trace.tries,
        took_ms: millis(took),
        left_ms: millis(trace.left.saturating_sub(took)),
        tokens: trace.tokens,
    });
    answer
}

async fn serve(
    state: &Rc<State>,
    request: CallerRequest,
    turn: impl Turn,
    trace: &mut Trace,
) -> Answer {
    let time_left = text(&request.headers, &state.dialect.time_left_ms)
        .parse()
        .ok();
    let time_left = time_left.map_or(DEFAULT_TIME, Duration::from_millis);
    trace.left = time_left;
    let Some(table) = state.routing() else {
        return Answer::refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "no-configuration",
            UNREADY_RETRY,
        );
    };
    trace.version = table.version();
    let host = text(&request.headers, &header::HOST);
    let Some(route) = table.route(host, &request.target).cloned() else {
        return Answer::own(StatusCode::NOT_FOUND, "no-route");
    };
    trace.route = route.name.to_string();
    let key = request.headers.get(&state.dialect.key);
    let workspace = match table.caller(&route, key.map(HeaderValue::as_bytes)) {
        Caller::Unknown => return Answer::own(StatusCode::UNAUTHORIZED, "unknown-key"),
        Caller::Anonymous => None,
        Caller::Workspace(workspace) => Some(workspace),
    };
    if let Some(workspace) = &workspace {
        trace.workspace = workspace.name.to_string();
    }
    if !route.is_idempotent {
        turn.wait().await;
    }
    let fingerprint = fingerprint(&request, workspace.as_deref());
    if state
        .crashes
        .borrow()
        .is_quarantined(state.now(), fingerprint)
    {
        return Answer::refusal(StatusCode::SERVICE_UNAVAILABLE, "quarantined", DEFAULT_TIME);
    }
    if let Some(refusal) = admit(state, workspace.as_deref(), trace) {
        return refusal;
    }
    let Some(service) = pick_service(state, &route) else {
        return Answer::own(StatusCode::BAD_GATEWAY, "no-service");
    };
    state
        .budget
        .borrow_mut()
        .record_request(state.now(), &service);
    let callers = time_left.saturating_sub(ANSWER_MARGIN);
    let patience = route
        .timeout
        .map_or(callers, |timeout| timeout.min(callers));
    let deadline = request.received_at + patience;
    let priority = workspace
        .as_ref()
        .and_then(|workspace| workspace.priority)
        .unwrap_or(route.priority);
    let sent = prepare(
        state,
        request,
        workspace.as_deref(),
        &route,
        service,
        fingerprint,
    );
    let mut dispatch = Dispatch::new(state, &route, sent, deadline, priority);
    let answer = dispatch.run().await;
    trace.tries = dispatch.tries();
    if trace.tries == 0
        && let Some(workspace) = &workspace
    {
        state.limits.borrow_mut().refund(&workspace.name);
    }
    answer
}

fn admit(state: &State, workspace: Option<&WorkspaceRight>, trace: &mut Trace) -> Option<Answer> {
    let workspace = workspace?;
    let view = state.fleet_view();
    let admitted = state
        .limits
        .borrow_mut()
        .admit(state.now(), &workspace.name, view);
    match admitted {
        Ok(admitted) => {
            if admitted.is_running_low {
                state.outbox.tell_counts_soon();
            }
            None
        }
        Err(over) => {
            trace.tokens = Some(over.tokens);
            let status = StatusCode::TOO_MANY_REQUESTS;
            Some(Answer::refusal(status, "over-rate", over.retry_after))
        }
    }
}

fn pick_service(state: &State, route: &Route) -> Option<ServiceName> {
    if let [only] = route.split.as_slice() {
        return Some(only.service.clone());
    }
    let mut pickers = state.pickers.borrow_mut();
    let picker = pickers
        .entry(route.name.clone())
        .or_insert_with(|| SplitPicker::new(route, &mut state.rng.borrow_mut()));
    picker.pick(route)
}

/// Identifies a request that is sent again, by its caller and content.
fn fingerprint(request: &CallerRequest, workspace: Option<&WorkspaceRight>) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(
        workspace
            .map_or("", |workspace| workspace.name.as_str())
            .as_bytes(),
    );
    hasher.update(request.method.as_str().as_bytes());
    hasher.update(text(&request.headers, &header::HOST).as_bytes());
    hasher.update(request.target.as_bytes());
    hasher.update(&request.body);
    hasher.digest()
}

fn prepare(
    state: &State,
    request: CallerRequest,
    workspace: Option<&WorkspaceRight>,
    route: &Route,
    service: ServiceName,
    fingerprint: u64,
) -> Sent {
    let dialect = &state.dialect;
    let request_id = text(&request.headers, &dialect.request_id).to_owned();
    let mut headers = request.headers;
    strip_hop_by_hop(&mut headers);
    for name in [&dialect.key, &dialect.workspace, &dialect.expected_instance] {
        headers.remove(name);
    }
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    if let Some(workspace) = workspace {
        headers.insert(
            dialect.workspace.clone(),
            header_value(workspace.name.as_str()),
        );
    }
    let first_guess = route.latency_target.mul_f64(FIRST_USUAL_SHARE);
    let usual_times = state.usual_times.borrow();
    let usual_time = usual_times.get(&route.name).copied().unwrap_or(first_guess);
    Sent {
        request_id,
        method: request.method,
        target: request.target,
        headers,
        body: request.body,
        is_idempotent: route.is_idempotent,
        fingerprint,
        usual_time,
        service,
    }
}

/// Returns a header as text; empty if it is absent or not text.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}
