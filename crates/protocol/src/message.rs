//! The messages of all datagrams, and their envelope.

use serde::{Deserialize, Serialize};
use waxwingusher_core::HostId;

use crate::attempt::AttemptMessage;
use crate::config::ConfigMessage;
use crate::gossip::GossipMessage;
use crate::health::HealthMessage;
use crate::loan::LoanMessage;

/// A message with its sender and the sender's incarnation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sending host.
    pub from: HostId,
    /// A random number that was drawn when the sender's process started.
    pub incarnation: u64,
    /// The content.
    pub message: Message,
}

/// A message between two hosts. Variants are only ever appended, so that
/// consecutive releases understand each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Loans of rate and burst.
    Loan(LoanMessage),
    /// Attempt records and quarantine.
    Attempt(AttemptMessage),
    /// Health of instances, and ejections.
    Health(HealthMessage),
    /// Liveness of hosts.
    Gossip(GossipMessage),
    /// Distribution of the configuration and the host list.
    Config(ConfigMessage),
}

/// A message that the decision logic returns for sending.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing<M> {
    /// The receiver.
    pub to: HostId,
    /// The content.
    pub message: M,
}

/// The subsystem that a message belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Loans of rate and burst.
    Loan,
    /// Attempt records and quarantine.
    Attempt,
    /// Health of instances, and ejections.
    Health,
    /// Liveness of hosts.
    Gossip,
    /// Distribution of the configuration and the host list.
    Config,
}

impl MessageKind {
    /// All kinds, in a fixed order.
    pub const ALL: [Self; 5] = [
        Self::Loan,
        Self::Attempt,
        Self::Health,
        Self::Gossip,
        Self::Config,
    ];

    /// Returns the kind's name for metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Loan => "loan",
            Self::Attempt => "attempt",
            Self::Health => "health",
            Self::Gossip => "gossip",
            Self::Config => "config",
        }
    }
}

impl Message {
    /// Returns the subsystem that the message belongs to.
    #[must_use]
    pub fn kind(&self) -> MessageKind {
        match self {
            Self::Loan(_) => MessageKind::Loan,
            Self::Attempt(_) => MessageKind::Attempt,
            Self::Health(_) => MessageKind::Health,
            Self::Gossip(_) => MessageKind::Gossip,
            Self::Config(_) => MessageKind::Config,
        }
    }
}
