//! The records of all known peers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, HostId, HostList};
use waxwingusher_protocol::gossip::LivenessUpdate;

use super::record::{Effect, Listing, Record};
use super::state::{EventQueue, LivenessEvent, PeerState};

const MAX_UNLISTED: usize = 64;

/// The source of a suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    Local,
    Gossip,
}

#[derive(Debug)]
struct Suspicion {
    until: Instant,
    origin: Origin,
}

/// The records of all peers. Each change of state goes through this type.
#[derive(Debug)]
pub(super) struct Members {
    self_id: HostId,
    own_domain: Option<FailureDomain>,
    records: BTreeMap<HostId, Record>,
    suspicions: BTreeMap<HostId, Suspicion>,
    suspicion_timeout: Duration,
    events: EventQueue,
}

impl Members {
    pub(super) fn new(self_id: &HostId, suspicion_timeout: Duration) -> Self {
        Self {
            self_id: self_id.clone(),
            own_domain: None,
            records: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            suspicion_timeout,
            events: EventQueue::default(),
        }
    }

    /// Applies the list, and returns the hosts that are no longer in it.
    pub(super) fn apply_list(&mut self, list: &HostList) -> Vec<HostId> {
        if let Some(own) = list.get(&self.self_id) {
            self.own_domain = Some(own.failure_domain.clone());
        }
        let is_removed = |host: &HostId, record: &Record| {
            record.listing == Listing::Listed && list.get(host).is_none()
        };
        let removed: Vec<_> = self
            .records
            .iter()
            .filter(|(host, record)| is_removed(host, record))
            .map(|(host, _)| host.clone())
            .collect();
        for host in &removed {
            self.remove(host);
        }
        for entry in &list.hosts {
            if entry.id == self.self_id {
                continue;
            }
            let domain = Some(entry.failure_domain.clone());
            let record = self
                .records
                .entry(entry.id.clone())
                .or_insert_with(|| Record::new(Listing::Listed, None));
            record.listing = Listing::Listed;
            record.failure_domain = domain;
        }
        removed
    }

    pub(super) fn get(&self, host: &HostId) -> Option<&Record> {
        self.records.get(host)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&HostId, &Record)> {
        self.records.iter()
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn state(&self, host: &HostId) -> PeerState {
        self.records
            .get(host)
            .map_or(PeerState::Unknown, |record| record.state)
    }

    pub(super) fn is_in_own_domain(&self, record: &Record) -> bool {
        record.failure_domain.is_some() && record.failure_domain == self.own_domain
    }

    pub(super) fn take_events(&mut self) -> Vec<LivenessEvent> {
        self.events.take()
    }

    /// Merges an update on a known host. A host that is not listed becomes known
    /// only once a message of its own arrives.
    pub(super) fn merge(&mut self, update: &LivenessUpdate, now: Instant) -> Effect {
        let merge = |record: &mut Record| record.merge(update, now);
        self.change(&update.host, now, merge)
            .unwrap_or(Effect::Ignored)
    }

    /// Records an authenticated message from a host.
    pub(super) fn on_contact(&mut self, host: &HostId, incarnation: u64, now: Instant) -> Effect {
        if !self.records.contains_key(host) {
            let is_unlisted = |record: &&Record| record.listing == Listing::Unlisted;
            if self.records.values().filter(is_unlisted).count() >= MAX_UNLISTED {
                return Effect::Ignored;
            }
            let record = Record::new(Listing::Unlisted, None);
            self.records.insert(host.clone(), record);
        }
        self.change(host, now, |record| record.on_contact(incarnation))
            .unwrap_or(Effect::Ignored)
    }

    pub(super) fn on_answer(&mut self, host: &HostId, now: Instant) {
        self.change(host, now, Record::on_answer);
    }

    /// Counts a failed round and returns the consecutive failed rounds.
    pub(super) fn on_failed_round(&mut self, host: &HostId) -> u32 {
        let Some(record) = self.records.get_mut(host) else {
            return 0;
        };
        record.failed_rounds += 1;
        record.failed_rounds
    }

    /// Starts a suspicion by this host.
    pub(super) fn suspect(&mut self, host: &HostId, now: Instant) {
        self.change(host, now, |record| {
            if record.state.is_usable() {
                record.state = PeerState::Suspect { since: now };
            }
        });
        if let Some(suspicion) = self.suspicions.get_mut(host) {
            suspicion.origin = Origin::Local;
        }
    }

    /// Reports whether this host has started the suspicion of a host.
    pub(super) fn is_suspected_locally(&self, host: &HostId) -> bool {
        let suspicion = self.suspicions.get(host);
        suspicion.is_some_and(|suspicion| suspicion.origin == Origin::Local)
    }

    /// Declares suspects dead whose suspicion has timed out, and returns those
    /// that this host suspected itself.
    pub(super) fn expire_suspicions(&mut self, now: Instant) -> Vec<HostId> {
        let is_expired = |suspicion: &Suspicion| suspicion.until <= now;
        let expired: Vec<_> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| is_expired(suspicion))
            .map(|(host, suspicion)| (host.clone(), suspicion.origin))
            .collect();
        let mut own = Vec::new();
        for (host, origin) in expired {
            self.change(&host, now, |record| record.state = PeerState::Dead);
            if origin == Origin::Local {
                own.push(host);
            }
        }
        own
    }

    /// Extends all suspicions by the time for which this process was paused.
    pub(super) fn extend_suspicions(&mut self, pause: Duration) {
        for suspicion in self.suspicions.values_mut() {
            suspicion.until += pause;
        }
    }

    fn change<R>(
        &mut self,
        host: &HostId,
        now: Instant,
        change: impl FnOnce(&mut Record) -> R,
    ) -> Option<R> {
        let record = self.records.get_mut(host)?;
        let from = record.state;
        let result = change(record);
        let to = record.state;
        let is_dropped = record.listing == Listing::Unlisted && to == PeerState::Dead;
        if from != to {
            self.on_change(host, from, to, now);
        }
        if is_dropped {
            self.records.remove(host);
        }
        Some(result)
    }

    fn remove(&mut self, host: &HostId) {
        let Some(record) = self.records.remove(host) else {
            return;
        };
        self.suspicions.remove(host);
        if record.state == PeerState::Unknown {
            return;
        }
        self.push_event(host, record.state, PeerState::Unknown);
    }

    fn on_change(&mut self, host: &HostId, from: PeerState, to: PeerState, now: Instant) {
        log::info!(
            "membership: {host} is {} and was {}",
            to.name(),
            from.name()
        );
        match to {
            PeerState::Suspect { .. } => {
                let suspicion = Suspicion {
                    until: now + self.suspicion_timeout,
                    origin: Origin::Gossip,
                };
                self.suspicions.insert(host.clone(), suspicion);
            }
            PeerState::Alive | PeerState::Dead | PeerState::Unknown => {
                self.suspicions.remove(host);
            }
        }
        self.push_event(host, from, to);
    }

    fn push_event(&mut self, host: &HostId, from: PeerState, to: PeerState) {
        self.events.push(LivenessEvent {
            host: host.clone(),
            from,
            to,
        });
    }
}
