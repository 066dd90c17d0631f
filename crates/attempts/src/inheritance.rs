//! Memory that a witness took over from other hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{Clock, HostId};

use crate::buckets::{Bucket, BucketSet};
use crate::lease::Stamp;
use crate::lists::ListTracker;
use crate::settings::AttemptSettings;
use crate::witnesses::{HashKey, Topology};

/// How a host came to its memory of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The other host stopped; this one stands for it.
    Stopped,
    /// The other host goes on, or the memory is that of a former process of
    /// this host: the list names this host for the keys.
    Given,
}

/// The memory of another host.
pub(crate) struct Inheritance {
    /// The host whose memory it was.
    pub(crate) of: HostId,
    /// The hand-over by which it came.
    pub(crate) source: u64,
    pub(crate) origin: Origin,
    /// The list by which the memory was shared.
    pub(crate) topology: Arc<Topology>,
    /// Whether the stopped host's memory reached back over the coverage.
    pub(crate) is_complete: bool,
    /// The buckets for which the memory is complete, whatever lists were in
    /// use before it came.
    pub(crate) buckets: BucketSet,
    /// When the last part came. The sender granted nothing of it any more.
    pub(crate) taken: Stamp,
}

impl Inheritance {
    /// Reports whether this host stands for one of a key's witnesses.
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
    /// When this host knew that the list had dropped the stopped host, before a
    /// new process of it could vouch by its age.
    dropped_at: Option<Instant>,
}

impl Entry {
    /// Notes whether the list has dropped the stopped host.
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

    /// Reports whether the memory may still be used.
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

/// All memory that this host took over.
#[derive(Default)]
pub(crate) struct Inheritances {
    entries: Vec<Entry>,
}

impl Inheritances {
    /// Adds memory. A host's complete memory takes the place of an older one.
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

    /// Forgets memory that a new process of the host may have outgrown, and
    /// memory that this host's own has outgrown.
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

    /// Forgets a stopped host's memory, since the host takes it back.
    pub(crate) fn remove(&mut self, host: &HostId) -> Vec<Inheritance> {
        let is_of = |entry: &mut Entry| {
            entry.inheritance.of == *host && entry.inheritance.origin == Origin::Stopped
        };
        let removed = self.entries.extract_if(.., is_of);
        removed.map(|entry| entry.inheritance).collect()
    }

    /// Reports whether this host has complete memory of some bucket.
    pub(crate) fn has_buckets(&self) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| !entry.inheritance.buckets.is_empty())
    }

    /// Reports whether this host stands for one of a key's witnesses whose
    /// memory reached back over the coverage.
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

    /// Reports whether this host has complete memory of a bucket that came to
    /// it, and has been its witness, or stood for it, ever since.
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
