//! The state of one peer's process, and how updates change it.

use std::collections::VecDeque;
use std::time::Instant;

use waxwingusher_core::{FailureDomain, HostId};
use waxwingusher_protocol::gossip::{LivenessUpdate, ReportedLiveness};

use super::state::PeerState;

const MAX_FORMER_INCARNATIONS: usize = 4;

/// A peer's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) incarnation: u64,
    pub(super) refutation: u32,
}

/// Whether a peer is in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listing {
    Listed,
    Unlisted,
}

/// The effect of an update on a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Effect {
    /// The record has changed; the update is forwarded.
    Changed,
    /// The update was known, or older than the record.
    Ignored,
    /// The update is on a process that this host does not know.
    UnknownProcess,
}

#[derive(Debug)]
pub(super) struct Record {
    pub(super) process: Option<Process>,
    pub(super) state: PeerState,
    pub(super) listing: Listing,
    pub(super) failure_domain: Option<FailureDomain>,
    /// Consecutive failed rounds of this host's probes.
    pub(super) failed_rounds: u32,
    former_incarnations: VecDeque<u64>,
}

impl Record {
    pub(super) fn new(listing: Listing, failure_domain: Option<FailureDomain>) -> Self {
        Self {
            process: None,
            state: PeerState::Unknown,
            listing,
            failure_domain,
            failed_rounds: 0,
            former_incarnations: VecDeque::new(),
        }
    }

    /// Merges an update that another host forwarded.
    pub(super) fn merge(&mut self, update: &LivenessUpdate, now: Instant) -> Effect {
        let Some(process) = self.process else {
            return self.replace(update, now);
        };
        if process.incarnation == update.incarnation {
            return self.merge_same_process(process, update, now);
        }
        if self.former_incarnations.contains(&update.incarnation) {
            return Effect::Ignored;
        }
        match update.liveliness {
            ReportedLiveness::Alive => self.replace(update, now),
            ReportedLiveness::Suspect | ReportedLiveness::Dead => Effect::UnknownProcess,
        }
    }

    /// Records an authenticated message from the process itself.
    pub(super) fn on_contact(&mut self, incarnation: u64) -> Effect {
        let is_same = |process: Process| process.incarnation == incarnation;
        if self.process.is_some_and(is_same) {
            if self.state == PeerState::Unknown {
                self.state = PeerState::Alive;
            }
            return Effect::Ignored;
        }
        self.set_process(incarnation, 0);
        self.failed_rounds = 0;
        self.state = PeerState::Alive;
        Effect::Changed
    }

    /// Records an answer of the process to this host's probe.
    pub(super) fn on_answer(&mut self) {
        self.failed_rounds = 0;
        self.state = PeerState::Alive;
    }

    /// Returns the update to send to others, if the process is known.
    pub(super) fn update(&self, host: &HostId) -> Option<LivenessUpdate> {
        let process = self.process?;
        let liveliness = match self.state {
            PeerState::Alive => ReportedLiveness::Alive,
            PeerState::Suspect { .. } => ReportedLiveness::Suspect,
            PeerState::Dead => ReportedLiveness::Dead,
            PeerState::Unknown => return None,
        };
        Some(LivenessUpdate {
            host: host.clone(),
            incarnation: process.incarnation,
            refutation: process.refutation,
            liveliness,
        })
    }

    fn merge_same_process(
        &mut self,
        process: Process,
        update: &LivenessUpdate,
        now: Instant,
    ) -> Effect {
        let is_newer = update.refutation > process.refutation;
        let is_same = update.refutation == process.refutation;
        let is_usable = self.state.is_usable();
        let is_new = match update.liveliness {
            ReportedLiveness::Alive => is_newer,
            ReportedLiveness::Suspect => is_newer || (is_same && is_usable),
            ReportedLiveness::Dead => (is_newer || is_same) && self.state != PeerState::Dead,
        };
        if !is_new {
            return Effect::Ignored;
        }
        self.replace(update, now)
    }

    fn replace(&mut self, update: &LivenessUpdate, now: Instant) -> Effect {
        self.set_process(update.incarnation, update.refutation);
        self.failed_rounds = 0;
        self.state = match (update.liveliness, self.state) {
            (ReportedLiveness::Alive, _) => PeerState::Alive,
            (ReportedLiveness::Suspect, PeerState::Suspect { since }) => {
                PeerState::Suspect { since }
            }
            (ReportedLiveness::Suspect, _) => PeerState::Suspect { since: now },
            (ReportedLiveness::Dead, _) => PeerState::Dead,
        };
        Effect::Changed
    }

    fn set_process(&mut self, incarnation: u64, refutation: u32) {
        let former = self.process.replace(Process {
            incarnation,
            refutation,
        });
        let Some(former) = former.filter(|process| process.incarnation != incarnation) else {
            return;
        };
        self.former_incarnations
            .retain(|former| *former != incarnation);
        if self.former_incarnations.len() >= MAX_FORMER_INCARNATIONS {
            self.former_incarnations.pop_front();
        }
        self.former_incarnations.push_back(former.incarnation);
    }
}
