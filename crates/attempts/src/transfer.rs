//! The sender and the receiver of one transfer of records.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use waxwingusher_core::{Clock, HostId};
use waxwingusher_protocol::attempt::{AttemptKey, FormerHost, HandOffPart};

use crate::buckets::{Bucket, BucketSet};
use crate::hand_off::RESEND_AFTER;
use crate::stamp::Stamp;

/// The most parts that are in flight without an acknowledgement.
const MAX_PARTS_IN_FLIGHT: usize = 4;

/// The most times that a receiver repeats its last acknowledgement while no
/// commit arrives.
const MAX_REPEATED_ACKS: u32 = 20;

/// The sender's state of a transfer.
pub(crate) struct OutgoingTransfer {
    parts: Vec<HandOffPart>,
    acked: BTreeSet<usize>,
    next: usize,
    last_sent: Option<Instant>,
}

impl OutgoingTransfer {
    pub(crate) fn new(mut parts: Vec<HandOffPart>) -> Self {
        let total = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        for (number, part) in parts.iter_mut().enumerate() {
            part.part = u32::try_from(number).unwrap_or(u32::MAX);
            part.parts = total;
        }
        Self {
            parts,
            acked: BTreeSet::new(),
            next: 0,
            last_sent: None,
        }
    }

    pub(crate) fn on_ack(&mut self, part: u32) {
        let number = part as usize;
        if number < self.next {
            self.acked.insert(number);
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.acked.len() == self.parts.len()
    }

    /// Returns the parts to send now: new ones, and if `resend_late` is set those
    /// whose acknowledgement is overdue.
    pub(crate) fn take_due_parts(&mut self, now: Instant, resend_late: bool) -> Vec<HandOffPart> {
        let mut due = Vec::new();
        let is_late = self.last_sent.is_some_and(|at| now >= at + RESEND_AFTER);
        if resend_late && is_late {
            let unacked = (0..self.next).filter(|number| !self.acked.contains(number));
            due.extend(unacked.map(|number| self.parts[number].clone()));
        }
        while self.next < self.parts.len() && self.next - self.acked.len() < MAX_PARTS_IN_FLIGHT {
            due.push(self.parts[self.next].clone());
            self.next += 1;
        }
        if !due.is_empty() {
            self.last_sent = Some(now);
        }
        due
    }
}

/// The receiver's state of a transfer.
pub(crate) struct IncomingTransfer {
    pub(crate) owner: HostId,
    pub(crate) source: u64,
    pub(crate) topology: u64,
    pub(crate) former_hosts: Vec<FormerHost>,
    pub(crate) receivers: u32,
    pub(crate) is_complete: bool,
    /// Whether the list names the receiver as a witness of the keys.
    pub(crate) is_reassignment: bool,
    pub(crate) buckets: BucketSet,
    parts: u32,
    received: BTreeSet<u32>,
    keys: Vec<AttemptKey>,
    last_part: u32,
    completed_at: Option<Stamp>,
    is_committed: bool,
    acked_at: Option<Instant>,
    repeated_acks: u32,
}

impl IncomingTransfer {
    pub(crate) fn new(first: &HandOffPart) -> Self {
        Self {
            owner: first.of.clone(),
            source: first.source,
            topology: first.topology,
            former_hosts: first.former_hosts.clone(),
            receivers: first.receivers,
            is_complete: first.is_complete,
            is_reassignment: first.to_incarnation.is_some(),
            buckets: BucketSet::default(),
            parts: first.parts,
            received: BTreeSet::new(),
            keys: Vec::new(),
            last_part: 0,
            completed_at: None,
            is_committed: false,
            acked_at: None,
            repeated_acks: 0,
        }
    }

    /// Records a part, and reports whether it is new.
    pub(crate) fn record_part(&mut self, part: &HandOffPart, now: Stamp) -> bool {
        if part.part >= self.parts || !self.received.insert(part.part) {
            return false;
        }
        self.keys
            .extend(part.records.iter().map(|record| record.key));
        for number in &part.buckets {
            self.buckets.insert(Bucket::from_number(*number));
        }
        if self.received.len() == self.parts as usize {
            self.completed_at = Some(now);
            self.last_part = part.part;
            self.acked_at = Some(now.monotonic());
        }
        true
    }

    /// Records the sender's commit. On the first one it returns when the last
    /// part was received.
    pub(crate) fn commit(&mut self) -> Option<Stamp> {
        if self.is_committed {
            return None;
        }
        let completed_at = self.completed_at?;
        self.is_committed = true;
        Some(completed_at)
    }

    pub(crate) fn keys(&self) -> &[AttemptKey] {
        &self.keys
    }

    /// Returns the part whose acknowledgement must be repeated now.
    pub(crate) fn take_due_ack(&mut self, now: Instant) -> Option<u32> {
        if self.is_committed || self.repeated_acks >= MAX_REPEATED_ACKS {
            return None;
        }
        if now < self.acked_at? + RESEND_AFTER {
            return None;
        }
        self.acked_at = Some(now);
        self.repeated_acks += 1;
        Some(self.last_part)
    }

    pub(crate) fn is_older_than(&self, term: Duration, clock: &dyn Clock) -> bool {
        let completed_at = self.completed_at;
        completed_at.is_some_and(|completed_at| completed_at.shortest_age(clock) > term)
    }
}
