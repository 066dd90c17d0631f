//! News that is passed on with other messages, each a limited number of times.

use std::collections::BTreeMap;

use waxwingusher_core::HostId;
use waxwingusher_protocol::gossip::{Liveliness, LivenessUpdate};

const TRANSMISSIONS_PER_DECADE: u32 = 3;

#[derive(Debug)]
struct Entry {
    update: LivenessUpdate,
    sent: u32,
}

/// The news of each host that is still passed on.
#[derive(Debug, Default)]
pub(super) struct BroadcastQueue {
    entries: BTreeMap<HostId, Entry>,
}

impl BroadcastQueue {
    /// Adds news, in place of older news of the same host.
    pub(super) fn push(&mut self, update: LivenessUpdate) {
        let entry = Entry { update, sent: 0 };
        self.entries.insert(entry.update.host.clone(), entry);
    }

    /// Reports whether there is news that was never sent.
    pub(super) fn has_unsent(&self) -> bool {
        self.entries.values().any(|entry| entry.sent == 0)
    }

    pub(super) fn forget(&mut self, host: &HostId) {
        self.entries.remove(host);
    }

    /// Takes the news that was sent the least, for one message. Suspicions and
    /// objections go before restarts.
    pub(super) fn take(&mut self, count: usize, fleet_size: usize) -> Vec<LivenessUpdate> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        let limit = transmissions(fleet_size);
        let mut chosen: Vec<_> = self.entries.values_mut().collect();
        chosen.sort_by_key(|entry| (entry.sent, is_restart(&entry.update)));
        chosen.truncate(count);
        let mut updates = Vec::with_capacity(chosen.len());
        for entry in chosen {
            entry.sent += 1;
            updates.push(entry.update.clone());
        }
        self.entries.retain(|_, entry| entry.sent < limit);
        updates
    }
}

fn is_restart(update: &LivenessUpdate) -> bool {
    update.liveliness == Liveliness::Alive && update.refutation == 0
}

// Grows with the logarithm of the fleet, so that news reaches every host.
fn transmissions(fleet_size: usize) -> u32 {
    let decades = (fleet_size + 1).ilog10() + 1;
    decades * TRANSMISSIONS_PER_DECADE
}
