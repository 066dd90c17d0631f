//! Relays an upstream's answer to the caller.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use waxwingusher_attempts::AttemptResult;
use waxwingusher_edge::{
    Answer, AnswerSender, BodySender, UpstreamAnswer, UpstreamBody, UpstreamError, headers,
};
use waxwingusher_protocol::attempt::{StoredAnswer, StoredHeader};

use super::RequestContext;

/// Answers up to this size are read completely before the caller gets a byte,
/// so that one that is cut off can still be replaced.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// How much of an answer reached the caller.
pub(super) enum Relayed {
    /// The caller has the complete answer.
    Complete,
    /// The caller has closed its connection.
    CallerGone,
    /// The upstream stopped after the caller had received a part; the caller's
    /// connection was closed.
    CutOff,
    /// The upstream stopped before the caller had received a byte.
    NoAnswer(AnswerSender, UpstreamError),
}

/// Relays an answer. One of up to [`MAX_BUFFERED_BYTES`] is read completely
/// first.
pub(super) fn relay(
    context: &RequestContext<'_>,
    answer: UpstreamAnswer,
    reply: AnswerSender,
) -> Relayed {
    let UpstreamAnswer {
        status,
        headers,
        mut body,
    } = answer;
    let mut buffered = BytesMut::new();
    loop {
        match body.next_chunk() {
            Ok(Some(chunk)) => buffered.extend_from_slice(&chunk),
            Ok(None) => {
                send_complete(context, status, headers, buffered.freeze(), reply);
                return Relayed::Complete;
            }
            Err(error) => return Relayed::NoAnswer(reply, error),
        }
        if buffered.len() > MAX_BUFFERED_BYTES {
            break;
        }
    }
    // From here on the caller receives this answer, complete or cut off.
    stream(context, status, headers, buffered.freeze(), body, reply)
}

/// Returns the answer of an operation's first attempt.
pub(crate) fn replayed_answer(stored: &StoredAnswer) -> Answer {
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

/// Marks an answer that was stored by an earlier attempt.
const REPLAYED: HeaderName = HeaderName::from_static("x-waxwingusher-replayed");

fn send_complete(
    context: &RequestContext<'_>,
    status: StatusCode,
    mut headers: HeaderMap,
    body: Bytes,
    reply: AnswerSender,
) {
    headers::strip_reserved(&mut headers);
    let stored = to_stored_answer(status, &headers, &body);
    context.finish_attempt(AttemptResult::Answered(stored));
    let is_head = context.request.method == http::Method::HEAD;
    let has_body =
        !is_head && status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED;
    if has_body {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    reply.send(Answer::complete(status, headers, body));
}

fn stream(
    context: &RequestContext<'_>,
    status: StatusCode,
    mut headers: HeaderMap,
    buffered: Bytes,
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
    // The answer is too large to be stored and replayed.
    context.finish_attempt(AttemptResult::Unknown);
    if sender.send(buffered).is_err() {
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
                    Ok(()) => Relayed::Complete,
                    Err(_) => Relayed::CallerGone,
                };
            }
            Err(_) => return Relayed::CutOff,
        }
    }
}

fn to_stored_answer(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> StoredAnswer {
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
