//! Sends a request, and handles its answer or failure.

use waxwingusher_attempts::{AttemptResult, Outcome, Received, RefusalReason, Request};
use waxwingusher_membership::distribution::ConfigTrust;
use waxwingusher_protocol::attempt::StoredAnswer;
use waxwingusher_upstreams::{Blame, Choice, UpstreamResult};

use super::{
    Environment, MAX_ATTEMPTS, MAX_LOST_CONNECTIONS, MAX_TOKEN_AGE, RequestFlow, SentRequest,
    Stage, Transition, fingerprint, instance_stage,
};
use crate::oracle::Run;
use crate::process::Process;
use crate::upstream::Handling;

impl RequestFlow {
    /// Checks deadline, token, configuration, key and permission immediately
    /// before the first byte is sent, and sends.
    pub(super) fn connect(
        &mut self,
        process: &mut Process,
        env: &mut Environment<'_>,
        choice: Choice,
    ) -> Transition {
        self.attempted.push(choice.instance.clone());
        if !env.upstreams.accepts_connections(&choice.instance, env.now) {
            self.report(process, &choice, UpstreamResult::ConnectFailure);
            return self.after_failure(process, RefusalReason::NoHealthyInstance, false);
        }
        let now = process.now();
        let is_valid = process
            .workspace_of(&self.call.key_digest())
            .is_some_and(|workspace| workspace.name == self.workspace);
        let token_age = self.spent_at.map(|at| now.saturating_duration_since(at));
        let withdrawn = if now >= self.deadline {
            Some(RefusalReason::DeadlineExceeded)
        } else if token_age.is_none_or(|age| age > MAX_TOKEN_AGE) {
            self.report(process, &choice, UpstreamResult::Cancelled);
            if self.attempted.len() >= MAX_ATTEMPTS {
                return Transition::Refuse(RefusalReason::Overloaded);
            }
            return Transition::Enter(Stage::AwaitingToken {
                until: None,
                is_renewal: true,
            });
        } else if !process.agent.trust().is_trusted() {
            Some(RefusalReason::ConfigUnconfirmed {
                retry_after: ConfigTrust::CHECK_TIME,
            })
        } else if !is_valid {
            Some(RefusalReason::Unauthorized)
        } else {
            self.check_permission(process)
        };
        if let Some(reason) = withdrawn {
            self.report(process, &choice, UpstreamResult::Cancelled);
            return Transition::Refuse(reason);
        }
        self.send(process, env, choice)
    }

    fn check_permission(&self, process: &mut Process) -> Option<RefusalReason> {
        let checked = process.attempts.check_before_dispatch(self.ticket?);
        let outcome = checked.err()?.outcome();
        Some(match outcome {
            Outcome::NotRun => RefusalReason::PermissionExpired,
            Outcome::Unknown => RefusalReason::AttemptUnknown,
        })
    }

    fn send(&self, process: &mut Process, env: &mut Environment<'_>, choice: Choice) -> Transition {
        let Environment { host, now, .. } = *env;
        let crashes = env.upstreams.crashes(&choice.instance);
        let handled = env
            .upstreams
            .handle(host, &choice.instance, &self.call, now);
        let (handling, ends_at) = handled;
        let run = Run {
            host,
            instance: &choice.instance,
            workspace: &self.workspace,
            version: process.version(),
            is_run: handling.runs(),
            now,
        };
        env.oracle.on_sent(&self.call, &run);
        let entry = (
            choice.instance.clone(),
            fingerprint(&self.call, &self.workspace),
        );
        process.in_flight.push(entry);
        Transition::Enter(Stage::AwaitingAnswer(SentRequest {
            choice,
            started: process.now(),
            handling,
            ends_at,
            crashes,
        }))
    }

    pub(super) fn await_answer(
        &mut self,
        process: &mut Process,
        env: &mut Environment<'_>,
        sent: &SentRequest,
    ) -> Transition {
        let next = self.check_answer(process, env, sent);
        if !matches!(next, Transition::Stay) {
            let entry = (
                sent.choice.instance.clone(),
                fingerprint(&self.call, &self.workspace),
            );
            let at = process.in_flight.iter().position(|one| *one == entry);
            at.map(|at| process.in_flight.swap_remove(at));
        }
        next
    }

    fn check_answer(
        &mut self,
        process: &mut Process,
        env: &mut Environment<'_>,
        sent: &SentRequest,
    ) -> Transition {
        let SentRequest {
            choice, handling, ..
        } = sent;
        let has_crashed = env.upstreams.crashes(&choice.instance) > sent.crashes;
        if has_crashed {
            return self.on_connection_lost(process, choice);
        }
        if process.now() >= self.deadline {
            self.report(process, choice, UpstreamResult::Timeout);
            return self.after_failure(process, RefusalReason::DeadlineExceeded, true);
        }
        if env.now < sent.ends_at || *handling == Handling::LosesAnswer {
            return Transition::Stay;
        }
        let latency = process.now().saturating_duration_since(sent.started);
        match handling {
            Handling::Sheds => {
                let result = UpstreamResult::Shed { retry_after: None };
                self.on_shed(process, choice, result)
            }
            Handling::Drains => {
                let Environment { host, now, .. } = *env;
                env.oracle.on_drains(host, &choice.instance, now);
                self.on_shed(process, choice, UpstreamResult::Draining)
            }
            Handling::Fails => {
                self.report(process, choice, UpstreamResult::ErrorStatus);
                self.finish_answered(process, env)
            }
            _ => {
                let result = UpstreamResult::Success {
                    latency,
                    load: None,
                };
                self.report(process, choice, result);
                let fingerprint = fingerprint(&self.call, &self.workspace);
                process.quarantine.on_completed(fingerprint);
                self.finish_answered(process, env)
            }
        }
    }

    fn finish_answered(&self, process: &mut Process, env: &mut Environment<'_>) -> Transition {
        if let Some((ticket, operation)) = self.ticket.zip(self.call.operation()) {
            let answer: StoredAnswer = operation.answer(self.call.id);
            env.oracle.on_stored(operation, answer.clone());
            let result = AttemptResult::Answered(answer);
            process.with_attempts(|registry| registry.finish(ticket, result));
        }
        Transition::Answered
    }

    fn on_shed(
        &mut self,
        process: &mut Process,
        choice: &Choice,
        result: UpstreamResult,
    ) -> Transition {
        self.report(process, choice, result);
        let outcome = self.ticket.map(|open| process.attempts.shed_outcome(open));
        self.may_have_run |= outcome == Some(Outcome::Unknown);
        if self.ticket.is_some() {
            // A permission to run is used up once a byte was sent.
            return Transition::Refuse(RefusalReason::UpstreamShed);
        }
        self.after_failure(process, RefusalReason::UpstreamShed, false)
    }

    fn on_connection_lost(&mut self, process: &mut Process, choice: &Choice) -> Transition {
        let fingerprint = fingerprint(&self.call, &self.workspace);
        process.instance_lost(&choice.instance);
        let blame = if process.quarantine.is_quarantined(&fingerprint) {
            Blame::Request
        } else {
            Blame::Instance
        };
        self.report(process, choice, UpstreamResult::ConnectionLost { blame });
        self.lost_connections += 1;
        self.after_failure(process, RefusalReason::UpstreamFailed, true)
    }

    /// Retries at another instance if idempotency, time and attempts allow.
    fn after_failure(
        &mut self,
        process: &Process,
        reason: RefusalReason,
        was_sent: bool,
    ) -> Transition {
        self.may_have_run |= was_sent;
        let is_retryable = self.is_idempotent() || !self.may_have_run;
        let has_time = process.now() < self.deadline;
        let has_attempts_left =
            self.attempted.len() < MAX_ATTEMPTS && self.lost_connections < MAX_LOST_CONNECTIONS;
        if !is_retryable || !has_time || !has_attempts_left {
            return Transition::Refuse(reason);
        }
        instance_stage(process, self.deadline)
    }

    pub(super) fn refuse(
        &self,
        process: &mut Process,
        env: &mut Environment<'_>,
        reason: RefusalReason,
    ) {
        let request = Request::<Received>::new();
        let refusal = if self.may_have_run {
            request.admit().dispatch().fail(reason).refusal()
        } else {
            request.refuse(reason)
        };
        let outcome = refusal.outcome();
        if let Some(ticket) = self.ticket {
            let result = match outcome {
                Outcome::NotRun => AttemptResult::NotRun,
                Outcome::Unknown if matches!(self.stage, Stage::AwaitingPermission) => {
                    AttemptResult::NotRun
                }
                Outcome::Unknown => AttemptResult::Unknown,
            };
            process.with_attempts(|registry| registry.finish(ticket, result));
        }
        let has_asked = self.ticket.is_some();
        env.oracle
            .on_refusal(&self.call, outcome, has_asked, env.now);
    }
}
