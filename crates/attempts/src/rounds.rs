//! Claims of the attempts that a registry begins, in rounds.

use std::time::{Duration, Instant};

use waxwingusher_core::{BodyDigest, HostId, rendezvous};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::attempt::{AttemptKey, AttemptMessage, ClaimEnd, ClaimId, Verdict};

use crate::attempt::{AttemptDecision, AttemptTicket, Permission, UnknownCause};
use crate::buckets::Bucket;
use crate::claimant::{ClaimRound, Conclusion, Step};
use crate::placement::HashKey;
use crate::registry::AttemptRegistry;

/// How long a caller should wait before it repeats a request in progress.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

/// The state of an attempt.
#[derive(Debug)]
pub(crate) enum Stage {
    Asking(ClaimRound),
    BackingOff { until: Instant, last: Conclusion },
    Permitted(ClaimRound),
    Dispatched(ClaimRound),
}

/// An attempt of one of this host's callers that has not ended.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) key: AttemptKey,
    pub(crate) body: BodyDigest,
    pub(crate) deadline: Instant,
    pub(crate) give_up_at: Instant,
    pub(crate) rounds: u32,
    pub(crate) stage: Stage,
}

impl AttemptRegistry {
    pub(crate) fn start_round(&mut self, ticket: AttemptTicket) {
        self.lists.refresh(&*self.clock);
        let Some(topology) = self.lists.trusted(&*self.clock).cloned() else {
            let unknown = Permission::Unknown(UnknownCause::ListStale);
            self.conclude(ticket, unknown);
            return;
        };
        let Some(attempt) = self.attempts.get_mut(&ticket) else {
            return;
        };
        let count = self.settings.plan.witness_count();
        let bucket = Bucket::of(&attempt.key, self.settings.buckets);
        let witnesses = topology.witnesses(&HashKey::of_bucket(bucket), count);
        let claim = new_claim(&self.self_id, self.incarnation, &mut self.rng);
        let timeout = self.settings.verdict_timeout;
        let mut round = ClaimRound::new(claim, witnesses, timeout, &*self.clock);
        let hosts = round.ask_quorum();
        attempt.rounds += 1;
        attempt.stage = Stage::Asking(round);
        self.tickets.insert(claim, ticket);
        self.send_claim(ticket, &hosts);
        self.evaluate(ticket, false);
    }

    /// Sends the open claim to the hosts. If this host is one of them, its
    /// verdict is applied immediately.
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

    pub(crate) fn on_verdict(&mut self, from: &HostId, claim: ClaimId, verdict: Verdict) {
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
        log::info!(
            "attempts: {:?} may run, a quorum granted its claim",
            attempt.key
        );
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

    /// Releases the claim and claims again after a random delay, so that two
    /// claimants cannot block each other forever.
    fn back_off(&mut self, ticket: AttemptTicket, last: Conclusion, is_time_up: bool) {
        let Some(mut attempt) = self.attempts.remove(&ticket) else {
            return;
        };
        if is_time_up || attempt.rounds >= self.settings.claim_rounds {
            self.attempts.insert(ticket, attempt);
            self.conclude(ticket, unresolved_permission(&last));
            return;
        }
        self.report_end(&attempt, &ClaimEnd::NotRun);
        let longest = self.settings.verdict_timeout * (1 << attempt.rounds.min(8));
        let until = self.clock.now() + longest.mul_f64(0.5 + self.rng.f64() / 2.0);
        attempt.stage = Stage::BackingOff { until, last };
        self.attempts.insert(ticket, attempt);
    }

    pub(crate) fn conclude(&mut self, ticket: AttemptTicket, permission: Permission) {
        let Some(attempt) = self.attempts.remove(&ticket) else {
            return;
        };
        self.report_end(&attempt, &ClaimEnd::NotRun);
        let counter = match &permission {
            Permission::Run => &mut self.report.permitted,
            Permission::FirstAnswer(_) => &mut self.report.first_answers,
            Permission::InProgress { .. } => &mut self.report.in_progress,
            Permission::Unknown(UnknownCause::EarlierAttempt) => &mut self.report.earlier_attempts,
            Permission::Unknown(_) => &mut self.report.not_vouched,
            Permission::Misuse => &mut self.report.misuses,
        };
        *counter += 1;
        log::info!("attempts: {:?} must not run: {permission:?}", attempt.key);
        self.decisions.push(AttemptDecision { ticket, permission });
    }

    /// Reports the end of the claim to all witnesses that were asked.
    pub(crate) fn report_end(&mut self, attempt: &Attempt, end: &ClaimEnd) {
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

    /// Reports whether an open claim waits for verdicts although the list in
    /// use names other witnesses by now.
    fn is_outdated(&self, attempt: &Attempt) -> bool {
        let Stage::Asking(round) = &attempt.stage else {
            return false;
        };
        if self.clock.now() < round.resend_at {
            return false;
        }
        let Some(topology) = self.lists.trusted(&*self.clock) else {
            return false;
        };
        let key = HashKey::of_bucket(self.bucket_of(&attempt.key));
        let witnesses = topology.witnesses(&key, self.settings.plan.witness_count());
        round.is_outdated(&witnesses)
    }

    pub(crate) fn tick_attempt(&mut self, ticket: AttemptTicket, now: Instant) {
        let open = self.attempts.get(&ticket);
        if open.is_some_and(|attempt| now < attempt.give_up_at && self.is_outdated(attempt)) {
            self.end_claim(ticket, Conclusion::Unsettled, false);
            return;
        }
        let Some(attempt) = self.attempts.get_mut(&ticket) else {
            return;
        };
        let is_time_up = now >= attempt.give_up_at;
        match &mut attempt.stage {
            Stage::Asking(_) if is_time_up => self.evaluate(ticket, true),
            Stage::Asking(round) if now >= round.resend_at && round.is_stuck() => {
                let conclusion = round.conclude(true);
                self.end_claim(ticket, conclusion, false);
            }
            Stage::Asking(round) if now >= round.resend_at => {
                let hosts = round.resend(now);
                self.send_claim(ticket, &hosts);
                self.evaluate(ticket, false);
            }
            Stage::BackingOff { last, .. } if is_time_up => {
                let permission = unresolved_permission(last);
                self.conclude(ticket, permission);
            }
            Stage::BackingOff { until, .. } if now >= *until => self.start_round(ticket),
            Stage::Permitted(_) | Stage::Dispatched(_)
                if now >= attempt.deadline + self.settings.permit_term =>
            {
                log::warn!(
                    "attempts: {:?} was not finished in time, its outcome is unknown",
                    attempt.key
                );
                self.abandon(ticket);
            }
            _ => {}
        }
    }

    fn abandon(&mut self, ticket: AttemptTicket) {
        let Some(attempt) = self.attempts.remove(&ticket) else {
            return;
        };
        self.report_end(&attempt, &ClaimEnd::Unknown);
    }
}

/// Draws the id of a claim. Hosts that share a seed by mistake still draw
/// different ids.
fn new_claim(self_id: &HostId, incarnation: u64, rng: &mut fastrand::Rng) -> ClaimId {
    let drawn = format!("{incarnation:x}.{:x}", rng.u64(..));
    ClaimId(rendezvous::weight(&drawn, self_id.as_str()).to_le_bytes())
}

fn unresolved_permission(last: &Conclusion) -> Permission {
    match last {
        Conclusion::Contended => Permission::InProgress {
            retry_after: IN_PROGRESS_RETRY,
        },
        _ => Permission::Unknown(UnknownCause::NotCovered),
    }
}
