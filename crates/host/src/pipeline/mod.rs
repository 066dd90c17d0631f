//! The way of one admitted request: its token, its permission to run, the
//! instances that it is sent to, and the answer.

mod dispatch;
mod last_check;
mod relay;

use std::cell::Cell;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_attempts::lifecycle::{Received, Request};
use waxwingusher_attempts::refusal::{Refusal, RefusalReason};
use waxwingusher_attempts::{AttemptRequest, AttemptResult, AttemptTicket, Permission};
use waxwingusher_core::BodyDigest;
use waxwingusher_edge::{AnswerSender, CallerRequest, Exchange, UpstreamClient};
use waxwingusher_limits::RequestClass;
use waxwingusher_protocol::attempt::StoredAnswer;

use crate::admission::Admitted;
use crate::crash_guard::Fingerprint;
use crate::limit_desk::SpentToken;
use crate::refusal;
use crate::state::HostState;

pub(crate) use relay::from_stored;

/// An admitted request with the place for its answer.
pub(crate) struct Job {
    pub(crate) exchange: Exchange,
    pub(crate) admitted: Admitted,
}

impl Job {
    /// Returns what the work queue counts the request by.
    pub(crate) fn class(&self) -> RequestClass {
        RequestClass {
            workspace: self.admitted.party.workspace.clone(),
            service: self.admitted.route.service.clone(),
            weight: self.admitted.party.weight,
        }
    }
}

/// A request on its way through the pipeline.
pub(crate) struct Flow<'a> {
    pub(crate) state: &'a Arc<HostState>,
    pub(crate) client: &'a UpstreamClient,
    pub(crate) request: &'a CallerRequest,
    pub(crate) admitted: &'a Admitted,
    pub(crate) token: Cell<SpentToken>,
    pub(crate) ticket: Option<AttemptTicket>,
    pub(crate) fingerprint: Fingerprint,
}

/// Works on a request until its caller has the answer.
pub(crate) fn run(state: &Arc<HostState>, client: &UpstreamClient, job: Job) {
    let Job { exchange, admitted } = job;
    let Exchange { request, reply } = exchange;
    let life = Request::<Received>::new();
    if request.cancel.is_cancelled() {
        return;
    }
    let now = state.clock.now();
    if now >= admitted.deadline {
        let refusal = life.refuse(RefusalReason::DeadlineExceeded);
        return refuse(state, &request, &admitted, reply, refusal);
    }
    let body = body_digest(&request);
    let fingerprint = Fingerprint::new(&admitted, &body);
    if state.crashes.is_quarantined(fingerprint) {
        let refusal = life.refuse(RefusalReason::Quarantined);
        return refuse(state, &request, &admitted, reply, refusal);
    }
    let token = match spend(state, &request, &admitted) {
        Ok(token) => token,
        Err(reason) => return refuse(state, &request, &admitted, reply, life.refuse(reason)),
    };
    let ticket = match permission(state, &request, &admitted, body) {
        Permit::Unkeyed => None,
        Permit::Granted(ticket) => Some(ticket),
        Permit::FirstAnswer(answer) => {
            note(state, &request, "answered with the first attempt's answer");
            return reply.send(from_stored(&answer));
        }
        Permit::Refused(reason) => {
            return refuse(state, &request, &admitted, reply, life.refuse(reason));
        }
    };
    let flow = Flow {
        state,
        client,
        request: &request,
        admitted: &admitted,
        token: Cell::new(token),
        ticket,
        fingerprint,
    };
    flow.dispatch(life.admit(), reply);
}

/// Refuses a request with an answer, a log line and a metric.
pub(crate) fn refuse(
    state: &HostState,
    request: &CallerRequest,
    admitted: &Admitted,
    reply: AnswerSender,
    refusal: Refusal,
) {
    let route = &admitted.route.name;
    let workspace = &admitted.party.workspace;
    let code = refusal.reason().code();
    let outcome = refusal.outcome();
    let now: Instant = state.clock.now();
    let after_ms = now
        .saturating_duration_since(request.received_at)
        .as_millis();
    let text = format!(
        "route {route}, workspace {workspace}, refused after {after_ms} ms: {code}, {outcome}"
    );
    note(state, request, &text);
    state.metrics.count(&format!("refused.{code}"));
    reply.send(refusal::answer(refusal, request.id));
}

/// Keeps and logs a decision on a request.
pub(crate) fn note(state: &HostState, request: &CallerRequest, text: &str) {
    let id = request.id.to_string();
    state.decisions.record(&id, state.clock.wall(), text);
}

fn spend(
    state: &HostState,
    request: &CallerRequest,
    admitted: &Admitted,
) -> Result<SpentToken, RefusalReason> {
    let limit = &admitted.party.limit;
    let spent = state.limits.spend(limit, admitted.deadline, &state.peers);
    spent.map_err(|refused| {
        log::info!(
            "limits: Request {} of {limit}: {}.",
            request.id,
            refused.reason
        );
        RefusalReason::OverRate {
            retry_after: refused.retry_after,
        }
    })
}

enum Permit {
    Unkeyed,
    Granted(AttemptTicket),
    FirstAnswer(StoredAnswer),
    Refused(RefusalReason),
}

/// Asks the attempt records about an operation that must not repeat.
fn permission(
    state: &HostState,
    request: &CallerRequest,
    admitted: &Admitted,
    body_digest: BodyDigest,
) -> Permit {
    let is_idempotent = admitted.route.is_idempotent(request.method.as_str());
    let Some(key) = admitted.idempotency_key.as_ref().filter(|_| !is_idempotent) else {
        return Permit::Unkeyed;
    };
    let attempt = AttemptRequest {
        workspace: admitted.party.workspace.clone(),
        idempotency_key: key.clone(),
        body_digest,
        deadline: admitted.deadline,
    };
    let (ticket, permission) = state.attempts.begin(&attempt, &state.peers);
    let reason = permission.refusal();
    match permission {
        Permission::Run => Permit::Granted(ticket),
        Permission::FirstAnswer(answer) => Permit::FirstAnswer(answer),
        Permission::Unknown(cause) => {
            log::info!("attempts: Request {}: unknown, {cause:?}.", request.id);
            Permit::Refused(RefusalReason::AttemptUnknown)
        }
        _ => Permit::Refused(reason.unwrap_or(RefusalReason::AttemptUnknown)),
    }
}

fn body_digest(request: &CallerRequest) -> BodyDigest {
    let target = request.target.as_str();
    BodyDigest::of_request(request.method.as_str(), target, &request.body)
}

impl Flow<'_> {
    /// Returns the time left for the request.
    pub(crate) fn time_left(&self) -> Duration {
        let now: Instant = self.state.clock.now();
        self.admitted.deadline.saturating_duration_since(now)
    }

    /// Spends a new token in place of one that has expired.
    pub(crate) fn spend_again(&self) -> Result<(), RefusalReason> {
        let token = spend(self.state, self.request, self.admitted)?;
        self.token.set(token);
        Ok(())
    }

    /// Ends the attempt record, if the request has one.
    pub(crate) fn finish_attempt(&self, result: AttemptResult) {
        let Some(ticket) = self.ticket else {
            return;
        };
        self.state
            .attempts
            .finish(ticket, result, &self.state.peers);
    }

    /// Refuses the request and ends its attempt record accordingly.
    pub(crate) fn refuse(&self, reply: AnswerSender, refusal: Refusal) {
        let result = match refusal.outcome() {
            waxwingusher_attempts::Outcome::NotRun => AttemptResult::NotRun,
            waxwingusher_attempts::Outcome::Unknown => AttemptResult::Unknown,
        };
        self.finish_attempt(result);
        refuse(self.state, self.request, self.admitted, reply, refusal);
    }
}
