//! The claimant: collects the verdicts of witnesses on one claim.

use std::time::{Duration, Instant};

use waxwingusher_core::{BodyDigest, Clock, HostId};
use waxwingusher_protocol::attempt::{
    AttemptKey, CannotVouchReason, Claim, ClaimId, StoredAnswer, Verdict,
};

use crate::attempt::UnknownCause;
use crate::placement::WitnessSet;
use crate::stamp::Stamp;

/// The most times that a claim is resent while another claim holds the key.
const MAX_CONTENDED_RESENDS: u32 = 2;

/// A witness that was asked, with its verdict.
#[derive(Debug)]
struct AskedWitness {
    host: HostId,
    verdict: Option<Verdict>,
}

/// One claim and the verdicts on it.
#[derive(Debug)]
pub(crate) struct ClaimRound {
    pub(crate) claim: ClaimId,
    pub(crate) first_sent: Stamp,
    pub(crate) resend_at: Instant,
    resend_after: Duration,
    resends: u32,
    witnesses: WitnessSet,
    asked: Vec<AskedWitness>,
}

/// The next step that follows from the verdicts so far.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Verdicts are outstanding.
    Wait,
    /// Another witness must be asked.
    AskNext,
    /// A quorum of witnesses granted the claim.
    Permit,
    /// The claim failed.
    Conclude(Conclusion),
}

/// Why a claim failed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Conclusion {
    /// An earlier attempt was answered.
    FirstAnswer(StoredAnswer),
    /// An earlier attempt may have run, or the witnesses do not know.
    Unknown(UnknownCause),
    /// The idempotency key belongs to another request.
    Misuse,
    /// Another claim holds the key at present.
    Contended,
    /// Hosts use different lists at present.
    Unsettled,
}

impl ClaimRound {
    pub(crate) fn new(
        claim: ClaimId,
        witnesses: WitnessSet,
        verdict_timeout: Duration,
        clock: &dyn Clock,
    ) -> Self {
        let first_sent = Stamp::now(clock);
        Self {
            claim,
            first_sent,
            resend_at: first_sent.monotonic() + verdict_timeout,
            resend_after: verdict_timeout,
            resends: 0,
            witnesses,
            asked: Vec::new(),
        }
    }

    /// Returns the claim as it is sent to the witnesses.
    pub(crate) fn message(&self, key: AttemptKey, body: BodyDigest, time_left: Duration) -> Claim {
        Claim {
            key,
            claim: self.claim,
            body,
            witness_set: self.witnesses.fingerprint(),
            time_left_ms: u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Marks a quorum of witnesses as asked, and returns them.
    pub(crate) fn ask_quorum(&mut self) -> Vec<HostId> {
        let mut hosts = Vec::with_capacity(self.witnesses.quorum());
        for _ in 0..self.witnesses.quorum() {
            hosts.extend(self.ask_next());
        }
        hosts
    }

    /// Marks one more witness as asked, and returns it if any was left.
    pub(crate) fn ask_next(&mut self) -> Option<HostId> {
        let host = self.witnesses.hosts().get(self.asked.len())?.clone();
        self.asked.push(AskedWitness {
            host: host.clone(),
            verdict: None,
        });
        Some(host)
    }

    /// Returns the witnesses without a verdict, to which the claim must be sent
    /// again, and those that were not asked yet.
    pub(crate) fn resend(&mut self, now: Instant) -> Vec<HostId> {
        self.resend_after *= 2;
        self.resends += 1;
        self.resend_at = now + self.resend_after;
        while self.ask_next().is_some() {}
        let missing = self.asked.iter().filter(|asked| asked.verdict.is_none());
        missing.map(|asked| asked.host.clone()).collect()
    }

    /// Reports whether another claim holds the key, and the claim was resent as
    /// often as allowed to the witnesses that could decide between both.
    pub(crate) fn is_stuck(&self) -> bool {
        let is_contended =
            |verdict: &Verdict| matches!(verdict, Verdict::Held | Verdict::OtherBody);
        self.resends >= MAX_CONTENDED_RESENDS && self.count(is_contended) > 0
    }

    /// Reports whether the list in use names other witnesses by now.
    pub(crate) fn is_outdated(&self, witnesses: &WitnessSet) -> bool {
        self.witnesses.hosts() != witnesses.hosts()
    }

    /// Returns all witnesses that may have recorded the claim.
    pub(crate) fn asked(&self) -> impl Iterator<Item = &HostId> {
        self.asked.iter().map(|asked| &asked.host)
    }

    /// Records a verdict. It replaces an earlier one of the same witness, unless
    /// that was a grant.
    pub(crate) fn on_verdict(&mut self, from: &HostId, verdict: Verdict) {
        let Some(asked) = self.asked.iter_mut().find(|asked| &asked.host == from) else {
            return;
        };
        if asked.verdict != Some(Verdict::Granted) {
            asked.verdict = Some(verdict);
        }
    }

    /// Evaluates the verdicts. If the time is up, missing verdicts are no longer
    /// waited for.
    pub(crate) fn evaluate(&self, is_time_up: bool) -> Step {
        if self.count(|verdict| *verdict == Verdict::Granted) >= self.witnesses.quorum() {
            return Step::Permit;
        }
        if let Some(answer) = self.first_answer() {
            return Step::Conclude(Conclusion::FirstAnswer(answer));
        }
        let has_outstanding = self.asked.iter().any(|asked| asked.verdict.is_none());
        let has_unasked = self.asked.len() < self.witnesses.len();
        if !is_time_up {
            let refused = self.count(|verdict| *verdict != Verdict::Granted);
            if has_unasked && self.asked.len() < self.witnesses.quorum() + refused {
                return Step::AskNext;
            }
            if has_outstanding {
                return Step::Wait;
            }
        }
        Step::Conclude(self.conclude(has_outstanding || has_unasked))
    }

    /// Returns why the claim fails if no further verdict arrives.
    pub(crate) fn conclude(&self, has_missing_verdicts: bool) -> Conclusion {
        let misuses = self.count(|verdict| *verdict == Verdict::OtherBody);
        if misuses >= self.witnesses.quorum() {
            return Conclusion::Misuse;
        }
        if self.count(|verdict| *verdict == Verdict::Unknown) > 0 {
            return Conclusion::Unknown(UnknownCause::EarlierAttempt);
        }
        if self.count(|verdict| *verdict == Verdict::Held) > 0 || misuses > 0 {
            return Conclusion::Contended;
        }
        if self.count(is_transient) > 0 {
            return Conclusion::Unsettled;
        }
        if has_missing_verdicts {
            return Conclusion::Unknown(UnknownCause::Unreachable);
        }
        Conclusion::Unknown(UnknownCause::NotCovered)
    }

    fn first_answer(&self) -> Option<StoredAnswer> {
        for asked in &self.asked {
            let Some(Verdict::Answered(answer)) = &asked.verdict else {
                continue;
            };
            return Some(answer.clone());
        }
        None
    }

    fn count(&self, fits: impl Fn(&Verdict) -> bool) -> usize {
        let verdicts = self.asked.iter().filter_map(|asked| asked.verdict.as_ref());
        verdicts.filter(|verdict| fits(verdict)).count()
    }
}

fn is_transient(verdict: &Verdict) -> bool {
    matches!(
        verdict,
        Verdict::CannotVouch(CannotVouchReason::OtherWitnesses | CannotVouchReason::ListStale)
    )
}
