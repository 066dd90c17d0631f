//! What a host has applied of the feed, and from whom.
//!
//! The type does no input or output: the caller passes in answers of the source and
//! updates of readers, and sends the updates that it returns.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_config::routing::RoutingDocument;
use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId};
use waxwingusher_membership::seeded::readers::ReaderSchedule;
use waxwingusher_membership::seeded::{Delivery, FeedChanges, FeedRequest};
use waxwingusher_upstreams::{Roster, RosterEffect};

use crate::feed_codec::{
    self, CodecError, MAX_DELTA_BYTES, RevisedWireChange, WireChange, into_parts,
};
use crate::feed_delta::{ConfigurationDelta, DigestedDocument};
use crate::feed_log::{FeedExcerpt, FeedLog};
use crate::feed_protocol_2;
use crate::feed_source::{Change, Changes, Listing, PublishedConfig, SourceError};

/// The largest configuration that a host of an earlier build is sent, below the limit of
/// a datagram.
const MAX_FORMER_BYTES: usize = 48_000;
/// The messages that arrived before those that precede them, and their size.
const MAX_HELD_UPDATES: usize = 64;
const MAX_HELD_BYTES: usize = 128 * 1024;
/// The messages that answer one request, which take 16 ms on a link of 10 Mbit/s; the
/// requesting host asks again for the rest.
const MAX_REPLY_PARTS: usize = 16;
/// The longest time since the source's last answer for which a host passes on its
/// position; readers get an answer at least once a second. Without it, a reader whose
/// connection is dead would keep others from reading.
const MAX_READER_LAG: Duration = Duration::from_millis(1_200);

/// How long after a part of a configuration this host waits for the next one rather than
/// reading the source.
const MAX_TRANSFER_PAUSE: Duration = Duration::from_millis(300);
/// How long a host that is behind asks peers for what it missed before it reads the
/// source: the time for three requests, of which one may be lost.
const MAX_REPAIR_TIME: Duration = Duration::from_millis(600);
/// The same while parts of a configuration arrive.
const MAX_TRANSFER_TIME: Duration = Duration::from_millis(1_500);

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

/// A change, from the source or from a peer.
#[derive(Debug)]
enum FeedItem {
    Published(Change),
    Received(WireChange),
}

/// All changes between two positions.
#[derive(Debug)]
struct FeedSection {
    since: FeedPosition,
    until: FeedPosition,
    items: Vec<(u64, FeedItem)>,
    /// Whether whoever has read them has followed the source without a gap.
    is_gapless: bool,
}

/// A configuration was published that this host cannot derive from what it has.
#[derive(Debug, Clone, Copy)]
struct WantedDocument {
    version: u64,
    digest: u64,
}

/// A configuration that a peer has sent cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// Its content differs from the one that was announced.
    #[error("version {version} differs from the announced one")]
    WrongDigest {
        /// The version.
        version: u64,
    },
    /// A value has no encoding, so that it has no digest.
    #[error("it cannot be encoded: {0}")]
    Encoding(#[from] postcard::Error),
}

/// The part of the feed that a host has applied.
#[derive(Debug, Default)]
pub struct FeedReplica {
    /// Whether everything was listed once.
    is_listed: bool,
    position: FeedPosition,
    /// The furthest position that a peer has reported.
    max_peer_position: FeedPosition,
    /// When the source last answered this host, or an update of a reader arrived.
    answered_at: Option<Instant>,
    /// Whether the last call that this host made as a reader succeeded.
    is_reading: bool,
    read_at: Option<Instant>,
    schedule: ReaderSchedule,
    log: FeedLog,
    /// The configuration in force, for hosts of earlier builds.
    configuration: Option<EncodedConfiguration>,
    /// The latest configuration as it was published, to which deltas apply.
    document: Option<DigestedDocument>,
    wanted: Option<WantedDocument>,
    /// When a part of a configuration last arrived from a peer.
    transferred_at: Option<Instant>,
    /// Updates that begin after the position of this host, in the order of arrival.
    held: Vec<FeedChanges>,
}

/// A configuration as it is sent to hosts of earlier builds that have missed it.
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
        let bytes = match feed_protocol_2::encode_configuration(document) {
            Ok(bytes) if bytes.len() <= MAX_FORMER_BYTES => bytes,
            Ok(bytes) => {
                let length = bytes.len();
                log::debug!(
                    "feed: Hosts of earlier builds read configuration {version} of {length} bytes."
                );
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

    /// Returns the time since the source last answered this host, or a reader from which an
    /// update has arrived.
    #[must_use]
    pub fn answer_age(&self, now: Instant) -> Option<Duration> {
        self.answered_at.map(|at| now.saturating_duration_since(at))
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

    /// Reports whether this host, which has been behind its peers since `since`, reads what
    /// it missed from the source, as no peer sends it.
    #[must_use]
    pub fn must_catch_up(&self, now: Instant, since: Instant) -> bool {
        let is_transferring = self
            .transferred_at
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_TRANSFER_PAUSE);
        let limit = if is_transferring {
            MAX_TRANSFER_TIME
        } else {
            MAX_REPAIR_TIME
        };
        now.saturating_duration_since(since) >= limit
    }

    /// Records that a part of a configuration arrived from a peer.
    pub fn record_transfer(&mut self, now: Instant) {
        self.transferred_at = Some(now);
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

    /// Returns the version of the latest configuration; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, DigestedDocument::version)
    }

    /// Returns the latest configuration as it was published.
    #[must_use]
    pub fn document(&self) -> Option<&DigestedDocument> {
        self.document.as_ref()
    }

    /// Returns the version of a configuration that was published and that this host can
    /// only get as a whole.
    #[must_use]
    pub fn wanted_version(&self) -> Option<u64> {
        self.wanted.map(|wanted| wanted.version)
    }

    /// Applies a complete list.
    pub fn on_listing(&mut self, now: Instant, listing: Listing, roster: &mut Roster) -> Applied {
        self.answered_at = Some(now);
        roster.mark_feed_restored(now);
        let position = listing.position;
        let evacuations = roster
            .evacuations_mut()
            .replace(now, &listing.evacuated, position.era);
        let instances = roster.replace(now, listing.roster, position);
        if let Some(Ok(document)) = &listing.routing {
            self.keep_document(document);
        }
        self.position = position;
        self.wanted = None;
        self.held.clear();
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
        self.answered_at = Some(now);
        roster.mark_feed_restored(now);
        let until = changes.position.max(since);
        let items = changes.items.into_iter();
        let items = items.map(|(revision, change)| (revision, FeedItem::Published(change)));
        let section = FeedSection {
            since,
            until,
            items: items.collect(),
            is_gapless: true,
        };
        let mut applied = self.apply(now, section, roster);
        // The answer contains all configurations until its position.
        self.wanted = None;
        self.apply_held(now, roster, &mut applied);
        Ok(applied)
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

    /// Applies the changes that a reader passes on or a peer sends on request. If some
    /// before them are missing, they are kept until these arrive.
    ///
    /// # Errors
    ///
    /// Returns an error if the changes cannot be decoded.
    pub fn on_update(
        &mut self,
        now: Instant,
        own_addr: SocketAddr,
        update: &FeedChanges,
        roster: &mut Roster,
    ) -> Result<Applied, CodecError> {
        self.record_peer_position(update.until);
        if !self.is_listed || update.until.era != self.position.era {
            return Ok(Applied::default());
        }
        if self.prefers_own_reading(now, update, roster) {
            return Ok(Applied::default());
        }
        if update.delivery != Delivery::Reply {
            self.answered_at = Some(now);
            self.schedule.record_update(now, own_addr, update.reader);
            self.log.record_distributed(update.since, update.until);
        }
        if update.since > self.position {
            self.hold(update);
            return Ok(Applied::default());
        }
        let mut applied = self.apply_update(now, update, roster)?;
        self.apply_held(now, roster, &mut applied);
        Ok(applied)
    }

    /// Applies an update that begins at or before the position of this host.
    fn apply_update(
        &mut self,
        now: Instant,
        update: &FeedChanges,
        roster: &mut Roster,
    ) -> Result<Applied, CodecError> {
        let items = feed_codec::decode(&update.changes)?.into_iter();
        let items = items
            .map(|RevisedWireChange { revision, change }| (revision, FeedItem::Received(change)));
        let section = FeedSection {
            since: update.since,
            until: update.until,
            items: items.collect(),
            is_gapless: update.is_gapless,
        };
        roster.mark_feed_restored(now);
        let applied = self.apply(now, section, roster);
        if self.position.covers(update.until) {
            if update.is_gapless {
                roster.confirm_position(update.until);
            }
        } else {
            self.hold(update);
        }
        Ok(applied)
    }

    /// Keeps an update until the position of this host permits to apply it. Updates beyond
    /// the bound are dropped, the oldest first; this host asks a peer for their content.
    fn hold(&mut self, update: &FeedChanges) {
        let is_known = |held: &FeedChanges| {
            held.since == update.since && held.until == update.until && held.reader == update.reader
        };
        if update.changes.is_empty() || self.held.iter().any(is_known) {
            return;
        }
        self.held.push(update.clone());
        let mut bytes: usize = self.held.iter().map(|held| held.changes.len()).sum();
        while self.held.len() > MAX_HELD_UPDATES || bytes > MAX_HELD_BYTES {
            bytes -= self.held.remove(0).changes.len();
        }
    }

    /// Applies updates that were kept, as far as the position permits.
    fn apply_held(&mut self, now: Instant, roster: &mut Roster, applied: &mut Applied) {
        loop {
            let position = self.position;
            self.held
                .retain(|held| held.until.era == position.era && !position.covers(held.until));
            let next = self.held.iter().position(|held| held.since <= position);
            let Some(next) = next.filter(|_| self.wanted.is_none()) else {
                return;
            };
            let update = self.held.remove(next);
            match self.apply_update(now, &update, roster) {
                Ok(more) => applied.extend(more),
                Err(error) => {
                    let reader = update.reader;
                    log::warn!("feed: Dropped changes of {reader}: {error}.");
                }
            }
        }
    }

    /// Takes over a configuration that a peer has sent as a whole.
    ///
    /// # Errors
    ///
    /// Returns an error if its content differs from the announced one.
    pub fn on_document(
        &mut self,
        now: Instant,
        document: RoutingDocument,
        roster: &mut Roster,
    ) -> Result<Applied, DocumentError> {
        let version = document.version;
        if version <= self.version() {
            return Ok(Applied::default());
        }
        let document = DigestedDocument::new(document)?;
        let wanted = self.wanted.filter(|wanted| wanted.version == version);
        if wanted.is_some_and(|wanted| wanted.digest != document.digest()) {
            return Err(DocumentError::WrongDigest { version });
        }
        let mut applied = Applied::default();
        applied.configurations.push(Ok(document.document().clone()));
        self.replace_document(document);
        self.apply_held(now, roster, &mut applied);
        Ok(applied)
    }

    /// Reports whether this host reads the source without a gap and the update's reader
    /// does not. It then goes on reading, so that the fleet learns at once which
    /// removals are departures.
    fn prefers_own_reading(&self, now: Instant, update: &FeedChanges, roster: &Roster) -> bool {
        !update.is_gapless && self.is_reader(now) && roster.trusts_removals(now)
    }

    /// Reports whether an update of another reader contains what this host would pass
    /// on.
    #[must_use]
    pub fn is_covered_by(&self, now: Instant, update: &FeedChanges, roster: &Roster) -> bool {
        update.until.covers(self.position)
            && update.since < self.position
            && !self.prefers_own_reading(now, update, roster)
    }

    /// Returns the changes that no reader has passed on, for this host to pass on as the
    /// reader `reader`. Each message fits into a datagram, except with a large change.
    pub fn take_update(
        &mut self,
        now: Instant,
        reader: SocketAddr,
        roster: &Roster,
    ) -> Vec<FeedChanges> {
        let Some(excerpt) = self.log.take_undistributed(now) else {
            return Vec::new();
        };
        if excerpt.since == excerpt.until {
            return Vec::new();
        }
        let is_gapless = roster.trusts_removals(now);
        to_messages(reader, Delivery::Direct, is_gapless, &excerpt)
    }

    /// Returns a message with the position of this host as the reader `reader`; `None`
    /// before the first complete list.
    #[must_use]
    pub fn position_update(
        &self,
        now: Instant,
        reader: SocketAddr,
        roster: &Roster,
    ) -> Option<FeedChanges> {
        self.is_listed.then(|| FeedChanges {
            reader,
            sequence: 0,
            delivery: Delivery::Direct,
            since: self.position,
            until: self.position,
            is_gapless: roster.trusts_removals(now),
            changes: Vec::new(),
        })
    }

    /// Returns the answer to a peer that has missed changes. If this host no longer has
    /// them all, the answer states only its position, and is empty if it is not ahead.
    #[must_use]
    pub fn reply_to(
        &self,
        now: Instant,
        own_addr: SocketAddr,
        request: &FeedRequest,
        roster: &Roster,
    ) -> Vec<FeedChanges> {
        if !self.is_listed || request.position >= self.position {
            return Vec::new();
        }
        let is_gapless = roster.trusts_removals(now);
        let mut reply = match self.log.after(request.position) {
            Some(excerpt) => to_messages(own_addr, Delivery::Reply, is_gapless, &excerpt),
            None => Vec::new(),
        };
        if reply.is_empty() {
            let position = self.position_update(now, own_addr, roster);
            reply.extend(position.map(|position| FeedChanges {
                delivery: Delivery::Reply,
                ..position
            }));
        }
        reply.truncate(MAX_REPLY_PARTS);
        reply
    }

    /// Keeps the configuration that is now in force.
    pub fn keep_configuration(&mut self, configuration: EncodedConfiguration) {
        self.configuration = Some(configuration);
    }

    /// Returns the configuration in force in the form of earlier builds, if it is later
    /// than `version`.
    #[must_use]
    pub fn configuration_after(&self, version: u64) -> Option<&[u8]> {
        let current = self.configuration.as_ref()?;
        let is_later = current.version > version && !current.bytes.is_empty();
        is_later.then_some(&current.bytes)
    }

    /// Applies the changes of a section that this host has not applied, up to the first
    /// one for which it lacks a configuration.
    fn apply(&mut self, now: Instant, section: FeedSection, roster: &mut Roster) -> Applied {
        let since = section.since;
        let mut until = section.until.max(self.position);
        let mut applied = Applied::default();
        let mut logged = Vec::new();
        for (revision, item) in section.items {
            if revision <= self.position.revision {
                continue;
            }
            let change = match self.apply_configuration(&item, &mut applied) {
                Ok(Some(change)) => change,
                Ok(None) => match item {
                    FeedItem::Published(Change::Roster(change))
                    | FeedItem::Received(WireChange::Roster(change)) => {
                        let wire = WireChange::Roster(change.clone());
                        let id = change.instance().clone();
                        let effect = if section.is_gapless {
                            roster.apply(now, change, until)
                        } else {
                            roster.apply_unconfirmed(now, change, until)
                        };
                        applied.instances.push((id, effect));
                        wire
                    }
                    FeedItem::Published(Change::Evacuation(change))
                    | FeedItem::Received(WireChange::Evacuation(change)) => {
                        let wire = WireChange::Evacuation(change.clone());
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
                        wire
                    }
                    _ => continue,
                },
                Err(wanted) => {
                    self.wanted = Some(wanted);
                    let before = FeedPosition::new(until.era, revision - 1);
                    until = before.max(self.position);
                    break;
                }
            };
            logged.push(RevisedWireChange { revision, change });
        }
        self.log.add(now, since, &logged, until);
        self.position = until;
        applied
    }

    /// Applies a change of the configuration, and returns it as it is sent to peers;
    /// `None` if the item is another change.
    fn apply_configuration(
        &mut self,
        item: &FeedItem,
        applied: &mut Applied,
    ) -> Result<Option<WireChange>, WantedDocument> {
        let change = match item {
            FeedItem::Published(Change::Routing(published)) => {
                applied.configurations.push(published.clone());
                match published {
                    Ok(document) => self.keep_document(document),
                    Err(cause) => WireChange::Unreadable(cause.clone()),
                }
            }
            FeedItem::Received(change @ WireChange::Unreadable(cause)) => {
                applied.configurations.push(Err(cause.clone()));
                change.clone()
            }
            FeedItem::Received(change @ WireChange::Document { version, digest }) => {
                if *version > self.version() {
                    return Err(WantedDocument {
                        version: *version,
                        digest: *digest,
                    });
                }
                change.clone()
            }
            FeedItem::Received(change @ WireChange::Configuration(delta)) => {
                if delta.version() > self.version() {
                    let base = self.document.as_ref();
                    let result = base.and_then(|base| delta.apply(base).ok());
                    let result = result.ok_or(WantedDocument {
                        version: delta.version(),
                        digest: delta.digest(),
                    })?;
                    applied.configurations.push(Ok(result.document().clone()));
                    self.replace_document(result);
                }
                change.clone()
            }
            _ => return Ok(None),
        };
        Ok(Some(change))
    }

    /// Keeps a configuration of the source if it is later than the one that is known, and
    /// returns it as it is sent to peers.
    fn keep_document(&mut self, document: &RoutingDocument) -> WireChange {
        let document = RoutingDocument {
            findings: Vec::new(),
            ..document.clone()
        };
        let version = document.version;
        let document = match DigestedDocument::new(document) {
            Ok(document) => document,
            Err(error) => {
                log::error!("feed: Cannot encode configuration {version}: {error}.");
                return WireChange::Unreadable(error.to_string());
            }
        };
        let announcement = WireChange::Document {
            version,
            digest: document.digest(),
        };
        if version <= self.version() {
            return announcement;
        }
        let base = self.document.as_ref();
        let delta = base.and_then(|base| ConfigurationDelta::between(base, &document));
        self.replace_document(document);
        let change = delta.map(|delta| WireChange::Configuration(Box::new(delta)));
        let change = change.filter(|change| {
            let revised = RevisedWireChange {
                revision: 0,
                change: change.clone(),
            };
            feed_codec::encode(&[revised]).is_ok_and(|bytes| bytes.len() <= MAX_DELTA_BYTES)
        });
        change.unwrap_or(announcement)
    }

    fn replace_document(&mut self, document: DigestedDocument) {
        let version = document.version();
        self.wanted = self.wanted.filter(|wanted| wanted.version > version);
        self.document = Some(document);
    }
}

impl Applied {
    fn extend(&mut self, later: Self) {
        self.configurations.extend(later.configurations);
        self.instances.extend(later.instances);
        self.evacuations.extend(later.evacuations);
    }
}

/// Encodes an excerpt in messages that follow each other without a gap.
fn to_messages(
    reader: SocketAddr,
    delivery: Delivery,
    is_gapless: bool,
    excerpt: &FeedExcerpt,
) -> Vec<FeedChanges> {
    let parts = match into_parts(&excerpt.changes) {
        Ok(parts) => parts,
        Err(error) => {
            log::error!("feed: Cannot encode changes for peers: {error}.");
            return Vec::new();
        }
    };
    let mut since = excerpt.since;
    let count = parts.len();
    let mut messages = Vec::with_capacity(count);
    for (number, part) in parts.into_iter().enumerate() {
        let last = part.changes.last().filter(|_| number + 1 < count);
        let until = last.map_or(excerpt.until, |change| {
            FeedPosition::new(excerpt.until.era, change.revision)
        });
        messages.push(FeedChanges {
            reader,
            sequence: 0,
            delivery,
            since,
            until,
            is_gapless,
            changes: part.bytes,
        });
        since = until;
    }
    messages
}
