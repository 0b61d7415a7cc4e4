//! Failures of a call.

use {
    std::{error::Error, fmt},
    types::Verdict,
};

/// What went wrong in a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be opened.
    Connect,
    /// The request could not be written whole.
    Write,
    /// The response's head did not arrive in time.
    HeadTimeout,
    /// The connection ended before the response's head.
    NoResponse,
    /// The response is not valid HTTP, or does not say where its body ends.
    BadResponse,
    /// The body paused for longer than its limit.
    BodyTimeout,
    /// The body ended before its announced end.
    BodyCut,
}

/// A failed call: what went wrong and whether the request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendError {
    /// What went wrong.
    pub fault: Fault,
    /// Whether the peer may have acted on the request.
    pub verdict: Verdict,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.fault {
            Fault::Connect => "cannot connect",
            Fault::Write => "cannot write the request",
            Fault::HeadTimeout => "no response in time",
            Fault::NoResponse => "connection ended before the response",
            Fault::BadResponse => "invalid response",
            Fault::BodyTimeout => "response body paused too long",
            Fault::BodyCut => "response body cut",
        };
        write!(f, "{what} ({})", self.verdict)
    }
}

impl Error for SendError {}
