//! Selects the peers to probe, and handles probes without an answer.

use std::time::Instant;

use waxwingusher_core::HostId;
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::gossip::GossipMessage;

use super::probe::Step;
use super::schedule::Group;
use super::state::PeerState;
use super::{Liveness, Sent, outgoing};

// With fewer peers, their silence is no evidence that this host is isolated.
const MIN_PEERS_FOR_ISOLATION: usize = 3;
const MAX_PROBES: usize = 8;

impl Liveness {
    pub(super) fn execute_step(&mut self, step: Step, now: Instant, sent: &mut Sent) {
        match step {
            Step::Retry(number, target) => {
                if self.may_continue(number, &target) {
                    sent.push(self.ping(number, &target));
                }
            }
            Step::Relay(number, target) => {
                if !self.may_continue(number, &target) {
                    return;
                }
                sent.push(self.ping(number, &target));
                // A suspect needs no further evidence against it.
                if self.members.state(&target).is_usable() {
                    self.ask_relays(number, &target, sent);
                }
            }
            Step::Fail(target, started_at) => self.on_failed_round(&target, started_at, now, sent),
        }
    }

    // A round whose retries are not sent is no evidence.
    fn may_continue(&mut self, number: u32, target: &HostId) -> bool {
        let is_usable = self.members.state(target).is_usable();
        if !is_usable && !self.members.is_suspected_locally(target) {
            return false;
        }
        if self.budget.has_credit() {
            return true;
        }
        self.probes.finish(number, target);
        false
    }

    fn on_failed_round(
        &mut self,
        target: &HostId,
        started_at: Instant,
        now: Instant,
        sent: &mut Sent,
    ) {
        if self.is_isolated(started_at) {
            return;
        }
        let failed_rounds = self.members.on_failed_round(target);
        let is_usable = self.members.state(target).is_usable();
        if is_usable && failed_rounds >= self.settings.rounds_before_suspicion {
            self.members.suspect(target, now);
            self.announce(target);
        }
        // A failed round of a peer that is not suspected is followed by the next; a
        // suspect learns of the suspicion from the host that has started it.
        let is_usable = self.members.state(target).is_usable();
        let continues = is_usable || self.members.is_suspected_locally(target);
        if continues && self.budget.has_credit() {
            let number = self.probes.begin(target, now);
            sent.push(self.ping(number, target));
        }
    }

    // A host that receives no messages learns nothing about its peers.
    fn is_isolated(&self, started_at: Instant) -> bool {
        let interval = self.settings.probe_interval;
        let is_recent = |received_at: Instant| received_at + interval >= started_at;
        self.members.len() >= MIN_PEERS_FOR_ISOLATION && !self.received_at.is_some_and(is_recent)
    }

    pub(super) fn begin_probe(&mut self, now: Instant, sent: &mut Sent) {
        if now < self.next_probe_at || !self.budget.has_credit() || self.probes.len() >= MAX_PROBES
        {
            return;
        }
        self.next_probe_at += self.settings.probe_interval;
        if self.next_probe_at < now {
            self.next_probe_at = now + self.settings.probe_interval;
        }
        let Some(target) = self.next_target() else {
            return;
        };
        if self.probes.is_probing(&target) {
            return;
        }
        let number = self.probes.begin(&target, now);
        if self.joins_left > 0 {
            self.joins_left -= 1;
            sent.push(outgoing(&target, GossipMessage::Join { probe: number }));
            return;
        }
        sent.push(self.ping(number, &target));
    }

    fn next_target(&mut self) -> Option<HostId> {
        while let Some(host) = self.schedule.next_urgent() {
            if self.members.get(&host).is_some() {
                return Some(host);
            }
        }
        let group = self.schedule.next_group();
        let chosen = self.next_in(group);
        match (chosen, group) {
            (None, Group::Dead | Group::OwnDomain) => self.next_in(Group::All),
            (chosen, _) => chosen,
        }
    }

    fn next_in(&mut self, group: Group) -> Option<HostId> {
        let members = &self.members;
        let is_member = |host: &HostId| {
            let Some(record) = members.get(host) else {
                return false;
            };
            let is_dead = record.state == PeerState::Dead;
            match group {
                Group::All => !is_dead,
                Group::OwnDomain => !is_dead && members.is_in_own_domain(record),
                Group::Dead => is_dead,
            }
        };
        let list = || {
            let hosts = members.iter().map(|(host, _)| host);
            hosts.filter(|host| is_member(host)).cloned().collect()
        };
        self.schedule.next(group, is_member, list, &mut self.rng)
    }

    fn ask_relays(&mut self, number: u32, target: &HostId, sent: &mut Sent) {
        for relay in self.choose_relays(target) {
            let message = GossipMessage::PingRequest {
                probe: number,
                target: target.clone(),
                updates: Vec::new(),
            };
            sent.push(outgoing(&relay, message));
        }
    }

    // The first relay is in the failure domain of this host, the second in that of
    // the target.
    fn choose_relays(&mut self, target: &HostId) -> Vec<HostId> {
        let domain = self
            .members
            .get(target)
            .map(|record| &record.failure_domain);
        let is_candidate =
            |host: &HostId, state: PeerState| state == PeerState::Alive && host != target;
        let mut candidates: Vec<_> = self
            .members
            .iter()
            .filter(|(host, record)| is_candidate(host, record.state))
            .collect();
        self.rng.shuffle(&mut candidates);
        let local_relay = candidates
            .iter()
            .position(|(_, record)| self.members.is_in_own_domain(record));
        if let Some(position) = local_relay {
            candidates.swap(0, position);
        }
        let target_relay = candidates
            .iter()
            .skip(1)
            .position(|(_, record)| Some(&record.failure_domain) == domain);
        if let Some(position) = target_relay {
            candidates.swap(1, position + 1);
        }
        let relays = candidates.into_iter().take(self.settings.relays);
        relays.map(|(host, _)| host.clone()).collect()
    }

    pub(super) fn ping(&mut self, probe: u32, target: &HostId) -> Outgoing<GossipMessage> {
        let mut updates = Vec::from_iter(self.failure_update(target));
        updates.extend(self.take_updates());
        outgoing(target, GossipMessage::Ping { probe, updates })
    }
}
