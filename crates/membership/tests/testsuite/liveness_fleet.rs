//! A fleet of failure detectors, with helpers for the tests.

use std::net::{Ipv4Addr, SocketAddr};

use waxwingusher_bench::membership::fleet::LivenessFleet;
use waxwingusher_core::{FailureDomain, HostEntry, HostId, HostList, HostState};
use waxwingusher_membership::liveness::LivenessEvent;
use waxwingusher_standins::LinkFaults;

pub use waxwingusher_bench::membership::fleet::LivenessFleet as Fleet;

const DOMAINS: usize = 4;

pub fn name(i: usize) -> HostId {
    HostId::new(&format!("host-{i:03}"))
}

pub fn list(size: usize) -> HostList {
    let entry = |i: usize| HostEntry {
        id: name(i),
        peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + i as u16)),
        failure_domain: FailureDomain::new(&format!("domain-{}", i % DOMAINS)),
        state: HostState::Live,
    };
    HostList {
        version: 1,
        hosts: (0..size).map(entry).collect(),
    }
}

pub fn start_fleet(size: usize, seed: u64) -> LivenessFleet {
    LivenessFleet::new(list(size), seed, LinkFaults::default())
}

pub trait Observe {
    /// Returns the new events of all hosts.
    fn events(&mut self) -> Vec<(HostId, LivenessEvent)>;

    /// Returns which hosts were suspected or declared dead, and by which host.
    fn suspected(&mut self) -> Vec<(HostId, HostId)>;
}

impl Observe for LivenessFleet {
    fn events(&mut self) -> Vec<(HostId, LivenessEvent)> {
        let changes = self.take_changes().into_iter();
        changes
            .map(|change| (change.observer, change.event))
            .collect()
    }

    fn suspected(&mut self) -> Vec<(HostId, HostId)> {
        let events = self.events().into_iter();
        let suspicions = events.filter(|(_, event)| !event.to.is_usable());
        suspicions.map(|(by, event)| (event.host, by)).collect()
    }
}
