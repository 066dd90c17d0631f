//! The instances that a live feed lists, apart from the configuration.
//!
//! While the feed is unavailable, entries of running instances may lapse. A removal
//! therefore counts only once the feed has been back for [`LAPSE_GRACE`]; an
//! instance that is still missing then has left. If only this host had lost the
//! feed, no entry lapsed, and a peer that received the removal without losing the
//! feed confirms it.
//!
//! The feed may be restored from a backup, in which an instance is ready that has
//! left since. Such an entry gets no requests until the instance writes it again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId, ServiceName};

use crate::evacuation::Evacuations;

/// How long a missing entry may reappear after the feed is restored. The feed
/// guarantees that entries of running instances reappear within about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_100);
/// How long a departure is remembered. A backup of the feed is some seconds old,
/// and the instances write their entries again within a few seconds.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(10 * 60);

/// Whether an instance takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterState {
    /// The instance takes requests.
    Ready,
    /// The instance is leaving and takes no new requests.
    Draining,
}

/// The feed's entry of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterChange {
    /// The entry was written.
    Put(RosterEntry),
    /// The entry was removed.
    Removed(InstanceId),
    /// The entry was overwritten with a value that describes no instance.
    Unusable(InstanceId),
}

impl RosterChange {
    /// Returns the instance of the changed entry.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        match self {
            Self::Put(entry) => &entry.id,
            Self::Removed(id) | Self::Unusable(id) => id,
        }
    }
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
    /// When the instance was listed for the first time, unless the first complete list
    /// contained it.
    pub joined_at: Option<Instant>,
    /// Whether the instance itself has said that it leaves.
    is_leaving: bool,
    /// The position of the feed at which the entry was removed, if it was.
    removed_at_position: Option<FeedPosition>,
}

/// An instance that takes no more requests.
#[derive(Debug, Clone, Copy)]
struct Departure {
    incarnation: u64,
    noted_at: Instant,
    /// When its entry was last written, if it was listed.
    entry_updated_at: Option<Instant>,
    /// Whether the instance itself has said that it leaves. Its entry may still be
    /// ready then.
    is_announced: bool,
}

/// Where an entry comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntrySource {
    /// It was in the first complete list.
    FirstList,
    /// The instance has written it.
    Live,
    /// It was listed after the feed was restored from a backup.
    Backup,
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
    /// Failure domains whose instances get no requests.
    evacuations: Evacuations,
    instances: BTreeMap<InstanceId, ListedInstance>,
    feed: FeedHealth,
    /// The latest position that a peer has followed without a gap.
    confirmed_position: FeedPosition,
    /// Instances that are leaving or have left.
    departures: BTreeMap<InstanceId, Departure>,
    /// The era of the feed at the last complete list.
    era: Option<u16>,
}

impl Default for Roster {
    fn default() -> Self {
        Self {
            evacuations: Evacuations::default(),
            instances: BTreeMap::new(),
            feed: FeedHealth::Lost,
            confirmed_position: FeedPosition::default(),
            departures: BTreeMap::new(),
            era: None,
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
    pub fn apply(
        &mut self,
        now: Instant,
        change: RosterChange,
        position: FeedPosition,
    ) -> RosterEffect {
        match change {
            RosterChange::Put(entry) => self.put(now, entry, EntrySource::Live),
            RosterChange::Unusable(id) => self.remove_unusable(&id),
            RosterChange::Removed(id) => self.remove(now, &id, position),
        }
    }

    /// Applies a removal that a peer reports, which has not followed the feed without
    /// a gap. The entry may reappear within [`LAPSE_GRACE`].
    pub fn apply_unconfirmed(
        &mut self,
        now: Instant,
        change: RosterChange,
        position: FeedPosition,
    ) -> RosterEffect {
        if matches!(change, RosterChange::Removed(_)) && self.trusts_removals(now) {
            self.feed = FeedHealth::Restoring(now + LAPSE_GRACE);
        }
        self.apply(now, change, position)
    }

    /// Records that a peer has followed the feed without a gap up to `position`.
    pub fn confirm_position(&mut self, position: FeedPosition) {
        self.confirmed_position = self.confirmed_position.max(position);
    }

    /// Replaces all entries with a complete list; missing entries count as removed.
    /// In a new era of the feed, instances that have left stay excluded, and missing
    /// entries may reappear within [`LAPSE_GRACE`]. Returns the effects other than [`RosterEffect::Unchanged`].
    pub fn replace(
        &mut self,
        now: Instant,
        entries: Vec<RosterEntry>,
        position: FeedPosition,
    ) -> Vec<(InstanceId, RosterEffect)> {
        let source = match self.era.replace(position.era) {
            None => EntrySource::FirstList,
            Some(era) if era != position.era => {
                self.feed = FeedHealth::Restoring(now + LAPSE_GRACE);
                EntrySource::Backup
            }
            Some(_) => EntrySource::Live,
        };
        let mut missing: Vec<InstanceId> = self.instances.keys().cloned().collect();
        missing.retain(|id| !entries.iter().any(|entry| entry.id == *id));
        let mut effects = Vec::new();
        for entry in entries {
            let id = entry.id.clone();
            effects.push((id, self.put(now, entry, source)));
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
                .is_some_and(|position| trusts_removals || self.confirmed_position.covers(position))
        };
        let gone = self.instances.iter().filter(|(_, listed)| is_gone(listed));
        let gone: Vec<InstanceId> = gone.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.remove_departed(now, id);
        }
        self.departures.retain(|_, departure| {
            now.saturating_duration_since(departure.noted_at) < DEPARTURE_RETENTION
        });
        gone
    }

    /// Records that an instance has said that it leaves, and reports whether that is
    /// new. It gets no requests until another incarnation is listed.
    pub fn mark_leaving(&mut self, now: Instant, id: &InstanceId, incarnation: u64) -> bool {
        if let Some(listed) = self.instances.get_mut(id)
            && listed.entry.incarnation == incarnation
        {
            listed.is_leaving = true;
        }
        let departure = Departure {
            incarnation,
            noted_at: now,
            entry_updated_at: self.updated_at(id),
            is_announced: true,
        };
        let former = self.departures.insert(id.clone(), departure);
        former.is_none_or(|former| !former.is_announced || former.incarnation != incarnation)
    }

    /// Returns how many instances of a service have said that they leave although
    /// their entries are ready.
    #[must_use]
    pub fn leaving_count(&self, service: &ServiceName) -> usize {
        let listed = self.instances.values();
        listed
            .filter(|listed| {
                listed.entry.service == *service
                    && listed.entry.state == RosterState::Ready
                    && listed.is_leaving
            })
            .count()
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
        self.instances
            .values()
            .filter(move |listed| listed.entry.service == *service && self.is_ready(listed))
    }

    /// Reports whether an instance that was chosen earlier still takes new requests: it may
    /// have left or restarted since, or its failure domain may have been evacuated.
    #[must_use]
    pub fn still_takes_requests(&self, chosen: &RosterEntry) -> bool {
        self.instances.get(&chosen.id).is_some_and(|listed| {
            listed.entry.service == chosen.service
                && listed.entry.incarnation == chosen.incarnation
                && listed.entry.addr == chosen.addr
                && self.is_ready(listed)
        })
    }

    fn is_ready(&self, listed: &ListedInstance) -> bool {
        listed.entry.state == RosterState::Ready
            && !listed.is_leaving
            && !self.evacuations.contains(&listed.entry.failure_domain)
    }

    /// Returns how many instances of a service get no requests since their failure
    /// domain is evacuated.
    #[must_use]
    pub fn evacuated_count(&self, service: &ServiceName) -> usize {
        let listed = self.instances.values();
        listed
            .filter(|listed| {
                listed.entry.service == *service
                    && self.evacuations.contains(&listed.entry.failure_domain)
            })
            .count()
    }

    /// Returns the evacuations of failure domains.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the evacuations of failure domains, to change them.
    pub fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Returns an instance.
    #[must_use]
    pub fn get(&self, id: &InstanceId) -> Option<&ListedInstance> {
        self.instances.get(id)
    }

    /// Returns when the entry of an instance was last written, also if it has left.
    #[must_use]
    pub fn updated_at(&self, id: &InstanceId) -> Option<Instant> {
        let listed = self.instances.get(id).map(|listed| listed.updated_at);
        listed.or_else(|| self.departures.get(id)?.entry_updated_at)
    }

    /// Returns all listed instances.
    pub fn iter(&self) -> impl Iterator<Item = &ListedInstance> {
        self.instances.values()
    }

    fn put(&mut self, now: Instant, mut entry: RosterEntry, source: EntrySource) -> RosterEffect {
        let departure = self.departures.get(&entry.id).copied();
        let departure = departure.filter(|known| known.incarnation == entry.incarnation);
        if source == EntrySource::Backup && departure.is_some() {
            entry.state = RosterState::Draining;
        }
        let is_leaving = departure.is_some_and(|known| known.is_announced);
        if entry.state == RosterState::Draining {
            self.note_departure(now, &entry.id, entry.incarnation);
        } else if !is_leaving {
            self.departures.remove(&entry.id);
        }
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
        let same = former.filter(|_| !is_new);
        let has_joined = is_new && departure.is_none() && source != EntrySource::FirstList;
        // An entry from a backup may be older than the one that it replaces.
        let warm_at = same.map_or(now, |former| former.warm_at);
        let listed = ListedInstance {
            warm_at: warm_at.max(now + entry.cold_for),
            joined_at: same.map_or(has_joined.then_some(now), |former| former.joined_at),
            updated_at: now,
            is_leaving,
            removed_at_position: None,
            entry,
        };
        self.instances.insert(listed.entry.id.clone(), listed);
        effect
    }

    fn remove(&mut self, now: Instant, id: &InstanceId, position: FeedPosition) -> RosterEffect {
        let is_confirmed = self.trusts_removals(now) || self.confirmed_position.covers(position);
        let Some(listed) = self.instances.get_mut(id) else {
            return RosterEffect::Unchanged;
        };
        // A draining instance is expected to leave, so its entry is not held.
        if is_confirmed || listed.entry.state == RosterState::Draining {
            self.remove_departed(now, id);
            return RosterEffect::Left;
        }
        listed.removed_at_position.get_or_insert(position);
        RosterEffect::Held
    }

    fn remove_departed(&mut self, now: Instant, id: &InstanceId) {
        if let Some(listed) = self.instances.get(id) {
            self.note_departure(now, id, listed.entry.incarnation);
            self.instances.remove(id);
        }
    }

    /// Remembers a departure that the feed shows.
    fn note_departure(&mut self, now: Instant, id: &InstanceId, incarnation: u64) {
        let known = self.departures.get(id);
        let is_announced =
            known.is_some_and(|known| known.is_announced && known.incarnation == incarnation);
        let departure = Departure {
            incarnation,
            noted_at: now,
            entry_updated_at: self.updated_at(id),
            is_announced,
        };
        self.departures.insert(id.clone(), departure);
    }

    fn remove_unusable(&mut self, id: &InstanceId) -> RosterEffect {
        match self.instances.remove(id) {
            Some(_) => RosterEffect::Left,
            None => RosterEffect::Unchanged,
        }
    }
}
