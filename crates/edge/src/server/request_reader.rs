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
) -> Result<CallerRequest, RejectReason> {
    let (parts, body) = request.into_parts();
    check_framing(&parts.headers, received)?;
    check_method_and_target(&parts.method, parts.uri.authority().is_some())?;
    let target = parts
        .uri
        .path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"));
    let body = read_body(&parts.headers, body, shared).await?;
    Ok(CallerRequest {
        id: shared.next_id(),
        method: parts.method,
        target,
        headers: parts.headers,
        body,
        caller,
        received_at: shared.clock.now(),
        cancel,
    })
}

/// Returns the answer for a rejected request.
pub(super) fn rejection(reason: RejectReason) -> Answer {
    let (status, code, outcome) = match reason {
        RejectReason::Malformed => (StatusCode::BAD_REQUEST, "malformed-request", "not-run"),
        RejectReason::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", "not-run"),
        RejectReason::BodyTimeout => (StatusCode::REQUEST_TIMEOUT, "body-timeout", "not-run"),
        RejectReason::QueueFull => (StatusCode::SERVICE_UNAVAILABLE, "overloaded", "not-run"),
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
) -> Result<Bytes, RejectReason> {
    let max_bytes = shared.settings.max_body_bytes;
    if declared_length(headers).is_some_and(|length| length > max_bytes as u64) {
        return Err(RejectReason::BodyTooLarge);
    }
    let complete_body = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(shared.settings.body_timeout, complete_body).await {
        Err(_) => Err(RejectReason::BodyTimeout),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(RejectReason::BodyTooLarge),
        Ok(Err(_)) => Err(RejectReason::Malformed),
    }
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
