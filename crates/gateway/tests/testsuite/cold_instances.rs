//! Instances that are cold get requests at their cold rate only.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::routing::{ColdStart, RoutingDocument};
use waxwingusher_core::{FailureDomain, InstanceId};
use waxwingusher_gateway::ports::Change;
use waxwingusher_membership::seeded::issuers::permit_issuer;
use waxwingusher_membership::seeded::{
    Member, PeerMessage, PermitDecision, PermitRequest, name_hash,
};
use waxwingusher_upstreams::{RosterChange, RosterEntry};

use crate::changing_source::ChangingSource;
use crate::harness::{
    Instance, Reply, StaticSource, TestHost, answer_with_proof, document, request, roster,
};

const GRACE: Duration = Duration::from_secs(1);
const COLD_PER_S: f64 = 3.3;
/// The window of the users' bound.
const WINDOW: Duration = Duration::from_secs(1);
/// Longer than a host without peers counts as one that does not know its fleet.
const LEARNING_TIME: Duration = Duration::from_millis(2_300);
/// The same for a host with peers.
const FLEET_LEARNING_TIME: Duration = Duration::from_millis(10_500);
/// The interval between requests: together many times the cold rate.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

fn healthy() -> Instance {
    Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "200 OK", "done")
    }))
}

fn failing() -> Instance {
    Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "500 Internal Server Error", "failed")
    }))
}

/// Returns a configuration whose instances are cold for `duration`.
fn cold_document(duration: Duration) -> RoutingDocument {
    let mut document = document();
    document.services[0].cold_start = Some(ColdStart {
        duration,
        rate_per_s: COLD_PER_S,
    });
    document
}

/// Returns entries of which the first `cold` state that their instances are cold.
fn entries(instances: &[&Instance], cold: usize) -> Vec<RosterEntry> {
    let mut entries = roster(instances);
    for entry in &mut entries[..cold] {
        entry.cold_for = Duration::from_secs(60);
    }
    entries
}

fn start(seeds: &[&TestHost], entries: &[RosterEntry]) -> TestHost {
    let seeds: Vec<_> = seeds.iter().map(|host| host.peer_addr).collect();
    let source = StaticSource {
        document: cold_document(Duration::from_secs(60)),
        roster: entries.to_vec(),
    };
    TestHost::start_with_seeds(&seeds, source, GRACE)
}

/// Sends requests to the hosts in turn and returns the answers.
fn send_for(time: Duration, hosts: &[&TestHost], method: &str, path: &str) -> Vec<Reply> {
    let started = Instant::now();
    let mut replies = Vec::new();
    for (number, host) in hosts.iter().cycle().enumerate() {
        let at = REQUEST_INTERVAL * u32::try_from(number).expect("few requests");
        if at >= time || started.elapsed() >= time {
            break;
        }
        std::thread::sleep(at.saturating_sub(started.elapsed()));
        replies.push(host.send(&request(method, path, &format!("r{number}"), "body")));
    }
    replies
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("few requests"))
}

/// Checks that a cold instance got no more requests in any window than is allowed.
fn check_bound(cold: &Instance) {
    let most = to_f64(cold.most_requests_within(WINDOW));
    let allowed = 1.5 * COLD_PER_S + 8.0;
    assert!(most <= allowed, "{most} requests in {WINDOW:?}");
}

/// Guards against an instance that crashes as it gets its usual load while it is cold.
#[test]
fn a_cold_instance_gets_its_rate_and_the_rest_goes_to_warm_ones() {
    let (cold, warm) = (healthy(), healthy());
    let entries = entries(&[&cold, &warm], 1);
    let first = start(&[], &entries);
    let second = start(&[&first], &entries);
    let third = start(&[&first], &entries);
    std::thread::sleep(FLEET_LEARNING_TIME);
    let hosts = [&first, &second, &third];
    let replies = send_for(Duration::from_secs(4), &hosts, "GET", "/read/1");
    assert!(replies.iter().all(|reply| reply.status == 200));
    check_bound(&cold);
    let got = cold.request_count();
    assert!(got > 0, "{got} requests at the cold instance");
    let metrics = hosts.map(|host| host.get_status("/metrics").1);
    let line = "waxwingusher_cold_instances_total{change=\"cold\"} 1";
    assert!(
        metrics.iter().any(|text| text.contains(line)),
        "{}",
        metrics[0]
    );
}

/// Guards against second attempts that pass over the limit: the warm instance fails each
/// request, so that all of them are repeated.
#[test]
fn retries_keep_the_cold_rate() {
    let (cold, warm) = (healthy(), failing());
    let host = start(&[], &entries(&[&cold, &warm], 1));
    std::thread::sleep(LEARNING_TIME);
    send_for(Duration::from_secs(3), &[&host], "GET", "/read/1");
    check_bound(&cold);
    assert!(cold.request_count() > 0);
}

/// Guards against second attempts beside the first that pass over the limit: the warm
/// instance answers so late that all of its requests are overdue at once.
#[test]
fn second_attempts_beside_the_first_go_to_no_cold_instance() {
    /// Longer than the time after which a request of the route is overdue (2.6 s).
    const ANSWER_TIME: Duration = Duration::from_millis(3_300);
    const REQUESTS: usize = 24;
    let slow = Instance::start(Arc::new(|request, _| {
        std::thread::sleep(ANSWER_TIME);
        answer_with_proof(request, "200 OK", "done")
    }));
    let cold = healthy();
    let mut entries = entries(&[&cold, &slow], 1);
    entries[1].slots = 100;
    let host = start(&[], &entries);
    std::thread::sleep(LEARNING_TIME);
    std::thread::scope(|scope| {
        for number in 0..REQUESTS {
            let host = &host;
            scope.spawn(move || host.send(&request("GET", "/read/1", &format!("r{number}"), "")));
        }
    });
    let at_slow = slow.request_count();
    assert!(at_slow >= 14, "{at_slow} requests were overdue");
    check_bound(&cold);
}

/// Guards against requests that wait for a permit, or are told a wrong time.
#[test]
fn a_service_whose_instances_are_all_cold_refuses_at_once_with_the_time_of_a_permit() {
    // As in the test of rates that instances name; most answers take a few milliseconds.
    const MAX_TIME: Duration = Duration::from_millis(1_500);
    let instances = [healthy(), healthy()];
    let host = start(&[], &entries(&[&instances[0], &instances[1]], 2));
    std::thread::sleep(LEARNING_TIME);
    let mut refused = 0;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        let sent_at = Instant::now();
        let reply = host.send(&request("POST", "/book/1", "r", "body"));
        assert!(sent_at.elapsed() < MAX_TIME, "{:?}", sent_at.elapsed());
        if reply.status == 200 {
            continue;
        }
        assert_eq!(reply.status, 503);
        refused += 1;
        let after_s: f64 = reply
            .header("retry-after")
            .and_then(|text| text.parse().ok())
            .expect("a time to retry");
        assert!(after_s > 0.0 && after_s <= 2.5, "{after_s} s");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(refused > 20, "{refused} refused");
    for instance in &instances {
        check_bound(instance);
        assert!(instance.request_count() >= 3, "each gets its part");
    }
}

/// Guards against full load for the instances of a domain that returns from an evacuation,
/// whose entries do not yet state that they are cold.
#[test]
fn a_domain_that_returns_from_an_evacuation_is_loaded_at_the_cold_rate() {
    const COLD_FOR: Duration = Duration::from_secs(3);
    let instances = [healthy(), healthy()];
    let entries = roster(&[&instances[0], &instances[1]]);
    let source = ChangingSource::new(cold_document(COLD_FOR), entries);
    let first = TestHost::start_with_source(source.clone(), GRACE);
    let second = TestHost::start_with_seeds(&[first.peer_addr], source.clone(), GRACE);
    let hosts = [&first, &second];
    source.publish_evacuation("north", true);
    std::thread::sleep(FLEET_LEARNING_TIME);
    let before = instances.each_ref().map(Instance::request_count);
    let replies = send_for(Duration::from_millis(300), &hosts, "POST", "/book/1");
    assert!(replies.iter().all(|reply| reply.status == 503));
    assert_eq!(instances.each_ref().map(Instance::request_count), before);
    source.publish_evacuation("north", false);
    send_for(
        COLD_FOR - Duration::from_millis(200),
        &hosts,
        "POST",
        "/book/1",
    );
    for instance in &instances {
        check_bound(instance);
        assert!(instance.request_count() > 2, "each gets its part");
    }
    // The bound ends with the time for which the instances are cold.
    std::thread::sleep(Duration::from_secs(1));
    let replies = send_for(Duration::from_secs(1), &hosts, "POST", "/book/1");
    assert!(replies.iter().all(|reply| reply.status == 200));
    let metrics = first.get_status("/metrics").1;
    let line = "waxwingusher_cold_instances_total{change=\"warm\"} 2";
    assert!(metrics.contains(line), "{metrics}");
}

/// Guards against a change of behaviour where the configuration states no cold rate.
#[test]
fn instances_of_a_service_without_a_cold_rate_need_no_permits() {
    let instance = healthy();
    let source = StaticSource {
        document: document(),
        roster: entries(&[&instance], 1),
    };
    let host = TestHost::start_with_source(source, GRACE);
    let replies = send_for(Duration::from_secs(1), &[&host], "POST", "/book/1");
    assert!(replies.iter().all(|reply| reply.status == 200));
    let metrics = host.get_status("/metrics").1;
    assert!(
        !metrics.contains("waxwingusher_permits_total{"),
        "{metrics}"
    );
}

/// Guards against an issuer that grants what a peer states, which does not know yet that the
/// instance is cold, and against one that grants more than a peer states.
#[test]
fn an_issuer_grants_the_lower_of_what_it_knows_and_what_is_stated() {
    let instance = healthy();
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let peer_addr = peer.local_addr().expect("an address");
    peer.set_read_timeout(Some(Duration::from_millis(20)))
        .expect("a socket option");
    let source = ChangingSource::new(cold_document(Duration::from_secs(60)), Vec::new());
    let host = TestHost::start_with_source(source.clone(), GRACE);
    // The host issues the permits of an instance with this id.
    let is_issued =
        |id: &String| permit_issuer(name_hash(id), host.peer_addr, [peer_addr]) == host.peer_addr;
    let id = (0..).map(|number| format!("i-{number}")).find(is_issued);
    let id = InstanceId::new(&id.expect("one in two"));
    let mut entry = roster(&[&instance]).remove(0);
    entry.id = id.clone();
    source.publish(Change::Roster(RosterChange::Put(entry)));
    let send = |message: &PeerMessage| {
        let bytes = postcard::to_allocvec(message).expect("a message");
        peer.send_to(&bytes, host.peer_addr)
            .expect("the host listens");
    };
    let hello = PeerMessage::Hello {
        sender: Member {
            addr: peer_addr,
            failure_domain: FailureDomain::new("north"),
            incarnation: 1,
        },
        table_digest: None,
    };
    send(&hello);
    // The host knows its fleet, of which the peer goes on to be a part.
    let started = Instant::now();
    while started.elapsed() < FLEET_LEARNING_TIME {
        send(&hello);
        std::thread::sleep(Duration::from_millis(300));
    }
    let granted_in_2_s = |milli_per_s: u32| {
        let (started, mut granted, mut number) = (Instant::now(), 0, 0);
        let mut buffer = [0; 2_048];
        while started.elapsed() < Duration::from_secs(2) {
            if number % 20 == 0 {
                send(&hello);
            }
            number += 1;
            send(&PeerMessage::PermitRequest(PermitRequest {
                id: number,
                instance: name_hash(id.as_str()),
                milli_per_s,
            }));
            while let Ok((length, _)) = peer.recv_from(&mut buffer) {
                if let Ok(PeerMessage::PermitReply(reply)) = postcard::from_bytes(&buffer[..length])
                {
                    granted += usize::from(reply.decision == PermitDecision::Granted);
                    break;
                }
            }
        }
        granted
    };
    let by_knowledge = granted_in_2_s(1_000_000);
    assert!((4..=9).contains(&by_knowledge), "{by_knowledge} at 3.3/s");
    let by_statement = granted_in_2_s(500);
    assert!(by_statement <= 3, "{by_statement} at 0.5/s");
}
