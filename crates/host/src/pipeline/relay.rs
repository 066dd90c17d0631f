//! Passes an upstream's answer on to the caller.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use waxwingusher_attempts::AttemptResult;
use waxwingusher_edge::{
    Answer, AnswerSender, BodySender, UpstreamAnswer, UpstreamBody, UpstreamError, headers,
};
use waxwingusher_protocol::attempt::{StoredAnswer, StoredHeader};

use super::Flow;

/// Answers up to this size are read whole before the caller gets a byte, so
/// that a cut one can still be replaced.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// How far an answer got.
pub(super) enum Relayed {
    /// The caller has all of it.
    Whole,
    /// The caller has hung up.
    CallerGone,
    /// The upstream stopped after the caller had got a part; its connection was
    /// broken.
    Cut,
    /// The upstream stopped before the caller had got a byte.
    Unanswered(AnswerSender, UpstreamError),
}

/// Passes an answer on. Small ones are read whole first.
pub(super) fn relay(flow: &Flow<'_>, answer: UpstreamAnswer, reply: AnswerSender) -> Relayed {
    let UpstreamAnswer {
        status,
        headers,
        mut body,
    } = answer;
    let mut first = BytesMut::new();
    loop {
        match body.next_chunk() {
            Ok(Some(chunk)) => first.extend_from_slice(&chunk),
            Ok(None) => {
                send_whole(flow, status, headers, first.freeze(), reply);
                return Relayed::Whole;
            }
            Err(error) => return Relayed::Unanswered(reply, error),
        }
        if first.len() > MAX_BUFFERED_BYTES {
            break;
        }
    }
    // The caller sees the operation's answer from here on, whole or broken.
    stream(flow, status, headers, first.freeze(), body, reply)
}

/// Returns the answer of an operation's first attempt.
pub(crate) fn from_stored(stored: &StoredAnswer) -> Answer {
    let mut map = HeaderMap::new();
    for header in &stored.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value.as_bytes());
        let (Ok(name), Ok(value)) = (name, value) else {
            continue;
        };
        map.append(name, value);
    }
    map.insert(REPLAYED, HeaderValue::from_static("true"));
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    Answer::complete(status, map, Bytes::copy_from_slice(&stored.body))
}

/// Marks an answer that an earlier attempt got.
const REPLAYED: HeaderName = HeaderName::from_static("x-waxwingusher-replayed");

fn send_whole(
    flow: &Flow<'_>,
    status: StatusCode,
    mut headers: HeaderMap,
    body: Bytes,
    reply: AnswerSender,
) {
    headers::strip_reserved(&mut headers);
    let stored = to_stored(status, &headers, &body);
    flow.finish_attempt(AttemptResult::Answered(stored));
    let is_head = flow.request.method == http::Method::HEAD;
    let has_body =
        !is_head && status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED;
    if has_body {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    reply.send(Answer::complete(status, headers, body));
}

fn stream(
    flow: &Flow<'_>,
    status: StatusCode,
    mut headers: HeaderMap,
    first: Bytes,
    mut body: UpstreamBody,
    reply: AnswerSender,
) -> Relayed {
    headers::strip_reserved(&mut headers);
    let (sender, caller_body) = BodySender::channel();
    reply.send(Answer {
        status,
        headers,
        body: caller_body,
    });
    // Too large to be stored for repeats.
    flow.finish_attempt(AttemptResult::Unknown);
    if sender.send(first).is_err() {
        return Relayed::CallerGone;
    }
    loop {
        match body.next_chunk() {
            Ok(Some(chunk)) => {
                if sender.send(chunk).is_err() {
                    return Relayed::CallerGone;
                }
            }
            Ok(None) => {
                return match sender.finish() {
                    Ok(()) => Relayed::Whole,
                    Err(_) => Relayed::CallerGone,
                };
            }
            Err(_) => return Relayed::Cut,
        }
    }
}

fn to_stored(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> StoredAnswer {
    let mut stored = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let Ok(value) = value.to_str() else {
            continue;
        };
        if name == CONTENT_LENGTH {
            continue;
        }
        stored.push(StoredHeader {
            name: Arc::from(name.as_str()),
            value: Arc::from(value),
        });
    }
    StoredAnswer {
        status: status.as_u16(),
        headers: stored,
        body: Arc::from(&body[..]),
    }
}
