//! Messages for the distribution of the configuration and of the host list.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use waxwingusher_core::ContentDigest;

/// The length of the check of two stamps, in bytes.
const STAMPS_CHECK_BYTES: usize = 8;

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
    /// Asks for the receiver's summary now, and for updates for some time.
    Follow {
        /// A number that the answer and the updates repeat.
        nonce: u32,
        /// What the sender has.
        summary: Summary,
    },
    /// Tells a follower that the sender still has what it answered.
    Update(ConfigUpdate),
}

impl ConfigMessage {
    /// Returns what the sender has, if the message tells all of it.
    #[must_use]
    pub fn summary(&self) -> Option<&Summary> {
        match self {
            Self::Poll { summary, .. }
            | Self::Answer { summary, .. }
            | Self::Announce { summary }
            | Self::Follow { summary, .. } => Some(summary),
            Self::Update(_) => None,
        }
    }
}

/// What has changed in a summary whose stamps are the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The number of the question.
    pub nonce: u32,
    /// The milliseconds since the question arrived, by the sender's clock.
    pub after_ms: u32,
    /// The check of the stamps in force.
    stamps: [u8; STAMPS_CHECK_BYTES],
    /// As in [`Summary`].
    pub seen_hosts_version: u64,
    /// As in [`Summary`].
    pub service_age_ms: Option<u32>,
    /// As in [`Summary`].
    pub hosts_age_ms: Option<u32>,
}

impl ConfigUpdate {
    /// Shortens a summary for a follower that knows its stamps.
    #[must_use]
    pub fn new(nonce: u32, after: Duration, summary: &Summary) -> Self {
        Self {
            nonce,
            after_ms: u32::try_from(after.as_millis()).unwrap_or(u32::MAX),
            stamps: stamps_check(summary),
            seen_hosts_version: summary.seen_hosts_version,
            service_age_ms: summary.service_age_ms,
            hosts_age_ms: summary.hosts_age_ms,
        }
    }

    /// Reports whether the sender has the stamps of a summary in force.
    #[must_use]
    pub fn speaks_of(&self, summary: &Summary) -> bool {
        self.stamps == stamps_check(summary)
    }
}

fn stamps_check(summary: &Summary) -> [u8; STAMPS_CHECK_BYTES] {
    let Summary { config, hosts, .. } = summary;
    let text = format!(
        "{} {} {} {}",
        config.version, config.digest, hosts.version, hosts.digest
    );
    ContentDigest::of(text.as_bytes()).prefix()
}
