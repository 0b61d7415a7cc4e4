//! Body framing, with checks against request smuggling.

use {
    super::{Headers, RequestHead, ResponseHead},
    std::{error::Error, fmt},
};

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(u64),
    /// At the zero-length chunk.
    Chunked,
    /// When the connection closes.
    Close,
}

/// A head whose body length is ambiguous or malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FramingError;

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ambiguous or malformed body length")
    }
}

impl Error for FramingError {}

/// Framing of a request's body. A request with both a length and a transfer coding, with differing
/// lengths, or with a coding other than `chunked` is an error, since two servers could disagree on
/// where it ends.
pub fn request_framing(head: &RequestHead) -> Result<Framing, FramingError> {
    let length = content_length(&head.headers)?;
    match (is_chunked(&head.headers)?, length) {
        (true, None) if head.minor_version > 0 => Ok(Framing::Chunked),
        (true, _) => Err(FramingError),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

/// Framing of a response's body to a request of `method`.
pub fn response_framing(head: &ResponseHead, method: &str) -> Result<Framing, FramingError> {
    let bodiless = head.status < 200 || matches!(head.status, 204 | 304) || method == "HEAD";
    if bodiless {
        return Ok(Framing::Length(0));
    }
    let length = content_length(&head.headers)?;
    match (is_chunked(&head.headers)?, length) {
        (true, None) => Ok(Framing::Chunked),
        (true, Some(_)) => Err(FramingError),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::Close),
    }
}

/// Whether the body is chunked; any other transfer coding is an error.
fn is_chunked(headers: &Headers) -> Result<bool, FramingError> {
    let mut values = headers.get_all("transfer-encoding");
    match (values.next(), values.next()) {
        (None, _) => Ok(false),
        (Some(v), None) if v.trim().eq_ignore_ascii_case("chunked") => Ok(true),
        _ => Err(FramingError),
    }
}

fn content_length(headers: &Headers) -> Result<Option<u64>, FramingError> {
    let mut found = None;
    for value in headers.get_all("content-length") {
        let value = value.trim();
        if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
            return Err(FramingError);
        }
        let number = value.parse().map_err(|_| FramingError)?;
        if found.is_some_and(|f| f != number) {
            return Err(FramingError);
        }
        found = Some(number);
    }
    Ok(found)
}
