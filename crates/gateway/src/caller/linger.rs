//! Reads what a client still sends on a connection that this host has closed, so that the
//! client can read the last answer: bytes that arrive after the end of the socket cause a
//! reset, which discards what is left of the answer.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::net::tcp::OwnedReadHalf;

use crate::state::{Phase, State};

/// How long the client must send nothing before the connection is dropped.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest time for which a connection is read.
const MAX_LINGER_TIME: Duration = Duration::from_secs(10);
/// The longest time for which the rest of a refused body is read.
const MAX_REFUSED_BODY_TIME: Duration = Duration::from_secs(60);
const READ_BYTES: usize = 16 * 1024;

/// What a client may still send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unread {
    /// Nothing that it announced, or more than it may.
    Unknown,
    /// The rest of a body within the limits.
    Body {
        /// Its length, if it was announced.
        bytes: usize,
        /// How long the client may pause.
        idle_timeout: Duration,
    },
}

/// Reads and discards what the client still sends, until it closes. A host that stops does
/// not wait for the rest of a refused body.
pub(super) async fn linger(state: &State, stream: OwnedReadHalf, unread: Unread) {
    if let Unread::Body {
        bytes,
        idle_timeout,
    } = unread
    {
        tokio::select! {
            () = discard(&stream, bytes, idle_timeout) => {}
            () = tokio::time::sleep(MAX_REFUSED_BODY_TIME) => {}
            () = state.reach_phase(Phase::Ending) => {}
        }
    }
    let rest = discard(&stream, usize::MAX, LINGER_TIMEOUT);
    // After the timeout the connection is dropped.
    let _ = tokio::time::timeout(MAX_LINGER_TIME, rest).await;
}

/// Discards up to `max_bytes`, until the client pauses for too long or disconnects.
async fn discard(stream: &OwnedReadHalf, max_bytes: usize, timeout: Duration) {
    let mut missing_bytes = max_bytes;
    while missing_bytes > 0 {
        // A client that sends without end must not hold up the event loop.
        tokio::task::consume_budget().await;
        let readable = tokio::time::timeout(timeout, stream.readable()).await;
        if !matches!(readable, Ok(Ok(()))) {
            return;
        }
        match stream.try_read(&mut [0; READ_BYTES]) {
            Ok(0) => return,
            Ok(count) => missing_bytes = missing_bytes.saturating_sub(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
