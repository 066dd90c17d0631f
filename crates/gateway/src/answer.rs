//! The final answer to a caller: an instance's own, or one of this host's making.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use waxwingusher_edge::headers::strip_hop_by_hop;

use crate::attempt::header_value;
use crate::upstream::InstanceAnswer;

/// The final answer to a caller.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What decided, for logs and metrics.
    pub(crate) outcome: &'static str,
}

impl Answer {
    /// Makes an answer of this host's own.
    pub(crate) fn own(status: StatusCode, outcome: &'static str) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        Self {
            status,
            headers,
            body: Bytes::from(format!("{outcome}\n")),
            outcome,
        }
    }

    /// Makes a refusal of a request that has not run and will not.
    pub(crate) fn refusal(
        status: StatusCode,
        outcome: &'static str,
        retry_after: Duration,
    ) -> Self {
        let mut answer = Self::own(status, outcome);
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        answer
            .headers
            .insert(header::RETRY_AFTER, header_value(&seconds));
        answer
    }

    pub(crate) fn relay(answer: InstanceAnswer, outcome: &'static str) -> Self {
        let mut headers = answer.headers;
        strip_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        Self {
            status: answer.status,
            headers,
            body: answer.body,
            outcome,
        }
    }
}
