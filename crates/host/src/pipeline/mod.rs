//! Processes one admitted request: spends its token, obtains its permission to
//! run, forwards it to instances, and relays the answer.

mod dispatch;
mod dispatch_check;
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
use crate::crash_quarantine::Fingerprint;
use crate::refusal;
use crate::shared_limiter::SpentToken;
use crate::state::HostState;

pub(crate) use relay::replayed_answer;

/// An admitted request and the reply that its answer goes to.
pub(crate) struct Job {
    pub(crate) exchange: Exchange,
    pub(crate) admitted: Admitted,
}

impl Job {
    /// Returns the class under which the work queue accounts the request.
    pub(crate) fn class(&self) -> RequestClass {
        RequestClass {
            workspace: self.admitted.principal.workspace.clone(),
            service: self.admitted.route.service.clone(),
            weight: self.admitted.principal.weight,
        }
    }
}

/// A request in the pipeline.
pub(crate) struct RequestContext<'a> {
    pub(crate) state: &'a Arc<HostState>,
    pub(crate) client: &'a UpstreamClient,
    pub(crate) request: &'a CallerRequest,
    pub(crate) admitted: &'a Admitted,
    pub(crate) token: Cell<SpentToken>,
    pub(crate) ticket: Option<AttemptTicket>,
    pub(crate) fingerprint: Fingerprint,
}

/// Processes a request until its caller has the answer.
pub(crate) fn run(state: &Arc<HostState>, client: &UpstreamClient, job: Job) {
    let Job { exchange, admitted } = job;
    let Exchange { request, reply } = exchange;
    let lifecycle = Request::<Received>::new();
    if !state.may_start(&admitted.route.service, admitted.deadline) {
        let refusal = lifecycle.refuse(RefusalReason::Draining);
        return refuse(state, &request, &admitted, reply, refusal);
    }
    // At the end of a stop the edge cancels requests whose callers still wait.
    if request.cancel.is_cancelled() && !state.are_last_answers_due() {
        return;
    }
    let now = state.clock.now();
    if now >= admitted.deadline {
        let refusal = lifecycle.refuse(RefusalReason::DeadlineExceeded);
        return refuse(state, &request, &admitted, reply, refusal);
    }
    let body = body_digest(&request);
    let fingerprint = Fingerprint::new(&admitted, &body);
    if state.quarantine.is_quarantined(fingerprint) {
        let refusal = lifecycle.refuse(RefusalReason::Quarantined);
        return refuse(state, &request, &admitted, reply, refusal);
    }
    let token = match spend_token(state, &request, &admitted) {
        Ok(token) => token,
        Err(reason) => return refuse(state, &request, &admitted, reply, lifecycle.refuse(reason)),
    };
    let ticket = match request_permission(state, &request, &admitted, body) {
        AttemptDecision::Unkeyed => None,
        AttemptDecision::Granted(ticket) => Some(ticket),
        AttemptDecision::FirstAnswer(answer) => {
            record_decision(state, &request, "answered with the first attempt's answer");
            return reply.send(replayed_answer(&answer));
        }
        AttemptDecision::Refused(reason) => {
            return refuse(state, &request, &admitted, reply, lifecycle.refuse(reason));
        }
    };
    let context = RequestContext {
        state,
        client,
        request: &request,
        admitted: &admitted,
        token: Cell::new(token),
        ticket,
        fingerprint,
    };
    context.dispatch(lifecycle.admit(), reply);
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
    let workspace = &admitted.principal.workspace;
    let code = refusal.reason().code();
    let outcome = refusal.outcome();
    let now: Instant = state.clock.now();
    let after_ms = now
        .saturating_duration_since(request.received_at)
        .as_millis();
    let text = format!(
        "route {route}, workspace {workspace}, refused after {after_ms} ms: {code}, {outcome}"
    );
    record_decision(state, request, &text);
    state.metrics.count(&format!("refused.{code}"));
    reply.send(refusal::answer(refusal, request.id));
}

/// Records and logs a decision on a request.
pub(crate) fn record_decision(state: &HostState, request: &CallerRequest, text: &str) {
    let id = request.id.to_string();
    state.decisions.record(&id, state.clock.wall(), text);
}

fn spend_token(
    state: &HostState,
    request: &CallerRequest,
    admitted: &Admitted,
) -> Result<SpentToken, RefusalReason> {
    let limit = &admitted.principal.limit;
    let deadline = state.work_ends_at(admitted.deadline);
    let spent = state.limits.spend(limit, deadline, &state.peers);
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

enum AttemptDecision {
    Unkeyed,
    Granted(AttemptTicket),
    FirstAnswer(StoredAnswer),
    Refused(RefusalReason),
}

/// Obtains permission for an operation that must run at most once.
fn request_permission(
    state: &HostState,
    request: &CallerRequest,
    admitted: &Admitted,
    body_digest: BodyDigest,
) -> AttemptDecision {
    let is_idempotent = admitted.route.is_idempotent(request.method.as_str());
    let Some(key) = admitted.idempotency_key.as_ref().filter(|_| !is_idempotent) else {
        return AttemptDecision::Unkeyed;
    };
    let attempt = AttemptRequest {
        workspace: admitted.principal.workspace.clone(),
        idempotency_key: key.clone(),
        body_digest,
        deadline: state.work_ends_at(admitted.deadline),
    };
    let (ticket, permission) = state.attempts.begin(&attempt, &state.peers);
    let reason = permission.refusal();
    match permission {
        Permission::Run => AttemptDecision::Granted(ticket),
        Permission::FirstAnswer(answer) => AttemptDecision::FirstAnswer(answer),
        Permission::Unknown(cause) => {
            log::info!("attempts: Request {}: unknown, {cause:?}.", request.id);
            AttemptDecision::Refused(RefusalReason::AttemptUnknown)
        }
        _ => AttemptDecision::Refused(reason.unwrap_or(RefusalReason::AttemptUnknown)),
    }
}

fn body_digest(request: &CallerRequest) -> BodyDigest {
    let target = request.target.as_str();
    BodyDigest::of_request(request.method.as_str(), target, &request.body)
}

impl RequestContext<'_> {
    /// Returns the time left for the request.
    pub(crate) fn time_left(&self) -> Duration {
        let now: Instant = self.state.clock.now();
        let ends_at = self.state.work_ends_at(self.admitted.deadline);
        ends_at.saturating_duration_since(now)
    }

    /// Spends a new token in place of one that has expired.
    pub(crate) fn renew_token(&self) -> Result<(), RefusalReason> {
        let token = spend_token(self.state, self.request, self.admitted)?;
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
