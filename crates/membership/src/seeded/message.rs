//! Messages between hosts that discover each other from seeds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use waxwingusher_core::FailureDomain;
use xxhash_rust::xxh3::xxh3_64;

/// A member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address on which it receives messages. It identifies the member.
    pub addr: SocketAddr,
    /// The failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// A random number, drawn when its process started.
    pub incarnation: u64,
}

/// A process that has shut down as planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The address on which it received messages.
    pub addr: SocketAddr,
    /// The process that ended; a later one at the same address is a member.
    pub incarnation: u64,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Announces the sender.
    Hello {
        /// The sender.
        #[serde(rename = "card")]
        sender: Member,
        /// The digest of the sender's table; the receiver answers if its own
        /// differs. None if no answer is requested.
        table_digest: Option<u64>,
    },
    /// The members that the sender knows, itself first.
    Members(Vec<Member>),
    /// A host's observations and admissions.
    #[serde(rename = "News")]
    Report(HostReport),
    /// Processes that have shut down as planned; a host that shuts down names
    /// itself.
    Departed(Vec<Departure>),
}

/// A host's observations and admissions. All figures are absolute, so the next
/// message makes up for a lost one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host that reports.
    pub origin: SocketAddr,
    /// The host's incarnation.
    pub incarnation: u64,
    /// Increases with each message of the incarnation.
    pub sequence: u32,
    /// Whether the receiver should forward it in its own failure domain.
    pub relay: bool,
    /// The position in the published changes that the host has applied.
    pub feed_position: u64,
    /// The position up to which it has followed them without a gap; 0 if it
    /// recently lost its source.
    pub gapless_position: u64,
    /// Statistics of instances that have changed.
    pub instances: Vec<InstanceStats>,
    /// Requests admitted for the workspaces that recently had some.
    pub admitted: Vec<AdmissionCounts>,
    /// Requests during which an instance's connection failed.
    pub crashes: Vec<CrashReport>,
    /// Instances at whose addresses another one answers.
    pub disowned: Vec<u32>,
}

/// The requests that a host has admitted for a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionCounts {
    /// The hash of the workspace's name.
    pub workspace: u32,
    /// Requests since the host started.
    pub total: u32,
    /// Requests of the last few seconds.
    pub recent: u32,
}

/// A host's statistics of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStats {
    /// The hash of the instance's identity.
    pub instance: u32,
    /// Requests in flight at the instance.
    pub in_flight: u8,
    /// Successes since the start, wrapping around.
    pub successes: u8,
    /// Failures since the start, wrapping around.
    pub failures: u8,
    /// The duration of the last success over the usual duration, in sixteenths.
    pub slowness_16ths: u8,
    /// The age of the last success in milliseconds.
    pub success_age_ms: Option<u16>,
    /// The age of the last failure in milliseconds.
    pub failure_age_ms: Option<u16>,
}

/// A request during which an instance's connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The hash of the instance's identity.
    pub instance: u32,
}

/// Returns the hash that stands for a workspace or instance in messages.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "the low 32 bits of the hash are enough"
)]
pub fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
