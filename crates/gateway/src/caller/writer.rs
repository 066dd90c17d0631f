//! Writes answers in the order of their requests.

use std::fmt::Write as _;
use std::rc::Rc;

use http::{Method, header};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use super::connection::ConnectionState;
use crate::answer::Answer;
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
        let bytes = encode(&answer, &queued.method, closes_connection);
        let written = stream.write_all(&bytes).await;
        shared.record_answered(&state);
        if written.is_err() || closes_connection {
            break;
        }
    }
    // An error means that the caller has disconnected already.
    let _ = stream.shutdown().await;
    shared.close();
}

fn encode(answer: &Answer, method: &Method, closes_connection: bool) -> Vec<u8> {
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
    if method != Method::HEAD {
        bytes.extend_from_slice(&answer.body);
    }
    bytes
}
