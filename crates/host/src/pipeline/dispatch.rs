//! Chooses instances and sends the request until one answers or none may.

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

use super::last_check::{self, LastCheckError, Rights};
use super::relay::{self, Relayed};
use super::{Flow, note};

/// Instances that one request is sent to at most.
const MAX_TRIES: usize = 3;
/// Instances that may end the connection under one request. A request that
/// crashes instances must not take more of them along.
const MAX_DEATHS: u32 = 2;
/// The least time that a retry is given.
const MIN_RETRY_TIME: Duration = Duration::from_millis(1);
/// How long a request waits for a busy pool.
const MAX_BUSY_WAIT: Duration = Duration::from_millis(500);

/// How a try ended without an answer for the caller.
struct Failure {
    /// Whether the request may have run.
    may_have_run: bool,
    reason: RefusalReason,
    error: Option<UpstreamError>,
    finding: Option<LastCheckError>,
}

/// How a try ended.
enum Try {
    /// The caller has its answer.
    Done,
    /// The place for the answer is still free.
    Failed(AnswerSender, Failure),
}

impl Flow<'_> {
    /// Sends the request to instances until one answers or none may.
    pub(crate) fn dispatch(&self, mut life: Request<AdmittedState>, mut reply: AnswerSender) {
        let mut tried: Vec<InstanceId> = Vec::new();
        let mut may_have_run = false;
        let mut deaths = 0;
        loop {
            let choice = match self.choose(&tried) {
                Ok(choice) => choice,
                Err(reason) => {
                    let refusal = end(life, may_have_run, reason);
                    return self.refuse(reply, refusal);
                }
            };
            let text = format!(
                "route {}, workspace {}, instance {}, reason {}, try {}",
                self.admitted.route.name,
                self.admitted.party.workspace,
                choice.instance,
                choice.reason,
                tried.len() + 1
            );
            note(self.state, self.request, &text);
            tried.push(choice.instance.clone());
            self.state.crashes.begin(&choice.instance, self.fingerprint);
            let sent = self.send(&choice, tried.len(), reply);
            self.state.crashes.end(&choice.instance, self.fingerprint);
            let failure = match sent {
                Try::Done => return,
                Try::Failed(free, failure) => {
                    reply = free;
                    failure
                }
            };
            may_have_run |= failure.may_have_run;
            deaths += u32::from(matches!(
                failure.error,
                Some(UpstreamError::ConnectionLost { .. })
            ));
            let is_suspect = deaths >= MAX_DEATHS;
            if is_suspect || !self.may_try_again(&failure, tried.len()) {
                let refusal = end(life, may_have_run, failure.reason);
                return self.refuse(reply, refusal);
            }
            life = Request::new().admit();
        }
    }

    /// Chooses an instance, and waits a while if all are busy.
    fn choose(&self, tried: &[InstanceId]) -> Result<Choice, RefusalReason> {
        let clock = &self.state.clock;
        let give_up_at = (clock.now() + MAX_BUSY_WAIT).min(self.admitted.deadline);
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

    fn send(&self, choice: &Choice, tries: usize, reply: AnswerSender) -> Try {
        let (control, finding) = last_check::new_control(self.state, self.rights());
        let started: Instant = self.state.clock.now();
        let sent = self.call(choice, tries, &control);
        let answer = match sent {
            Ok(answer) => answer,
            Err(error) => {
                let finding = finding.get().copied();
                return self.fail(choice, reply, error, finding);
            }
        };
        let latency = self.state.clock.now().saturating_duration_since(started);
        if is_shed(&answer) {
            let retry_after = retry_after(&answer);
            self.report(choice, UpstreamResult::Shed { retry_after });
            let outcome = self
                .ticket
                .map(|ticket| self.state.attempts.shed_outcome(ticket));
            return Try::Failed(
                reply,
                Failure {
                    may_have_run: outcome == Some(Outcome::Unknown),
                    reason: RefusalReason::UpstreamShed,
                    error: None,
                    finding: None,
                },
            );
        }
        let is_error = answer.status.is_server_error();
        self.state.metrics.time("upstream.head", latency);
        match relay::relay(self, answer, reply) {
            Relayed::Whole | Relayed::CallerGone => {
                let result = if is_error {
                    UpstreamResult::ErrorStatus
                } else {
                    UpstreamResult::Success {
                        latency,
                        load: None,
                    }
                };
                self.report(choice, result);
                self.note_success();
                Try::Done
            }
            Relayed::Cut => {
                let blame = self.instance_lost(choice);
                self.report(choice, UpstreamResult::ConnectionLost { blame });
                Try::Done
            }
            Relayed::Unanswered(reply, error) => self.fail(choice, reply, error, None),
        }
    }

    fn call(
        &self,
        choice: &Choice,
        tries: usize,
        control: &Arc<CallControl>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let timeout = self.time_left();
        if timeout.is_zero() {
            return Err(UpstreamError::Timeout { was_sent: false });
        }
        let mut request_headers = self.admitted.headers.clone();
        let left_ms = headers::value_or_empty(&timeout.as_millis().to_string());
        request_headers.insert(headers::DEADLINE_MS, left_ms);
        if tries > 1 || self.admitted.origin == Origin::Retry {
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

    fn rights(&self) -> Rights {
        Rights {
            party: self.admitted.party.clone(),
            deadline: self.admitted.deadline,
            token: self.token.get(),
            ticket: self.ticket,
        }
    }

    fn fail(
        &self,
        choice: &Choice,
        reply: AnswerSender,
        error: UpstreamError,
        finding: Option<LastCheckError>,
    ) -> Try {
        let (result, reason) = match &error {
            UpstreamError::Connect(_) => (
                UpstreamResult::ConnectFailure,
                RefusalReason::NoHealthyInstance,
            ),
            UpstreamError::SendRefused => {
                let reason = finding.map(LastCheckError::reason);
                let reason = reason.unwrap_or(RefusalReason::DeadlineExceeded);
                (UpstreamResult::Cancelled, reason)
            }
            UpstreamError::Cancelled { .. } => {
                (UpstreamResult::Cancelled, RefusalReason::UpstreamFailed)
            }
            UpstreamError::Timeout { .. } => {
                (UpstreamResult::Timeout, RefusalReason::DeadlineExceeded)
            }
            UpstreamError::ConnectionLost { .. } => {
                let blame = self.instance_lost(choice);
                (
                    UpstreamResult::ConnectionLost { blame },
                    RefusalReason::UpstreamFailed,
                )
            }
            UpstreamError::Unframed => (UpstreamResult::ErrorStatus, RefusalReason::UpstreamFailed),
        };
        self.report(choice, result);
        let text = match finding {
            Some(finding) => format!("not sent to instance {}: {finding}", choice.instance),
            None => format!("instance {} gave no answer: {error}", choice.instance),
        };
        note(self.state, self.request, &text);
        let failure = Failure {
            may_have_run: error.was_sent(),
            reason,
            error: Some(error),
            finding,
        };
        Try::Failed(reply, failure)
    }

    fn may_try_again(&self, failure: &Failure, tries: usize) -> bool {
        if failure.finding == Some(LastCheckError::TokenExpired) {
            return tries < MAX_TRIES && self.spend_again().is_ok();
        }
        let is_final = matches!(
            failure.error,
            Some(UpstreamError::SendRefused | UpstreamError::Cancelled { .. })
        );
        // A permission to run is used up once a byte has left.
        let was_shed = failure.error.is_none();
        let permission_left = !was_shed || self.ticket.is_none();
        let is_repeatable = self.is_idempotent() || (!failure.may_have_run && permission_left);
        let has_time = !self.time_left().is_zero();
        if is_final || !is_repeatable || !has_time || tries >= MAX_TRIES {
            return false;
        }
        !self.is_idempotent() || self.may_retry(tries)
    }

    /// Reports an instance that ended the connection under this request, and
    /// returns whether the instance may be at fault.
    fn instance_lost(&self, choice: &Choice) -> Blame {
        let crashes = &self.state.crashes;
        crashes.instance_lost(&choice.service, &choice.instance, &self.state.peers);
        if crashes.is_quarantined(self.fingerprint) {
            Blame::Request
        } else {
            Blame::Instance
        }
    }

    fn note_success(&self) {
        let workspace = &self.admitted.party.workspace;
        let service = &self.admitted.route.service;
        self.state.crashes.completed(self.fingerprint);
        self.state
            .lock_retries()
            .on_first_success(workspace, service);
    }

    /// Asks the retry budget, and waits as it says.
    fn may_retry(&self, tries: usize) -> bool {
        let service = &self.admitted.route.service;
        let failed = FailedRequest {
            workspace: self.admitted.party.workspace.clone(),
            service: service.clone(),
            idempotency: Idempotency::Idempotent,
            origin: self.admitted.origin,
            retries: u32::try_from(tries - 1).unwrap_or(u32::MAX),
            untried_instances: self.pool_size().saturating_sub(tries),
            expected_time: MIN_RETRY_TIME,
            deadline: self.admitted.deadline,
        };
        let verdict = self.state.lock_retries().spend(&failed);
        match verdict {
            Ok(wait) => !self.request.cancel.wait(wait),
            Err(refusal) => {
                note(self.state, self.request, &format!("no retry: {refusal}"));
                false
            }
        }
    }

    fn pool_size(&self) -> usize {
        let service = &self.admitted.route.service;
        let active = self.state.active();
        let service = active
            .as_ref()
            .and_then(|active| active.snapshot.services.get(service));
        service.map_or(0, |service| service.instances.len())
    }

    fn report(&self, choice: &Choice, result: UpstreamResult) {
        let origin = RequestOrigin {
            workspace: self.admitted.party.workspace.clone(),
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

/// Ends a request that gets no answer of an upstream.
fn end(life: Request<AdmittedState>, may_have_run: bool, reason: RefusalReason) -> Refusal {
    if may_have_run {
        life.dispatch().fail(reason).refusal()
    } else {
        life.refuse(reason)
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
