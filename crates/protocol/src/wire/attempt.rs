//! The wire format of messages for idempotency records.

use serde::{Deserialize, Serialize};
use waxwingusher_core::HostId;

use crate::attempt::{
    AttemptKey, AttemptMessage as Message, Claim, ClaimEnd, ClaimId, FormerHost,
    HandOffPart as Part, HandOffRecord, QuarantineMessage, Verdict,
};

/// A hand-off part that any process may accept.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct HandOver {
    of: HostId,
    source: u64,
    id: u64,
    part: u32,
    parts: u32,
    topology: u64,
    former_hosts: Vec<FormerHost>,
    receivers: u32,
    is_complete: bool,
    records: Vec<HandOffRecord>,
}

/// A hand-off part for one process, with the buckets that it covers completely.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct BucketHandOver {
    part: HandOver,
    to_incarnation: Option<u64>,
    buckets: Vec<u16>,
}

/// The messages in the order of their variant numbers; append only.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum AttemptMessage {
    Claim(Claim),
    Verdict {
        claim: ClaimId,
        verdict: Verdict,
    },
    Finish {
        key: AttemptKey,
        claim: ClaimId,
        end: ClaimEnd,
    },
    HandOver(HandOver),
    HandOverAck {
        id: u64,
        part: u32,
    },
    HandOverCommit {
        id: u64,
    },
    Recover {
        topology: u64,
    },
    Quarantine(QuarantineMessage),
    Adopt {
        topology: u64,
    },
    BucketHandOver(BucketHandOver),
}

impl From<Message> for AttemptMessage {
    fn from(message: Message) -> Self {
        match message {
            Message::Claim(claim) => Self::Claim(claim),
            Message::Verdict { claim, verdict } => Self::Verdict { claim, verdict },
            Message::Finish { key, claim, end } => Self::Finish { key, claim, end },
            Message::HandOff(part) => Self::from_part(part),
            Message::HandOffAck { id, part } => Self::HandOverAck { id, part },
            Message::HandOffCommit { id } => Self::HandOverCommit { id },
            Message::Recover { topology } => Self::Recover { topology },
            Message::Quarantine(message) => Self::Quarantine(message),
            Message::Adopt { topology } => Self::Adopt { topology },
        }
    }
}

impl From<AttemptMessage> for Message {
    fn from(message: AttemptMessage) -> Self {
        match message {
            AttemptMessage::Claim(claim) => Self::Claim(claim),
            AttemptMessage::Verdict { claim, verdict } => Self::Verdict { claim, verdict },
            AttemptMessage::Finish { key, claim, end } => Self::Finish { key, claim, end },
            AttemptMessage::HandOver(part) => Self::HandOff(part.into_part(None, Vec::new())),
            AttemptMessage::BucketHandOver(sent) => {
                Self::HandOff(sent.part.into_part(sent.to_incarnation, sent.buckets))
            }
            AttemptMessage::HandOverAck { id, part } => Self::HandOffAck { id, part },
            AttemptMessage::HandOverCommit { id } => Self::HandOffCommit { id },
            AttemptMessage::Recover { topology } => Self::Recover { topology },
            AttemptMessage::Quarantine(message) => Self::Quarantine(message),
            AttemptMessage::Adopt { topology } => Self::Adopt { topology },
        }
    }
}

impl AttemptMessage {
    fn from_part(part: Part) -> Self {
        let sent = HandOver {
            of: part.of,
            source: part.source,
            id: part.id,
            part: part.part,
            parts: part.parts,
            topology: part.topology,
            former_hosts: part.former_hosts,
            receivers: part.receivers,
            is_complete: part.is_complete,
            records: part.records,
        };
        if part.to_incarnation.is_none() && part.buckets.is_empty() {
            return Self::HandOver(sent);
        }
        Self::BucketHandOver(BucketHandOver {
            part: sent,
            to_incarnation: part.to_incarnation,
            buckets: part.buckets,
        })
    }
}

impl HandOver {
    fn into_part(self, to_incarnation: Option<u64>, buckets: Vec<u16>) -> Part {
        Part {
            of: self.of,
            source: self.source,
            id: self.id,
            part: self.part,
            parts: self.parts,
            topology: self.topology,
            former_hosts: self.former_hosts,
            receivers: self.receivers,
            is_complete: self.is_complete,
            to_incarnation,
            buckets,
            records: self.records,
        }
    }
}
