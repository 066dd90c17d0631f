//! The polls of a fresh host to all its peers.
//!
//! Before its restart, a host may have used a newer version than the configuration
//! service shows now. It therefore polls all peers before it puts anything in
//! force.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use waxwingusher_core::HostId;

/// The most polls to a peer that does not answer.
const MAX_POLLS_PER_PEER: u32 = 3;

/// The interval between polls to a peer that does not answer.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls sent at once.
const MAX_POLLS_AT_ONCE: usize = 128;

/// The shortest survey, as a peer may be about to adopt a version.
const MIN_SURVEY: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct PollState {
    polls: u32,
    next_at: Instant,
}

/// The state of the survey.
#[derive(Debug)]
pub struct Survey {
    started_at: Instant,
    ends_at: Instant,
    unanswered: BTreeMap<HostId, PollState>,
    known: std::collections::BTreeSet<HostId>,
}

impl Survey {
    /// Creates a survey without peers.
    pub fn new(timeout: Duration, now: Instant) -> Self {
        Self {
            started_at: now,
            ends_at: now + timeout,
            unanswered: BTreeMap::new(),
            known: std::collections::BTreeSet::new(),
        }
    }

    /// Adds peers that have not been polled. Peers that are listed later get the
    /// full timeout, too.
    pub fn add(&mut self, peers: impl Iterator<Item = HostId>, timeout: Duration, now: Instant) {
        for peer in peers {
            if !self.known.insert(peer.clone()) {
                continue;
            }
            self.ends_at = self.ends_at.max(now + timeout);
            let state = PollState {
                polls: 0,
                next_at: now,
            };
            self.unanswered.insert(peer, state);
        }
    }

    /// Records that a peer has answered.
    pub fn on_answer(&mut self, peer: &HostId) {
        self.unanswered.remove(peer);
    }

    /// Returns the peers to poll now.
    pub fn due_polls(&mut self, now: Instant) -> Vec<HostId> {
        let mut due = Vec::new();
        for (peer, state) in &mut self.unanswered {
            if due.len() >= MAX_POLLS_AT_ONCE {
                break;
            }
            if state.polls >= MAX_POLLS_PER_PEER || now < state.next_at {
                continue;
            }
            state.polls += 1;
            state.next_at = now + POLL_INTERVAL;
            due.push(peer.clone());
        }
        due
    }

    /// Reports whether all peers have answered or timed out.
    pub fn is_over(&self, now: Instant) -> bool {
        let all_answered = self.unanswered.is_empty() && !self.known.is_empty();
        let all_polled = self
            .unanswered
            .values()
            .all(|state| state.polls >= MAX_POLLS_PER_PEER);
        (all_answered && now >= self.started_at + MIN_SURVEY) || (all_polled && now >= self.ends_at)
    }
}
