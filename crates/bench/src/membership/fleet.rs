//! A simulated fleet of failure detectors in virtual time.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_core::{FailureDomain, HostEntry, HostId, HostList, HostState, ManualClock};
use waxwingusher_membership::liveness::{
    Liveness, LivenessEvent, LivenessSettings, PeerState, TICK_INTERVAL,
};
use waxwingusher_protocol::gossip::GossipMessage;
use waxwingusher_protocol::{Message, Outgoing, wire_len_bytes};
use waxwingusher_standins::{LinkFaults, VirtualFleet, VirtualHost};

const PEER_PORT: u16 = 7_400;

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// The number of hosts.
    pub hosts: usize,
    /// The number of failure domains.
    pub failure_domains: usize,
}

impl Sizes {
    /// The current size of the users' fleets.
    pub const CURRENT: Self = Self {
        hosts: 40,
        failure_domains: 4,
    };
    /// The size that the system is designed for.
    pub const DESIGN: Self = Self {
        hosts: 440,
        failure_domains: 7,
    };
}

/// One host with its view of the others.
pub struct Member {
    id: HostId,
    incarnation: u64,
    /// The view.
    pub liveness: Liveness,
}

impl VirtualHost for Member {
    type Message = GossipMessage;

    fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn tick(&mut self) -> Vec<Outgoing<GossipMessage>> {
        self.liveness.tick()
    }

    fn on_message(
        &mut self,
        from: &HostId,
        incarnation: u64,
        message: &GossipMessage,
    ) -> Vec<Outgoing<GossipMessage>> {
        self.liveness.on_message(from, incarnation, message)
    }

    fn wire_len_bytes(&self, message: &GossipMessage) -> usize {
        let message = Message::Gossip(message.clone());
        wire_len_bytes(&self.id, self.incarnation, &message)
    }
}

/// A change of liveness that one host observed.
pub struct ObservedChange {
    /// The host that observed it.
    pub observer: HostId,
    /// The change.
    pub event: LivenessEvent,
}

/// A fleet whose hosts only detect failures of each other.
pub struct LivenessFleet {
    /// The hosts and their links.
    pub fleet: VirtualFleet<Member>,
    /// The list that all hosts start with.
    pub list: HostList,
    clock: ManualClock,
    rng: fastrand::Rng,
}

impl LivenessFleet {
    /// Starts all hosts of a list.
    #[must_use]
    pub fn new(list: HostList, seed: u64, faults: LinkFaults) -> Self {
        let clock = ManualClock::new();
        let mut fleet = Self {
            fleet: VirtualFleet::new(seed, faults, clock.clone(), TICK_INTERVAL),
            list,
            clock,
            rng: fastrand::Rng::with_seed(seed),
        };
        for i in 0..fleet.list.hosts.len() {
            fleet.start(&fleet.id(i));
        }
        fleet
    }

    /// Returns the name of a host by its index in the list.
    #[must_use]
    pub fn id(&self, i: usize) -> HostId {
        self.list.hosts[i].id.clone()
    }

    /// Draws the name of a listed host.
    pub fn random_id(&mut self) -> HostId {
        let i = self.rng.usize(0..self.list.hosts.len());
        self.id(i)
    }

    /// Starts a host, or restarts it as a new process.
    pub fn start(&mut self, id: &HostId) {
        let incarnation = self.rng.u64(..);
        let mut liveness = Liveness::new(
            id.clone(),
            incarnation,
            Arc::new(self.clock.clone()),
            self.rng.u64(..),
            LivenessSettings::default(),
        );
        liveness.apply_host_list(&self.list);
        let member = Member {
            id: id.clone(),
            incarnation,
            liveness,
        };
        self.fleet.start(id, member);
    }

    /// Returns the time since the fleet started.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Runs for some seconds.
    pub fn run_s(&mut self, seconds: u64) {
        self.fleet.run_for(Duration::from_secs(seconds));
    }

    /// Returns the state of a host in the view of each other running host.
    #[must_use]
    pub fn views_of(&self, id: &HostId) -> Vec<PeerState> {
        let others = self.fleet.hosts().filter(|(other, _)| *other != id);
        others
            .map(|(_, member)| member.liveness.state(id))
            .collect()
    }

    /// Returns how many of the running hosts that `is_observer` selects see a host in a
    /// state that `matches_state`.
    pub fn count_views(
        &self,
        id: &HostId,
        is_observer: impl Fn(&HostId) -> bool,
        matches_state: impl Fn(PeerState) -> bool,
    ) -> usize {
        let others = self.fleet.hosts().filter(|(other, _)| *other != id);
        let observers = others.filter(|(other, _)| is_observer(other));
        let views = observers.map(|(_, member)| member.liveness.state(id));
        views.filter(|state| matches_state(*state)).count()
    }

    /// Returns all changes since the last call.
    pub fn take_changes(&mut self) -> Vec<ObservedChange> {
        let mut changes = Vec::new();
        for (id, member) in self.fleet.hosts_mut() {
            for event in member.liveness.events() {
                changes.push(ObservedChange {
                    observer: id.clone(),
                    event,
                });
            }
        }
        changes
    }

    /// Returns the bytes that each host has sent.
    #[must_use]
    pub fn sent_bytes(&self) -> Vec<u64> {
        let ids = self.list.hosts.iter();
        ids.map(|entry| self.fleet.sent_bytes(&entry.id)).collect()
    }
}

/// Returns a list of a size, ordered by failure domain.
#[must_use]
pub fn list(sizes: Sizes) -> HostList {
    let domain = |i: usize| format!("domain-{}", i % sizes.failure_domains);
    let entry = |i: usize| HostEntry {
        id: HostId::new(&format!("{}-host-{i:03}", domain(i))),
        peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, PEER_PORT)),
        failure_domain: FailureDomain::new(&domain(i)),
        state: HostState::Live,
    };
    let mut hosts: Vec<_> = (0..sizes.hosts).map(entry).collect();
    hosts.sort_by(|a, b| a.id.cmp(&b.id));
    HostList { version: 1, hosts }
}
