//! Chooses instances and forwards the request until one answers or no further
//! attempt is allowed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_attempts::lifecycle::{Admitted as AdmittedState, Request};
use waxwingusher_attempts::refusal::{Refusal, RefusalReason, is_shed_response};
use waxwingusher_attempts::retry::RETRY_HEADER;
use waxwingusher_attempts::{FailedRequest, Idempotency, Origin, Outcome};
use waxwingusher_core::InstanceId;
use waxwingusher_edge::{
    AnswerSender, CallControl, UpstreamAnswer, UpstreamCall, UpstreamError, headers,
};
use waxwingusher_upstreams::{
    Blame, Choice, ChooseError, ChooseRequest, RequestOrigin, UpstreamResult,
};

use super::dispatch_check::{self, DispatchCheckError, DispatchRights};
use super::relay::{self, Relayed};
use super::{RequestContext, record_decision};

/// The most instances that one request is sent to.
const MAX_ATTEMPTS: usize = 3;
/// The most connections that instances may close during one request. A request
/// that crashes instances must not reach more of them.
const MAX_LOST_CONNECTIONS: u32 = 2;
/// The time that a retry is expected to take at least.
const MIN_RETRY_DURATION: Duration = Duration::from_millis(1);
/// How long a request waits while all instances are busy.
const MAX_BUSY_WAIT: Duration = Duration::from_millis(500);

/// How an attempt ended without an answer for the caller.
struct Failure {
    /// Whether the instance may have executed the request.
    may_have_run: bool,
    reason: RefusalReason,
    error: Option<UpstreamError>,
    check_error: Option<DispatchCheckError>,
}

/// How an attempt at one instance ended.
enum SendOutcome {
    /// The answer was relayed, completely or up to where the upstream or the
    /// caller stopped.
    Done,
    /// The caller has received nothing yet; the reply can still be used.
    Failed(AnswerSender, Failure),
}

impl RequestContext<'_> {
    /// Forwards the request until an instance answers or no further attempt is
    /// allowed.
    pub(crate) fn dispatch(&self, mut lifecycle: Request<AdmittedState>, mut reply: AnswerSender) {
        let mut tried: Vec<InstanceId> = Vec::new();
        let mut may_have_run = false;
        let mut lost_connections = 0;
        loop {
            let choice = match self.choose(&tried) {
                Ok(choice) => choice,
                Err(reason) => {
                    let refusal = end_unanswered(lifecycle, may_have_run, reason);
                    return self.refuse(reply, refusal);
                }
            };
            let text = format!(
                "route {}, workspace {}, instance {}, reason {}, attempt {}",
                self.admitted.route.name,
                self.admitted.principal.workspace,
                choice.instance,
                choice.reason,
                tried.len() + 1
            );
            record_decision(self.state, self.request, &text);
            tried.push(choice.instance.clone());
            self.state
                .quarantine
                .on_request_sent(&choice.instance, self.fingerprint);
            let outcome = self.send(&choice, tried.len(), reply);
            self.state
                .quarantine
                .on_request_ended(&choice.instance, self.fingerprint);
            let failure = match outcome {
                SendOutcome::Done => return,
                SendOutcome::Failed(unused_reply, failure) => {
                    reply = unused_reply;
                    failure
                }
            };
            may_have_run |= failure.may_have_run;
            lost_connections += u32::from(matches!(
                failure.error,
                Some(UpstreamError::ConnectionLost { .. })
            ));
            let is_crash_suspect = lost_connections >= MAX_LOST_CONNECTIONS;
            if is_crash_suspect || !self.may_send_again(&failure, tried.len()) {
                let refusal = end_unanswered(lifecycle, may_have_run, failure.reason);
                return self.refuse(reply, refusal);
            }
            lifecycle = Request::new().admit();
        }
    }

    /// Chooses an instance, and waits up to [`MAX_BUSY_WAIT`] if all are busy.
    fn choose(&self, tried: &[InstanceId]) -> Result<Choice, RefusalReason> {
        let clock = &self.state.clock;
        let ends_at = self.state.work_ends_at(self.admitted.deadline);
        let give_up_at = (clock.now() + MAX_BUSY_WAIT).min(ends_at);
        let wanted = ChooseRequest {
            is_idempotent: self.is_idempotent(),
            exclude: tried,
            deadline: self.admitted.deadline,
        };
        let mut upstreams = self.state.lock_upstreams();
        loop {
            let retry_after = match upstreams.choose(&self.admitted.route.service, &wanted) {
                Ok(choice) => return Ok(choice),
                Err(ChooseError::NoInstance) => return Err(RefusalReason::NoHealthyInstance),
                Err(ChooseError::AllBusy { retry_after }) => retry_after,
            };
            let now: Instant = clock.now();
            if now >= give_up_at {
                return Err(RefusalReason::Overloaded);
            }
            let wait = retry_after.min(give_up_at - now);
            let waited = self.state.slot_freed.wait_timeout(upstreams, wait);
            let (guard, _) = waited.unwrap_or_else(std::sync::PoisonError::into_inner);
            upstreams = guard;
        }
    }

    fn send(&self, choice: &Choice, attempt_count: usize, reply: AnswerSender) -> SendOutcome {
        let (control, check_error) = dispatch_check::new_call_control(self.state, self.rights());
        let started: Instant = self.state.clock.now();
        let sent = self.call(choice, attempt_count, &control);
        let answer = match sent {
            Ok(answer) => answer,
            Err(error) => {
                let check_error = check_error.get().copied();
                return self.record_failure(choice, reply, error, check_error);
            }
        };
        let latency = self.state.clock.now().saturating_duration_since(started);
        if is_shed(&answer) {
            let retry_after = retry_after(&answer);
            self.report_result(choice, UpstreamResult::Shed { retry_after });
            let outcome = self
                .ticket
                .map(|ticket| self.state.attempts.shed_outcome(ticket));
            return SendOutcome::Failed(
                reply,
                Failure {
                    may_have_run: outcome == Some(Outcome::Unknown),
                    reason: RefusalReason::UpstreamShed,
                    error: None,
                    check_error: None,
                },
            );
        }
        let is_error = answer.status.is_server_error();
        self.state.metrics.time("upstream.head", latency);
        match relay::relay(self, answer, reply) {
            Relayed::Complete | Relayed::CallerGone => {
                let result = if is_error {
                    UpstreamResult::ErrorStatus
                } else {
                    UpstreamResult::Success {
                        latency,
                        load: None,
                    }
                };
                self.report_result(choice, result);
                self.record_success();
                SendOutcome::Done
            }
            Relayed::CutOff => {
                let blame = self.report_lost_instance(choice);
                self.report_result(choice, UpstreamResult::ConnectionLost { blame });
                SendOutcome::Done
            }
            Relayed::NoAnswer(reply, error) => self.record_failure(choice, reply, error, None),
        }
    }

    fn call(
        &self,
        choice: &Choice,
        attempt_count: usize,
        control: &Arc<CallControl>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let timeout = self.time_left();
        if timeout.is_zero() {
            return Err(UpstreamError::Timeout { was_sent: false });
        }
        let mut request_headers = self.admitted.headers.clone();
        let left_ms = headers::value_or_empty(&timeout.as_millis().to_string());
        request_headers.insert(headers::DEADLINE_MS, left_ms);
        if attempt_count > 1 || self.admitted.origin == Origin::Retry {
            request_headers.insert(RETRY_HEADER, headers::value_or_empty("true"));
        }
        let call = UpstreamCall {
            addr: choice.addr,
            method: self.request.method.clone(),
            target: self.admitted.target.clone(),
            headers: request_headers,
            body: self.request.body.clone(),
            timeout,
            may_use_pool: self.is_idempotent(),
            cancel: self.request.cancel.clone(),
        };
        self.client.send(call, control)
    }

    fn rights(&self) -> DispatchRights {
        DispatchRights {
            principal: self.admitted.principal.clone(),
            service: self.admitted.route.service.clone(),
            deadline: self.admitted.deadline,
            token: self.token.get(),
            ticket: self.ticket,
        }
    }

    fn record_failure(
        &self,
        choice: &Choice,
        reply: AnswerSender,
        error: UpstreamError,
        check_error: Option<DispatchCheckError>,
    ) -> SendOutcome {
        let (result, reason) = match &error {
            UpstreamError::Connect(_) => (
                UpstreamResult::ConnectFailure,
                RefusalReason::NoHealthyInstance,
            ),
            UpstreamError::SendRefused => {
                let reason = check_error.map(DispatchCheckError::reason);
                let reason = reason.unwrap_or(RefusalReason::DeadlineExceeded);
                (UpstreamResult::Cancelled, reason)
            }
            UpstreamError::Cancelled { .. } | UpstreamError::Timeout { .. }
                if self.state.are_last_answers_due() =>
            {
                (UpstreamResult::Cancelled, RefusalReason::Draining)
            }
            UpstreamError::Cancelled { .. } => {
                (UpstreamResult::Cancelled, RefusalReason::UpstreamFailed)
            }
            UpstreamError::Timeout { .. } => {
                (UpstreamResult::Timeout, RefusalReason::DeadlineExceeded)
            }
            UpstreamError::ConnectionLost { .. } => {
                let blame = self.report_lost_instance(choice);
                (
                    UpstreamResult::ConnectionLost { blame },
                    RefusalReason::UpstreamFailed,
                )
            }
            UpstreamError::NotFinal(_) | UpstreamError::Unframed => {
                (UpstreamResult::ErrorStatus, RefusalReason::UpstreamFailed)
            }
        };
        self.report_result(choice, result);
        let text = match check_error {
            Some(check_error) => format!("not sent to instance {}: {check_error}", choice.instance),
            None => format!("instance {} gave no answer: {error}", choice.instance),
        };
        record_decision(self.state, self.request, &text);
        let failure = Failure {
            may_have_run: error.was_sent(),
            reason,
            error: Some(error),
            check_error,
        };
        SendOutcome::Failed(reply, failure)
    }

    fn may_send_again(&self, failure: &Failure, attempt_count: usize) -> bool {
        if failure.check_error == Some(DispatchCheckError::TokenExpired) {
            return attempt_count < MAX_ATTEMPTS && self.renew_token().is_ok();
        }
        let is_final = matches!(
            failure.error,
            Some(UpstreamError::SendRefused | UpstreamError::Cancelled { .. })
        );
        // A permission to run is spent once the first byte has been sent.
        let was_shed = failure.error.is_none();
        let has_permission = !was_shed || self.ticket.is_none();
        let is_repeatable = self.is_idempotent() || (!failure.may_have_run && has_permission);
        let (service, deadline) = (&self.admitted.route.service, self.admitted.deadline);
        let has_time = !self.time_left().is_zero() && self.state.may_start(service, deadline);
        if is_final || !is_repeatable || !has_time || attempt_count >= MAX_ATTEMPTS {
            return false;
        }
        !self.is_idempotent() || self.spend_retry(attempt_count)
    }

    /// Reports an instance that closed the connection during this request, and
    /// returns whether the instance or the request is blamed.
    fn report_lost_instance(&self, choice: &Choice) -> Blame {
        let quarantine = &self.state.quarantine;
        quarantine.report_lost_instance(&choice.service, &choice.instance, &self.state.peers);
        if quarantine.is_quarantined(self.fingerprint) {
            Blame::Request
        } else {
            Blame::Instance
        }
    }

    fn record_success(&self) {
        let workspace = &self.admitted.principal.workspace;
        let service = &self.admitted.route.service;
        self.state.quarantine.on_request_completed(self.fingerprint);
        self.state
            .lock_retry_budget()
            .on_first_success(workspace, service);
    }

    /// Takes a retry from the budget and waits for its backoff. Returns false if
    /// the budget refuses or the caller cancels.
    fn spend_retry(&self, attempt_count: usize) -> bool {
        let service = &self.admitted.route.service;
        let failed = FailedRequest {
            workspace: self.admitted.principal.workspace.clone(),
            service: service.clone(),
            idempotency: Idempotency::Idempotent,
            origin: self.admitted.origin,
            retries: u32::try_from(attempt_count - 1).unwrap_or(u32::MAX),
            untried_instances: self.instance_count().saturating_sub(attempt_count),
            expected_time: MIN_RETRY_DURATION,
            deadline: self.admitted.deadline,
        };
        let permitted_wait = self.state.lock_retry_budget().spend(&failed);
        match permitted_wait {
            Ok(wait) => !self.request.cancel.wait(wait),
            Err(refusal) => {
                record_decision(self.state, self.request, &format!("no retry: {refusal}"));
                false
            }
        }
    }

    fn instance_count(&self) -> usize {
        let service = &self.admitted.route.service;
        let active = self.state.active();
        let service = active
            .as_ref()
            .and_then(|active| active.snapshot.services.get(service));
        service.map_or(0, |service| service.instances.len())
    }

    fn report_result(&self, choice: &Choice, result: UpstreamResult) {
        let origin = RequestOrigin {
            workspace: self.admitted.principal.workspace.clone(),
            route: self.admitted.route.name.clone(),
        };
        let mut upstreams = self.state.lock_upstreams();
        upstreams.report(choice.id, &origin, result);
        drop(upstreams);
        self.state.slot_freed.notify_all();
    }

    fn is_idempotent(&self) -> bool {
        let method = self.request.method.as_str();
        self.admitted.route.is_idempotent(method)
    }
}

/// Ends a request that gets no answer from an upstream.
fn end_unanswered(
    lifecycle: Request<AdmittedState>,
    may_have_run: bool,
    reason: RefusalReason,
) -> Refusal {
    if may_have_run {
        let reason = match reason {
            RefusalReason::Draining => RefusalReason::DrainEnded,
            reason => reason,
        };
        lifecycle.dispatch().fail(reason).refusal()
    } else {
        lifecycle.refuse(reason)
    }
}

fn is_shed(answer: &UpstreamAnswer) -> bool {
    let header = answer.headers.get(headers::SHED);
    let header = header.and_then(|value| value.to_str().ok());
    is_shed_response(answer.status.as_u16(), header)
}

fn retry_after(answer: &UpstreamAnswer) -> Option<Duration> {
    let value = answer.headers.get(http::header::RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
