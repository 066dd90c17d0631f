//! The log line and the metrics of one request.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::answer::Answer;
use crate::journal::{Arrival, Event};
use crate::state::{Phase, State};
use crate::units::millis;

/// Requests whose bytes arrive within this time are logged without it.
const MIN_LOGGED_READ_TIME: Duration = Duration::from_millis(100);

/// How a request arrived.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Receipt {
    /// When its last byte was read, or it was refused.
    pub(crate) received_at: Instant,
    /// The time from its first byte to its last.
    pub(crate) read_time: Duration,
    /// Unanswered requests that were read before it on its connection.
    pub(crate) ahead: usize,
}

/// The fields of a request's log record that are known while it is handled.
#[derive(Debug, Default)]
pub(crate) struct RequestRecord {
    pub(crate) route: String,
    pub(crate) workspace: String,
    pub(crate) version: u64,
    pub(crate) attempts: usize,
    pub(crate) tokens: Option<f64>,
    pub(crate) time_left: Duration,
}

/// Writes the log record and the metrics of a request once: with its answer, or on drop,
/// so that a request without an answer is logged, too.
pub(crate) struct RequestLog {
    state: Rc<State>,
    request_id: String,
    received_at: Instant,
    arrival: Arrival,
    pub(crate) record: RequestRecord,
    is_written: bool,
}

impl RequestLog {
    /// Starts the record of a request that was read, or is refused before its end.
    pub(crate) fn start(state: &Rc<State>, request_id: String, receipt: &Receipt) -> Self {
        Self {
            state: state.clone(),
            request_id,
            received_at: receipt.received_at,
            arrival: arrival(state, receipt),
            record: RequestRecord::default(),
            is_written: false,
        }
    }

    /// Writes the record of a request that is answered.
    pub(crate) fn record_answer(mut self, answer: &Answer) {
        self.write(answer.status.as_u16(), answer.outcome);
    }

    fn write(&mut self, status: u16, outcome: &str) {
        self.is_written = true;
        let record = &self.record;
        let took = self.state.now().saturating_duration_since(self.received_at);
        self.state
            .metrics
            .record_request(&record.route, outcome, took);
        self.state.journal.write(&Event::Request {
            request: &self.request_id,
            route: &record.route,
            workspace: &record.workspace,
            version: record.version,
            status,
            outcome,
            attempts: record.attempts,
            took_ms: millis(took),
            left_ms: millis(record.time_left.saturating_sub(took)),
            tokens: record.tokens,
            arrival: std::mem::take(&mut self.arrival),
        });
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.is_written {
            return;
        }
        let is_cut = self.state.has_stopped.get();
        self.write(0, if is_cut { "cut" } else { "abandoned" });
    }
}

fn arrival(state: &State, receipt: &Receipt) -> Arrival {
    let phase = Some(state.phase()).filter(|phase| *phase > Phase::Serving);
    let plan = state.stop_plan.get();
    let since_stop = plan.map(|plan| receipt.received_at.saturating_duration_since(plan.began_at));
    let read_time = Some(receipt.read_time).filter(|time| *time > MIN_LOGGED_READ_TIME);
    Arrival {
        phase: phase.map(|phase| phase.as_str().into()),
        since_stop_ms: since_stop.map(millis),
        read_ms: read_time.map(millis),
        ahead: Some(receipt.ahead).filter(|ahead| *ahead > 0),
    }
}
