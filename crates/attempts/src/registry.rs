//! The attempt records of one host: claimant for its own callers, witness for
//! the keys that it remembers. It does no input or output.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{BodyDigest, Clock, HostId, HostList};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::attempt::{AttemptKey, AttemptMessage, ClaimEnd, ClaimId, Verdict};

use crate::attempt::{
    AttemptDecision, AttemptReport, AttemptRequest, AttemptResult, AttemptTicket, Permission,
    PermitError, UnknownCause,
};
use crate::claimant::{ClaimRound, Conclusion, Step};
use crate::hand_over::HandOverState;
use crate::lists::ListTracker;
use crate::settings::AttemptSettings;
use crate::witness::Witness;
use crate::witnesses::HashKey;

/// How long a caller waits before it asks for a running attempt again.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

#[derive(Debug)]
enum Stage {
    Asking(ClaimRound),
    BackingOff { until: Instant, last: Conclusion },
    Permitted(ClaimRound),
    Dispatched(ClaimRound),
}

#[derive(Debug)]
struct Attempt {
    key: AttemptKey,
    body: BodyDigest,
    deadline: Instant,
    give_up_at: Instant,
    rounds: u32,
    stage: Stage,
}

/// The attempt records of one host.
pub struct AttemptRegistry {
    pub(crate) self_id: HostId,
    pub(crate) incarnation: u64,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) settings: AttemptSettings,
    pub(crate) lists: ListTracker,
    pub(crate) witness: Witness,
    pub(crate) hand_over: HandOverState,
    pub(crate) outbox: Vec<Outgoing<AttemptMessage>>,
    attempts: BTreeMap<AttemptTicket, Attempt>,
    tickets: HashMap<ClaimId, AttemptTicket>,
    next_ticket: u64,
    decisions: Vec<AttemptDecision>,
    report: AttemptReport,
}

impl AttemptRegistry {
    /// Creates the records of a host whose process has just started. The seed
    /// must differ between processes.
    #[must_use]
    pub fn new(
        self_id: HostId,
        incarnation: u64,
        clock: Arc<dyn Clock>,
        seed: u64,
        settings: AttemptSettings,
    ) -> Self {
        let witness = Witness::new(self_id.clone(), settings, &*clock);
        let recover_until = clock.now() + settings.coverage() / 2;
        Self {
            self_id,
            incarnation,
            clock,
            rng: fastrand::Rng::with_seed(seed ^ incarnation),
            settings,
            lists: ListTracker::new(settings),
            witness,
            hand_over: HandOverState::new(recover_until),
            outbox: Vec::new(),
            attempts: BTreeMap::new(),
            tickets: HashMap::new(),
            next_ticket: 0,
            decisions: Vec::new(),
            report: AttemptReport::default(),
        }
    }

    /// Takes a host list, from whomever. Older ones are ignored.
    pub fn apply_host_list(&mut self, list: &HostList) {
        self.lists.apply(list, &*self.clock);
    }

    /// Notes evidence that no list newer than `version` was published more
    /// than the list lag ago: a read of the list, or the word of a majority of
    /// this failure domain's hosts that none has seen a newer one.
    pub fn confirm_host_list(&mut self, version: u64) {
        self.lists.confirm(version, &*self.clock);
    }

    /// Begins an attempt. [`Self::decisions`] tells whether it may run.
    pub fn begin(
        &mut self,
        request: &AttemptRequest,
    ) -> (AttemptTicket, Vec<Outgoing<AttemptMessage>>) {
        let ticket = AttemptTicket(self.next_ticket);
        self.next_ticket += 1;
        let now = self.clock.now();
        let attempt = Attempt {
            key: AttemptKey::new(&request.workspace, &request.idempotency_key),
            body: request.body_digest,
            deadline: request.deadline,
            give_up_at: request.deadline.min(now + self.settings.permit_term),
            rounds: 0,
            stage: Stage::BackingOff {
                until: now,
                last: Conclusion::Unsettled,
            },
        };
        self.attempts.insert(ticket, attempt);
        if let Some(retry_after) = self.opens_in() {
            self.conclude(ticket, Permission::InProgress { retry_after });
        } else {
            self.start_round(ticket);
        }
        (ticket, self.take_outbox())
    }

    /// Takes the decisions made since the last call.
    pub fn decisions(&mut self) -> Vec<AttemptDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Checks the permission right before the first byte can leave, and marks
    /// the attempt as dispatched. On an error the attempt must not be
    /// dispatched, and must still be finished as not run.
    ///
    /// # Errors
    ///
    /// Returns an error unless the attempt holds a permission that has not
    /// expired and was not used before.
    pub fn check_before_dispatch(&mut self, ticket: AttemptTicket) -> Result<(), PermitError> {
        self.lists.refresh(&*self.clock);
        let attempt = self.attempts.get_mut(&ticket);
        let attempt = attempt.ok_or(PermitError::NotPermitted)?;
        let Stage::Permitted(round) = &attempt.stage else {
            return Err(PermitError::NotPermitted);
        };
        let age = round.first_sent.longest_age(&*self.clock);
        let checked = if age > self.settings.window {
            Err(PermitError::Forgotten)
        } else if age > self.settings.permit_term {
            Err(PermitError::Expired)
        } else if self.lists.trusted(&*self.clock).is_none() {
            Err(PermitError::ListStale)
        } else if self.clock.now() >= attempt.deadline {
            Err(PermitError::DeadlineExceeded)
        } else {
            Ok(())
        };
        if checked.is_err() {
            self.report.expired_permits += 1;
            return checked;
        }
        let placeholder = Stage::BackingOff {
            until: attempt.deadline,
            last: Conclusion::Unsettled,
        };
        if let Stage::Permitted(round) = std::mem::replace(&mut attempt.stage, placeholder) {
            attempt.stage = Stage::Dispatched(round);
        }
        Ok(())
    }

    /// Ends a permitted attempt and tells its witnesses.
    pub fn finish(
        &mut self,
        ticket: AttemptTicket,
        result: AttemptResult,
    ) -> Vec<Outgoing<AttemptMessage>> {
        let end = match result {
            AttemptResult::NotRun => ClaimEnd::NotRun,
            AttemptResult::Answered(answer) if answer.fits() => ClaimEnd::Answered(answer),
            AttemptResult::Answered(_) | AttemptResult::Unknown => ClaimEnd::Unknown,
        };
        if let Some(attempt) = self.attempts.remove(&ticket) {
            self.end_round(&attempt, &end);
        }
        self.take_outbox()
    }

    /// Takes a message of another host.
    pub fn on_message(
        &mut self,
        from: &HostId,
        incarnation: u64,
        message: AttemptMessage,
    ) -> Vec<Outgoing<AttemptMessage>> {
        self.lists.refresh(&*self.clock);
        self.handle(from, incarnation, message);
        self.take_outbox()
    }

    /// Repeats unanswered messages, ends waits and forgets old records.
    pub fn tick(&mut self) -> Vec<Outgoing<AttemptMessage>> {
        let now = self.clock.now();
        self.lists.refresh(&*self.clock);
        self.witness.store.expire(now);
        let tickets: Vec<_> = self.attempts.keys().copied().collect();
        for ticket in tickets {
            self.tick_attempt(ticket, now);
        }
        self.tick_hand_over();
        self.take_outbox()
    }

    /// Returns when [`Self::tick`] is next needed for an open attempt.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        let dues = self.attempts.values().map(|attempt| match &attempt.stage {
            Stage::Asking(round) => round.resend_at.min(attempt.give_up_at),
            Stage::BackingOff { until, .. } => *until,
            Stage::Permitted(_) | Stage::Dispatched(_) => {
                attempt.deadline + self.settings.permit_term
            }
        });
        dues.min()
    }

    /// Returns counters and sizes.
    #[must_use]
    pub fn report(&self) -> AttemptReport {
        AttemptReport {
            records: self.witness.store.len(),
            answer_bytes: self.witness.store.answer_bytes(),
            memory_bytes: self.witness.store.memory_bytes(),
            open_attempts: self.attempts.len(),
            is_covered: self.witness.is_covered(&self.lists, self.clock.now()),
            is_list_trusted: self.lists.trusted(&*self.clock).is_some(),
            ..self.report
        }
    }

    pub(crate) fn take_outbox(&mut self) -> Vec<Outgoing<AttemptMessage>> {
        std::mem::take(&mut self.outbox)
    }

    pub(crate) fn send(&mut self, to: &HostId, message: AttemptMessage) {
        self.outbox.push(Outgoing {
            to: to.clone(),
            message,
        });
    }

    fn handle(&mut self, from: &HostId, incarnation: u64, message: AttemptMessage) {
        match message {
            AttemptMessage::Claim(claim) => {
                let verdict = self.witness.on_claim(&claim, &self.lists, &*self.clock);
                log::debug!("attempts: claim of {from} on {:?}: {verdict:?}", claim.key);
                let claim = claim.claim;
                self.send(from, AttemptMessage::Verdict { claim, verdict });
            }
            AttemptMessage::Verdict { claim, verdict } => self.on_verdict(from, claim, verdict),
            AttemptMessage::Finish { key, claim, end } => {
                self.forward_finish(key, claim, &end);
                self.witness.on_finish(key, claim, end, &*self.clock);
            }
            AttemptMessage::HandOver(part) => self.on_hand_over(from, part),
            AttemptMessage::HandOverAck { id, part } => self.on_hand_over_ack(from, id, part),
            AttemptMessage::HandOverCommit { id } => self.on_hand_over_commit(from, id),
            AttemptMessage::Recover => self.on_recover(from, incarnation),
        }
    }

    fn opens_in(&self) -> Option<Duration> {
        let opened_at = self.settings.opened_at?;
        let left = opened_at.duration_since(self.clock.wall()).ok()?;
        (!left.is_zero()).then_some(left)
    }

    fn start_round(&mut self, ticket: AttemptTicket) {
        self.lists.refresh(&*self.clock);
        let Some(topology) = self.lists.trusted(&*self.clock).cloned() else {
            let unknown = Permission::Unknown(UnknownCause::ListStale);
            self.conclude(ticket, unknown);
            return;
        };
        let Some(attempt) = self.attempts.get_mut(&ticket) else {
            return;
        };
        let count = self.settings.plan.witnesses();
        let witnesses = topology.witnesses(&HashKey::new(&attempt.key), count);
        let claim = ClaimId(self.rng.u64(..).to_le_bytes());
        let timeout = self.settings.verdict_timeout;
        let mut round = ClaimRound::new(claim, witnesses, timeout, &*self.clock);
        let hosts = round.ask_quorum();
        attempt.rounds += 1;
        attempt.stage = Stage::Asking(round);
        self.tickets.insert(claim, ticket);
        self.send_claim(ticket, &hosts);
        self.evaluate(ticket, false);
    }

    /// Sends the open claim; this host's own verdict is taken at once.
    fn send_claim(&mut self, ticket: AttemptTicket, hosts: &[HostId]) {
        let now = self.clock.now();
        for host in hosts {
            let Some(attempt) = self.attempts.get_mut(&ticket) else {
                return;
            };
            let Stage::Asking(round) = &mut attempt.stage else {
                return;
            };
            let time_left = attempt.deadline.saturating_duration_since(now);
            let claim = round.message(attempt.key, attempt.body, time_left);
            if host == &self.self_id {
                let verdict = self.witness.on_claim(&claim, &self.lists, &*self.clock);
                round.on_verdict(host, verdict);
                continue;
            }
            self.send(host, AttemptMessage::Claim(claim));
        }
    }

    fn on_verdict(&mut self, from: &HostId, claim: ClaimId, verdict: Verdict) {
        let Some(ticket) = self.tickets.get(&claim).copied() else {
            return;
        };
        let Some(attempt) = self.attempts.get_mut(&ticket) else {
            return;
        };
        let Stage::Asking(round) = &mut attempt.stage else {
            return;
        };
        round.on_verdict(from, verdict);
        self.evaluate(ticket, false);
    }

    fn evaluate(&mut self, ticket: AttemptTicket, is_time_up: bool) {
        loop {
            let Some(attempt) = self.attempts.get_mut(&ticket) else {
                return;
            };
            let Stage::Asking(round) = &mut attempt.stage else {
                return;
            };
            match round.evaluate(is_time_up) {
                Step::Wait => return,
                Step::AskNext => {
                    let next: Vec<_> = round.ask_next().into_iter().collect();
                    self.send_claim(ticket, &next);
                }
                Step::Permit => {
                    self.permit(ticket);
                    return;
                }
                Step::Conclude(conclusion) => {
                    self.end_claim(ticket, conclusion, is_time_up);
                    return;
                }
            }
        }
    }

    fn permit(&mut self, ticket: AttemptTicket) {
        let Some(mut attempt) = self.attempts.remove(&ticket) else {
            return;
        };
        if let Stage::Asking(round) = attempt.stage {
            attempt.stage = Stage::Permitted(round);
        }
        log::info!("attempts: {:?} may run", attempt.key);
        self.attempts.insert(ticket, attempt);
        self.report.permitted += 1;
        let permission = Permission::Run;
        self.decisions.push(AttemptDecision { ticket, permission });
    }

    fn end_claim(&mut self, ticket: AttemptTicket, conclusion: Conclusion, is_time_up: bool) {
        let permission = match conclusion {
            Conclusion::FirstAnswer(answer) => Permission::FirstAnswer(answer),
            Conclusion::Unknown(cause) => Permission::Unknown(cause),
            Conclusion::Misuse => Permission::Misuse,
            Conclusion::Contended | Conclusion::Unsettled => {
                self.back_off(ticket, conclusion, is_time_up);
                return;
            }
        };
        self.conclude(ticket, permission);
    }

    /// Gives the claim back and claims anew after a random time, so that two
    /// claimants cannot hold each other up for ever.
    fn back_off(&mut self, ticket: AttemptTicket, last: Conclusion, is_time_up: bool) {
        let Some(mut attempt) = self.attempts.remove(&ticket) else {
            return;
        };
        if is_time_up || attempt.rounds >= self.settings.claim_rounds {
            self.attempts.insert(ticket, attempt);
            self.conclude(ticket, last_resort(&last));
            return;
        }
        self.end_round(&attempt, &ClaimEnd::NotRun);
        let longest = self.settings.verdict_timeout * (1 << attempt.rounds.min(8));
        let until = self.clock.now() + longest.mul_f64(0.5 + self.rng.f64() / 2.0);
        attempt.stage = Stage::BackingOff { until, last };
        self.attempts.insert(ticket, attempt);
    }

    fn conclude(&mut self, ticket: AttemptTicket, permission: Permission) {
        let Some(attempt) = self.attempts.remove(&ticket) else {
            return;
        };
        self.end_round(&attempt, &ClaimEnd::NotRun);
        let counter = match &permission {
            Permission::Run => &mut self.report.permitted,
            Permission::FirstAnswer(_) => &mut self.report.first_answers,
            Permission::InProgress { .. } => &mut self.report.in_progress,
            Permission::Unknown(UnknownCause::EarlierAttempt) => &mut self.report.earlier_attempts,
            Permission::Unknown(_) => &mut self.report.not_vouched,
            Permission::Misuse => &mut self.report.misuses,
        };
        *counter += 1;
        log::info!("attempts: {:?} is refused: {permission:?}", attempt.key);
        self.decisions.push(AttemptDecision { ticket, permission });
    }

    /// Tells all asked witnesses how the claim ended.
    fn end_round(&mut self, attempt: &Attempt, end: &ClaimEnd) {
        let (Stage::Asking(round) | Stage::Permitted(round) | Stage::Dispatched(round)) =
            &attempt.stage
        else {
            return;
        };
        self.tickets.remove(&round.claim);
        let (key, claim) = (attempt.key, round.claim);
        for host in round.asked() {
            let end = end.clone();
            if host == &self.self_id {
                self.witness.on_finish(key, claim, end, &*self.clock);
                continue;
            }
            self.outbox.push(Outgoing {
                to: host.clone(),
                message: AttemptMessage::Finish { key, claim, end },
            });
        }
    }

    fn tick_attempt(&mut self, ticket: AttemptTicket, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(&ticket) else {
            return;
        };
        let give_up = now >= attempt.give_up_at;
        match &mut attempt.stage {
            Stage::Asking(_) if give_up => self.evaluate(ticket, true),
            Stage::Asking(round) if now >= round.resend_at => {
                let hosts = round.resend(now);
                self.send_claim(ticket, &hosts);
                self.evaluate(ticket, false);
            }
            Stage::BackingOff { last, .. } if give_up => {
                let permission = last_resort(last);
                self.conclude(ticket, permission);
            }
            Stage::BackingOff { until, .. } if now >= *until => self.start_round(ticket),
            Stage::Permitted(_) | Stage::Dispatched(_)
                if now >= attempt.deadline + self.settings.permit_term =>
            {
                log::warn!("attempts: {:?} was never finished", attempt.key);
                self.abandon(ticket);
            }
            _ => {}
        }
    }

    fn abandon(&mut self, ticket: AttemptTicket) {
        let Some(attempt) = self.attempts.remove(&ticket) else {
            return;
        };
        self.end_round(&attempt, &ClaimEnd::Unknown);
    }
}

fn last_resort(last: &Conclusion) -> Permission {
    match last {
        Conclusion::Contended => Permission::InProgress {
            retry_after: IN_PROGRESS_RETRY,
        },
        _ => Permission::Unknown(UnknownCause::NotCovered),
    }
}
