//! One host's replica of a document, and the versions that it is fetching.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::{Manifest, Pack, Publication, PublicationError};
use waxwingusher_core::ContentDigest;
use waxwingusher_protocol::Stamp;

use super::action::Refusal;
use super::document::Document;
use super::version_fetch::{Need, Source, VersionFetch};

/// Versions that are fetched at the same time.
const MAX_FETCHES: usize = 4;

/// Digests that a host remembers, of refused content and of mismatched content
/// each, so that it refuses or logs them once.
const MAX_REMEMBERED_DIGESTS: usize = 16;

type Blobs = BTreeMap<ContentDigest, Arc<[u8]>>;

/// A complete version with the bytes that peers may request.
#[derive(Debug)]
struct StoredVersion<D> {
    stamp: Stamp,
    value: Arc<D>,
    blobs: Blobs,
}

/// The result of a read of the configuration service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServiceOffer {
    /// The service has this version, which is not older than the known one.
    Fresh(Stamp),
    /// The service has an older version than this host.
    Stale,
    /// The service's version cannot be used.
    Refused(Refusal),
    /// The service's version has been refused before.
    RefusedBefore,
}

/// One host's replica of a document.
#[derive(Debug)]
pub struct Replica<D> {
    adopted: Option<StoredVersion<D>>,
    staged: Option<StoredVersion<D>>,
    fetches: Vec<VersionFetch>,
    refused: VecDeque<ContentDigest>,
    mismatched: VecDeque<ContentDigest>,
    seen_version: u64,
}

impl<D: Document> Replica<D> {
    /// Creates an empty replica.
    pub fn new() -> Self {
        Self {
            adopted: None,
            staged: None,
            fetches: Vec::new(),
            refused: VecDeque::new(),
            mismatched: VecDeque::new(),
            seen_version: 0,
        }
    }

    /// Returns the version in force.
    pub fn current(&self) -> Option<&Arc<D>> {
        self.adopted.as_ref().map(|stored| &stored.value)
    }

    /// Returns the newest complete version, in force or not.
    pub fn newest(&self) -> Option<&Arc<D>> {
        let stored = self.staged.as_ref().or(self.adopted.as_ref());
        stored.map(|stored| &stored.value)
    }

    /// Returns the stamp of the version in force.
    pub fn stamp(&self) -> Stamp {
        let adopted = self.adopted.as_ref();
        adopted.map(|stored| stored.stamp).unwrap_or_default()
    }

    /// Returns the highest version known to exist.
    pub fn seen_version(&self) -> u64 {
        self.seen_version
    }

    /// Returns the bytes of a manifest or pack of the version in force.
    pub fn blob(&self, digest: &ContentDigest) -> Option<Arc<[u8]>> {
        self.adopted.as_ref()?.blobs.get(digest).cloned()
    }

    /// Records a version that a peer knows to exist.
    pub fn note_seen_version(&mut self, version: u64) {
        self.seen_version = self.seen_version.max(version);
    }

    /// Refuses, once, a value that is not a manifest.
    pub fn refuse_value(
        &mut self,
        digest: ContentDigest,
        reason: PublicationError,
    ) -> ServiceOffer {
        if self.is_refused(&digest) {
            return ServiceOffer::RefusedBefore;
        }
        ServiceOffer::Refused(self.refuse(digest, None, reason))
    }

    /// Records that a source has a version.
    pub fn offer(&mut self, stamp: Stamp, source: Source, now: Instant) -> Option<Refusal> {
        let newest = self.newest_stamp();
        if stamp.version < newest.version || stamp == newest || self.is_refused(&stamp.digest) {
            return None;
        }
        if stamp.version == newest.version {
            let version = stamp.version;
            let reason = PublicationError::ChangedContent { version };
            return Some(self.refuse(stamp.digest, Some(version), reason));
        }
        self.seen_version = self.seen_version.max(stamp.version);
        self.start_fetch(stamp, source, now);
        None
    }

    /// Handles a manifest that the configuration service returned.
    pub fn offer_manifest(&mut self, bytes: &Arc<[u8]>, now: Instant) -> ServiceOffer {
        let digest = ContentDigest::of(bytes);
        if self.is_refused(&digest) {
            return ServiceOffer::RefusedBefore;
        }
        let version = match Manifest::parse(bytes) {
            Ok(manifest) => manifest.version,
            Err(reason) => return ServiceOffer::Refused(self.refuse(digest, None, reason)),
        };
        let stamp = Stamp { version, digest };
        if version < self.newest_stamp().version {
            return ServiceOffer::Stale;
        }
        if let Some(refusal) = self.offer(stamp, Source::Service, now) {
            return ServiceOffer::Refused(refusal);
        }
        for fetch in &mut self.fetches {
            if fetch.stamp != stamp {
                fetch.remove_service();
            } else if fetch.manifest().is_none()
                && let Err(reason) = fetch.set_manifest(bytes.clone())
            {
                return ServiceOffer::Refused(self.refuse(digest, Some(version), reason));
            }
        }
        ServiceOffer::Fresh(stamp)
    }

    /// Handles a complete publication that was built on this host.
    pub fn offer_publication(&mut self, publication: &Publication, now: Instant) -> ServiceOffer {
        let offer = self.offer_manifest(&publication.manifest, now);
        for pack in &publication.packs {
            for fetch in &mut self.fetches {
                fetch.add_pack(pack.digest, &pack.bytes);
            }
        }
        offer
    }

    /// Handles a manifest or pack from a source.
    pub fn on_blob(
        &mut self,
        source: &Source,
        digest: ContentDigest,
        bytes: &Arc<[u8]>,
        now: Instant,
    ) -> Option<Refusal> {
        if ContentDigest::of(bytes) != digest {
            return self.on_digest_mismatch(source, digest, now);
        }
        let mut failure = None;
        for fetch in &mut self.fetches {
            fetch.on_response(source);
            if fetch.stamp.digest != digest {
                fetch.add_pack(digest, bytes);
            } else if let Err(reason) = fetch.set_manifest(bytes.clone()) {
                failure = Some((fetch.stamp.version, reason));
            }
        }
        failure.map(|(version, reason)| self.refuse(digest, Some(version), reason))
    }

    /// Records that a source has not returned the requested content.
    pub fn on_failure(&mut self, source: &Source, digest: &ContentDigest, now: Instant) {
        for fetch in &mut self.fetches {
            fetch.on_failure(source, digest, now);
        }
    }

    /// Builds the versions whose packs are all present, and returns refusals.
    pub fn stage_complete(&mut self) -> Vec<Refusal> {
        let mut refusals = Vec::new();
        loop {
            let stored = self.stored_blobs();
            let fetches = self.fetches.iter().enumerate().rev();
            let complete = fetches
                .filter_map(|(i, fetch)| Some((i, fetch.complete(stored)?)))
                .next();
            let Some((i, packs)) = complete else {
                return refusals;
            };
            let fetch = self.fetches.remove(i);
            if let Err(reason) = self.stage(&fetch, &packs) {
                let Stamp { version, digest } = fetch.stamp;
                refusals.push(self.refuse(digest, Some(version), reason));
            }
        }
    }

    /// Puts the newest complete version in force, if it is not yet.
    pub fn adopt(&mut self) -> Option<Arc<D>> {
        let staged = self.staged.take()?;
        let value = staged.value.clone();
        self.adopted = Some(staged);
        Some(value)
    }

    /// Reports whether a version is newer than the newest complete one here, and
    /// has not been refused.
    pub fn wants(&self, stamp: &Stamp) -> bool {
        stamp.version > self.newest_stamp().version && !self.is_refused(&stamp.digest)
    }

    /// Gives up requests that timed out, and returns what to request now.
    pub fn advance(&mut self, timeout: Duration, now: Instant) -> Vec<Need> {
        let mut needs = Vec::new();
        let stored = self
            .staged
            .as_ref()
            .or(self.adopted.as_ref())
            .map(|stored| &stored.blobs);
        let empty = Blobs::new();
        for fetch in self.fetches.iter_mut().rev() {
            needs.extend(fetch.advance(stored.unwrap_or(&empty), timeout, now));
        }
        self.fetches.retain(|fetch| !fetch.is_exhausted());
        needs
    }

    fn newest_stamp(&self) -> Stamp {
        let stored = self.staged.as_ref().or(self.adopted.as_ref());
        stored.map(|stored| stored.stamp).unwrap_or_default()
    }

    fn stored_blobs(&self) -> &Blobs {
        static EMPTY: Blobs = Blobs::new();
        let stored = self.staged.as_ref().or(self.adopted.as_ref());
        stored.map_or(&EMPTY, |stored| &stored.blobs)
    }

    fn start_fetch(&mut self, stamp: Stamp, source: Source, now: Instant) {
        if let Some(fetch) = self.fetches.iter_mut().find(|p| p.stamp == stamp) {
            fetch.add_source(source, now);
            return;
        }
        let mut fetch = VersionFetch::new(stamp);
        fetch.add_source(source, now);
        self.fetches.push(fetch);
        self.fetches.sort_by_key(|fetch| fetch.stamp.version);
        if self.fetches.len() > MAX_FETCHES {
            self.fetches.remove(0);
        }
    }

    fn stage(&mut self, fetch: &VersionFetch, packs: &[Pack]) -> Result<(), PublicationError> {
        let Some((manifest, bytes)) = fetch.manifest() else {
            return Ok(());
        };
        let value = D::assemble(manifest, packs)?;
        let mut blobs: Blobs = packs.iter().map(|p| (p.digest, p.bytes.clone())).collect();
        blobs.insert(fetch.stamp.digest, bytes.clone());
        let stamp = fetch.stamp;
        self.staged = Some(StoredVersion {
            stamp,
            value: Arc::new(value),
            blobs,
        });
        self.fetches.retain(|p| p.stamp.version > stamp.version);
        Ok(())
    }

    fn on_digest_mismatch(
        &mut self,
        source: &Source,
        digest: ContentDigest,
        now: Instant,
    ) -> Option<Refusal> {
        let mut version = None;
        for fetch in &mut self.fetches {
            if !fetch.contains(&digest) {
                continue;
            }
            fetch.on_failure(source, &digest, now);
            version = Some(fetch.stamp.version);
        }
        if version.is_none() || self.mismatched.contains(&digest) {
            return None;
        }
        // Another source may have the right content, so the digest is not
        // refused permanently.
        remember(&mut self.mismatched, digest);
        Some(log_refusal::<D>(
            version,
            PublicationError::WrongDigest { digest },
        ))
    }

    fn is_refused(&self, digest: &ContentDigest) -> bool {
        self.refused.contains(digest)
    }

    /// Remembers a digest, so that it is refused and logged once.
    fn refuse(
        &mut self,
        digest: ContentDigest,
        version: Option<u64>,
        reason: PublicationError,
    ) -> Refusal {
        remember(&mut self.refused, digest);
        self.fetches.retain(|fetch| fetch.stamp.digest != digest);
        log_refusal::<D>(version, reason)
    }
}

fn remember(digests: &mut VecDeque<ContentDigest>, digest: ContentDigest) {
    if digests.len() >= MAX_REMEMBERED_DIGESTS {
        digests.pop_front();
    }
    digests.push_back(digest);
}

/// Logs and returns a refusal.
fn log_refusal<D: Document>(version: Option<u64>, reason: PublicationError) -> Refusal {
    match version {
        Some(version) => log::warn!("config: refused {} version {version}: {reason}", D::KIND),
        None => log::warn!("config: refused a {}: {reason}", D::KIND),
    }
    Refusal {
        document: D::KIND,
        version,
        reason,
    }
}
