//! Detection of requests with both `Content-Length` and chunked encoding.
//!
//! The HTTP library resolves that ambiguity silently by dropping the length. The
//! stream therefore records the bytes received since the previous request was
//! read, so that the head of a chunked request can be checked as it was sent.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// Bytes received on a connection since its previous request was read, up to a
/// limit.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedBytes {
    bytes: Arc<Mutex<Vec<u8>>>,
    max_bytes: usize,
}

impl ReceivedBytes {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            bytes: Arc::new(Mutex::new(Vec::new())),
            max_bytes,
        }
    }

    /// Discards the recorded bytes. Called once a request has been read.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    /// Reports whether the head of the current request was recorded completely
    /// and has no `Content-Length`.
    pub(crate) fn head_has_no_content_length(&self) -> bool {
        let bytes = self.lock();
        let Some(end) = bytes.windows(HEAD_END.len()).position(|w| w == HEAD_END) else {
            return false;
        };
        let head = bytes[..end].to_ascii_lowercase();
        !head
            .split(|byte| *byte == b'\n')
            .any(|line| line.starts_with(b"content-length"))
    }

    fn push(&self, new: &[u8]) {
        let mut bytes = self.lock();
        let room = self.max_bytes.saturating_sub(bytes.len());
        bytes.extend_from_slice(&new[..new.len().min(room)]);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A TCP stream that records the bytes it reads.
#[derive(Debug)]
pub(crate) struct RecordingStream {
    inner: TcpStream,
    received: ReceivedBytes,
}

impl RecordingStream {
    pub(crate) fn new(inner: TcpStream, received: ReceivedBytes) -> Self {
        Self { inner, received }
    }
}

impl AsyncRead for RecordingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.received.push(&buf.filled()[before..]);
        }
        result
    }
}

impl AsyncWrite for RecordingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
