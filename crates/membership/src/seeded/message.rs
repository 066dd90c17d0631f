//! Messages between hosts that discover each other from seeds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use waxwingusher_core::{FailureDomain, FeedPosition};
use xxhash_rust::xxh3::xxh3_64;

/// The age up to which a failure is urgent; a later report of an instance may
/// repeat an earlier failure.
const URGENT_FAILURE_AGE_MS: u16 = 30;

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
    /// Instances that have said that they leave.
    Leaving(LeavingNotice),
    /// Describes the sender. Hosts of earlier builds send none and understand none
    /// of the messages below.
    Profile(Profile),
    /// Reports for the receiver to distribute in its failure domain.
    Collect(Vec<HostReport>),
    /// Reports of several hosts.
    Batch(ReportBatch),
    /// Published changes that a host has read from their source.
    Feed(FeedUpdate),
    /// Asks for a configuration later than `version`, since the sender has missed an
    /// update and the source does not answer it.
    ConfigurationRequest {
        /// The version in force at the sender.
        version: u64,
    },
    /// The configuration in force at the sender, encoded by the data path.
    Configuration(Vec<u8>),
    /// Rates that instances have named for all hosts together. Hosts whose profile
    /// states a protocol below 2 understand neither this nor the messages below.
    RateLimits(RateLimitNotice),
    /// Asks the receiver for a permit for one request to an instance.
    PermitRequest(PermitRequest),
    /// The answer to a [`PermitRequest`].
    PermitReply(PermitReply),
    /// Published changes, or only a position. Hosts whose profile states a protocol
    /// below 3 understand neither this nor the messages below.
    FeedChanges(FeedChanges),
    /// Asks for the changes after a position; the answer is a [`FeedChanges`].
    FeedRequest(FeedRequest),
    /// Asks for the configuration as a whole.
    DocumentRequest(DocumentRequest),
    /// A part of a configuration.
    DocumentChunk(DocumentChunk),
}

impl PeerMessage {
    /// Returns the name of the kind in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Members(_) => "members",
            Self::Report(_) => "report",
            Self::Departed(_) => "departed",
            Self::Leaving(_) => "leaving",
            Self::Profile(_) => "profile",
            Self::Collect(_) => "collect",
            Self::Batch(_) => "batch",
            Self::Feed(_) => "feed",
            Self::ConfigurationRequest { .. } => "configuration-request",
            Self::Configuration(_) => "configuration",
            Self::RateLimits(_) => "rate-limits",
            Self::PermitRequest(_) => "permit-request",
            Self::PermitReply(_) => "permit-reply",
            Self::FeedChanges(_) => "feed-changes",
            Self::FeedRequest(_) => "feed-request",
            Self::DocumentRequest(_) => "document-request",
            Self::DocumentChunk(_) => "document-chunk",
        }
    }
}

/// How a host treats a [`FeedChanges`] message apart from applying it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    /// The message comes from a reader and is not forwarded.
    Direct,
    /// The message comes from a reader, and the receiver forwards it to its children in
    /// this tree of its failure domain; see [`fanout`](crate::seeded::fanout).
    Tree(u8),
    /// The message answers a [`FeedRequest`].
    Reply,
}

/// Published changes, or only a position if there are none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedChanges {
    /// The host that reads the source, or that answers a request.
    pub reader: SocketAddr,
    /// Increases with each message of the reader, so that a message is forwarded once.
    pub sequence: u32,
    /// What the receiver does with the message.
    pub delivery: Delivery,
    /// The position after which the changes begin.
    pub since: FeedPosition,
    /// The position of the last change.
    pub until: FeedPosition,
    /// Whether the reader has followed the source without a gap.
    pub is_gapless: bool,
    /// The changes, encoded by the data path.
    pub changes: Vec<u8>,
}

/// Asks for the changes after a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// The position that the sender has applied.
    pub position: FeedPosition,
}

/// Asks for a configuration later than `version`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRequest {
    /// The version in force at the sender.
    pub version: u64,
    /// The digest of the encoded configuration of which parts are missing; 0 if none
    /// has arrived.
    pub stream_digest: u64,
    /// The indexes of the missing chunks; all if empty.
    pub chunks: Vec<u16>,
}

/// A part of an encoded and compressed configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentChunk {
    /// The version of the configuration.
    pub version: u64,
    /// The digest of the compressed configuration as a whole.
    pub stream_digest: u64,
    /// Its length in bytes.
    pub stream_bytes: u32,
    /// The number of this chunk, from 0.
    pub index: u16,
    /// The content.
    pub bytes: Vec<u8>,
}

/// Rates that instances take from all hosts together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimitNotice {
    /// Whether the receiver should forward it in its own failure domain.
    pub relay: bool,
    /// The instances.
    pub limits: Vec<InstanceRateLimit>,
}

/// The rate that an instance takes from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRateLimit {
    /// The hash of the instance's identity.
    pub instance: u32,
    /// The incarnation that has named it.
    pub incarnation: u64,
    /// Thousandths of a request a second; none if the limit is lifted.
    pub milli_per_s: Option<u32>,
}

/// Asks for a permit for one request to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Chosen by the sender, and returned in the reply.
    pub id: u64,
    /// The hash of the instance's identity.
    pub instance: u32,
    /// The rate that the sender knows, in thousandths of a request a second.
    pub milli_per_s: u32,
}

/// The answer to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// The id of the request.
    pub id: u64,
    /// The decision.
    pub decision: PermitDecision,
}

/// Whether a host may send one request to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// It may.
    Granted,
    /// No permit is left.
    NoPermitLeft {
        /// When to ask again, in milliseconds.
        retry_after_ms: u32,
    },
    /// The receiver does not issue the permits of the instance.
    NotIssuer,
}

/// What a host tells its peers about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The address on which it receives messages.
    pub addr: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// The version of the messages that it understands.
    pub protocol: u8,
    /// How much of its peers' traffic it can take on, relative to other hosts.
    pub capacity: u16,
    /// Whether the receiver should send its own profile.
    pub is_reply_requested: bool,
}

/// Reports that one host has gathered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportBatch {
    /// Whether the receiver should distribute them in its own failure domain.
    pub relay: bool,
    /// The reports, at most one of each host.
    pub reports: Vec<HostReport>,
}

/// Instances that have said that they leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Whether the receiver should forward it in its own failure domain.
    pub relay: bool,
    /// The instances.
    pub instances: Vec<LeavingInstance>,
}

/// An instance that has said that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingInstance {
    /// The hash of the instance's identity.
    pub instance: u32,
    /// The incarnation that leaves; a later one takes requests.
    pub incarnation: u64,
}

/// Published changes that a host has read from their source, or only its position
/// if there are none. The messages of one host overlap, so that the next one makes
/// up for a lost one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedUpdate {
    /// The host that reads the source.
    pub reader: SocketAddr,
    /// Whether the receiver should forward it in its own failure domain.
    pub relay: bool,
    /// The position after which the changes begin.
    pub since: FeedPosition,
    /// The position of the last change.
    pub until: FeedPosition,
    /// Whether the reader has followed the source without a gap.
    pub is_gapless: bool,
    /// The changes, encoded by the data path.
    pub changes: Vec<u8>,
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
    pub feed_position: FeedPosition,
    /// The position up to which it has followed them without a gap; 0 if it
    /// recently lost its source.
    pub gapless_position: FeedPosition,
    /// Statistics of instances that have changed.
    pub instances: Vec<InstanceStats>,
    /// Requests admitted for the workspaces that recently had some.
    pub admitted: Vec<AdmissionCounts>,
    /// Requests during which an instance's connection failed.
    pub crashes: Vec<CrashReport>,
    /// Instances at whose addresses another one answers.
    pub disowned: Vec<u32>,
}

impl HostReport {
    /// Adds the content of a later report of the same process. Where both state a
    /// figure, that of the later one counts.
    pub fn merge(&mut self, later: Self) {
        let mut instances = later.instances;
        for item in std::mem::take(&mut self.instances) {
            if !instances
                .iter()
                .any(|newer| newer.instance == item.instance)
            {
                instances.push(item);
            }
        }
        let mut admitted = later.admitted;
        for item in std::mem::take(&mut self.admitted) {
            if !admitted
                .iter()
                .any(|newer| newer.workspace == item.workspace)
            {
                admitted.push(item);
            }
        }
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.extend(later.crashes);
        let mut disowned = std::mem::take(&mut self.disowned);
        disowned.extend(later.disowned);
        *self = Self {
            instances,
            admitted,
            crashes,
            disowned,
            relay: self.relay || later.relay,
            ..later
        };
    }

    /// Reports whether peers should learn of the content without delay, since their
    /// requests may fail until then.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        let is_recent = |item: &InstanceStats| {
            item.failure_age_ms
                .is_some_and(|age_ms| age_ms <= URGENT_FAILURE_AGE_MS)
        };
        !self.crashes.is_empty()
            || !self.disowned.is_empty()
            || self.instances.iter().any(is_recent)
    }
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
