//! From the first byte to the answer or the refusal.

use waxwingusher_attempts::{AttemptResult, Outcome, Received, RefusalReason, Request};
use waxwingusher_membership::distribution::ConfigTrust;
use waxwingusher_protocol::attempt::StoredAnswer;
use waxwingusher_upstreams::{Blame, Choice, UpstreamResult};

use super::{
    Flow, MAX_DEATHS, MAX_TOKEN_AGE, MAX_TRIES, Next, Sent, Stage, Surroundings, fingerprint,
    instance_stage,
};
use crate::oracle::Run;
use crate::process::Process;
use crate::upstream::Treatment;

impl Flow {
    /// Checks every right as the first byte is about to leave, and sends.
    pub(super) fn connect(
        &mut self,
        process: &mut Process,
        around: &mut Surroundings<'_>,
        choice: Choice,
    ) -> Next {
        self.tried.push(choice.instance.clone());
        if !around.upstreams.connects(&choice.instance, around.now) {
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
            if self.tried.len() >= MAX_TRIES {
                return Next::Refuse(RefusalReason::Overloaded);
            }
            return Next::Go(Stage::Token {
                until: None,
                again: true,
            });
        } else if !process.agent.trust().is_trusted() {
            Some(RefusalReason::ConfigUnconfirmed {
                retry_after: ConfigTrust::CHECK_TIME,
            })
        } else if !is_valid {
            Some(RefusalReason::Unauthorized)
        } else {
            self.check_permit(process)
        };
        if let Some(reason) = withdrawn {
            self.report(process, &choice, UpstreamResult::Cancelled);
            return Next::Refuse(reason);
        }
        self.send(process, around, choice)
    }

    fn check_permit(&self, process: &mut Process) -> Option<RefusalReason> {
        let checked = process.attempts.check_before_dispatch(self.ticket?);
        let outcome = checked.err()?.outcome();
        Some(match outcome {
            Outcome::NotRun => RefusalReason::PermissionExpired,
            Outcome::Unknown => RefusalReason::AttemptUnknown,
        })
    }

    fn send(&self, process: &mut Process, around: &mut Surroundings<'_>, choice: Choice) -> Next {
        let Surroundings { host, now, .. } = *around;
        let crashes = around.upstreams.crashes(&choice.instance);
        let treated = around
            .upstreams
            .treat(host, &choice.instance, &self.call, now);
        let (treatment, ends_at) = treated;
        let run = Run {
            host,
            instance: &choice.instance,
            workspace: &self.workspace,
            version: process.version(),
            is_run: treatment.runs(),
            now,
        };
        around.oracle.on_sent(&self.call, &run);
        let place = (
            choice.instance.clone(),
            fingerprint(&self.call, &self.workspace),
        );
        process.in_flight.push(place);
        Next::Go(Stage::Sent(Sent {
            choice,
            started: process.now(),
            treatment,
            ends_at,
            crashes,
        }))
    }

    pub(super) fn await_answer(
        &mut self,
        process: &mut Process,
        around: &mut Surroundings<'_>,
        sent: &Sent,
    ) -> Next {
        let next = self.answer_of(process, around, sent);
        if !matches!(next, Next::Stay) {
            let place = (
                sent.choice.instance.clone(),
                fingerprint(&self.call, &self.workspace),
            );
            let at = process.in_flight.iter().position(|one| *one == place);
            at.map(|at| process.in_flight.swap_remove(at));
        }
        next
    }

    fn answer_of(
        &mut self,
        process: &mut Process,
        around: &mut Surroundings<'_>,
        sent: &Sent,
    ) -> Next {
        let Sent {
            choice, treatment, ..
        } = sent;
        let has_crashed = around.upstreams.crashes(&choice.instance) > sent.crashes;
        if has_crashed {
            return self.on_death(process, choice);
        }
        if process.now() >= self.deadline {
            self.report(process, choice, UpstreamResult::Timeout);
            return self.after_failure(process, RefusalReason::DeadlineExceeded, true);
        }
        if around.now < sent.ends_at || *treatment == Treatment::Loses {
            return Next::Stay;
        }
        let latency = process.now().saturating_duration_since(sent.started);
        match treatment {
            Treatment::Sheds => {
                let result = UpstreamResult::Shed { retry_after: None };
                self.on_shed(process, choice, result)
            }
            Treatment::Drains => {
                let Surroundings { host, now, .. } = *around;
                around.oracle.on_drains(host, &choice.instance, now);
                self.on_shed(process, choice, UpstreamResult::Draining)
            }
            Treatment::Fails => {
                self.report(process, choice, UpstreamResult::ErrorStatus);
                self.finish_answered(process, around)
            }
            _ => {
                let result = UpstreamResult::Success {
                    latency,
                    load: None,
                };
                self.report(process, choice, result);
                let fingerprint = fingerprint(&self.call, &self.workspace);
                process.quarantine.on_completed(fingerprint);
                self.finish_answered(process, around)
            }
        }
    }

    fn finish_answered(&self, process: &mut Process, around: &mut Surroundings<'_>) -> Next {
        if let Some((ticket, operation)) = self.ticket.zip(self.call.operation()) {
            let answer: StoredAnswer = operation.answer(self.call.id);
            around.oracle.on_stored(operation, answer.clone());
            let result = AttemptResult::Answered(answer);
            process.with_attempts(|registry| registry.finish(ticket, result));
        }
        Next::Answered
    }

    fn on_shed(&mut self, process: &mut Process, choice: &Choice, result: UpstreamResult) -> Next {
        self.report(process, choice, result);
        let outcome = self.ticket.map(|open| process.attempts.shed_outcome(open));
        self.may_have_run |= outcome == Some(Outcome::Unknown);
        if self.ticket.is_some() {
            // A permission to run is used up once a byte has left.
            return Next::Refuse(RefusalReason::UpstreamShed);
        }
        self.after_failure(process, RefusalReason::UpstreamShed, false)
    }

    fn on_death(&mut self, process: &mut Process, choice: &Choice) -> Next {
        let fingerprint = fingerprint(&self.call, &self.workspace);
        process.instance_lost(&choice.instance);
        let blame = if process.quarantine.is_quarantined(&fingerprint) {
            Blame::Request
        } else {
            Blame::Instance
        };
        self.report(process, choice, UpstreamResult::ConnectionLost { blame });
        self.deaths += 1;
        self.after_failure(process, RefusalReason::UpstreamFailed, true)
    }

    /// Decides whether another instance may be tried.
    fn after_failure(&mut self, process: &Process, reason: RefusalReason, sent: bool) -> Next {
        self.may_have_run |= sent;
        let is_repeatable = self.is_idempotent() || !self.may_have_run;
        let has_time = process.now() < self.deadline;
        let has_tries = self.tried.len() < MAX_TRIES && self.deaths < MAX_DEATHS;
        if !is_repeatable || !has_time || !has_tries {
            return Next::Refuse(reason);
        }
        instance_stage(process, self.deadline)
    }

    pub(super) fn refuse(
        &self,
        process: &mut Process,
        around: &mut Surroundings<'_>,
        reason: RefusalReason,
    ) {
        let life = Request::<Received>::new();
        let refusal = if self.may_have_run {
            life.admit().dispatch().fail(reason).refusal()
        } else {
            life.refuse(reason)
        };
        let outcome = refusal.outcome();
        if let Some(ticket) = self.ticket {
            let result = match outcome {
                Outcome::NotRun => AttemptResult::NotRun,
                Outcome::Unknown if matches!(self.stage, Stage::Permit) => AttemptResult::NotRun,
                Outcome::Unknown => AttemptResult::Unknown,
            };
            process.with_attempts(|registry| registry.finish(ticket, result));
        }
        let has_asked = self.ticket.is_some();
        around
            .oracle
            .on_refusal(&self.call, outcome, has_asked, around.now);
    }
}
