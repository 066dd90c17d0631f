//! One host's role as the ejection coordinator of a service.
//!
//! A coordinator pools the evidence of all hosts, asks them for their votes once an
//! ejection is due, and grants ejections only while a quorum is bound to it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use log::info;
use waxwingusher_core::{HostId, ServiceName};
use waxwingusher_protocol::health::{
    EjectionRow, Evidence, Grant, HealthMessage, InstanceKey, ServiceKey, Vote,
};

use crate::context::{CoordinatorContext, CoordinatorRank};
use crate::ejection::{EjectionContext, EjectionList};
use crate::pooled_evidence::{PooledEvidence, VantagePoint};
use crate::quorum::quorum;
use crate::score::{Score, Scores, ScoringContext, Verdict, score_all};
use crate::settings::{DRAIN_DEFERRAL, EJECTION_TERM, RENEWAL_INTERVAL, VOTE_TERM};
use crate::watch::watch_suspects;

const WATCH_ANSWER_TIME: Duration = Duration::from_millis(150);
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
const CAMPAIGN_TERM: Duration = Duration::from_millis(1_500);
const REMEMBERED_ROUNDS: usize = 8;

/// A message with its receiver.
pub type AddressedMessage = (HostId, HealthMessage);

#[derive(Debug, Clone, Copy)]
struct ReceivedVote {
    ballot: u64,
    asked_at: Instant,
    received_at: Instant,
}

/// The ejection coordinator of one service.
#[derive(Debug)]
pub struct Coordinator {
    service: ServiceKey,
    name: ServiceName,
    evidence: PooledEvidence,
    ejections: EjectionList,
    votes: BTreeMap<HostId, ReceivedVote>,
    /// Hosts whose grant of the current round named a ballot of theirs.
    named_ballots_of: BTreeSet<HostId>,
    unavailable: BTreeMap<InstanceKey, Instant>,
    /// When each host was asked for its latest report of unavailable instances.
    reports_asked_at: BTreeMap<HostId, Instant>,
    round: u64,
    rounds: VecDeque<(u64, Instant)>,
    last_evaluation: Instant,
    campaign_since: Option<Instant>,
    no_campaign_until: Instant,
    wanted_since: Option<Instant>,
    scores: Scores,
    rng: fastrand::Rng,
}

impl Coordinator {
    /// Creates a coordinator without evidence.
    #[must_use]
    pub fn new(name: &ServiceName, now: Instant, rng: fastrand::Rng) -> Self {
        Self {
            service: ServiceKey::of(name),
            name: name.clone(),
            evidence: PooledEvidence::new(now),
            ejections: EjectionList::new(name),
            votes: BTreeMap::new(),
            named_ballots_of: BTreeSet::new(),
            unavailable: BTreeMap::new(),
            reports_asked_at: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            last_evaluation: now,
            campaign_since: None,
            no_campaign_until: now,
            wanted_since: None,
            scores: Scores::default(),
            rng,
        }
    }

    /// Adds the evidence of a host.
    pub fn on_evidence(
        &mut self,
        now: Instant,
        from: &HostId,
        vantage_point: &VantagePoint,
        evidence: &Evidence,
    ) {
        self.ejections.on_evidence(evidence);
        self.evidence.add(now, vantage_point, evidence);
        self.evidence.set_usual(from, evidence.usual);
    }

    /// Records a host's vote, and grants ejections if it completes a quorum.
    pub fn on_vote(
        &mut self,
        context: &CoordinatorContext<'_>,
        from: &HostId,
        vote: &Vote,
    ) -> Vec<AddressedMessage> {
        for instance in &vote.unavailable {
            self.unavailable.insert(*instance, context.now + VOTE_TERM);
        }
        let asked = self.rounds.iter().find(|(round, _)| *round == vote.round);
        let Some((_, asked_at)) = asked else {
            return Vec::new();
        };
        let asked_at = *asked_at;
        let last_asked_at = self
            .reports_asked_at
            .entry(from.clone())
            .or_insert(asked_at);
        *last_asked_at = asked_at.max(*last_asked_at);
        let Some(ballot) = vote.ballot else {
            return Vec::new();
        };
        let had_quorum = self.has_quorum(context);
        let received = ReceivedVote {
            ballot,
            asked_at,
            received_at: context.now,
        };
        let is_newer = self
            .votes
            .get(from)
            .is_none_or(|known| known.asked_at <= received.asked_at);
        if is_newer {
            self.votes.insert(from.clone(), received);
        }
        if had_quorum {
            return self.grant_after_round(context, from, vote);
        }
        if !self.has_quorum(context) {
            return Vec::new();
        }
        self.campaign_since = Some(context.now);
        self.update_ejections(context);
        self.grant_round(context)
    }

    /// Discards all votes and the times of the reports, whose age is unknown after a
    /// suspension.
    pub fn revoke(&mut self) {
        self.votes.clear();
        self.reports_asked_at.clear();
    }

    /// Scores the evidence, and renews the votes and ejections that are due.
    pub fn tick(&mut self, context: &CoordinatorContext<'_>) -> Vec<AddressedMessage> {
        if !self.is_due(context.now, context.predecessor_ejections.0) {
            return Vec::new();
        }
        self.last_evaluation = context.now;
        self.evidence.expire(context.now);
        self.unavailable.retain(|_, until| context.now < *until);
        let pool_size = context.capacity.len();
        let scoring = ScoringContext {
            now: context.now,
            pool_size,
            expected_per_s: context.expected_per_s,
            thresholds: context.thresholds,
        };
        self.scores = score_all(&mut self.evidence, &scoring);
        let watch = watch_suspects(
            self.service,
            &mut self.evidence,
            &self.scores.scores,
            context,
        );
        let mut out: Vec<AddressedMessage> = Vec::new();
        if let Some(watch) = watch {
            let message = HealthMessage::Watch(watch);
            let hosts = context.hosts.iter();
            out.extend(hosts.map(|host| (host.clone(), message.clone())));
        }
        if !self.wants_to_act(context) {
            self.campaign_since = None;
            return out;
        }
        if self.abandons_campaign(context) {
            return out;
        }
        let has_changed = self.has_quorum(context) && self.update_ejections(context);
        if has_changed || self.is_renewal_due(context) {
            out.extend(self.grant_round(context));
        }
        out
    }

    /// Reports whether an evaluation is due. `predecessor_ejections` are those that
    /// another coordinator has granted to this host.
    #[must_use]
    pub fn is_due(&self, now: Instant, predecessor_ejections: &[EjectionRow]) -> bool {
        let age = now.saturating_duration_since(self.last_evaluation);
        let is_idle = self.evidence.is_empty()
            && self.ejections.is_idle()
            && self.scores.scores.is_empty()
            && predecessor_ejections.is_empty();
        !is_idle && age >= EVALUATION_INTERVAL
    }

    /// Returns the scores of the latest evaluation.
    #[must_use]
    pub fn scores(&self) -> &[Score] {
        &self.scores.scores
    }

    /// Reports whether a quorum is bound to this coordinator now.
    #[must_use]
    pub fn has_quorum(&self, context: &CoordinatorContext<'_>) -> bool {
        let valid_votes = context
            .hosts
            .iter()
            .filter_map(|host| self.votes.get(host))
            .filter(|vote| context.now < vote.asked_at + EJECTION_TERM)
            .count();
        valid_votes >= quorum(context.hosts.len())
    }

    fn wants_to_act(&mut self, context: &CoordinatorContext<'_>) -> bool {
        if !context.may_vote_for_self || context.now < self.no_campaign_until {
            return false;
        }
        let is_wanted = self.candidates(context).next().is_some() || self.can_take_over(context);
        if !is_wanted {
            self.wanted_since = None;
            return !self.ejections.is_idle();
        }
        let since = *self.wanted_since.get_or_insert(context.now);
        let delay = match context.rank {
            CoordinatorRank::Primary => Duration::ZERO,
            CoordinatorRank::Backup => context.settings.backup_delay,
        };
        !self.ejections.is_idle() || context.now >= since + delay
    }

    fn candidates<'a>(
        &'a self,
        context: &CoordinatorContext<'a>,
    ) -> impl Iterator<Item = &'a Score> {
        let slow_threshold = context.thresholds.slow;
        let failure_threshold = self.scores.failure_threshold;
        let now = context.now;
        self.scores.scores.iter().filter(move |score| {
            let is_high = score.failure >= failure_threshold || score.slow >= slow_threshold;
            let is_watched = self.evidence.instances().iter().any(|(key, evidence)| {
                *key == score.instance && evidence.is_watched(now, WATCH_ANSWER_TIME)
            });
            is_high
                && is_watched
                && score.verdict == Verdict::InstanceFault
                && !self.ejections.contains(score.instance)
        })
    }

    fn can_take_over(&self, context: &CoordinatorContext<'_>) -> bool {
        let (rows, until) = context.predecessor_ejections;
        let is_recent = context.now < until + 2 * VOTE_TERM;
        self.ejections.is_idle() && !rows.is_empty() && is_recent
    }

    /// Stops for a while if no quorum can be reached, so that two coordinators that
    /// split the votes do not keep renewing them.
    fn abandons_campaign(&mut self, context: &CoordinatorContext<'_>) -> bool {
        let since = *self.campaign_since.get_or_insert(context.now);
        if self.has_quorum(context) {
            self.campaign_since = Some(context.now);
            return false;
        }
        if context.now < since + CAMPAIGN_TERM {
            return false;
        }
        let jitter = VOTE_TERM.mul_f64(self.rng.f64() / 2.0);
        self.no_campaign_until = context.now + VOTE_TERM + jitter;
        self.campaign_since = None;
        info!(
            "health: service {} has no quorum for ejections, pausing its campaign",
            self.name
        );
        true
    }

    /// Updates the ejections by evidence, capacity and time, and reports whether
    /// they have changed.
    fn update_ejections(&mut self, context: &CoordinatorContext<'_>) -> bool {
        let has_taken_over = if self.can_take_over(context) {
            self.ejections
                .take_over(context.now, context.predecessor_ejections.0)
        } else {
            false
        };
        let unavailable_elsewhere: Vec<InstanceKey> = self.unavailable.keys().copied().collect();
        let mut wanted: Vec<Score> = self.candidates(context).copied().collect();
        wanted.sort_by(|a, b| b.bad_share.total_cmp(&a.bad_share));
        let ejection_context = EjectionContext {
            now: context.now,
            settings: context.settings,
            capacity: context.capacity,
            unavailable_elsewhere: &unavailable_elsewhere,
            all_reported_since: self.all_reported_since(context),
            are_reports_current: self.are_reports_current(context),
        };
        let changes = self.ejections.update(&ejection_context, &wanted);
        for instance in &changes.cleared {
            self.evidence.clear(*instance);
        }
        has_taken_over || changes.has_changed
    }

    /// Returns the earliest time at which a listed host was asked for its latest
    /// report of unavailable instances, or none if a host has not reported.
    fn all_reported_since(&self, context: &CoordinatorContext<'_>) -> Option<Instant> {
        let mut since = context.now;
        for host in context.hosts {
            since = since.min(*self.reports_asked_at.get(host)?);
        }
        Some(since)
    }

    /// Reports whether no unreported drain can close an instance before the
    /// ejections under the votes so far end.
    fn are_reports_current(&self, context: &CoordinatorContext<'_>) -> bool {
        let last_vote = self.votes.values().map(|vote| vote.received_at).max();
        let (Some(since), Some(last_vote)) = (self.all_reported_since(context), last_vote) else {
            return false;
        };
        last_vote + EJECTION_TERM <= since + DRAIN_DEFERRAL
    }

    fn is_renewal_due(&self, context: &CoordinatorContext<'_>) -> bool {
        self.rounds
            .back()
            .is_none_or(|(_, sent)| context.now >= *sent + RENEWAL_INTERVAL)
    }

    /// Grants the ejections to a host whose first vote arrived after the grants of
    /// the current round were sent.
    fn grant_after_round(
        &mut self,
        context: &CoordinatorContext<'_>,
        host: &HostId,
        vote: &Vote,
    ) -> Vec<AddressedMessage> {
        if vote.round != self.round || !self.named_ballots_of.insert(host.clone()) {
            return Vec::new();
        }
        let rows = self.ejections.grant(context.now);
        vec![self.grant_to(context, host, rows)]
    }

    fn grant_to(
        &self,
        context: &CoordinatorContext<'_>,
        host: &HostId,
        ejections: Vec<EjectionRow>,
    ) -> AddressedMessage {
        let own = context.capacity.unavailable.iter();
        let known: BTreeSet<_> = own.chain(self.unavailable.keys()).copied().collect();
        let grant = Grant {
            service: self.service,
            round: self.round,
            ballot: self.votes.get(host).map(|vote| vote.ballot),
            ejections,
            unavailable: known.into_iter().collect(),
            are_reports_current: self.are_reports_current(context),
        };
        (host.clone(), HealthMessage::Grant(grant))
    }

    fn grant_round(&mut self, context: &CoordinatorContext<'_>) -> Vec<AddressedMessage> {
        self.round += 1;
        self.rounds.push_back((self.round, context.now));
        if self.rounds.len() > REMEMBERED_ROUNDS {
            self.rounds.pop_front();
        }
        let rows = if self.has_quorum(context) {
            self.ejections.grant(context.now)
        } else {
            Vec::new()
        };
        self.named_ballots_of.clear();
        let mut out = Vec::with_capacity(context.hosts.len());
        for host in context.hosts {
            if self.votes.contains_key(host) {
                self.named_ballots_of.insert(host.clone());
            }
            out.push(self.grant_to(context, host, rows.clone()));
        }
        out
    }
}
