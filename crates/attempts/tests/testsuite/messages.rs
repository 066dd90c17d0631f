//! The largest messages fit into a datagram.

use waxwingusher_core::{BodyDigest, HostId, InstanceId, ServiceName, WorkspaceName};
use waxwingusher_protocol::Message;
use waxwingusher_protocol::attempt::{
    AttemptKey, AttemptMessage, ClaimEnd, ClaimId, CrashReport, HAND_OFF_PART_BYTES,
    HAND_OFF_RECORD_BYTES, HandOffPart, HandOffRecord, MAX_REPORTED_SUSPECTS,
    MAX_STORED_BODY_BYTES, MAX_STORED_HEADER_BYTES, QuarantineMessage, StoredAnswer, StoredHeader,
    Suspect, Verdict,
};
use waxwingusher_protocol::codec::{MAX_DATAGRAM_BYTES, UDP_OVERHEAD_BYTES, wire_len_bytes};

fn key() -> AttemptKey {
    AttemptKey::new(&WorkspaceName::new("staff"), "a")
}

fn largest_answer() -> StoredAnswer {
    let names = 8;
    let value = "v".repeat(MAX_STORED_HEADER_BYTES / names - 1);
    let header = StoredHeader {
        name: "n".into(),
        value: value.into(),
    };
    let answer = StoredAnswer {
        status: 201,
        headers: vec![header; names],
        body: vec![0; MAX_STORED_BODY_BYTES].into(),
    };
    assert!(answer.is_storable());
    answer
}

fn record(answer: Option<StoredAnswer>) -> HandOffRecord {
    HandOffRecord {
        key: key(),
        claim: ClaimId([1; 8]),
        body: BodyDigest::of_request("POST", "/", b""),
        answer,
    }
}

fn hand_off(records: Vec<HandOffRecord>) -> AttemptMessage {
    AttemptMessage::HandOff(HandOffPart {
        of: HostId::new("entry-host-of-a-long-name-000123"),
        source: u64::MAX,
        id: u64::MAX,
        part: u32::MAX,
        parts: u32::MAX,
        topology: u64::MAX,
        former_hosts: Vec::new(),
        receivers: u32::MAX,
        is_complete: true,
        to_incarnation: None,
        buckets: Vec::new(),
        records,
    })
}

fn crash_report() -> AttemptMessage {
    let suspect = Suspect {
        fingerprint: key(),
        completes: false,
    };
    AttemptMessage::Quarantine(QuarantineMessage::Report(CrashReport {
        service: ServiceName::new("a-service-of-a-long-name-000123"),
        instance: InstanceId::new("an-instance-of-a-long-name-0123"),
        suspects: vec![suspect; MAX_REPORTED_SUSPECTS],
    }))
}

#[test]
fn the_largest_messages_fit_into_a_datagram() {
    let claim = ClaimId([1; 8]);
    let messages = [
        AttemptMessage::Verdict {
            claim,
            verdict: Verdict::Answered(largest_answer()),
        },
        AttemptMessage::Finish {
            key: key(),
            claim,
            end: ClaimEnd::Answered(largest_answer()),
        },
        hand_off(vec![record(Some(largest_answer()))]),
        hand_off(vec![
            record(None);
            HAND_OFF_PART_BYTES / HAND_OFF_RECORD_BYTES
        ]),
        crash_report(),
    ];
    let from = HostId::new("entry-host-of-a-long-name-000123");
    for message in messages {
        let wire_bytes = wire_len_bytes(&from, u64::MAX, &Message::Attempt(message));
        assert!(
            wire_bytes - UDP_OVERHEAD_BYTES <= MAX_DATAGRAM_BYTES,
            "{wire_bytes}"
        );
    }
}
