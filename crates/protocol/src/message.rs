//! The envelope of every datagram.

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
    /// A random number that the sender drew when its process started.
    pub incarnation: u64,
    /// The content.
    pub message: Message,
}

/// A message between two hosts. Variants are only ever appended, so that
/// neighbouring versions understand each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Rates and bursts.
    Loan(LoanMessage),
    /// Attempt records and quarantine.
    Attempt(AttemptMessage),
    /// Evidence on instances.
    Health(HealthMessage),
    /// Liveness and configuration versions.
    Gossip(GossipMessage),
    /// Distribution of the configuration.
    Config(ConfigMessage),
}

/// A message that the decision logic wants sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing<M> {
    /// The receiver.
    pub to: HostId,
    /// The content.
    pub message: M,
}
