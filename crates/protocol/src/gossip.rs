//! Gossip about the liveness of hosts.

use serde::{Deserialize, Serialize};
use waxwingusher_core::HostId;

/// The reported liveness of a host's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReportedLiveness {
    /// The process answers.
    Alive,
    /// The process did not answer; it may still refute the suspicion.
    Suspect,
    /// The process did not refute the suspicion in time.
    Dead,
}

/// An update on one host, piggybacked on other messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessUpdate {
    /// The host that the update is about.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// How often the process has refuted a suspicion.
    pub refutation: u32,
    /// The reported liveness of that process.
    pub liveliness: ReportedLiveness,
}

/// A message for the liveness of hosts. Variants are only ever appended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Probes the receiver.
    Ping {
        /// The number that the answer repeats.
        probe: u32,
        /// Piggybacked updates.
        updates: Vec<LivenessUpdate>,
    },
    /// Answers a ping.
    Ack {
        /// The number of the ping.
        probe: u32,
        /// Piggybacked updates.
        updates: Vec<LivenessUpdate>,
    },
    /// Asks the receiver to ping a third host.
    PingRequest {
        /// The number that the answer repeats.
        probe: u32,
        /// The host to ping.
        target: HostId,
        /// Piggybacked updates.
        updates: Vec<LivenessUpdate>,
    },
    /// Answers a ping request after the third host has answered.
    RelayedAck {
        /// The number of the ping request.
        probe: u32,
        /// The host that has answered.
        target: HostId,
        /// The incarnation of the process that has answered.
        incarnation: u64,
        /// Piggybacked updates.
        updates: Vec<LivenessUpdate>,
    },
    /// Carries updates without a probe.
    Push {
        /// The updates.
        updates: Vec<LivenessUpdate>,
    },
    /// Probes the receiver and asks for updates on all hosts that are not alive.
    Join {
        /// The number that the answer repeats.
        probe: u32,
    },
}

impl GossipMessage {
    /// Returns the updates that the message carries.
    #[must_use]
    pub fn updates(&self) -> &[LivenessUpdate] {
        match self {
            Self::Ping { updates, .. }
            | Self::Ack { updates, .. }
            | Self::PingRequest { updates, .. }
            | Self::RelayedAck { updates, .. }
            | Self::Push { updates } => updates,
            Self::Join { .. } => &[],
        }
    }
}
