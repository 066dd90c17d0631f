//! What is known of a peer, as others see it.

use std::collections::VecDeque;
use std::time::Instant;

use waxwingusher_core::HostId;

const MAX_EVENTS: usize = 4_096;

/// What is known of a peer. It steers preference only; rights follow the host
/// list and their own leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// The peer answers.
    Alive,
    /// The peer did not answer, and has time to object.
    Suspect {
        /// Since when this host knows of it.
        since: Instant,
    },
    /// The peer did not object in time.
    Dead,
    /// Nothing is known of the peer, as after a start.
    Unknown,
}

impl PeerState {
    /// Reports whether nothing speaks against asking the peer.
    #[must_use]
    pub fn is_usable(self) -> bool {
        match self {
            Self::Alive | Self::Unknown => true,
            Self::Suspect { .. } | Self::Dead => false,
        }
    }

    /// Returns the state's name for log lines and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect { .. } => "suspect",
            Self::Dead => "dead",
            Self::Unknown => "unknown",
        }
    }
}

/// A change of what is known of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LivenessEvent {
    /// The peer.
    pub host: HostId,
    /// The state before.
    pub from: PeerState,
    /// The state after.
    pub to: PeerState,
}

/// Events that wait to be taken. Without a consumer the oldest are dropped.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: VecDeque<LivenessEvent>,
}

impl EventQueue {
    pub(super) fn push(&mut self, event: LivenessEvent) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    pub(super) fn take(&mut self) -> Vec<LivenessEvent> {
        self.events.drain(..).collect()
    }
}
