//! Messages for idempotency records and quarantine.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use waxwingusher_core::{
    BodyDigest, FailureDomain, HostId, InstanceId, ServiceName, WorkspaceName,
};

use crate::wire::attempt as wire;

/// The largest body of an answer that is stored for replay, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 768;

/// The largest sum of header names and values of a stored answer, in bytes.
pub const MAX_STORED_HEADER_BYTES: usize = 192;

/// The size at which a hand-off part is closed, in bytes of its records.
pub const HAND_OFF_PART_BYTES: usize = 900;

/// The most former hosts in one hand-off part.
pub const MAX_FORMER_HOSTS: usize = 16;

/// The most suspects in one crash report.
pub const MAX_REPORTED_SUSPECTS: usize = 40;

/// The size of a record without its answer in a hand-off, in bytes.
pub const HAND_OFF_RECORD_BYTES: usize = 46;

/// A digest that identifies one idempotency key of one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptKey([u8; 16]);

impl AttemptKey {
    /// Returns the digest of a workspace's idempotency key.
    #[must_use]
    pub fn new(workspace: &WorkspaceName, idempotency_key: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((workspace.as_str().len() as u64).to_le_bytes());
        hasher.update(workspace.as_str());
        hasher.update(idempotency_key);
        Self::from_digest(&hasher.finalize().into())
    }

    /// Returns the fingerprint of a request for quarantine.
    #[must_use]
    pub fn fingerprint(workspace: &WorkspaceName, route: &str, body: &BodyDigest) -> Self {
        let mut hasher = Sha256::new();
        for part in [workspace.as_str(), route] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(format!("{body:?}"));
        Self::from_digest(&hasher.finalize().into())
    }

    /// Returns the first two bytes of the digest as a number.
    #[must_use]
    pub const fn prefix(&self) -> u16 {
        u16::from_be_bytes([self.0[0], self.0[1]])
    }

    fn from_digest(digest: &[u8; 32]) -> Self {
        let mut short = [0; 16];
        short.copy_from_slice(&digest[..16]);
        Self(short)
    }
}

/// A random number that identifies one claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId(pub [u8; 8]);

/// A header of a stored answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHeader {
    /// The name in lower case.
    pub name: Arc<str>,
    /// The value.
    pub value: Arc<str>,
}

/// An answer that is stored to be replayed to retries of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that a replay needs.
    pub headers: Vec<StoredHeader>,
    /// The whole body.
    pub body: Arc<[u8]>,
}

impl StoredAnswer {
    /// Returns whether the answer is small enough to be stored.
    #[must_use]
    pub fn is_storable(&self) -> bool {
        self.body.len() <= MAX_STORED_BODY_BYTES && self.header_bytes() <= MAX_STORED_HEADER_BYTES
    }

    /// Returns the total length of header names and values, in bytes.
    #[must_use]
    pub fn header_bytes(&self) -> usize {
        let sizes = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len());
        sizes.sum()
    }
}

/// Asks a witness for its grant to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The idempotency key.
    pub key: AttemptKey,
    /// Identifies the claim; a resent message carries the same number.
    pub claim: ClaimId,
    /// A digest of the request.
    pub body: BodyDigest,
    /// A hash of the witnesses that the claimant knows for the key.
    pub witness_set: u32,
    /// The time left until the request's deadline, in milliseconds.
    pub time_left_ms: u32,
}

/// A witness's verdict on a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is recorded, and no other attempt is known.
    Granted,
    /// Another claim is recorded and may be running.
    Held,
    /// An earlier attempt was answered.
    Answered(StoredAnswer),
    /// An earlier attempt may have run; its answer is not known.
    Unknown,
    /// The key is recorded for another request.
    OtherBody,
    /// The witness cannot guarantee that no other attempt has run or will run.
    CannotVouch(CannotVouchReason),
}

/// Why a witness cannot vouch for a key: it cannot guarantee that no other
/// attempt has run or will run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CannotVouchReason {
    /// The witness's records do not cover the key for the whole window.
    NotCovered,
    /// The claimant's witness set differs from the one that the witness
    /// computes.
    OtherWitnesses,
    /// The witness cannot confirm that its host list is current.
    ListStale,
    /// The witness has no capacity for another record.
    Full,
    /// The witness is about to stop.
    Draining,
}

/// The outcome of a claim as its witnesses record it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// The request certainly did not run; the key may be claimed again.
    NotRun,
    /// The request was answered.
    Answered(StoredAnswer),
    /// The request may have run.
    Unknown,
}

/// A record that is transferred to another witness.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOffRecord {
    /// The idempotency key.
    pub key: AttemptKey,
    /// The recorded claim.
    pub claim: ClaimId,
    /// A digest of the request.
    pub body: BodyDigest,
    /// The answer, if one is stored.
    pub answer: Option<StoredAnswer>,
}

impl HandOffRecord {
    /// Returns the record's size in a message, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let answer_bytes = self
            .answer
            .as_ref()
            .map_or(0, |answer| answer.body.len() + answer.header_bytes());
        HAND_OFF_RECORD_BYTES + answer_bytes
    }
}

/// A host of a superseded host list.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FormerHost {
    /// The host's name.
    pub id: HostId,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
}

/// One part of a transfer of a witness's records to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOffPart {
    /// The witness whose records these are.
    pub of: HostId,
    /// A random number that identifies the hand-off by that witness.
    pub source: u64,
    /// A random number that identifies the transfer to this receiver.
    pub id: u64,
    /// The number of this part, from zero.
    pub part: u32,
    /// How many parts the receiver is sent.
    pub parts: u32,
    /// A hash of the sender's host list.
    pub topology: u64,
    /// Hosts of the sender's earlier lists that its records still cover, when
    /// records return to their witness.
    pub former_hosts: Vec<FormerHost>,
    /// How many hosts the witness's records are divided among.
    pub receivers: u32,
    /// Whether the records cover all that the witness granted in the window.
    pub is_complete: bool,
    /// The only process that may accept these records, or none if any may.
    pub to_incarnation: Option<u64>,
    /// The buckets of keys for which the receiver is sent all of the sender's
    /// records, split over all parts.
    pub buckets: Vec<u16>,
    /// The records.
    pub records: Vec<HandOffRecord>,
}

/// A request that was in flight when an instance was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request's fingerprint.
    pub fingerprint: AttemptKey,
    /// Whether a request with this fingerprint recently completed at the sender.
    pub completes: bool,
}

/// The requests of one host that were in flight when an instance was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The service.
    pub service: ServiceName,
    /// The instance.
    pub instance: InstanceId,
    /// The suspected requests.
    pub suspects: Vec<Suspect>,
}

/// A quarantined request, which is refused for a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// The request's fingerprint.
    pub fingerprint: AttemptKey,
    /// The time until the quarantine ends, in milliseconds.
    pub left_ms: u32,
    /// How often the spread of the notice has been restarted.
    pub round: u8,
    /// The instances that the request crashed.
    pub instances: Vec<InstanceId>,
}

/// A message about requests that crash instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// Reports a crash to the hosts that correlate the crashes of the service.
    Report(CrashReport),
    /// Informs a peer of a quarantined request.
    Notice(QuarantineNotice),
}

/// A message for idempotency records and quarantine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "wire::AttemptMessage", into = "wire::AttemptMessage")]
pub enum AttemptMessage {
    /// Asks a witness for its grant.
    Claim(Claim),
    /// A witness answers a claim.
    Verdict {
        /// The claim.
        claim: ClaimId,
        /// The witness's verdict.
        verdict: Verdict,
    },
    /// A claimant reports how its claim ended.
    Finish {
        /// The idempotency key.
        key: AttemptKey,
        /// The claim.
        claim: ClaimId,
        /// How the claim ended.
        end: ClaimEnd,
    },
    /// One part of a hand-off.
    HandOff(HandOffPart),
    /// Acknowledges a part.
    HandOffAck {
        /// The hand-off.
        id: u64,
        /// The part.
        part: u32,
    },
    /// The sender is still alive and has received the acknowledgements of all
    /// parts.
    HandOffCommit {
        /// The hand-off.
        id: u64,
    },
    /// Requests the records of the sender's previous process after a restart.
    Recover {
        /// A hash of its host list.
        topology: u64,
    },
    /// Requests that crash instances.
    Quarantine(QuarantineMessage),
    /// Requests the records of the former witnesses, from a host that a new list
    /// has made a witness.
    Adopt {
        /// A hash of its host list.
        topology: u64,
    },
}
