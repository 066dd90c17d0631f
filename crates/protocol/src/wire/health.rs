//! The wire format of messages for the health of instances and for ejections.

use serde::{Deserialize, Serialize};

use crate::health::{EjectionRow, Evidence, InstanceKey, ServiceKey, Vote, Watch};
use crate::health::{Grant as HealthGrant, HealthMessage as Message};

/// A grant; the variant of the message carries the flag on hosts' reports.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Grant {
    service: ServiceKey,
    round: u64,
    ballot: Option<u64>,
    ejections: Vec<EjectionRow>,
    unavailable: Vec<InstanceKey>,
}

/// The vote of a host that may vote.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Ballot {
    service: ServiceKey,
    round: u64,
    ballot: u64,
    unavailable: Vec<InstanceKey>,
}

/// The answer of a host that may not vote.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Abstention {
    service: ServiceKey,
    round: u64,
    unavailable: Vec<InstanceKey>,
}

/// The messages in the order of their variant numbers; append only.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum HealthMessage {
    Evidence(Evidence),
    Watch(Watch),
    Grant(Grant),
    Vote(Ballot),
    /// A grant of a coordinator that has recent reports of all hosts.
    HeardGrant(Grant),
    Abstention(Abstention),
}

impl From<Message> for HealthMessage {
    fn from(message: Message) -> Self {
        match message {
            Message::Evidence(evidence) => Self::Evidence(evidence),
            Message::Watch(watch) => Self::Watch(watch),
            Message::Grant(grant) if grant.are_reports_current => Self::HeardGrant(grant.into()),
            Message::Grant(grant) => Self::Grant(grant.into()),
            Message::Vote(vote) => Self::from_vote(vote),
        }
    }
}

impl From<HealthMessage> for Message {
    fn from(message: HealthMessage) -> Self {
        match message {
            HealthMessage::Evidence(evidence) => Self::Evidence(evidence),
            HealthMessage::Watch(watch) => Self::Watch(watch),
            HealthMessage::Grant(grant) => Self::Grant(grant.into_message(false)),
            HealthMessage::HeardGrant(grant) => Self::Grant(grant.into_message(true)),
            HealthMessage::Vote(vote) => Self::Vote(Vote {
                service: vote.service,
                round: vote.round,
                ballot: Some(vote.ballot),
                unavailable: vote.unavailable,
            }),
            HealthMessage::Abstention(answer) => Self::Vote(Vote {
                service: answer.service,
                round: answer.round,
                ballot: None,
                unavailable: answer.unavailable,
            }),
        }
    }
}

impl HealthMessage {
    fn from_vote(vote: Vote) -> Self {
        let Vote {
            service,
            round,
            ballot,
            unavailable,
        } = vote;
        match ballot {
            Some(ballot) => Self::Vote(Ballot {
                service,
                round,
                ballot,
                unavailable,
            }),
            None => Self::Abstention(Abstention {
                service,
                round,
                unavailable,
            }),
        }
    }
}

impl Grant {
    fn into_message(self, are_reports_current: bool) -> HealthGrant {
        HealthGrant {
            service: self.service,
            round: self.round,
            ballot: self.ballot,
            ejections: self.ejections,
            unavailable: self.unavailable,
            are_reports_current,
        }
    }
}

impl From<HealthGrant> for Grant {
    fn from(grant: HealthGrant) -> Self {
        Self {
            service: grant.service,
            round: grant.round,
            ballot: grant.ballot,
            ejections: grant.ejections,
            unavailable: grant.unavailable,
        }
    }
}
