//! Datagrams are authenticated, bound to their receiver, and accepted once.

use std::collections::HashSet;

use assert_matches::assert_matches;
use waxwingusher_protocol::codec::{
    DecodeError, EncodeError, Freshness, MAX_DATAGRAM_BYTES, ReplayWindow, UDP_OVERHEAD_BYTES,
    pair as codec_pair,
};
use waxwingusher_protocol::gossip::GossipMessage;
use waxwingusher_protocol::secret::MIN_SECRET_BYTES;
use waxwingusher_protocol::{FleetSecret, Message, wire_len_bytes};

use crate::samples::{
    OTHER_SECRET, authenticate, host, pair, ping, secret, secret_rotation_steps, update,
};

#[test]
fn a_message_arrives_with_its_sender_and_incarnation() {
    let (mut sender, _) = pair("host-a", 7);
    let (_, mut receiver) = pair("host-b", 8);
    let datagram = sender.encode(&host("host-b"), &ping(1)).expect("fits");
    let envelope = receiver.decode(&datagram).expect("is accepted");
    assert_eq!(envelope.from, host("host-a"));
    assert_eq!(envelope.incarnation, 7);
    assert_eq!(envelope.message, ping(1));
    let estimated = wire_len_bytes(&host("host-a"), 7, &ping(1));
    let sent = datagram.len() + UDP_OVERHEAD_BYTES;
    assert!(
        (sent..=sent + 1).contains(&estimated),
        "{estimated} for {sent}"
    );
}

#[test]
fn a_datagram_for_another_host_or_of_another_fleet_is_refused() {
    let (mut sender, _) = pair("host-a", 7);
    let datagram = sender.encode(&host("host-c"), &ping(1)).expect("fits");
    let (_, mut receiver) = pair("host-b", 8);
    assert_eq!(receiver.decode(&datagram), Err(DecodeError::BadTag));
    let other = FleetSecret::new(OTHER_SECRET).expect("long enough");
    let (mut other_fleet, _) = codec_pair(&host("host-a"), 7, &other);
    let datagram = other_fleet.encode(&host("host-b"), &ping(1)).expect("fits");
    assert_eq!(receiver.decode(&datagram), Err(DecodeError::BadTag));
}

#[test]
fn each_datagram_is_accepted_once_in_any_order_within_the_window() {
    let (mut sender, _) = pair("host-a", 7);
    let (_, mut receiver) = pair("host-b", 8);
    let mut datagrams: Vec<_> = (0..60)
        .map(|i| sender.encode(&host("host-b"), &ping(i)).expect("fits"))
        .collect();
    fastrand::Rng::with_seed(1).shuffle(&mut datagrams);
    for datagram in &datagrams {
        assert_matches!(receiver.decode(datagram), Ok(_));
    }
    for datagram in &datagrams {
        assert_eq!(receiver.decode(datagram), Err(DecodeError::Replayed));
    }
}

#[test]
fn a_restarted_sender_is_accepted_and_its_earlier_datagrams_stay_refused() {
    let (mut earlier, _) = pair("host-a", 7);
    let (_, mut receiver) = pair("host-b", 8);
    let old = earlier.encode(&host("host-b"), &ping(1)).expect("fits");
    assert_matches!(receiver.decode(&old), Ok(_));
    let (mut restarted, _) = pair("host-a", 9);
    let new = restarted.encode(&host("host-b"), &ping(1)).expect("fits");
    assert_matches!(receiver.decode(&new), Ok(envelope) if envelope.incarnation == 9);
    assert_eq!(receiver.decode(&old), Err(DecodeError::Replayed));
}

#[test]
fn the_replay_window_agrees_with_a_set_of_all_numbers() {
    let mut rng = fastrand::Rng::with_seed(2);
    for _ in 0..200 {
        let mut window = ReplayWindow::default();
        let mut seen = HashSet::new();
        let mut highest = 0;
        for _ in 0..500 {
            let sequence = rng.u64(highest.max(80) - 80..highest + 90).max(1);
            let is_new = seen.insert(sequence);
            let is_in_window = sequence + 64 > highest;
            let expected = is_new && is_in_window;
            let accepted = window.accept(sequence) == Freshness::Fresh;
            assert_eq!(accepted, expected, "{sequence} after {highest}");
            highest = highest.max(sequence);
        }
    }
}

#[test]
fn datagrams_that_are_too_large_are_neither_sent_nor_decoded() {
    let (mut sender, _) = pair("host-a", 7);
    let updates: Vec<_> = (0..200).map(|i| update(&format!("host-{i}"))).collect();
    let large = Message::Gossip(GossipMessage::Push { updates });
    assert_matches!(
        sender.encode(&host("host-b"), &large),
        Err(EncodeError::TooLarge { len_bytes }) if len_bytes > MAX_DATAGRAM_BYTES
    );
    let (_, mut receiver) = pair("host-b", 8);
    let body = vec![0; MAX_DATAGRAM_BYTES];
    let oversized = authenticate(0x22, "host-b", &body);
    assert_eq!(receiver.decode(&oversized), Err(DecodeError::TooLarge));
    assert_eq!(receiver.decode(&[0x22; 17]), Err(DecodeError::TooShort));
    assert_eq!(receiver.decode(&[]), Err(DecodeError::TooShort));
}

#[test]
fn a_datagram_that_names_its_receiver_as_sender_is_refused() {
    let (mut impostor, _) = pair("host-b", 7);
    let (_, mut receiver) = pair("host-b", 8);
    let datagram = impostor.encode(&host("host-b"), &ping(1)).expect("fits");
    assert_eq!(receiver.decode(&datagram), Err(DecodeError::FromSelf));
}

#[test]
fn hosts_accept_datagrams_of_each_other_at_each_step_of_a_secret_rotation() {
    let (a, b) = (host("host-a"), host("host-b"));
    for [from, to] in secret_rotation_steps() {
        let (mut sender, _) = codec_pair(&a, 1, &from);
        let (_, mut receiver) = codec_pair(&b, 2, &to);
        let datagram = sender.encode(&b, &ping(1)).expect("fits");
        assert_matches!(receiver.decode(&datagram), Ok(_));
    }
    let old = secret();
    let new = FleetSecret::new(OTHER_SECRET).expect("long enough");
    let (mut sender, _) = codec_pair(&a, 1, &old.accepting(&new));
    let (_, mut receiver) = codec_pair(&b, 2, &new);
    let datagram = sender.encode(&b, &ping(1)).expect("fits");
    assert_eq!(
        receiver.decode(&datagram),
        Err(DecodeError::BadTag),
        "the second secret is accepted but never used to make tags"
    );
}

#[test]
fn a_short_secret_is_refused_and_none_is_printed() {
    let short = "x".repeat(MIN_SECRET_BYTES - 1);
    assert!(FleetSecret::new(&short).is_err());
    let secret = FleetSecret::new(OTHER_SECRET).expect("long enough");
    assert_eq!(format!("{secret:?}"), "FleetSecret(..)");
}
