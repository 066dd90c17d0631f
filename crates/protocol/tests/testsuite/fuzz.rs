//! No input makes the decoder panic, and altered datagrams are refused.

use assert_matches::assert_matches;
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use waxwingusher_core::HostId;
use waxwingusher_protocol::Message;
use waxwingusher_protocol::codec::{DecodeError, MAX_DATAGRAM_BYTES};
use waxwingusher_protocol::gossip::{GossipMessage, LivenessUpdate, ReportedLiveness};

use crate::samples::{authenticate, host, pair, ping};

const ROUNDS: u32 = 20_000;

#[test]
fn random_bytes_are_refused() {
    let mut rng = fastrand::Rng::with_seed(11);
    let (_, mut receiver) = pair("host-b", 1);
    for _ in 0..ROUNDS {
        let len = rng.usize(0..MAX_DATAGRAM_BYTES + 50);
        let mut datagram: Vec<_> = (0..len).map(|_| rng.u8(..)).collect();
        if let Some(version) = datagram.first_mut().filter(|_| rng.bool()) {
            *version = 0x22;
        }
        assert_matches!(receiver.decode(&datagram), Err(_));
    }
}

#[test]
fn any_changed_bit_and_any_cut_is_refused() {
    let (mut sender, _) = pair("host-a", 7);
    let (_, mut receiver) = pair("host-b", 1);
    let datagram = sender.encode(&host("host-b"), &ping(1)).expect("fits");
    for bit in 0..datagram.len() * 8 {
        let mut changed = datagram.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert_matches!(
            receiver.decode(&changed),
            Err(DecodeError::BadTag | DecodeError::UnknownVersion),
            "bit {bit}"
        );
    }
    for len in 0..datagram.len() {
        assert_matches!(receiver.decode(&datagram[..len]), Err(_));
    }
    assert_matches!(receiver.decode(&datagram), Ok(_));
}

#[test]
fn authenticated_random_bodies_are_refused_or_decoded_without_a_panic() {
    let mut rng = fastrand::Rng::with_seed(12);
    let (mut refused, mut accepted) = (0, 0);
    for round in 0..ROUNDS {
        let (_, mut receiver) = pair("host-b", 1);
        let mut body = vec![1, b'x', 5, 1];
        let len = rng.usize(0..80);
        body.extend((0..len).map(|_| rng.u8(..) >> rng.u32(0..8)));
        let version = if round % 2 == 0 { 0x11 } else { 0x22 };
        match receiver.decode(&authenticate(version, "host-b", &body)) {
            Ok(_) => accepted += 1,
            Err(_) => refused += 1,
        }
    }
    assert!(refused > 0);
    assert_eq!(refused + accepted, ROUNDS);
}

fn updates() -> impl Strategy<Value = Vec<LivenessUpdate>> {
    let liveliness = prop_oneof![
        proptest::strategy::Just(ReportedLiveness::Alive),
        proptest::strategy::Just(ReportedLiveness::Suspect),
        proptest::strategy::Just(ReportedLiveness::Dead),
    ];
    let update = ("[a-z0-9-]{1,40}", any::<u64>(), any::<u32>(), liveliness);
    let update = update.prop_map(
        |(name, incarnation, refutation, liveliness)| LivenessUpdate {
            host: HostId::new(&name),
            incarnation,
            refutation,
            liveliness,
        },
    );
    vec(update, 0..8)
}

fn messages() -> impl Strategy<Value = GossipMessage> {
    let name = "[a-z0-9-]{1,40}";
    prop_oneof![
        (any::<u32>(), updates())
            .prop_map(|(probe, updates)| GossipMessage::Ping { probe, updates }),
        (any::<u32>(), updates())
            .prop_map(|(probe, updates)| GossipMessage::Ack { probe, updates }),
        (any::<u32>(), name, updates()).prop_map(|(probe, name, updates)| {
            GossipMessage::PingRequest {
                probe,
                target: HostId::new(&name),
                updates,
            }
        }),
        (any::<u32>(), name, any::<u64>(), updates()).prop_map(
            |(probe, name, incarnation, updates)| GossipMessage::RelayedAck {
                probe,
                target: HostId::new(&name),
                incarnation,
                updates,
            }
        ),
        updates().prop_map(|updates| GossipMessage::Push { updates }),
        any::<u32>().prop_map(|probe| GossipMessage::Join { probe }),
    ]
}

#[test]
fn every_message_is_decoded_as_it_was_encoded() {
    let config = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&messages(), |message| {
        let (mut sender, _) = pair("host-a", 7);
        let (_, mut receiver) = pair("host-b", 1);
        let message = Message::Gossip(message);
        let datagram = sender.encode(&host("host-b"), &message).expect("fits");
        assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        let envelope = receiver.decode(&datagram).expect("is accepted");
        assert_eq!(envelope.message, message);
        Ok(())
    });
    result.expect("all messages are decoded as encoded");
}
