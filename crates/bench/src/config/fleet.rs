//! A simulated fleet of configuration agents in virtual time, with links and a
//! configuration service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::Snapshot;
use waxwingusher_core::{Clock, ContentDigest, FailureDomain, HostId, HostList, ManualClock};
use waxwingusher_membership::distribution::{
    AgentAction, ConfigAgent, DistributionSettings, Refusal,
};
use waxwingusher_protocol::{ConfigMessage, Message, wire_len_bytes};
use waxwingusher_standins::{LinkFaults, Links};

use super::service::{Answer, FakeService};

/// The default time between ticks of a host.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// An incarnation with a typical encoded length.
const INCARNATION: u64 = 0x5a5a_5a5a_5a5a_5a5a;

/// A packet between hosts.
#[derive(Debug, Clone)]
enum Packet {
    Message(ConfigMessage),
    Request(ContentDigest),
    Reply(ContentDigest, Option<Arc<[u8]>>),
}

/// One host.
pub struct Node {
    /// The agent.
    pub agent: ConfigAgent,
    /// All refusals since the host started.
    pub refusals: Vec<Refusal>,
    /// When the configuration in force was adopted.
    pub adopted_at: Option<Instant>,
    /// The bytes of datagrams sent.
    pub message_bytes: u64,
    /// The bytes of datagrams received.
    pub received_bytes: u64,
    /// The bytes of datagrams sent and received, by the kind of message.
    pub bytes_by_kind: BTreeMap<&'static str, u64>,
    /// The bytes of manifests and packs that were fetched from peers.
    pub fetched_bytes: u64,
    failure_domain: FailureDomain,
}

/// A fleet of agents in virtual time.
pub struct Fleet {
    /// The running hosts.
    pub nodes: BTreeMap<HostId, Node>,
    /// The configuration service.
    pub service: FakeService,
    /// The clock of all hosts.
    pub clock: ManualClock,
    links: Links<Packet>,
    rng: fastrand::Rng,
    settings: DistributionSettings,
    tick_interval: Duration,
}

impl Fleet {
    /// Starts all hosts of a list.
    #[must_use]
    pub fn new(list: &HostList, seed: u64, faults: LinkFaults) -> Self {
        let mut service = FakeService::default();
        service.put_hosts(list);
        let mut fleet = Self {
            nodes: BTreeMap::new(),
            service,
            clock: ManualClock::new(),
            links: Links::new(seed, faults),
            rng: fastrand::Rng::with_seed(seed),
            settings: DistributionSettings::default(),
            tick_interval: TICK_INTERVAL,
        };
        for host in &list.hosts {
            fleet.start(&host.id, &host.failure_domain);
        }
        fleet
    }

    /// Starts a host without state.
    pub fn start(&mut self, id: &HostId, domain: &FailureDomain) {
        self.stop(id);
        let clock: Arc<dyn Clock> = Arc::new(self.clock.clone());
        let seed = self.rng.u64(..);
        let settings = self.settings.clone();
        let agent = ConfigAgent::new(id.clone(), domain.clone(), clock, seed, settings);
        let node = Node {
            agent,
            refusals: Vec::new(),
            adopted_at: None,
            message_bytes: 0,
            received_bytes: 0,
            bytes_by_kind: BTreeMap::new(),
            fetched_bytes: 0,
            failure_domain: domain.clone(),
        };
        self.nodes.insert(id.clone(), node);
    }

    /// Stops a host.
    pub fn stop(&mut self, id: &HostId) {
        self.nodes.remove(id);
        self.service.drop_calls(id);
    }

    /// Restarts a host without state.
    pub fn restart(&mut self, id: &HostId) {
        let domain = self.nodes.get(id).map(|node| node.failure_domain.clone());
        if let Some(domain) = domain {
            self.start(id, &domain);
        }
    }

    /// Sets the seed peers that new hosts contact while they have no host list.
    pub fn set_seeds(&mut self, seeds: Vec<HostId>) {
        self.settings.seeds = seeds;
    }

    /// Sets the time between ticks; a longer interval speeds up long runs.
    pub fn set_tick(&mut self, interval: Duration) {
        self.tick_interval = interval;
    }

    /// Sets the faults of all links.
    pub fn set_faults(&mut self, faults: LinkFaults) {
        self.links.set_faults(faults);
    }

    /// Cuts the link between two hosts in both directions.
    pub fn cut(&mut self, a: &HostId, b: &HostId) {
        self.links.cut(a, b);
        self.links.cut(b, a);
    }

    /// Cuts the link from one host to another, but not back.
    pub fn cut_one_way(&mut self, from: &HostId, to: &HostId) {
        self.links.cut(from, to);
    }

    /// Cuts all links between two groups of hosts.
    pub fn partition(&mut self, inside: impl Fn(&HostId) -> bool) {
        let ids: Vec<_> = self.nodes.keys().cloned().collect();
        for a in ids.iter().filter(|id| inside(id)) {
            for b in ids.iter().filter(|id| !inside(id)) {
                self.cut(a, b);
            }
        }
    }

    /// Heals the link between two hosts in both directions.
    pub fn heal(&mut self, a: &HostId, b: &HostId) {
        self.links.heal(a, b);
        self.links.heal(b, a);
    }

    /// Heals all links.
    pub fn heal_all(&mut self) {
        self.links.heal_all();
    }

    /// Reports whether two hosts can reach each other.
    #[must_use]
    pub fn reaches(&self, a: &HostId, b: &HostId) -> bool {
        !self.links.is_cut(a, b) && !self.links.is_cut(b, a)
    }

    /// Returns the configuration in force on a host.
    #[must_use]
    pub fn current(&self, id: &HostId) -> Option<Arc<Snapshot>> {
        self.nodes.get(id)?.agent.current()
    }

    /// Returns the lowest version in force on any host; zero if a host has none.
    #[must_use]
    pub fn lowest_version(&self) -> u64 {
        let versions = self.nodes.values().map(|node| {
            let current = node.agent.current();
            current.map_or(0, |snapshot| snapshot.version)
        });
        versions.min().unwrap_or(0)
    }

    /// Runs for a duration.
    pub fn run(&mut self, duration: Duration) {
        let end = self.clock.now() + duration;
        while self.clock.now() < end {
            self.step();
        }
    }

    /// Runs until all hosts have a version and returns the time that it took, or
    /// `None` if that exceeds the limit.
    pub fn run_until_version(&mut self, version: u64, limit: Duration) -> Option<Duration> {
        let start = self.clock.now();
        while self.clock.now() < start + limit {
            self.step();
            if self.lowest_version() >= version {
                return Some(self.clock.now() - start);
            }
        }
        None
    }

    /// Advances to the next tick of all hosts.
    pub fn step(&mut self) {
        let end = self.clock.now() + self.tick_interval;
        while let Some(at) = self.links.next_arrival().filter(|at| *at <= end) {
            let now = self.clock.now();
            self.clock.advance(at.saturating_duration_since(now));
            self.deliver();
        }
        self.clock
            .advance(end.saturating_duration_since(self.clock.now()));
        for call in self.service.answers(end) {
            self.apply_actions(&call.host, |agent| match &call.answer {
                Answer::Value { revision, bytes } => {
                    agent.on_service_value(call.ticket, *revision, bytes)
                }
                Answer::Unchanged { revision } => {
                    agent.on_service_unchanged(call.ticket, *revision)
                }
                Answer::Error => agent.on_service_error(call.ticket),
            });
        }
        let ids: Vec<_> = self.nodes.keys().cloned().collect();
        for id in ids {
            self.apply_actions(&id, ConfigAgent::tick);
        }
    }

    fn deliver(&mut self) {
        let now = self.clock.now();
        let Some(delivery) = self.links.receive(now) else {
            return;
        };
        let (from, to) = (delivery.from, delivery.to);
        match delivery.message {
            Packet::Message(message) => {
                if let Some(node) = self.nodes.get_mut(&to) {
                    let bytes = wire_bytes(&from, &message);
                    node.received_bytes += bytes;
                    *node
                        .bytes_by_kind
                        .entry(received_kind(&message))
                        .or_default() += bytes;
                }
                self.apply_actions(&to, |agent| agent.on_message(&from, INCARNATION, &message));
            }
            Packet::Request(digest) => {
                let Some(node) = self.nodes.get(&to) else {
                    return;
                };
                let bytes = node.agent.blob(&digest);
                self.links
                    .send(now, &to, &from, Packet::Reply(digest, bytes));
            }
            Packet::Reply(digest, Some(bytes)) => {
                if let Some(node) = self.nodes.get_mut(&to) {
                    node.fetched_bytes += bytes.len() as u64;
                }
                self.apply_actions(&to, |agent| agent.on_pack(&from, digest, &bytes));
            }
            Packet::Reply(digest, None) => {
                self.apply_actions(&to, |agent| agent.on_pack_missing(&from, digest));
            }
        }
    }

    fn apply_actions(
        &mut self,
        id: &HostId,
        run: impl FnOnce(&mut ConfigAgent) -> Vec<AgentAction>,
    ) {
        let now = self.clock.now();
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        for action in run(&mut node.agent) {
            match action {
                AgentAction::ReadService(read) => self.service.call(id, read, now),
                AgentAction::FetchFromPeer { host, digest } => {
                    self.links.send(now, id, &host, Packet::Request(digest));
                }
                AgentAction::Send(outgoing) => {
                    let bytes = wire_bytes(id, &outgoing.message);
                    node.message_bytes += bytes;
                    *node
                        .bytes_by_kind
                        .entry(sent_kind(&outgoing.message))
                        .or_default() += bytes;
                    let packet = Packet::Message(outgoing.message);
                    self.links.send(now, id, &outgoing.to, packet);
                }
                AgentAction::Adopt(_) => node.adopted_at = Some(now),
                AgentAction::AdoptHosts(_) => {}
                AgentAction::Refuse(refusal) => node.refusals.push(refusal),
            }
        }
    }
}

fn sent_kind(message: &ConfigMessage) -> &'static str {
    match message {
        ConfigMessage::Poll { .. } => "polls-sent",
        ConfigMessage::Answer { .. } => "answers-sent",
        ConfigMessage::Announce { .. } => "announcements-sent",
        ConfigMessage::Follow { .. } => "follows-sent",
        ConfigMessage::Update(_) => "updates-sent",
    }
}

fn received_kind(message: &ConfigMessage) -> &'static str {
    match message {
        ConfigMessage::Poll { .. } => "polls-received",
        ConfigMessage::Answer { .. } => "answers-received",
        ConfigMessage::Announce { .. } => "announcements-received",
        ConfigMessage::Follow { .. } => "follows-received",
        ConfigMessage::Update(_) => "updates-received",
    }
}

fn wire_bytes(from: &HostId, message: &ConfigMessage) -> u64 {
    wire_len_bytes(from, INCARNATION, &Message::Config(message.clone())) as u64
}
