//! Reads complete requests from callers, and rejects ambiguous and oversized ones.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use waxwingusher_core::CancelToken;

use super::Shared;
use super::body_memory::{BodyBuffer, BodyCharge};
use crate::answer::Answer;
use crate::exchange::CallerRequest;
use crate::headers;
use crate::recording_stream::ReceivedBytes;

/// Why the edge rejected a request before or without a worker's answer. Except
/// for [`RejectReason::Unanswered`] and [`RejectReason::DrainEnded`], the request
/// has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RejectReason {
    Malformed,
    BodyTooLarge,
    BodyTimeout,
    NoMemory,
    QueueFull,
    Stopped,
    /// The worker dropped the request without an answer; the request may have
    /// run.
    Unanswered,
    /// The drain ended before a worker answered; the request may have run.
    DrainEnded,
}

/// Checks the request's framing and form, and reads its body within the limits.
pub(super) async fn read_request(
    request: Request<Incoming>,
    caller: SocketAddr,
    shared: &Arc<Shared>,
    received: &ReceivedBytes,
    cancel: CancelToken,
) -> Result<(CallerRequest, BodyCharge), RejectReason> {
    let (parts, body) = request.into_parts();
    check_framing(&parts.headers, received)?;
    check_method_and_target(&parts.method, parts.uri.authority().is_some())?;
    let target = parts
        .uri
        .path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"));
    let (body, charge) = read_body(&parts.headers, body, shared).await?;
    let request = CallerRequest {
        id: shared.next_id(),
        method: parts.method,
        target,
        headers: parts.headers,
        body,
        caller,
        received_at: shared.clock.now(),
        cancel,
    };
    Ok((request, charge))
}

/// Returns the answer for a rejected request.
pub(super) fn rejection(reason: RejectReason) -> Answer {
    let (status, code, outcome) = match reason {
        RejectReason::Malformed => (StatusCode::BAD_REQUEST, "malformed-request", "not-run"),
        RejectReason::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", "not-run"),
        RejectReason::BodyTimeout => (StatusCode::REQUEST_TIMEOUT, "body-timeout", "not-run"),
        RejectReason::NoMemory | RejectReason::QueueFull => {
            (StatusCode::SERVICE_UNAVAILABLE, "overloaded", "not-run")
        }
        RejectReason::Stopped => (StatusCode::SERVICE_UNAVAILABLE, "draining", "not-run"),
        RejectReason::Unanswered => (StatusCode::BAD_GATEWAY, "internal-error", "unknown"),
        RejectReason::DrainEnded => (StatusCode::GATEWAY_TIMEOUT, "drain-ended", "unknown"),
    };
    refusal(status, code, outcome)
}

/// Builds the answer for a refusal, with code and outcome in a JSON body and in
/// headers.
pub(crate) fn refusal(status: StatusCode, code: &'static str, outcome: &'static str) -> Answer {
    let mut map = HeaderMap::new();
    map.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    map.insert(headers::CODE, HeaderValue::from_static(code));
    map.insert(headers::OUTCOME, HeaderValue::from_static(outcome));
    let body = format!("{{\"code\":\"{code}\",\"outcome\":\"{outcome}\"}}\n");
    Answer::complete(status, map, body)
}

fn check_framing(headers: &HeaderMap, received: &ReceivedBytes) -> Result<(), RejectReason> {
    if !headers.contains_key(TRANSFER_ENCODING) {
        return Ok(());
    }
    let codings = headers.get_all(TRANSFER_ENCODING).iter().count();
    let is_only_chunked = headers
        .get(TRANSFER_ENCODING)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if codings != 1 || !is_only_chunked || !received.head_has_no_content_length() {
        return Err(RejectReason::Malformed);
    }
    Ok(())
}

fn check_method_and_target(method: &Method, has_authority: bool) -> Result<(), RejectReason> {
    if method == Method::CONNECT || method == Method::TRACE || has_authority {
        return Err(RejectReason::Malformed);
    }
    Ok(())
}

async fn read_body(
    headers: &HeaderMap,
    body: Incoming,
    shared: &Shared,
) -> Result<(Bytes, BodyCharge), RejectReason> {
    let max_bytes = shared.settings.max_body_bytes;
    if declared_length(headers).is_some_and(|length| length > max_bytes as u64) {
        return Err(RejectReason::BodyTooLarge);
    }
    let mut body = Limited::new(body, max_bytes);
    let read = async {
        let charge = shared.body_memory.open();
        let length = declared_length(headers).and_then(|length| usize::try_from(length).ok());
        let collected = collect(&mut body, length, max_bytes, charge).await;
        if collected
            .as_ref()
            .is_err_and(|reason| *reason == RejectReason::NoMemory)
        {
            // A caller that still sends could not read the refusal.
            while let Some(Ok(_)) = body.frame().await {}
        }
        collected
    };
    let read = tokio::time::timeout(shared.settings.body_timeout, read).await;
    read.unwrap_or(Err(RejectReason::BodyTimeout))
}

/// Copies a body into one piece: each chunk would keep a whole read buffer.
async fn collect(
    body: &mut Limited<Incoming>,
    length: Option<usize>,
    max_bytes: usize,
    mut charge: BodyCharge,
) -> Result<(Bytes, BodyCharge), RejectReason> {
    let no_memory = |_| RejectReason::NoMemory;
    charge.grow_to(length.unwrap_or(0)).map_err(no_memory)?;
    let mut buffer = BodyBuffer::new(length.unwrap_or(max_bytes));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => RejectReason::BodyTooLarge,
            false => RejectReason::Malformed,
        })?;
        let Some(chunk) = frame.data_ref() else {
            continue;
        };
        let needed_bytes = buffer.len() + chunk.len();
        charge.grow_to(needed_bytes).map_err(no_memory)?;
        buffer.append(chunk).map_err(|error| {
            log::error!("edge: No memory for a body: {error}.");
            RejectReason::NoMemory
        })?;
    }
    Ok((buffer.finish(), charge))
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
