//! Answers to messages of peers.

use std::time::Instant;

use waxwingusher_core::HostId;
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::gossip::{GossipMessage, LivenessUpdate};

use super::record::Effect;
use super::state::PeerState;
use super::{Liveness, Sent, outgoing};

const UPDATES_PER_JOIN: usize = 16;

impl Liveness {
    pub(super) fn answer(
        &mut self,
        from: &HostId,
        message: &GossipMessage,
        refutation: Option<LivenessUpdate>,
        now: Instant,
    ) -> Sent {
        match message {
            GossipMessage::Ping { probe, .. } => vec![self.ack(from, *probe, refutation)],
            GossipMessage::Join { probe } => vec![self.join_ack(from, *probe)],
            GossipMessage::Ack { probe, .. } => self.on_ack(from, *probe, now),
            GossipMessage::PingRequest { probe, target, .. } => {
                self.on_ping_request(from, *probe, target, now)
            }
            GossipMessage::RelayedAck {
                probe,
                target,
                incarnation,
                ..
            } => {
                self.on_relayed_ack(*probe, target, *incarnation, now);
                Vec::new()
            }
            GossipMessage::Push { .. } => Vec::new(),
        }
    }

    fn ack(
        &mut self,
        to: &HostId,
        probe: u32,
        refutation: Option<LivenessUpdate>,
    ) -> Outgoing<GossipMessage> {
        let mut updates = Vec::from_iter(refutation);
        updates.extend(self.failure_update(to));
        updates.extend(self.take_updates());
        outgoing(to, GossipMessage::Ack { probe, updates })
    }

    fn join_ack(&self, to: &HostId, probe: u32) -> Outgoing<GossipMessage> {
        let updates = self.unusable_peers();
        outgoing(to, GossipMessage::Ack { probe, updates })
    }

    fn on_ack(&mut self, from: &HostId, probe: u32, now: Instant) -> Sent {
        if self.probes.finish(probe, from) {
            self.members.on_answer(from, now);
            return Vec::new();
        }
        let Some(relayed) = self.probes.finish_relayed(probe, from) else {
            return Vec::new();
        };
        let process = self.members.get(from).and_then(|record| record.process);
        let Some(process) = process else {
            return Vec::new();
        };
        let message = GossipMessage::RelayedAck {
            probe: relayed.requester_number,
            target: from.clone(),
            incarnation: process.incarnation,
            updates: self.take_updates(),
        };
        vec![outgoing(&relayed.requester, message)]
    }

    fn on_ping_request(
        &mut self,
        from: &HostId,
        probe: u32,
        target: &HostId,
        now: Instant,
    ) -> Sent {
        let is_known = self.members.get(target).is_some();
        if !is_known || !self.budget.has_credit() {
            return Vec::new();
        }
        let Some(number) = self.probes.begin_relayed(from, probe, target, now) else {
            return Vec::new();
        };
        vec![self.ping(number, target)]
    }

    fn on_relayed_ack(&mut self, probe: u32, target: &HostId, incarnation: u64, now: Instant) {
        if !self.probes.finish(probe, target) {
            return;
        }
        if self.members.on_contact(target, incarnation, now) == Effect::Changed {
            self.announce(target);
        }
        self.members.on_answer(target, now);
    }

    fn unusable_peers(&self) -> Vec<LivenessUpdate> {
        let unusable = |state: PeerState| !state.is_usable();
        let peers = self
            .members
            .iter()
            .filter(|(_, record)| unusable(record.state));
        let updates = peers.filter_map(|(host, record)| record.update(host));
        updates.take(UPDATES_PER_JOIN).collect()
    }
}
