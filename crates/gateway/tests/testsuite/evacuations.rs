//! Instances of a failure domain that is evacuated.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

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
