//! Bodies of requests and answers, in pieces.
//!
//! A body whose length is not known would have to be copied whenever its memory grows, and
//! the allocator keeps much of what large bodies leave behind. So all but the beginning of a
//! large body lies in pieces of its own pages, which are unmapped with it.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes, BytesMut};
use hyper::body::{Frame, SizeHint};
use memmap2::MmapMut;

use crate::resources::Charge;

/// The beginning of a body that lies in memory of the allocator.
pub(crate) const SMALL_BODY_BYTES: usize = 64 * 1024;
/// The size of each further piece.
pub(crate) const PIECE_BYTES: usize = 256 * 1024;

/// A complete body. Its bytes are shared by all clones, and stay charged until the last one
/// is dropped.
#[derive(Debug, Clone, Default)]
pub(crate) struct Body {
    pieces: VecDeque<Bytes>,
    length: usize,
    _charge: Option<Rc<Charge>>,
}

impl Body {
    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns the bytes in order.
    pub(crate) fn pieces(&self) -> impl Iterator<Item = &Bytes> {
        self.pieces.iter()
    }

    /// Keeps a charge until the body is dropped.
    pub(crate) fn with_charge(self, charge: Rc<Charge>) -> Self {
        Self {
            _charge: Some(charge),
            ..self
        }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self {
            length: bytes.len(),
            pieces: VecDeque::from_iter(Some(bytes).filter(|bytes| !bytes.is_empty())),
            _charge: None,
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.pop_front();
        self.length -= piece.as_ref().map_or(0, Bytes::len);
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.length == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}

/// Bytes that are written: a head and a body.
#[derive(Debug)]
pub(crate) struct OutgoingBytes(VecDeque<Bytes>);

impl OutgoingBytes {
    /// Puts a head before a body.
    pub(crate) fn new(head: Vec<u8>, body: &Body) -> Self {
        let pieces = std::iter::once(Bytes::from(head)).chain(body.pieces().cloned());
        Self(pieces.filter(|piece| !piece.is_empty()).collect())
    }
}

impl Buf for OutgoingBytes {
    fn remaining(&self) -> usize {
        self.0.iter().map(Bytes::len).sum()
    }

    fn chunk(&self) -> &[u8] {
        self.0.front().map_or(&[], |piece| piece)
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let mut count = 0;
        for (slice, piece) in slices.iter_mut().zip(&self.0) {
            *slice = IoSlice::new(piece);
            count += 1;
        }
        count
    }

    fn advance(&mut self, mut count: usize) {
        while count > 0
            && let Some(piece) = self.0.front_mut()
        {
            let taken = count.min(piece.len());
            piece.advance(taken);
            count -= taken;
            if piece.is_empty() {
                self.0.pop_front();
            }
        }
    }
}

/// Collects a body.
#[derive(Debug, Default)]
pub(crate) struct BodyBuilder {
    /// The length, if it is known.
    expected_bytes: Option<usize>,
    start: BytesMut,
    pieces: VecDeque<Bytes>,
    /// The piece that is being filled, and how far.
    current: Option<(MmapMut, usize)>,
    length: usize,
}

impl BodyBuilder {
    /// Starts a body.
    pub(crate) fn new(expected_bytes: Option<usize>) -> Self {
        Self {
            expected_bytes,
            ..Self::default()
        }
    }

    /// Returns the number of bytes so far.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns how many bytes of memory a body of a length takes.
    pub(crate) fn memory_bytes(length: usize) -> usize {
        let in_pieces = length.saturating_sub(SMALL_BODY_BYTES);
        length.min(SMALL_BODY_BYTES) + in_pieces.next_multiple_of(PIECE_BYTES)
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the system has no memory for a further piece.
    pub(crate) fn append(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        self.length += bytes.len();
        let room = SMALL_BODY_BYTES - self.start.len();
        let (start, rest) = bytes.split_at(room.min(bytes.len()));
        if self.start.is_empty() && !start.is_empty() {
            let expected = self.expected_bytes.unwrap_or(start.len());
            self.start.reserve(expected.min(SMALL_BODY_BYTES));
        }
        self.start.extend_from_slice(start);
        bytes = rest;
        while !bytes.is_empty() {
            let (mut piece, filled) = match self.current.take() {
                Some(current) => current,
                None => (MmapMut::map_anon(PIECE_BYTES)?, 0),
            };
            let (taken, rest) = bytes.split_at((PIECE_BYTES - filled).min(bytes.len()));
            let filled_to = filled + taken.len();
            piece[filled..filled_to].copy_from_slice(taken);
            if filled_to == PIECE_BYTES {
                self.pieces.push_back(Bytes::from_owner(piece));
            } else {
                self.current = Some((piece, filled_to));
            }
            bytes = rest;
        }
        Ok(())
    }

    /// Returns the body.
    pub(crate) fn finish(mut self) -> Body {
        if let Some((piece, filled)) = self.current.take() {
            self.pieces
                .push_back(Bytes::from_owner(piece).slice(..filled));
        }
        if !self.start.is_empty() {
            self.pieces.push_front(self.start.freeze());
        }
        Body {
            pieces: self.pieces,
            length: self.length,
            _charge: None,
        }
    }
}
