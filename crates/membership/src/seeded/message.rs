//! Messages between hosts that found each other from seeds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use waxwingusher_core::FailureDomain;
use xxhash_rust::xxh3::xxh3_64;

/// Who a peer is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it takes messages; this is its identity.
    pub addr: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// A number drawn at random when its process started.
    pub incarnation: u64,
}

/// A process that has ended as planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Where it took messages.
    pub addr: SocketAddr,
    /// The process; a later one at the same address is there.
    pub incarnation: u64,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A host says that it is there.
    Hello {
        /// The sender.
        #[serde(rename = "card")]
        sender: Member,
        /// The digest of its table; an answer is wanted if the receiver's
        /// differs. None if no answer is wanted.
        table_digest: Option<u64>,
    },
    /// The cards that the sender knows, its own first.
    Members(Vec<Member>),
    /// What a host has seen and done.
    #[serde(rename = "News")]
    Report(HostReport),
    /// Processes that have ended as planned; a host that ends names itself.
    Departed(Vec<Departure>),
}

/// What a host has seen and done. All figures are absolute, so a lost message
/// is made up for by the next one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host whose news it is.
    pub origin: SocketAddr,
    /// The host's incarnation.
    pub incarnation: u64,
    /// Grows with each message of the incarnation.
    pub sequence: u32,
    /// Whether the receiver should pass it on in its own failure domain.
    pub relay: bool,
    /// The position in the published changes that the host has applied.
    pub feed_position: u64,
    /// The position up to which it has followed them without a gap; 0 if it has
    /// lost its source lately.
    pub gapless_position: u64,
    /// Words on instances that have changed.
    pub instances: Vec<InstanceStats>,
    /// Requests admitted for the workspaces that had some lately.
    pub admitted: Vec<AdmissionCounts>,
    /// Requests at which an instance's connection died.
    pub crashes: Vec<CrashReport>,
    /// Instances at whose addresses another one answers.
    pub disowned: Vec<u32>,
}

/// What a host has admitted for a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionCounts {
    /// The hash of the workspace's name.
    pub workspace: u32,
    /// Requests since the host started.
    pub total: u32,
    /// Requests of the last seconds.
    pub recent: u32,
}

/// A host's word on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStats {
    /// The hash of the instance's identity.
    pub instance: u32,
    /// Requests under way there.
    pub in_flight: u8,
    /// Successes seen since the start, wrapping around.
    pub successes: u8,
    /// Failures seen since the start, wrapping around.
    pub failures: u8,
    /// The time of the last success over the usual time, in sixteenths.
    pub slowness_16ths: u8,
    /// The age of the last success in milliseconds.
    pub success_age_ms: Option<u16>,
    /// The age of the last failure in milliseconds.
    pub failure_age_ms: Option<u16>,
}

/// An instance's connection died under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The hash of the instance's identity.
    pub instance: u32,
}

/// Returns the short name under which hosts speak of a workspace or instance.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "half of the hash is enough"
)]
pub fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
