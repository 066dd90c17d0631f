//! Records that a witness has taken over from other hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{Clock, HostId};

use crate::buckets::{Bucket, BucketSet};
use crate::lists::ListTracker;
use crate::placement::{HashKey, Topology};
use crate::settings::AttemptSettings;
use crate::stamp::Stamp;

/// Why records were taken over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TakeoverReason {
    /// The other host stopped, and this one replaces it as a witness.
    Stopped,
    /// The list names this host as a witness of the keys: the other host keeps
    /// running, or the records are those of a former process of this host.
    Reassigned,
}

/// Records that were taken over from another host.
pub(crate) struct Takeover {
    /// The host whose records they were.
    pub(crate) owner: HostId,
    /// The hand-off that the records came with.
    pub(crate) source: u64,
    pub(crate) reason: TakeoverReason,
    /// The list by which the sender divided its records among the receivers.
    pub(crate) topology: Arc<Topology>,
    /// Whether the stopped host's records covered the whole coverage time.
    pub(crate) is_complete: bool,
    /// The buckets for which the records are complete, whatever lists were in
    /// use before the hand-off.
    pub(crate) buckets: BucketSet,
    /// When the last part arrived. By then the sender no longer granted claims
    /// on these keys.
    pub(crate) received_at: Stamp,
}

impl Takeover {
    /// Reports whether this host replaces one of a key's witnesses.
    fn replaces_witness(
        &self,
        self_id: &HostId,
        topology: &Topology,
        key: &HashKey,
        count: usize,
    ) -> bool {
        if self.reason != TakeoverReason::Stopped || !topology.is_witness(key, count, &self.owner) {
            return false;
        }
        let successor = self.topology.successor(key, count, &self.owner);
        successor.as_ref() == Some(self_id)
    }
}

struct TrackedTakeover {
    takeover: Takeover,
    /// When this host learned that the list had dropped the stopped host, if
    /// that was before a new process of it could vouch with its own records.
    dropped_at: Option<Instant>,
}

impl TrackedTakeover {
    /// Records when the list has dropped the stopped host.
    fn record_drop(&mut self, settings: &AttemptSettings, lists: &ListTracker, clock: &dyn Clock) {
        if self.dropped_at.is_some() {
            return;
        }
        let age = self.takeover.received_at.longest_age(clock);
        let limit = settings
            .takeover_term()
            .saturating_sub(settings.list_change());
        let trusted = lists.trusted(clock);
        let is_dropped = trusted.is_some_and(|list| !list.contains(&self.takeover.owner));
        if age <= limit && is_dropped {
            self.dropped_at = Some(clock.now());
        }
    }

    /// Reports whether the records may still be used to vouch.
    fn is_valid(&self, settings: &AttemptSettings, lists: &ListTracker, age: Duration) -> bool {
        if age > 2 * settings.coverage() {
            return false;
        }
        if self.takeover.reason == TakeoverReason::Reassigned || age <= settings.takeover_term() {
            return true;
        }
        let owner = &self.takeover.owner;
        let since = |at| !lists.since(at).any(|list| list.contains(owner));
        self.dropped_at.is_some_and(since)
    }
}

/// All records that this host has taken over.
#[derive(Default)]
pub(crate) struct Takeovers {
    entries: Vec<TrackedTakeover>,
}

impl Takeovers {
    /// Adds records. Complete records of a host replace older ones of the host.
    pub(crate) fn insert(&mut self, takeover: Takeover) {
        if takeover.is_complete {
            self.entries.retain(|entry| {
                !entry.takeover.is_complete || entry.takeover.owner != takeover.owner
            });
        }
        self.entries.push(TrackedTakeover {
            takeover,
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
            entry.record_drop(settings, lists, clock);
            let age = entry.takeover.received_at.longest_age(clock);
            entry.is_valid(settings, lists, age)
        });
    }

    /// Removes and returns the takeovers from a stopped host that takes its
    /// records back.
    pub(crate) fn remove(&mut self, host: &HostId) -> Vec<Takeover> {
        let is_from = |entry: &mut TrackedTakeover| {
            entry.takeover.owner == *host && entry.takeover.reason == TakeoverReason::Stopped
        };
        let removed = self.entries.extract_if(.., is_from);
        removed.map(|entry| entry.takeover).collect()
    }

    /// Reports whether any takeover has complete records of a bucket.
    pub(crate) fn has_complete_buckets(&self) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| !entry.takeover.buckets.is_empty())
    }

    /// Reports whether this host replaces one of a key's witnesses whose records
    /// covered the whole coverage time.
    pub(crate) fn replaces_complete_witness(
        &self,
        self_id: &HostId,
        topology: &Topology,
        key: &HashKey,
        count: usize,
    ) -> bool {
        let mut entries = self.entries.iter().map(|entry| &entry.takeover);
        entries.any(|takeover| {
            takeover.is_complete && takeover.replaces_witness(self_id, topology, key, count)
        })
    }

    /// Reports whether this host took over complete records of a bucket, and has
    /// been its witness, or replaced its witness, ever since.
    pub(crate) fn covers_bucket(
        &self,
        self_id: &HostId,
        bucket: Bucket,
        present: Option<&Topology>,
        lists: &ListTracker,
        count: usize,
    ) -> bool {
        let key = HashKey::of_bucket(bucket);
        let mut entries = self.entries.iter().map(|entry| &entry.takeover);
        entries.any(|takeover| {
            if !takeover.buckets.contains(bucket) {
                return false;
            }
            let received_at = takeover.received_at.monotonic();
            let former = lists.former_since(received_at).map(|topology| &**topology);
            let mut used = former.chain(present);
            let is_served = |topology: &Topology| {
                topology.is_witness(&key, count, self_id)
                    || takeover.replaces_witness(self_id, topology, &key, count)
            };
            lists.is_unbroken_since(received_at) && used.all(is_served)
        })
    }
}
