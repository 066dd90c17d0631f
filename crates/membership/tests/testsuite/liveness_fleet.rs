//! A fleet of liveness views in virtual time.

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

const DOMAINS: usize = 4;

pub struct Host {
    id: HostId,
    incarnation: u64,
    pub liveness: Liveness,
}

impl VirtualHost for Host {
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

pub struct Fleet {
    pub fleet: VirtualFleet<Host>,
    pub list: HostList,
    clock: ManualClock,
    rng: fastrand::Rng,
}

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

impl Fleet {
    pub fn new(size: usize, seed: u64) -> Self {
        let clock = ManualClock::new();
        let faults = LinkFaults::default();
        let mut fleet = Self {
            fleet: VirtualFleet::new(seed, faults, clock.clone(), TICK_INTERVAL),
            list: list(size),
            clock,
            rng: fastrand::Rng::with_seed(seed),
        };
        for i in 0..size {
            fleet.start(&name(i));
        }
        fleet
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
        let host = Host {
            id: id.clone(),
            incarnation,
            liveness,
        };
        self.fleet.start(id, host);
    }

    pub fn run_s(&mut self, seconds: u64) {
        self.fleet.run_for(Duration::from_secs(seconds));
    }

    /// Returns what each other running host knows of a host.
    pub fn views_of(&self, id: &HostId) -> Vec<PeerState> {
        let others = self.fleet.hosts().filter(|(other, _)| *other != id);
        others.map(|(_, host)| host.liveness.state(id)).collect()
    }

    /// Takes all events of all hosts.
    pub fn events(&mut self) -> Vec<(HostId, LivenessEvent)> {
        let mut events = Vec::new();
        for (id, host) in self.fleet.hosts_mut() {
            let taken = host.liveness.events().into_iter();
            events.extend(taken.map(|event| (id.clone(), event)));
        }
        events
    }

    /// Returns who was held for suspect or dead, and by whom.
    pub fn accused(&mut self) -> Vec<(HostId, HostId)> {
        let events = self.events().into_iter();
        let accusations = events.filter(|(_, event)| !event.to.is_usable());
        accusations.map(|(by, event)| (event.host, by)).collect()
    }
}
