//! Runs one attempt of a request at one instance and classifies its outcome.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use waxwingusher_core::{InstanceId, ServiceName};
use waxwingusher_upstreams::{Observation, Placement, RateLimit, RateLimitChange};

use crate::answer::Answer;
use crate::body::Body;
use crate::feed::{self, ChangeSource};
use crate::home_regions::HomeRegions;
use crate::in_flight::InFlightGuard;
use crate::journal::Event;
use crate::metrics::TrafficScope;
use crate::ports::Dialect;
use crate::resources::AnswerMemory;
use crate::state::State;
use crate::units::{header_value, millis, to_hundredths};
use crate::upstream::{Call, CallError, InstanceAnswer};

/// An attempt that takes this many times the route's expected latency counts
/// against its instance; about one in fifty of the users' requests takes so long.
const OVERDUE_FACTOR: u32 = 4;
/// The shortest time after which an attempt counts against its instance.
const MIN_OVERDUE_AFTER: Duration = Duration::from_millis(300);

/// The longest time for which an instance may ask for no requests.
const MAX_BACK_OFF: Duration = Duration::from_secs(10 * 60);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The instance confirms that it ran the request.
    Answered(InstanceAnswer),
    /// The instance ran the request and answered with a server error.
    Failed(InstanceAnswer),
    /// The instance did not run the request and will not run it.
    NotRun(NotRun),
    /// There is no usable answer; the instance may have run the request.
    AnswerLost(AnswerLoss),
    /// A peer has taken over the request, and this is its answer.
    TakenOver(Answer),
}

/// Why a request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// No connection could be opened.
    Unreachable,
    /// The instance was at its in-flight limit, or the request's time had
    /// expired.
    Refused,
    /// Another instance now has the address.
    Misdirected,
    /// No peer takes over the request.
    Declined,
    /// This host has too many connections open.
    NoSocket,
}

/// Why an answer is not usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerLoss {
    /// The connection closed before an answer arrived.
    Broken,
    /// The answer is truncated, or longer than is read.
    Partial,
    /// The answer carries the id of another request, or none on a connection that was in use
    /// before: the instance may have repeated an earlier answer.
    Crossed,
    /// The answer does not come from the instance itself, or its status is no final one.
    Foreign,
    /// This host had no memory for the answer.
    NoMemory,
}

/// A request as every attempt sends it.
#[derive(Debug, Clone)]
pub(crate) struct OutboundRequest {
    pub(crate) request_id: String,
    pub(crate) method: Method,
    pub(crate) target: String,
    /// The headers for the instance, without those that differ between attempts.
    pub(crate) headers: HeaderMap,
    /// The caller's key, which is sent to no instance, but to a peer that takes over the
    /// request.
    pub(crate) key: Option<HeaderValue>,
    pub(crate) body: Body,
    pub(crate) answer_memory: Rc<AnswerMemory>,
    pub(crate) is_idempotent: bool,
    pub(crate) fingerprint: u64,
    /// The smoothed latency of the route's requests.
    pub(crate) expected_latency: Duration,
    pub(crate) service: ServiceName,
    /// Where the request may be processed.
    pub(crate) home_regions: HomeRegions,
}

impl OutboundRequest {
    /// Returns how long an attempt may take before it counts against its
    /// instance.
    pub(crate) fn overdue_after(&self) -> Duration {
        (self.expected_latency * OVERDUE_FACTOR).max(MIN_OVERDUE_AFTER)
    }
}

/// Sends a request to an instance, on an idle connection if it may reuse one, and records
/// the observation of the instance.
pub(crate) async fn run_attempt(
    state: &Rc<State>,
    request: &OutboundRequest,
    placement: &Placement,
    number: usize,
    time_left: Duration,
    may_reuse: bool,
) -> AttemptOutcome {
    let entry = &placement.instance.entry;
    let mut headers = request.headers.clone();
    let dialect = &state.dialect;
    headers.insert(
        dialect.time_left_ms.clone(),
        header_value(&time_left.as_millis().to_string()),
    );
    headers.insert(
        dialect.expected_instance.clone(),
        header_value(entry.id.as_str()),
    );
    // Without an id, a repeated answer could pass for that of a later request.
    let may_reuse = may_reuse && !request.request_id.is_empty();
    let call = Call {
        addr: entry.addr,
        method: request.method.clone(),
        target: request.target.clone(),
        headers,
        body: request.body.clone(),
        answer_memory: request.answer_memory.clone(),
        reuse_as: may_reuse.then(|| request.request_id.clone()),
    };
    let scope = TrafficScope::from_is_local(entry.failure_domain == state.failure_domain);
    let metrics = &state.metrics;
    metrics.record_instance_bytes("request", scope, call.bytes());
    let guard = InFlightGuard::start(state, &entry.id);
    let mut record = AttemptRecord::start(state, request, placement, number);
    let max_connections = state.resources.limits().max_instance_connections();
    let call = state.pool.call(call, max_connections);
    let result = await_call(call, &guard, request).await;
    let (result, connection) = match result {
        Ok(completed) => (Ok(completed.answer), completed.connection),
        Err(error) => (Err(error), None),
    };
    if let Ok(answer) = &result {
        metrics.record_instance_bytes("answer", scope, answer.bytes());
    }
    record_path(state, &entry.id, &result);
    let notice = InstanceNotice::of(&state.dialect, &result);
    let outcome = classify(state, &request.request_id, result);
    record.outcome = outcome.label();
    match (connection, &outcome) {
        (Some(connection), AttemptOutcome::Answered(_) | AttemptOutcome::Failed(_)) => {
            state.pool.keep(connection);
        }
        (Some(connection), AttemptOutcome::NotRun(NotRun::Refused)) => {
            let id = &request.request_id;
            state.pool.keep_after_refusal(connection, id);
        }
        _ => {}
    }
    guard.finish(observation(
        &outcome,
        record.took(),
        request.expected_latency,
    ));
    apply_outcome(state, request, placement, &outcome);
    if outcome.is_from_instance() {
        apply_notice(state, placement, &notice);
    }
    outcome
}

/// Records what a call shows about this host's paths to instances. An answer on a
/// connection that was open before shows nothing about new ones.
fn record_path(state: &State, id: &InstanceId, result: &Result<InstanceAnswer, CallError>) {
    match result {
        Ok(answer) if answer.is_connection_new => state.record_open_path(),
        Err(CallError::Connect(_) | CallError::ConnectTimeout) => state.record_unreachable(id),
        _ => {}
    }
}

/// What an instance says about itself in the head of an answer.
#[derive(Debug, Default)]
struct InstanceNotice {
    /// It leaves and wants no more requests.
    is_leaving: bool,
    /// For how long it wants no requests from this host, as it wrote it.
    retry_after: Option<String>,
    /// The rate that it takes from all hosts together, as it wrote it.
    rate_limit: Option<String>,
    /// Whether the answer is certainly its own, so that it shows that no limit holds.
    is_authentic: bool,
}

impl InstanceNotice {
    fn of(dialect: &Dialect, result: &Result<InstanceAnswer, CallError>) -> Self {
        let Ok(answer) = result else {
            return Self::default();
        };
        let leaving = answer.headers.get(&dialect.leaving);
        let is_refusal = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = answer.headers.get(header::RETRY_AFTER);
        let retry_after = retry_after.filter(|_| is_refusal);
        let rate_limit = answer.headers.get(&dialect.rate_limit);
        let to_text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into();
        Self {
            is_leaving: leaving.is_some_and(|value| value.as_bytes() == b"1"),
            retry_after: retry_after.map(to_text),
            rate_limit: rate_limit.map(to_text),
            is_authentic: answer.headers.contains_key(&dialect.proof)
                || answer.headers.contains_key(&dialect.not_run),
        }
    }
}

/// Parses a `Retry-After` in seconds, which may have a fraction. Returns `None` for
/// what is no number, negative or longer than [`MAX_BACK_OFF`].
fn parse_back_off(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let time = Duration::try_from_secs_f64(seconds).ok()?;
    (time <= MAX_BACK_OFF).then_some(time)
}

fn apply_notice(state: &State, placement: &Placement, notice: &InstanceNotice) {
    let entry = &placement.instance.entry;
    if notice.is_leaving {
        state.report_leaving(&entry.id, entry.incarnation);
    }
    apply_rate_limit(state, &entry.id, notice);
    let Some(text) = &notice.retry_after else {
        return;
    };
    let Some(time) = parse_back_off(text) else {
        let id = &entry.id;
        log::warn!("gateway: Instance {id} sent an unusable Retry-After: `{text}`.");
        return;
    };
    let mut evidence = state.evidence.borrow_mut();
    evidence.record_back_off(state.now(), &entry.id, time);
    state.journal.write(&Event::BackOff {
        instance: entry.id.as_str(),
        time_ms: millis(time),
    });
}

/// Records the limit that an answer names, or that it names none.
fn apply_rate_limit(state: &State, id: &InstanceId, notice: &InstanceNotice) {
    let Some(text) = &notice.rate_limit else {
        if notice.is_authentic {
            state.report_rate_limit(id, RateLimitChange::Lifted);
        }
        return;
    };
    match RateLimit::parse(text) {
        Ok(limit) => state.report_rate_limit(id, RateLimitChange::Named(limit)),
        Err(error) => {
            log::warn!("gateway: Instance {id} sent an unusable rate limit `{text}`: {error}.");
        }
    }
}

/// Writes the log record of an attempt on drop, so that an abandoned attempt is
/// logged, too.
struct AttemptRecord<'a> {
    state: &'a State,
    request: &'a OutboundRequest,
    placement: &'a Placement,
    number: usize,
    started: Instant,
    /// The time since the feed had answered as the attempt began.
    feed_age: Option<Duration>,
    outcome: &'static str,
}

impl<'a> AttemptRecord<'a> {
    fn start(
        state: &'a State,
        request: &'a OutboundRequest,
        placement: &'a Placement,
        number: usize,
    ) -> Self {
        let started = state.now();
        Self {
            state,
            request,
            placement,
            number,
            started,
            feed_age: state.feed.borrow().answer_age(started),
            outcome: "abandoned",
        }
    }

    fn took(&self) -> Duration {
        self.state.now().saturating_duration_since(self.started)
    }
}

impl Drop for AttemptRecord<'_> {
    fn drop(&mut self) {
        let took = self.took();
        let health = &self.placement.health;
        let updated_at = self.placement.instance.updated_at;
        let entry_age = self.started.saturating_duration_since(updated_at);
        let service = self.request.service.as_str();
        self.state
            .metrics
            .record_attempt(service, self.outcome, took);
        self.state.journal.write(&Event::Attempt {
            request: &self.request.request_id,
            number: self.number,
            instance: self.placement.instance.entry.id.as_str(),
            choice: self.placement.reason.as_str(),
            risk: to_hundredths(health.risk),
            load: health.in_flight,
            outcome_age_ms: health.outcome_age.map(millis),
            attempt_age_ms: health.attempt_age.map(millis),
            slowness: to_hundredths(health.slowness),
            entry_age_ms: millis(entry_age),
            feed_age_ms: self.feed_age.map(millis),
            outcome: self.outcome,
            took_ms: millis(took),
        });
    }
}

/// Waits for a call and reports it as overdue once it exceeds the request's
/// limit.
async fn await_call<T>(
    call: impl Future<Output = T>,
    guard: &InFlightGuard,
    request: &OutboundRequest,
) -> T {
    let overdue_after = request.overdue_after();
    let mut call = std::pin::pin!(call);
    if let Ok(result) = tokio::time::timeout(overdue_after, &mut call).await {
        return result;
    }
    guard.report_overdue();
    call.await
}

impl From<CallError> for AttemptOutcome {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotFinal(_) => Self::AnswerLost(AnswerLoss::Foreign),
            CallError::NoSocket => Self::NotRun(NotRun::NoSocket),
            CallError::NoMemory(_) | CallError::Allocation(_) => {
                Self::AnswerLost(AnswerLoss::NoMemory)
            }
            error if !error.may_have_run() => Self::NotRun(NotRun::Unreachable),
            CallError::Partial(_) | CallError::TooLarge => Self::AnswerLost(AnswerLoss::Partial),
            _ => Self::AnswerLost(AnswerLoss::Broken),
        }
    }
}

impl AttemptOutcome {
    /// Reports whether the answer comes from the instance that the request was sent
    /// to.
    fn is_from_instance(&self) -> bool {
        matches!(
            self,
            Self::Answered(_) | Self::Failed(_) | Self::NotRun(NotRun::Refused)
        )
    }

    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::NotRun(NotRun::Unreachable) => "unreachable",
            Self::NotRun(NotRun::Refused) => "refused",
            Self::NotRun(NotRun::Misdirected) => "misdirected",
            Self::NotRun(NotRun::Declined) => "declined",
            Self::NotRun(NotRun::NoSocket) => "no-socket",
            Self::TakenOver(_) => "taken-over",
            Self::AnswerLost(AnswerLoss::Broken) => "broken",
            Self::AnswerLost(AnswerLoss::Partial) => "partial",
            Self::AnswerLost(AnswerLoss::Crossed) => "crossed",
            Self::AnswerLost(AnswerLoss::Foreign) => "foreign",
            Self::AnswerLost(AnswerLoss::NoMemory) => "no-memory",
        }
    }
}

/// Derives the outcome of an attempt from the result of its call.
fn classify(
    state: &State,
    request_id: &str,
    result: Result<InstanceAnswer, CallError>,
) -> AttemptOutcome {
    let answer = match result {
        Ok(answer) => answer,
        Err(error) => return error.into(),
    };
    let dialect = &state.dialect;
    let echoed = answer.headers.get(&dialect.request_id);
    let is_own = echoed.map_or(answer.is_connection_new, |echoed| {
        echoed.as_bytes() == request_id.as_bytes()
    });
    if !is_own {
        return AttemptOutcome::AnswerLost(AnswerLoss::Crossed);
    }
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptOutcome::NotRun(NotRun::Misdirected);
    }
    if answer.headers.contains_key(&dialect.not_run) {
        return AttemptOutcome::NotRun(NotRun::Refused);
    }
    let is_encoded = answer.headers.contains_key(header::CONTENT_ENCODING);
    let has_proof = answer.headers.contains_key(&dialect.proof);
    if is_encoded || (answer.status.is_success() && (!has_proof || echoed.is_none())) {
        return AttemptOutcome::AnswerLost(AnswerLoss::Foreign);
    }
    if answer.status.is_server_error() {
        return AttemptOutcome::Failed(answer);
    }
    AttemptOutcome::Answered(answer)
}

/// Returns what an outcome shows about the instance.
fn observation(
    outcome: &AttemptOutcome,
    took: Duration,
    expected_latency: Duration,
) -> Observation {
    match outcome {
        AttemptOutcome::Answered(answer) if answer.status.is_success() => Observation::Success {
            slowness: took.as_secs_f64() / expected_latency.as_secs_f64().max(0.001),
        },
        AttemptOutcome::Answered(_) => Observation::Inconclusive,
        AttemptOutcome::AnswerLost(AnswerLoss::NoMemory) => Observation::Inconclusive,
        AttemptOutcome::Failed(_) | AttemptOutcome::AnswerLost(_) => Observation::Failure,
        AttemptOutcome::NotRun(NotRun::Unreachable) => Observation::Unreachable,
        AttemptOutcome::NotRun(NotRun::Refused) => Observation::Full,
        AttemptOutcome::NotRun(NotRun::Misdirected | NotRun::Declined | NotRun::NoSocket)
        | AttemptOutcome::TakenOver(_) => Observation::Inconclusive,
    }
}

fn apply_outcome(
    state: &State,
    request: &OutboundRequest,
    placement: &Placement,
    outcome: &AttemptOutcome,
) {
    let id = &placement.instance.entry.id;
    match outcome {
        AttemptOutcome::NotRun(NotRun::Misdirected) => {
            feed::log_instance(state, id, "disowned", ChangeSource::Answer);
            state.disown(id);
        }
        AttemptOutcome::AnswerLost(AnswerLoss::Broken) => {
            state.record_crash(request.fingerprint, id);
        }
        AttemptOutcome::Answered(_) => state.crash_ledger.borrow_mut().clear(request.fingerprint),
        _ => {}
    }
}
