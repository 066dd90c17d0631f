//! Messages of the previous release keep their wire format, and new ones are
//! appended.

use assert_matches::assert_matches;
use serde::Serialize;
use waxwingusher_core::{HostId, InstanceId, ServiceName};
use waxwingusher_protocol::attempt::{
    AttemptMessage, FormerHost, HandOffPart, HandOffRecord, QuarantineMessage,
};
use waxwingusher_protocol::health::{
    EjectionRow, Evidence, Grant, HealthMessage, InstanceKey, ServiceKey, Vote, Watch,
};

#[derive(Serialize)]
struct PreviousGrant {
    service: ServiceKey,
    round: u64,
    ballot: Option<u64>,
    ejections: Vec<EjectionRow>,
    unavailable: Vec<InstanceKey>,
}

#[derive(Serialize)]
struct PreviousVote {
    service: ServiceKey,
    round: u64,
    ballot: u64,
    unavailable: Vec<InstanceKey>,
}

#[derive(Serialize)]
#[expect(dead_code, reason = "the position of a variant is its number")]
enum PreviousHealth {
    Evidence(Evidence),
    Watch(Watch),
    Grant(PreviousGrant),
    Vote(PreviousVote),
}

#[derive(Serialize)]
struct PreviousHandOver {
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

#[derive(Serialize)]
#[expect(dead_code, reason = "the position of a variant is its number")]
enum PreviousAttempt {
    Claim,
    Verdict,
    Finish,
    HandOver(PreviousHandOver),
    HandOverAck { id: u64, part: u32 },
    HandOverCommit { id: u64 },
    Recover { topology: u64 },
    Quarantine(QuarantineMessage),
}

fn bytes(message: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(message).expect("it can be encoded")
}

fn service() -> ServiceKey {
    ServiceKey::of(&ServiceName::new("desk"))
}

fn unavailable() -> Vec<InstanceKey> {
    vec![InstanceKey::of(&InstanceId::new("desk-1"))]
}

fn grant(are_reports_current: bool) -> HealthMessage {
    HealthMessage::Grant(Grant {
        service: service(),
        round: 7,
        ballot: Some(300),
        ejections: Vec::new(),
        unavailable: unavailable(),
        are_reports_current,
    })
}

fn vote(ballot: Option<u64>) -> HealthMessage {
    HealthMessage::Vote(Vote {
        service: service(),
        round: 7,
        ballot,
        unavailable: unavailable(),
    })
}

fn hand_off(buckets: Vec<u16>) -> AttemptMessage {
    AttemptMessage::HandOff(HandOffPart {
        of: HostId::new("north-1"),
        source: 1,
        id: 2,
        part: 0,
        parts: 1,
        topology: 3,
        former_hosts: Vec::new(),
        receivers: 4,
        is_complete: true,
        to_incarnation: None,
        buckets,
        records: Vec::new(),
    })
}

#[test]
fn grants_and_votes_of_the_previous_release_keep_their_format() {
    let previous = bytes(&PreviousHealth::Grant(PreviousGrant {
        service: service(),
        round: 7,
        ballot: Some(300),
        ejections: Vec::new(),
        unavailable: unavailable(),
    }));
    assert_eq!(bytes(&grant(false)), previous);
    assert_matches!(postcard::from_bytes(&previous), Ok(message) if grant(false) == message);
    let previous = bytes(&PreviousHealth::Vote(PreviousVote {
        service: service(),
        round: 7,
        ballot: 300,
        unavailable: unavailable(),
    }));
    assert_eq!(bytes(&vote(Some(300))), previous);
    assert_matches!(postcard::from_bytes(&previous), Ok(message) if vote(Some(300)) == message);
}

#[test]
fn hand_offs_of_the_previous_release_keep_their_format() {
    let previous = bytes(&PreviousAttempt::HandOver(PreviousHandOver {
        of: HostId::new("north-1"),
        source: 1,
        id: 2,
        part: 0,
        parts: 1,
        topology: 3,
        former_hosts: Vec::new(),
        receivers: 4,
        is_complete: true,
        records: Vec::new(),
    }));
    let message = hand_off(Vec::new());
    assert_eq!(bytes(&message), previous);
    assert_matches!(postcard::from_bytes(&previous), Ok(read) if message == read);
}

#[test]
fn new_messages_have_numbers_that_the_previous_release_does_not_know() {
    for message in [grant(true), vote(None)] {
        let sent = bytes(&message);
        assert!(sent[0] > 3, "{message:?}");
        assert_matches!(postcard::from_bytes(&sent), Ok(read) if message == read);
    }
    let message = hand_off(vec![5, 6]);
    let sent = bytes(&message);
    assert!(sent[0] > 7, "{message:?}");
    assert_matches!(postcard::from_bytes(&sent), Ok(read) if message == read);
}
