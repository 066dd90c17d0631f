//! Parses requests from the bytes of a connection.

use bytes::{Buf, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use waxwingusher_config::routing::CallerLimits;

use crate::body::{Body, BodyBuilder};

/// The largest number of headers in a request.
const MAX_HEADERS: usize = 100;
/// The longest chunk-size or trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;
/// What the line with the size of a chunk takes without extensions.
const USUAL_FRAMING_BYTES: usize = 20;
/// The most bytes of extensions and trailers in one body.
const MAX_EXCESS_FRAMING_BYTES: usize = 64 * 1024;

/// A request's head.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) method: Method,
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) body: BodyKind,
    /// Whether the caller will send no further request.
    pub(super) is_last: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
    /// Its size as it was sent.
    pub(super) size_bytes: usize,
}

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyKind {
    Length(usize),
    Chunked,
}

/// The bytes are refused as a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReadError {
    #[error("the request is malformed")]
    Malformed,
    #[error("the head is too large")]
    HeadTooLarge,
    #[error("the body is too large")]
    BodyTooLarge,
    #[error("the system has no memory for the body")]
    NoMemory,
}

/// Takes a head from the front of `buffer`; `None` while it is incomplete.
pub(super) fn take_head(
    buffer: &mut BytesMut,
    limits: &CallerLimits,
) -> Result<Option<Head>, ReadError> {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > limits.max_header_bytes => {
            return Err(ReadError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(ReadError::HeadTooLarge),
        Err(_) => return Err(ReadError::Malformed),
    };
    if length > limits.max_header_bytes {
        return Err(ReadError::HeadTooLarge);
    }
    let head = check_head(&request, length)?;
    if matches!(head.body, BodyKind::Length(length) if length > limits.max_body_bytes) {
        return Err(ReadError::BodyTooLarge);
    }
    buffer.advance(length);
    Ok(Some(head))
}

fn check_head(request: &httparse::Request<'_, '_>, size_bytes: usize) -> Result<Head, ReadError> {
    let method = request.method.unwrap_or_default();
    let method = Method::from_bytes(method.as_bytes()).map_err(|_| ReadError::Malformed)?;
    let target = request.path.unwrap_or_default().to_owned();
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for field in request.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let name = name.map_err(|_| ReadError::Malformed)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| ReadError::Malformed)?;
        headers.append(name, value);
    }
    if headers.get_all(header::HOST).iter().count() > 1 {
        return Err(ReadError::Malformed);
    }
    let is_http_1_0 = request.version == Some(0);
    Ok(Head {
        method,
        target,
        body: body_kind(&headers)?,
        is_last: is_http_1_0 || has_token(&headers, &header::CONNECTION, "close"),
        expects_continue: has_token(&headers, &header::EXPECT, "100-continue"),
        headers,
        size_bytes,
    })
}

/// Determines the framing of the body. Any framing that two parsers may interpret
/// differently is refused, since it allows request smuggling.
fn body_kind(headers: &HeaderMap) -> Result<BodyKind, ReadError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(ReadError::Malformed);
    }
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let coding = codings.next();
    if codings.next().is_some() {
        return Err(ReadError::Malformed);
    }
    match (length, coding) {
        (None, None) => Ok(BodyKind::Length(0)),
        (None, Some(coding)) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(BodyKind::Chunked)
        }
        (Some(length), None) => {
            let digits = length.as_bytes();
            if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
                return Err(ReadError::Malformed);
            }
            let text = length.to_str().map_err(|_| ReadError::Malformed)?;
            let length = text.parse().map_err(|_| ReadError::BodyTooLarge)?;
            Ok(BodyKind::Length(length))
        }
        _ => Err(ReadError::Malformed),
    }
}

fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let mut tokens = values.flat_map(|value| value.split(','));
    tokens.any(|found| found.trim().eq_ignore_ascii_case(token))
}

/// Reads a body incrementally.
#[derive(Debug)]
pub(super) struct BodyReader {
    kind: BodyKind,
    max_bytes: usize,
    body: BodyBuilder,
    chunk_state: ChunkState,
    /// Bytes of chunk sizes and trailers beyond what the chunks need.
    excess_framing_bytes: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(usize),
    DataEnd,
    Trailer,
}

impl BodyReader {
    pub(super) fn new(kind: BodyKind, limits: &CallerLimits) -> Self {
        Self {
            kind,
            max_bytes: limits.max_body_bytes,
            body: BodyBuilder::new(match kind {
                BodyKind::Length(length) => Some(length),
                BodyKind::Chunked => None,
            }),
            chunk_state: ChunkState::Size,
            excess_framing_bytes: 0,
        }
    }

    /// Returns how many bytes the body may have once `read_bytes` more are read.
    pub(super) fn expected_bytes(&self, read_bytes: usize) -> usize {
        match self.kind {
            BodyKind::Length(length) => length,
            BodyKind::Chunked => (self.body.len() + read_bytes).min(self.max_bytes),
        }
    }

    /// Returns how many bytes are still to come, if that is known.
    pub(super) fn missing_bytes(&self) -> Option<usize> {
        match self.kind {
            BodyKind::Length(length) => Some(length - self.body.len()),
            BodyKind::Chunked => None,
        }
    }

    /// Takes the bytes of the body from `buffer`; returns the body once it is
    /// complete.
    pub(super) fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Body>, ReadError> {
        let is_complete = match self.kind {
            BodyKind::Length(length) => {
                let taken = (length - self.body.len()).min(buffer.len());
                self.append(buffer, taken)?;
                self.body.len() == length
            }
            BodyKind::Chunked => self.take_chunks(buffer)?,
        };
        Ok(is_complete.then(|| std::mem::take(&mut self.body).finish()))
    }

    fn append(&mut self, buffer: &mut BytesMut, count: usize) -> Result<(), ReadError> {
        let appended = self.body.append(&buffer[..count]);
        appended.map_err(|error| {
            log::error!("caller: No memory for a body: {error}.");
            ReadError::NoMemory
        })?;
        buffer.advance(count);
        Ok(())
    }

    /// Counts framing that holds no memory but lets a body go on without end.
    fn count_framing(&mut self, bytes: usize) -> Result<(), ReadError> {
        let excess = bytes.saturating_sub(USUAL_FRAMING_BYTES);
        self.excess_framing_bytes += excess;
        if self.excess_framing_bytes > MAX_EXCESS_FRAMING_BYTES {
            return Err(ReadError::Malformed);
        }
        Ok(())
    }

    fn take_chunks(&mut self, buffer: &mut BytesMut) -> Result<bool, ReadError> {
        loop {
            match self.chunk_state {
                ChunkState::Size => {
                    let Some((used, size)) = chunk_size(buffer)? else {
                        return Ok(false);
                    };
                    buffer.advance(used);
                    self.count_framing(used)?;
                    if self.body.len().saturating_add(size) > self.max_bytes {
                        return Err(ReadError::BodyTooLarge);
                    }
                    self.chunk_state = match size {
                        0 => ChunkState::Trailer,
                        size => ChunkState::Data(size),
                    };
                }
                ChunkState::Data(left) => {
                    let taken = left.min(buffer.len());
                    self.append(buffer, taken)?;
                    if taken < left {
                        self.chunk_state = ChunkState::Data(left - taken);
                        return Ok(false);
                    }
                    self.chunk_state = ChunkState::DataEnd;
                }
                ChunkState::DataEnd => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(false);
                    };
                    if !line.is_empty() {
                        return Err(ReadError::Malformed);
                    }
                    self.chunk_state = ChunkState::Size;
                }
                ChunkState::Trailer => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(false);
                    };
                    if line.is_empty() {
                        return Ok(true);
                    }
                    self.count_framing(line.len() + USUAL_FRAMING_BYTES)?;
                }
            }
        }
    }
}

fn chunk_size(buffer: &BytesMut) -> Result<Option<(usize, usize)>, ReadError> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((used, size))) => {
            let size = usize::try_from(size).map_err(|_| ReadError::BodyTooLarge)?;
            Ok(Some((used, size)))
        }
        Ok(httparse::Status::Partial) if buffer.len() > MAX_CHUNK_LINE_BYTES => {
            Err(ReadError::Malformed)
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ReadError::Malformed),
    }
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, ReadError> {
    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
        return if buffer.len() > MAX_CHUNK_LINE_BYTES {
            Err(ReadError::Malformed)
        } else {
            Ok(None)
        };
    };
    let line = buffer.split_to(end);
    buffer.advance(2);
    Ok(Some(line))
}
