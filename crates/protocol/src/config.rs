//! Messages for the distribution of the configuration and of the host list.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use waxwingusher_core::ContentDigest;

/// The length of the checksum of two stamps, in bytes.
const STAMPS_CHECKSUM_BYTES: usize = 8;

/// The version of a document and the digest of its manifest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The version; zero if there is none.
    pub version: u64,
    /// The content digest of the manifest.
    pub digest: ContentDigest,
}

/// The versions that a host has in force and has learned of, and how recent they
/// are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSummary {
    /// The configuration in force.
    pub config: Stamp,
    /// The host list in force.
    pub hosts: Stamp,
    /// The highest version of the host list that the sender has learned of.
    pub seen_hosts_version: u64,
    /// The time since the sender last read the configuration service, in
    /// milliseconds, if it ever did.
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
        /// The sender's summary.
        summary: ConfigSummary,
    },
    /// Answers a poll, or a message from a host with older versions.
    Answer {
        /// The poll's number, or zero if there was no poll.
        nonce: u32,
        /// The sender's summary.
        summary: ConfigSummary,
    },
    /// Announces a version that the sender has just adopted.
    Announce {
        /// The sender's summary.
        summary: ConfigSummary,
    },
    /// Asks for the receiver's summary now, and for updates for a time.
    Follow {
        /// A number that the answer and the updates repeat.
        nonce: u32,
        /// The sender's summary.
        summary: ConfigSummary,
    },
    /// Confirms to a follower that the versions of the last answer are still in
    /// force at the sender.
    Update(ConfigUpdate),
}

impl ConfigMessage {
    /// Returns the sender's summary, if the message carries a whole one.
    #[must_use]
    pub fn summary(&self) -> Option<&ConfigSummary> {
        match self {
            Self::Poll { summary, .. }
            | Self::Answer { summary, .. }
            | Self::Announce { summary }
            | Self::Follow { summary, .. } => Some(summary),
            Self::Update(_) => None,
        }
    }
}

/// The fields of a summary other than its stamps, which are unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The number of the [`ConfigMessage::Follow`].
    pub nonce: u32,
    /// The milliseconds since the follow arrived, by the sender's clock.
    pub after_ms: u32,
    /// The checksum of the stamps in force.
    stamps: [u8; STAMPS_CHECKSUM_BYTES],
    /// As in [`ConfigSummary`].
    pub seen_hosts_version: u64,
    /// As in [`ConfigSummary`].
    pub service_age_ms: Option<u32>,
    /// As in [`ConfigSummary`].
    pub hosts_age_ms: Option<u32>,
}

impl ConfigUpdate {
    /// Creates the update from a summary for a follower that has its stamps.
    #[must_use]
    pub fn new(nonce: u32, after: Duration, summary: &ConfigSummary) -> Self {
        Self {
            nonce,
            after_ms: u32::try_from(after.as_millis()).unwrap_or(u32::MAX),
            stamps: stamps_checksum(summary),
            seen_hosts_version: summary.seen_hosts_version,
            service_age_ms: summary.service_age_ms,
            hosts_age_ms: summary.hosts_age_ms,
        }
    }

    /// Returns whether the stamps of a summary are in force at the sender.
    #[must_use]
    pub fn has_stamps_of(&self, summary: &ConfigSummary) -> bool {
        self.stamps == stamps_checksum(summary)
    }
}

fn stamps_checksum(summary: &ConfigSummary) -> [u8; STAMPS_CHECKSUM_BYTES] {
    let ConfigSummary { config, hosts, .. } = summary;
    let text = format!(
        "{} {} {} {}",
        config.version, config.digest, hosts.version, hosts.digest
    );
    ContentDigest::of(text.as_bytes()).prefix()
}
