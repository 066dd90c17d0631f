//! Messages for the liveness of hosts.

use serde::{Deserialize, Serialize};
use waxwingusher_core::HostId;

/// What is said of a host's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Liveliness {
    /// The process answers.
    Alive,
    /// The process did not answer, and has time to object.
    Suspect,
    /// The process did not object in time.
    Dead,
}

/// News of one host that travels with other messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessUpdate {
    /// The host that the news is about.
    pub host: HostId,
    /// The process of that host.
    pub incarnation: u64,
    /// How often the process has objected to a suspicion.
    pub refutation: u32,
    /// What is said of it.
    pub liveliness: Liveliness,
}

/// A message for the liveness of hosts. Variants are only ever appended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Asks the receiver for an answer.
    Ping {
        /// The number that the answer repeats.
        probe: u32,
        /// News.
        updates: Vec<LivenessUpdate>,
    },
    /// Answers a ping.
    Ack {
        /// The number of the ping.
        probe: u32,
        /// News.
        updates: Vec<LivenessUpdate>,
    },
    /// Asks the receiver to ping a third host.
    PingRequest {
        /// The number that the answer repeats.
        probe: u32,
        /// The host to ping.
        target: HostId,
        /// News.
        updates: Vec<LivenessUpdate>,
    },
    /// Answers a ping request, once the third host has answered.
    RelayedAck {
        /// The number of the ping request.
        probe: u32,
        /// The host that has answered.
        target: HostId,
        /// The process that has answered.
        incarnation: u64,
        /// News.
        updates: Vec<LivenessUpdate>,
    },
    /// Carries news on its own.
    Push {
        /// News.
        updates: Vec<LivenessUpdate>,
    },
    /// As a ping, and asks for all hosts that are not alive.
    Join {
        /// The number that the answer repeats.
        probe: u32,
    },
}

impl GossipMessage {
    /// Returns the news that the message carries.
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
