//! Removes the caller's key from a request, so that no upstream sees it.

use http::HeaderMap;
use http::header::{AUTHORIZATION, HeaderName};
use http::uri::PathAndQuery;
use waxwingusher_edge::headers;

/// The header that may carry a key instead of `Authorization: Bearer`.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("x-workspace-key");

/// The shortest key that is accepted. The request is searched for the key, and a
/// shorter one could occur in it by chance.
const MIN_KEY_BYTES: usize = 16;

/// A caller's key, which is never printed.
pub struct PresentedKey(Vec<u8>);

impl PresentedKey {
    /// Returns the key's bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Why the caller's key cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CredentialError {
    /// The request carries no key.
    #[error("the request carries no key")]
    Missing,
    /// The request carries more than one key.
    #[error("the request carries more than one key")]
    Ambiguous,
    /// The key is not of the documented form.
    #[error("the key is not of the documented form")]
    Malformed,
    /// The key also occurs where it cannot be removed.
    #[error("the key also occurs in the path or in the body")]
    Leaking,
}

/// Removes the key from the headers and returns it.
///
/// # Errors
///
/// Returns an error if there is no key, more than one, or a malformed one.
pub fn take_key(request_headers: &mut HeaderMap) -> Result<PresentedKey, CredentialError> {
    let found = find_key(request_headers);
    strip_credentials(request_headers);
    found
}

/// Removes the headers that may carry a key.
pub fn strip_credentials(request_headers: &mut HeaderMap) {
    request_headers.remove(AUTHORIZATION);
    request_headers.remove(KEY_HEADER);
}

/// Removes the key from the query and from all headers.
///
/// # Errors
///
/// Returns an error if the key occurs in the path or in the body, from which it
/// cannot be removed without changing the meaning of the request.
pub fn scrub(
    key: &PresentedKey,
    target: &PathAndQuery,
    request_headers: &mut HeaderMap,
    body: &[u8],
) -> Result<PathAndQuery, CredentialError> {
    let secret = key.as_bytes();
    headers::strip_secret(request_headers, secret);
    let is_leaking = headers::contains_bytes(&percent_decode(target.path()), secret)
        || headers::contains_bytes(body, secret);
    if is_leaking {
        return Err(CredentialError::Leaking);
    }
    let Some(query) = target.query() else {
        return Ok(target.clone());
    };
    if !headers::contains_bytes(&percent_decode(query), secret) {
        return Ok(target.clone());
    }
    let kept: Vec<&str> = query
        .split('&')
        .filter(|pair| !headers::contains_bytes(&percent_decode(pair), secret))
        .collect();
    let text = if kept.is_empty() {
        target.path().to_owned()
    } else {
        format!("{}?{}", target.path(), kept.join("&"))
    };
    let scrubbed = PathAndQuery::try_from(text).map_err(|_| CredentialError::Leaking)?;
    let is_clean = !headers::contains_bytes(&percent_decode(scrubbed.as_str()), secret);
    is_clean.then_some(scrubbed).ok_or(CredentialError::Leaking)
}

fn find_key(request_headers: &HeaderMap) -> Result<PresentedKey, CredentialError> {
    let mut keys: Vec<&[u8]> = Vec::new();
    for value in request_headers.get_all(AUTHORIZATION) {
        keys.push(bearer_token(value.as_bytes()).ok_or(CredentialError::Malformed)?);
    }
    for value in request_headers.get_all(KEY_HEADER) {
        keys.push(value.as_bytes().trim_ascii());
    }
    let key = match keys.as_slice() {
        [] => return Err(CredentialError::Missing),
        [key] => key.to_vec(),
        _ => return Err(CredentialError::Ambiguous),
    };
    if key.len() < MIN_KEY_BYTES || !key.iter().all(u8::is_ascii_graphic) {
        return Err(CredentialError::Malformed);
    }
    Ok(PresentedKey(key))
}

fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    let at = value.iter().position(|byte| *byte == b' ')?;
    let (scheme, token) = value.split_at(at);
    scheme
        .eq_ignore_ascii_case(b"bearer")
        .then(|| token.trim_ascii())
}

/// Decodes percent escapes, as an upstream may.
fn percent_decode(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let escape = text.get(at + 1..at + 3);
        let value = escape.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], value) {
            (b'%', Some(value)) => {
                decoded.push(value);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    decoded
}
