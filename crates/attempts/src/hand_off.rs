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
    AttemptKey, AttemptMessage, ClaimEnd, ClaimId, FormerHost, HAND_OFF_PART_BYTES, HandOffPart,
    HandOffRecord,
};

use crate::buckets::{Bucket, BucketSet};
use crate::placement::{HashKey, Topology};
use crate::rebalancing::RebalancingState;
use crate::registry::AttemptRegistry;
use crate::stamp::Stamp;
use crate::takeover::{Takeover, TakeoverReason};
use crate::transfer::{IncomingTransfer, OutgoingTransfer};
use crate::witness::{ListScope, Phase};

/// How long a sender waits for acknowledgements before it resends parts.
pub(crate) const RESEND_AFTER: Duration = Duration::from_millis(200);

/// How long a process asks for its records after its start.
pub(crate) const RECOVERY_TIME: Duration = Duration::from_secs(40);

/// The most buckets in one part; each takes at most two bytes.
const BUCKETS_IN_PART: usize = HAND_OFF_PART_BYTES / 2;

/// The first delay between two requests for records.
const FIRST_RECOVERY_DELAY: Duration = Duration::from_secs(1);

/// The progress of the hand-off before a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandOffProgress {
    /// The hosts that records are sent to.
    pub receivers: usize,
    /// The hosts that have acknowledged all records sent to them.
    pub completed: usize,
}

impl HandOffProgress {
    /// Reports whether all receivers have acknowledged all records.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.completed == self.receivers
    }
}

/// The records for one receiver.
struct Share {
    receiver: HostId,
    records: Vec<HandOffRecord>,
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
struct ReturnedHandOff {
    hosts: BTreeSet<HostId>,
    former_hosts: Vec<FormerHost>,
}

/// The hand-offs that this host sends and receives.
pub(crate) struct HandOffState {
    outgoing: BTreeMap<(HostId, u64), OutgoingTransfer>,
    incoming: BTreeMap<(HostId, u64), IncomingTransfer>,
    returned: BTreeMap<u64, ReturnedHandOff>,
    recover_until: Option<Instant>,
    recover_at: Option<Instant>,
    recovery_requests: u32,
    pub(crate) rebalancing: RebalancingState,
}

impl HandOffState {
    pub(crate) fn new(recover_until: Instant) -> Self {
        Self {
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            returned: BTreeMap::new(),
            recover_until: Some(recover_until),
            recover_at: None,
            recovery_requests: 0,
            rebalancing: RebalancingState::default(),
        }
    }
}

impl AttemptRegistry {
    /// Stops vouching, and starts to hand off all records. The process should
    /// handle messages and ticks until [`Self::hand_off_progress`] is done or
    /// its time to stop is over.
    pub fn hand_off(&mut self) -> Vec<Outgoing<AttemptMessage>> {
        self.lists.refresh(&*self.clock);
        if self.witness.phase == Phase::Draining {
            return self.take_outbox();
        }
        self.hand_off.recover_until = None;
        self.witness.expire_takeovers(&self.lists, &*self.clock);
        let trusted = self.lists.trusted(&*self.clock).cloned();
        self.witness.phase = Phase::Draining;
        let Some(topology) = trusted else {
            return self.take_outbox();
        };
        let count = self.settings.plan.witness_count();
        let receivers = topology.successors(count, &self.self_id);
        let source = self.rng.u64(..);
        let template = HandOffPart {
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
        for share in self.divide_records(&topology, receivers) {
            self.witness.mark_handed_off(&share.buckets);
            self.start_transfer(&share.receiver, &template, share.records, &share.buckets);
        }
        self.take_outbox()
    }

    /// Returns the progress of the hand-off.
    #[must_use]
    pub fn hand_off_progress(&self) -> HandOffProgress {
        let transfers = self.hand_off.outgoing.values();
        HandOffProgress {
            receivers: transfers.len(),
            completed: self
                .hand_off
                .outgoing
                .values()
                .filter(|transfer| transfer.is_done())
                .count(),
        }
    }

    /// Forwards the end of a claim to the host that has received its record.
    pub(crate) fn forward_finish(&mut self, key: AttemptKey, claim: ClaimId, end: &ClaimEnd) {
        let Some(successor) = self.record_holder(&key) else {
            return;
        };
        let end = end.clone();
        self.send(&successor, AttemptMessage::Finish { key, claim, end });
    }

    /// Returns the host that received the record of a key from this one.
    fn record_holder(&self, key: &AttemptKey) -> Option<HostId> {
        let topology = self.lists.active()?;
        let count = self.settings.plan.witness_count();
        let bucket = self.bucket_of(key);
        let hash_key = HashKey::of_bucket(bucket);
        let is_witness = topology.is_witness(&hash_key, count, &self.self_id);
        if !is_witness && self.witness.has_handed_off(bucket) {
            let domain_peers = topology.domain_peers(&self.self_id);
            let mut holders = domain_peers.into_iter();
            return holders.find(|host| topology.is_witness(&hash_key, count, host));
        }
        if self.witness.phase != Phase::Draining {
            return None;
        }
        topology.successor(&hash_key, count, &self.self_id)
    }

    pub(crate) fn on_hand_off(&mut self, from: &HostId, part: HandOffPart) {
        if part.to_incarnation.is_some_and(|to| to != self.incarnation) {
            return;
        }
        if !self.witness.store.has_room_for(part.records.len()) {
            log::warn!(
                "attempts: dropped records of {}, the record store has no room for them",
                part.of
            );
            return;
        }
        let now = self.clock.now();
        let key = (from.clone(), part.id);
        let incoming = self
            .hand_off
            .incoming
            .entry(key)
            .or_insert_with(|| IncomingTransfer::new(&part));
        let (id, number) = (part.id, part.part);
        if incoming.record_part(&part, Stamp::now(&*self.clock)) {
            for record in part.records {
                self.witness.store.merge(record, now);
            }
        }
        self.send(from, AttemptMessage::HandOffAck { id, part: number });
    }

    pub(crate) fn on_hand_off_ack(&mut self, from: &HostId, id: u64, part: u32) {
        let now = self.clock.now();
        let Some(transfer) = self.hand_off.outgoing.get_mut(&(from.clone(), id)) else {
            return;
        };
        transfer.on_ack(part);
        if transfer.is_done() {
            self.send(from, AttemptMessage::HandOffCommit { id });
            return;
        }
        for part in transfer.take_due_parts(now, false) {
            self.send(from, AttemptMessage::HandOff(part));
        }
    }

    pub(crate) fn on_hand_off_commit(&mut self, from: &HostId, id: u64) {
        let Some(incoming) = self.hand_off.incoming.get_mut(&(from.clone(), id)) else {
            return;
        };
        let Some(received_at) = incoming.commit() else {
            return;
        };
        let (owner, source) = (incoming.owner.clone(), incoming.source);
        let (fingerprint, is_complete) = (incoming.topology, incoming.is_complete);
        let is_reassignment = incoming.is_reassignment;
        let buckets = incoming.buckets.clone();
        let is_own = owner == self.self_id;
        if is_own && id != self.incarnation || !is_complete && buckets.is_empty() {
            return;
        }
        let Some(topology) = self.lists.find(fingerprint).cloned() else {
            return;
        };
        log::info!("attempts: took over records of {owner}, all parts arrived");
        self.witness.take_over(Takeover {
            owner,
            source,
            reason: if is_reassignment {
                TakeoverReason::Reassigned
            } else {
                TakeoverReason::Stopped
            },
            topology,
            is_complete: is_complete && !is_reassignment,
            buckets,
            received_at,
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
        self.witness.expire_takeovers(&self.lists, &*self.clock);
        let mut returned = self.returned_buckets(from);
        let removed = self.witness.takeovers.remove(from);
        let Some(last) = removed.last() else {
            return;
        };
        let source = last.source;
        let is_complete = last.is_complete;
        let Some(incoming) = self.hand_off.incoming.get(&(from.clone(), source)) else {
            return;
        };
        if removed.len() > 1 {
            returned = BucketSet::default();
        }
        let template = HandOffPart {
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
        self.witness.mark_handed_off(&returned);
        self.start_transfer(from, &template, records, &returned);
    }

    /// Returns the buckets that this host covers in place of a stopped host of
    /// its failure domain that is still their witness.
    fn returned_buckets(&self, host: &HostId) -> BucketSet {
        let now = self.clock.now();
        let count = self.settings.plan.witness_count();
        let Some(topology) = self.lists.active() else {
            return BucketSet::default();
        };
        // With fewer failure domains than witnesses both hosts may be witnesses
        // of a bucket, and this one covers the bucket for itself.
        let is_domain_peer = topology.domain_peers(&self.self_id).contains(host);
        if !is_domain_peer || !self.lists.has_fixed_domains() {
            return BucketSet::default();
        }
        let held = Bucket::all(self.settings.buckets).filter(|bucket| {
            topology.is_witness(&HashKey::of_bucket(*bucket), count, host)
                && !self.witness.has_handed_off(*bucket)
                && self
                    .witness
                    .covers_bucket(*bucket, ListScope::All, &self.lists, now)
        });
        held.collect()
    }

    pub(crate) fn tick_hand_off(&mut self) {
        let now = self.clock.now();
        let mut due = Vec::new();
        for ((host, _), transfer) in &mut self.hand_off.outgoing {
            for part in transfer.take_due_parts(now, true) {
                due.push((host.clone(), part));
            }
        }
        for (host, part) in due {
            self.send(&host, AttemptMessage::HandOff(part));
        }
        let uncommitted: Vec<_> = self
            .hand_off
            .incoming
            .iter_mut()
            .filter_map(|((host, id), incoming)| {
                let part = incoming.take_due_ack(now)?;
                Some((host.clone(), *id, part))
            })
            .collect();
        for (host, id, part) in uncommitted {
            self.send(&host, AttemptMessage::HandOffAck { id, part });
        }
        let term = self.settings.coverage();
        let incoming = &mut self.hand_off.incoming;
        incoming.retain(|_, incoming| !incoming.is_older_than(term, &*self.clock));
        self.request_returned_records(now);
        self.request_moved_records(now);
    }

    /// Asks the hosts that may have records of a former process to return them.
    fn request_returned_records(&mut self, now: Instant) {
        let Some(until) = self.hand_off.recover_until else {
            return;
        };
        if now >= until {
            self.hand_off.recover_until = None;
            return;
        }
        let Some(topology) = self.lists.trusted(&*self.clock) else {
            return;
        };
        if self.hand_off.recover_at.is_some_and(|at| now < at) {
            return;
        }
        let count = self.settings.plan.witness_count();
        let message = AttemptMessage::Recover {
            topology: topology.fingerprint(),
        };
        for host in topology.successors(count, &self.self_id) {
            self.send(&host, message.clone());
        }
        let state = &mut self.hand_off;
        state.recover_at = Some(now + FIRST_RECOVERY_DELAY * (1 << (state.recovery_requests / 4)));
        state.recovery_requests += 1;
    }

    fn on_returned(&mut self, from: &HostId, id: u64) {
        let Some(incoming) = self.hand_off.incoming.get(&(from.clone(), id)) else {
            return;
        };
        let is_same = |own: &Arc<Topology>| own.fingerprint() == incoming.topology;
        if !self.lists.trusted(&*self.clock).is_some_and(is_same) {
            return;
        }
        let returned = self.hand_off.returned.entry(incoming.source).or_default();
        returned.hosts.insert(from.clone());
        returned.former_hosts.extend(incoming.former_hosts.clone());
        if returned.hosts.len() < incoming.receivers as usize {
            return;
        }
        if self.hand_off.recover_until.take().is_some() {
            log::info!("attempts: all records of the former process were returned");
            self.witness.mark_recovered();
            self.lists
                .restore_history(&returned.former_hosts, &*self.clock);
        }
    }

    /// Assigns each record to the host that will be a witness of its key.
    fn divide_records(&self, topology: &Topology, receivers: Vec<HostId>) -> Vec<Share> {
        let count = self.settings.plan.witness_count();
        let mut shares: Vec<_> = receivers.into_iter().map(Share::new).collect();
        for record in self.witness.store.export() {
            let key = HashKey::of_bucket(self.bucket_of(&record.key));
            let successor = topology.successor(&key, count, &self.self_id);
            let is_successor = |share: &Share| Some(&share.receiver) == successor.as_ref();
            // In a small fleet all hosts are witnesses already; any may keep the
            // record.
            let holder = shares.iter().position(is_successor).unwrap_or_default();
            if let Some(share) = shares.get_mut(holder) {
                share.records.push(record);
            }
        }
        self.divide_buckets(topology, &mut shares);
        shares
    }

    /// Assigns each bucket that this host covers to the host of the same failure
    /// domain that will be its witness.
    fn divide_buckets(&self, topology: &Topology, shares: &mut [Share]) {
        if !self.lists.has_fixed_domains() {
            return;
        }
        let now = self.clock.now();
        let count = self.settings.plan.witness_count();
        let domain_peers = topology.domain_peers(&self.self_id);
        for bucket in Bucket::all(self.settings.buckets) {
            let key = HashKey::of_bucket(bucket);
            let is_own = topology.is_witness(&key, count, &self.self_id);
            if !is_own
                || !self
                    .witness
                    .covers_bucket(bucket, ListScope::All, &self.lists, now)
            {
                continue;
            }
            let successor = topology.successor(&key, count, &self.self_id);
            let Some(successor) = successor.filter(|host| domain_peers.contains(host)) else {
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
        template: &HandOffPart,
        records: Vec<HandOffRecord>,
        buckets: &BucketSet,
    ) {
        let numbers: Vec<_> = buckets.iter().map(Bucket::number).collect();
        let mut parts: Vec<_> = numbers
            .chunks(BUCKETS_IN_PART)
            .map(|chunk| HandOffPart {
                buckets: chunk.to_vec(),
                ..template.clone()
            })
            .collect();
        parts.push(template.clone());
        let mut size_bytes = 0;
        for record in records {
            let record_bytes = record.size_bytes();
            if size_bytes > 0 && size_bytes + record_bytes > HAND_OFF_PART_BYTES {
                parts.push(template.clone());
                size_bytes = 0;
            }
            size_bytes += record_bytes;
            if let Some(part) = parts.last_mut() {
                part.records.push(record);
            }
        }
        let mut transfer = OutgoingTransfer::new(parts);
        for part in transfer.take_due_parts(self.clock.now(), false) {
            self.send(to, AttemptMessage::HandOff(part));
        }
        let key = (to.clone(), template.id);
        self.hand_off.outgoing.insert(key, transfer);
    }
}
