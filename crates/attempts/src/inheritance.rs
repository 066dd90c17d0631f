//! Records that a witness has taken over from other hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{Clock, HostId};

use crate::buckets::{Bucket, BucketSet};
use crate::lease::Stamp;
use crate::lists::ListTracker;
use crate::settings::AttemptSettings;
use crate::witnesses::{HashKey, Topology};

/// Why records were taken over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The other host stopped, and this one replaces it as a witness.
    Stopped,
    /// The list names this host as a witness of the keys: the other host keeps
    /// running, or the records are those of a former process of this host.
    Given,
}

/// Records that were taken over from another host.
pub(crate) struct Inheritance {
    /// The host whose records they were.
    pub(crate) of: HostId,
    /// The hand-off that the records came with.
    pub(crate) source: u64,
    pub(crate) origin: Origin,
    /// The list by which the sender divided its records among the receivers.
    pub(crate) topology: Arc<Topology>,
    /// Whether the stopped host's records covered the whole coverage time.
    pub(crate) is_complete: bool,
    /// The buckets for which the records are complete, whatever lists were in
    /// use before the hand-off.
    pub(crate) buckets: BucketSet,
    /// When the last part arrived. By then the sender no longer granted claims
    /// on these keys.
    pub(crate) taken: Stamp,
}

impl Inheritance {
    /// Reports whether this host replaces one of a key's witnesses.
    fn stands_in(
        &self,
        self_id: &HostId,
        topology: &Topology,
        key: &HashKey,
        count: usize,
    ) -> bool {
        if self.origin != Origin::Stopped || !topology.is_witness(key, count, &self.of) {
            return false;
        }
        let successor = self.topology.successor(key, count, &self.of);
        successor.as_ref() == Some(self_id)
    }
}

struct Entry {
    inheritance: Inheritance,
    /// When this host learned that the list had dropped the stopped host, if
    /// that was before a new process of it could vouch with its own records.
    dropped_at: Option<Instant>,
}

impl Entry {
    /// Records when the list has dropped the stopped host.
    fn note_drop(&mut self, settings: &AttemptSettings, lists: &ListTracker, clock: &dyn Clock) {
        if self.dropped_at.is_some() {
            return;
        }
        let age = self.inheritance.taken.longest_age(clock);
        let limit = settings
            .inheritance_term()
            .saturating_sub(settings.list_change());
        let trusted = lists.trusted(clock);
        let is_dropped = trusted.is_some_and(|list| !list.contains(&self.inheritance.of));
        if age <= limit && is_dropped {
            self.dropped_at = Some(clock.now());
        }
    }

    /// Reports whether the records may still be used to vouch.
    fn is_current(&self, settings: &AttemptSettings, lists: &ListTracker, age: Duration) -> bool {
        if age > 2 * settings.coverage() {
            return false;
        }
        if self.inheritance.origin == Origin::Given || age <= settings.inheritance_term() {
            return true;
        }
        let of = &self.inheritance.of;
        let since = |at| !lists.since(at).any(|list| list.contains(of));
        self.dropped_at.is_some_and(since)
    }
}

/// All records that this host has taken over.
#[derive(Default)]
pub(crate) struct Inheritances {
    entries: Vec<Entry>,
}

impl Inheritances {
    /// Adds records. Complete records of a host replace older ones of the host.
    pub(crate) fn insert(&mut self, inheritance: Inheritance) {
        if inheritance.is_complete {
            self.entries.retain(|entry| {
                !entry.inheritance.is_complete || entry.inheritance.of != inheritance.of
            });
        }
        self.entries.push(Entry {
            inheritance,
            dropped_at: None,
        });
    }

    /// Drops takeovers that a new process of the former host may have made
    /// obsolete, and those that this host's own records cover by now.
    pub(crate) fn expire(
        &mut self,
        settings: &AttemptSettings,
        lists: &ListTracker,
        clock: &dyn Clock,
    ) {
        self.entries.retain_mut(|entry| {
            entry.note_drop(settings, lists, clock);
            let age = entry.inheritance.taken.longest_age(clock);
            entry.is_current(settings, lists, age)
        });
    }

    /// Removes and returns the takeovers from a stopped host that takes its
    /// records back.
    pub(crate) fn remove(&mut self, host: &HostId) -> Vec<Inheritance> {
        let is_of = |entry: &mut Entry| {
            entry.inheritance.of == *host && entry.inheritance.origin == Origin::Stopped
        };
        let removed = self.entries.extract_if(.., is_of);
        removed.map(|entry| entry.inheritance).collect()
    }

    /// Reports whether any takeover has complete records of a bucket.
    pub(crate) fn has_buckets(&self) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| !entry.inheritance.buckets.is_empty())
    }

    /// Reports whether this host replaces one of a key's witnesses whose records
    /// covered the whole coverage time.
    pub(crate) fn represents(
        &self,
        self_id: &HostId,
        topology: &Topology,
        key: &HashKey,
        count: usize,
    ) -> bool {
        let mut entries = self.entries.iter().map(|entry| &entry.inheritance);
        entries.any(|one| one.is_complete && one.stands_in(self_id, topology, key, count))
    }

    /// Reports whether this host took over complete records of a bucket, and has
    /// been its witness, or replaced its witness, ever since.
    pub(crate) fn holds(
        &self,
        self_id: &HostId,
        bucket: Bucket,
        present: Option<&Topology>,
        lists: &ListTracker,
        count: usize,
    ) -> bool {
        let key = HashKey::of_bucket(bucket);
        let mut entries = self.entries.iter().map(|entry| &entry.inheritance);
        entries.any(|one| {
            if !one.buckets.contains(bucket) {
                return false;
            }
            let taken = one.taken.monotonic();
            let former = lists.former_since(taken).map(|topology| &**topology);
            let mut used = former.chain(present);
            let is_served = |topology: &Topology| {
                topology.is_witness(&key, count, self_id)
                    || one.stands_in(self_id, topology, &key, count)
            };
            lists.is_unbroken_since(taken) && used.all(is_served)
        })
    }
}
