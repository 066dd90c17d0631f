//! Transfer of a whole configuration between two hosts, in chunks.
//!
//! A host that lacks a version asks a peer for it. The peer sends the compressed
//! configuration in chunks that fit into datagrams, at a rate that leaves more than
//! half of its link to other traffic. The host asks other peers for chunks that do not arrive. At most one
//! partial configuration is kept.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use waxwingusher_config::routing::RoutingDocument;
use waxwingusher_membership::seeded::{DocumentChunk, DocumentRequest};
use xxhash_rust::xxh3::xxh3_64;

use crate::feed_codec::{CodecError, deflate, inflate};
use crate::feed_delta::DigestedDocument;

/// The content of one chunk; with the headers it fits into a datagram without
/// fragmentation.
pub const CHUNK_BYTES: usize = 1_200;
/// The largest compressed configuration that is transferred.
pub const MAX_STREAM_BYTES: usize = 4 * 1024 * 1024;
/// The largest configuration that is transferred.
const MAX_DOCUMENT_BYTES: u64 = 32 * 1024 * 1024;
/// The rate at which a host sends chunks for each unit of its capacity, which is a link of
/// 1,250,000 bytes/s. With their headers, and with other messages about the feed, it stays
/// below half of the link.
const BYTES_PER_S_PER_UNIT: f64 = 500_000.0;
/// The chunks that may be sent at once.
const MAX_BURST_BYTES: f64 = 4.0 * CHUNK_BYTES as f64;
/// How soon more chunks are sent.
const UPLOAD_INTERVAL: Duration = Duration::from_millis(4);
/// The peers that wait for chunks of this host at the same time.
pub const MAX_UPLOADS: usize = 512;
/// How long a peer waits for a version that this host does not have yet.
const MAX_PENDING_TIME: Duration = Duration::from_millis(1_000);
/// How long a request remains without a chunk before another peer is asked. A peer may
/// have to serve others first.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// The requests without any progress after which the transfer is given up.
const MAX_FRUITLESS_REQUESTS: u32 = 5;
/// The missing chunks that one request names.
const MAX_CHUNKS_PER_REQUEST: usize = 256;

/// A compressed configuration.
#[derive(Debug, Clone)]
pub struct DocumentStream {
    version: u64,
    digest: u64,
    bytes: Rc<[u8]>,
}

impl DocumentStream {
    /// Compresses a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration cannot be encoded or is too large.
    pub fn new(document: &RoutingDocument) -> Result<Self, CodecError> {
        let bytes = deflate(&postcard::to_allocvec(document)?)?;
        if bytes.len() > MAX_STREAM_BYTES {
            return Err(CodecError::TooLong(MAX_STREAM_BYTES as u64));
        }
        Ok(Self {
            version: document.version,
            digest: xxh3_64(&bytes),
            bytes: bytes.into(),
        })
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the digest of the compressed configuration.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of chunks.
    #[must_use]
    pub fn chunk_count(&self) -> u16 {
        chunk_count(self.bytes.len())
    }

    /// Returns a chunk; `None` if there are not as many.
    #[must_use]
    pub fn chunk(&self, index: u16) -> Option<DocumentChunk> {
        let chunk = self.bytes.chunks(CHUNK_BYTES).nth(index.into())?;
        Some(DocumentChunk {
            version: self.version,
            stream_digest: self.digest,
            stream_bytes: u32::try_from(self.bytes.len()).unwrap_or(u32::MAX),
            index,
            bytes: chunk.to_vec(),
        })
    }
}

fn chunk_count(stream_bytes: usize) -> u16 {
    u16::try_from(stream_bytes.div_ceil(CHUNK_BYTES)).unwrap_or(u16::MAX)
}

/// The chunks that a peer is sent.
#[derive(Debug)]
struct Upload {
    to: SocketAddr,
    /// The latest version that the peer has.
    version: u64,
    asked_at: Instant,
    /// The digest of the stream of which `chunks` are missing; 0 if none has arrived.
    stream_digest: u64,
    chunks: VecDeque<u16>,
    /// Whether `chunks` were derived from the stream that is being sent.
    is_started: bool,
}

/// The chunks that this host sends to peers, in the order of their requests.
#[derive(Debug, Default)]
pub struct Uploads {
    stream: Option<DocumentStream>,
    queue: VecDeque<Upload>,
    budget_bytes: f64,
    refilled_at: Option<Instant>,
}

impl Uploads {
    /// Queues the chunks that a peer has asked for. If this host does not have a later
    /// version, the peer gets it if it arrives soon. A request beyond [`MAX_UPLOADS`] is
    /// dropped; the peer asks another host.
    pub fn request(&mut self, now: Instant, to: SocketAddr, request: DocumentRequest) {
        self.queue.retain(|upload| upload.to != to);
        if self.queue.len() >= MAX_UPLOADS {
            return;
        }
        self.queue.push_back(Upload {
            to,
            version: request.version,
            asked_at: now,
            stream_digest: request.stream_digest,
            chunks: request.chunks.into(),
            is_started: false,
        });
    }

    /// Returns when chunks are to be sent next.
    #[must_use]
    pub fn next_at(&self) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        self.refilled_at.map(|at| at + UPLOAD_INTERVAL)
    }

    /// Returns the chunks that a host of a capacity sends now. `latest` is the
    /// configuration that it has.
    pub fn take_due(
        &mut self,
        now: Instant,
        capacity: u16,
        latest: Option<&DigestedDocument>,
    ) -> Vec<(SocketAddr, DocumentChunk)> {
        self.refill(now, capacity);
        self.queue.retain(|upload| {
            upload.is_started || now.saturating_duration_since(upload.asked_at) < MAX_PENDING_TIME
        });
        let Some(stream) = self.current_stream(latest) else {
            return Vec::new();
        };
        let mut due = Vec::new();
        let mut waiting = VecDeque::new();
        while self.budget_bytes > 0.0 {
            let Some(mut upload) = self.queue.pop_front() else {
                break;
            };
            if upload.version >= stream.version {
                waiting.push_back(upload);
                continue;
            }
            upload.start(&stream);
            while self.budget_bytes > 0.0
                && let Some(index) = upload.chunks.pop_front()
            {
                if let Some(chunk) = stream.chunk(index) {
                    self.budget_bytes -= chunk.bytes.len() as f64;
                    due.push((upload.to, chunk));
                }
            }
            if !upload.chunks.is_empty() {
                self.queue.push_front(upload);
            }
        }
        self.queue.append(&mut waiting);
        if self.queue.is_empty() {
            self.stream = None;
        }
        due
    }

    fn refill(&mut self, now: Instant, capacity: u16) {
        let rate_per_s = BYTES_PER_S_PER_UNIT * f64::from(capacity.max(1));
        let elapsed = self
            .refilled_at
            .map_or(UPLOAD_INTERVAL, |at| now.saturating_duration_since(at));
        let most = MAX_BURST_BYTES.max(rate_per_s * UPLOAD_INTERVAL.as_secs_f64());
        self.budget_bytes = (self.budget_bytes + rate_per_s * elapsed.as_secs_f64()).min(most);
        self.refilled_at = Some(now);
    }

    /// Returns the compressed form of the latest configuration, if a peer waits for it.
    fn current_stream(&mut self, latest: Option<&DigestedDocument>) -> Option<DocumentStream> {
        let latest = latest?;
        let is_wanted = |upload: &Upload| upload.version < latest.version();
        if !self.queue.iter().any(is_wanted) {
            return None;
        }
        let known = self.stream.as_ref();
        if known.is_none_or(|stream| stream.version != latest.version()) {
            match DocumentStream::new(latest.document()) {
                Ok(stream) => self.stream = Some(stream),
                Err(error) => {
                    let version = latest.version();
                    log::error!("feed: Cannot send configuration {version}: {error}.");
                    self.queue.clear();
                    self.stream = None;
                }
            }
            for upload in &mut self.queue {
                upload.is_started = false;
            }
        }
        self.stream.clone()
    }
}

impl Upload {
    /// Determines the chunks to send: those that the peer lacks if it has others of this
    /// stream, else all.
    fn start(&mut self, stream: &DocumentStream) {
        if std::mem::replace(&mut self.is_started, true) {
            return;
        }
        if self.stream_digest != stream.digest || self.chunks.is_empty() {
            self.chunks = (0..stream.chunk_count()).collect();
        }
    }
}

/// A chunk cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ChunkError {
    /// The chunk's length or number contradicts the length of the whole.
    #[error("chunk {index} of {stream_bytes} bytes has the wrong length or number")]
    Malformed {
        /// The number of the chunk.
        index: u16,
        /// The length of the whole.
        stream_bytes: u32,
    },
    /// The chunks do not give the announced content.
    #[error("the chunks of version {version} do not give the announced content")]
    WrongContent {
        /// The version.
        version: u64,
    },
    /// The content cannot be decoded.
    #[error("the configuration cannot be decoded: {0}")]
    Content(#[from] CodecError),
}

/// A configuration of which some chunks have arrived.
#[derive(Debug)]
struct Partial {
    version: u64,
    stream_digest: u64,
    stream_bytes: usize,
    chunks: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl Partial {
    fn new(chunk: &DocumentChunk) -> Option<Self> {
        let stream_bytes = usize::try_from(chunk.stream_bytes).ok()?;
        if stream_bytes == 0 || stream_bytes > MAX_STREAM_BYTES {
            return None;
        }
        let count = usize::from(chunk_count(stream_bytes));
        Some(Self {
            version: chunk.version,
            stream_digest: chunk.stream_digest,
            stream_bytes,
            chunks: vec![None; count],
            missing: count,
        })
    }

    /// Adds a chunk, and reports whether it is new; `None` if it is malformed.
    fn add(&mut self, chunk: DocumentChunk) -> Option<bool> {
        let index = usize::from(chunk.index);
        let slot = self.chunks.get_mut(index)?;
        let expected = (self.stream_bytes - index * CHUNK_BYTES).min(CHUNK_BYTES);
        if chunk.bytes.len() != expected {
            return None;
        }
        if slot.is_some() {
            return Some(false);
        }
        *slot = Some(chunk.bytes);
        self.missing -= 1;
        Some(true)
    }

    fn decode(self) -> Result<RoutingDocument, ChunkError> {
        let bytes: Vec<u8> = self.chunks.into_iter().flatten().flatten().collect();
        if xxh3_64(&bytes) != self.stream_digest {
            return Err(ChunkError::WrongContent {
                version: self.version,
            });
        }
        let bytes = inflate(&bytes, MAX_DOCUMENT_BYTES)?;
        let document: RoutingDocument = postcard::from_bytes(&bytes).map_err(CodecError::from)?;
        if document.version != self.version {
            return Err(ChunkError::WrongContent {
                version: self.version,
            });
        }
        Ok(document)
    }

    fn missing_indexes(&self) -> Vec<u16> {
        let missing = (0..).zip(&self.chunks);
        let missing = missing.filter(|(_, chunk)| chunk.is_none());
        let missing = missing.map(|(index, _)| index);
        missing.take(MAX_CHUNKS_PER_REQUEST).collect()
    }
}

/// The request for a configuration that this host lacks.
#[derive(Debug, Default)]
pub struct Download {
    active: Option<ActiveDownload>,
}

#[derive(Debug)]
struct ActiveDownload {
    /// Where the next request goes, if that is known.
    preferred: Option<SocketAddr>,
    /// When another peer is asked.
    ask_at: Instant,
    fruitless: u32,
    partial: Option<Partial>,
}

/// What is to be done next for a configuration that this host lacks.
#[derive(Debug, PartialEq, Eq)]
pub enum DownloadStep {
    /// Nothing now.
    Wait,
    /// Send a request to `preferred`, or to a peer chosen by capacity.
    Ask {
        /// The peer that has announced the configuration.
        preferred: Option<SocketAddr>,
        /// The request.
        request: DocumentRequest,
    },
    /// No peer has answered; the source remains.
    GiveUp,
}

impl Download {
    /// Begins to ask for a configuration, unless this host is asking already.
    pub fn start(&mut self, now: Instant, preferred: Option<SocketAddr>) {
        self.active.get_or_insert(ActiveDownload {
            preferred,
            ask_at: now,
            fruitless: 0,
            partial: None,
        });
    }

    /// Reports whether this host is asking for a configuration.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.active.is_some()
    }

    /// Stops asking, since the configuration is known.
    pub fn stop(&mut self) {
        self.active = None;
    }

    /// Returns when [`step`](Self::step) has something to do.
    #[must_use]
    pub fn next_at(&self) -> Option<Instant> {
        self.active.as_ref().map(|active| active.ask_at)
    }

    /// Returns what is to be done at a host with a version. The timeout is jittered, so
    /// that hosts which have lost the same peer do not ask the next one together.
    pub fn step(&mut self, now: Instant, version: u64, rng: &mut fastrand::Rng) -> DownloadStep {
        let Some(active) = &mut self.active else {
            return DownloadStep::Wait;
        };
        if now < active.ask_at {
            return DownloadStep::Wait;
        }
        if active.fruitless >= MAX_FRUITLESS_REQUESTS {
            self.active = None;
            return DownloadStep::GiveUp;
        }
        active.fruitless += 1;
        active.ask_at = now + ANSWER_TIMEOUT.mul_f64(1.0 + 0.5 * rng.f64());
        let partial = active.partial.as_ref();
        DownloadStep::Ask {
            preferred: active.preferred.take(),
            request: DocumentRequest {
                version,
                stream_digest: partial.map_or(0, |partial| partial.stream_digest),
                chunks: partial.map_or_else(Vec::new, Partial::missing_indexes),
            },
        }
    }

    /// Adds a chunk at a host with a version, and returns the configuration if it is
    /// complete. Chunks of versions that are not later and chunks that this host has not
    /// asked for are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the chunk is malformed or the chunks together are wrong; the
    /// latter are dropped.
    pub fn on_chunk(
        &mut self,
        now: Instant,
        version: u64,
        chunk: DocumentChunk,
    ) -> Result<Option<RoutingDocument>, ChunkError> {
        let Some(active) = &mut self.active else {
            return Ok(None);
        };
        if chunk.version <= version {
            return Ok(None);
        }
        let malformed = ChunkError::Malformed {
            index: chunk.index,
            stream_bytes: chunk.stream_bytes,
        };
        let known = active.partial.as_ref();
        let is_other = known.is_none_or(|known| {
            known.version < chunk.version
                || (known.version == chunk.version && known.stream_digest != chunk.stream_digest)
        });
        if is_other {
            let Some(mut partial) = Partial::new(&chunk) else {
                return Err(malformed);
            };
            let Some(_) = partial.add(chunk) else {
                return Err(malformed);
            };
            active.partial = Some(partial);
        } else if let Some(partial) = &mut active.partial {
            if partial.version > chunk.version {
                return Ok(None);
            }
            match partial.add(chunk) {
                None => return Err(malformed),
                Some(false) => return Ok(None),
                Some(true) => {}
            }
        }
        active.fruitless = 0;
        active.ask_at = now + ANSWER_TIMEOUT;
        let Some(partial) = active.partial.take_if(|partial| partial.missing == 0) else {
            return Ok(None);
        };
        let document = partial.decode()?;
        Ok(Some(document))
    }
}
