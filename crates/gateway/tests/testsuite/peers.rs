//! Datagrams that no peer of this build would send.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::harness::{
    Instance, StaticSource, TestHost, answer_with_proof, document, request, roster,
};

const GRACE: Duration = Duration::from_secs(1);
const DATAGRAMS: usize = 3_000;

/// Variants of a message that a later build might add, and truncated or random bytes.
#[test]
fn malformed_datagrams_end_nothing_and_change_nothing() {
    let instance = Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "200 OK", "done")
    }));
    let host = TestHost::start(&[&instance], GRACE);
    let sender = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let mut rng = fastrand::Rng::with_seed(11);
    for number in 0..DATAGRAMS {
        let length = rng.usize(..200);
        let mut bytes: Vec<u8> = (0..length).map(|_| rng.u8(..)).collect();
        // The first byte selects the kind of message.
        if let Some(kind) = bytes.first_mut() {
            *kind = u8::try_from(number % 20).unwrap_or(0);
        }
        // Counts that exceed the datagram.
        if number % 3 == 0 && length > 12 {
            bytes[1..10].fill(0xff);
        }
        sender
            .send_to(&bytes, host.peer_addr)
            .expect("the host listens");
        if number % 100 == 0 {
            let reply = host.send(&request("GET", "/read/1", &format!("r{number}"), ""));
            assert_eq!(reply.status, 200);
        }
    }
    let (status, _) = host.get_status("/ready");
    assert_eq!(status, 200);
}

/// The bytes between failure domains are charged; without counters by kind it is not
/// known which traffic causes them.
#[test]
fn bytes_are_counted_by_kind_and_failure_domain() {
    let instance = Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "200 OK", "done")
    }));
    let source = || StaticSource {
        document: document(),
        roster: roster(&[&instance]),
    };
    let first = TestHost::start_with_seeds(&[], source(), GRACE);
    let second = TestHost::start_with_seeds(&[first.peer_addr], source(), GRACE);
    let reply = second.send(&request("GET", "/read/1", "a", ""));
    assert_eq!(reply.status, 200);
    let kinds = [
        "peer_bytes_total{kind=\"hello\",domain=\"local\"}",
        "peer_datagrams_total{kind=\"report\",domain=\"local\"}",
        "instance_bytes_total{kind=\"request\",domain=\"local\"}",
        "instance_bytes_total{kind=\"answer\",domain=\"local\"}",
    ];
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        let text = second.get_status("/metrics").1;
        if kinds.iter().all(|kind| text.contains(kind)) {
            return;
        }
        assert!(Instant::now() < deadline, "{text}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
