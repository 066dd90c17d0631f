//! Hand-over of a witness's records before a planned stop, and their return
//! to the host's next process.
//!
//! Each record goes to the host that becomes a witness of its key once the
//! list drops the stopping one. A receiver stands for the stopped witness only
//! after the sender, still alive, has confirmed that all parts arrived.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::attempt::{
    AttemptKey, AttemptMessage, ClaimEnd, ClaimId, FormerHost, HAND_OVER_PART_BYTES, HandOver,
    HandedRecord,
};

use crate::lease::Stamp;
use crate::registry::AttemptRegistry;
use crate::transfer::{Incoming, Transfer};
use crate::witness::Phase;
use crate::witnesses::{HashKey, Topology};

/// How long a sender waits for receipts before it sends parts again.
pub(crate) const RESEND_AFTER: Duration = Duration::from_millis(200);

/// How long a process that has just started asks for its records.
pub(crate) const RECOVERY_TIME: Duration = Duration::from_secs(40);

/// How long it waits at first before it asks again.
const RECOVER_AFTER: Duration = Duration::from_secs(1);

/// How far a planned stop's hand-over has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandOverProgress {
    /// The hosts that get records.
    pub receivers: usize,
    /// The hosts that hold all of theirs.
    pub completed: usize,
}

impl HandOverProgress {
    /// Reports whether nothing is left to do.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.completed == self.receivers
    }
}

/// The records for one receiver.
struct Share {
    receiver: HostId,
    records: Vec<HandedRecord>,
}

impl Share {
    const fn new(receiver: HostId) -> Self {
        Self {
            receiver,
            records: Vec::new(),
        }
    }
}

/// What has returned of one hand-over.
#[derive(Default)]
struct Returned {
    hosts: BTreeSet<HostId>,
    former_hosts: Vec<FormerHost>,
}

/// Hand-overs that this host sends or takes.
pub(crate) struct HandOverState {
    outgoing: BTreeMap<(HostId, u64), Transfer>,
    incoming: BTreeMap<(HostId, u64), Incoming>,
    returned: BTreeMap<u64, Returned>,
    recover_until: Option<Instant>,
    recover_at: Option<Instant>,
    recover_tries: u32,
}

impl HandOverState {
    pub(crate) const fn new(recover_until: Instant) -> Self {
        Self {
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            returned: BTreeMap::new(),
            recover_until: Some(recover_until),
            recover_at: None,
            recover_tries: 0,
        }
    }
}

impl AttemptRegistry {
    /// Stops vouching, and passes all records on. The process should live, and
    /// take messages and ticks, until [`Self::hand_over_progress`] is done or
    /// its time to stop is over.
    pub fn hand_over(&mut self) -> Vec<Outgoing<AttemptMessage>> {
        self.lists.refresh(&*self.clock);
        if self.witness.phase == Phase::Draining {
            return self.take_outbox();
        }
        self.witness.phase = Phase::Draining;
        self.hand_over.recover_until = None;
        let Some(topology) = self.lists.trusted(&*self.clock).cloned() else {
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
            records: Vec::new(),
        };
        log::info!("attempts: hands records over to {} hosts", receivers.len());
        for share in self.share_records(&topology, receivers) {
            self.start_transfer(&share.receiver, &template, share.records);
        }
        self.take_outbox()
    }

    /// Returns how far the hand-over has come.
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

    /// Passes the end of a claim on to the host that now holds its record.
    pub(crate) fn forward_finish(&mut self, key: AttemptKey, claim: ClaimId, end: &ClaimEnd) {
        if self.witness.phase != Phase::Draining {
            return;
        }
        let Some(topology) = self.lists.active() else {
            return;
        };
        let count = self.settings.plan.witnesses();
        let successor = topology.successor(&HashKey::new(&key), count, &self.self_id);
        let Some(successor) = successor else {
            return;
        };
        let end = end.clone();
        self.send(&successor, AttemptMessage::Finish { key, claim, end });
    }

    pub(crate) fn on_hand_over(&mut self, from: &HostId, part: HandOver) {
        if !self.witness.store.has_room_for(part.records.len()) {
            log::warn!("attempts: no room for the records of {}", part.of);
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
        let topology = incoming.topology;
        if !incoming.is_complete {
            return;
        }
        if of == self.self_id {
            if id == self.incarnation {
                self.on_returned(from, id);
            }
            return;
        }
        log::info!("attempts: holds the records of {of}");
        let known = self
            .lists
            .known()
            .find(|known| known.fingerprint() == topology);
        if let Some(known) = known.cloned() {
            self.witness.inherited.insert(of, source, known, taken);
        }
    }

    /// Returns the records of a host to its next process. This host no longer
    /// stands for it from here on.
    pub(crate) fn on_recover(&mut self, from: &HostId, incarnation: u64, topology: u64) {
        let is_same = |own: &Arc<Topology>| own.fingerprint() == topology;
        if !self.lists.trusted(&*self.clock).is_some_and(is_same) {
            return;
        }
        let Some(former_hosts) = self.lists.former_hosts(from, &*self.clock) else {
            return;
        };
        let Some(source) = self.witness.inherited.remove(from) else {
            return;
        };
        let Some(incoming) = self.hand_over.incoming.get(&(from.clone(), source)) else {
            return;
        };
        let template = HandOver {
            of: from.clone(),
            source,
            id: incarnation,
            part: 0,
            parts: 0,
            topology,
            former_hosts,
            receivers: incoming.receivers,
            is_complete: true,
            records: Vec::new(),
        };
        let records = self.witness.store.export_of(incoming.keys());
        self.start_transfer(from, &template, records);
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
    }

    /// Asks the hosts that may hold records of a former process for them.
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
            log::info!("attempts: recovered the records of the former process");
            self.witness.recover_memory();
            self.lists.recover(&returned.former_hosts, &*self.clock);
        }
    }

    /// Assigns each record to the host that becomes a witness of its key.
    fn share_records(&self, topology: &Topology, receivers: Vec<HostId>) -> Vec<Share> {
        let count = self.settings.plan.witnesses();
        let mut shares: Vec<_> = receivers.into_iter().map(Share::new).collect();
        for record in self.witness.store.export() {
            let key = HashKey::new(&record.key);
            let successor = topology.successor(&key, count, &self.self_id);
            let is_successor = |share: &Share| Some(&share.receiver) == successor.as_ref();
            // A small fleet has no spare witness; any host may keep the record.
            let keeper = shares.iter().position(is_successor).unwrap_or_default();
            if let Some(share) = shares.get_mut(keeper) {
                share.records.push(record);
            }
        }
        shares
    }

    fn start_transfer(&mut self, to: &HostId, template: &HandOver, records: Vec<HandedRecord>) {
        let mut parts = vec![template.clone()];
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
