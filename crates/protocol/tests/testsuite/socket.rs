//! Datagrams over real sockets: delivery, counted drops, the receive queue and the
//! rate limit.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_core::{
    CancelToken, FailureDomain, HostEntry, HostList, HostState, ManualClock, SystemClock,
};
use waxwingusher_protocol::codec::DecodeError;
use waxwingusher_protocol::gossip::GossipMessage;
use waxwingusher_protocol::socket::{DropCause, SendError};
use waxwingusher_protocol::{Envelope, Message, MessageKind, PeerSocket, SocketSettings};

use crate::samples::{host, ping, secret, update};

// Ends a test that would otherwise hang.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

fn settings(name: &str) -> SocketSettings {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    SocketSettings::new(host(name), 1, addr, secret())
}

fn open(settings: &SocketSettings) -> (PeerSocket, Receiver<Envelope>) {
    PeerSocket::open(settings, Arc::new(SystemClock), &CancelToken::new()).expect("opens")
}

fn list(peers: &[(&str, &PeerSocket)]) -> HostList {
    let entry = |(name, socket): &(&str, &PeerSocket)| HostEntry {
        id: host(name),
        peer_addr: socket.local_addr().expect("is bound"),
        failure_domain: FailureDomain::new("domain-1"),
        state: HostState::Live,
    };
    HostList {
        version: 1,
        hosts: peers.iter().map(entry).collect(),
    }
}

fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        std::thread::yield_now();
    }
}

#[test]
fn messages_arrive_and_a_host_outside_the_list_can_be_answered() {
    let (a, a_queue) = open(&settings("host-a"));
    let (b, b_queue) = open(&settings("host-b"));
    a.set_hosts(&list(&[("host-b", &b)]));
    a.send(&host("host-b"), &ping(1)).expect("is sent");
    let envelope = b_queue.recv_timeout(HANG_TIMEOUT).expect("arrives");
    assert_eq!(envelope.message, ping(1));
    b.send(&envelope.from, &ping(2)).expect("is sent");
    let answer = a_queue.recv_timeout(HANG_TIMEOUT).expect("arrives");
    assert_eq!(answer.message, ping(2));
    let sent = a.counters().sent(MessageKind::Gossip);
    assert_eq!(sent.datagrams, 1);
    assert_eq!(sent, b.counters().received(MessageKind::Gossip));
}

#[test]
fn drops_are_counted_by_their_cause() {
    let (a, queue) = open(&settings("host-a"));
    let addr = a.local_addr().expect("is bound");
    let stranger = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("is bound");
    stranger.send_to(&[0x22; 100], addr).expect("is sent");
    stranger.send_to(&[0x22; 1_300], addr).expect("is sent");
    stranger.send_to(&[0x99; 100], addr).expect("is sent");
    wait_until(|| a.counters().drops().map(|(_, count)| count).sum::<u64>() == 3);
    let counters = a.counters();
    assert_eq!(counters.dropped(DropCause::Decode(DecodeError::BadTag)), 1);
    assert_eq!(
        counters.dropped(DropCause::Decode(DecodeError::TooLarge)),
        1
    );
    let unknown = DropCause::Decode(DecodeError::UnknownVersion);
    assert_eq!(counters.dropped(unknown), 1);
    assert!(queue.try_recv().is_err());

    assert_matches!(
        a.send(&host("nobody"), &ping(1)),
        Err(SendError::UnknownHost(_))
    );
    assert_eq!(a.counters().dropped(DropCause::UnknownHost), 1);
}

#[test]
fn datagrams_beyond_a_full_queue_are_dropped_and_counted() {
    let mut small = settings("host-a");
    small.receive_queue_datagrams = 2;
    let (a, queue) = open(&small);
    let (b, _b_queue) = open(&settings("host-b"));
    b.set_hosts(&list(&[("host-a", &a)]));
    for probe in 0..5 {
        b.send(&host("host-a"), &ping(probe)).expect("is sent");
    }
    wait_until(|| a.counters().dropped(DropCause::RingFull) == 3);
    assert_eq!(a.counters().received(MessageKind::Gossip).datagrams, 2);
    assert_eq!(queue.try_iter().count(), 2);
}

#[test]
fn the_rate_limit_on_sent_bytes_holds_and_is_counted() {
    let mut limited = settings("host-a");
    limited.bytes_per_s = 1_000;
    limited.burst_bytes = 4_000;
    let clock = Arc::new(ManualClock::new());
    let (a, _queue) =
        PeerSocket::open(&limited, clock.clone(), &CancelToken::new()).expect("opens");
    let (b, _b_queue) = open(&settings("host-b"));
    a.set_hosts(&list(&[("host-b", &b)]));
    let mut rate_limited = 0;
    for probe in 0..100 {
        match a.send(&host("host-b"), &ping(probe)) {
            Ok(()) => {}
            Err(SendError::RateCap) => rate_limited += 1,
            Err(error) => panic!("{error}"),
        }
    }
    assert!(a.sent_bytes(MessageKind::Gossip) <= 3_000);
    assert!(rate_limited > 0);
    assert_eq!(a.counters().dropped(DropCause::RateCap), rate_limited);
    clock.advance(Duration::from_secs(1));
    a.send(&host("host-b"), &ping(0)).expect("is sent");
}

#[test]
fn a_message_that_does_not_fit_is_counted() {
    let (a, _queue) = open(&settings("host-a"));
    let (b, _b_queue) = open(&settings("host-b"));
    a.set_hosts(&list(&[("host-b", &b)]));
    let updates = (0..200).map(|i| update(&format!("host-{i}"))).collect();
    let large = Message::Gossip(GossipMessage::Push { updates });
    assert_matches!(a.send(&host("host-b"), &large), Err(SendError::Encode(_)));
    assert_eq!(a.counters().dropped(DropCause::TooLarge), 1);
}

#[test]
fn cancelling_the_token_ends_the_thread_and_closes_the_queue() {
    let token = CancelToken::new();
    let (a, queue) =
        PeerSocket::open(&settings("host-a"), Arc::new(SystemClock), &token).expect("opens");
    token.cancel();
    assert!(queue.recv_timeout(HANG_TIMEOUT).is_err());
    drop(a);
}
