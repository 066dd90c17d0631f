//! The way of one request through a process, as in the host's pipeline.

mod dispatch;

use std::time::{Duration, Instant};

use waxwingusher_attempts::{AttemptRequest, AttemptTicket, Permission, Quarantine, RefusalReason};
use waxwingusher_core::{HostId, InstanceId, WorkspaceName};
use waxwingusher_limits::{LimitKey, SpendDecision};
use waxwingusher_membership::distribution::ConfigTrust;
use waxwingusher_protocol::attempt::AttemptKey;
use waxwingusher_upstreams::{Choice, ChooseError, ChooseRequest, RequestOrigin, UpstreamResult};

use crate::call::{Call, route_name};
use crate::oracle::Oracle;
use crate::process::Process;
use crate::sample;
use crate::upstream::{Treatment, Upstreams};

/// How long a caller waits.
const CALLER_DEADLINE: Duration = Duration::from_secs(2);
/// How long after it was spent a token may still be used.
const MAX_TOKEN_AGE: Duration = Duration::from_millis(500);
/// How long a request waits for a busy pool.
const MAX_BUSY_WAIT: Duration = Duration::from_millis(500);
/// Instances that one request is sent to at most.
const MAX_TRIES: usize = 3;
/// Instances that may end the connection under one request.
const MAX_DEATHS: u32 = 2;

/// What a request meets outside its process.
pub struct Surroundings<'a> {
    /// The host.
    pub host: &'a HostId,
    /// The instances.
    pub upstreams: &'a mut Upstreams,
    /// The truth.
    pub oracle: &'a mut Oracle,
    /// The true time.
    pub now: Duration,
}

#[derive(Debug, Clone)]
enum Stage {
    /// Waits for a token.
    Token { until: Option<Instant>, again: bool },
    /// Waits for the permission to run.
    Permit,
    /// Waits for an instance with room.
    Instance { give_up_at: Instant },
    /// Connects; the next thing is its first byte.
    Connecting(Choice),
    /// Is at an instance.
    Sent(Sent),
}

#[derive(Debug, Clone)]
struct Sent {
    choice: Choice,
    started: Instant,
    treatment: Treatment,
    ends_at: Duration,
    crashes: u64,
}

/// What follows a stage.
enum Next {
    Stay,
    Go(Stage),
    Refuse(RefusalReason),
    Answered,
}

/// One request on its way.
#[derive(Debug)]
pub struct Flow {
    call: Call,
    workspace: WorkspaceName,
    deadline: Instant,
    spent_at: Option<Instant>,
    ticket: Option<AttemptTicket>,
    tried: Vec<InstanceId>,
    may_have_run: bool,
    deaths: u32,
    stage: Stage,
}

impl Flow {
    /// Admits a request, or tells why not.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the caller is refused.
    pub fn admit(process: &mut Process, call: Call) -> Result<Self, RefusalReason> {
        if process.is_draining || process.active.is_none() {
            return Err(RefusalReason::Draining);
        }
        if !process.agent.trust().is_trusted() {
            return Err(RefusalReason::ConfigUnconfirmed {
                retry_after: ConfigTrust::CHECK_TIME,
            });
        }
        let workspace = process.workspace_of(&call.key_digest());
        let workspace = workspace.ok_or(RefusalReason::Unauthorized)?.name.clone();
        let fingerprint = fingerprint(&call, &workspace);
        if process.quarantine.is_quarantined(&fingerprint) {
            return Err(RefusalReason::Quarantined);
        }
        Ok(Self {
            call,
            workspace,
            deadline: process.now() + CALLER_DEADLINE,
            spent_at: None,
            ticket: None,
            tried: Vec::new(),
            may_have_run: false,
            deaths: 0,
            stage: Stage::Token {
                until: None,
                again: false,
            },
        })
    }

    /// Goes as far as possible, and reports whether the caller has its answer.
    pub(crate) fn advance(&mut self, process: &mut Process, around: &mut Surroundings<'_>) -> bool {
        loop {
            let next = match self.stage.clone() {
                Stage::Token { until, again } => self.take_token(process, around, until, again),
                Stage::Permit => self.take_permission(process, around),
                Stage::Instance { give_up_at } => self.choose(process, give_up_at),
                Stage::Connecting(choice) => self.connect(process, around, choice),
                Stage::Sent(sent) => self.await_answer(process, around, &sent),
            };
            match next {
                Next::Stay => return false,
                Next::Go(stage) => {
                    let connects = matches!(stage, Stage::Connecting(_));
                    self.stage = stage;
                    if connects {
                        // A connection takes until the next step.
                        return false;
                    }
                }
                Next::Refuse(reason) => {
                    self.refuse(process, around, reason);
                    return true;
                }
                Next::Answered => {
                    around.oracle.on_answer(&self.call);
                    return true;
                }
            }
        }
    }

    fn take_token(
        &mut self,
        process: &mut Process,
        around: &mut Surroundings<'_>,
        until: Option<Instant>,
        again: bool,
    ) -> Next {
        let key = LimitKey::Workspace(self.workspace.clone());
        let decision = match until {
            None => process.limiter.spend(&self.workspace),
            Some(until) => process.limiter.spend_waiting(&key, until),
        };
        match decision {
            SpendDecision::Spent => {
                around.oracle.on_token(&self.workspace, around.now);
                self.spent_at = Some(process.now());
                if again {
                    return instance_stage(process, self.deadline);
                }
                self.ask_permission(process)
            }
            SpendDecision::Wait(next) => {
                if until.is_none() {
                    process.tick_limiter();
                }
                self.stage = Stage::Token {
                    until: Some(next.min(self.deadline)),
                    again,
                };
                Next::Stay
            }
            SpendDecision::Refused { retry_after, .. } => {
                Next::Refuse(RefusalReason::OverRate { retry_after })
            }
        }
    }

    fn ask_permission(&mut self, process: &mut Process) -> Next {
        let Some(operation) = self.call.operation() else {
            return instance_stage(process, self.deadline);
        };
        let request = AttemptRequest {
            workspace: self.workspace.clone(),
            idempotency_key: operation.idempotency_key(),
            body_digest: self.call.body_digest(),
            deadline: self.deadline,
        };
        let mut ticket = None;
        process.with_attempts(|registry| {
            let (drawn, outgoing) = registry.begin(&request);
            ticket = Some(drawn);
            outgoing
        });
        self.ticket = ticket;
        Next::Go(Stage::Permit)
    }

    fn take_permission(&mut self, process: &mut Process, around: &mut Surroundings<'_>) -> Next {
        let Some(ticket) = self.ticket else {
            return Next::Refuse(RefusalReason::AttemptUnknown);
        };
        let Some(permission) = process.permissions.remove(&ticket) else {
            if process.now() < self.deadline {
                return Next::Stay;
            }
            return Next::Refuse(RefusalReason::AttemptUnknown);
        };
        match permission {
            Permission::Run => instance_stage(process, self.deadline),
            Permission::FirstAnswer(answer) => {
                around.oracle.on_first_answer(&self.call, &answer);
                Next::Answered
            }
            other => {
                let reason = other.refusal().unwrap_or(RefusalReason::AttemptUnknown);
                self.ticket = None;
                Next::Refuse(reason)
            }
        }
    }

    fn choose(&self, process: &mut Process, give_up_at: Instant) -> Next {
        let wanted = ChooseRequest {
            is_idempotent: self.is_idempotent(),
            exclude: &self.tried,
            deadline: self.deadline,
        };
        let chosen = process.upstreams.choose(&sample::service_name(), &wanted);
        match chosen {
            Ok(choice) => Next::Go(Stage::Connecting(choice)),
            Err(ChooseError::NoInstance) => Next::Refuse(RefusalReason::NoHealthyInstance),
            Err(ChooseError::AllBusy { .. }) if process.now() < give_up_at => Next::Stay,
            Err(ChooseError::AllBusy { .. }) => Next::Refuse(RefusalReason::Overloaded),
        }
    }

    fn report(&self, process: &mut Process, choice: &Choice, result: UpstreamResult) {
        let origin = RequestOrigin {
            workspace: self.workspace.clone(),
            route: route_name(),
        };
        process.upstreams.report(choice.id, &origin, result);
    }

    fn is_idempotent(&self) -> bool {
        self.call.method() == "GET"
    }
}

fn instance_stage(process: &Process, deadline: Instant) -> Next {
    let give_up_at = (process.now() + MAX_BUSY_WAIT).min(deadline);
    Next::Go(Stage::Instance { give_up_at })
}

fn fingerprint(call: &Call, workspace: &WorkspaceName) -> AttemptKey {
    Quarantine::fingerprint(workspace, &route_name(), &call.body_digest())
}
