//! Reads a body into memory, within a size limit and a timeout.

use {
    clock::{Clock, timeout},
    futures_lite::io::AsyncReadExt,
    http_types::Body,
    std::{error::Error, fmt, time::Duration},
    types::Bytes,
};

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge(Bytes),
    /// No byte arrived within the timeout.
    TooSlow,
    /// The body ended before its announced end.
    Truncated,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(limit) => write!(f, "body larger than {limit} bytes"),
            Self::TooSlow => write!(f, "body sent too slowly"),
            Self::Truncated => write!(f, "body ended before its announced end"),
        }
    }
}

impl Error for BodyError {}

/// Reads all of `body`; `idle_timeout` is the longest accepted time between two reads.
pub async fn read_body(
    mut body: Body,
    limit: Bytes,
    idle_timeout: Duration,
    clock: &dyn Clock,
) -> Result<Vec<u8>, BodyError> {
    let announced = body.len();
    if announced.is_some_and(|n| n as u64 > limit.0) {
        return Err(BodyError::TooLarge(limit));
    }
    let mut bytes = Vec::with_capacity(announced.unwrap_or_default());
    let mut buf = [0; READ_BUFFER_BYTES];
    loop {
        let read = timeout(clock, idle_timeout, body.read(&mut buf)).await;
        let n = read
            .map_err(|_| BodyError::TooSlow)?
            .map_err(|_| BodyError::Truncated)?;
        if n == 0 {
            break;
        }
        bytes.extend_from_slice(&buf[..n]);
        if bytes.len() as u64 > limit.0 {
            return Err(BodyError::TooLarge(limit));
        }
    }
    match announced {
        Some(n) if n != bytes.len() => Err(BodyError::Truncated),
        _ => Ok(bytes),
    }
}
