//! Errors of calls.

use {
    std::{error::Error, fmt},
    types::Verdict,
};

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendErrorKind {
    /// No connection could be opened.
    Connect,
    /// The request could not be written completely.
    Write,
    /// The response's head did not arrive within the timeout.
    HeadTimeout,
    /// The connection ended before the response's head.
    NoResponse,
    /// The response is not valid HTTP, does not give the length of its body, is larger than the
    /// limit, or could not be decoded.
    InvalidResponse,
    /// No body bytes arrived within the idle timeout.
    BodyTimeout,
    /// The body ended before its announced end.
    BodyTruncated,
}

/// Error of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendError {
    /// How the call failed.
    pub kind: SendErrorKind,
    /// Whether the peer may have processed the request.
    pub verdict: Verdict,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            SendErrorKind::Connect => "cannot connect",
            SendErrorKind::Write => "cannot write the request",
            SendErrorKind::HeadTimeout => "no response in time",
            SendErrorKind::NoResponse => "connection ended before the response",
            SendErrorKind::InvalidResponse => "invalid response",
            SendErrorKind::BodyTimeout => "response body paused too long",
            SendErrorKind::BodyTruncated => "response body cut",
        };
        write!(f, "{what} ({})", self.verdict)
    }
}

impl Error for SendError {}
