//! One try of a request at one instance, and what its end means.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, header};
use waxwingusher_core::ServiceName;
use waxwingusher_upstreams::{Observation, Placement};

use crate::journal::Event;
use crate::state::{Flight, State};
use crate::upstream::{Call, CallError, InstanceAnswer};

/// A request that takes this many times the usual time counts against its
/// instance; of the users' requests about one in fifty takes so long.
const OVERDUE_FACTOR: u32 = 4;
/// No request counts against its instance sooner.
const MIN_OVERDUE: Duration = Duration::from_millis(300);

/// How a try ended.
#[derive(Debug)]
pub(crate) enum TryEnd {
    /// The instance ran the request and says so.
    Answered(InstanceAnswer),
    /// The instance ran the request and failed it.
    Failed(InstanceAnswer),
    /// The request has not run and will not.
    NotRun(NotRun),
    /// There is no usable answer; the request may have run.
    Lost(Loss),
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
pub(crate) enum Loss {
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
pub(crate) struct Sent {
    pub(crate) request_id: String,
    pub(crate) method: Method,
    pub(crate) target: String,
    /// The headers for the instance, without those that differ between tries.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) is_idempotent: bool,
    pub(crate) fingerprint: u64,
    /// The usual time of such requests.
    pub(crate) usual_time: Duration,
    pub(crate) service: ServiceName,
}

impl Sent {
    /// Returns how long a try may take before it counts against its instance.
    pub(crate) fn overdue_after(&self) -> Duration {
        (self.usual_time * OVERDUE_FACTOR).max(MIN_OVERDUE)
    }
}

/// Sends a request to an instance, and records what was seen of the instance.
pub(crate) async fn try_instance(
    state: &Rc<State>,
    sent: &Sent,
    placement: &Placement,
    number: usize,
    time_left: Duration,
) -> TryEnd {
    let entry = &placement.instance.entry;
    let mut headers = sent.headers.clone();
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
        method: sent.method.clone(),
        target: sent.target.clone(),
        headers,
        body: sent.body.clone(),
        may_reuse: sent.is_idempotent,
    };
    let flight = Flight::begin(state, &entry.id);
    let mut record = Record::begin(state, sent, placement, number);
    let result = watch_call(state.pool.call(call), &flight, sent).await;
    let end = judge(state, &sent.request_id, result);
    record.outcome = end.name();
    flight.finish(observe(&end, record.took(), sent.usual_time));
    react(state, sent, placement, &end);
    end
}

/// Writes the log line of a try when it ends, also when its request is given up.
struct Record<'a> {
    state: &'a State,
    sent: &'a Sent,
    placement: &'a Placement,
    number: usize,
    started: Instant,
    outcome: &'static str,
}

impl<'a> Record<'a> {
    fn begin(state: &'a State, sent: &'a Sent, placement: &'a Placement, number: usize) -> Self {
        Self {
            state,
            sent,
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

impl Drop for Record<'_> {
    fn drop(&mut self) {
        let took = self.took();
        let health = &self.placement.health;
        let service = self.sent.service.as_str();
        self.state.metrics.attempt(service, self.outcome, took);
        self.state.journal.write(&Event::Attempt {
            request: &self.sent.request_id,
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
async fn watch_call<T>(call: impl Future<Output = T>, flight: &Flight, sent: &Sent) -> T {
    let overdue = sent.overdue_after();
    let mut call = std::pin::pin!(call);
    if let Ok(result) = tokio::time::timeout(overdue, &mut call).await {
        return result;
    }
    flight.overdue();
    call.await
}

impl TryEnd {
    fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::NotRun(NotRun::Unreachable) => "unreachable",
            Self::NotRun(NotRun::Refused) => "refused",
            Self::NotRun(NotRun::Misdirected) => "misdirected",
            Self::Lost(Loss::Broken) => "broken",
            Self::Lost(Loss::Partial) => "partial",
            Self::Lost(Loss::Crossed) => "crossed",
            Self::Lost(Loss::Foreign) => "foreign",
        }
    }
}

/// Decides what the end of an exchange means for the request.
fn judge(state: &State, request_id: &str, result: Result<InstanceAnswer, CallError>) -> TryEnd {
    let answer = match result {
        Ok(answer) => answer,
        Err(error) if !error.may_have_run() => return TryEnd::NotRun(NotRun::Unreachable),
        Err(CallError::Partial(_)) => return TryEnd::Lost(Loss::Partial),
        Err(_) => return TryEnd::Lost(Loss::Broken),
    };
    let dialect = &state.dialect;
    let echoed = answer.headers.get(&dialect.request_id);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != request_id.as_bytes()) {
        return TryEnd::Lost(Loss::Crossed);
    }
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        return TryEnd::NotRun(NotRun::Misdirected);
    }
    if answer.headers.contains_key(&dialect.not_run) {
        return TryEnd::NotRun(NotRun::Refused);
    }
    let is_encoded = answer.headers.contains_key(header::CONTENT_ENCODING);
    let has_proof = answer.headers.contains_key(&dialect.proof);
    if is_encoded || (answer.status.is_success() && (!has_proof || echoed.is_none())) {
        return TryEnd::Lost(Loss::Foreign);
    }
    if answer.status.is_server_error() {
        return TryEnd::Failed(answer);
    }
    TryEnd::Answered(answer)
}

/// Says what the end tells of the instance.
fn observe(end: &TryEnd, took: Duration, usual_time: Duration) -> Observation {
    match end {
        TryEnd::Answered(answer) if answer.status.is_success() => Observation::Success {
            slowness: took.as_secs_f64() / usual_time.as_secs_f64().max(0.001),
        },
        TryEnd::Answered(_) => Observation::Inconclusive,
        TryEnd::Failed(_) | TryEnd::Lost(_) => Observation::Failure,
        TryEnd::NotRun(NotRun::Unreachable) => Observation::Unreachable,
        TryEnd::NotRun(NotRun::Refused) => Observation::Full,
        TryEnd::NotRun(NotRun::Misdirected) => Observation::Inconclusive,
    }
}

fn react(state: &State, sent: &Sent, placement: &Placement, end: &TryEnd) {
    let id = &placement.instance.entry.id;
    match end {
        TryEnd::NotRun(NotRun::Misdirected) => {
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
        TryEnd::Lost(Loss::Broken) => state.note_crash(sent.fingerprint, id),
        TryEnd::Answered(_) => state.crashes.borrow_mut().clear(sent.fingerprint),
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
