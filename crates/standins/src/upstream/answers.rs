//! Answers that are selected by the request path.

use crate::http::{Framing, HttpRequest, HttpResponse};

use super::settings::{Faults, Phase};

const PATTERN_PERIOD: usize = 251;

/// Returns the body of answers to paths that contain a size.
#[must_use]
pub fn body_pattern(len_bytes: usize) -> Vec<u8> {
    (0..len_bytes).map(|i| (i % PATTERN_PERIOD) as u8).collect()
}

/// An answer and the byte of its framed body before which it is truncated.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) response: HttpResponse,
    pub(super) truncate_at_bytes: Option<usize>,
}

impl Answer {
    pub(super) fn complete(response: HttpResponse) -> Self {
        Self {
            response,
            truncate_at_bytes: None,
        }
    }
}

/// Builds the answer that the path selects.
pub(super) fn for_request(request: &HttpRequest) -> Answer {
    let segments: Vec<_> = request.path().split('/').collect();
    for (i, segment) in segments.iter().enumerate() {
        let first = number(segments.get(i + 1));
        let second = number(segments.get(i + 2));
        let Some(answer) = for_segment(segment, first, second) else {
            continue;
        };
        return answer;
    }
    Answer::complete(echo(request))
}

/// Builds the answer of the health endpoint, which does not report gray failures.
pub(super) fn health(faults: &Faults) -> HttpResponse {
    match faults.phase {
        Phase::Live => json(200, "{\"state\":\"live\"}".to_owned()),
        Phase::Draining => json(503, "{\"state\":\"draining\"}".to_owned()),
    }
}

/// Builds the answer of the load endpoint.
pub(super) fn load(faults: &Faults, in_flight: usize, slots: usize) -> HttpResponse {
    let in_flight = faults.reported_in_flight.unwrap_or(in_flight);
    let body = format!("{{\"in-flight\":{in_flight},\"slots\":{slots}}}");
    json(200, body)
}

fn json(status: u16, body: String) -> HttpResponse {
    HttpResponse::new(status, body.into_bytes()).with_header("Content-Type", "application/json")
}

fn number(segment: Option<&&str>) -> Option<usize> {
    segment.and_then(|text| text.parse().ok())
}

fn for_segment(segment: &str, first: Option<usize>, second: Option<usize>) -> Option<Answer> {
    let framing = match segment {
        "empty" => return Some(Answer::complete(HttpResponse::new(200, Vec::new()))),
        "status" => return first.map(status),
        "bytes" | "die" => Framing::ContentLength,
        "chunked" | "die-chunked" => Framing::Chunked,
        "until-close" => Framing::UntilClose,
        _ => return None,
    };
    let response = HttpResponse::new(200, body_pattern(first?)).with_framing(framing);
    let is_truncated = segment.starts_with("die");
    Some(Answer {
        response,
        truncate_at_bytes: if is_truncated { Some(second?) } else { None },
    })
}

fn status(code: usize) -> Answer {
    let code = u16::try_from(code).unwrap_or(500);
    let body = format!("status {code}\n").into_bytes();
    let response = HttpResponse::new(code, body);
    if (300..400).contains(&code) && code != 304 {
        return Answer::complete(response.with_header("Location", "/echo"));
    }
    Answer::complete(response)
}

fn echo(request: &HttpRequest) -> HttpResponse {
    HttpResponse::new(200, request.body.clone())
        .with_header("X-Echo-Method", &request.method)
        .with_header("X-Echo-Target", &request.target)
}
