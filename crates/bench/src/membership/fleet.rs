//! Liveness views of a whole fleet in virtual time.

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

/// How many hosts a fleet has, in how many failure domains.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sizes {
    pub(super) hosts: usize,
    pub(super) failure_domains: usize,
}

impl Sizes {
    /// The users' fleets of today.
    pub(super) const TODAY: Self = Self {
        hosts: 40,
        failure_domains: 4,
    };
    /// The size that decides the design.
    pub(super) const DESIGN: Self = Self {
        hosts: 440,
        failure_domains: 7,
    };
}

/// One host's view.
pub(super) struct Member {
    id: HostId,
    incarnation: u64,
    liveness: Liveness,
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

/// A change that one host saw.
pub(super) struct Seen {
    pub(super) by: HostId,
    pub(super) event: LivenessEvent,
}

/// A fleet whose hosts only track each other's liveness.
pub(super) struct LivenessFleet {
    pub(super) fleet: VirtualFleet<Member>,
    sizes: Sizes,
    list: HostList,
    clock: ManualClock,
    rng: fastrand::Rng,
}

impl LivenessFleet {
    pub(super) fn new(sizes: Sizes, seed: u64, faults: LinkFaults) -> Self {
        let clock = ManualClock::new();
        let mut fleet = Self {
            fleet: VirtualFleet::new(seed, faults, clock.clone(), TICK_INTERVAL),
            sizes,
            list: list(sizes),
            clock,
            rng: fastrand::Rng::with_seed(seed),
        };
        for i in 0..sizes.hosts {
            fleet.start(&fleet.id(i));
        }
        fleet
    }

    pub(super) fn id(&self, i: usize) -> HostId {
        self.list.hosts[i].id.clone()
    }

    pub(super) fn random_id(&mut self) -> HostId {
        let i = self.rng.usize(0..self.sizes.hosts);
        self.id(i)
    }

    /// Starts a host, or restarts it as a new process.
    pub(super) fn start(&mut self, id: &HostId) {
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

    pub(super) fn elapsed(&self) -> Duration {
        self.clock.elapsed()
    }

    pub(super) fn run_s(&mut self, seconds: u64) {
        self.fleet.run_for(Duration::from_secs(seconds));
    }

    /// Returns how many of some running hosts see a host in a state like this.
    pub(super) fn count_views(
        &self,
        id: &HostId,
        is_asked: impl Fn(&HostId) -> bool,
        fits: impl Fn(PeerState) -> bool,
    ) -> usize {
        let others = self.fleet.hosts().filter(|(other, _)| *other != id);
        let asked = others.filter(|(other, _)| is_asked(other));
        let views = asked.map(|(_, member)| member.liveness.state(id));
        views.filter(|state| fits(*state)).count()
    }

    /// Takes all changes since the last call.
    pub(super) fn take_seen(&mut self) -> Vec<Seen> {
        let mut seen = Vec::new();
        for (id, member) in self.fleet.hosts_mut() {
            for event in member.liveness.events() {
                seen.push(Seen {
                    by: id.clone(),
                    event,
                });
            }
        }
        seen
    }

    /// Returns the bytes that each host has sent.
    pub(super) fn sent_bytes(&self) -> Vec<u64> {
        let ids = self.list.hosts.iter();
        ids.map(|entry| self.fleet.sent_bytes(&entry.id)).collect()
    }
}

fn list(sizes: Sizes) -> HostList {
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
