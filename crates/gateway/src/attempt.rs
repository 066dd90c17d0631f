//! One try of a request at one instance, and what its end means.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, header};
use waxwingusher_core::ServiceName;
use waxwingusher_upstreams::{Observation, Placement};

use crate::journal::Event;
use crate::state::{InFlightGuard, State};
use crate::upstream::{Call, CallError, InstanceAnswer};

/// A request that takes this many times the usual time counts against its
/// instance; of the users' requests about one in fifty takes so long.
const OVERDUE_FACTOR: u32 = 4;
/// No request counts against its instance sooner.
const MIN_OVERDUE_AFTER: Duration = Duration::from_millis(300);

/// How a try ended.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The instance ran the request and says so.
    Answered(InstanceAnswer),
    /// The instance ran the request and failed it.
    Failed(InstanceAnswer),
    /// The request has not run and will not.
    NotRun(NotRun),
    /// There is no usable answer; the request may have run.
    AnswerLost(AnswerLoss),
}

/// Why a request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// No connection could be opened.
    Unreachable,
    /// The instance was full, or the request's time was over.
    Refused,
    /// Another instance has the address.
    Misdirected,
}

/// Why an answer is not usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerLoss {
    /// The connection ended without an answer.
    Broken,
    /// The answer ended early.
    Partial,
    /// The answer belongs to another request.
    Crossed,
    /// The answer is not the instance's own.
    Foreign,
}

/// What all tries of a request send.
#[derive(Debug, Clone)]
pub(crate) struct OutboundRequest {
    pub(crate) request_id: String,
    pub(crate) method: Method,
    pub(crate) target: String,
    /// The headers for the instance, without those that differ between tries.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) is_idempotent: bool,
    pub(crate) fingerprint: u64,
    /// The usual time of such requests.
    pub(crate) expected_latency: Duration,
    pub(crate) service: ServiceName,
}

impl OutboundRequest {
    /// Returns how long a try may take before it counts against its instance.
    pub(crate) fn overdue_after(&self) -> Duration {
        (self.expected_latency * OVERDUE_FACTOR).max(MIN_OVERDUE_AFTER)
    }
}

/// Sends a request to an instance, and records what was seen of the instance.
pub(crate) async fn run_attempt(
    state: &Rc<State>,
    request: &OutboundRequest,
    placement: &Placement,
    number: usize,
    time_left: Duration,
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
    let call = Call {
        addr: entry.addr,
        method: request.method.clone(),
        target: request.target.clone(),
        headers,
        body: request.body.clone(),
        may_reuse: request.is_idempotent,
    };
    let guard = InFlightGuard::start(state, &entry.id);
    let mut record = AttemptRecord::start(state, request, placement, number);
    let result = await_call(state.pool.call(call), &guard, request).await;
    let outcome = classify(state, &request.request_id, result);
    record.outcome = outcome.label();
    guard.finish(observation(
        &outcome,
        record.took(),
        request.expected_latency,
    ));
    apply_outcome(state, request, placement, &outcome);
    outcome
}

/// Writes the log line of a try when it ends, also when its request is given up.
struct AttemptRecord<'a> {
    state: &'a State,
    request: &'a OutboundRequest,
    placement: &'a Placement,
    number: usize,
    started: Instant,
    outcome: &'static str,
}

impl<'a> AttemptRecord<'a> {
    fn start(
        state: &'a State,
        request: &'a OutboundRequest,
        placement: &'a Placement,
        number: usize,
    ) -> Self {
        Self {
            state,
            request,
            placement,
            number,
            started: state.now(),
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
        let service = self.request.service.as_str();
        self.state.metrics.attempt(service, self.outcome, took);
        self.state.journal.write(&Event::Attempt {
            request: &self.request.request_id,
            number: self.number,
            instance: self.placement.instance.entry.id.as_str(),
            risk: (health.risk * 100.0).round() / 100.0,
            load: health.in_flight,
            word_age_ms: health.outcome_age.map(millis),
            outcome: self.outcome,
            took_ms: millis(took),
        });
    }
}

/// Waits for a call, and tells when it takes suspiciously long.
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

impl AttemptOutcome {
    fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::NotRun(NotRun::Unreachable) => "unreachable",
            Self::NotRun(NotRun::Refused) => "refused",
            Self::NotRun(NotRun::Misdirected) => "misdirected",
            Self::AnswerLost(AnswerLoss::Broken) => "broken",
            Self::AnswerLost(AnswerLoss::Partial) => "partial",
            Self::AnswerLost(AnswerLoss::Crossed) => "crossed",
            Self::AnswerLost(AnswerLoss::Foreign) => "foreign",
        }
    }
}

/// Decides what the end of an exchange means for the request.
fn classify(
    state: &State,
    request_id: &str,
    result: Result<InstanceAnswer, CallError>,
) -> AttemptOutcome {
    let answer = match result {
        Ok(answer) => answer,
        Err(error) if !error.may_have_run() => return AttemptOutcome::NotRun(NotRun::Unreachable),
        Err(CallError::Partial(_)) => return AttemptOutcome::AnswerLost(AnswerLoss::Partial),
        Err(_) => return AttemptOutcome::AnswerLost(AnswerLoss::Broken),
    };
    let dialect = &state.dialect;
    let echoed = answer.headers.get(&dialect.request_id);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != request_id.as_bytes()) {
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

/// Says what the end tells of the instance.
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
        AttemptOutcome::Failed(_) | AttemptOutcome::AnswerLost(_) => Observation::Failure,
        AttemptOutcome::NotRun(NotRun::Unreachable) => Observation::Unreachable,
        AttemptOutcome::NotRun(NotRun::Refused) => Observation::Full,
        AttemptOutcome::NotRun(NotRun::Misdirected) => Observation::Inconclusive,
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
            state.disown(id);
            state.journal.write(&Event::Instance {
                instance: id.as_str(),
                change: "disowned",
                entry_age_ms: millis(
                    state
                        .now()
                        .saturating_duration_since(placement.instance.updated_at),
                ),
            });
        }
        AttemptOutcome::AnswerLost(AnswerLoss::Broken) => {
            state.record_crash(request.fingerprint, id);
        }
        AttemptOutcome::Answered(_) => state.crash_ledger.borrow_mut().clear(request.fingerprint),
        _ => {}
    }
}

/// Returns whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Makes a header value of text that holds visible ASCII only.
pub(crate) fn header_value(text: &str) -> http::HeaderValue {
    http::HeaderValue::from_str(text).unwrap_or_else(|_| http::HeaderValue::from_static(""))
}
