//! A host whose deployment asks for load sharing, at a service that is short of slots.

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_config::routing::RoutingDocument;

use crate::harness::{Instance, Reply, TestHost, answer_with_proof, document, request};

const GRACE: Duration = Duration::from_millis(100);
const WORK: Duration = Duration::from_millis(300);

/// Reads are tolerant, bookings are urgent.
fn two_kinds() -> RoutingDocument {
    let mut document = document();
    document.routes[0].latency_target = Duration::from_secs(3);
    document.routes[0].priority = 2;
    document.routes[1].latency_target = Duration::from_secs(2);
    document
}

fn busy_instance() -> Instance {
    Instance::start(Arc::new(|request, _| {
        std::thread::sleep(WORK);
        answer_with_proof(request, "200 OK", "done")
    }))
}

/// Sends requests at the same time.
fn send_all(host: &TestHost, requests: &[String]) -> Vec<Reply> {
    std::thread::scope(|scope| {
        let sent = requests.iter().map(|text| scope.spawn(|| host.send(text)));
        let sent: Vec<_> = sent.collect();
        let replies = sent.into_iter().map(|sent| sent.join().expect("an answer"));
        replies.collect()
    })
}

/// Guards against tolerant requests that fill the queue of an instance, and against
/// refusals that come late or without a time to return.
#[test]
fn tolerant_requests_give_way_and_are_refused_with_a_time_to_return() {
    let instance = busy_instance();
    let host = TestHost::start_sharing(two_kinds(), &[&instance], GRACE);
    assert_eq!(
        host.send(&request("POST", "/book/1", "first", "")).status,
        200
    );
    let mut requests: Vec<String> = (0..60)
        .map(|number| request("GET", "/read/1", &format!("r{number}"), ""))
        .collect();
    requests.extend((0..6).map(|number| request("POST", "/book/1", &format!("b{number}"), "")));
    let replies = send_all(&host, &requests);
    let (reads, bookings) = replies.split_at(60);
    let statuses: Vec<u16> = bookings.iter().map(|reply| reply.status).collect();
    assert_eq!(statuses, [200; 6]);
    let refused: Vec<&Reply> = reads.iter().filter(|reply| reply.status == 503).collect();
    assert!(
        !refused.is_empty() && refused.len() < 60,
        "{} of 60",
        refused.len()
    );
    for reply in refused {
        let retry_after = reply.header("retry-after").expect("a time to return");
        let retry_after_s: f64 = retry_after.parse().expect("seconds");
        assert!((0.05..=5.0).contains(&retry_after_s), "{retry_after}");
    }
    let (_, metrics) = host.get_status("/metrics");
    let decision = "load_decisions_total{service=\"svc\",decision=\"queue-refused\"}";
    assert!(metrics.contains(decision), "{metrics}");
    let change = "scarcity_changes_total{service=\"svc\",level=\"short\"}";
    assert!(metrics.contains(change), "{metrics}");
}

/// Guards against load sharing in deployments that do not ask for it.
#[test]
fn nothing_is_decided_by_scarcity_without_shares() {
    let instance = busy_instance();
    let host = TestHost::start_with(two_kinds(), &[&instance], GRACE);
    let requests: Vec<String> = (0..40)
        .map(|number| request("GET", "/read/1", &format!("r{number}"), ""))
        .collect();
    send_all(&host, &requests);
    let (_, metrics) = host.get_status("/metrics");
    assert!(!metrics.contains("load_decisions_total{"), "{metrics}");
    assert!(!metrics.contains("scarcity_changes_total{"), "{metrics}");
}
