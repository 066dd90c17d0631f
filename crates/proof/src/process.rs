//! One process: the decision logic of a host, wired as in the host package.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_attempts::{
    AttemptRegistry, AttemptTicket, LostInstance, Permission, Quarantine, QuarantineSettings,
};
use waxwingusher_config::Snapshot;
use waxwingusher_core::{
    Clock, ContentDigest, FailureDomain, HostId, HostList, InstanceId, KeyDigest,
};
use waxwingusher_limits::{KeyIndex, Limiter};
use waxwingusher_membership::distribution::{
    AgentAction, ConfigAgent, DistributionSettings, ListEvidence, ServiceRead,
};
use waxwingusher_protocol::attempt::{AttemptKey, AttemptMessage};
use waxwingusher_protocol::{Message, Outgoing};
use waxwingusher_upstreams::{UpstreamSet, UpstreamSettings};

use crate::flow::{Environment, RequestFlow};
use crate::sample;

/// The time between two ticks of the configuration distribution.
const CONFIG_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two ticks of the quarantine.
const QUARANTINE_INTERVAL: Duration = Duration::from_millis(250);
/// The age up to which evidence of the host list is forwarded to the attempt
/// records.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(2);

/// A packet between hosts.
#[derive(Debug, Clone)]
pub enum Packet {
    /// A datagram.
    Message(Message),
    /// A request for a manifest or a pack.
    Fetch(ContentDigest),
    /// The answer to a fetch; `None` if the host lacks the content.
    Fetched(ContentDigest, Option<Arc<[u8]>>),
}

/// The configuration in force with its index of keys.
pub struct ActiveConfig {
    /// The configuration.
    pub snapshot: Arc<Snapshot>,
    /// The keys that are valid in it.
    pub keys: KeyIndex,
}

/// The host on which a process runs.
#[derive(Clone)]
pub struct HostContext {
    /// The host's identifier.
    pub id: HostId,
    /// The host's failure domain.
    pub domain: FailureDomain,
    /// The host's clock.
    pub clock: Arc<dyn Clock>,
    /// Peers that a new process contacts first.
    pub seeds: Vec<HostId>,
}

/// A running process.
pub struct Process {
    /// The random number drawn at the start of the process.
    pub incarnation: u64,
    /// Enforces rates and bursts.
    pub limiter: Limiter,
    /// Attempt records.
    pub attempts: AttemptRegistry,
    /// Upstream instances.
    pub upstreams: UpstreamSet,
    /// The quarantine of crashing requests.
    pub quarantine: Quarantine,
    /// The distribution of the configuration.
    pub agent: ConfigAgent,
    /// The configuration in force.
    pub active: Option<ActiveConfig>,
    /// Whether new requests are refused.
    pub is_draining: bool,
    /// Packets to send.
    pub outbox: Vec<(HostId, Packet)>,
    /// Calls to the configuration service.
    pub reads: Vec<ServiceRead>,
    pub(crate) flows: Vec<RequestFlow>,
    pub(crate) in_flight: Vec<(InstanceId, AttemptKey)>,
    pub(crate) permissions: HashMap<AttemptTicket, Permission>,
    clock: Arc<dyn Clock>,
    id: HostId,
    seeds: Vec<HostId>,
    list: HostList,
    read_at: Option<Instant>,
    known_at: Option<Instant>,
    next_config: Instant,
    next_quarantine: Instant,
}

impl Process {
    /// Starts a process without state.
    #[must_use]
    pub fn start(context: &HostContext, incarnation: u64) -> Self {
        let HostContext {
            id,
            domain,
            clock,
            seeds,
        } = context.clone();
        let now = clock.now();
        let distribution = DistributionSettings {
            seeds: seeds.clone(),
            ..DistributionSettings::default()
        };
        let upstreams = UpstreamSettings::default();
        let attempts = sample::attempt_settings();
        let rng = fastrand::Rng::with_seed(incarnation);
        let crashes = QuarantineSettings::default();
        let limits = sample::limiter_settings();
        Self {
            incarnation,
            limiter: Limiter::new(id.clone(), incarnation, clock.clone(), limits),
            attempts: AttemptRegistry::new(
                id.clone(),
                incarnation,
                clock.clone(),
                incarnation,
                attempts,
            ),
            upstreams: UpstreamSet::new(
                id.clone(),
                domain.clone(),
                incarnation,
                clock.clone(),
                incarnation,
                upstreams,
            ),
            quarantine: Quarantine::new(id.clone(), clock.clone(), rng, crashes),
            agent: ConfigAgent::new(id.clone(), domain, clock.clone(), incarnation, distribution),
            active: None,
            is_draining: false,
            outbox: Vec::new(),
            reads: Vec::new(),
            flows: Vec::new(),
            in_flight: Vec::new(),
            permissions: HashMap::new(),
            clock,
            id,
            seeds,
            list: HostList::default(),
            read_at: None,
            known_at: None,
            next_config: now,
            next_quarantine: now,
        }
    }

    /// Reports whether the process knows of a host, by its list or as a seed.
    #[must_use]
    pub fn knows(&self, host: &HostId) -> bool {
        self.list.get(host).is_some() || self.seeds.contains(host)
    }

    /// Returns the configuration version in force, or 0.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.active
            .as_ref()
            .map_or(0, |active| active.snapshot.version)
    }

    /// Returns the workspace of a key in the configuration in force.
    pub(crate) fn workspace_of(
        &self,
        key: &KeyDigest,
    ) -> Option<Arc<waxwingusher_config::Workspace>> {
        self.active.as_ref()?.keys.lookup_digest(key)
    }

    /// Returns the time on the host's clock.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Runs the periodic work that is due, like the ticker of a host.
    pub fn tick(&mut self) {
        let now = self.now();
        self.with_attempts(AttemptRegistry::tick);
        self.tick_limiter();
        let health = self.upstreams.tick();
        self.send_all(health, Message::Health);
        if now >= self.next_quarantine {
            self.next_quarantine = now + QUARANTINE_INTERVAL;
            let notices = self.quarantine.tick();
            self.quarantine.take_attributed_crashes();
            self.send_all(notices, Message::Attempt);
        }
        if now >= self.next_config {
            self.next_config = now + CONFIG_INTERVAL;
            self.with_agent(ConfigAgent::tick);
            self.forward_evidence(now);
        }
    }

    /// Handles a packet from a peer.
    pub fn on_packet(&mut self, from: &HostId, incarnation: u64, packet: Packet) {
        match packet {
            Packet::Fetch(digest) => {
                let bytes = self.agent.blob(&digest);
                let answer = Packet::Fetched(digest, bytes);
                self.outbox.push((from.clone(), answer));
            }
            Packet::Fetched(digest, Some(bytes)) => {
                self.with_agent(|agent| agent.on_pack(from, digest, &bytes));
            }
            Packet::Fetched(digest, None) => {
                self.with_agent(|agent| agent.on_pack_missing(from, digest));
            }
            Packet::Message(message) => self.on_message(from, incarnation, message),
        }
    }

    fn on_message(&mut self, from: &HostId, incarnation: u64, message: Message) {
        match message {
            Message::Loan(loan) => {
                let replies = self.limiter.on_message(from, incarnation, loan);
                self.send_all(replies, Message::Loan);
            }
            Message::Attempt(AttemptMessage::Quarantine(message)) => {
                let replies = self.quarantine.on_message(message);
                self.send_all(replies, Message::Attempt);
            }
            Message::Attempt(attempt) => {
                self.with_attempts(|registry| registry.on_message(from, incarnation, attempt));
            }
            Message::Health(health) => {
                let replies = self.upstreams.on_message(from, incarnation, &health);
                self.send_all(replies, Message::Health);
            }
            Message::Config(config) => {
                self.with_agent(|agent| agent.on_message(from, incarnation, &config));
            }
            Message::Gossip(_) => {}
        }
    }

    /// Runs `work` on the agent and carries out the actions it returns.
    pub fn with_agent(&mut self, work: impl FnOnce(&mut ConfigAgent) -> Vec<AgentAction>) {
        for action in work(&mut self.agent) {
            match action {
                AgentAction::ReadService(read) => self.reads.push(read),
                AgentAction::FetchFromPeer { host, digest } => {
                    self.outbox.push((host, Packet::Fetch(digest)));
                }
                AgentAction::Send(outgoing) => self.send_all(vec![outgoing], Message::Config),
                AgentAction::Adopt(snapshot) => self.adopt(&snapshot),
                AgentAction::AdoptHosts(list) => self.apply_host_list(&list),
                AgentAction::Refuse(_) => {}
            }
        }
    }

    /// Runs `work` on the attempt records, then collects their decisions and
    /// sends their messages.
    pub(crate) fn with_attempts(
        &mut self,
        work: impl FnOnce(&mut AttemptRegistry) -> Vec<Outgoing<AttemptMessage>>,
    ) {
        let outgoing = work(&mut self.attempts);
        for decision in self.attempts.take_decisions() {
            self.permissions
                .insert(decision.ticket, decision.permission);
        }
        self.send_all(outgoing, Message::Attempt);
    }

    pub(crate) fn tick_limiter(&mut self) {
        let loans = self.limiter.tick();
        self.send_all(loans, Message::Loan);
    }

    /// Reports an instance that closed its connections to the quarantine.
    pub(crate) fn instance_lost(&mut self, instance: &InstanceId) {
        let here = self.in_flight.iter().filter(|(id, _)| id == instance);
        let in_flight = here.map(|(_, fingerprint)| *fingerprint).collect();
        let lost = LostInstance {
            service: sample::service_name(),
            instance: instance.clone(),
            in_flight,
        };
        let reports = self.quarantine.on_instance_lost(&lost);
        self.send_all(reports, Message::Attempt);
    }

    /// Hands off rights and attempt records before a planned stop.
    pub fn hand_off(&mut self) {
        self.is_draining = true;
        let loans = self.limiter.hand_off();
        self.send_all(loans, Message::Loan);
        self.with_attempts(AttemptRegistry::hand_off);
    }

    /// Advances all requests, and drops those that have their answer.
    pub(crate) fn advance_requests(&mut self, env: &mut Environment<'_>) {
        let flows = std::mem::take(&mut self.flows);
        for mut flow in flows {
            if !flow.advance(self, env) {
                self.flows.push(flow);
            }
        }
    }

    fn adopt(&mut self, snapshot: &Arc<Snapshot>) {
        let known = self.active.as_ref().map(|active| active.snapshot.version);
        if known.is_some_and(|known| known >= snapshot.version) {
            return;
        }
        self.active = Some(ActiveConfig {
            keys: KeyIndex::new(snapshot),
            snapshot: snapshot.clone(),
        });
        self.limiter.apply_snapshot(snapshot);
        self.upstreams.apply_snapshot(snapshot);
    }

    fn apply_host_list(&mut self, list: &HostList) {
        if list.version <= self.list.version {
            return;
        }
        self.list = list.clone();
        self.read_at = None;
        self.known_at = None;
        self.limiter.apply_host_list(list);
        self.attempts.apply_host_list(list);
        self.upstreams.apply_host_list(list);
        self.quarantine.apply_host_list(list);
    }

    fn forward_evidence(&mut self, now: Instant) {
        let freshness = self.agent.list_freshness();
        let evidence = ListEvidence::new(&freshness, &self.list, &self.id, now);
        let version = self.list.version;
        if let Some(at) = evidence.read_at.filter(|at| Some(*at) > self.read_at) {
            self.read_at = Some(at);
            self.limiter.confirm_host_list(version, at);
        }
        if let Some(at) = evidence.known_at.filter(|at| Some(*at) > self.known_at) {
            self.known_at = Some(at);
            if now.saturating_duration_since(at) <= MAX_EVIDENCE_AGE {
                self.attempts.confirm_host_list(version);
            }
        }
    }

    fn send_all<M>(&mut self, outgoing: Vec<Outgoing<M>>, wrap: impl Fn(M) -> Message) {
        for Outgoing { to, message } in outgoing {
            self.outbox.push((to, Packet::Message(wrap(message))));
        }
    }
}
