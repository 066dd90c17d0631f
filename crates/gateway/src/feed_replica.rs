//! What a host has applied of the feed, and from whom.
//!
//! The type does no input or output: the caller passes in answers of the source and
//! updates of readers, and sends the updates that it returns.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_config::routing::RoutingDocument;
use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId};
use waxwingusher_membership::seeded::FeedUpdate;
use waxwingusher_membership::seeded::readers::ReaderSchedule;
use waxwingusher_upstreams::{Roster, RosterEffect};

use crate::feed_log::{FeedLog, MAX_UPDATE_BYTES, RevisedChange};
use crate::feed_source::{Change, Changes, Listing, PublishedConfig, SourceError};

/// The longest time since the source's last answer for which a host passes on its
/// position; readers get an answer at least once a second. Without it, a reader whose
/// connection is dead would keep others from reading.
const MAX_READER_LAG: Duration = Duration::from_millis(1_200);

/// What an answer or an update has changed.
#[derive(Debug, Default)]
pub struct Applied {
    /// Configurations, in the order of their publication.
    pub configurations: Vec<PublishedConfig>,
    /// The effects on instances.
    pub instances: Vec<(InstanceId, RosterEffect)>,
    /// The failure domains whose evacuation has begun or ended.
    pub evacuations: Vec<FailureDomain>,
}

/// All changes between two positions.
#[derive(Debug)]
struct FeedSection {
    since: FeedPosition,
    until: FeedPosition,
    changes: Vec<RevisedChange>,
    /// Whether whoever has read them has followed the source without a gap.
    is_gapless: bool,
}

/// The part of the feed that a host has applied.
#[derive(Debug, Default)]
pub struct FeedReplica {
    /// Whether everything was listed once.
    is_listed: bool,
    position: FeedPosition,
    /// The furthest position that a peer has reported.
    max_peer_position: FeedPosition,
    /// Whether the last call that this host made as a reader succeeded.
    is_reading: bool,
    read_at: Option<Instant>,
    schedule: ReaderSchedule,
    log: FeedLog,
    /// The configuration in force.
    configuration: Option<EncodedConfiguration>,
}

/// A configuration as it is sent to hosts that have missed it.
#[derive(Debug)]
pub struct EncodedConfiguration {
    version: u64,
    /// Empty if it does not fit into a message.
    bytes: Vec<u8>,
}

impl EncodedConfiguration {
    /// Encodes a configuration.
    #[must_use]
    pub fn new(document: &RoutingDocument) -> Self {
        let version = document.version;
        let bytes = match postcard::to_allocvec(document) {
            Ok(bytes) if bytes.len() <= MAX_UPDATE_BYTES => bytes,
            Ok(bytes) => {
                let length = bytes.len();
                log::warn!("feed: Configuration {version} of {length} bytes is read by each host.");
                Vec::new()
            }
            Err(error) => {
                log::error!("feed: Cannot encode configuration {version}: {error}.");
                Vec::new()
            }
        };
        Self { version, bytes }
    }
}

impl FeedReplica {
    /// Reports whether everything was listed once, so that instances are known.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns the position up to which the feed was applied.
    #[must_use]
    pub fn position(&self) -> FeedPosition {
        self.position
    }

    /// Returns the position up to which the feed was applied without a gap, or the
    /// default if the roster does not trust removals.
    #[must_use]
    pub fn gapless_position(&self, now: Instant, roster: &Roster) -> FeedPosition {
        if roster.trusts_removals(now) {
            self.position
        } else {
            FeedPosition::default()
        }
    }

    /// Reports whether a peer has applied changes that this host has not.
    #[must_use]
    pub fn is_behind_peers(&self) -> bool {
        self.max_peer_position > self.position
    }

    /// Reports whether this host reads the source as one of the readers.
    #[must_use]
    pub fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// Reports whether other hosts may rely on this one for changes: it reads the
    /// source, which has answered recently.
    #[must_use]
    pub fn is_reader(&self, now: Instant) -> bool {
        let read_at = self.read_at.filter(|_| self.is_reading);
        read_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_READER_LAG)
    }

    /// Reports whether this host must read the source itself. `rank` is the number of
    /// reachable hosts before it in the order of readers.
    #[must_use]
    pub fn must_read(&self, now: Instant, rank: usize) -> bool {
        self.schedule.reads_from(rank).is_none_or(|at| now >= at)
    }

    /// Reports whether readers pass the changes on.
    #[must_use]
    pub fn is_fed(&self, now: Instant) -> bool {
        self.schedule.is_fed(now)
    }

    /// Does not count a pause of this process as silence of the readers.
    pub fn exclude_pause(&mut self, now: Instant, pause: Duration) {
        self.schedule.exclude_pause(now, pause);
    }

    /// Stops reading, since other hosts read.
    pub fn stop_reading(&mut self) {
        self.is_reading = false;
    }

    /// Records the position that a peer has reported.
    pub fn record_peer_position(&mut self, position: FeedPosition) {
        self.max_peer_position = self.max_peer_position.max(position);
    }

    /// Applies a complete list.
    pub fn on_listing(&mut self, now: Instant, listing: Listing, roster: &mut Roster) -> Applied {
        roster.mark_feed_restored(now);
        let position = listing.position;
        let evacuations = roster
            .evacuations_mut()
            .replace(now, &listing.evacuated, position.era);
        let instances = roster.replace(now, listing.roster, position);
        self.position = position;
        self.log.add(now, position, &[], position);
        self.is_listed = true;
        self.schedule.record_listing(now);
        Applied {
            configurations: listing.routing.into_iter().collect(),
            instances,
            evacuations,
        }
    }

    /// Applies the source's answer with the changes after `since`.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError::HistoryGone`] if the source was restored from a backup.
    pub fn on_changes(
        &mut self,
        now: Instant,
        since: FeedPosition,
        changes: Changes,
        roster: &mut Roster,
    ) -> Result<Applied, SourceError> {
        if changes.position.era != since.era {
            return Err(SourceError::HistoryGone);
        }
        roster.mark_feed_restored(now);
        let until = changes.position.max(since);
        let revised = changes.items.into_iter();
        let revised = revised.map(|(revision, change)| RevisedChange { revision, change });
        let section = FeedSection {
            since,
            until,
            changes: revised.collect(),
            is_gapless: true,
        };
        Ok(self.apply(now, section, roster))
    }

    /// Records that the source answered this host as a reader.
    pub fn record_read(&mut self, now: Instant) {
        self.is_reading = true;
        self.read_at = Some(now);
    }

    /// Records that the source did not answer or refused to.
    pub fn on_failure(&mut self, roster: &mut Roster) {
        self.is_reading = false;
        roster.mark_feed_lost();
    }

    /// Applies the changes that a reader passes on, unless some before them are
    /// missing.
    ///
    /// # Errors
    ///
    /// Returns an error if the changes cannot be decoded.
    pub fn on_update(
        &mut self,
        now: Instant,
        own_addr: SocketAddr,
        update: &FeedUpdate,
        roster: &mut Roster,
    ) -> Result<Applied, postcard::Error> {
        self.record_peer_position(update.until);
        if !self.is_listed || update.until.era != self.position.era {
            return Ok(Applied::default());
        }
        if self.prefers_own_reading(now, update, roster) {
            return Ok(Applied::default());
        }
        self.schedule.record_update(now, own_addr, update.reader);
        if update.since > self.position {
            return Ok(Applied::default());
        }
        let changes: Vec<RevisedChange> = if update.changes.is_empty() {
            Vec::new()
        } else {
            postcard::from_bytes(&update.changes)?
        };
        roster.mark_feed_restored(now);
        if update.is_gapless {
            roster.confirm_position(update.until);
        }
        let section = FeedSection {
            since: update.since,
            until: update.until,
            changes,
            is_gapless: update.is_gapless,
        };
        Ok(self.apply(now, section, roster))
    }

    /// Reports whether this host reads the source without a gap and the update's reader
    /// does not. It then goes on reading, so that the fleet learns at once which
    /// removals are departures.
    fn prefers_own_reading(&self, now: Instant, update: &FeedUpdate, roster: &Roster) -> bool {
        !update.is_gapless && self.is_reader(now) && roster.trusts_removals(now)
    }

    /// Reports whether an update of another reader contains what this host would pass
    /// on.
    #[must_use]
    pub fn is_covered_by(&self, now: Instant, update: &FeedUpdate, roster: &Roster) -> bool {
        update.until.covers(self.position)
            && update.since < self.position
            && !self.prefers_own_reading(now, update, roster)
    }

    /// Returns the update that this host passes on as the reader `reader`; `None`
    /// before the first complete list.
    pub fn take_update(
        &mut self,
        now: Instant,
        reader: SocketAddr,
        roster: &Roster,
    ) -> Option<FeedUpdate> {
        let excerpt = self.log.take_excerpt(now)?;
        Some(FeedUpdate {
            reader,
            relay: false,
            since: excerpt.since,
            until: excerpt.until,
            is_gapless: roster.trusts_removals(now),
            changes: excerpt.changes,
        })
    }

    /// Keeps the configuration that is now in force.
    pub fn keep_configuration(&mut self, configuration: EncodedConfiguration) {
        self.configuration = Some(configuration);
    }

    /// Returns the configuration in force, encoded, if it is later than `version`.
    #[must_use]
    pub fn configuration_after(&self, version: u64) -> Option<&[u8]> {
        let current = self.configuration.as_ref()?;
        let is_later = current.version > version && !current.bytes.is_empty();
        is_later.then_some(&current.bytes)
    }

    /// Applies the changes of a section that this host has not applied.
    fn apply(&mut self, now: Instant, section: FeedSection, roster: &mut Roster) -> Applied {
        let until = section.until.max(self.position);
        self.log.add(now, section.since, &section.changes, until);
        let mut applied = Applied::default();
        for RevisedChange { revision, change } in section.changes {
            if revision <= self.position.revision {
                continue;
            }
            match change {
                Change::Routing(published) => applied.configurations.push(published),
                Change::Roster(change) => {
                    let id = change.instance().clone();
                    let effect = if section.is_gapless {
                        roster.apply(now, change, until)
                    } else {
                        roster.apply_unconfirmed(now, change, until)
                    };
                    applied.instances.push((id, effect));
                }
                Change::Evacuation(change) => {
                    let evacuations = roster.evacuations_mut();
                    let domain = change.failure_domain;
                    let is_changed = if change.is_ordered {
                        evacuations.order(domain.clone())
                    } else {
                        evacuations.take_back(now, &domain)
                    };
                    if is_changed {
                        applied.evacuations.push(domain);
                    }
                }
            }
        }
        self.position = until;
        applied
    }
}
