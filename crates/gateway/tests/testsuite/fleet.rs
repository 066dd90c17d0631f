//! Hosts of which some are cut off from all instances.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_upstreams::RosterEntry;

use crate::harness::{Instance, StaticSource, TestHost, document, roster};

pub fn source(roster: Vec<RosterEntry>) -> StaticSource {
    StaticSource {
        document: document(),
        roster,
    }
}

/// Returns entries of the same instances at addresses that behave as if the path were cut.
pub fn cut(entries: &[RosterEntry], addr: SocketAddr) -> Vec<RosterEntry> {
    let entries = entries.iter().cloned();
    entries.map(|entry| RosterEntry { addr, ..entry }).collect()
}

/// An address at which connections are refused. Its port stays bound, so that no server of
/// another test gets it.
pub struct RefusingAddr {
    pub addr: SocketAddr,
    _socket: socket2::Socket,
}

impl RefusingAddr {
    pub fn new() -> Self {
        let socket = tcp_socket_on_free_port();
        Self {
            addr: local_addr(&socket),
            _socket: socket,
        }
    }
}

pub fn tcp_socket_on_free_port() -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("a free port");
    socket
}

pub fn local_addr(socket: &socket2::Socket) -> SocketAddr {
    let addr = socket.local_addr().expect("an address");
    addr.as_socket().expect("an IP address")
}

/// A fleet of which some hosts are cut off from all instances.
pub struct Fleet {
    pub cut_off: Vec<TestHost>,
    pub others: Vec<TestHost>,
}

impl Fleet {
    pub fn start(
        instances: &[&Instance],
        cut_addr: SocketAddr,
        cut_off: usize,
        others: usize,
        grace: Duration,
    ) -> Self {
        let entries = roster(instances);
        let mut seeds = Vec::new();
        let mut start = |entries: Vec<RosterEntry>| {
            let host = TestHost::start_with_seeds(&seeds, source(entries), grace);
            if seeds.is_empty() {
                seeds.push(host.peer_addr);
            }
            host
        };
        let others = (0..others).map(|_| start(entries.clone())).collect();
        let cut_off = (0..cut_off)
            .map(|_| start(cut(&entries, cut_addr)))
            .collect();
        let fleet = Self { cut_off, others };
        wait_until_connected(
            &fleet
                .cut_off
                .iter()
                .chain(&fleet.others)
                .collect::<Vec<_>>(),
        );
        fleet
    }
}

/// Waits until all hosts know each other.
pub fn wait_until_connected(hosts: &[&TestHost]) {
    let line = format!("waxwingusher_heard_hosts {}", hosts.len());
    let is_connected = |host: &&TestHost| host.get_status("/metrics").1.contains(&line);
    let deadline = Instant::now() + Duration::from_secs(10);
    while !hosts.iter().all(is_connected) {
        assert!(Instant::now() < deadline, "the hosts find each other");
        std::thread::sleep(Duration::from_millis(20));
    }
}
