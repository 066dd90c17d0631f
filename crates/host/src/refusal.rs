//! Builds the answer that a caller gets for a refusal.

use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use serde::Serialize;
use waxwingusher_attempts::refusal::Refusal;
use waxwingusher_edge::headers;
use waxwingusher_edge::{Answer, RequestId};

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct RefusalBody<'a> {
    code: &'a str,
    outcome: &'a str,
    message: String,
    request_id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns the answer for a refusal: a JSON body, with code, outcome and request
/// id repeated in headers.
#[must_use]
pub fn answer(refusal: Refusal, request: RequestId) -> Answer {
    let reason = refusal.reason();
    let retry_after = reason.retry_after();
    let body = RefusalBody {
        code: reason.code(),
        outcome: refusal.outcome().as_str(),
        message: reason.to_string(),
        request_id: request.to_string(),
        retry_after_ms: retry_after.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)),
    };
    let mut response_headers = HeaderMap::new();
    response_headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response_headers.insert(headers::CODE, HeaderValue::from_static(reason.code()));
    response_headers.insert(headers::OUTCOME, headers::value_or_empty(body.outcome));
    response_headers.insert(
        headers::REQUEST_ID,
        headers::value_or_empty(&body.request_id),
    );
    if let Some(wait) = retry_after {
        response_headers.insert(
            RETRY_AFTER,
            HeaderValue::from(wait.as_millis().div_ceil(1_000) as u64),
        );
    }
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let text = serde_json::to_vec(&body).unwrap_or_default();
    Answer::complete(status, response_headers, text)
}
