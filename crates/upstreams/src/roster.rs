//! The instances that a live feed lists, apart from the configuration.
//!
//! While the feed is unavailable, entries of running instances may lapse. A removal
//! therefore counts only once the feed has been back for [`LAPSE_GRACE`]; an
//! instance that is still missing then has left. If only this host had lost the
//! feed, no entry lapsed, and a peer that received the removal without losing the
//! feed confirms it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, InstanceId, ServiceName};

/// How long a missing entry may reappear after the feed is restored. The feed
/// guarantees that entries of running instances reappear within about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_100);

/// Whether an instance takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterState {
    /// The instance takes requests.
    Ready,
    /// The instance is leaving and takes no new requests.
    Draining,
}

/// The feed's entry of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterEntry {
    /// The identity that requests must name; the instance checks it.
    pub id: InstanceId,
    /// Distinguishes the starts of an instance under the same identity.
    pub incarnation: u64,
    /// The service.
    pub service: ServiceName,
    /// The address for requests.
    pub addr: SocketAddr,
    /// The failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// The version of its software.
    pub software: Arc<str>,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: RosterState,
    /// The remaining time during which it is slow after its start.
    pub cold_for: Duration,
}

/// A change of one entry in the feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// The entry was written.
    Put(RosterEntry),
    /// The entry was removed.
    Removed(InstanceId),
    /// The entry was overwritten with a value that describes no instance.
    Unusable(InstanceId),
}

/// The effect of a change on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterEffect {
    /// An instance, or a new incarnation of one, was listed.
    Joined,
    /// An instance began to drain.
    Draining,
    /// An instance left, or its entry became unusable.
    Left,
    /// An entry was removed while removals are not trusted; the instance stays
    /// listed for now.
    Held,
    /// The change does not affect requests.
    Unchanged,
}

/// An instance in the roster.
#[derive(Debug, Clone)]
pub struct ListedInstance {
    /// The latest entry.
    pub entry: RosterEntry,
    /// The end of the slow phase after its start.
    pub warm_at: Instant,
    /// When the entry was last written.
    pub updated_at: Instant,
    /// The position of the feed at which the entry was removed, if it was.
    removed_at_position: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FeedHealth {
    Trusted,
    Lost,
    /// The feed is back, but lapsed entries may reappear until this time.
    Restoring(Instant),
}

/// All instances that may take requests.
#[derive(Debug)]
pub struct Roster {
    instances: BTreeMap<InstanceId, ListedInstance>,
    feed: FeedHealth,
    /// The highest position that a peer has followed without a gap.
    confirmed_position: u64,
}

impl Default for Roster {
    fn default() -> Self {
        Self {
            instances: BTreeMap::new(),
            feed: FeedHealth::Lost,
            confirmed_position: 0,
        }
    }
}

impl Roster {
    /// Records that the feed did not answer or returned an error.
    pub fn mark_feed_lost(&mut self) {
        self.feed = FeedHealth::Lost;
    }

    /// Records that the feed answers again.
    pub fn mark_feed_restored(&mut self, now: Instant) {
        if self.feed == FeedHealth::Lost {
            self.feed = FeedHealth::Restoring(now + LAPSE_GRACE);
        }
    }

    /// Reports whether a removal means that the instance has left.
    #[must_use]
    pub fn trusts_removals(&self, now: Instant) -> bool {
        match self.feed {
            FeedHealth::Trusted => true,
            FeedHealth::Lost => false,
            FeedHealth::Restoring(until) => now >= until,
        }
    }

    /// Applies the change at `position` of the feed. Changes must come in the order
    /// of the feed.
    pub fn apply(&mut self, now: Instant, change: RosterChange, position: u64) -> RosterEffect {
        match change {
            RosterChange::Put(entry) => self.put(now, entry),
            RosterChange::Unusable(id) => self.remove_unusable(&id),
            RosterChange::Removed(id) => self.remove(now, &id, position),
        }
    }

    /// Records that a peer has followed the feed without a gap up to `position`.
    pub fn confirm_position(&mut self, position: u64) {
        self.confirmed_position = self.confirmed_position.max(position);
    }

    /// Replaces all entries with a complete list; missing entries count as removed.
    /// Returns the effects other than [`RosterEffect::Unchanged`].
    pub fn replace(
        &mut self,
        now: Instant,
        entries: Vec<RosterEntry>,
        position: u64,
    ) -> Vec<(InstanceId, RosterEffect)> {
        let mut missing: Vec<InstanceId> = self.instances.keys().cloned().collect();
        missing.retain(|id| !entries.iter().any(|entry| entry.id == *id));
        let mut effects = Vec::new();
        for entry in entries {
            let id = entry.id.clone();
            effects.push((id, self.put(now, entry)));
        }
        for id in missing {
            let effect = self.remove(now, &id, position);
            effects.push((id, effect));
        }
        effects.retain(|(_, effect)| *effect != RosterEffect::Unchanged);
        effects
    }

    /// Drops the held entries whose grace period is over or whose removal a peer
    /// confirms, and returns their instances.
    pub fn expire(&mut self, now: Instant) -> Vec<InstanceId> {
        let trusts_removals = self.trusts_removals(now);
        if trusts_removals {
            self.feed = FeedHealth::Trusted;
        }
        let is_gone = |listed: &ListedInstance| {
            let removed_at = listed.removed_at_position;
            removed_at
                .is_some_and(|position| trusts_removals || position <= self.confirmed_position)
        };
        let gone = self.instances.iter().filter(|(_, listed)| is_gone(listed));
        let gone: Vec<InstanceId> = gone.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.instances.remove(id);
        }
        gone
    }

    /// Drops an instance whose address belongs to another one.
    pub fn disown(&mut self, id: &InstanceId) {
        self.instances.remove(id);
    }

    /// Returns the instances of a service that take new requests.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a ListedInstance> + 'a {
        self.instances.values().filter(move |listed| {
            listed.entry.service == *service && listed.entry.state == RosterState::Ready
        })
    }

    /// Returns an instance.
    #[must_use]
    pub fn get(&self, id: &InstanceId) -> Option<&ListedInstance> {
        self.instances.get(id)
    }

    /// Returns all listed instances.
    pub fn iter(&self) -> impl Iterator<Item = &ListedInstance> {
        self.instances.values()
    }

    fn put(&mut self, now: Instant, entry: RosterEntry) -> RosterEffect {
        let former = self.instances.get(&entry.id);
        let is_new = former.is_none_or(|former| {
            former.entry.incarnation != entry.incarnation || former.entry.addr != entry.addr
        });
        let was_draining = former.is_some_and(|former| former.entry.state == RosterState::Draining);
        let effect = match entry.state {
            RosterState::Draining if !was_draining || is_new => RosterEffect::Draining,
            RosterState::Ready if is_new || was_draining => RosterEffect::Joined,
            RosterState::Draining | RosterState::Ready => RosterEffect::Unchanged,
        };
        let listed = ListedInstance {
            warm_at: now + entry.cold_for,
            updated_at: now,
            removed_at_position: None,
            entry,
        };
        self.instances.insert(listed.entry.id.clone(), listed);
        effect
    }

    fn remove(&mut self, now: Instant, id: &InstanceId, position: u64) -> RosterEffect {
        let is_confirmed = self.trusts_removals(now) || position <= self.confirmed_position;
        let Some(listed) = self.instances.get_mut(id) else {
            return RosterEffect::Unchanged;
        };
        // A draining instance is expected to leave, so its entry is not held.
        if is_confirmed || listed.entry.state == RosterState::Draining {
            self.instances.remove(id);
            return RosterEffect::Left;
        }
        listed.removed_at_position.get_or_insert(position);
        RosterEffect::Held
    }

    fn remove_unusable(&mut self, id: &InstanceId) -> RosterEffect {
        match self.instances.remove(id) {
            Some(_) => RosterEffect::Left,
            None => RosterEffect::Unchanged,
        }
    }
}
