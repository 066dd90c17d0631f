//! The memory that the bodies of all requests may take together.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use memmap2::MmapMut;

/// A body up to this size may use memory that larger ones leave free.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Divides the memory into the part that larger bodies leave free.
const SMALL_BODIES_DIVISOR: usize = 8;

/// A body in memory. A large one lies in pages of its own, of which only those that are filled
/// are resident, and which are unmapped with it.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    max_bytes: usize,
    start: BytesMut,
    pages: Option<MmapMut>,
    length: usize,
}

impl BodyBuffer {
    /// Creates the buffer of a body that has no more than `max_bytes`.
    pub(super) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            start: BytesMut::new(),
            pages: None,
            length: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Appends bytes, at most as many as the body may have.
    pub(super) fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let end = self.length + bytes.len();
        if end > SMALL_BODY_BYTES && self.pages.is_none() {
            let mut pages = MmapMut::map_anon(self.max_bytes)?;
            pages[..self.length].copy_from_slice(&self.start);
            self.start = BytesMut::new();
            self.pages = Some(pages);
        }
        match &mut self.pages {
            Some(pages) => pages[self.length..end].copy_from_slice(bytes),
            None => self.start.extend_from_slice(bytes),
        }
        self.length = end;
        Ok(())
    }

    pub(super) fn finish(self) -> Bytes {
        match self.pages {
            Some(pages) => Bytes::from_owner(pages).slice(..self.length),
            None => self.start.freeze(),
        }
    }
}

/// There is no memory for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NoMemory;

/// What the bodies of all requests take.
#[derive(Debug, Clone)]
pub(crate) struct BodyMemory {
    max_bytes: usize,
    used_bytes: Arc<AtomicUsize>,
}

impl BodyMemory {
    pub(super) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: Arc::default(),
        }
    }

    /// Starts the account of one body.
    pub(super) fn open(&self) -> BodyCharge {
        BodyCharge {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// The memory of one body, until it is dropped.
#[derive(Debug)]
pub(super) struct BodyCharge {
    memory: BodyMemory,
    bytes: usize,
}

impl BodyCharge {
    /// Charges what is lacking before it is allocated.
    pub(super) fn grow_to(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let lacking = bytes.saturating_sub(self.bytes);
        let max_bytes = if bytes > SMALL_BODY_BYTES {
            self.memory.max_bytes - self.memory.max_bytes / SMALL_BODIES_DIVISOR
        } else {
            self.memory.max_bytes
        };
        let grow = |used: usize| Some(used + lacking).filter(|used| *used <= max_bytes);
        let used_bytes = &self.memory.used_bytes;
        let grown = used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow);
        grown.map_err(|_| NoMemory)?;
        self.bytes += lacking;
        Ok(())
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        let used_bytes = &self.memory.used_bytes;
        used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
