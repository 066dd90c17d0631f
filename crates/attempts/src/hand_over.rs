//! Hand-off of a witness's records before a planned stop, and their return to
//! the next process of the host.
//!
//! Each record is sent to the host that becomes a witness of its key once the
//! list drops the stopping host. A receiver replaces the stopped witness only
//! after the sender, which must still run, has confirmed that all parts arrived.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::attempt::{
    AttemptKey, AttemptMessage, ClaimEnd, ClaimId, FormerHost, HAND_OVER_PART_BYTES, HandOver,
    HandedRecord,
};

use crate::adoption::AdoptionState;
use crate::buckets::{Bucket, BucketSet};
use crate::inheritance::{Inheritance, Origin};
use crate::lease::Stamp;
use crate::registry::AttemptRegistry;
use crate::transfer::{Incoming, Transfer};
use crate::witness::{Phase, Scope};
use crate::witnesses::{HashKey, Topology};

/// How long a sender waits for acknowledgements before it resends parts.
pub(crate) const RESEND_AFTER: Duration = Duration::from_millis(200);

/// How long a process asks for its records after its start.
pub(crate) const RECOVERY_TIME: Duration = Duration::from_secs(40);

/// The most buckets in one part; each takes at most two bytes.
const BUCKETS_IN_PART: usize = HAND_OVER_PART_BYTES / 2;

/// The first delay between two requests for records.
const RECOVER_AFTER: Duration = Duration::from_secs(1);

/// The progress of the hand-off before a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandOverProgress {
    /// The hosts that records are sent to.
    pub receivers: usize,
    /// The hosts that have acknowledged all records sent to them.
    pub completed: usize,
}

impl HandOverProgress {
    /// Reports whether all receivers have acknowledged all records.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.completed == self.receivers
    }
}

/// The records for one receiver.
struct Share {
    receiver: HostId,
    records: Vec<HandedRecord>,
    buckets: BucketSet,
}

impl Share {
    fn new(receiver: HostId) -> Self {
        Self {
            receiver,
            records: Vec::new(),
            buckets: BucketSet::default(),
        }
    }
}

/// The parts of one hand-off that have been returned.
#[derive(Default)]
struct Returned {
    hosts: BTreeSet<HostId>,
    former_hosts: Vec<FormerHost>,
}

/// The hand-offs that this host sends and receives.
pub(crate) struct HandOverState {
    outgoing: BTreeMap<(HostId, u64), Transfer>,
    incoming: BTreeMap<(HostId, u64), Incoming>,
    returned: BTreeMap<u64, Returned>,
    recover_until: Option<Instant>,
    recover_at: Option<Instant>,
    recover_tries: u32,
    pub(crate) adoption: AdoptionState,
}

impl HandOverState {
    pub(crate) fn new(recover_until: Instant) -> Self {
        Self {
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            returned: BTreeMap::new(),
            recover_until: Some(recover_until),
            recover_at: None,
            recover_tries: 0,
            adoption: AdoptionState::default(),
        }
    }
}

impl AttemptRegistry {
    /// Stops vouching, and starts to hand off all records. The process should
    /// handle messages and ticks until [`Self::hand_over_progress`] is done or
    /// its time to stop is over.
    pub fn hand_over(&mut self) -> Vec<Outgoing<AttemptMessage>> {
        self.lists.refresh(&*self.clock);
        if self.witness.phase == Phase::Draining {
            return self.take_outbox();
        }
        self.hand_over.recover_until = None;
        self.witness.expire_inherited(&self.lists, &*self.clock);
        let trusted = self.lists.trusted(&*self.clock).cloned();
        self.witness.phase = Phase::Draining;
        let Some(topology) = trusted else {
            return self.take_outbox();
        };
        let count = self.settings.plan.witnesses();
        let receivers = topology.successors(count, &self.self_id);
        let source = self.rng.u64(..);
        let template = HandOver {
            of: self.self_id.clone(),
            source,
            id: source,
            part: 0,
            parts: 0,
            topology: topology.fingerprint(),
            former_hosts: Vec::new(),
            receivers: u32::try_from(receivers.len()).unwrap_or(u32::MAX),
            is_complete: self.witness.is_covered(&self.lists, self.clock.now()),
            to_incarnation: None,
            buckets: Vec::new(),
            records: Vec::new(),
        };
        log::info!(
            "attempts: draining, handing off records to {} hosts",
            receivers.len()
        );
        for share in self.share_records(&topology, receivers) {
            self.witness.give(&share.buckets);
            self.start_transfer(&share.receiver, &template, share.records, &share.buckets);
        }
        self.take_outbox()
    }

    /// Returns the progress of the hand-off.
    #[must_use]
    pub fn hand_over_progress(&self) -> HandOverProgress {
        let transfers = self.hand_over.outgoing.values();
        HandOverProgress {
            receivers: transfers.len(),
            completed: self
                .hand_over
                .outgoing
                .values()
                .filter(|transfer| transfer.is_done())
                .count(),
        }
    }

    /// Forwards the end of a claim to the host that has received its record.
    pub(crate) fn forward_finish(&mut self, key: AttemptKey, claim: ClaimId, end: &ClaimEnd) {
        let Some(successor) = self.keeper_of(&key) else {
            return;
        };
        let end = end.clone();
        self.send(&successor, AttemptMessage::Finish { key, claim, end });
    }

    /// Returns the host that received the record of a key from this one.
    fn keeper_of(&self, key: &AttemptKey) -> Option<HostId> {
        let topology = self.lists.active()?;
        let count = self.settings.plan.witnesses();
        let bucket = self.bucket_of(key);
        let hash_key = HashKey::of_bucket(bucket);
        let is_witness = topology.is_witness(&hash_key, count, &self.self_id);
        if !is_witness && self.witness.has_given(bucket) {
            let neighbours = topology.neighbours(&self.self_id);
            let mut keepers = neighbours.into_iter();
            return keepers.find(|host| topology.is_witness(&hash_key, count, host));
        }
        if self.witness.phase != Phase::Draining {
            return None;
        }
        topology.successor(&hash_key, count, &self.self_id)
    }

    pub(crate) fn on_hand_over(&mut self, from: &HostId, part: HandOver) {
        if part.to_incarnation.is_some_and(|to| to != self.incarnation) {
            return;
        }
        if !self.witness.store.has_room_for(part.records.len()) {
            log::warn!(
                "attempts: dropped records of {}, the record store is full",
                part.of
            );
            return;
        }
        let now = self.clock.now();
        let key = (from.clone(), part.id);
        let incoming = self
            .hand_over
            .incoming
            .entry(key)
            .or_insert_with(|| Incoming::new(&part));
        let (id, number) = (part.id, part.part);
        if incoming.take(&part, Stamp::now(&*self.clock)) {
            for record in part.records {
                self.witness.store.absorb(record, now);
            }
        }
        self.send(from, AttemptMessage::HandOverAck { id, part: number });
    }

    pub(crate) fn on_hand_over_ack(&mut self, from: &HostId, id: u64, part: u32) {
        let now = self.clock.now();
        let Some(transfer) = self.hand_over.outgoing.get_mut(&(from.clone(), id)) else {
            return;
        };
        transfer.on_ack(part);
        if transfer.is_done() {
            self.send(from, AttemptMessage::HandOverCommit { id });
            return;
        }
        for part in transfer.due(now, false) {
            self.send(from, AttemptMessage::HandOver(part));
        }
    }

    pub(crate) fn on_hand_over_commit(&mut self, from: &HostId, id: u64) {
        let Some(incoming) = self.hand_over.incoming.get_mut(&(from.clone(), id)) else {
            return;
        };
        let Some(taken) = incoming.commit() else {
            return;
        };
        let (of, source) = (incoming.of.clone(), incoming.source);
        let (fingerprint, is_complete) = (incoming.topology, incoming.is_complete);
        let is_given = incoming.is_given;
        let buckets = incoming.buckets.clone();
        let is_own = of == self.self_id;
        if is_own && id != self.incarnation || !is_complete && buckets.is_empty() {
            return;
        }
        let Some(topology) = self.lists.known_by(fingerprint).cloned() else {
            return;
        };
        log::info!("attempts: took over records of {of}, all parts arrived");
        self.witness.inherit(Inheritance {
            of,
            source,
            origin: if is_given {
                Origin::Given
            } else {
                Origin::Stopped
            },
            topology,
            is_complete: is_complete && !is_given,
            buckets,
            taken,
        });
        if is_own && is_complete {
            self.on_returned(from, id);
        }
    }

    /// Returns the records of a host to its next process. From then on this host
    /// no longer replaces it.
    pub(crate) fn on_recover(&mut self, from: &HostId, incarnation: u64, topology: u64) {
        let is_same = |own: &Arc<Topology>| own.fingerprint() == topology;
        if !self.lists.trusted(&*self.clock).is_some_and(is_same) {
            return;
        }
        let Some(former_hosts) = self.lists.former_hosts(from, &*self.clock) else {
            return;
        };
        self.witness.expire_inherited(&self.lists, &*self.clock);
        let mut returned = self.returned_buckets(from);
        let removed = self.witness.inherited.remove(from);
        let Some(last) = removed.last() else {
            return;
        };
        let source = last.source;
        let is_complete = last.is_complete;
        let Some(incoming) = self.hand_over.incoming.get(&(from.clone(), source)) else {
            return;
        };
        if removed.len() > 1 {
            returned = BucketSet::default();
        }
        let template = HandOver {
            of: from.clone(),
            source,
            id: incarnation,
            part: 0,
            parts: 0,
            topology,
            former_hosts,
            receivers: incoming.receivers,
            is_complete,
            to_incarnation: Some(incarnation),
            buckets: Vec::new(),
            records: Vec::new(),
        };
        let records = self.witness.store.export_of(incoming.keys());
        self.witness.give(&returned);
        self.start_transfer(from, &template, records, &returned);
    }

    /// Returns the buckets that this host covers in place of a stopped host of
    /// its failure domain that is still their witness.
    fn returned_buckets(&self, host: &HostId) -> BucketSet {
        let now = self.clock.now();
        let count = self.settings.plan.witnesses();
        let Some(topology) = self.lists.active() else {
            return BucketSet::default();
        };
        // With fewer failure domains than witnesses both hosts may be witnesses
        // of a bucket, and this one covers the bucket for itself.
        let is_neighbour = topology.neighbours(&self.self_id).contains(host);
        if !is_neighbour || !self.lists.has_fixed_domains() {
            return BucketSet::default();
        }
        let held = Bucket::all(self.settings.buckets).filter(|bucket| {
            topology.is_witness(&HashKey::of_bucket(*bucket), count, host)
                && !self.witness.has_given(*bucket)
                && self.witness.holds(*bucket, Scope::All, &self.lists, now)
        });
        held.collect()
    }

    pub(crate) fn tick_hand_over(&mut self) {
        let now = self.clock.now();
        let mut due = Vec::new();
        for ((host, _), transfer) in &mut self.hand_over.outgoing {
            for part in transfer.due(now, true) {
                due.push((host.clone(), part));
            }
        }
        for (host, part) in due {
            self.send(&host, AttemptMessage::HandOver(part));
        }
        let uncommitted: Vec<_> = self
            .hand_over
            .incoming
            .iter_mut()
            .filter_map(|((host, id), incoming)| {
                let part = incoming.ack_again(now)?;
                Some((host.clone(), *id, part))
            })
            .collect();
        for (host, id, part) in uncommitted {
            self.send(&host, AttemptMessage::HandOverAck { id, part });
        }
        let term = self.settings.coverage();
        let incoming = &mut self.hand_over.incoming;
        incoming.retain(|_, incoming| !incoming.is_older_than(term, &*self.clock));
        self.ask_for_recovery(now);
        self.ask_for_adoption(now);
    }

    /// Asks the hosts that may have records of a former process to return them.
    fn ask_for_recovery(&mut self, now: Instant) {
        let Some(until) = self.hand_over.recover_until else {
            return;
        };
        if now >= until {
            self.hand_over.recover_until = None;
            return;
        }
        let Some(topology) = self.lists.trusted(&*self.clock) else {
            return;
        };
        if self.hand_over.recover_at.is_some_and(|at| now < at) {
            return;
        }
        let count = self.settings.plan.witnesses();
        let message = AttemptMessage::Recover {
            topology: topology.fingerprint(),
        };
        for host in topology.successors(count, &self.self_id) {
            self.send(&host, message.clone());
        }
        let state = &mut self.hand_over;
        state.recover_at = Some(now + RECOVER_AFTER * (1 << (state.recover_tries / 4)));
        state.recover_tries += 1;
    }

    fn on_returned(&mut self, from: &HostId, id: u64) {
        let Some(incoming) = self.hand_over.incoming.get(&(from.clone(), id)) else {
            return;
        };
        let is_same = |own: &Arc<Topology>| own.fingerprint() == incoming.topology;
        if !self.lists.trusted(&*self.clock).is_some_and(is_same) {
            return;
        }
        let returned = self.hand_over.returned.entry(incoming.source).or_default();
        returned.hosts.insert(from.clone());
        returned.former_hosts.extend(incoming.former_hosts.clone());
        if returned.hosts.len() < incoming.receivers as usize {
            return;
        }
        if self.hand_over.recover_until.take().is_some() {
            log::info!("attempts: all records of the former process were returned");
            self.witness.recover_memory();
            self.lists.recover(&returned.former_hosts, &*self.clock);
        }
    }

    /// Assigns each record to the host that will be a witness of its key.
    fn share_records(&self, topology: &Topology, receivers: Vec<HostId>) -> Vec<Share> {
        let count = self.settings.plan.witnesses();
        let mut shares: Vec<_> = receivers.into_iter().map(Share::new).collect();
        for record in self.witness.store.export() {
            let key = HashKey::of_bucket(self.bucket_of(&record.key));
            let successor = topology.successor(&key, count, &self.self_id);
            let is_successor = |share: &Share| Some(&share.receiver) == successor.as_ref();
            // In a small fleet all hosts are witnesses already; any may keep the
            // record.
            let keeper = shares.iter().position(is_successor).unwrap_or_default();
            if let Some(share) = shares.get_mut(keeper) {
                share.records.push(record);
            }
        }
        self.share_buckets(topology, &mut shares);
        shares
    }

    /// Assigns each bucket that this host covers to the host of the same failure
    /// domain that will be its witness.
    fn share_buckets(&self, topology: &Topology, shares: &mut [Share]) {
        if !self.lists.has_fixed_domains() {
            return;
        }
        let now = self.clock.now();
        let count = self.settings.plan.witnesses();
        let neighbours = topology.neighbours(&self.self_id);
        for bucket in Bucket::all(self.settings.buckets) {
            let key = HashKey::of_bucket(bucket);
            let is_own = topology.is_witness(&key, count, &self.self_id);
            if !is_own || !self.witness.holds(bucket, Scope::All, &self.lists, now) {
                continue;
            }
            let successor = topology.successor(&key, count, &self.self_id);
            let Some(successor) = successor.filter(|host| neighbours.contains(host)) else {
                continue;
            };
            let share = shares.iter_mut().find(|share| share.receiver == successor);
            if let Some(share) = share {
                share.buckets.insert(bucket);
            }
        }
    }

    pub(crate) fn start_transfer(
        &mut self,
        to: &HostId,
        template: &HandOver,
        records: Vec<HandedRecord>,
        buckets: &BucketSet,
    ) {
        let numbers: Vec<_> = buckets.iter().map(Bucket::number).collect();
        let mut parts: Vec<_> = numbers
            .chunks(BUCKETS_IN_PART)
            .map(|chunk| HandOver {
                buckets: chunk.to_vec(),
                ..template.clone()
            })
            .collect();
        parts.push(template.clone());
        let mut size_bytes = 0;
        for record in records {
            let record_bytes = record.size_bytes();
            if size_bytes > 0 && size_bytes + record_bytes > HAND_OVER_PART_BYTES {
                parts.push(template.clone());
                size_bytes = 0;
            }
            size_bytes += record_bytes;
            if let Some(part) = parts.last_mut() {
                part.records.push(record);
            }
        }
        let mut transfer = Transfer::new(parts);
        for part in transfer.due(self.clock.now(), false) {
            self.send(to, AttemptMessage::HandOver(part));
        }
        let key = (to.clone(), template.id);
        self.hand_over.outgoing.insert(key, transfer);
    }
}
