//! Failures of a call.

use {
    std::{error::Error, fmt},
    types::Verdict,
};

/// What went wrong in a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendErrorKind {
    /// No connection could be opened.
    Connect,
    /// The request could not be written whole.
    Write,
    /// The response's head did not arrive in time.
    HeadTimeout,
    /// The connection ended before the response's head.
    NoResponse,
    /// The response is not valid HTTP, or does not say where its body ends.
    InvalidResponse,
    /// The body paused for longer than its limit.
    BodyTimeout,
    /// The body ended before its announced end.
    BodyTruncated,
}

/// A failed call: what went wrong and whether the request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendError {
    /// What went wrong.
    pub kind: SendErrorKind,
    /// Whether the peer may have acted on the request.
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
