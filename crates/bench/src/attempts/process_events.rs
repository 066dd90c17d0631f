//! Events of the processes of a simulated fleet.

use std::time::{Duration, Instant};

use waxwingusher_attempts::{AttemptRequest, AttemptResult, AttemptTicket, Outcome, Permission};
use waxwingusher_core::{Clock, HostId};
use waxwingusher_standins::Delivery;

use super::fleet::{Event, Fleet, IDLE_TICK, Packet};
use super::member::{Member, OperationSend};
use super::traffic::{self, UpstreamAction};

/// The time after a send at which its caller stops waiting.
const CALLER_DEADLINE: Duration = Duration::from_secs(3);

impl Fleet {
    pub(super) fn on_send(&mut self, operation: usize) {
        let Some(host) = self.choose_host() else {
            return;
        };
        let is_first = self.oracle.on_send(operation);
        let Some(member) = self.members.get_mut(&host) else {
            return;
        };
        let deadline = member.clock.now() + CALLER_DEADLINE;
        let Some(process) = &mut member.process else {
            return;
        };
        let request = AttemptRequest {
            workspace: traffic::workspace_of(operation),
            idempotency_key: traffic::key_of(operation),
            body_digest: traffic::body_of(operation),
            deadline,
        };
        let (ticket, outgoing) = process.registry.begin(&request);
        process.sends.insert(
            ticket,
            OperationSend {
                operation,
                is_first,
            },
        );
        self.send_all(&host, outgoing);
        self.after_action(&host);
    }

    /// Draws a host that accepts sends, as the platform's load balancer would.
    fn choose_host(&mut self) -> Option<HostId> {
        let now = self.now();
        let takes_sends = |member: &&Member| {
            let process = member.process.as_ref();
            let is_ready = process.is_some_and(|process| process.is_ready && !process.is_draining);
            is_ready && member.paused_at(now).is_none()
        };
        let up: Vec<_> = self.members.values().filter(takes_sends).collect();
        let host = self.rng.choice(up)?;
        Some(host.id.clone())
    }

    /// Handles the decisions that were made and schedules the next tick.
    pub(super) fn after_action(&mut self, host: &HostId) {
        let now = self.now();
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        let local_now = member.clock.now();
        let Some(process) = &mut member.process else {
            return;
        };
        let incarnation = process.incarnation;
        let mut permitted = Vec::new();
        for decision in process.registry.take_decisions() {
            let Some(send) = process.sends.get(&decision.ticket).copied() else {
                continue;
            };
            let permission = &decision.permission;
            self.oracle
                .on_decision(send.operation, send.is_first, permission, now);
            if *permission == Permission::Run {
                permitted.push(decision.ticket);
            } else {
                process.sends.remove(&decision.ticket);
            }
        }
        let next_tick = process.registry.next_tick();
        for ticket in permitted {
            self.schedule_dispatch(host, incarnation, ticket);
        }
        let Some(next) = next_tick else {
            return;
        };
        let wait = next.saturating_duration_since(local_now) + Duration::from_millis(1);
        self.schedule_tick(host, now + wait);
    }

    fn schedule_dispatch(&mut self, host: &HostId, incarnation: u64, ticket: AttemptTicket) {
        let wait = self.settings.upstream.queue_time(&mut self.rng);
        let dispatch = Event::Dispatch {
            host: host.clone(),
            incarnation,
            ticket,
        };
        self.schedule(wait, dispatch);
    }

    /// Schedules a tick unless an earlier one is scheduled.
    fn schedule_tick(&mut self, host: &HostId, at: Instant) {
        let process = self
            .members
            .get_mut(host)
            .and_then(|member| member.process.as_mut());
        let Some(process) = process else {
            return;
        };
        if process.next_tick.is_some_and(|scheduled| scheduled <= at) {
            return;
        }
        process.next_tick = Some(at);
        let (host, incarnation) = (host.clone(), process.incarnation);
        self.schedule_at(
            at,
            Event::Tick {
                host,
                incarnation,
                is_idle: false,
            },
        );
    }

    pub(super) fn on_dispatch(&mut self, host: &HostId, incarnation: u64, ticket: AttemptTicket) {
        let now = self.now();
        let Some(process) = self
            .members
            .get_mut(host)
            .and_then(|member| member.process(incarnation))
        else {
            return;
        };
        let Some(send) = process.sends.get(&ticket).copied() else {
            return;
        };
        if let Err(error) = process.registry.check_before_dispatch(ticket) {
            process.sends.remove(&ticket);
            if error.outcome() == Outcome::NotRun {
                self.oracle.on_not_run(send.operation, now);
            }
            let outgoing = process.registry.finish(ticket, AttemptResult::NotRun);
            self.send_all(host, outgoing);
            return;
        }
        let action = self.settings.upstream.action(&mut self.rng);
        if action != UpstreamAction::Sheds {
            self.oracle.on_run(send.operation, now);
        }
        let wait = self.settings.upstream.service_time(&mut self.rng);
        let host = host.clone();
        self.schedule(
            wait,
            Event::Done {
                host,
                incarnation,
                ticket,
                action,
            },
        );
    }

    pub(super) fn on_done(
        &mut self,
        host: &HostId,
        incarnation: u64,
        ticket: AttemptTicket,
        action: UpstreamAction,
    ) {
        let now = self.now();
        let Some(process) = self
            .members
            .get_mut(host)
            .and_then(|member| member.process(incarnation))
        else {
            return;
        };
        let Some(send) = process.sends.remove(&ticket) else {
            return;
        };
        let result = match action {
            UpstreamAction::Answers => {
                let answer = traffic::answer_of(send.operation, self.sequence);
                self.oracle.on_answer(send.operation, answer.clone());
                AttemptResult::Answered(answer)
            }
            UpstreamAction::AnswerLost => AttemptResult::Unknown,
            UpstreamAction::Sheds => {
                if process.registry.shed_outcome(ticket) == Outcome::NotRun {
                    self.oracle.on_not_run(send.operation, now);
                }
                AttemptResult::NotRun
            }
        };
        let outgoing = process.registry.finish(ticket, result);
        self.send_all(host, outgoing);
    }

    pub(super) fn on_tick(&mut self, host: &HostId, incarnation: u64, is_idle: bool) {
        let Some(process) = self
            .members
            .get_mut(host)
            .and_then(|member| member.process(incarnation))
        else {
            return;
        };
        let outgoing = process.registry.tick();
        if !is_idle {
            process.next_tick = None;
        }
        self.send_all(host, outgoing);
        if is_idle {
            let host = host.clone();
            self.schedule(
                IDLE_TICK,
                Event::Tick {
                    host,
                    incarnation,
                    is_idle,
                },
            );
            return;
        }
        self.after_action(host);
    }

    pub(super) fn on_delivery(&mut self, delivery: Delivery<Packet>) {
        let Some(process) = self
            .members
            .get_mut(&delivery.to)
            .and_then(|member| member.process.as_mut())
        else {
            return;
        };
        let Packet {
            incarnation,
            message,
        } = delivery.message;
        let outgoing = process
            .registry
            .on_message(&delivery.from, incarnation, message);
        self.send_all(&delivery.to, outgoing);
        self.after_action(&delivery.to);
    }
}
