//! Messages of the previous release keep their form, and new ones are appended.

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
struct FormerGrant {
    service: ServiceKey,
    round: u64,
    ballot: Option<u64>,
    ejections: Vec<EjectionRow>,
    unavailable: Vec<InstanceKey>,
}

#[derive(Serialize)]
struct FormerVote {
    service: ServiceKey,
    round: u64,
    ballot: u64,
    unavailable: Vec<InstanceKey>,
}

#[derive(Serialize)]
#[expect(dead_code, reason = "variants have their numbers by their places")]
enum FormerHealth {
    Evidence(Evidence),
    Watch(Watch),
    Grant(FormerGrant),
    Vote(FormerVote),
}

#[derive(Serialize)]
struct FormerHandOver {
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
#[expect(dead_code, reason = "variants have their numbers by their places")]
enum FormerAttempt {
    Claim,
    Verdict,
    Finish,
    HandOver(FormerHandOver),
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

fn hand_over(buckets: Vec<u16>) -> AttemptMessage {
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
fn grants_and_votes_of_the_previous_release_keep_their_form() {
    let former = bytes(&FormerHealth::Grant(FormerGrant {
        service: service(),
        round: 7,
        ballot: Some(300),
        ejections: Vec::new(),
        unavailable: unavailable(),
    }));
    assert_eq!(bytes(&grant(false)), former);
    assert_matches!(postcard::from_bytes(&former), Ok(message) if grant(false) == message);
    let former = bytes(&FormerHealth::Vote(FormerVote {
        service: service(),
        round: 7,
        ballot: 300,
        unavailable: unavailable(),
    }));
    assert_eq!(bytes(&vote(Some(300))), former);
    assert_matches!(postcard::from_bytes(&former), Ok(message) if vote(Some(300)) == message);
}

#[test]
fn records_of_the_previous_release_keep_their_form() {
    let former = bytes(&FormerAttempt::HandOver(FormerHandOver {
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
    let message = hand_over(Vec::new());
    assert_eq!(bytes(&message), former);
    assert_matches!(postcard::from_bytes(&former), Ok(read) if message == read);
}

#[test]
fn what_is_new_has_a_number_that_the_previous_release_does_not_know() {
    for message in [grant(true), vote(None)] {
        let sent = bytes(&message);
        assert!(sent[0] > 3, "{message:?}");
        assert_matches!(postcard::from_bytes(&sent), Ok(read) if message == read);
    }
    let message = hand_over(vec![5, 6]);
    let sent = bytes(&message);
    assert!(sent[0] > 7, "{message:?}");
    assert_matches!(postcard::from_bytes(&sent), Ok(read) if message == read);
}
