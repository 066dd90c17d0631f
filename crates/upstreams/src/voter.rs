//! One host's vote for a coordinator, and the ejections granted under it.
//!
//! Each vote binds the host to one coordinator for [`VOTE_TERM`]. The host applies
//! that coordinator's ejections for [`EJECTION_TERM`] from the vote whose ballot the
//! grant names. The coordinator counts a vote for [`EJECTION_TERM`] from its request.
//! An ejection has therefore ended on every host before its quorum can vote for
//! another coordinator.

use std::time::Instant;

use waxwingusher_core::HostId;
use waxwingusher_protocol::health::{EjectionRow, Grant, InstanceKey};

use crate::settings::{EJECTION_TERM, VOTE_TERM};

const REMEMBERED_BALLOTS: usize = 4;

#[derive(Debug, Clone, PartialEq, Eq)]
struct CoordinatorId {
    host: HostId,
    incarnation: u64,
}

#[derive(Debug, Clone)]
struct Binding {
    coordinator: CoordinatorId,
    until: Instant,
    last_round: u64,
    last_ballot_round: u64,
    ballots: Vec<(u64, Instant)>,
}

/// The vote and the ejections of one service at one host.
#[derive(Debug)]
pub struct Voter {
    may_vote_from: Instant,
    next_ballot: u64,
    binding: Option<Binding>,
    ejections: Vec<EjectionRow>,
    granted_by: Option<CoordinatorId>,
    unavailable: Vec<InstanceKey>,
    are_reports_current: bool,
    ejections_until: Instant,
}

impl Voter {
    /// Creates a voter that does not vote until the votes of a former process of the
    /// same host no longer bind.
    #[must_use]
    pub fn new(started: Instant, first_ballot: u64) -> Self {
        Self {
            may_vote_from: started + VOTE_TERM,
            next_ballot: first_ballot,
            binding: None,
            ejections: Vec::new(),
            granted_by: None,
            unavailable: Vec::new(),
            are_reports_current: false,
            ejections_until: started,
        }
    }

    /// Applies a coordinator's grant and returns the ballot of a new vote, unless the
    /// host may not vote for this coordinator now.
    pub fn on_grant(
        &mut self,
        now: Instant,
        from: &HostId,
        incarnation: u64,
        grant: &Grant,
    ) -> Option<u64> {
        let coordinator = CoordinatorId {
            host: from.clone(),
            incarnation,
        };
        if now < self.may_vote_from || self.is_bound_to_other(now, &coordinator) {
            return None;
        }
        let mut binding = match self.binding.take() {
            Some(binding) if binding.coordinator == coordinator => binding,
            _ => Binding {
                coordinator,
                until: now,
                last_round: 0,
                last_ballot_round: 0,
                ballots: Vec::new(),
            },
        };
        let is_round_completion = grant.round == binding.last_round
            && grant.ballot.is_some()
            && binding.last_ballot_round < grant.round;
        if grant.round <= binding.last_round && !is_round_completion {
            self.binding = Some(binding);
            return None;
        }
        self.apply(&binding, grant, now);
        let ballot = self.next_ballot;
        self.next_ballot = self.next_ballot.wrapping_add(1);
        binding.last_round = grant.round;
        if grant.ballot.is_some() {
            binding.last_ballot_round = grant.round;
        }
        binding.until = now + VOTE_TERM;
        binding.ballots.push((ballot, now));
        if binding.ballots.len() > REMEMBERED_BALLOTS {
            binding.ballots.remove(0);
        }
        self.binding = Some(binding);
        Some(ballot)
    }

    /// Ends the ejections, and discards the ballots that later grants could name, as
    /// the time of a suspension does not count in their terms. The binding remains.
    pub fn revoke(&mut self, now: Instant) {
        self.ejections_until = now;
        if let Some(binding) = &mut self.binding {
            binding.ballots.clear();
        }
    }

    /// Returns the ejections in force, in the order of the coordinator.
    #[must_use]
    pub fn ejections(&self, now: Instant) -> &[EjectionRow] {
        if now < self.ejections_until {
            &self.ejections
        } else {
            &[]
        }
    }

    /// Returns the instances that the grant of the ejections lists as unavailable for
    /// other reasons.
    #[must_use]
    pub fn unavailable(&self) -> &[InstanceKey] {
        &self.unavailable
    }

    /// Reports whether the coordinator had current reports of unavailable instances
    /// from all hosts as it granted the ejections.
    #[must_use]
    pub fn are_reports_current(&self) -> bool {
        self.are_reports_current
    }

    /// Returns the latest ejections and their end, whether or not they are still in
    /// force, if another coordinator than the given one granted them.
    #[must_use]
    pub fn predecessor_ejections(
        &self,
        host: &HostId,
        incarnation: u64,
    ) -> (&[EjectionRow], Instant) {
        let is_own = self.granted_by.as_ref().is_some_and(|coordinator| {
            coordinator.host == *host && coordinator.incarnation == incarnation
        });
        let rows = if is_own { &[][..] } else { &self.ejections };
        (rows, self.ejections_until)
    }

    /// Reports whether the host may vote for this coordinator now.
    #[must_use]
    pub fn may_vote_for(&self, now: Instant, host: &HostId, incarnation: u64) -> bool {
        let coordinator = CoordinatorId {
            host: host.clone(),
            incarnation,
        };
        now >= self.may_vote_from && !self.is_bound_to_other(now, &coordinator)
    }

    fn is_bound_to_other(&self, now: Instant, coordinator: &CoordinatorId) -> bool {
        self.binding
            .as_ref()
            .is_some_and(|binding| now < binding.until && binding.coordinator != *coordinator)
    }

    fn apply(&mut self, binding: &Binding, grant: &Grant, now: Instant) {
        let named = binding
            .ballots
            .iter()
            .find(|(ballot, _)| Some(*ballot) == grant.ballot);
        let Some((_, voted)) = named else {
            return;
        };
        if now >= *voted + EJECTION_TERM {
            return;
        }
        self.ejections = grant.ejections.clone();
        self.granted_by = Some(binding.coordinator.clone());
        self.unavailable = grant.unavailable.clone();
        self.are_reports_current = grant.are_reports_current;
        self.ejections_until = *voted + EJECTION_TERM;
    }
}
