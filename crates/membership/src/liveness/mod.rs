//! Failure detector for peers: probes, relayed probes, and suspicions that can be
//! refuted, combined with the platform's lagging host list.
//!
//! Each host probes one peer a second. A peer that answers neither directly nor
//! through relays in two rounds is suspected; the update is piggybacked on other
//! messages; the peer refutes it by raising its refutation number, or is declared
//! dead. The detected state affects preference only: it grants and withdraws no
//! right.

mod answers;
mod broadcast;
mod budget;
mod members;
mod probe;
mod probing;
mod record;
mod schedule;
mod settings;
mod state;
mod updates;

use std::sync::Arc;
use std::time::Instant;

use waxwingusher_core::{Clock, HostId, HostList};
use waxwingusher_protocol::gossip::GossipMessage;
use waxwingusher_protocol::{Message, Outgoing, wire_len_bytes};

use broadcast::BroadcastQueue;
use budget::GossipBudget;
use members::Members;
use probe::Probes;
use record::Effect;
use schedule::Schedule;

pub use settings::{LivenessSettings, TICK_INTERVAL};
pub use state::{LivenessEvent, PeerState};

const JOINS_AFTER_START: u32 = 3;

type Sent = Vec<Outgoing<GossipMessage>>;

/// One host's failure detector.
pub struct Liveness {
    self_id: HostId,
    incarnation: u64,
    refutation: u32,
    clock: Arc<dyn Clock>,
    rng: fastrand::Rng,
    settings: LivenessSettings,
    members: Members,
    broadcasts: BroadcastQueue,
    probes: Probes,
    schedule: Schedule,
    budget: GossipBudget,
    observed_at: Instant,
    received_at: Option<Instant>,
    next_probe_at: Instant,
    joins_left: u32,
}

impl Liveness {
    /// Creates the detector of a host that has just started. The incarnation is a
    /// random number; no state survives a restart.
    #[must_use]
    pub fn new(
        self_id: HostId,
        incarnation: u64,
        clock: Arc<dyn Clock>,
        seed: u64,
        settings: LivenessSettings,
    ) -> Self {
        let now = clock.now();
        let mut rng = fastrand::Rng::with_seed(seed);
        // Hosts that start together do not probe together.
        let offset = settings.probe_interval.mul_f64(rng.f64());
        Self {
            members: Members::new(&self_id, settings.suspicion_timeout),
            budget: GossipBudget::new(settings.bytes_per_s, settings.burst_bytes, now),
            self_id,
            incarnation,
            refutation: 0,
            clock,
            rng,
            settings,
            broadcasts: BroadcastQueue::default(),
            probes: Probes::default(),
            schedule: Schedule::default(),
            observed_at: now,
            received_at: None,
            next_probe_at: now + offset,
            joins_left: JOINS_AFTER_START,
        }
    }

    /// Applies a newer host list.
    pub fn apply_host_list(&mut self, list: &HostList) {
        for host in self.members.apply_list(list) {
            self.broadcasts.forget(&host);
        }
    }

    /// Returns the messages that are due; to be called every [`TICK_INTERVAL`].
    pub fn tick(&mut self) -> Vec<Outgoing<GossipMessage>> {
        let now = self.observe_time();
        let mut sent = Vec::new();
        for step in self.probes.advance(now, &self.settings) {
            self.execute_step(step, now, &mut sent);
        }
        for host in self.members.expire_suspicions(now) {
            self.announce(&host);
        }
        self.begin_probe(now, &mut sent);
        self.push_updates(&mut sent);
        self.charge_budget(&sent);
        sent
    }

    /// Handles an authenticated message from a peer's process.
    pub fn on_message(
        &mut self,
        from: &HostId,
        incarnation: u64,
        message: &GossipMessage,
    ) -> Vec<Outgoing<GossipMessage>> {
        let now = self.observe_time();
        if *from == self.self_id {
            return Vec::new();
        }
        self.received_at = Some(now);
        if self.members.on_contact(from, incarnation, now) == Effect::Changed {
            self.announce(from);
        }
        let refutation = self.merge_updates(message.updates(), now);
        let sent = self.answer(from, message, refutation, now);
        self.charge_budget(&sent);
        sent
    }

    /// Returns the detected state of a host.
    #[must_use]
    pub fn state(&self, host: &HostId) -> PeerState {
        if *host == self.self_id {
            return PeerState::Alive;
        }
        self.members.state(host)
    }

    /// Returns the changes since the last call.
    pub fn events(&mut self) -> Vec<LivenessEvent> {
        self.members.take_events()
    }

    // A paused process received nothing; that is no evidence against its peers.
    fn observe_time(&mut self) -> Instant {
        let now = self.clock.now();
        let gap = now.saturating_duration_since(self.observed_at);
        self.observed_at = now;
        if gap > self.settings.pause_threshold {
            log::warn!("membership: this process was paused for {gap:?}; restarting probes");
            self.probes.clear();
            self.members.extend_suspicions(gap);
            self.next_probe_at = now;
        }
        self.budget.refill(now);
        now
    }

    fn charge_budget(&mut self, sent: &Sent) {
        for outgoing in sent {
            let message = Message::Gossip(outgoing.message.clone());
            let len_bytes = wire_len_bytes(&self.self_id, self.incarnation, &message);
            self.budget.spend(len_bytes);
        }
    }
}

fn outgoing(to: &HostId, message: GossipMessage) -> Outgoing<GossipMessage> {
    Outgoing {
        to: to.clone(),
        message,
    }
}
