//! Hosts of the previous release and of this one can communicate.

use assert_matches::assert_matches;
use waxwingusher_protocol::codec::{DecodeError, Layout, pair_with_newest};

use crate::samples::{authenticate, host, pair, ping, secret};

const INCARNATION: u64 = 0x0123_4567_89ab_cdef;

// Both from host-a to host-b with `ping(7)`, computed independently of this
// code.
const VECTOR_V1: &str = "111d02af91d84906615b0150f390c3f0d706686f73742d61ef9bafcdf8acd19101\
                         0300070106686f73742d63630201";
const VECTOR_V2: &str = "2248c479159801c953af2b7f93334f5ff306686f73742d61ef9bafcdf8acd19101\
                         010300070106686f73742d63630201";

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("hexadecimal");
    (0..hex.len()).step_by(2).map(digits).collect()
}

#[test]
fn the_bytes_of_both_releases_are_accepted() {
    for vector in [VECTOR_V1, VECTOR_V2] {
        let (_, mut receiver) = pair("host-b", 1);
        let envelope = receiver.decode(&bytes(vector)).expect("is accepted");
        assert_eq!(envelope.from, host("host-a"));
        assert_eq!(envelope.incarnation, INCARNATION);
        assert_eq!(envelope.message, ping(7));
    }
}

#[test]
fn the_bytes_that_are_sent_have_not_changed() {
    let (mut current, _) = pair("host-a", INCARNATION);
    let sent = current.encode(&host("host-b"), &ping(7)).expect("fits");
    assert_eq!(sent, bytes(VECTOR_V2));
    let (mut previous, _) =
        pair_with_newest(&host("host-a"), INCARNATION, &secret(), Layout::PREVIOUS);
    let sent = previous.encode(&host("host-b"), &ping(7)).expect("fits");
    assert_eq!(sent, bytes(VECTOR_V1));
}

#[test]
fn a_new_host_sends_the_layout_of_an_old_one_until_that_one_is_upgraded() {
    let (a, b) = (host("host-a"), host("host-b"));
    let (mut new_tx, mut new_rx) = pair("host-a", 1);
    let (mut old_tx, mut old_rx) = pair_with_newest(&b, 2, &secret(), Layout::PREVIOUS);

    let first = new_tx.encode(&b, &ping(1)).expect("fits");
    assert_eq!(old_rx.decode(&first), Err(DecodeError::UnknownVersion));
    let hello = old_tx.encode(&a, &ping(2)).expect("fits");
    assert_matches!(new_rx.decode(&hello), Ok(_));
    let second = new_tx.encode(&b, &ping(3)).expect("fits");
    assert_matches!(old_rx.decode(&second), Ok(_));

    // The upgraded host receives the old layout first, and answers in the new
    // one, as the version byte states that its sender understands it.
    let (mut upgraded_tx, mut upgraded_rx) = pair("host-b", 3);
    let third = new_tx.encode(&b, &ping(4)).expect("fits");
    assert_eq!(third[0], 0x21);
    assert_matches!(upgraded_rx.decode(&third), Ok(_));
    let reply = upgraded_tx.encode(&a, &ping(5)).expect("fits");
    assert_eq!(reply[0], 0x22);
    assert_matches!(new_rx.decode(&reply), Ok(_));
    assert_eq!(new_tx.encode(&b, &ping(6)).expect("fits")[0], 0x22);
}

#[test]
fn a_layout_of_a_later_release_is_refused_but_its_sender_may_know_it() {
    let (_, mut receiver) = pair("host-b", 1);
    let mut body = bytes(VECTOR_V2)[17..].to_vec();
    let later = authenticate(0x33, "host-b", &body);
    assert_eq!(receiver.decode(&later), Err(DecodeError::UnknownVersion));
    let bridged = authenticate(0x32, "host-b", &body);
    assert_matches!(receiver.decode(&bridged), Ok(_));
    body.push(0);
    let (_, mut receiver) = pair("host-b", 1);
    let trailing = authenticate(0x22, "host-b", &body);
    assert_eq!(receiver.decode(&trailing), Err(DecodeError::Malformed));
}

#[test]
fn a_variant_of_a_later_release_is_distinguished_from_a_malformed_body() {
    let (_, mut receiver) = pair("host-b", 1);
    // from "x", incarnation 5, sequences 1 and 2, then an unknown
    // subsystem, and an unknown message of a known subsystem.
    let unknown_subsystem = authenticate(0x22, "host-b", &[1, b'x', 5, 1, 100, 1]);
    assert_eq!(
        receiver.decode(&unknown_subsystem),
        Err(DecodeError::UnknownMessage)
    );
    let unknown_message = authenticate(0x22, "host-b", &[1, b'x', 5, 2, 3, 100]);
    assert_eq!(
        receiver.decode(&unknown_message),
        Err(DecodeError::UnknownMessage)
    );
    let cut = authenticate(0x22, "host-b", &[1, b'x', 5, 3, 3, 0, 9, 4]);
    assert_eq!(receiver.decode(&cut), Err(DecodeError::Malformed));
}
