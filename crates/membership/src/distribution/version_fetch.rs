//! Fetches one version's manifest and packs from several sources.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::{Manifest, Pack, PublicationError};
use waxwingusher_core::{ContentDigest, HostId};
use waxwingusher_protocol::Stamp;

/// Concurrent requests for one version.
const MAX_REQUESTS: usize = 4;

/// Consecutive timeouts after which a peer is no longer used. As many over all
/// peers make the service the next source.
const MAX_TIMEOUTS: u32 = 4;

/// How long the configuration service may take to return a pack.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval between reads of packs, which keeps all readers together well
/// below the capacity of the configuration service.
const SERVICE_INTERVAL: Duration = Duration::from_millis(10);

/// The reads that may be made at once after an idle time.
const SERVICE_BURST: u32 = 4;

/// The first backoff after the configuration service failed or lacked a value.
const MIN_SERVICE_BACKOFF: Duration = Duration::from_secs(1);

/// The longest backoff after the configuration service failed or lacked a value.
const MAX_SERVICE_BACKOFF: Duration = Duration::from_secs(30);

/// Where packs come from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The configuration service.
    Service,
    /// A peer that has the version in force.
    Peer(HostId),
}

/// A manifest or pack to be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Need {
    /// Where to fetch it.
    pub source: Source,
    /// What to fetch.
    pub digest: ContentDigest,
}

#[derive(Debug)]
struct Request {
    source: Source,
    deadline: Instant,
}

/// The fetch of one version.
#[derive(Debug)]
pub struct VersionFetch {
    /// The version and its manifest's digest.
    pub stamp: Stamp,
    peers: BTreeMap<HostId, u32>,
    service: Option<ServiceSource>,
    manifest: Option<(Manifest, Arc<[u8]>)>,
    packs: BTreeMap<ContentDigest, Arc<[u8]>>,
    requests: BTreeMap<ContentDigest, Request>,
    rotation: usize,
    /// Consecutive requests that no peer has answered.
    timeouts: u32,
}

#[derive(Debug)]
struct ServiceSource {
    not_before: Instant,
    backoff: Duration,
}

impl VersionFetch {
    /// Creates a fetch without a source.
    pub fn new(stamp: Stamp) -> Self {
        Self {
            stamp,
            peers: BTreeMap::new(),
            service: None,
            manifest: None,
            packs: BTreeMap::new(),
            requests: BTreeMap::new(),
            rotation: 0,
            timeouts: 0,
        }
    }

    /// Adds a source.
    pub fn add_source(&mut self, source: Source, now: Instant) {
        match source {
            Source::Peer(host) => {
                self.peers.entry(host).or_default();
            }
            Source::Service => {
                self.service.get_or_insert(ServiceSource {
                    not_before: now,
                    backoff: MIN_SERVICE_BACKOFF,
                });
            }
        }
    }

    /// Removes the configuration service as a source.
    pub fn remove_service(&mut self) {
        self.service = None;
    }

    /// Reports whether nothing more can be fetched.
    pub fn is_exhausted(&self) -> bool {
        self.peers.is_empty() && self.service.is_none() && self.requests.is_empty()
    }

    /// Returns the manifest with its bytes, once it has been fetched.
    pub fn manifest(&self) -> Option<&(Manifest, Arc<[u8]>)> {
        self.manifest.as_ref()
    }

    /// Stores the manifest's bytes, whose digest has been checked.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a manifest of the version.
    pub fn set_manifest(&mut self, bytes: Arc<[u8]>) -> Result<(), PublicationError> {
        let manifest = Manifest::parse(&bytes)?;
        if manifest.version != self.stamp.version {
            let version = self.stamp.version;
            return Err(PublicationError::ChangedContent { version });
        }
        self.requests.remove(&self.stamp.digest);
        self.manifest = Some((manifest, bytes));
        Ok(())
    }

    /// Records that a source has answered.
    pub fn on_response(&mut self, source: &Source) {
        let Source::Peer(host) = source else {
            return;
        };
        self.timeouts = 0;
        if let Some(timeouts) = self.peers.get_mut(host) {
            *timeouts = 0;
        }
    }

    /// Reports whether a digest names the manifest or a pack of the version.
    pub fn contains(&self, digest: &ContentDigest) -> bool {
        let manifest = self.manifest.as_ref();
        self.stamp.digest == *digest
            || manifest.is_some_and(|(manifest, _)| manifest.packs.contains(digest))
    }

    /// Stores a pack whose digest has been checked, if the version has it.
    pub fn add_pack(&mut self, digest: ContentDigest, bytes: &Arc<[u8]>) {
        self.requests.remove(&digest);
        if self.contains(&digest) {
            self.packs.insert(digest, bytes.clone());
        }
    }

    /// Records that a source has not returned the requested content.
    pub fn on_failure(&mut self, source: &Source, digest: &ContentDigest, now: Instant) {
        let is_request = self
            .requests
            .get(digest)
            .is_some_and(|request| request.source == *source);
        if !is_request {
            return;
        }
        self.requests.remove(digest);
        self.penalize_source(source, now);
    }

    /// Removes a peer from the sources; backs off from the service.
    fn penalize_source(&mut self, source: &Source, now: Instant) {
        match source {
            Source::Peer(host) => {
                self.peers.remove(host);
            }
            Source::Service => {
                if let Some(service) = &mut self.service {
                    service.not_before = now + service.backoff;
                    service.backoff = (service.backoff * 2).min(MAX_SERVICE_BACKOFF);
                }
            }
        }
    }

    /// Penalizes a peer after several timeouts, and the service after each. A late
    /// pack is still accepted.
    fn on_timeout(&mut self, source: &Source, now: Instant) {
        if matches!(source, Source::Peer(_)) {
            self.timeouts += 1;
        }
        if let Source::Peer(host) = source
            && let Some(timeouts) = self.peers.get_mut(host)
        {
            *timeouts += 1;
            if *timeouts < MAX_TIMEOUTS {
                return;
            }
        }
        self.penalize_source(source, now);
    }

    /// Returns all packs in the manifest's order, or None if some are missing.
    pub fn complete(&self, stored: &BTreeMap<ContentDigest, Arc<[u8]>>) -> Option<Vec<Pack>> {
        let (manifest, _) = self.manifest.as_ref()?;
        let mut packs = Vec::with_capacity(manifest.packs.len());
        for digest in &manifest.packs {
            let bytes = self.packs.get(digest).or_else(|| stored.get(digest))?;
            packs.push(Pack {
                digest: *digest,
                bytes: bytes.clone(),
            });
        }
        Some(packs)
    }

    /// Gives up requests that timed out, and returns what to request now.
    pub fn advance(
        &mut self,
        stored: &BTreeMap<ContentDigest, Arc<[u8]>>,
        timeout: Duration,
        now: Instant,
    ) -> Vec<Need> {
        self.expire(now);
        let mut needs = Vec::new();
        for digest in self.missing(stored) {
            if self.requests.len() >= MAX_REQUESTS {
                break;
            }
            let Some(source) = self.next_source(now) else {
                break;
            };
            let timeout = match source {
                Source::Peer(_) => timeout,
                Source::Service => SERVICE_TIMEOUT,
            };
            let request = Request {
                source: source.clone(),
                deadline: now + timeout,
            };
            self.requests.insert(digest, request);
            needs.push(Need { source, digest });
        }
        needs
    }

    fn expire(&mut self, now: Instant) {
        let expired: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| request.deadline <= now)
            .map(|(digest, request)| (*digest, request.source.clone()))
            .collect();
        for (digest, source) in expired {
            self.requests.remove(&digest);
            self.on_timeout(&source, now);
        }
    }

    /// Returns the digests that are neither stored nor requested.
    fn missing(&self, stored: &BTreeMap<ContentDigest, Arc<[u8]>>) -> Vec<ContentDigest> {
        let Some((manifest, _)) = &self.manifest else {
            let digest = self.stamp.digest;
            let is_requested = self.requests.contains_key(&digest);
            return if is_requested {
                Vec::new()
            } else {
                vec![digest]
            };
        };
        let is_missing = |digest: &&ContentDigest| {
            !self.packs.contains_key(digest)
                && !stored.contains_key(digest)
                && !self.requests.contains_key(digest)
        };
        manifest
            .packs
            .iter()
            .filter(is_missing)
            .take(MAX_REQUESTS)
            .copied()
            .collect()
    }

    /// Returns the peers in rotation, and the service if there is none or they do
    /// not answer. Peers whose messages arrive but that cannot be reached offer the
    /// version repeatedly, so that there is always a peer.
    fn next_source(&mut self, now: Instant) -> Option<Source> {
        let service = if self.timeouts >= MAX_TIMEOUTS {
            self.next_service(now)
        } else {
            None
        };
        service
            .or_else(|| self.next_peer())
            .or_else(|| self.next_service(now))
    }

    fn next_peer(&mut self) -> Option<Source> {
        self.rotation += 1;
        let index = self.rotation % self.peers.len().max(1);
        let host = self.peers.keys().nth(index)?;
        Some(Source::Peer(host.clone()))
    }

    /// Returns the service if it may be read now. Only packs are read from it, as
    /// its manifest may already be another one.
    fn next_service(&mut self, now: Instant) -> Option<Source> {
        self.manifest.as_ref()?;
        let service = self.service.as_mut()?;
        if now < service.not_before {
            return None;
        }
        let earliest = now.checked_sub(SERVICE_INTERVAL * (SERVICE_BURST - 1));
        let from = service.not_before.max(earliest.unwrap_or(now));
        service.not_before = from + SERVICE_INTERVAL;
        Some(Source::Service)
    }
}
