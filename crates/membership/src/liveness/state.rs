//! The state of a peer, and its changes.

use std::collections::VecDeque;
use std::time::Instant;

use waxwingusher_core::HostId;

const MAX_EVENTS: usize = 4_096;

/// The detected state of a peer. It affects preference only; rights depend on the
/// host list and on their own leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// The peer answers.
    Alive,
    /// The peer did not answer, and may refute the suspicion.
    Suspect {
        /// When this host learned of the suspicion.
        since: Instant,
    },
    /// The peer did not refute the suspicion in time.
    Dead,
    /// The state is unknown, as after a start.
    Unknown,
}

impl PeerState {
    /// Reports whether the peer may be used: it is neither suspect nor dead.
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

/// A change of the state of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LivenessEvent {
    /// The peer.
    pub host: HostId,
    /// The state before.
    pub from: PeerState,
    /// The state after.
    pub to: PeerState,
}

/// Pending events. Without a consumer, the oldest are dropped.
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
