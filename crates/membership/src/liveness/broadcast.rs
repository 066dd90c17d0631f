//! Updates that are piggybacked on other messages, each a limited number of times.

use std::collections::BTreeMap;

use waxwingusher_core::HostId;
use waxwingusher_protocol::gossip::{LivenessUpdate, ReportedLiveness};

const TRANSMISSIONS_PER_DECADE: u32 = 3;

// A host that misses the update on a new process learns of it from the process.
const NEW_PROCESS_DIVISOR: u32 = 3;

/// The updates that a message may carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Selection {
    /// All updates.
    All,
    /// Suspicions, deaths and refutations, but not new processes.
    Urgent,
}

#[derive(Debug)]
struct Entry {
    update: LivenessUpdate,
    sent: u32,
}

/// The update of each host that is still disseminated.
#[derive(Debug, Default)]
pub(super) struct BroadcastQueue {
    entries: BTreeMap<HostId, Entry>,
}

impl BroadcastQueue {
    /// Adds an update, in place of an older one on the same host.
    pub(super) fn push(&mut self, update: LivenessUpdate) {
        let entry = Entry { update, sent: 0 };
        self.entries.insert(entry.update.host.clone(), entry);
    }

    /// Reports whether there is an urgent update that was never sent.
    pub(super) fn has_unsent(&self) -> bool {
        let mut urgent = self.entries.values().filter(|entry| entry.is_urgent());
        urgent.any(|entry| entry.sent == 0)
    }

    pub(super) fn forget(&mut self, host: &HostId) {
        self.entries.remove(host);
    }

    /// Returns the updates that were sent the least, for one message. Urgent
    /// updates go first.
    pub(super) fn take(
        &mut self,
        count: usize,
        selection: Selection,
        fleet_size: usize,
    ) -> Vec<LivenessUpdate> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        let limit = transmissions(fleet_size);
        let is_selected = |entry: &Entry| selection == Selection::All || entry.is_urgent();
        let entries = self.entries.values_mut();
        let mut chosen: Vec<_> = entries.filter(|entry| is_selected(entry)).collect();
        chosen.sort_by_key(|entry| (!entry.is_urgent(), entry.sent));
        chosen.truncate(count);
        let mut updates = Vec::with_capacity(chosen.len());
        for entry in chosen {
            entry.sent += 1;
            updates.push(entry.update.clone());
        }
        self.entries
            .retain(|_, entry| entry.sent < entry.limit(limit));
        updates
    }
}

impl Entry {
    fn is_urgent(&self) -> bool {
        self.update.liveliness != ReportedLiveness::Alive || self.update.refutation > 0
    }

    fn limit(&self, transmissions: u32) -> u32 {
        if self.is_urgent() {
            transmissions
        } else {
            transmissions / NEW_PROCESS_DIVISOR
        }
    }
}

// Grows with the logarithm of the fleet size, so that updates reach every host.
fn transmissions(fleet_size: usize) -> u32 {
    let decades = (fleet_size + 1).ilog10() + 1;
    decades * TRANSMISSIONS_PER_DECADE
}
