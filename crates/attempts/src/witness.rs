//! The witness: grants claims on keys and keeps their records. It vouches for a
//! key, and so may grant a claim on it, only while its records of the key are
//! complete over the window.

use std::sync::Arc;
use std::time::Instant;

use waxwingusher_core::{Clock, HostId};
use waxwingusher_protocol::attempt::{
    AttemptKey, CannotVouchReason, Claim, ClaimEnd, ClaimId, Verdict,
};

use crate::buckets::{Bucket, BucketSet};
use crate::lists::ListTracker;
use crate::placement::{HashKey, Topology, WitnessSet, quorum_of};
use crate::records::RecordStore;
use crate::settings::AttemptSettings;
use crate::takeover::{Takeover, Takeovers};

/// Whether the witness still grants claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Serving,
    Draining,
}

/// The lists under which a host must have been a witness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListScope {
    /// All lists within the coverage.
    All,
    /// All but the list in use, which names another host.
    Former,
}

/// The witness of one host: its records and which keys they cover.
pub(crate) struct Witness {
    self_id: HostId,
    settings: AttemptSettings,
    pub(crate) store: RecordStore,
    pub(crate) takeovers: Takeovers,
    pub(crate) phase: Phase,
    /// Buckets whose records were handed off and have not been returned.
    handed_off: BucketSet,
    records_since: Option<Instant>,
}

impl Witness {
    pub(crate) fn new(self_id: HostId, settings: AttemptSettings, clock: &dyn Clock) -> Self {
        let now = clock.now();
        let opens_later = settings.opened_at.is_some_and(|at| clock.wall() < at);
        Self {
            self_id,
            settings,
            store: RecordStore::new(settings, now),
            takeovers: Takeovers::default(),
            phase: Phase::Serving,
            handed_off: BucketSet::default(),
            records_since: (!opens_later).then_some(now),
        }
    }

    /// Returns the verdict on a claim. A claim is recorded before it is granted.
    pub(crate) fn on_claim(
        &mut self,
        claim: &Claim,
        lists: &ListTracker,
        clock: &dyn Clock,
    ) -> Verdict {
        let now = clock.now();
        self.store.expire(now);
        self.expire_takeovers(lists, clock);
        let known = self.store.look_up(claim, now);
        match known {
            None | Some(Verdict::OtherBody) => {}
            Some(verdict) => return verdict,
        }
        if self.phase == Phase::Draining {
            return Verdict::CannotVouch(CannotVouchReason::Draining);
        }
        if let Err(reason) = self.vouch(claim, lists, clock) {
            return Verdict::CannotVouch(reason);
        }
        known.unwrap_or_else(|| self.store.record(claim, now))
    }

    pub(crate) fn on_finish(
        &mut self,
        key: AttemptKey,
        claim: ClaimId,
        end: ClaimEnd,
        clock: &dyn Clock,
    ) {
        self.store.finish(key, claim, end, clock.now());
    }

    /// Reports whether the records reach back over the whole coverage time, and
    /// all lists in use since then are known.
    pub(crate) fn is_covered(&self, lists: &ListTracker, now: Instant) -> bool {
        let coverage = self.settings.coverage();
        let since = self.records_since;
        let has_records =
            since.is_none_or(|since| now.saturating_duration_since(since) >= coverage);
        has_records && lists.is_unbroken(now)
    }

    /// Treats the records as complete: those of this host's former process have
    /// been returned.
    pub(crate) fn mark_recovered(&mut self) {
        self.records_since = None;
    }

    /// Adds the records that were taken over from another host.
    pub(crate) fn take_over(&mut self, takeover: Takeover) {
        self.handed_off.remove_all(&takeover.buckets);
        self.takeovers.insert(takeover);
    }

    pub(crate) fn expire_takeovers(&mut self, lists: &ListTracker, clock: &dyn Clock) {
        self.takeovers.expire(&self.settings, lists, clock);
    }

    /// Marks buckets as handed off to another host, so that the records of a
    /// bucket are handed off only once.
    pub(crate) fn mark_handed_off(&mut self, buckets: &BucketSet) {
        for bucket in buckets.iter() {
            self.handed_off.insert(bucket);
        }
    }

    pub(crate) fn has_handed_off(&self, bucket: Bucket) -> bool {
        self.handed_off.contains(bucket)
    }

    /// Reports whether the records contain every grant that a claimant may have
    /// got for a bucket within the window, under the lists of the scope. Records
    /// from another host count only if all lists have the same failure domains.
    pub(crate) fn covers_bucket(
        &self,
        bucket: Bucket,
        scope: ListScope,
        lists: &ListTracker,
        now: Instant,
    ) -> bool {
        let count = self.settings.plan.witness_count();
        let present = lists.active().filter(|_| scope == ListScope::All);
        let key = HashKey::of_bucket(bucket);
        let mut used = lists.former().chain(present);
        let is_served = |topology: &Arc<Topology>| {
            topology.is_witness(&key, count, &self.self_id)
                || self
                    .takeovers
                    .replaces_complete_witness(&self.self_id, topology, &key, count)
        };
        if self.is_covered(lists, now) && used.all(is_served) {
            return true;
        }
        let present = present.map(|topology| &**topology);
        !self.handed_off.contains(bucket)
            && lists.has_fixed_domains()
            && self
                .takeovers
                .covers_bucket(&self.self_id, bucket, present, lists, count)
    }

    /// Checks that the claimant's quorum shares a witness with every quorum that
    /// may have granted the key within the window, and that the records of this
    /// witness are complete for the key.
    fn vouch(
        &self,
        claim: &Claim,
        lists: &ListTracker,
        clock: &dyn Clock,
    ) -> Result<(), CannotVouchReason> {
        if lists.trusted(clock).is_none() {
            return Err(CannotVouchReason::ListStale);
        }
        let now = clock.now();
        if !self.is_covered(lists, now) && !self.takeovers.has_complete_buckets() {
            return Err(CannotVouchReason::NotCovered);
        }
        let bucket = Bucket::of(&claim.key, self.settings.buckets);
        let key = HashKey::of_bucket(bucket);
        let Some(asked) = self.claimed_set(claim, &key, lists) else {
            return Err(CannotVouchReason::OtherWitnesses);
        };
        let count = self.settings.plan.witness_count();
        for topology in lists.in_coverage() {
            let used = topology.witness_count(count);
            if asked.quorum() + quorum_of(used) <= used {
                return Err(CannotVouchReason::NotCovered);
            }
        }
        if !self.covers_bucket(bucket, ListScope::All, lists, now) {
            return Err(CannotVouchReason::NotCovered);
        }
        Ok(())
    }

    /// Returns the claimant's witnesses if a known list yields them.
    fn claimed_set(&self, claim: &Claim, key: &HashKey, lists: &ListTracker) -> Option<WitnessSet> {
        let count = self.settings.plan.witness_count();
        let newest_first = lists.known().rev();
        let sets = newest_first.map(|topology| topology.witnesses(key, count));
        sets.filter(|set| set.contains(&self.self_id))
            .find(|set| set.fingerprint() == claim.witness_set)
    }
}
