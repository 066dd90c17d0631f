//! The attempt registry of one host: it claims keys for its own callers, and is
//! a witness of the keys that the host list assigns to it. It does no I/O.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{Clock, HostId, HostList, rendezvous};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::attempt::{AttemptKey, AttemptMessage, ClaimEnd, ClaimId};

use crate::attempt::{
    AttemptDecision, AttemptReport, AttemptRequest, AttemptResult, AttemptTicket, Permission,
    PermitError,
};
use crate::buckets::Bucket;
use crate::claimant::Conclusion;
use crate::hand_off::{HandOffState, RECOVERY_TIME};
use crate::lists::ListTracker;
use crate::refusal::Outcome;
use crate::rounds::{Attempt, Stage};
use crate::settings::AttemptSettings;
use crate::witness::Witness;

/// Decides whether attempts of this host's callers may run, and keeps the
/// idempotency records for which this host is a witness.
pub struct AttemptRegistry {
    pub(crate) self_id: HostId,
    pub(crate) incarnation: u64,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) settings: AttemptSettings,
    pub(crate) lists: ListTracker,
    pub(crate) witness: Witness,
    pub(crate) hand_off: HandOffState,
    pub(crate) outbox: Vec<Outgoing<AttemptMessage>>,
    pub(crate) attempts: BTreeMap<AttemptTicket, Attempt>,
    pub(crate) tickets: HashMap<ClaimId, AttemptTicket>,
    next_ticket: u64,
    pub(crate) decisions: Vec<AttemptDecision>,
    pub(crate) report: AttemptReport,
}

impl AttemptRegistry {
    /// Creates the empty registry of a process that has just started. Hosts that
    /// share a seed still draw different numbers.
    #[must_use]
    pub fn new(
        self_id: HostId,
        incarnation: u64,
        clock: Arc<dyn Clock>,
        seed: u64,
        settings: AttemptSettings,
    ) -> Self {
        let witness = Witness::new(self_id.clone(), settings, &*clock);
        let name_hash = rendezvous::weight("attempts", self_id.as_str());
        let own_seed = seed ^ incarnation ^ name_hash;
        let recover_until = clock.now() + RECOVERY_TIME;
        Self {
            self_id,
            incarnation,
            clock,
            rng: fastrand::Rng::with_seed(own_seed),
            settings,
            lists: ListTracker::new(settings),
            witness,
            hand_off: HandOffState::new(recover_until),
            outbox: Vec::new(),
            attempts: BTreeMap::new(),
            tickets: HashMap::new(),
            next_ticket: 0,
            decisions: Vec::new(),
            report: AttemptReport::default(),
        }
    }

    /// Returns the number that identifies this process.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Applies a host list from any source. Older lists are ignored.
    pub fn apply_host_list(&mut self, list: &HostList) {
        self.lists.apply(list, &*self.clock);
    }

    /// Records evidence that no list newer than `version` was published more
    /// than the list lag ago: a read of the list, or reports from a majority of
    /// the hosts of this failure domain that none has seen a newer one.
    pub fn confirm_host_list(&mut self, version: u64) {
        self.lists.confirm(version, &*self.clock);
    }

    /// Begins an attempt. [`Self::take_decisions`] returns whether it may run.
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
        if let Some(retry_after) = self.time_until_open() {
            self.conclude(ticket, Permission::InProgress { retry_after });
        } else {
            self.start_round(ticket);
        }
        (ticket, self.take_outbox())
    }

    /// Removes and returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<AttemptDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Checks the permission right before the first byte can be sent, and marks
    /// the attempt as dispatched. After an error the attempt must not be
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
            Err(PermitError::RecordsExpired)
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

    /// Returns the outcome of a dispatched attempt that the upstream shed. After
    /// a pause longer than the window the outcome is unknown, because another
    /// attempt may have run meanwhile. Call this before [`Self::finish`].
    #[must_use]
    pub fn shed_outcome(&self, ticket: AttemptTicket) -> Outcome {
        let Some(Stage::Dispatched(round)) = self.attempts.get(&ticket).map(|open| &open.stage)
        else {
            return Outcome::Unknown;
        };
        if round.first_sent.longest_age(&*self.clock) > self.settings.window {
            return Outcome::Unknown;
        }
        Outcome::NotRun
    }

    /// Ends a permitted attempt and reports the result to its witnesses.
    pub fn finish(
        &mut self,
        ticket: AttemptTicket,
        result: AttemptResult,
    ) -> Vec<Outgoing<AttemptMessage>> {
        let end = match result {
            AttemptResult::NotRun => ClaimEnd::NotRun,
            AttemptResult::Answered(answer) if answer.is_storable() => ClaimEnd::Answered(answer),
            AttemptResult::Answered(_) | AttemptResult::Unknown => ClaimEnd::Unknown,
        };
        if let Some(attempt) = self.attempts.remove(&ticket) {
            self.report_end(&attempt, &end);
        }
        self.take_outbox()
    }

    /// Handles a message of another host.
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

    /// Resends unanswered messages, ends waits and drops expired records.
    pub fn tick(&mut self) -> Vec<Outgoing<AttemptMessage>> {
        let now = self.clock.now();
        self.lists.refresh(&*self.clock);
        self.witness.store.expire(now);
        self.witness.expire_takeovers(&self.lists, &*self.clock);
        let tickets: Vec<_> = self.attempts.keys().copied().collect();
        for ticket in tickets {
            self.tick_attempt(ticket, now);
        }
        self.tick_hand_off();
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

    pub(crate) fn bucket_of(&self, key: &AttemptKey) -> Bucket {
        Bucket::of(key, self.settings.buckets)
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
            AttemptMessage::HandOff(part) => self.on_hand_off(from, part),
            AttemptMessage::HandOffAck { id, part } => self.on_hand_off_ack(from, id, part),
            AttemptMessage::HandOffCommit { id } => self.on_hand_off_commit(from, id),
            AttemptMessage::Recover { topology } => {
                self.on_recover(from, incarnation, topology);
            }
            AttemptMessage::Adopt { topology } => self.on_adopt(from, incarnation, topology),
            AttemptMessage::Quarantine(_) => {
                log::warn!("attempts: dropped a message of {from}, it belongs to the quarantine");
            }
        }
    }

    fn time_until_open(&self) -> Option<Duration> {
        let opened_at = self.settings.opened_at?;
        let left = opened_at.duration_since(self.clock.wall()).ok()?;
        (!left.is_zero()).then_some(left)
    }
}
