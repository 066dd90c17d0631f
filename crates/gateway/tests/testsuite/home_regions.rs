//! Requests that may be processed in some regions only.

use std::io::Write;
use std::net::{TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::routing::RoutingDocument;
use waxwingusher_core::{FailureDomain, Region};
use waxwingusher_gateway::GatewaySettings;
use waxwingusher_membership::seeded::{Member, PeerMessage};
use waxwingusher_upstreams::RosterEntry;

use crate::harness::{
    Instance, StaticSource, TestHost, answer_with_proof, document, read_request, request, roster,
};

const GRACE: Duration = Duration::from_secs(1);
const REQUESTS: usize = 30;

fn healthy() -> Instance {
    Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "200 OK", "done")
    }))
}

fn regions(names: &[&str]) -> Vec<Region> {
    names.iter().map(|name| Region::new(name)).collect()
}

/// Returns a configuration with home regions of all routes and of the workspace.
fn home_document(route: &[&str], workspace: &[&str]) -> RoutingDocument {
    let mut document = document();
    for each in &mut document.routes {
        each.home_regions = regions(route);
    }
    document.workspaces[0].home_regions = regions(workspace);
    document
}

/// Returns the settings of a host in a domain: `north` and `west` are in the region
/// `bengal`, `south` is in `kerala`, and the region of `nowhere` is not known.
fn settings(domain: &str, seeds: &[&TestHost]) -> GatewaySettings {
    let seeds: Vec<_> = seeds.iter().map(|host| host.peer_addr).collect();
    let domains = [("north", "bengal"), ("west", "bengal"), ("south", "kerala")];
    let region_by_domain = domains
        .into_iter()
        .map(|(domain, region)| (FailureDomain::new(domain), Region::new(region)));
    let region_by_domain = region_by_domain.collect();
    let own = FailureDomain::new(domain);
    GatewaySettings {
        region: std::collections::BTreeMap::get(&region_by_domain, &own).cloned(),
        failure_domain: own,
        region_by_domain,
        ..TestHost::settings(&seeds, GRACE)
    }
}

/// Returns entries of instances in the given domains.
fn entries(instances: &[(&Instance, &str)]) -> Vec<RosterEntry> {
    let list: Vec<&Instance> = instances.iter().map(|(instance, _)| *instance).collect();
    let mut entries = roster(&list);
    for (entry, (_, domain)) in entries.iter_mut().zip(instances) {
        entry.failure_domain = FailureDomain::new(domain);
    }
    entries
}

fn start(
    domain: &str,
    seeds: &[&TestHost],
    document: &RoutingDocument,
    entries: &[RosterEntry],
) -> TestHost {
    let source = StaticSource {
        document: document.clone(),
        roster: entries.to_vec(),
    };
    TestHost::start_with_settings(settings(domain, seeds), source)
}

fn statuses(host: &TestHost) -> Vec<u16> {
    let send = |number: usize| {
        let id = format!("r{number}");
        let (method, path) = if number.is_multiple_of(2) {
            ("GET", "/read/1")
        } else {
            ("POST", "/book/1")
        };
        host.send(&request(method, path, &id, "body")).status
    };
    (0..REQUESTS).map(send).collect()
}

/// Guards against a request that is processed outside its home regions, also by an instance
/// whose region is not known.
#[test]
fn only_instances_in_the_home_regions_get_requests() {
    let (home, other, unknown) = (healthy(), healthy(), healthy());
    let entries = entries(&[(&home, "west"), (&other, "south"), (&unknown, "nowhere")]);
    for document in [
        home_document(&["bengal"], &[]),
        home_document(&[], &["bengal"]),
        home_document(&["bengal", "kerala"], &["bengal", "punjab"]),
    ] {
        // The caller's host may be anywhere.
        let host = start("south", &[], &document, &entries);
        assert!(statuses(&host).iter().all(|status| *status == 200));
    }
    assert_eq!(home.request_count(), 3 * REQUESTS);
    assert_eq!(other.request_count() + unknown.request_count(), 0);
}

#[test]
fn a_request_without_home_regions_goes_anywhere() {
    let (home, other) = (healthy(), healthy());
    let entries = entries(&[(&home, "north"), (&other, "nowhere")]);
    let host = start("north", &[], &document(), &entries);
    assert!(statuses(&host).iter().all(|status| *status == 200));
    assert!(home.request_count() > 0 && other.request_count() > 0);
}

/// Guards against a request that waits although no instance may ever get it.
#[test]
fn a_request_without_an_instance_in_its_home_regions_is_refused_at_once() {
    const MAX_TIME: Duration = Duration::from_millis(300);
    let (other, unknown) = (healthy(), healthy());
    let entries = entries(&[(&other, "south"), (&unknown, "nowhere")]);
    for document in [
        home_document(&["bengal"], &[]),
        home_document(&["kerala"], &["bengal"]),
    ] {
        let host = start("north", &[], &document, &entries);
        let started = Instant::now();
        assert!(statuses(&host).iter().all(|status| *status == 503));
        let most = MAX_TIME * u32::try_from(REQUESTS).expect("few requests");
        assert!(started.elapsed() < most);
    }
    assert_eq!(other.request_count() + unknown.request_count(), 0);
}

/// Returns entries of the same instances at an address that refuses connections.
fn cut(entries: &[RosterEntry]) -> Vec<RosterEntry> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let entries = entries.iter().cloned();
    entries.map(|entry| RosterEntry { addr, ..entry }).collect()
}

fn wait_until_connected(hosts: &[&TestHost]) {
    let line = format!("waxwingusher_heard_hosts {}", hosts.len());
    let deadline = Instant::now() + Duration::from_secs(10);
    while !hosts
        .iter()
        .all(|host| host.get_status("/metrics").1.contains(&line))
    {
        assert!(Instant::now() < deadline, "the hosts find each other");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a body that is passed on to a host outside the home regions.
#[test]
fn only_peers_in_the_home_regions_take_over_requests() {
    let instances = [healthy(), healthy(), healthy(), healthy()];
    let entries = entries(&instances.each_ref().map(|instance| (instance, "west")));
    let document = home_document(&["bengal"], &[]);
    let foreign = start("south", &[], &document, &entries);
    let unknown = start("nowhere", &[&foreign], &document, &entries);
    let cut_off = start("north", &[&foreign], &document, &cut(&entries));
    wait_until_connected(&[&foreign, &unknown, &cut_off]);
    let refused = statuses(&cut_off);
    assert!(refused.iter().all(|status| *status == 503), "{refused:?}");
    let home = start("west", &[&foreign], &document, &entries);
    wait_until_connected(&[&foreign, &unknown, &cut_off, &home]);
    let served = statuses(&cut_off);
    assert!(served.iter().all(|status| *status == 200), "{served:?}");
    for host in [&foreign, &unknown] {
        let metrics = host.get_status("/metrics").1;
        assert!(
            !metrics.contains("waxwingusher_requests_total{"),
            "{metrics}"
        );
    }
}

/// Guards against a host that serves a request for a peer which takes it for one in a home
/// region, as their settings differ.
#[test]
fn a_peer_outside_the_home_regions_declines() {
    let instances = [healthy(), healthy(), healthy(), healthy()];
    let entries = entries(&instances.each_ref().map(|instance| (instance, "west")));
    let document = home_document(&["bengal"], &[]);
    let source = StaticSource {
        document: document.clone(),
        roster: entries.clone(),
    };
    let mistaken = GatewaySettings {
        region: Some(Region::new("kerala")),
        ..settings("west", &[])
    };
    let foreign = TestHost::start_with_settings(mistaken, source);
    let cut_off = start("north", &[&foreign], &document, &cut(&entries));
    wait_until_connected(&[&foreign, &cut_off]);
    let refused = statuses(&cut_off);
    assert!(refused.iter().all(|status| *status == 503), "{refused:?}");
    let runs: usize = instances.iter().map(Instance::request_count).sum();
    assert_eq!(runs, 0);
}

/// Guards against a peer of an earlier build that takes over a request and processes it
/// anywhere, since it does not know home regions. It declines what was routed by a
/// configuration later than its own.
#[test]
fn peers_of_earlier_builds_decline_requests_with_home_regions() {
    let instances = [healthy(), healthy(), healthy(), healthy()];
    let entries = entries(&instances.each_ref().map(|instance| (instance, "west")));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let socket = UdpSocket::bind(addr).expect("the same port");
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let received = read_request(&mut stream).expect("a request");
        let declined = b"HTTP/1.1 503 Service Unavailable\r\n\
            x-waxwingusher-takeover-result: {\"is_declined\":true}\r\n\
            content-length: 0\r\nconnection: close\r\n\r\n";
        stream.write_all(declined).expect("the host reads");
        received
    });
    let document = home_document(&["bengal"], &[]);
    let host = start("north", &[], &document, &cut(&entries));
    let hello = PeerMessage::Hello {
        sender: Member {
            addr,
            failure_domain: FailureDomain::new("west"),
            incarnation: 1,
        },
        table_digest: None,
    };
    let bytes = postcard::to_allocvec(&hello).expect("a message");
    socket
        .send_to(&bytes, host.peer_addr)
        .expect("the host listens");
    wait_until_known(&host);
    let reply = host.send(&request("POST", "/book/1", "moved", "body"));
    assert_eq!(reply.status, 503, "{}", reply.head);
    let received = peer.join().expect("a request");
    let terms = received.header("x-waxwingusher-takeover");
    let terms = terms.expect("the terms of the takeover");
    let latest = format!("\"config_version\":{}", u64::MAX);
    assert!(terms.contains(&latest), "{terms}");
    assert!(terms.contains("\"regional_config_version\":1"), "{terms}");
}

fn wait_until_known(host: &TestHost) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !host
        .get_status("/metrics")
        .1
        .contains("waxwingusher_heard_hosts 2")
    {
        assert!(Instant::now() < deadline, "the host knows its peer");
        std::thread::sleep(Duration::from_millis(20));
    }
}
