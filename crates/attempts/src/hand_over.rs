//! Hand-over of a witness's records before a planned stop, and their return
//! to the host's next process.
//!
//! Each record goes to the host that becomes a witness of its key once the
//! list drops the stopping one. A receiver stands for the stopped witness only
//! after the sender, still alive, has confirmed that all parts arrived.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::attempt::{
    AttemptKey, AttemptMessage, ClaimEnd, ClaimId, HAND_OVER_PART_BYTES, HandOver, HandedRecord,
};

use crate::lease::Stamp;
use crate::registry::AttemptRegistry;
use crate::transfer::{Incoming, Transfer};
use crate::witness::Phase;
use crate::witnesses::{HashKey, Topology};

/// How long a sender waits for receipts before it sends parts again.
pub(crate) const RESEND_AFTER: Duration = Duration::from_millis(200);

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

/// Hand-overs that this host sends or takes.
pub(crate) struct HandOverState {
    outgoing: BTreeMap<(HostId, u64), Transfer>,
    incoming: BTreeMap<(HostId, u64), Incoming>,
    returned: BTreeMap<u64, BTreeSet<HostId>>,
    recover_until: Option<Instant>,
    recover_at: Option<Instant>,
}

impl HandOverState {
    pub(crate) const fn new(recover_until: Instant) -> Self {
        Self {
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            returned: BTreeMap::new(),
            recover_until: Some(recover_until),
            recover_at: None,
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
        let mut shares: BTreeMap<HostId, Vec<HandedRecord>> = receivers
            .iter()
            .map(|host| (host.clone(), Vec::new()))
            .collect();
        for record in self.witness.store.export() {
            let key = HashKey::new(&record.key);
            let successor = topology.successor(&key, count, &self.self_id);
            // A small fleet has no spare witness; any host may keep the record.
            let Some(keeper) = successor.or_else(|| receivers.first().cloned()) else {
                continue;
            };
            if let Some(share) = shares.get_mut(&keeper) {
                share.push(record);
            }
        }
        let source = self.rng.u64(..);
        let template = HandOver {
            of: self.self_id.clone(),
            source,
            id: source,
            part: 0,
            parts: 0,
            topology: topology.fingerprint(),
            receivers: u32::try_from(receivers.len()).unwrap_or(u32::MAX),
            is_complete: self.witness.is_covered(&self.lists, self.clock.now()),
            records: Vec::new(),
        };
        log::info!(
            "attempts: hands its records over to {} hosts",
            receivers.len()
        );
        for (host, records) in shares {
            self.start_transfer(&host, &template, records);
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
        let (topology, receivers) = (incoming.topology, incoming.receivers);
        if !incoming.is_complete {
            return;
        }
        if of == self.self_id {
            if id == self.incarnation {
                self.on_returned(from, source, topology, receivers);
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
    pub(crate) fn on_recover(&mut self, from: &HostId, incarnation: u64) {
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
            topology: incoming.topology,
            receivers: incoming.receivers,
            is_complete: self.lists.is_unbroken(self.clock.now())
                && self.is_list_unchanged(incoming.topology),
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
        for host in topology.successors(count, &self.self_id) {
            self.send(&host, AttemptMessage::Recover);
        }
        let attempts_left = until.saturating_duration_since(now) / 2;
        self.hand_over.recover_at = Some(now + attempts_left.max(RESEND_AFTER));
    }

    fn on_returned(&mut self, from: &HostId, source: u64, topology: u64, receivers: u32) {
        let is_same = self.is_list_unchanged(topology);
        let returned = self.hand_over.returned.entry(source).or_default();
        returned.insert(from.clone());
        if !is_same || returned.len() < receivers as usize {
            return;
        }
        if self.hand_over.recover_until.take().is_some() {
            log::info!("attempts: recovered the records of the former process");
            self.witness.recover_memory();
            self.lists.recover();
        }
    }

    /// Reports whether only this list was in use within the coverage.
    fn is_list_unchanged(&self, topology: u64) -> bool {
        let is_same = |known: &std::sync::Arc<Topology>| known.fingerprint() == topology;
        self.lists.trusted(&*self.clock).is_some() && self.lists.known().all(is_same)
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
