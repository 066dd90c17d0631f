//! Messages that builds of different protocols exchange about the feed.
//!
//! `data/messages-b65f8d3.txt` holds one message of each kind that a host of b65f8d3
//! (protocol 2) sends: its name and its bytes in hexadecimal digits.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::routing::{
    CallerLimits, ColdStart, PublishedService, PublishedWorkspace, Route, RoutingDocument,
    ServiceShare,
};
use waxwingusher_core::{
    FailureDomain, FeedPosition, InstanceId, KeyDigest, Region, RouteName, ServiceName,
    WorkspaceName,
};
use waxwingusher_gateway::FeedSource;
use waxwingusher_gateway::feed_codec::{self, RevisedWireChange, WireChange};
use waxwingusher_gateway::feed_delta::{ConfigurationDelta, DigestedDocument};
use waxwingusher_gateway::feed_log::RevisedChange;
use waxwingusher_gateway::feed_protocol_2::{
    decode_changes, decode_configuration, encode_changes, encode_configuration,
};
use waxwingusher_gateway::feed_replica::{EncodedConfiguration, FeedReplica};
use waxwingusher_gateway::ports::{Change, Changes, EvacuationChange, Listing, SourceError};
use waxwingusher_membership::seeded::{
    Delivery, DocumentChunk, DocumentRequest, FeedChanges, FeedRequest, FeedUpdate, Member,
    PeerMessage, Profile,
};
use waxwingusher_upstreams::{RosterChange, RosterEntry, RosterState};
use xxhash_rust::xxh3::xxh3_64;

use crate::harness::{self, Instance, KEY, TestHost, answer_with_proof, request, roster};

const RECORDED: &str = include_str!("data/messages-b65f8d3.txt");

fn recorded(name: &str) -> Vec<u8> {
    let mut lines = RECORDED.lines().filter_map(|line| line.split_once(' '));
    let (_, digits) = lines
        .find(|(known, _)| *known == name)
        .expect("a recorded message");
    let pairs = digits.as_bytes().chunks(2);
    let pairs = pairs.map(|pair| std::str::from_utf8(pair).expect("digits"));
    pairs
        .map(|pair| u8::from_str_radix(pair, 16).expect("a byte"))
        .collect()
}

fn decode(name: &str) -> PeerMessage {
    postcard::from_bytes(&recorded(name)).expect("a message")
}

/// The configuration in the recorded messages.
fn former_document() -> RoutingDocument {
    RoutingDocument {
        version: 9,
        routes: vec![Route {
            name: RouteName::new("read"),
            host: "api.example".to_owned(),
            prefix: "/read/".to_owned(),
            is_idempotent: true,
            timeout: Some(Duration::from_millis(2_500)),
            latency_target: Duration::from_millis(300),
            priority: 1,
            split: vec![ServiceShare {
                service: ServiceName::new("svc"),
                weight: 3,
            }],
            max_attempts: 2,
            is_open: false,
            home_regions: Vec::new(),
        }],
        services: vec![PublishedService {
            name: ServiceName::new("svc"),
            health_path: "/health".to_owned(),
            max_connections: 100,
            cold_start: None,
        }],
        workspaces: vec![PublishedWorkspace {
            name: WorkspaceName::new("acme"),
            keys: vec![KeyDigest::of_key(b"key")],
            priority: Some(0),
            rate_per_s: 12.5,
            burst: 30.0,
            home_regions: Vec::new(),
        }],
        limits: CallerLimits::default(),
        findings: Vec::new(),
    }
}

/// The same with what hosts of b65f8d3 do not know.
fn document() -> RoutingDocument {
    let mut document = former_document();
    document.routes[0].home_regions = vec![Region::new("eu")];
    document.workspaces[0].home_regions = vec![Region::new("eu")];
    document.services[0].cold_start = Some(ColdStart {
        duration: Duration::from_secs(3),
        rate_per_s: 3.3,
    });
    document
}

fn entry(state: RosterState) -> RosterEntry {
    RosterEntry {
        id: InstanceId::new("i-1"),
        incarnation: 5,
        service: ServiceName::new("svc"),
        addr: "10.0.1.1:80".parse().expect("an address"),
        failure_domain: FailureDomain::new("north"),
        software: Arc::from("v1"),
        slots: 4,
        state,
        cold_for: Duration::from_millis(1_200),
    }
}

fn changes(document: RoutingDocument) -> Vec<RevisedChange> {
    let changes = [
        Change::Routing(Ok(document)),
        Change::Routing(Err("unreadable".to_owned())),
        Change::Roster(RosterChange::Put(entry(RosterState::Ready))),
        Change::Roster(RosterChange::Put(entry(RosterState::Draining))),
        Change::Roster(RosterChange::Removed(InstanceId::new("i-2"))),
        Change::Roster(RosterChange::Unusable(InstanceId::new("i-3"))),
    ];
    let revised = (11..).zip(changes);
    revised
        .map(|(revision, change)| RevisedChange { revision, change })
        .collect()
}

/// A field or a variant that is added before others makes the messages of one build
/// unreadable to the other. Each kind of message is the same in both builds.
#[test]
fn messages_of_the_earlier_build_have_the_same_bytes_in_this_one() {
    let mut count = 0;
    for line in RECORDED.lines() {
        let (name, _) = line.split_once(' ').expect("a name");
        let bytes = recorded(name);
        let message: PeerMessage = postcard::from_bytes(&bytes).expect(name);
        let encoded = postcard::to_allocvec(&message).expect("an encoding");
        assert_eq!(encoded, bytes, "{name}");
        count += 1;
    }
    assert_eq!(count, 17);
}

/// `e5ea896` added fields to the configuration, so that changes and configurations of hosts
/// of b65f8d3 could not be decoded, nor theirs there.
#[test]
fn changes_and_configurations_of_the_earlier_build_are_decoded() {
    let PeerMessage::Feed(update) = decode("feed") else {
        panic!("another message");
    };
    let decoded = decode_changes(&update.changes).expect("changes");
    let expected = changes(former_document());
    assert_eq!(format!("{decoded:?}"), format!("{expected:?}"));
    let PeerMessage::Configuration(bytes) = decode("configuration") else {
        panic!("another message");
    };
    let decoded = decode_configuration(&bytes).expect("a configuration");
    assert_eq!(decoded, former_document());
}

/// What this build sends to a host of b65f8d3 has the bytes that such a host sends itself,
/// so that it can decode it. Home regions, cold limits and evacuations are left out.
#[test]
fn what_this_build_sends_to_the_earlier_one_has_its_form() {
    let PeerMessage::Feed(update) = decode("feed") else {
        panic!("another message");
    };
    let mut published = changes(document());
    published.push(RevisedChange {
        revision: 17,
        change: Change::Evacuation(EvacuationChange {
            failure_domain: FailureDomain::new("north"),
            is_ordered: true,
        }),
    });
    assert_eq!(
        encode_changes(&published).expect("an encoding"),
        update.changes
    );
    let PeerMessage::Configuration(bytes) = decode("configuration") else {
        panic!("another message");
    };
    assert_eq!(
        encode_configuration(&document()).expect("an encoding"),
        bytes
    );
    let mut replica = FeedReplica::default();
    replica.keep_configuration(EncodedConfiguration::new(&document()));
    assert_eq!(replica.configuration_after(8), Some(bytes.as_slice()));
    assert_eq!(replica.configuration_after(9), None);
}

/// The kinds of messages that hosts of protocol 3 exchange, with each kind of change.
fn messages() -> Vec<PeerMessage> {
    let base = DigestedDocument::new(former_document()).expect("an encoding");
    let mut changed = document();
    changed.version = 10;
    let result = DigestedDocument::new(changed).expect("an encoding");
    let delta = ConfigurationDelta::between(&base, &result).expect("a delta");
    let changes = [
        WireChange::Configuration(Box::new(delta)),
        WireChange::Document {
            version: 11,
            digest: 7,
        },
        WireChange::Unreadable("unreadable".to_owned()),
        WireChange::Roster(RosterChange::Put(entry(RosterState::Ready))),
        WireChange::Roster(RosterChange::Removed(InstanceId::new("i-2"))),
        WireChange::Roster(RosterChange::Unusable(InstanceId::new("i-3"))),
        WireChange::Evacuation(EvacuationChange {
            failure_domain: FailureDomain::new("north"),
            is_ordered: true,
        }),
    ];
    let revised = (11..).zip(changes);
    let revised: Vec<RevisedWireChange> = revised
        .map(|(revision, change)| RevisedWireChange { revision, change })
        .collect();
    // The compressed form may differ between versions of the library.
    let encoded = postcard::to_allocvec(&revised).expect("an encoding");
    let update = |delivery| {
        PeerMessage::FeedChanges(FeedChanges {
            reader: "10.0.0.7:7100".parse().expect("an address"),
            sequence: 4,
            delivery,
            since: FeedPosition::new(2, 10),
            until: FeedPosition::new(2, 17),
            is_gapless: true,
            changes: encoded.clone(),
        })
    };
    vec![
        update(Delivery::Direct),
        update(Delivery::Tree(1)),
        update(Delivery::Reply),
        PeerMessage::FeedRequest(FeedRequest {
            position: FeedPosition::new(2, 10),
        }),
        PeerMessage::DocumentRequest(DocumentRequest {
            version: 9,
            stream_digest: 7,
            chunks: vec![0, 300],
        }),
        PeerMessage::DocumentChunk(DocumentChunk {
            version: 9,
            stream_digest: 7,
            stream_bytes: 2_000,
            index: 1,
            bytes: vec![1, 2, 3],
        }),
    ]
}

/// A change of the types in these messages makes the messages of hosts of this protocol
/// unreadable. It needs a new protocol, and this one's form kept for hosts that have it.
#[test]
fn the_encoding_of_protocol_3_does_not_change() {
    let digests: Vec<u64> = messages()
        .iter()
        .map(|message| xxh3_64(&postcard::to_allocvec(message).expect("an encoding")))
        .collect();
    assert_eq!(digests, PROTOCOL_3_DIGESTS);
}

const PROTOCOL_3_DIGESTS: [u64; 6] = [
    5_089_266_436_463_855_861,
    8_453_915_583_134_529_498,
    15_960_023_285_866_474_304,
    11_402_879_000_155_342_963,
    2_866_002_651_076_985_730,
    2_967_403_754_175_578_869,
];

/// Compressed changes are decoded to the same, and damaged ones are refused.
#[test]
fn encoded_changes_are_decoded_and_damaged_ones_refused() {
    let removal = |revision: u64| RevisedWireChange {
        revision,
        change: WireChange::Roster(RosterChange::Removed(InstanceId::new(&format!(
            "instance-{revision}"
        )))),
    };
    for count in [0, 1, 500] {
        let changes: Vec<RevisedWireChange> = (1..=count).map(removal).collect();
        let bytes = feed_codec::encode(&changes).expect("an encoding");
        assert_eq!(feed_codec::decode(&bytes).expect("changes"), changes);
    }
    let changes: Vec<RevisedWireChange> = (1..=500).map(removal).collect();
    let bytes = feed_codec::encode(&changes).expect("an encoding");
    assert!(feed_codec::decode(&bytes[..bytes.len() / 2]).is_err());
    assert!(feed_codec::decode(&[9, 1, 2]).is_err());
    // A small message that decompresses to a large one.
    let bomb = feed_codec::deflate(&vec![0; 10_000_000]).expect("a compressed form");
    assert!(feed_codec::decode(&[&[1], bomb.as_slice()].concat()).is_err());
    let parts = feed_codec::into_parts(&changes).expect("parts");
    assert!(parts.len() > 1);
    let mut joined = Vec::new();
    for part in parts {
        assert!(part.bytes.len() <= feed_codec::MAX_PART_BYTES);
        joined.extend(feed_codec::decode(&part.bytes).expect("changes"));
    }
    assert_eq!(joined, changes);
}

/// A source that publishes one more configuration after a while.
struct PublishingSource {
    started: Instant,
    changed: RoutingDocument,
    roster: Vec<RosterEntry>,
}

impl FeedSource for PublishingSource {
    async fn list(&self) -> Result<Listing, SourceError> {
        Ok(Listing {
            routing: Some(Ok(harness::document())),
            roster: self.roster.clone(),
            evacuated: BTreeSet::new(),
            position: FeedPosition::new(0, 1),
        })
    }

    async fn changes(
        &self,
        position: FeedPosition,
        _wait: Duration,
    ) -> Result<Changes, SourceError> {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let is_published = self.started.elapsed() > PUBLISHED_AFTER;
        if position.revision > 1 || !is_published {
            return Ok(Changes {
                items: Vec::new(),
                position,
            });
        }
        Ok(Changes {
            items: vec![(2, Change::Routing(Ok(self.changed.clone())))],
            position: FeedPosition::new(0, 2),
        })
    }

    fn reconnect(&self) {}
}

const PUBLISHED_AFTER: Duration = Duration::from_secs(1);

/// The position in the enumeration of the first message that hosts of b65f8d3 do not know.
const FIRST_NEW_KIND: u8 = 14;

/// Hosts of b65f8d3 discard messages that they do not know, but each costs the sender's link.
/// Their changes lack evacuations, so a host that applied them would serve evacuated
/// domains.
#[test]
fn a_host_of_the_earlier_build_is_sent_nothing_new_and_its_changes_are_not_applied() {
    let instance = Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "200 OK", "done")
    }));
    let mut changed = harness::document();
    changed.version = 2;
    let source = PublishingSource {
        started: Instant::now(),
        changed,
        roster: roster(&[&instance]),
    };
    let host = TestHost::start_with_source(source, Duration::from_secs(1));
    let former = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    former
        .set_read_timeout(Some(Duration::from_millis(50)))
        .expect("a timeout");
    let addr = former.local_addr().expect("an address");
    let send = |message: &PeerMessage| {
        let bytes = postcard::to_allocvec(message).expect("an encoding");
        former.send_to(&bytes, host.peer_addr).expect("sent");
    };
    let mut forged = harness::document();
    forged.version = 9;
    forged.workspaces[0].keys = vec![KeyDigest::of_key(b"forged")];
    let forged = vec![RevisedChange {
        revision: 50,
        change: Change::Routing(Ok(forged)),
    }];
    let started = Instant::now();
    let (mut kinds, mut configuration) = (BTreeSet::new(), None);
    while started.elapsed() < Duration::from_secs(3) {
        send(&PeerMessage::Hello {
            sender: Member {
                addr,
                failure_domain: FailureDomain::new("north"),
                incarnation: 5,
            },
            table_digest: None,
        });
        send(&PeerMessage::Profile(Profile {
            addr,
            incarnation: 5,
            protocol: 2,
            capacity: 1,
            is_reply_requested: false,
        }));
        send(&PeerMessage::Feed(FeedUpdate {
            reader: addr,
            relay: true,
            since: FeedPosition::new(0, 1),
            until: FeedPosition::new(0, 50),
            is_gapless: true,
            changes: encode_changes(&forged).expect("an encoding"),
        }));
        send(&PeerMessage::ConfigurationRequest { version: 1 });
        let mut buffer = vec![0; 60_000];
        while let Ok((length, _)) = former.recv_from(&mut buffer) {
            kinds.insert(buffer[0]);
            let message = postcard::from_bytes(&buffer[..length]).expect("a message");
            if let PeerMessage::Configuration(bytes) = message {
                configuration = Some(decode_configuration(&bytes).expect("its form"));
            }
        }
    }
    let last = kinds.last().copied();
    assert!(last < Some(FIRST_NEW_KIND), "a message of kind {last:?}");
    let configuration = configuration.expect("the host answers the request");
    assert_eq!(configuration.version, 2);
    let text = request("GET", "/read/1", "a", "");
    assert_eq!(host.send(&text).status, 200);
    let forged = text.replace(KEY, "forged");
    assert_eq!(host.send(&forged).status, 401, "the change was applied");
}
