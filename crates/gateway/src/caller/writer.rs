//! Writes answers in the order of their requests.

use std::fmt::Write as _;
use std::io;
use std::rc::Rc;

use bytes::Buf;
use http::{Method, header};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use super::connection::ConnectionState;
use crate::answer::Answer;
use crate::body::{Body, OutgoingBytes};
use crate::resources::ConnectionEntry;
use crate::state::{Phase, State};

/// An answer, which may still be pending, in the order of its connection.
pub(super) struct QueuedAnswer {
    pub(super) answer: oneshot::Receiver<Answer>,
    pub(super) method: Method,
    /// Whether the connection closes after the answer whatever it is.
    pub(super) is_last: bool,
}

/// Writes answers until the connection ends.
pub(super) async fn run(
    state: Rc<State>,
    shared: Rc<ConnectionState>,
    mut stream: OwnedWriteHalf,
    mut answers: UnboundedReceiver<QueuedAnswer>,
) {
    while let Some(queued) = answers.recv().await {
        let Ok(answer) = queued.answer.await else {
            break;
        };
        let is_last_unanswered = shared.unanswered.get() == 1;
        let closes_for_shutdown = state.phase() >= Phase::Draining && is_last_unanswered;
        let closes_connection =
            !answer.status.is_informational() && (queued.is_last || closes_for_shutdown);
        if closes_connection {
            shared.begin_close();
        }
        let head = encode_head(&answer, closes_connection);
        let body = match queued.method {
            Method::HEAD => &Body::default(),
            _ => &answer.body,
        };
        let bytes = OutgoingBytes::new(head, body);
        let is_written = write(&shared.entry, &mut stream, bytes).await;
        drop(answer.body);
        drop(answer.memory);
        shared.record_answered(&state);
        if !is_written || closes_connection {
            break;
        }
    }
    // An error means that the caller has disconnected already.
    let _ = stream.shutdown().await;
    shared.close();
}

/// Writes the only answer on a connection.
pub(super) async fn write_last(mut stream: OwnedWriteHalf, answer: &Answer) -> io::Result<()> {
    let mut bytes = OutgoingBytes::new(encode_head(answer, true), &answer.body);
    stream.write_all_buf(&mut bytes).await?;
    stream.shutdown().await
}

/// Writes bytes as fast as the client reads; reports `false` if it has disconnected.
async fn write(
    entry: &ConnectionEntry,
    stream: &mut OwnedWriteHalf,
    mut bytes: OutgoingBytes,
) -> bool {
    entry.set_sending(true);
    let mut is_connected = true;
    while is_connected && bytes.has_remaining() {
        match stream.write_buf(&mut bytes).await {
            Ok(written @ 1..) => entry.record_progress(written),
            Ok(0) | Err(_) => is_connected = false,
        }
    }
    entry.set_sending(false);
    is_connected
}

fn encode_head(answer: &Answer, closes_connection: bool) -> Vec<u8> {
    let reason = answer.status.canonical_reason().unwrap_or("Unknown");
    let mut head = String::with_capacity(256);
    // Writing to a string cannot fail.
    let _ = write!(head, "HTTP/1.1 {} {reason}\r\n", answer.status.as_u16());
    if !answer.status.is_informational() {
        let _ = write!(
            head,
            "{}: {}\r\n",
            header::CONTENT_LENGTH,
            answer.body.len()
        );
    }
    if closes_connection {
        let _ = write!(head, "{}: close\r\n", header::CONNECTION);
    }
    let mut bytes = head.into_bytes();
    for (name, value) in &answer.headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}
