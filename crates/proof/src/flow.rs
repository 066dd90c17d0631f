//! The stages of one request in a process, as in the host's pipeline.

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
use crate::upstream::{Handling, Upstreams};

/// How long a caller waits for its answer.
const CALLER_DEADLINE: Duration = Duration::from_secs(2);
/// The maximum age of a spent token when the request is sent.
const MAX_TOKEN_AGE: Duration = Duration::from_millis(500);
/// How long a request waits while all instances are busy.
const MAX_BUSY_WAIT: Duration = Duration::from_millis(500);
/// The maximum number of instances that a request is sent to.
const MAX_ATTEMPTS: usize = 3;
/// The number of lost connections after which a request is not retried.
const MAX_LOST_CONNECTIONS: u32 = 2;

/// The parts outside a process that its requests use.
pub struct Environment<'a> {
    /// The host.
    pub host: &'a HostId,
    /// The upstream instances.
    pub upstreams: &'a mut Upstreams,
    /// Checks the users' promises.
    pub oracle: &'a mut Oracle,
    /// The true time since the start of the fleet.
    pub now: Duration,
}

#[derive(Debug, Clone)]
enum Stage {
    /// Waits for a token.
    AwaitingToken {
        until: Option<Instant>,
        is_renewal: bool,
    },
    /// Waits for the attempt records to permit the run.
    AwaitingPermission,
    /// Waits for an instance below its in-flight limit.
    ChoosingInstance { give_up_at: Instant },
    /// Connects; the first byte is sent next.
    Connecting(Choice),
    /// Waits for the answer of an instance.
    AwaitingAnswer(SentRequest),
}

#[derive(Debug, Clone)]
struct SentRequest {
    choice: Choice,
    started: Instant,
    handling: Handling,
    ends_at: Duration,
    crashes: u64,
}

/// The result of a stage.
enum Transition {
    Stay,
    Enter(Stage),
    Refuse(RefusalReason),
    Answered,
}

/// The state of one request.
#[derive(Debug)]
pub struct RequestFlow {
    call: Call,
    workspace: WorkspaceName,
    deadline: Instant,
    spent_at: Option<Instant>,
    ticket: Option<AttemptTicket>,
    attempted: Vec<InstanceId>,
    may_have_run: bool,
    lost_connections: u32,
    stage: Stage,
}

impl RequestFlow {
    /// Admits a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused.
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
            attempted: Vec::new(),
            may_have_run: false,
            lost_connections: 0,
            stage: Stage::AwaitingToken {
                until: None,
                is_renewal: false,
            },
        })
    }

    /// Advances as far as possible, and reports whether the caller has its
    /// answer or refusal.
    pub(crate) fn advance(&mut self, process: &mut Process, env: &mut Environment<'_>) -> bool {
        loop {
            let next = match self.stage.clone() {
                Stage::AwaitingToken { until, is_renewal } => {
                    self.take_token(process, env, until, is_renewal)
                }
                Stage::AwaitingPermission => self.take_permission(process, env),
                Stage::ChoosingInstance { give_up_at } => self.choose(process, give_up_at),
                Stage::Connecting(choice) => self.connect(process, env, choice),
                Stage::AwaitingAnswer(sent) => self.await_answer(process, env, &sent),
            };
            match next {
                Transition::Stay => return false,
                Transition::Enter(stage) => {
                    let connects = matches!(stage, Stage::Connecting(_));
                    self.stage = stage;
                    if connects {
                        // Connecting takes until the next step.
                        return false;
                    }
                }
                Transition::Refuse(reason) => {
                    self.refuse(process, env, reason);
                    return true;
                }
                Transition::Answered => {
                    env.oracle.on_answer(&self.call);
                    return true;
                }
            }
        }
    }

    fn take_token(
        &mut self,
        process: &mut Process,
        env: &mut Environment<'_>,
        until: Option<Instant>,
        is_renewal: bool,
    ) -> Transition {
        let key = LimitKey::Workspace(self.workspace.clone());
        let decision = match until {
            None => process.limiter.spend(&self.workspace),
            Some(until) => process.limiter.spend_waiting(&key, until),
        };
        match decision {
            SpendDecision::Spent => {
                env.oracle.on_token(&self.workspace, env.now);
                self.spent_at = Some(process.now());
                if is_renewal {
                    return instance_stage(process, self.deadline);
                }
                self.ask_permission(process)
            }
            SpendDecision::Wait(next) => {
                if until.is_none() {
                    process.tick_limiter();
                }
                self.stage = Stage::AwaitingToken {
                    until: Some(next.min(self.deadline)),
                    is_renewal,
                };
                Transition::Stay
            }
            SpendDecision::Refused { retry_after, .. } => {
                Transition::Refuse(RefusalReason::OverRate { retry_after })
            }
        }
    }

    fn ask_permission(&mut self, process: &mut Process) -> Transition {
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
        Transition::Enter(Stage::AwaitingPermission)
    }

    fn take_permission(&mut self, process: &mut Process, env: &mut Environment<'_>) -> Transition {
        let Some(ticket) = self.ticket else {
            return Transition::Refuse(RefusalReason::AttemptUnknown);
        };
        let Some(permission) = process.permissions.remove(&ticket) else {
            if process.now() < self.deadline {
                return Transition::Stay;
            }
            return Transition::Refuse(RefusalReason::AttemptUnknown);
        };
        match permission {
            Permission::Run => instance_stage(process, self.deadline),
            Permission::FirstAnswer(answer) => {
                env.oracle.on_first_answer(&self.call, &answer);
                Transition::Answered
            }
            other => {
                let reason = other.refusal().unwrap_or(RefusalReason::AttemptUnknown);
                self.ticket = None;
                Transition::Refuse(reason)
            }
        }
    }

    fn choose(&self, process: &mut Process, give_up_at: Instant) -> Transition {
        let wanted = ChooseRequest {
            is_idempotent: self.is_idempotent(),
            exclude: &self.attempted,
            deadline: self.deadline,
        };
        let chosen = process.upstreams.choose(&sample::service_name(), &wanted);
        match chosen {
            Ok(choice) => Transition::Enter(Stage::Connecting(choice)),
            Err(ChooseError::NoInstance) => Transition::Refuse(RefusalReason::NoHealthyInstance),
            Err(ChooseError::AllBusy { .. }) if process.now() < give_up_at => Transition::Stay,
            Err(ChooseError::AllBusy { .. }) => Transition::Refuse(RefusalReason::Overloaded),
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

fn instance_stage(process: &Process, deadline: Instant) -> Transition {
    let give_up_at = (process.now() + MAX_BUSY_WAIT).min(deadline);
    Transition::Enter(Stage::ChoosingInstance { give_up_at })
}

fn fingerprint(call: &Call, workspace: &WorkspaceName) -> AttemptKey {
    Quarantine::fingerprint(workspace, &route_name(), &call.body_digest())
}
