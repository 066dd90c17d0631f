//! Names of the fleet's headers, and removal of headers that must not pass
//! between callers and upstreams.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The prefix of headers that only hosts of the fleet may set.
pub const RESERVED_PREFIX: &str = "x-waxwingusher-";

/// Names the workspace of a request to the upstream.
pub const WORKSPACE: HeaderName = HeaderName::from_static("x-waxwingusher-workspace");

/// Identifies the request in the logs of hosts and upstreams.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-waxwingusher-request-id");

/// States whether a refused request may have run: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-waxwingusher-outcome");

/// The machine-readable code of a refusal.
pub const CODE: HeaderName = HeaderName::from_static("x-waxwingusher-code");

/// Set by an upstream that refused a request without running it.
pub const SHED: HeaderName = HeaderName::from_static("x-waxwingusher-shed");

/// The time left for a request, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Identifies an operation that must run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in connection_tokens(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("proxy-connection");
}

/// Removes headers that only hosts of the fleet may set.
pub fn strip_reserved(headers: &mut HeaderMap) {
    let reserved: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(RESERVED_PREFIX))
        .cloned()
        .collect();
    for name in reserved {
        headers.remove(name);
    }
}

/// Removes every header whose value contains the secret.
pub fn strip_secret(headers: &mut HeaderMap, secret: &[u8]) {
    let leaking: Vec<HeaderName> = headers
        .iter()
        .filter(|(_, value)| contains_bytes(value.as_bytes(), secret))
        .map(|(name, _)| name.clone())
        .collect();
    for name in leaking {
        headers.remove(name);
    }
}

/// Reports whether `haystack` contains `needle`; an empty `needle` is
/// never contained.
#[must_use]
pub fn contains_bytes(haystack: &[u8], needle: &[u8]) -> bool {
    if needle.is_empty() || haystack.len() < needle.len() {
        return false;
    }
    let first = needle[0];
    for (at, byte) in haystack[..=haystack.len() - needle.len()]
        .iter()
        .enumerate()
    {
        if *byte != first {
            continue;
        }
        if haystack[at..].starts_with(needle) {
            return true;
        }
    }
    false
}

/// Converts text to a header value. Returns an empty value if the text is not
/// visible ASCII.
#[must_use]
pub fn value_or_empty(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn connection_tokens(headers: &HeaderMap) -> Vec<HeaderName> {
    let mut names = Vec::new();
    for line in headers.get_all(header::CONNECTION) {
        let Ok(text) = line.to_str() else {
            continue;
        };
        for token in text.split(',') {
            let Ok(name) = HeaderName::from_bytes(token.trim().as_bytes()) else {
                continue;
            };
            names.push(name);
        }
    }
    names
}
