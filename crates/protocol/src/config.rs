//! Messages for the distribution of the configuration and of the host list.

use serde::{Deserialize, Serialize};
use waxwingusher_core::ContentDigest;

/// A version of a document and the digest of its manifest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The version; zero if there is none.
    pub version: u64,
    /// The digest that names the manifest.
    pub digest: ContentDigest,
}

/// What a host has in force and has seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The configuration in force.
    pub config: Stamp,
    /// The host list in force.
    pub hosts: Stamp,
    /// The highest version of the host list that the sender has heard of.
    pub seen_hosts_version: u64,
    /// The milliseconds since the sender last read the configuration service,
    /// if it ever did.
    pub service_age_ms: Option<u32>,
    /// The age of the evidence that the host list in force is the newest one,
    /// in milliseconds, if there is any.
    pub hosts_age_ms: Option<u32>,
}

/// A message for the distribution of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigMessage {
    /// Asks for the receiver's summary.
    Poll {
        /// A number that the answer repeats.
        nonce: u32,
        /// What the sender has.
        summary: Summary,
    },
    /// Answers a poll, or a message of a sender that is behind.
    Answer {
        /// The poll's number; zero if there was no poll.
        nonce: u32,
        /// What the sender has.
        summary: Summary,
    },
    /// Tells of a version that the sender has just adopted.
    Announce {
        /// What the sender has.
        summary: Summary,
    },
}

impl ConfigMessage {
    /// Returns what the sender has.
    #[must_use]
    pub fn summary(&self) -> &Summary {
        match self {
            Self::Poll { summary, .. }
            | Self::Answer { summary, .. }
            | Self::Announce { summary } => summary,
        }
    }
}
