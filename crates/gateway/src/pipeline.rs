//! Handles one request: admission and dispatch.

use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use scopeguard::guard;
use waxwingusher_config::routing::{Caller, Route, SplitPicker, WorkspacePolicy};
use waxwingusher_core::ServiceName;
use waxwingusher_edge::headers::strip_hop_by_hop;
use xxhash_rust::xxh3::Xxh3;

use crate::answer::Answer;
use crate::attempt::OutboundRequest;
use crate::body::Body;
use crate::dispatch::Dispatch;
use crate::home_regions::HomeRegions;
use crate::origin::RequestOrigin;
use crate::request_log::{Receipt, RequestLog, RequestRecord};
use crate::resources::AnswerMemory;
use crate::state::State;
use crate::takeover::{self, TakeoverError};
use crate::units::header_value;

/// The part of a caller's time that is reserved for the final answer, so that it
/// arrives before the caller gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);
/// The time left of a request that does not state it, and the `Retry-After` of a
/// quarantined one.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(30);
/// The longest time left that a request may state; a longer one is capped, so that
/// it does not overflow the clock.
const MAX_TIME_LEFT: Duration = Duration::from_secs(24 * 60 * 60);
/// The `Retry-After` of a host that has no configuration yet.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The share of the latency target that is expected as latency until a request of
/// the route has been measured.
const INITIAL_LATENCY_SHARE: f64 = 0.33;

/// A complete request of a caller.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    pub(crate) answer_memory: Rc<AnswerMemory>,
    pub(crate) receipt: Receipt,
}

/// Holds back a request that is not idempotent until all earlier requests on its
/// connection are answered.
pub(crate) trait PipelineOrder {
    /// Waits until all earlier requests on the connection are answered.
    async fn wait_for_earlier_answers(&self);
}

/// Handles one request and writes its log record and metrics, also if the returned future
/// is dropped before it was polled.
pub(crate) fn handle(
    state: Rc<State>,
    request: CallerRequest,
    origin: RequestOrigin,
    order: impl PipelineOrder,
) -> impl Future<Output = Answer> {
    let request_id = request_id(&state, &request.headers).to_owned();
    let mut log = RequestLog::start(&state, request_id, &request.receipt);
    async move {
        let mut answer = process(&state, request, origin, order, &mut log.record).await;
        if matches!(origin, RequestOrigin::Peer(_)) {
            takeover::add_result(&mut answer);
        }
        record_refusal(&state, &log.record, &answer);
        log.record_answer(&answer);
        answer
    }
}

/// Records whether a request that a configuration allows was refused.
fn record_refusal(state: &State, record: &RequestRecord, answer: &Answer) {
    let is_refused = record.attempts == 0
        && matches!(
            answer.status,
            StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::GATEWAY_TIMEOUT
        );
    if is_refused || record.attempts > 0 {
        let mut refusals = state.refusals.borrow_mut();
        refusals.record(state.now(), is_refused);
    }
}

async fn process(
    state: &Rc<State>,
    mut request: CallerRequest,
    origin: RequestOrigin,
    order: impl PipelineOrder,
    record: &mut RequestRecord,
) -> Answer {
    let terms = match origin {
        RequestOrigin::Caller => None,
        RequestOrigin::Peer(from) => match takeover::accept(state, &mut request.headers, from) {
            Ok(terms) => Some(terms),
            Err(error) => return error.answer(),
        },
    };
    let time_left = caller_time_left(state, &request.headers);
    record.time_left = time_left;
    let Some(table) = state.routing() else {
        return no_configuration();
    };
    record.version = table.version();
    let host = header_text(&request.headers, &header::HOST);
    let Some(route) = table.route(host, &request.target).cloned() else {
        return Answer::own(StatusCode::NOT_FOUND, "no-route");
    };
    record.route = route.name.to_string();
    let key = request.headers.get(&state.dialect.key);
    let workspace = match table.caller(&route, key.map(HeaderValue::as_bytes)) {
        Caller::Unknown => return Answer::own(StatusCode::UNAUTHORIZED, "unknown-key"),
        Caller::Anonymous => None,
        Caller::Workspace(workspace) => Some(workspace),
    };
    if let Some(workspace) = &workspace {
        record.workspace = workspace.name.to_string();
    }
    if terms.is_some() && !home_regions(state, &route, workspace.as_deref()).allows_host() {
        return TakeoverError::Declined.answer();
    }
    if !route.is_idempotent {
        order.wait_for_earlier_answers().await;
    }
    let deadline = request.receipt.received_at + time_limit(&route, time_left);
    if !state.allows_attempt(deadline, expected_latency(state, &route)) {
        return state.stop_refusal();
    }
    let fingerprint = fingerprint(&request, workspace.as_deref());
    if state
        .crash_ledger
        .borrow()
        .is_quarantined(state.now(), fingerprint)
    {
        return Answer::refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "quarantined",
            DEFAULT_TIME_LEFT,
        );
    }
    // The peer that has passed the request on has admitted it.
    let is_admitted = terms.is_some();
    if !is_admitted && let Some(refusal) = admit(state, workspace.as_deref(), record) {
        return refusal;
    }
    let Some(service) = pick_service(state, &route) else {
        return Answer::own(StatusCode::BAD_GATEWAY, "no-service");
    };
    if !is_admitted {
        let mut budget = state.retry_budget.borrow_mut();
        budget.record_request(state.now(), &service);
    }
    let priority = workspace
        .as_ref()
        .and_then(|workspace| workspace.priority)
        .unwrap_or(route.priority);
    let outbound = prepare_outbound(
        state,
        request,
        workspace.as_deref(),
        &route,
        service,
        fingerprint,
    );
    let dispatch = Dispatch::new(state, &route, outbound, deadline, priority, terms);
    // The attempts of a request that is dropped count, too.
    let mut dispatch = guard(dispatch, |dispatch| {
        record.attempts = dispatch.attempt_count();
    });
    if !is_admitted && let Some(workspace) = &workspace {
        dispatch.apply_share(&workspace.name);
    }
    let answer = dispatch.run().await;
    drop(dispatch);
    if record.attempts == 0
        && !is_admitted
        && let Some(workspace) = &workspace
    {
        state.limits.borrow_mut().refund(&workspace.name);
        let mut shares = state.fair_shares.borrow_mut();
        shares.record_refund(state.now(), &workspace.name);
    }
    answer
}

/// Returns the refusal of a request that is refused whatever its body is.
pub(crate) fn refuse_unread(
    state: &State,
    headers: &HeaderMap,
    target: &str,
    origin: RequestOrigin,
) -> Option<Answer> {
    if let RequestOrigin::Peer(from) = origin
        && let Err(error) = takeover::check(state, headers, from)
    {
        return Some(error.answer());
    }
    let Some(table) = state.routing() else {
        return Some(no_configuration());
    };
    let host = header_text(headers, &header::HOST);
    let Some(route) = table.route(host, target) else {
        return Some(Answer::own(StatusCode::NOT_FOUND, "no-route"));
    };
    let key = headers.get(&state.dialect.key);
    let caller = table.caller(route, key.map(HeaderValue::as_bytes));
    matches!(caller, Caller::Unknown).then(|| Answer::own(StatusCode::UNAUTHORIZED, "unknown-key"))
}

/// Logs a request that was refused before it was read whole.
pub(crate) fn log_refusal(
    state: &Rc<State>,
    headers: &HeaderMap,
    receipt: &Receipt,
    answer: &Answer,
) {
    let request_id = request_id(state, headers).to_owned();
    let mut log = RequestLog::start(state, request_id, receipt);
    log.record.time_left = caller_time_left(state, headers);
    log.record_answer(answer);
}

/// Returns the id of a request; empty if it has none.
pub(crate) fn request_id<'a>(state: &State, headers: &'a HeaderMap) -> &'a str {
    header_text(headers, &state.dialect.request_id)
}

fn no_configuration() -> Answer {
    Answer::refusal(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-configuration",
        UNREADY_RETRY_AFTER,
    )
}

/// Returns the refusal of a request that would be refused on arrival, as the host stops.
pub(crate) fn refuse_for_stop(state: &State, headers: &HeaderMap, target: &str) -> Option<Answer> {
    let table = state.routing()?;
    let route = table.route(header_text(headers, &header::HOST), target)?;
    let time_limit = time_limit(route, caller_time_left(state, headers));
    let deadline = state.now() + time_limit;
    let is_refused = !state.allows_attempt(deadline, expected_latency(state, route));
    is_refused.then(|| state.stop_refusal())
}

/// Returns how long the caller waits.
fn caller_time_left(state: &State, headers: &HeaderMap) -> Duration {
    let time_left = header_text(headers, &state.dialect.time_left_ms)
        .parse()
        .ok();
    let time_left = time_left.map_or(DEFAULT_TIME_LEFT, Duration::from_millis);
    time_left.min(MAX_TIME_LEFT)
}

/// Returns the time within which a request must be answered.
fn time_limit(route: &Route, caller_time_left: Duration) -> Duration {
    let caller_time_left = caller_time_left.saturating_sub(ANSWER_MARGIN);
    route
        .timeout
        .map_or(caller_time_left, |timeout| timeout.min(caller_time_left))
}

fn admit(
    state: &State,
    workspace: Option<&WorkspacePolicy>,
    record: &mut RequestRecord,
) -> Option<Answer> {
    let workspace = workspace?;
    let view = state.fleet_view();
    let admitted = state
        .limits
        .borrow_mut()
        .admit(state.now(), &workspace.name, view);
    match admitted {
        Ok(admitted) => {
            if admitted.is_running_low {
                state.outbox.report_admissions_soon();
            }
            None
        }
        Err(error) => {
            record.tokens = Some(error.tokens);
            let status = StatusCode::TOO_MANY_REQUESTS;
            Some(Answer::refusal(status, "over-rate", error.retry_after))
        }
    }
}

fn pick_service(state: &State, route: &Route) -> Option<ServiceName> {
    if let [only] = route.split.as_slice() {
        return Some(only.service.clone());
    }
    let mut split_pickers = state.split_pickers.borrow_mut();
    let split_picker = split_pickers
        .entry(route.name.clone())
        .or_insert_with(|| SplitPicker::new(route, &mut state.rng.borrow_mut()));
    split_picker.pick(route)
}

/// Returns a hash of the caller and the content, which is the same when the
/// caller sends the request again.
fn fingerprint(request: &CallerRequest, workspace: Option<&WorkspacePolicy>) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(
        workspace
            .map_or("", |workspace| workspace.name.as_str())
            .as_bytes(),
    );
    hasher.update(request.method.as_str().as_bytes());
    hasher.update(header_text(&request.headers, &header::HOST).as_bytes());
    hasher.update(request.target.as_bytes());
    for piece in request.body.pieces() {
        hasher.update(piece);
    }
    hasher.digest()
}

fn prepare_outbound(
    state: &State,
    request: CallerRequest,
    workspace: Option<&WorkspacePolicy>,
    route: &Route,
    service: ServiceName,
    fingerprint: u64,
) -> OutboundRequest {
    let dialect = &state.dialect;
    let request_id = request_id(state, &request.headers).to_owned();
    let mut headers = request.headers;
    let key = headers.get(&dialect.key).cloned();
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
    OutboundRequest {
        request_id,
        method: request.method,
        target: request.target,
        headers,
        key,
        body: request.body,
        answer_memory: request.answer_memory,
        is_idempotent: route.is_idempotent,
        fingerprint,
        expected_latency: expected_latency(state, route),
        service,
        home_regions: home_regions(state, route, workspace),
    }
}

/// Returns the smoothed latency of a route's requests.
fn expected_latency(state: &State, route: &Route) -> Duration {
    let route_latencies = state.route_latencies.borrow();
    let measured = route_latencies.get(&route.name).copied();
    measured.unwrap_or_else(|| route.latency_target.mul_f64(INITIAL_LATENCY_SHARE))
}

/// Returns where a request may be processed.
fn home_regions(state: &State, route: &Route, workspace: Option<&WorkspacePolicy>) -> HomeRegions {
    let workspace = workspace.map(|workspace| workspace.home_regions.as_slice());
    let workspace = workspace.unwrap_or_default();
    HomeRegions::new(&route.home_regions, workspace, &state.regions)
}

/// Returns a header as text; empty if it is absent or not text.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}
