//! Instances of a failure domain that is evacuated.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use waxwingusher_config::routing::ColdStart;
use waxwingusher_core::{FailureDomain, InstanceId};
use waxwingusher_gateway::ports::Change;
use waxwingusher_membership::seeded::issuers::permit_issuer;
use waxwingusher_membership::seeded::{
    Member, PeerMessage, PermitDecision, PermitReply, name_hash,
};
use waxwingusher_upstreams::RosterChange;

use crate::changing_source::ChangingSource;
use crate::harness::{Instance, TestHost, answer_with_proof, document, request, roster};

const GRACE: Duration = Duration::from_secs(1);
/// Longer than the interval between probes and the time until an order is in force.
const PROBE_TIME: Duration = Duration::from_millis(2_500);

/// Counts the connections to a listener.
fn count_connections(listener: TcpListener) -> Arc<AtomicUsize> {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    std::thread::spawn(move || {
        for _ in listener.incoming().flatten() {
            counted.fetch_add(1, Ordering::SeqCst);
        }
    });
    count
}

/// Guards against connections without requests to instances of an evacuated domain, whose
/// paths were blocked before.
#[test]
fn path_probes_to_an_evacuated_domain_stop_and_return() {
    let healthy = Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "200 OK", "done")
    }));
    let mut entries = roster(&[&healthy, &healthy]);
    let closed = TcpListener::bind("127.0.0.1:0").expect("a free port");
    entries[1].addr = closed.local_addr().expect("an address");
    entries[1].failure_domain = "south".into();
    let addr = entries[1].addr;
    drop(closed);
    let source = ChangingSource::new(document(), entries);
    let host = TestHost::start_with_source(source.clone(), GRACE);
    for number in 0..40 {
        let reply = host.send(&request("GET", "/read/1", &format!("r{number}"), ""));
        assert_eq!(reply.status, 200);
    }
    source.publish_evacuation("south", true);
    std::thread::sleep(PROBE_TIME);
    let listener = TcpListener::bind(addr).expect("the port is still free");
    let connections = count_connections(listener);
    std::thread::sleep(PROBE_TIME);
    assert_eq!(connections.load(Ordering::SeqCst), 0);
    source.publish_evacuation("south", false);
    std::thread::sleep(PROBE_TIME);
    assert!(
        connections.load(Ordering::SeqCst) > 0,
        "the path is probed again"
    );
}

/// A peer that issues the permits of an instance, played by the test.
struct Issuer {
    socket: UdpSocket,
    addr: SocketAddr,
}

impl Issuer {
    fn bind() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let addr = socket.local_addr().expect("an address");
        socket
            .set_read_timeout(Some(Duration::from_millis(100)))
            .expect("a socket option");
        Self { socket, addr }
    }

    fn send(&self, host: &TestHost, message: &PeerMessage) {
        let bytes = postcard::to_allocvec(message).expect("a message");
        self.socket
            .send_to(&bytes, host.peer_addr)
            .expect("the host listens");
    }

    fn say_hello(&self, host: &TestHost) {
        let sender = Member {
            addr: self.addr,
            failure_domain: FailureDomain::new("north"),
            incarnation: 1,
        };
        let table_digest = None;
        self.send(
            host,
            &PeerMessage::Hello {
                sender,
                table_digest,
            },
        );
    }

    /// Waits for the next request for a permit, and returns its id.
    fn next_request(&self, host: &TestHost) -> Option<u64> {
        let deadline = Instant::now() + Duration::from_secs(2);
        let mut buffer = [0; 2_048];
        while Instant::now() < deadline {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
                self.say_hello(host);
                continue;
            };
            let message = postcard::from_bytes(&buffer[..length]);
            if let Ok(PeerMessage::PermitRequest(request)) = message {
                return Some(request.id);
            }
        }
        None
    }
}

/// Waits until a host has counted so many changes of orders.
fn wait_for_orders(host: &TestHost, change: &str, count: usize) {
    let line = format!("waxwingusher_evacuations_total{{change=\"{change}\"}} {count}\n");
    let deadline = Instant::now() + Duration::from_secs(5);
    while !host.get_status("/metrics").1.contains(&line) {
        assert!(Instant::now() < deadline, "the order arrives");
    }
}

/// Guards against a request that waits for a permit as an order arrives, and then goes to
/// the evacuated instance. The peer grants each permit just after the order is in force.
#[test]
fn a_request_that_waits_for_a_permit_as_an_order_arrives_is_not_sent() {
    /// How long a host waits for a permit.
    const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
    const TRIALS: usize = 60;
    const TRIALS_IN_TIME: usize = 2;
    let healthy = Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "200 OK", "done")
    }));
    let issuer = Issuer::bind();
    let mut document = document();
    document.services[0].cold_start = Some(ColdStart {
        duration: Duration::from_secs(60),
        rate_per_s: 100.0,
    });
    let source = ChangingSource::new(document, Vec::new());
    let host = TestHost::start_with_seeds(&[issuer.addr], source.clone(), GRACE);
    issuer.say_hello(&host);
    let is_issued = |id: &String| {
        let peers = [issuer.addr];
        permit_issuer(name_hash(id), host.peer_addr, peers) == issuer.addr
    };
    let id = (0..).map(|number| format!("i-{number}")).find(is_issued);
    let mut entry = roster(&[&healthy]).remove(0);
    entry.id = InstanceId::new(&id.expect("one in two"));
    source.publish(Change::Roster(RosterChange::Put(entry)));
    let mut in_time = 0;
    for trial in 1..=TRIALS {
        // The host reads changes again some time after the last ones.
        std::thread::sleep(Duration::from_millis(400));
        issuer.say_hello(&host);
        let text = request("POST", "/book/1", &format!("r{trial}"), "body");
        std::thread::scope(|scope| {
            let reply = scope.spawn(|| host.send(&text));
            let permit = issuer.next_request(&host).expect("the host asks");
            let asked_at = Instant::now();
            source.publish_evacuation("north", true);
            wait_for_orders(&host, "ordered", trial);
            if asked_at.elapsed() < REPLY_TIMEOUT {
                let decision = PermitDecision::Granted;
                let reply = PermitReply {
                    id: permit,
                    decision,
                };
                issuer.send(&host, &PeerMessage::PermitReply(reply));
                in_time += usize::from(asked_at.elapsed() < REPLY_TIMEOUT / 2);
            }
            let status = reply.join().expect("an answer").status;
            assert_eq!(status, 503, "trial {trial}");
        });
        assert_eq!(healthy.request_count(), 0, "trial {trial}");
        if in_time >= TRIALS_IN_TIME {
            return;
        }
        source.publish_evacuation("north", false);
        wait_for_orders(&host, "taken-back", trial);
    }
    panic!("the order arrived late in {TRIALS} trials, so nothing is shown");
}
